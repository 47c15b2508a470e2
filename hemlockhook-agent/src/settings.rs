//! The agent's settings.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use garde::Validate;
use hemlockhook_ownership::GateConfig;
use hemlockhook_types::Incarnation;
use serde::Deserialize;
use strum::IntoStaticStr;

use crate::engine::EngineConfig;

/// Settings of an agent, read from a YAML file.
#[derive(Clone, Debug, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the upstream instance in the inventory.
    #[garde(length(min = 1, max = 200))]
    pub name: String,
    /// The data center that the agent runs in.
    #[garde(length(min = 1, max = 200))]
    pub data_center: String,
    /// Address that entries connect to.
    #[garde(skip)]
    pub link_address: SocketAddr,
    /// Address that is announced to entries, if it differs from `link_address`.
    #[garde(skip)]
    #[serde(default)]
    pub announced_address: Option<SocketAddr>,
    /// Address of the admin port: health, readiness, metrics and status.
    #[garde(skip)]
    pub admin_address: SocketAddr,
    /// Address of the upstream.
    #[garde(skip)]
    pub upstream_address: SocketAddr,
    /// Address of the platform's log.
    #[garde(skip)]
    pub log_address: SocketAddr,
    /// Minimum level of log lines.
    #[garde(skip)]
    #[serde(default)]
    pub log_level: LogLevel,
    /// Limits and times.
    #[garde(dive)]
    #[serde(default)]
    pub limits: Limits,
}

/// Levels of log lines, in ascending severity.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, IntoStaticStr)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum LogLevel {
    /// All details.
    Trace,
    /// Information for debugging.
    Debug,
    /// Normal operation.
    #[default]
    Info,
    /// Conditions that an operator should check.
    Warn,
    /// Failures.
    Error,
}

/// Limits and times of an agent.
#[derive(Clone, Debug, Deserialize, Validate)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Number of traffic threads, besides the control thread.
    #[garde(range(min = 1, max = 64))]
    pub traffic_threads: usize,
    /// Maximum number of connections to the upstream.
    #[garde(range(min = 1, max = 65_535))]
    pub upstream_connections: usize,
    /// Maximum size of a response from the upstream, in bytes.
    #[garde(range(min = 1, max = 67_108_864))]
    pub max_answer_bytes: usize,
    /// Time for the upstream to respond if the entry does not set one, in seconds.
    #[garde(range(min = 1, max = 86_400))]
    pub task_timeout_s: u64,
    /// Time for which start markers are kept after a task's end, in seconds. Must be the same in all
    /// processes of a deployment.
    #[garde(range(min = 10, max = 86_400))]
    pub window_s: u64,
    /// Maximum number of start markers. At this limit new starts are refused.
    #[garde(range(min = 1, max = 10_000_000))]
    pub max_starts: usize,
    /// Maximum size of all kept results, in bytes. At this limit the oldest results are dropped.
    #[garde(range(min = 0, max = 1_073_741_824))]
    pub max_result_bytes: usize,
    /// Time for running tasks to end during a graceful stop, in seconds.
    #[garde(range(min = 0, max = 86_400))]
    pub drain_timeout_s: u64,
    /// Interval between announcements in the log, in seconds. Must be well below the log's
    /// retention.
    #[garde(range(min = 1, max = 3_600))]
    pub announce_period_s: u64,
    /// Interval between reads of the configuration from the log, in milliseconds. Entries forward
    /// changes immediately.
    #[garde(range(min = 50, max = 60_000))]
    pub log_read_period_ms: u64,
    /// Timeout of a request to the log, in milliseconds.
    #[garde(range(min = 10, max = 60_000))]
    pub log_timeout_ms: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            traffic_threads: 1,
            upstream_connections: 64,
            max_answer_bytes: 1024 * 1024,
            task_timeout_s: 3600,
            window_s: 600,
            max_starts: 100_000,
            max_result_bytes: 8 * 1024 * 1024,
            drain_timeout_s: 60,
            announce_period_s: 120,
            log_read_period_ms: 10_000,
            log_timeout_ms: 2_000,
        }
    }
}

impl Settings {
    /// Returns the engine's configuration. `address` is announced unless the settings have another.
    pub fn engine_config(&self, incarnation: Incarnation, address: SocketAddr) -> EngineConfig {
        let limits = &self.limits;
        EngineConfig {
            incarnation,
            name: Arc::from(self.name.as_str()),
            data_center: Arc::from(self.data_center.as_str()),
            address: self.announced_address.unwrap_or(address).to_string(),
            gate: GateConfig {
                window: Duration::from_secs(limits.window_s),
                max_starts: limits.max_starts,
                max_result_bytes: limits.max_result_bytes,
                ..GateConfig::default()
            },
            drain_timeout: Duration::from_secs(limits.drain_timeout_s),
            announce_period: Duration::from_secs(limits.announce_period_s),
            config_read_period: Duration::from_millis(limits.log_read_period_ms),
        }
    }
}
