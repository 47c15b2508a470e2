//! The agent: owns one upstream's slots and is the only place where a task starts.
//!
//! [`engine`] decides, without I/O. [`process`] runs it on the control thread and does what it asks
//! for: it serves the links of the entries, calls the upstream, follows the platform's log and
//! answers the admin port.

mod admin;
pub mod engine;
mod link;
pub mod process;
pub mod settings;
mod shell;
pub mod status;
pub mod upstream;

pub use engine::{Action, Call, Engine, EngineConfig, Event, LinkId, Stream, TaskId};
pub use process::{AgentProcess, run};
pub use settings::Settings;
