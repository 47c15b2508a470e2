//! Jobs as callers submit them, and the rules of the queues that take them.

use std::sync::Arc;
use std::time::Duration;

use strum::IntoStaticStr;

use crate::{Amounts, JobId};

/// A job as its caller describes it.
#[derive(Clone, Debug, PartialEq)]
pub struct JobSpec {
    /// The caller's name for it.
    pub id: JobId,
    /// What the upstreams are given with each task.
    pub payload: Arc<str>,
    /// Steps of tasks, in the order in which others may depend on them.
    pub steps: Vec<StepSpec>,
    /// Whether the job has to outlive the process that takes it.
    pub is_stored: bool,
    /// How often the job runs at set times; 0 if it runs once, now.
    pub repetitions: u32,
}

/// A step of a job: tasks that are alike.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct StepSpec {
    /// Number of tasks.
    pub tasks: u32,
    /// What each needs.
    pub need: Amounts,
    /// Run time of a task, by the caller's rough estimate.
    pub declared_run_time: Duration,
    /// Steps whose tasks must all have ended well before.
    pub depends_on: Vec<usize>,
    /// Label that an upstream must have.
    pub required_label: Option<Arc<str>>,
    /// Label of the upstreams near the data.
    pub preferred_label: Option<Arc<str>>,
    /// Most tasks of the step on one upstream at once.
    pub max_per_upstream: Option<u32>,
    /// Whether the tasks work only together.
    pub is_gang: bool,
    /// Whether the tasks run until the job is cancelled.
    pub is_long_running: bool,
}

/// Parts of a job that are not served yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Unsupported {
    /// The job has to outlive the process that takes it.
    Stored,
    /// The job runs at set times.
    Repetitions,
    /// Tasks that work only together.
    Gang,
    /// Tasks that run until they are cancelled.
    LongRunning,
    /// Only a recommendation service knows the upstreams that may run it.
    Recommendation,
    /// A step depends on itself or on a later one, or has no tasks.
    Steps,
}

impl JobSpec {
    /// Returns what keeps the job from being served, if anything does.
    pub fn unsupported(&self, queue_config: &QueueConfig) -> Option<Unsupported> {
        let is_misordered = |(index, step): (usize, &StepSpec)| {
            step.tasks == 0 || step.depends_on.iter().any(|&before| before >= index)
        };
        match self {
            _ if self.is_stored => Some(Unsupported::Stored),
            _ if self.repetitions > 0 => Some(Unsupported::Repetitions),
            _ if self.steps.iter().any(|step| step.is_gang) => Some(Unsupported::Gang),
            _ if self.steps.iter().any(|step| step.is_long_running) => {
                Some(Unsupported::LongRunning)
            }
            _ if queue_config.needs_recommendation => Some(Unsupported::Recommendation),
            _ if self.steps.is_empty() => Some(Unsupported::Steps),
            _ if self.steps.iter().enumerate().any(is_misordered) => Some(Unsupported::Steps),
            _ => None,
        }
    }
}

/// What the configuration says of a queue.
#[derive(Clone, Debug, PartialEq)]
pub struct QueueConfig {
    /// Its name.
    pub name: Arc<str>,
    /// The host that callers name.
    pub host: Arc<str>,
    /// What the paths of its jobs begin with.
    pub path_prefix: Arc<str>,
    /// The service whose upstreams run its tasks.
    pub service: Arc<str>,
    /// Rank among the queues; 0 comes first.
    pub priority: u32,
    /// Failed runs of one task after which its job has failed.
    pub attempts: u32,
    /// How many times its longest chain of work a job may take.
    pub stretch: f64,
    /// Time that a job may take besides.
    pub latency_target: Duration,
    /// Time after which a job is given up.
    pub timeout: Option<Duration>,
    /// Whether only a recommendation service knows the upstreams that may run a task.
    pub needs_recommendation: bool,
}

/// What the configuration says of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceConfig {
    /// Its name.
    pub name: Arc<str>,
    /// Most connections to one of its upstreams.
    pub max_connections: usize,
}
