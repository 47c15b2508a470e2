//! Jobs and their tasks, as they are after their checks.

use std::sync::Arc;
use std::time::Duration;

use crate::id::{JobKey, ServiceName, ShardId, TeamName, shard_of};

/// A caller's job: tasks of one service that are answered together.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Job {
    /// The idempotency key, with the team's prefix.
    pub key: JobKey,
    /// Hash of the job's content; tells a resubmission from a reused key.
    pub fingerprint: u64,
    /// The team whose quota the job counts against.
    pub team: TeamName,
    /// The service that its tasks are for.
    pub service: ServiceName,
    /// Whether the caller declared that a task may safely have run before.
    pub idempotent: bool,
    /// Time from submission after which the answer is of no use.
    pub deadline: Duration,
    /// The tasks, in the order of their results.
    pub tasks: Vec<Task>,
}

impl Job {
    /// Returns the shard of the job's key.
    pub fn shard(&self) -> ShardId {
        shard_of(&self.key)
    }
}

/// One task of a job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Task {
    /// Sent to the upstream as it is.
    pub payload: Arc<[u8]>,
    /// The run time that the caller declared, if any.
    pub declared_run_time: Option<Duration>,
    /// Groups tasks of like run time within a service; empty if the caller names none.
    pub class: Arc<str>,
}
