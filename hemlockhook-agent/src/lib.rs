//! The agent: manages the slots of one upstream and is the only process that starts tasks on it.
//!
//! [`engine`] is the state machine, without I/O. [`process`] runs it on the control thread and
//! performs its actions: serving the links of entries, calling the upstream, and reading and
//! appending to the platform's log. It also serves the admin port.

mod admin;
mod control_loop;
pub mod engine;
mod link;
pub mod process;
pub mod settings;
pub mod status;
pub mod upstream;

pub use engine::{Action, Call, Engine, EngineConfig, Event, LinkId, Stream, TaskId};
pub use process::{AgentProcess, run};
pub use settings::Settings;
