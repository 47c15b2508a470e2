//! The state of one job at its owner.

use std::sync::Arc;
use std::time::Instant;

use hemlockhook_types::{
    Answer, Incarnation, Reason, ServiceName, ShardId, TaskIndex, TaskOutcome, TaskResult,
};

/// The state of one task at its owner.
#[derive(Clone, Debug)]
pub enum TaskState {
    /// Not known to have been started.
    Idle,
    /// A start was sent on the given link of the agent.
    Sent {
        /// The agent to which it was sent.
        agent: Incarnation,
        /// The number of the agent's link at that time, counted from 1.
        link: u64,
        /// When it was sent.
        sent_at: Instant,
        /// Whether an earlier fence was sent to the agent and not yet answered at that time.
        fence_pending: bool,
    },
    /// Running, as reported by an agent.
    Running {
        /// The agent that reported it.
        agent: Incarnation,
    },
    /// Ended with this result.
    Ended(TaskResult),
    /// Possibly started at an agent that was lost or whose marker may have expired.
    Lost,
    /// Ended, with its result dropped because the job is answered.
    Discarded,
}

impl TaskState {
    /// Returns the agent at which the task may be running.
    pub fn agent(&self) -> Option<Incarnation> {
        match self {
            Self::Sent { agent, .. } | Self::Running { agent } => Some(*agent),
            Self::Idle | Self::Ended(_) | Self::Lost | Self::Discarded => None,
        }
    }
}

/// An answer that is held back until an agent has stored the withdrawal.
#[derive(Debug)]
pub struct PendingRefusal {
    /// The answer to give after that.
    pub answer: Answer,
    /// The agent that was asked to store the withdrawal.
    pub agent: Incarnation,
    /// When it was asked.
    pub asked_at: Instant,
    /// Agents that were asked before and did not confirm.
    pub tried: Vec<Incarnation>,
}

/// The state of one job at its owner.
#[derive(Debug)]
pub struct JobState {
    /// The shard of its key.
    pub shard: ShardId,
    /// Hash of its content.
    pub fingerprint: u64,
    pub service: ServiceName,
    /// Whether it is safe to run a task more than once.
    pub idempotent: bool,
    /// Number of its tasks.
    pub job_tasks: u32,
    /// Its tasks, empty once the job is answered and no task may be running.
    pub tasks: Vec<TaskState>,
    /// When it was submitted to this owner, or `None` if it is known only from the reports of
    /// agents.
    pub admitted_at: Option<Instant>,
    /// The refusal that no agent has confirmed yet, if any.
    pub pending_refusal: Option<PendingRefusal>,
    pub answer: Option<Answer>,
    /// Time of the last change.
    pub changed_at: Instant,
}

impl JobState {
    /// Returns whether any task was started or may have been.
    pub fn any_started(&self) -> bool {
        self.tasks
            .iter()
            .any(|task| !matches!(task, TaskState::Idle))
    }

    /// Returns the tasks that are not known to have been started.
    pub fn idle_tasks(&self) -> Vec<TaskIndex> {
        (0..)
            .zip(&self.tasks)
            .filter(|(_, task)| matches!(task, TaskState::Idle))
            .map(|(index, _)| index)
            .collect()
    }

    /// Returns the tasks that may be running, with their agents.
    pub fn running_tasks(&self) -> Vec<(Incarnation, TaskIndex)> {
        (0..)
            .zip(&self.tasks)
            .filter_map(|(index, task)| task.agent().map(|agent| (agent, index)))
            .collect()
    }

    /// Returns the answer that follows from the states of the tasks, if they decide it.
    pub fn decided_answer(&self) -> Option<Answer> {
        let failure = (0..)
            .zip(&self.tasks)
            .find_map(|(index, task)| task_failure(index, task));
        if failure.is_some() {
            return failure;
        }
        let results: Option<Vec<_>> = self.tasks.iter().map(task_result).collect();
        results
            .map(|results| results.into_iter().collect::<Option<Vec<_>>>())
            .map(|results| results.map_or_else(evicted_answer, Answer::Complete))
    }

    /// Drops results, and the tasks if none may be running. Called once the job is answered.
    pub fn discard_results(&mut self) {
        for task in &mut self.tasks {
            if matches!(task, TaskState::Ended(_)) {
                *task = TaskState::Discarded;
            }
        }
        if self.tasks.iter().all(|task| task.agent().is_none()) {
            self.tasks = Vec::new();
        }
    }
}

/// Returns the answer with which a task fails its job, if it does.
fn task_failure(index: TaskIndex, task: &TaskState) -> Option<Answer> {
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

/// Returns the body of a task that ended, with an inner `None` if the body is no longer kept.
fn task_result(task: &TaskState) -> Option<Option<Arc<[u8]>>> {
    match task {
        TaskState::Ended(result) => match &result.outcome {
            TaskOutcome::Ok(body) => Some(Some(body.clone())),
            _ => Some(None),
        },
        _ => None,
    }
}

/// Returns the answer of a job that ran and whose results were evicted.
pub fn evicted_answer() -> Answer {
    Answer::Failed {
        reason: Reason::ResultEvicted,
        task: None,
        detail: "every task ran, but a result is kept no longer".to_owned(),
    }
}
