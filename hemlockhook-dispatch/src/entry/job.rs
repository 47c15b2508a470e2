//! Jobs admitted by an entry.

use std::sync::Arc;
use std::time::{Duration, Instant};

use slotmap::new_key_type;
use strum::IntoStaticStr;

use crate::entry::classes::ClassKey;
use crate::entry::dispatcher::JobClaims;
use crate::entry::{AgentKey, Refusal};
use crate::{JobSpec, QueueConfig, StepSpec};

new_key_type! {
    /// Identifies a job admitted by an entry.
    pub struct JobKey;
}

/// Answer to a job.
#[derive(Clone, Debug, PartialEq, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Answer {
    /// All tasks have succeeded.
    Completed,
    /// A task has failed the maximum number of times set by its queue.
    Failed,
    /// The job was cancelled.
    Cancelled,
    /// No task was started, and none will be started.
    NotRun(Refusal),
    /// The deadline has passed, and a task may have been started.
    TimedOut,
}

/// Size of an allocation's header and of what rounding up adds to it, in bytes.
const ALLOCATION_BYTES: usize = 16;

/// Memory of a task besides its state, in bytes: its entries among the attempts at an agent, the
/// unacknowledged orders and the cancelled attempts, each with its part of a tree or a table.
const PLACED_TASK_BYTES: usize = 192;

/// Returns the memory that an entry keeps for a job until it is answered, in bytes.
///
/// A few bytes of a request can state thousands of tasks.
pub fn job_memory(spec: &JobSpec) -> usize {
    let label = |label: &Option<Arc<str>>| {
        let bytes = label
            .as_ref()
            .map(|label| label.len() + 2 * ALLOCATION_BYTES);
        bytes.unwrap_or_default()
    };
    let task = size_of::<Task>() + size_of::<(u32, u32)>() + PLACED_TASK_BYTES;
    let step = |step: &StepSpec| {
        let dependencies = step.depends_on.capacity() * size_of::<usize>();
        let labels = label(&step.required_label) + label(&step.preferred_label);
        let fixed = size_of::<StepSpec>() + size_of::<Step>() + 2 * ALLOCATION_BYTES;
        fixed + dependencies + labels + step.tasks as usize * task
    };
    spec.payload.len() + spec.steps.iter().map(step).sum::<usize>()
}

/// A job that an entry has admitted and not answered yet.
#[derive(Debug)]
pub(super) struct Job {
    pub(super) spec: JobSpec,
    pub(super) queue_config: Arc<QueueConfig>,
    /// Time within which the job should be answered.
    pub(super) objective: Duration,
    /// When the job should be answered, by its latency objective.
    pub(super) due: Instant,
    /// When an answer stops being useful to the caller.
    pub(super) useful_until: Instant,
    /// When the job times out.
    pub(super) deadline: Instant,
    /// When its caller was last known to be connected.
    pub(super) caller_seen: Instant,
    pub(super) claims: JobClaims,
    pub(super) steps: Vec<Step>,
    /// Tasks that are ready to be placed, as step and index. The last one is placed next.
    pub(super) queued: Vec<(u32, u32)>,
    /// Number of attempts that were sent and have not ended.
    pub(super) placed: usize,
    /// Number of tasks that have not succeeded yet.
    pub(super) unfinished: usize,
    /// Whether a task may have begun.
    pub(super) has_begun: bool,
    /// Rank in the queue, while tasks are queued.
    pub(super) rank: Option<Rank>,
    /// What it added to the backlog of its class; `None` if it is not admitted by class.
    pub(super) backlog: Option<Backlog>,
}

/// Work that a job has added to the backlog of its class.
#[derive(Clone, Debug)]
pub(super) struct Backlog {
    pub(super) class: ClassKey,
    /// In core-seconds.
    pub(super) work: f64,
}

/// Rank in the queue: the lowest comes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Rank {
    pub(super) class: u32,
    /// Latest start of the job, delayed by its priority.
    pub(super) start_by: Instant,
    pub(super) job: JobKey,
}

#[derive(Debug)]
pub(super) struct Step {
    pub(super) tasks: Vec<Task>,
    pub(super) unfinished: usize,
    /// Expected run time of a task on an upstream of pace 1.
    pub(super) expected: Duration,
    /// Whether the steps that it depends on have succeeded.
    pub(super) is_open: bool,
}

#[derive(Clone, Debug, Default)]
pub(super) struct Task {
    pub(super) attempt: u32,
    pub(super) failures: u32,
    pub(super) is_done: bool,
    /// Agent of the current attempt.
    pub(super) at: Option<AgentKey>,
    /// The most recent agents at which the task failed or was lost.
    pub(super) avoid: Vec<AgentKey>,
}

impl Job {
    pub(super) fn task(&mut self, (step, index): (u32, u32)) -> Option<&mut Task> {
        let step = self.steps.get_mut(step as usize)?;
        step.tasks.get_mut(index as usize)
    }

    /// Returns the expected run time of the unfinished steps, one after the other.
    pub(super) fn remaining_run_time(&self) -> Duration {
        let remaining = |step: &Step| (step.unfinished > 0).then_some(step.expected);
        self.steps.iter().filter_map(remaining).sum()
    }

    /// Opens the steps whose dependencies have succeeded, and queues their tasks.
    pub(super) fn open_steps(&mut self) {
        for index in 0..self.steps.len() {
            let dependencies = &self.spec.steps[index].depends_on;
            let is_ready = dependencies
                .iter()
                .all(|&step| self.steps[step].unfinished == 0);
            if self.steps[index].is_open || !is_ready {
                continue;
            }
            self.steps[index].is_open = true;
            let tasks = (0..self.steps[index].tasks.len() as u32).rev();
            self.queued.extend(tasks.map(|task| (index as u32, task)));
        }
    }
}
