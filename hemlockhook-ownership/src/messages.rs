//! Messages about task starts between owners and agents.

use hemlockhook_types::{
    Answer, Ballot, Incarnation, JobKey, Reason, ServiceName, ShardId, TaskIndex, TaskResult,
};
use thiserror::Error;

/// A request to an agent to start one task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StartOrder {
    /// The job's key.
    pub key: JobKey,
    /// The index of the task.
    pub index: TaskIndex,
    /// Number of tasks in the whole job.
    pub job_tasks: u32,
    /// Hash of the job's content.
    pub fingerprint: u64,
    /// The shard that the key belongs to.
    pub shard: ShardId,
    /// The ballot under which the sender owns the shard.
    pub ballot: Ballot,
    /// The job's service.
    pub service: ServiceName,
    /// Whether it is safe to run a task more than once.
    pub idempotent: bool,
}

/// Why an agent did not start a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum StartRefusal {
    /// The shard is owned under this ballot, which is higher than that of the request.
    #[error("the shard is owned under ballot {0}")]
    StaleBallot(Ballot),
    /// The task was started at this agent before, or its job was withdrawn.
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

/// An agent's record of one task start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StartRecord {
    /// The job's key.
    pub key: JobKey,
    /// The index of the task.
    pub index: TaskIndex,
    /// Number of tasks in the whole job.
    pub job_tasks: u32,
    /// Hash of the job's content.
    pub fingerprint: u64,
    /// The shard that the key belongs to.
    pub shard: ShardId,
    /// The job's service.
    pub service: ServiceName,
    /// Whether it is safe to run a task more than once.
    pub idempotent: bool,
    /// The result, or `None` while the task runs.
    pub result: Option<TaskResult>,
}

/// An agent's reply to a fence.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FenceReport {
    /// Shards that were already fenced with a higher ballot, with that ballot.
    pub refused: Vec<(ShardId, Ballot)>,
    /// All starts held for the shards that this fence applied to.
    pub records: Vec<StartRecord>,
    /// All withdrawals held for those shards.
    pub withdrawn: Vec<Withdrawal>,
    /// Agents that left and whose records this agent has adopted. They are included in the report.
    pub adopted: Vec<Incarnation>,
}

/// A job that its owner refuses as not run, or closes as unknown. An agent stores the withdrawal
/// before the caller gets the answer, so that no later owner starts the job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Withdrawal {
    /// The job's key.
    pub key: JobKey,
    /// Hash of the job's content.
    pub fingerprint: u64,
    /// The shard that the key belongs to.
    pub shard: ShardId,
    /// The job's service.
    pub service: ServiceName,
    /// Why the job is refused or closed.
    pub reason: Reason,
}

impl Withdrawal {
    /// Returns whether the job was closed as unknown, rather than refused as not run.
    pub fn is_closed(&self) -> bool {
        self.reason == Reason::AccountIncomplete
    }

    /// Returns the answer that an owner gives if it knows of the job only from this withdrawal.
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

/// The records that a leaving agent hands over to its custodian.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Custody {
    /// The leaving agent, and the agents whose records it had adopted.
    pub agents: Vec<Incarnation>,
    /// All starts that it holds.
    pub records: Vec<StartRecord>,
    /// All withdrawals that it holds.
    pub withdrawn: Vec<Withdrawal>,
}
