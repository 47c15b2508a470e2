//! Validated jobs and their tasks.

use std::sync::Arc;
use std::time::Duration;

use crate::id::{JobKey, ServiceName, ShardId, TeamName, shard_of};

/// A caller's job: tasks of one service with a common answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Job {
    /// The idempotency key, prefixed with the team's name.
    pub key: JobKey,
    /// Hash of the job's content; distinguishes a resubmission from a reused key.
    pub fingerprint: u64,
    /// The team whose quota the job counts against.
    pub team: TeamName,
    /// The service that runs the tasks.
    pub service: ServiceName,
    /// Whether the caller declared that running a task more than once is safe.
    pub idempotent: bool,
    /// Time from submission after which the caller no longer needs the answer.
    pub deadline: Duration,
    /// The tasks; the results are returned in the same order.
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
    /// Request body, sent to the upstream unchanged.
    pub payload: Arc<[u8]>,
    /// Run time that the caller declared, if any.
    pub declared_run_time: Option<Duration>,
    /// Groups tasks of similar run time within a service; empty if the caller did not set it.
    pub class: Arc<str>,
}
