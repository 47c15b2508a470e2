//! The entry: accepts jobs from callers, owns shards, schedules tasks and collects their results.
//!
//! [`engine::Engine`] makes the decisions, on the control thread and without I/O;
//! [`process::EntryProcess`] connects it to the network.

pub mod action_runner;
pub mod admin;
pub mod api;
pub mod burn;
pub mod control;
pub mod counters;
pub mod engine;
pub mod event;
pub mod event_history;
pub mod follow;
mod json_object;
pub mod link;
pub mod members;
pub mod metrics;
pub mod peer_client;
pub mod process;
pub mod request;
pub mod response;
pub mod service;
pub mod settings;

pub use process::{EntryProcess, run};
pub use settings::Settings;
