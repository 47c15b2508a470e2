//! Input and output types of the scheduler.

use std::sync::Arc;
use std::time::{Duration, Instant};

use hemlockhook_types::{Incarnation, Reason, ServiceName, TaskIndex, TeamName};
use strum::{Display, IntoStaticStr};
use thiserror::Error;

slotmap::new_key_type! {
    /// Identifies a job within one dispatcher.
    pub struct JobId;
}

/// An upstream as its agent announces it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamSpec {
    /// Name of the instance in the inventory.
    pub name: Arc<str>,
    /// Services that it runs.
    pub services: Vec<ServiceName>,
    /// Worker that it runs on.
    pub worker: Arc<str>,
    /// Rack of the worker.
    pub rack: Arc<str>,
    /// Data center of the worker.
    pub data_center: Arc<str>,
    /// Number of tasks that it runs at once.
    pub slots: u32,
}

/// One task of a submitted job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TaskSpec {
    /// Position of the task in its job.
    pub index: TaskIndex,
    /// Class of the task. Tasks of one service and class have similar run times.
    pub class: Arc<str>,
    /// Run time declared by the caller, if any.
    pub declared_run_time: Option<Duration>,
}

/// A job to be scheduled.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JobSpec {
    /// Team that the job is charged to.
    pub team: TeamName,
    /// Service that runs the tasks.
    pub service: ServiceName,
    /// Time after which the result is of no use.
    pub deadline: Instant,
    /// Tasks to start.
    pub tasks: Vec<TaskSpec>,
}

/// Scheduling rules and limits from the inventory.
#[derive(Clone, Debug, PartialEq)]
pub struct Policy {
    /// Weights of the teams. If empty, every team is admitted with a weight of 1.
    pub teams: Vec<(TeamName, u32)>,
    /// Services of the inventory. If empty, every service that an upstream runs is admitted.
    pub services: Vec<ServiceName>,
    /// Maximum number of queued tasks.
    pub max_queued: usize,
    /// Minimum expected run time of a task that counts as long work.
    pub long_threshold: Duration,
    /// Share of the slots, in percent, that long work may use while short work waits.
    pub long_ceiling_percent: u32,
    /// Time after submission at which a job is due, in percent of its ideal run time. Larger values
    /// favour short jobs and let long ones age more slowly.
    pub ageing_percent: u32,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            teams: Vec::new(),
            services: Vec::new(),
            max_queued: 200_000,
            long_threshold: Duration::from_secs(4),
            long_ceiling_percent: 25,
            ageing_percent: 600,
        }
    }
}

/// Instruction to start one task at an agent. It uses up a grant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Placement {
    /// Agent of the chosen upstream.
    pub agent: Incarnation,
    /// Job of the task.
    pub job: JobId,
    /// Position of the task in its job.
    pub index: TaskIndex,
    /// Whether the task counts as long work.
    pub long: bool,
}

/// An entry's backlog for one agent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Demand {
    /// Number of queued tasks that the upstream could run.
    pub queued: u32,
    /// Time until the first of these tasks is due, in milliseconds, plus 2^31 so that overdue tasks
    /// can be expressed. It is relative to the time of sending, since the clocks of processes
    /// cannot be compared.
    pub head_urgency: u64,
    /// Number of long tasks among them.
    pub queued_long: u32,
}

/// Reason for which a job is rejected.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{reason}: {detail}")]
pub struct Rejection {
    /// Machine-readable reason.
    pub reason: Reason,
    /// Human-readable explanation.
    pub detail: String,
    /// Suggested delay before the job is submitted again.
    pub retry_after: Option<Duration>,
}

/// Action that the platform is asked to take on a running task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum InterventionKind {
    /// Reduces the processor time of the task.
    Throttle,
    /// Saves the state of the task and frees its slot.
    Checkpoint,
}

/// Request to act on a running task that was expected to be short, but runs long while short work
/// waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Intervention {
    /// Agent that the task runs at.
    pub agent: Incarnation,
    /// Job of the task.
    pub job: JobId,
    /// Position of the task in its job.
    pub index: TaskIndex,
    /// Action to ask for.
    pub kind: InterventionKind,
}

/// Health of an upstream, which determines how much work it is given.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum UpstreamHealth {
    /// Runs fewer tasks at once than it has slots; each success raises the limit.
    SlowStart,
    /// Runs as many tasks at once as it has slots.
    Healthy,
    /// Receives only probes, after repeated failures that its peers did not share.
    Quarantined,
    /// Receives no further tasks, because it is shutting down.
    Leaving,
}

/// One upstream in a [`Snapshot`].
#[derive(Clone, Debug, PartialEq)]
pub struct UpstreamSnapshot {
    /// Incarnation of the agent.
    pub agent: Incarnation,
    /// Name of the instance.
    pub name: Arc<str>,
    /// Health of the upstream.
    pub health: UpstreamHealth,
    /// Learned speed; 1 is the mean of its peers.
    pub speed: f64,
    /// Number of unused grants held for it.
    pub grants: u32,
    /// Number of running tasks of this entry.
    pub running: u32,
}

/// One team in a [`Snapshot`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TeamSnapshot {
    /// Name of the team.
    pub team: TeamName,
    /// Number of queued tasks of this entry.
    pub queued: u32,
    /// Number of running tasks of this entry.
    pub running: u32,
}

/// The state of a dispatcher, for status reports.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Snapshot {
    /// Number of queued tasks of each service.
    pub services: Vec<(ServiceName, u32)>,
    /// Teams that have tasks.
    pub teams: Vec<TeamSnapshot>,
    /// Upstreams whose agents are linked to this entry.
    pub upstreams: Vec<UpstreamSnapshot>,
}
