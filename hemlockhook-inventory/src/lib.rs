//! The inventory and the rules, their checks, the publishing rule, and the reports for operators.
//!
//! Nothing here does I/O: documents and log records go in, checked values and decisions come out.

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
