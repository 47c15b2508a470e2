//! Stand-ins for the platform's services and the upstreams, for tests and trials.
//!
//! [`LogStandin`] replaces the platform's log service, [`WorkerStandin`] its worker service and
//! [`UpstreamStandin`] an upstream. Each one keeps its state in memory and can be embedded in any
//! process. Faults are injected through the settings, the `set_faults` methods or `PUT /faults`.

mod daemon;
mod duplicating_stream;
mod faults;
mod leases;
mod log;
mod log_store;
mod reply;
mod running;
mod upstream;
mod upstream_settings;
mod usage_history;
mod worker;

pub use daemon::{RunError, Settings, run};
pub use faults::Outage;
pub use log::{LogFaults, LogSettings, LogStandin};
pub use running::RunningTasks;
pub use upstream::{ATTEMPT_HEADER, JOB_HEADER, TASK_HEADER, UpstreamStandin, UpstreamStatus};
pub use upstream_settings::{UpstreamFaults, UpstreamSettings};
pub use worker::{WorkerFaults, WorkerSettings, WorkerStandin};
