//! What owners and agents tell each other about starts.

use hemlockhook_types::{
    Answer, Ballot, Incarnation, JobKey, Reason, ServiceName, ShardId, TaskIndex, TaskResult,
};
use thiserror::Error;

/// Orders an agent to start one task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StartOrder {
    /// The job's key.
    pub key: JobKey,
    /// The task.
    pub index: TaskIndex,
    /// Number of tasks in the whole job.
    pub job_tasks: u32,
    /// Hash of the job's content.
    pub fingerprint: u64,
    /// The shard of the key.
    pub shard: ShardId,
    /// The ballot under which the sender owns the shard.
    pub ballot: Ballot,
    /// The job's service.
    pub service: ServiceName,
    /// Whether a task may safely have run before.
    pub idempotent: bool,
}

/// Why an agent did not start a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum StartRefusal {
    /// The shard was taken over under this higher ballot.
    #[error("the shard is owned under ballot {0}")]
    StaleBallot(Ballot),
    /// The task was started here before, or refused for good.
    #[error("the task was started before")]
    AlreadyStarted,
    /// The agent has not joined yet.
    #[error("the agent has not joined yet")]
    NotJoined,
    /// The agent is leaving.
    #[error("the agent is leaving")]
    Leaving,
    /// The agent can hold no more start markers.
    #[error("the agent can hold no more start markers")]
    Full,
}

/// What an agent holds of a start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StartRecord {
    /// The job's key.
    pub key: JobKey,
    /// The task.
    pub index: TaskIndex,
    /// Number of tasks in the whole job.
    pub job_tasks: u32,
    /// Hash of the job's content.
    pub fingerprint: u64,
    /// The shard of the key.
    pub shard: ShardId,
    /// The job's service.
    pub service: ServiceName,
    /// Whether a task may safely have run before.
    pub idempotent: bool,
    /// How it ended, or `None` while it runs.
    pub result: Option<TaskResult>,
}

/// An agent's answer to a fence.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FenceReport {
    /// Shards that were fenced under a higher ballot already, with that ballot.
    pub refused: Vec<(ShardId, Ballot)>,
    /// Every start held for the shards that were fenced now.
    pub records: Vec<StartRecord>,
    /// Jobs of those shards that an owner was allowed to refuse as not run.
    pub withdrawn: Vec<Withdrawal>,
    /// Agents that left and whose records this agent has adopted and reports with its own.
    pub adopted: Vec<Incarnation>,
}

/// A job that its owner refuses as not run, or closes as unknown. An agent marks it before the
/// answer is given, so that no later owner starts it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Withdrawal {
    /// The job's key.
    pub key: JobKey,
    /// Hash of the job's content.
    pub fingerprint: u64,
    /// The shard of the key.
    pub shard: ShardId,
    /// The job's service.
    pub service: ServiceName,
    /// Why the job is refused.
    pub reason: Reason,
}

impl Withdrawal {
    /// Returns whether the job was closed as unknown, rather than refused as not run.
    pub fn is_closed(&self) -> bool {
        self.reason == Reason::AccountIncomplete
    }

    /// Returns what an owner answers that learns of the job by this.
    pub(crate) fn answer(&self) -> Answer {
        let reason = self.reason;
        let detail = "an earlier owner of the shard answered so".to_owned();
        match self.is_closed() {
            true => Answer::Unknown { reason, detail },
            false => Answer::NotRun {
                reason,
                detail,
                retry_after: None,
            },
        }
    }
}

/// What a leaving agent hands to another one.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Custody {
    /// The leaving agent, and those whose records it had adopted.
    pub agents: Vec<Incarnation>,
    /// Every start that it holds.
    pub records: Vec<StartRecord>,
    /// Every withdrawal that it holds.
    pub withdrawn: Vec<Withdrawal>,
}
