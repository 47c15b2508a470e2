//! Names of tasks and how their attempts end.

use std::sync::Arc;

use strum::IntoStaticStr;

/// The name that a caller gave its job.
pub type JobId = Arc<str>;

/// Identifies one life of a process.
pub type Incarnation = u64;

/// Numbers the starts of a task at upstreams; it only rises.
pub type RunNumber = u64;

/// A task of a job.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TaskId {
    /// The job.
    pub job: JobId,
    /// Which of the job's repetitions, from 0.
    pub occurrence: u32,
    /// Which of the job's steps, from 0.
    pub step: u32,
    /// Which of the step's tasks, from 0.
    pub index: u32,
}

/// One attempt of an entry at a task.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct TaskRef {
    /// The task.
    pub task: TaskId,
    /// Number of the attempt, from 1, of the entry's own.
    pub attempt: u32,
}

/// How an attempt has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Outcome {
    /// The task has ended well.
    Done,
    /// The task has failed, by its own fault or the upstream's.
    Failed,
    /// The task has failed on an upstream that fails most tasks.
    FailedByUpstream,
    /// The task began, and is over without a result.
    Lost,
    /// The task has not begun, and will not.
    NotStarted,
}

/// The end of an attempt, as the agent tells it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AttemptEnd {
    /// The attempt.
    pub task: TaskRef,
    /// How it ended.
    pub outcome: Outcome,
    /// Time from the start to the end, in milliseconds.
    pub run_ms: u32,
}
