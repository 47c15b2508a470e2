//! Stand-ins for the platform and the upstreams.
//!
//! [`LogStandin`] takes the place of the platform's log, `WorkerStandin` that of its workers and
//! `UpstreamStandin` that of an upstream. Each is served by tasks of any process, keeps its state in
//! memory and can be told to fail: in its settings, by a method, or by `PUT /faults`.

mod log;
mod log_store;
mod reply;

pub use log::{LogFaults, LogSettings, LogStandin, Outage};
