//! How tasks and jobs end.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString, IntoStaticStr};

use crate::id::TaskIndex;

/// How a task that was started ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TaskOutcome {
    /// The upstream answered with this body.
    Ok(Arc<[u8]>),
    /// The upstream refused, broke or timed out.
    Failed(String),
    /// It was stopped on a cancellation.
    Cancelled,
    /// It ran, and its result has been evicted.
    Evicted,
}

/// The stored end of a task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TaskResult {
    /// How it ended.
    pub outcome: TaskOutcome,
    /// Time between its start and its end at the upstream.
    pub run_time: Duration,
}

/// The kinds of answer a job can get.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    Hash,
    Serialize,
    Deserialize,
    Display,
    EnumString,
    IntoStaticStr,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum AnswerKind {
    /// Every task ran and answered.
    Complete,
    /// A task failed, or the job was cancelled after something of it had started.
    Failed,
    /// No task of the job was started, and none will be.
    NotRun,
    /// Whether tasks of the job ran cannot be told.
    Unknown,
}

/// Why a job was not answered as complete.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    Hash,
    Serialize,
    Deserialize,
    Display,
    EnumString,
    IntoStaticStr,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Reason {
    /// The upstream answered with an error.
    UpstreamFailed,
    /// The upstream, or the agent beside it, was lost while a task ran there.
    UpstreamLost,
    /// The task outlived its time limit.
    TimedOut,
    /// The caller cancelled the job.
    Cancelled,
    /// The deadline passed, or could not have been met.
    Deadline,
    /// The inventory has no such service.
    NoSuchService,
    /// The inventory has no such team.
    NoSuchTeam,
    /// The service has no upstream that could ever run the job.
    NoUpstream,
    /// The queue, or the memory for start markers, is full.
    Overloaded,
    /// The team's quota is used up and nothing is lent.
    Quota,
    /// The entry is shutting down.
    Draining,
    /// The shard's owner changed and not every agent has accounted for its starts.
    AccountIncomplete,
    /// The key is older than the window for which starts are kept.
    KeyTooOld,
    /// The result was kept no longer, although the task ran.
    ResultEvicted,
    /// The key was used before with other content.
    KeyReused,
    /// No entry that owns the key's shard could be reached.
    OwnerUnreachable,
}

/// A job's final answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// One result for each task, in order.
    Complete(Vec<Arc<[u8]>>),
    /// A task began and the job did not complete.
    Failed {
        /// Why.
        reason: Reason,
        /// The task that failed first, where one did.
        task: Option<TaskIndex>,
        /// For people.
        detail: String,
    },
    /// No task of the job was started, and none will be.
    NotRun {
        /// Why.
        reason: Reason,
        /// For people.
        detail: String,
        /// When a new try, under a new key, may do better.
        retry_after: Option<Duration>,
    },
    /// Whether tasks of the job ran cannot be told.
    Unknown {
        /// Why.
        reason: Reason,
        /// For people.
        detail: String,
    },
}

impl Answer {
    /// Returns the kind of the answer.
    pub fn kind(&self) -> AnswerKind {
        match self {
            Self::Complete(_) => AnswerKind::Complete,
            Self::Failed { .. } => AnswerKind::Failed,
            Self::NotRun { .. } => AnswerKind::NotRun,
            Self::Unknown { .. } => AnswerKind::Unknown,
        }
    }

    /// Returns the reason, which every answer but a complete one has.
    pub fn reason(&self) -> Option<Reason> {
        match self {
            Self::Complete(_) => None,
            Self::Failed { reason, .. }
            | Self::NotRun { reason, .. }
            | Self::Unknown { reason, .. } => Some(*reason),
        }
    }
}
