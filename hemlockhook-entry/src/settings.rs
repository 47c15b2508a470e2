//! Settings of an entry.

use std::net::SocketAddr;
use std::time::Duration;

use garde::Validate;
use serde::Deserialize;
use strum::IntoStaticStr;

/// Settings of one entry, read from its YAML file.
#[derive(Clone, Debug, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of this instance, which stays the same across restarts.
    #[garde(length(min = 1, max = 64))]
    pub name: String,

    /// Data center that the instance runs in.
    #[garde(length(min = 1, max = 64))]
    pub data_center: String,

    /// Address on which callers are served, over HTTP.
    #[garde(skip)]
    pub callers_address: SocketAddr,

    /// Address on which other entries are served, over gRPC.
    #[garde(skip)]
    pub peers_address: SocketAddr,

    /// Address that is announced to other entries, if it differs from `peers_address`.
    #[garde(skip)]
    #[serde(default)]
    pub announced_address: Option<SocketAddr>,

    /// Address on which operators are served, over HTTP.
    #[garde(skip)]
    pub admin_address: SocketAddr,

    /// Address of the platform's log.
    #[garde(skip)]
    pub log_address: SocketAddr,

    /// Address of the platform's workers' service, which throttles or checkpoints long tasks that
    /// were declared short. Without it, such tasks are only counted as long.
    #[garde(skip)]
    #[serde(default)]
    pub workers_address: Option<SocketAddr>,

    /// Peer addresses of other entries, from which members are learned if the log is down at start.
    #[garde(length(max = 64))]
    #[serde(default)]
    pub known_peers: Vec<SocketAddr>,

    /// Number of threads that handle requests and connections.
    #[garde(range(min = 1, max = 64))]
    #[serde(default = "default_traffic_threads")]
    pub traffic_threads: usize,

    /// Lowest level of log lines to write.
    #[garde(skip)]
    #[serde(default)]
    pub log_level: LogLevel,

    /// Limits on requests of callers.
    #[garde(dive)]
    #[serde(default)]
    pub limits: Limits,

    /// Limits on the jobs kept in memory.
    #[garde(dive)]
    #[serde(default)]
    pub memory: Memory,

    /// Heartbeat interval and timeouts of other processes.
    #[garde(dive)]
    #[serde(default)]
    pub timing: Timing,
}

/// Levels of log lines, from the most to the least verbose.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, IntoStaticStr)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum LogLevel {
    /// All log lines.
    Trace,
    /// Information for debugging.
    Debug,
    /// Normal operation, such as a new configuration or a takeover of shards.
    #[default]
    Info,
    /// Conditions that an operator should look into.
    Warn,
    /// Failures.
    Error,
}

/// Limits on requests of callers.
#[derive(Clone, Debug, Deserialize, Validate)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Maximum size of a request body, in bytes.
    #[garde(range(min = 1024, max = 67_108_864))]
    pub body_bytes: usize,

    /// Maximum size of the request line and headers, in bytes.
    #[garde(range(min = 1024, max = 1_048_576))]
    pub head_bytes: usize,

    /// Maximum number of headers of a request.
    #[garde(range(min = 8, max = 1_000))]
    pub headers: usize,

    /// Maximum number of tasks in a job.
    #[garde(range(min = 1, max = 10_000))]
    pub tasks: usize,

    /// Longest deadline that a caller may set, in milliseconds.
    #[garde(range(min = 10, max = 86_400_000))]
    pub deadline_ms: u64,

    /// Timeout for receiving the headers of a request, in milliseconds.
    #[garde(range(min = 10, max = 600_000))]
    pub header_ms: u64,

    /// Timeout for receiving the body of a request, in milliseconds.
    #[garde(range(min = 10, max = 600_000))]
    pub body_ms: u64,

    /// Maximum number of open connections of callers.
    #[garde(range(min = 1, max = 1_000_000))]
    pub connections: usize,
}

/// Limits on the jobs kept in memory.
#[derive(Clone, Debug, Deserialize, Validate)]
#[serde(deny_unknown_fields, default)]
pub struct Memory {
    /// Time for which keys and answers are kept, in seconds.
    #[garde(range(min = 10, max = 86_400))]
    pub window_s: u64,

    /// Maximum number of jobs kept, including answered ones.
    #[garde(range(min = 1, max = 100_000_000))]
    pub jobs: usize,

    /// Maximum size of all results kept, in bytes; the oldest are evicted first.
    #[garde(range(min = 1_024))]
    pub result_bytes: usize,
}

/// Heartbeat interval and timeouts of other processes.
#[derive(Clone, Debug, Deserialize, Validate)]
#[serde(deny_unknown_fields, default)]
pub struct Timing {
    /// Interval between heartbeats to another entry, in milliseconds.
    #[garde(range(min = 20, max = 10_000))]
    pub heartbeat_ms: u64,

    /// Time without a heartbeat after which another entry is considered dead, in milliseconds.
    #[garde(range(min = 100, max = 60_000))]
    pub peer_silence_ms: u64,

    /// Time without a frame after which an agent gets no new work, in milliseconds.
    #[garde(range(min = 100, max = 60_000))]
    pub agent_silence_ms: u64,

    /// Time without a frame or a link after which the tasks running at an agent are considered
    /// lost, in milliseconds.
    #[garde(range(min = 500, max = 3_600_000))]
    pub agent_lost_ms: u64,

    /// Time after which shards are served even if not every agent has reported on the fence, in
    /// milliseconds.
    #[garde(range(min = 50, max = 60_000))]
    pub fence_ms: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            body_bytes: 4 << 20,
            head_bytes: 16 << 10,
            headers: 64,
            tasks: 1_000,
            deadline_ms: 600_000,
            header_ms: 5_000,
            body_ms: 10_000,
            connections: 4_096,
        }
    }
}

impl Default for Memory {
    fn default() -> Self {
        Self {
            window_s: 600,
            jobs: 2_000_000,
            result_bytes: 256 << 20,
        }
    }
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            heartbeat_ms: 200,
            peer_silence_ms: 1_000,
            agent_silence_ms: 1_000,
            agent_lost_ms: 10_000,
            fence_ms: 500,
        }
    }
}

impl Timing {
    /// Returns the interval between heartbeats.
    pub fn heartbeat(&self) -> Duration {
        Duration::from_millis(self.heartbeat_ms)
    }

    /// Returns the silence after which another entry is considered dead.
    pub fn peer_silence(&self) -> Duration {
        Duration::from_millis(self.peer_silence_ms)
    }

    /// Returns the silence after which an agent gets no new work.
    pub fn agent_silence(&self) -> Duration {
        Duration::from_millis(self.agent_silence_ms)
    }

    /// Returns the silence after which the tasks running at an agent are considered lost.
    pub fn agent_lost(&self) -> Duration {
        Duration::from_millis(self.agent_lost_ms)
    }
}

fn default_traffic_threads() -> usize {
    3
}
