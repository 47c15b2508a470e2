//! The daemons of leased work.
//!
//! They add input and output to the schedulers of `hemlockhook-dispatch`. An entry accepts jobs
//! from callers, and orders their tasks from the agents that link with it. An agent runs the tasks
//! on the upstream of its machine. Both are generic over the platform's formats and calls, which
//! `hemlockhook_ports::leased` defines.
//!
//! Each process has a single thread, since the instances that these daemons are designed for have
//! only one core.

pub mod agent;
mod convert;
mod drains;
pub mod entry;
mod process;
mod request_memory;
mod settings;
mod watch;

pub use settings::{AgentSettings, EntrySettings, LogLevel, OverloadControl};
pub use watch::STORE_TIMEOUT;
