//! Types of the inventory document.

use std::sync::Arc;
use std::time::Duration;

use hemlockhook_types::{ServiceName, TeamName};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::units;

/// Regular expression for names in the document.
pub const NAME_PATTERN: &str = "^[a-z0-9][a-z0-9._-]{0,62}$";

/// Inventory of a deployment: its workers, upstreams, services and teams, with their objectives and
/// quotas. It contains no secrets: every string in it is a name or a duration.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Inventory {
    /// Name of the deployment, shown in reports.
    #[schemars(regex(pattern = NAME_PATTERN))]
    pub deployment: Arc<str>,
    /// The data centers with their regions.
    #[schemars(length(min = 1))]
    pub data_centers: Vec<DataCenter>,
    /// The workers.
    #[schemars(length(min = 1))]
    pub workers: Vec<Worker>,
    /// The services that callers submit jobs for.
    #[schemars(length(min = 1))]
    pub services: Vec<Service>,
    /// The upstream instances that run the services' tasks.
    #[schemars(length(min = 1))]
    pub upstreams: Vec<Upstream>,
    /// The teams that submit jobs.
    #[schemars(length(min = 1))]
    pub teams: Vec<Team>,
    /// Rules for the whole deployment.
    #[serde(default)]
    pub rules: Rules,
}

/// A data center and its region.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct DataCenter {
    /// Unique name.
    #[schemars(regex(pattern = NAME_PATTERN))]
    pub name: Arc<str>,
    /// Region of the data center. Shards are owned and jobs run within one region where possible.
    #[schemars(regex(pattern = NAME_PATTERN))]
    pub region: Arc<str>,
}

/// A worker, as the asset register lists it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Worker {
    /// Unique name.
    #[schemars(regex(pattern = NAME_PATTERN))]
    pub name: Arc<str>,
    /// Rack of the worker.
    #[schemars(regex(pattern = NAME_PATTERN))]
    pub rack: Arc<str>,
    /// Data center of the rack.
    #[schemars(regex(pattern = NAME_PATTERN))]
    pub data_center: Arc<str>,
    /// Number of processor cores.
    #[schemars(range(min = 1, max = 4096))]
    pub processors: u32,
    /// Memory in GB.
    #[schemars(range(min = 1, max = 65536))]
    pub memory_gb: u32,
    /// Number of accelerators.
    #[serde(default)]
    #[schemars(range(min = 0, max = 64))]
    pub accelerators: u32,
}

/// A service that callers submit jobs for.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Unique name.
    #[schemars(regex(pattern = NAME_PATTERN))]
    pub name: ServiceName,
    /// Maximum time from submission for which a job's answer is useful. Later deadlines of jobs are
    /// reduced to it.
    #[serde(with = "units")]
    #[schemars(with = "String", regex(pattern = units::DURATION_PATTERN))]
    pub deadline: Duration,
    /// Maximum run time of a task, after which it is stopped and counts as failed.
    #[serde(with = "units")]
    #[schemars(with = "String", regex(pattern = units::DURATION_PATTERN))]
    pub max_task_time: Duration,
    /// The service-level objective.
    pub objective: Objective,
}

/// A service-level objective: the share of jobs that must complete within a time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Objective {
    /// Share of the jobs in percent; less than 100.
    #[schemars(range(min = 50.0, max = 99.999))]
    pub percent: f64,
    /// Time from submission to the complete answer.
    #[serde(with = "units")]
    #[schemars(with = "String", regex(pattern = units::DURATION_PATTERN))]
    pub within: Duration,
}

/// An upstream instance, which has its own agent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Upstream {
    /// Unique name, which is also set in the agent's settings.
    #[schemars(regex(pattern = NAME_PATTERN))]
    pub name: Arc<str>,
    /// Worker that the upstream runs on.
    #[schemars(regex(pattern = NAME_PATTERN))]
    pub worker: Arc<str>,
    /// Services whose tasks the upstream runs.
    #[schemars(length(min = 1), inner(regex(pattern = NAME_PATTERN)))]
    pub services: Vec<ServiceName>,
    /// Maximum number of concurrent tasks.
    #[schemars(range(min = 1, max = 1024))]
    pub slots: u32,
    /// Maximum number of connections that the upstream accepts; at least one per slot.
    #[schemars(range(min = 1, max = 65535))]
    pub connections: u32,
}

/// A team and its quota.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Team {
    /// Unique name, which is the prefix of the keys of the team's jobs.
    #[schemars(regex(pattern = NAME_PATTERN))]
    pub name: TeamName,
    /// Weight of the team when there are not enough slots; other teams may use its idle part.
    #[serde(default = "default_share")]
    #[schemars(range(min = 1, max = 1000))]
    pub share: u32,
}

/// Rules for the whole deployment.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Rules {
    /// Minimum run time for a task to count as long work.
    #[serde(with = "units")]
    #[schemars(with = "String", regex(pattern = units::DURATION_PATTERN))]
    pub long_after: Duration,
    /// Maximum share, in percent, of each upstream's slots and of all slots that long work may use
    /// while short work is waiting.
    #[schemars(range(min = 1, max = 100))]
    pub long_ceiling_percent: u32,
}

impl Inventory {
    /// Returns the upstream with this name.
    pub fn upstream(&self, name: &str) -> Option<&Upstream> {
        self.upstreams.iter().find(|u| &*u.name == name)
    }

    /// Returns the worker with this name.
    pub fn worker(&self, name: &str) -> Option<&Worker> {
        self.workers.iter().find(|w| &*w.name == name)
    }

    /// Returns the service with this name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|s| &*s.name == name)
    }

    /// Returns the team with this name.
    pub fn team(&self, name: &str) -> Option<&Team> {
        self.teams.iter().find(|t| &*t.name == name)
    }

    /// Returns the data center with this name.
    pub fn data_center(&self, name: &str) -> Option<&DataCenter> {
        self.data_centers.iter().find(|d| &*d.name == name)
    }

    /// Returns the region of a data center.
    pub fn region_of(&self, data_center: &str) -> Option<&str> {
        self.data_center(data_center).map(|d| &*d.region)
    }

    /// Returns the total number of slots of all upstreams.
    pub fn total_slots(&self) -> u32 {
        self.upstreams.iter().map(|u| u.slots).sum()
    }
}

impl Default for Rules {
    fn default() -> Self {
        Self {
            long_after: Duration::from_secs(4),
            long_ceiling_percent: 25,
        }
    }
}

/// Returns whether a string matches [`NAME_PATTERN`].
pub fn is_name(text: &str) -> bool {
    let allowed = |c: u8| c.is_ascii_lowercase() || c.is_ascii_digit() || b"._-".contains(&c);
    let first = text.bytes().next();
    text.len() <= 63
        && text.bytes().all(allowed)
        && first.is_some_and(|c| c.is_ascii_alphanumeric())
}

fn default_share() -> u32 {
    1
}
