//! Settings of the daemons of leased work, in YAML.

use std::net::SocketAddr;
use std::time::Duration;

use garde::Validate;
use hemlockhook_dispatch::agent::SupervisorPolicy;
use hemlockhook_dispatch::entry::DispatchPolicy;
use serde::Deserialize;

/// Part of the time after which a caller submits again that a lease may last, in hundredths.
const LEASE_PERCENT: u32 = 35;

/// Part of that time for which an entry may be silent before its work is stopped, in hundredths.
const SILENCE_PERCENT: u32 = 31;

/// Part of that time after which what a silent agent ran is over, in hundredths.
const LOST_PERCENT: u32 = 75;

/// Settings of an entry.
#[derive(Clone, Debug, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct EntrySettings {
    /// Name of the instance.
    #[garde(length(min = 1, max = 200))]
    pub name: String,
    /// The data center that the entry runs in.
    #[garde(length(min = 1, max = 200))]
    pub data_center: String,
    /// Address on which callers are served.
    #[garde(skip)]
    pub callers_address: SocketAddr,
    /// Address on which the balancer asks for readiness.
    #[garde(skip)]
    pub ready_address: SocketAddr,
    /// Address on which agents are served.
    #[garde(skip)]
    pub links_address: SocketAddr,
    /// Address of the metrics.
    #[garde(skip)]
    pub metrics_address: Option<SocketAddr>,
    /// Address of the platform's store.
    #[garde(skip)]
    pub store_address: SocketAddr,
    /// Time from SIGTERM to SIGKILL, in seconds.
    #[garde(range(min = 1.0, max = 600.0))]
    #[serde(default = "default_grace")]
    pub grace_period_s: f64,
    /// Time after which a caller submits again what was not answered, in milliseconds.
    #[garde(range(min = 200, max = 600_000))]
    #[serde(default = "default_resubmit")]
    pub resubmit_after_ms: u32,
    /// By what factor a task takes longer far from its data.
    #[garde(range(min = 1.0, max = 100.0))]
    #[serde(default = "default_distance")]
    pub distance_factor: f64,
    /// Lowest level of the log lines that are written.
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
    /// The data center that the agent runs in.
    #[garde(length(min = 1, max = 200))]
    pub data_center: String,
    /// Address on which the upstream announces itself.
    #[garde(skip)]
    pub announcements_address: SocketAddr,
    /// Address of the upstream.
    #[garde(skip)]
    pub upstream_address: SocketAddr,
    /// Address of the metrics.
    #[garde(skip)]
    pub metrics_address: Option<SocketAddr>,
    /// Address of the platform's store.
    #[garde(skip)]
    pub store_address: SocketAddr,
    /// Addresses on which entries serve agents, as far as they are known beforehand.
    #[garde(skip)]
    #[serde(default)]
    pub entries: Vec<SocketAddr>,
    /// Time from SIGTERM to SIGKILL, in seconds.
    #[garde(range(min = 1.0, max = 600.0))]
    #[serde(default = "default_grace")]
    pub grace_period_s: f64,
    /// Time after which a caller submits again what was not answered, in milliseconds.
    #[garde(range(min = 200, max = 600_000))]
    #[serde(default = "default_resubmit")]
    pub resubmit_after_ms: u32,
    /// Longest lease that the upstream grants, in milliseconds.
    #[garde(range(min = 100, max = 600_000))]
    #[serde(default = "default_lease")]
    pub max_lease_ms: u32,
    /// Lowest level of the log lines that are written.
    #[garde(skip)]
    #[serde(default)]
    pub log_level: LogLevel,
}

/// Levels of log lines, from the most to the least talkative.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogLevel {
    /// What helps to find a fault.
    Debug,
    /// What an operator may want to know.
    #[default]
    Info,
    /// What an operator should look at.
    Warn,
    /// What went wrong.
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
    /// Returns the times and bounds of the decisions.
    pub fn policy(&self) -> DispatchPolicy {
        let resubmit = Duration::from_millis(u64::from(self.resubmit_after_ms));
        DispatchPolicy {
            data_center: self.data_center.as_str().into(),
            agent_lost_after: resubmit * LOST_PERCENT / 100,
            distance_factor: self.distance_factor,
            ..DispatchPolicy::default()
        }
    }
}

impl AgentSettings {
    /// Returns the times and bounds of the decisions.
    pub fn policy(&self) -> SupervisorPolicy {
        let resubmit = Duration::from_millis(u64::from(self.resubmit_after_ms));
        let max_lease = Duration::from_millis(u64::from(self.max_lease_ms));
        SupervisorPolicy {
            lease_duration: (resubmit * LEASE_PERCENT / 100).min(max_lease),
            owner_timeout: resubmit * SILENCE_PERCENT / 100,
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
