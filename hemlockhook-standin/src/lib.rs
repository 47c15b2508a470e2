//! Stand-ins for the platform and the upstreams.
//!
//! [`LogStandin`] takes the place of the platform's log, [`WorkerStandin`] that of its workers and
//! [`UpstreamStandin`] that of an upstream. Each is served by tasks of any process, keeps its state in
//! memory and can be told to fail: in its settings, by a method, or by `PUT /faults`.

mod daemon;
mod doubling;
mod faults;
mod leases;
mod log;
mod log_store;
mod reply;
mod running;
mod samples;
mod upstream;
mod upstream_settings;
mod worker;

pub use daemon::{RunError, Settings, run};
pub use faults::Outage;
pub use log::{LogFaults, LogSettings, LogStandin};
pub use running::RunningTasks;
pub use upstream::{ATTEMPT_HEADER, JOB_HEADER, TASK_HEADER, UpstreamStandin, UpstreamStatus};
pub use upstream_settings::{UpstreamFaults, UpstreamSettings};
pub use worker::{WorkerFaults, WorkerSettings, WorkerStandin};
