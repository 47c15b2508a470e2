//! Implementations of the subcommands.

pub mod config;
pub mod drain;
pub mod events;
pub mod inventory;
pub mod job;
pub mod publish;
pub mod report;
pub mod status;
pub mod submit;
