//! Admission, prioritisation and placement of jobs in an entry, and sharing of its configuration.

mod admission;
mod agents;
mod classes;
mod demand;
mod dispatcher;
mod estimate;
mod fast_capacity;
mod interference;
mod job;
mod offers;
mod placement;
mod policy;
mod returns;
mod run_times;
mod sharing;
mod throughput;
mod timely;

pub use admission::Refusal;
pub use agents::{AgentHello, AgentKey, AgentReport, LinkRefusal};
pub use classes::{ClassLoad, SizeBand};
pub use dispatcher::{Action, CancelCause, Dispatcher, Order, Submission};
pub use interference::PairChange;
pub use job::{Answer, JobKey, job_memory};
pub use policy::{DispatchPolicy, DispatchRules, PlacementRule};
pub use sharing::{ConfigurationSharing, ConfigurationSource};
