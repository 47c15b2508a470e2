//! Runs the daemons as processes on loopback, and submits jobs to them.

// Each test target uses only part of this module.
#![allow(dead_code)]

pub mod caller;
pub mod cluster;
mod ports;
mod process;
mod relay;

use std::time::Duration;

/// Timeout longer than any answer should take.
pub const LONG_TIMEOUT: Duration = Duration::from_secs(60);

/// Timeout too short for an answer, after which the job continues.
pub const SHORT_TIMEOUT: Duration = Duration::from_millis(30);
