//! Jobs that an entry has taken.

use std::sync::Arc;
use std::time::{Duration, Instant};

use slotmap::new_key_type;
use strum::IntoStaticStr;

use crate::entry::{AgentKey, Refusal};
use crate::{JobSpec, QueueConfig};

new_key_type! {
    /// Identifies a job that an entry has taken.
    pub struct JobKey;
}

/// How a job is answered.
#[derive(Clone, Debug, PartialEq, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Answer {
    /// All tasks have ended well.
    Completed,
    /// A task has failed as often as its queue allows.
    Failed,
    /// The job was cancelled.
    Cancelled,
    /// No task was started, and none will be.
    NotRun(Refusal),
    /// The time is over, and a task may have been started.
    TimedOut,
}

/// A job that an entry has taken and not answered.
#[derive(Debug)]
pub(super) struct Job {
    pub(super) spec: JobSpec,
    pub(super) queue_config: Arc<QueueConfig>,
    /// When it should be answered.
    pub(super) due: Instant,
    /// When an answer is of no more use.
    pub(super) useful_until: Instant,
    /// When it is given up.
    pub(super) deadline: Instant,
    pub(super) steps: Vec<Step>,
    /// Tasks that can be placed, the next one last.
    pub(super) queued: Vec<(u32, u32)>,
    /// Attempts that were sent and have not ended.
    pub(super) placed: usize,
    /// Tasks that have not ended well.
    pub(super) unfinished: usize,
    /// Whether a task may have begun.
    pub(super) has_begun: bool,
    /// Place in the queue, while tasks are queued.
    pub(super) rank: Option<Rank>,
}

/// Place in the queue: the lowest comes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Rank {
    pub(super) class: u32,
    pub(super) at: Instant,
    pub(super) job: JobKey,
}

#[derive(Debug)]
pub(super) struct Step {
    pub(super) tasks: Vec<Task>,
    pub(super) unfinished: usize,
    /// Run time expected of a task on an upstream of pace 1.
    pub(super) expected: Duration,
    /// Whether the steps before it have ended.
    pub(super) is_open: bool,
}

#[derive(Clone, Debug, Default)]
pub(super) struct Task {
    pub(super) attempt: u32,
    pub(super) failures: u32,
    pub(super) is_done: bool,
    /// Where the attempt is that has not ended.
    pub(super) at: Option<AgentKey>,
    /// Agents where it has failed or was lost, the last ones.
    pub(super) avoid: Vec<AgentKey>,
}

impl Job {
    pub(super) fn task(&mut self, (step, index): (u32, u32)) -> Option<&mut Task> {
        let step = self.steps.get_mut(step as usize)?;
        step.tasks.get_mut(index as usize)
    }

    /// Returns the longest run time expected of what is left, step by step.
    pub(super) fn chain(&self) -> Duration {
        let left = |step: &Step| (step.unfinished > 0).then_some(step.expected);
        self.steps.iter().filter_map(left).sum()
    }

    /// Opens the steps whose predecessors have ended, and queues their tasks.
    pub(super) fn open_steps(&mut self) {
        for index in 0..self.steps.len() {
            let before = &self.spec.steps[index].depends_on;
            let is_ready = before.iter().all(|&step| self.steps[step].unfinished == 0);
            if self.steps[index].is_open || !is_ready {
                continue;
            }
            self.steps[index].is_open = true;
            let tasks = (0..self.steps[index].tasks.len() as u32).rev();
            self.queued.extend(tasks.map(|task| (index as u32, task)));
        }
    }
}
