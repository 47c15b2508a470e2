//! What goes into and comes out of the scheduling decisions.

use std::sync::Arc;
use std::time::{Duration, Instant};

use hemlockhook_types::{Incarnation, Reason, ServiceName, TaskIndex, TeamName};
use strum::{Display, IntoStaticStr};
use thiserror::Error;

slotmap::new_key_type! {
    /// Names a job within one dispatcher.
    pub struct JobId;
}

/// An upstream as its agent announces it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamSpec {
    /// Name of the instance in the inventory.
    pub name: Arc<str>,
    /// The services that it runs.
    pub services: Vec<ServiceName>,
    /// The worker that it runs on.
    pub worker: Arc<str>,
    /// The worker's rack.
    pub rack: Arc<str>,
    /// The worker's data center.
    pub data_center: Arc<str>,
    /// Tasks that it runs at once.
    pub slots: u32,
}

/// One task of a submitted job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TaskSpec {
    /// Position in the job.
    pub index: TaskIndex,
    /// Groups tasks of like run time within a service.
    pub class: Arc<str>,
    /// The run time that the caller declared, if any.
    pub declared_run_time: Option<Duration>,
}

/// A job to be scheduled.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JobSpec {
    /// The team whose share it counts against.
    pub team: TeamName,
    /// The service that its tasks are for.
    pub service: ServiceName,
    /// When its answer ceases to be of use.
    pub deadline: Instant,
    /// The tasks that are to be started.
    pub tasks: Vec<TaskSpec>,
}

/// Rules and limits of the scheduling, from the inventory.
#[derive(Clone, Debug, PartialEq)]
pub struct Policy {
    /// Weights of the teams. Empty admits every team with a weight of 1.
    pub teams: Vec<(TeamName, u32)>,
    /// The services of the inventory. Empty admits every service that an upstream runs.
    pub services: Vec<ServiceName>,
    /// Tasks that may be queued at once.
    pub max_queued: usize,
    /// A task expected to run at least as long as this counts as long work.
    pub long_threshold: Duration,
    /// Share of the slots, in percent, that long work may hold while short work waits.
    pub long_ceiling_percent: u32,
    /// Queueing time that a job of one second is given before it counts as late, in percent of its
    /// run time. Larger values favour short jobs more and age long ones more slowly.
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

/// Orders one task to be started at an agent, under a grant that is thereby used up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Placement {
    /// The agent beside the chosen upstream.
    pub agent: Incarnation,
    /// The task's job.
    pub job: JobId,
    /// The task's position in its job.
    pub index: TaskIndex,
    /// Whether it counts as long work.
    pub long: bool,
}

/// An entry's backlog for one agent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Demand {
    /// Queued tasks that the upstream could run.
    pub queued: u32,
    /// Time until the first of them is due, in milliseconds, plus 2^31, so that what is overdue can
    /// be told. Relative to its sending, since clocks of processes cannot be compared.
    pub head_urgency: u64,
    /// Long tasks among those queued.
    pub queued_long: u32,
}

/// Why a job is not taken.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{reason}: {detail}")]
pub struct Rejection {
    /// The reason.
    pub reason: Reason,
    /// What is missing, for people.
    pub detail: String,
    /// When a new submission may do better.
    pub retry_after: Option<Duration>,
}

/// What the platform is asked to do with a running task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum InterventionKind {
    /// Give it less processor time.
    Throttle,
    /// Save its state and free its slot.
    Checkpoint,
}

/// A running task that was declared short, runs long and keeps short work waiting.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Intervention {
    /// Where it runs.
    pub agent: Incarnation,
    /// Its job.
    pub job: JobId,
    /// Its position in the job.
    pub index: TaskIndex,
    /// What to ask for.
    pub kind: InterventionKind,
}

/// Whether an upstream is given work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum UpstreamHealth {
    /// New: given a few tasks at a time until it has proved itself.
    SlowStart,
    /// Given as much as it has slots for.
    Healthy,
    /// Given probes only, after it failed far more than its peers.
    Quarantined,
    /// Given nothing more, because it is shutting down.
    Leaving,
}

/// One upstream in a [`Snapshot`].
#[derive(Clone, Debug, PartialEq)]
pub struct UpstreamSnapshot {
    /// The agent's incarnation.
    pub agent: Incarnation,
    /// Name of the instance.
    pub name: Arc<str>,
    /// Whether it is given work.
    pub health: UpstreamHealth,
    /// Its learned speed; 1 is the mean of its peers.
    pub speed: f64,
    /// Grants held.
    pub grants: u32,
    /// Tasks of this entry that run there.
    pub running: u32,
}

/// One team in a [`Snapshot`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TeamSnapshot {
    /// The team.
    pub team: TeamName,
    /// Tasks queued at this entry.
    pub queued: u32,
    /// Tasks of this entry that run.
    pub running: u32,
}

/// The state of a dispatcher, for status reports.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Snapshot {
    /// Queued tasks of each service.
    pub services: Vec<(ServiceName, u32)>,
    /// The teams that have work.
    pub teams: Vec<TeamSnapshot>,
    /// The upstreams that are linked.
    pub upstreams: Vec<UpstreamSnapshot>,
}
