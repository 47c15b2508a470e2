//! Runs the real programs as processes on loopback, and submits jobs to them.

#![allow(dead_code, unused_imports)]

mod caller;
mod cluster;
mod process;
mod relay;

pub use caller::{Job, Outcome, Submitter};
pub use cluster::{Cluster, Shape};

use std::time::Duration;

/// Longer than any answer should take.
pub const LONG: Duration = Duration::from_secs(60);

/// Too short for an answer: the job goes on.
pub const SHORT: Duration = Duration::from_millis(30);
