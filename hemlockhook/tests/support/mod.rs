//! Runs the real programs as processes on loopback, and submits jobs to them.

// Each test program uses a part of it.
#![allow(dead_code)]

pub mod caller;
pub mod cluster;
mod ports;
mod process;
mod relay;

use std::time::Duration;

/// Longer than any answer should take.
pub const LONG: Duration = Duration::from_secs(60);

/// Too short for an answer: the job goes on.
pub const SHORT: Duration = Duration::from_millis(30);
