//! A dispatcher for sub-second tasks, as a library with thin daemons.
//!
//! [`entry`] accepts jobs from callers and [`agent`] runs their tasks on an upstream.
//! [`local_deployment`] runs a complete deployment in one process, for the demonstration,
//! benchmarks and tests.

pub mod local_deployment;

pub use {hemlockhook_agent as agent, hemlockhook_entry as entry};
