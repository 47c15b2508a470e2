//! What an owner knows of one job.

use std::sync::Arc;
use std::time::Instant;

use hemlockhook_types::{
    Answer, Incarnation, Reason, ServiceName, ShardId, TaskIndex, TaskOutcome, TaskResult,
};

/// What an owner knows of one task.
#[derive(Clone, Debug)]
pub enum TaskState {
    /// Not started as far as is known.
    Idle,
    /// A start was sent on the given link of the agent.
    Sent {
        /// The agent that it was sent to.
        agent: Incarnation,
        /// The agent's link at that time, counted from 1.
        link: u64,
        /// When it was sent.
        at: Instant,
        /// Whether a fence sent to the agent before it had not been answered.
        fencing: bool,
    },
    /// An agent reported that it runs.
    Running {
        /// The agent that reported it.
        agent: Incarnation,
    },
    /// It ended.
    Ended(TaskResult),
    /// It was started at an agent that was given up.
    Lost,
    /// It ended, and its result is not needed any more.
    Past,
}

impl TaskState {
    /// Returns the agent at which the task may run now.
    pub fn agent(&self) -> Option<Incarnation> {
        match self {
            Self::Sent { agent, .. } | Self::Running { agent } => Some(*agent),
            Self::Idle | Self::Ended(_) | Self::Lost | Self::Past => None,
        }
    }
}

/// A refusal that waits until an agent has marked it.
#[derive(Debug)]
pub struct Refusing {
    /// The answer to give then.
    pub answer: Answer,
    /// The agent that was asked.
    pub agent: Incarnation,
    /// When it was asked.
    pub asked: Instant,
    /// The agents that were asked in vain.
    pub tried: Vec<Incarnation>,
}

/// What an owner knows of one job.
#[derive(Debug)]
pub struct JobState {
    /// The shard of its key.
    pub shard: ShardId,
    /// Hash of its content.
    pub fingerprint: u64,
    /// Its service.
    pub service: ServiceName,
    /// Whether a task may safely have run before.
    pub idempotent: bool,
    /// Number of its tasks.
    pub job_tasks: u32,
    /// Its tasks; empty once it is answered and nothing of it runs.
    pub tasks: Vec<TaskState>,
    /// When it was submitted to this owner, if it was not only reported by agents.
    pub admitted: Option<Instant>,
    /// A refusal on its way.
    pub refusing: Option<Refusing>,
    /// Its final answer.
    pub answer: Option<Answer>,
    /// Time of the last change.
    pub touched: Instant,
}

impl JobState {
    /// Returns whether any task was or may have been started.
    pub fn any_started(&self) -> bool {
        self.tasks
            .iter()
            .any(|task| !matches!(task, TaskState::Idle))
    }

    /// Returns the tasks that are not started.
    pub fn idle(&self) -> Vec<TaskIndex> {
        (0..)
            .zip(&self.tasks)
            .filter(|(_, task)| matches!(task, TaskState::Idle))
            .map(|(index, _)| index)
            .collect()
    }

    /// Returns the tasks that run or may run, with their agents.
    pub fn running(&self) -> Vec<(Incarnation, TaskIndex)> {
        (0..)
            .zip(&self.tasks)
            .filter_map(|(index, task)| task.agent().map(|agent| (agent, index)))
            .collect()
    }

    /// Returns the answer that the tasks' states give by now, if any.
    pub fn verdict(&self) -> Option<Answer> {
        let failure = (0..)
            .zip(&self.tasks)
            .find_map(|(index, task)| failure(index, task));
        if failure.is_some() {
            return failure;
        }
        let results: Option<Vec<_>> = self.tasks.iter().map(result).collect();
        results
            .map(|results| results.into_iter().collect::<Option<Vec<_>>>())
            .map(|results| results.map_or_else(evicted, Answer::Complete))
    }

    /// Drops what is not needed once the job is answered.
    pub fn trim(&mut self) {
        for task in &mut self.tasks {
            if matches!(task, TaskState::Ended(_)) {
                *task = TaskState::Past;
            }
        }
        if self.tasks.iter().all(|task| task.agent().is_none()) {
            self.tasks = Vec::new();
        }
    }
}

/// Returns how a task fails its job, if it does.
fn failure(index: TaskIndex, task: &TaskState) -> Option<Answer> {
    let (reason, detail) = match task {
        TaskState::Lost => (Reason::UpstreamLost, "the agent was lost".to_owned()),
        TaskState::Ended(result) => match &result.outcome {
            TaskOutcome::Failed(detail) => (Reason::UpstreamFailed, detail.clone()),
            TaskOutcome::Cancelled => (Reason::Cancelled, "the task was stopped".to_owned()),
            TaskOutcome::Ok(_) | TaskOutcome::Evicted => return None,
        },
        _ => return None,
    };
    Some(Answer::Failed {
        reason,
        task: Some(index),
        detail,
    })
}

/// Returns the result of a task that ended, inside it `None` if it is kept no longer.
fn result(task: &TaskState) -> Option<Option<Arc<[u8]>>> {
    match task {
        TaskState::Ended(result) => match &result.outcome {
            TaskOutcome::Ok(body) => Some(Some(body.clone())),
            _ => Some(None),
        },
        _ => None,
    }
}

/// Returns the answer of a job that ran and whose results are not kept any more.
pub fn evicted() -> Answer {
    Answer::Failed {
        reason: Reason::ResultEvicted,
        task: None,
        detail: "every task ran, but a result is kept no longer".to_owned(),
    }
}
