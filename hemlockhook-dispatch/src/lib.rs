//! Scheduling of leased work as pure state machines: events and the time go in, actions come out.
//!
//! Leased work runs on an upstream for as long as its agent renews a lease. The agent renews the
//! lease while the entry that ordered the work keeps sending frames. [`entry::Dispatcher`] admits
//! jobs, prioritises them and places their tasks. Only [`agent::Supervisor`] starts tasks, and it
//! never exceeds the capacity of its upstream.

pub mod agent;
mod amounts;
mod cancelled;
mod claims;
mod drains;
pub mod entry;
mod job;
mod task;

pub use amounts::Amounts;
pub use claims::{Claim, ClaimAnswer, ClaimChange, ClaimStatus};
pub use drains::{DataCenter, DrainRead, Drains};
pub use job::{
    JobSpec, MAX_PAYLOAD_BYTES, MAX_RUN_TIME, MAX_TASKS, QueueConfig, ServiceConfig, StepSpec,
    Unsupported,
};
pub use task::{AttemptEnd, HeldAttempts, Incarnation, JobId, Outcome, RunNumber, TaskId, TaskRef};
