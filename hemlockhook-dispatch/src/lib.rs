//! What is decided about leased work, without I/O: events and the time go in, actions come out.
//!
//! Leased work runs on an upstream for as long as the agent beside it renews a lease, and the agent
//! does so for as long as it hears of the entry that ordered the work. [`entry::Dispatcher`] admits
//! jobs, orders and places their tasks; [`agent::Supervisor`] is the only one to start them, and keeps
//! within its upstream's room.

pub mod agent;
mod amounts;
pub mod entry;
mod job;
mod task;

pub use amounts::Amounts;
pub use job::{JobSpec, QueueConfig, ServiceConfig, StepSpec, Unsupported};
pub use task::{AttemptEnd, Incarnation, JobId, Outcome, RunNumber, TaskId, TaskRef};
