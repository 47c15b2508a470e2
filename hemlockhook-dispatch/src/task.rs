//! Task identifiers and the outcomes of attempts.

use std::sync::Arc;

use strum::IntoStaticStr;

/// Identifies a job; chosen by its caller.
pub type JobId = Arc<str>;

/// Identifies one incarnation of a process, from its start to its end.
pub type Incarnation = u64;

/// Numbers the runs of a task on upstreams; it never decreases.
pub type RunNumber = u64;

/// Identifies a task.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TaskId {
    /// Job that the task belongs to.
    pub job: JobId,
    /// Index of the job's repetition, from 0.
    pub occurrence: u32,
    /// Index of the job's step, from 0.
    pub step: u32,
    /// Index of the task in its step, from 0.
    pub index: u32,
}

/// Identifies an attempt of an entry to run a task.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct TaskRef {
    /// Task that the attempt is to run.
    pub task: TaskId,
    /// Number of the attempt, from 1, assigned by the entry.
    pub attempt: u32,
}

/// What an agent holds for an entry when it links again.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeldAttempts {
    /// All attempts that it holds.
    pub tasks: Vec<TaskRef>,
    /// Sequence number of the last frame that it received on earlier links with this incarnation of
    /// the entry; `None` if it doesn't know. Of the frames after it, it will act on none.
    pub received: Option<u64>,
}

/// Outcome of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Outcome {
    /// The task succeeded.
    Done,
    /// The task failed; the cause may be the task or the upstream.
    Failed,
    /// The task failed on an unhealthy upstream.
    FailedByUpstream,
    /// The task may have started, and the attempt has ended without a result.
    Lost,
    /// The task was not started, and this attempt will not start it.
    NotStarted,
}

/// The end of an attempt as reported by the agent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AttemptEnd {
    /// Attempt that has ended.
    pub task: TaskRef,
    /// How the attempt ended.
    pub outcome: Outcome,
    /// Time from the start to the end, in milliseconds.
    pub run_ms: u32,
}
