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
    /// Name of this instance; stays the same over restarts.
    #[garde(length(min = 1, max = 64))]
    pub name: String,

    /// Data center that the instance runs in.
    #[garde(length(min = 1, max = 64))]
    pub data_center: String,

    /// Where callers connect, HTTP.
    #[garde(skip)]
    pub callers_address: SocketAddr,

    /// Where other entries connect, gRPC.
    #[garde(skip)]
    pub peers_address: SocketAddr,

    /// Address that is announced to other entries, where it differs from `peers_address`.
    #[garde(skip)]
    #[serde(default)]
    pub announced_address: Option<SocketAddr>,

    /// Where operators connect, HTTP.
    #[garde(skip)]
    pub admin_address: SocketAddr,

    /// The platform's log.
    #[garde(skip)]
    pub log_address: SocketAddr,

    /// The platform's workers' service, asked to throttle or checkpoint long work that was declared
    /// short; without it such work is only counted as long.
    #[garde(skip)]
    #[serde(default)]
    pub workers_address: Option<SocketAddr>,

    /// Peer addresses of other entries, asked for the members when the log is down at start.
    #[garde(length(max = 64))]
    #[serde(default)]
    pub known_peers: Vec<SocketAddr>,

    /// Number of threads for traffic.
    #[garde(range(min = 1, max = 64))]
    #[serde(default = "default_traffic_threads")]
    pub traffic_threads: usize,

    /// Lowest level of the log lines that are written.
    #[garde(skip)]
    #[serde(default)]
    pub log_level: LogLevel,

    /// Bounds on what callers may send.
    #[garde(dive)]
    #[serde(default)]
    pub limits: Limits,

    /// Bounds on what is kept in memory.
    #[garde(dive)]
    #[serde(default)]
    pub memory: Memory,

    /// Times after which others count as silent or lost.
    #[garde(dive)]
    #[serde(default)]
    pub timing: Timing,
}

/// Levels of log lines, from the most to the least talkative.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, IntoStaticStr)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum LogLevel {
    /// Every detail.
    Trace,
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

/// Bounds on what callers may send.
#[derive(Clone, Debug, Deserialize, Validate)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Largest body of a request, in bytes.
    #[garde(range(min = 1024, max = 67_108_864))]
    pub body_bytes: usize,

    /// Largest head of a request, in bytes.
    #[garde(range(min = 1024, max = 1_048_576))]
    pub head_bytes: usize,

    /// Largest number of headers of a request.
    #[garde(range(min = 8, max = 1_000))]
    pub headers: usize,

    /// Largest number of tasks in a job.
    #[garde(range(min = 1, max = 10_000))]
    pub tasks: usize,

    /// Longest deadline that a caller may ask for, in milliseconds.
    #[garde(range(min = 10, max = 86_400_000))]
    pub deadline_ms: u64,

    /// Time for a caller to send the headers of a request, in milliseconds.
    #[garde(range(min = 10, max = 600_000))]
    pub header_ms: u64,

    /// Time for a caller to send the body of a request, in milliseconds.
    #[garde(range(min = 10, max = 600_000))]
    pub body_ms: u64,

    /// Connections of callers that are open at a time.
    #[garde(range(min = 1, max = 1_000_000))]
    pub connections: usize,
}

/// Bounds on what is kept in memory.
#[derive(Clone, Debug, Deserialize, Validate)]
#[serde(deny_unknown_fields, default)]
pub struct Memory {
    /// Time for which keys and answers are kept, in seconds.
    #[garde(range(min = 10, max = 86_400))]
    pub window_s: u64,

    /// Jobs kept at a time, answered ones among them.
    #[garde(range(min = 1, max = 100_000_000))]
    pub jobs: usize,

    /// Bytes of results kept; the oldest are evicted first.
    #[garde(range(min = 1_024))]
    pub result_bytes: usize,
}

/// Times after which others count as silent or lost.
#[derive(Clone, Debug, Deserialize, Validate)]
#[serde(deny_unknown_fields, default)]
pub struct Timing {
    /// Time between two heartbeats to another entry, in milliseconds.
    #[garde(range(min = 20, max = 10_000))]
    pub heartbeat_ms: u64,

    /// Silence after which another entry counts as dead, in milliseconds.
    #[garde(range(min = 100, max = 60_000))]
    pub peer_silence_ms: u64,

    /// Silence after which an agent gets no new work, in milliseconds.
    #[garde(range(min = 100, max = 60_000))]
    pub agent_silence_ms: u64,

    /// Silence after which the tasks running at an agent count as lost, in milliseconds.
    #[garde(range(min = 500, max = 3_600_000))]
    pub agent_lost_ms: u64,

    /// Time for which an agent may hold back its answer to a fence, in milliseconds.
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
    /// Returns the time between two heartbeats.
    pub fn heartbeat(&self) -> Duration {
        Duration::from_millis(self.heartbeat_ms)
    }

    /// Returns the silence after which an entry counts as dead.
    pub fn peer_silence(&self) -> Duration {
        Duration::from_millis(self.peer_silence_ms)
    }

    /// Returns the silence after which an agent gets no new work.
    pub fn agent_silence(&self) -> Duration {
        Duration::from_millis(self.agent_silence_ms)
    }

    /// Returns the silence after which an agent's running tasks are lost.
    pub fn agent_lost(&self) -> Duration {
        Duration::from_millis(self.agent_lost_ms)
    }
}

fn default_traffic_threads() -> usize {
    3
}
