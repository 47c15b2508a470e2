//! Outcomes of tasks and answers to jobs.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString, IntoStaticStr};

use crate::id::TaskIndex;

/// Outcome of a task that was started.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TaskOutcome {
    /// The upstream returned a successful response with this body.
    Ok(Arc<[u8]>),
    /// The upstream returned an error, dropped the connection or timed out; the text says which.
    Failed(String),
    /// The task was cancelled while it ran.
    Cancelled,
    /// The task ran, but its result was evicted from memory.
    Evicted,
}

/// Stored result of a task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TaskResult {
    /// Outcome of the task.
    pub outcome: TaskOutcome,
    /// Time that the task ran at the upstream.
    pub run_time: Duration,
}

/// Kind of a job's answer.
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
    /// Every task ran and returned a result.
    Complete,
    /// A task failed, or the job was cancelled after one of its tasks had started.
    Failed,
    /// No task of the job was started, and none will be.
    NotRun,
    /// It cannot be determined whether tasks of the job ran.
    Unknown,
}

/// Reason why a job's answer is not complete.
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
    /// The upstream returned an error, dropped the connection or timed out.
    UpstreamFailed,
    /// The upstream's agent was lost while a task may have been running there, or its record of the
    /// task's start may have expired.
    UpstreamLost,
    /// The task exceeded its time limit.
    TimedOut,
    /// The caller cancelled the job.
    Cancelled,
    /// The deadline passed, or the job could not have met it.
    Deadline,
    /// The inventory has no such service.
    NoSuchService,
    /// The inventory has no such team.
    NoSuchTeam,
    /// No upstream of the service is able to run the job.
    NoUpstream,
    /// The queue is full, or the owner can hold no more jobs.
    Overloaded,
    /// The team's quota is used up and no capacity of other teams is available.
    Quota,
    /// The entry is shutting down.
    Draining,
    /// The shard's owner changed, and not every agent has reported the tasks that it started.
    AccountIncomplete,
    /// The key is older than the window for which starts are kept, or no owner can have issued its
    /// stamp.
    KeyTooOld,
    /// The task ran, but its result was evicted.
    ResultEvicted,
    /// The key was used before for a job with different content.
    KeyReused,
    /// No entry that owns the key's shard could be reached.
    OwnerUnreachable,
}

/// A job's final answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// One result per task, in task order.
    Complete(Vec<Arc<[u8]>>),
    /// At least one task was started and the job did not complete.
    Failed {
        /// Why the job did not complete.
        reason: Reason,
        /// The first task that failed, if any.
        task: Option<TaskIndex>,
        /// Human-readable explanation.
        detail: String,
    },
    /// No task of the job was started, and none will be.
    NotRun {
        /// Why the job was not run.
        reason: Reason,
        /// Human-readable explanation.
        detail: String,
        /// Delay after which a retry under a new key may succeed.
        retry_after: Option<Duration>,
    },
    /// It cannot be determined whether tasks of the job ran.
    Unknown {
        /// Why the outcome cannot be determined.
        reason: Reason,
        /// Human-readable explanation.
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

    /// Returns the reason, or `None` for a complete answer.
    pub fn reason(&self) -> Option<Reason> {
        match self {
            Self::Complete(_) => None,
            Self::Failed { reason, .. }
            | Self::NotRun { reason, .. }
            | Self::Unknown { reason, .. } => Some(*reason),
        }
    }
}
