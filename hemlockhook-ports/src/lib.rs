//! Interfaces to the platform's log and worker services, and their HTTP clients.
//!
//! Daemons use the platform through the traits [`Log`] and [`Workers`]; [`HttpLog`] and
//! [`HttpWorkers`] implement them over HTTP, with the messages in [`wire`]. The interfaces that the
//! daemons of leased work use are in [`leased`].

mod http_log;
mod http_workers;
pub mod leased;
mod log;
pub mod wire;
mod workers;

pub use http_log::HttpLog;
pub use http_workers::HttpWorkers;
pub use log::{Batch, Log, LogError, LogFuture, LogRecord, Offset};
pub use workers::{
    Lease, LeaseId, TaskUsage, ThrottlePercent, Usage, Workers, WorkersError, WorkersFuture,
};
