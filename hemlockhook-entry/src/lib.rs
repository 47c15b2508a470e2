//! The entry: takes jobs from callers, owns shards, schedules tasks and gathers answers.
//!
//! [`engine::Engine`] decides, on the control thread and without I/O; [`process::EntryProcess`]
//! gives it its sockets.

pub mod admin;
pub mod api;
pub mod burn;
pub mod calls;
pub mod control;
pub mod counters;
pub mod engine;
pub mod event;
pub mod follow;
pub mod journal;
pub mod link;
pub mod members;
pub mod metrics;
mod object;
pub mod process;
pub mod request;
pub mod response;
pub mod service;
pub mod settings;
pub mod shell;

pub use process::{EntryProcess, run};
pub use settings::Settings;
