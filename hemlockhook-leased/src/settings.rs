//! Settings of the daemons of leased work, in YAML.

use std::net::SocketAddr;
use std::time::Duration;

use garde::Validate;
use hemlockhook_dispatch::agent::SupervisorPolicy;
use hemlockhook_dispatch::entry::{DispatchPolicy, PlacementRule};
use serde::Deserialize;

/// Duration of a lease, unless the upstream grants less, in percent of the time after which callers
/// resubmit a job.
const LEASE_PERCENT: u32 = 35;

/// Time after which the runs of a silent entry are stopped, in percent of the same time.
const OWNER_TIMEOUT_PERCENT: u32 = 31;

/// Time after which an entry checks again whether a caller is connected, in percent of the same time.
/// With the next one, the timeout above and the lease it stays below the whole.
const CALLER_CHECK_PERCENT: u32 = 12;

/// Maximum delay of these checks, in percent of the same time.
const CALLER_CHECK_DELAY_PERCENT: u32 = 8;

/// Time after which the attempts of a silent agent have certainly ended, in percent of the same
/// time.
const AGENT_LOST_PERCENT: u32 = 75;

/// Factor on the pace of a cold upstream, if drains are followed. The platform does not state how much
/// slower a cold upstream is; at 2, tasks without slack go to any warm one of at least half its speed.
const COLD_PACE_FACTOR: f64 = 2.0;

/// Settings of an entry.
#[derive(Clone, Debug, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct EntrySettings {
    /// Name of the instance.
    #[garde(length(min = 1, max = 200))]
    pub name: String,
    /// Data center of the entry.
    #[garde(length(min = 1, max = 200))]
    pub data_center: String,
    /// Address on which callers are served.
    #[garde(skip)]
    pub callers_address: SocketAddr,
    /// Address on which readiness checks of the balancer are served.
    #[garde(skip)]
    pub ready_address: SocketAddr,
    /// Address on which links of agents are served.
    #[garde(skip)]
    pub links_address: SocketAddr,
    /// Address on which metrics are served.
    #[garde(skip)]
    pub metrics_address: Option<SocketAddr>,
    /// Address of the platform's store.
    #[garde(skip)]
    pub store_address: SocketAddr,
    /// Time from SIGTERM to SIGKILL, in seconds.
    #[garde(range(min = 1.0, max = 600.0))]
    #[serde(default = "default_grace")]
    pub grace_period_s: f64,
    /// Time after which callers resubmit an unanswered job, in milliseconds.
    #[garde(range(min = 200, max = 600_000))]
    #[serde(default = "default_resubmit")]
    pub resubmit_after_ms: u32,
    /// Factor on the run time of a task on an upstream far from its data.
    #[garde(range(min = 1.0, max = 100.0))]
    #[serde(default = "default_distance")]
    pub distance_factor: f64,
    /// Whether the operators' requests to drain data centers are followed.
    #[garde(skip)]
    #[serde(default)]
    pub drains: bool,
    /// How the upstream for a task is chosen.
    #[garde(skip)]
    #[serde(default)]
    pub placement: PlacementSetting,
    /// How jobs are admitted under overload.
    #[garde(skip)]
    #[serde(default)]
    pub overload: OverloadControl,
    /// Memory of the machine, in millions of bytes.
    #[garde(inner(range(min = 16, max = 1_000_000)))]
    #[serde(default)]
    pub memory_mb: Option<u32>,
    /// Number of file descriptors that the process may open.
    #[garde(inner(range(min = 256, max = 10_000_000)))]
    #[serde(default)]
    pub file_descriptors: Option<u32>,
    /// What is done about tasks that slow each other down on one upstream.
    #[garde(skip)]
    #[serde(default)]
    pub interference: EntryInterference,
    /// Minimum level of the log lines that are written.
    #[garde(skip)]
    #[serde(default)]
    pub log_level: LogLevel,
}

/// Settings of an agent.
#[derive(Clone, Debug, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct AgentSettings {
    /// Name of the instance.
    #[garde(length(min = 1, max = 200))]
    pub name: String,
    /// Data center of the agent.
    #[garde(length(min = 1, max = 200))]
    pub data_center: String,
    /// Address on which announcements of the upstream are served.
    #[garde(skip)]
    pub announcements_address: SocketAddr,
    /// Address of the upstream.
    #[garde(skip)]
    pub upstream_address: SocketAddr,
    /// Address on which metrics are served.
    #[garde(skip)]
    pub metrics_address: Option<SocketAddr>,
    /// Address of the platform's store.
    #[garde(skip)]
    pub store_address: SocketAddr,
    /// Link addresses of entries that are known in advance.
    #[garde(skip)]
    #[serde(default)]
    pub entries: Vec<SocketAddr>,
    /// Time from SIGTERM to SIGKILL, in seconds.
    #[garde(range(min = 1.0, max = 600.0))]
    #[serde(default = "default_grace")]
    pub grace_period_s: f64,
    /// Time after which callers resubmit an unanswered job, in milliseconds.
    #[garde(range(min = 200, max = 600_000))]
    #[serde(default = "default_resubmit")]
    pub resubmit_after_ms: u32,
    /// Maximum duration of a lease that the upstream grants, in milliseconds.
    #[garde(range(min = 100, max = 600_000))]
    #[serde(default = "default_lease")]
    pub max_lease_ms: u32,
    /// Whether the agent follows drains of its data center, and reports a cold upstream as slower.
    #[garde(skip)]
    #[serde(default)]
    pub drains: bool,
    /// Memory of the machine, in millions of bytes.
    #[garde(inner(range(min = 16, max = 1_000_000)))]
    #[serde(default)]
    pub memory_mb: Option<u32>,
    /// Number of file descriptors that the process may open.
    #[garde(inner(range(min = 256, max = 10_000_000)))]
    #[serde(default)]
    pub file_descriptors: Option<u32>,
    /// What is done about tasks that slow each other down on the upstream.
    #[garde(skip)]
    #[serde(default)]
    pub interference: AgentInterference,
    /// Minimum level of the log lines that are written.
    #[garde(skip)]
    #[serde(default)]
    pub log_level: LogLevel,
}

/// Rules for the choice of the upstream for a task.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PlacementSetting {
    /// By the expected run time.
    #[default]
    ByMean,
    /// By the probability of an end in time, from the learned distribution of run times.
    ByRunTimes,
}

impl From<PlacementSetting> for PlacementRule {
    fn from(setting: PlacementSetting) -> Self {
        match setting {
            PlacementSetting::ByMean => Self::ByMean,
            PlacementSetting::ByRunTimes => Self::ByRunTimes,
        }
    }
}

/// Ways of admitting jobs under overload.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OverloadControl {
    /// By the expected wait alone.
    #[default]
    ByWait,
    /// By the share and the backlog of the job's class.
    ByClass,
}

/// What an entry does about tasks that slow each other down on one upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EntryInterference {
    /// Nothing.
    #[default]
    Ignore,
    /// They are kept apart, as far as other upstreams are as good.
    Avoid,
}

/// What an agent does about tasks that slow each other down on its upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AgentInterference {
    /// Nothing.
    #[default]
    Ignore,
    /// It measures the slowdown, and reports it to entries.
    Learn,
}

/// Levels of log lines, in ascending order of severity.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogLevel {
    /// Details for troubleshooting.
    Debug,
    /// Normal operation, such as start, stop and reloaded settings.
    #[default]
    Info,
    /// Conditions that an operator should look into.
    Warn,
    /// Errors, such as a configuration that can't be decoded.
    Error,
}

impl From<LogLevel> for &'static str {
    fn from(level: LogLevel) -> Self {
        match level {
            LogLevel::Debug => "debug",
            LogLevel::Info => "info",
            LogLevel::Warn => "warn",
            LogLevel::Error => "error",
        }
    }
}

impl EntrySettings {
    /// Returns the timeouts and limits of the scheduler.
    pub fn policy(&self) -> DispatchPolicy {
        let resubmit = Duration::from_millis(u64::from(self.resubmit_after_ms));
        DispatchPolicy {
            data_center: self.data_center.as_str().into(),
            agent_lost_after: resubmit * AGENT_LOST_PERCENT / 100,
            caller_check_interval: resubmit * CALLER_CHECK_PERCENT / 100,
            caller_check_delay: resubmit * CALLER_CHECK_DELAY_PERCENT / 100,
            distance_factor: self.distance_factor,
            placement: self.placement.into(),
            is_admission_by_class: self.overload == OverloadControl::ByClass,
            sends_demand: self.overload == OverloadControl::ByClass,
            avoids_interference: self.interference == EntryInterference::Avoid,
            ..DispatchPolicy::default()
        }
    }
}

impl AgentSettings {
    /// Returns the timeouts and limits of the scheduler.
    pub fn policy(&self) -> SupervisorPolicy {
        let resubmit = Duration::from_millis(u64::from(self.resubmit_after_ms));
        let max_lease = Duration::from_millis(u64::from(self.max_lease_ms));
        SupervisorPolicy {
            lease_duration: (resubmit * LEASE_PERCENT / 100).min(max_lease),
            max_lease,
            owner_timeout: resubmit * OWNER_TIMEOUT_PERCENT / 100,
            owner_lost_after: resubmit * AGENT_LOST_PERCENT / 100,
            cold_pace_factor: if self.drains { COLD_PACE_FACTOR } else { 1.0 },
            learns_interference: self.interference == AgentInterference::Learn,
            ..SupervisorPolicy::default()
        }
    }
}

fn default_grace() -> f64 {
    6.0
}

fn default_resubmit() -> u32 {
    1300
}

fn default_lease() -> u32 {
    1000
}

fn default_distance() -> f64 {
    1.5
}
