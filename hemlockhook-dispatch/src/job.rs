//! Job specifications, and the configuration of queues and services.

use std::sync::Arc;
use std::time::Duration;

use strum::IntoStaticStr;

use crate::{Amounts, JobId};

/// Maximum number of tasks of a job.
pub const MAX_TASKS: u64 = 4096;

/// Maximum size of a payload, in bytes. Each order of a task carries a copy of it.
pub const MAX_PAYLOAD_BYTES: usize = 4096;

/// Maximum expected run time of a task. Declared run times beyond it count as this one.
pub const MAX_RUN_TIME: Duration = Duration::from_secs(24 * 60 * 60);

/// A job as specified by its caller.
#[derive(Clone, Debug, PartialEq)]
pub struct JobSpec {
    /// ID chosen by the caller.
    pub id: JobId,
    /// Payload that is passed to the upstream with each task.
    pub payload: Arc<str>,
    /// Steps of the job. A step may depend on earlier steps only.
    pub steps: Vec<StepSpec>,
    /// Whether the job must survive the process that accepts it.
    pub is_stored: bool,
    /// Number of scheduled repetitions; 0 if the job runs once, immediately.
    pub repetitions: u32,
}

/// A step of a job, which consists of identical tasks.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct StepSpec {
    /// Number of tasks.
    pub tasks: u32,
    /// Resources that each task requires.
    pub need: Amounts,
    /// Run time of a task as estimated by the caller.
    pub declared_run_time: Duration,
    /// Steps whose tasks must all have succeeded before this one starts.
    pub depends_on: Vec<usize>,
    /// Label that an upstream is required to have.
    pub required_label: Option<Arc<str>>,
    /// Label of upstreams close to the task's data.
    pub preferred_label: Option<Arc<str>>,
    /// Maximum number of tasks of the step that run on one upstream at once.
    pub max_per_upstream: Option<u32>,
    /// Whether the tasks can only run together, as a gang.
    pub is_gang: bool,
    /// Whether the tasks run until the job is cancelled.
    pub is_long_running: bool,
}

/// Features of a job that are not supported.
#[derive(Clone, Copy, Debug, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Unsupported {
    /// The job must survive the process that accepts it.
    Stored,
    /// The job runs on a schedule.
    Repetitions,
    /// Tasks that can only run together.
    Gang,
    /// Tasks that run until they are cancelled.
    LongRunning,
    /// The upstreams that may run the job have to be requested from a recommendation service.
    Recommendation,
    /// The job has no steps, or a step has no tasks or depends on itself or on a later one.
    Steps,
    /// The job has more than [`MAX_TASKS`] tasks.
    Tasks,
    /// The payload is larger than [`MAX_PAYLOAD_BYTES`].
    Payload,
}

impl JobSpec {
    /// Returns the number of tasks of all steps.
    pub fn tasks(&self) -> u64 {
        self.steps.iter().map(|step| u64::from(step.tasks)).sum()
    }

    /// Returns the first unsupported feature of the job, if any.
    pub fn unsupported(&self, queue_config: &QueueConfig) -> Option<Unsupported> {
        let is_misordered = |(index, step): (usize, &StepSpec)| {
            step.tasks == 0
                || step
                    .depends_on
                    .iter()
                    .any(|&dependency| dependency >= index)
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
            _ if self.tasks() > MAX_TASKS => Some(Unsupported::Tasks),
            _ if self.payload.len() > MAX_PAYLOAD_BYTES => Some(Unsupported::Payload),
            _ => None,
        }
    }
}

/// Configuration of a queue.
#[derive(Clone, Debug, PartialEq)]
pub struct QueueConfig {
    /// Name of the queue.
    pub name: Arc<str>,
    /// Host of the request that selects this queue.
    pub host: Arc<str>,
    /// Path prefix of requests for this queue.
    pub path_prefix: Arc<str>,
    /// Service whose upstreams run the tasks.
    pub service: Arc<str>,
    /// Priority among the queues; 0 is the highest.
    pub priority: u32,
    /// Number of failed attempts at one task after which the job fails.
    pub attempts: u32,
    /// Factor on a job's critical path in its latency objective.
    pub stretch: f64,
    /// Time that is added to the latency objective, independent of the critical path.
    pub latency_target: Duration,
    /// Time until the deadline of a job whose caller does not state how long it waits.
    pub timeout: Option<Duration>,
    /// Whether the upstreams for a task have to be requested from a recommendation service.
    pub needs_recommendation: bool,
}

/// Configuration of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceConfig {
    /// Name of the service, which [`QueueConfig::service`] refers to.
    pub name: Arc<str>,
    /// Maximum number of connections to one of its upstreams.
    pub max_connections: usize,
}
