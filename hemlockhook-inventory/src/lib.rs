//! The inventory document and its validation, the publishing of configurations, and the reports
//! for operators.
//!
//! This crate does no I/O: its input are documents and log records, its output validated values and
//! decisions.

pub mod admin;
pub mod burn;
pub mod check;
pub mod diff;
pub mod import;
pub mod model;
pub mod publish;
pub mod units;

pub use check::{MAX_DOCUMENT_BYTES, Problem, check};
pub use model::{DataCenter, Inventory, Objective, Rules, Service, Team, Upstream, Worker};
pub use publish::{
    ConfigReader, ConfigRecord, PublishAction, PublishOutcome, Publisher, Repeater, Verdict,
};
