//! Load and experiment tool: replays traces in virtual time under the system's scheduling policy and
//! under baseline policies, and reports their metrics.

pub mod baseline;
pub mod capacity;
pub mod clairvoyant;
pub mod compare;
pub mod decisions;
pub mod faults;
pub mod replay;
pub mod report;
pub mod throughput;
pub mod trace;
