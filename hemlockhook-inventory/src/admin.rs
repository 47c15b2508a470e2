//! JSON responses of the admin port of entry processes.
//!
//! | request | response |
//! | --- | --- |
//! | `GET /v1/status` | [`EntryStatus`] |
//! | `GET /v1/agents` | a list of [`AgentStatus`] |
//! | `GET /v1/config` | [`ConfigInForce`], with version 0 if there is none |
//! | `GET /v1/jobs/{key}`, the key percent-encoded | [`JobStatus`], or 404 |
//! | `POST /v1/drain` with a [`DrainRequest`] | [`DrainReply`], or 404 for an unknown upstream |
//! | `GET /v1/burn` | [`BurnCounts`](crate::burn::BurnCounts) |
//! | `GET /v1/events?since=SEQUENCE` | a list of [`Event`] |

use hemlockhook_types::{AnswerKind, Reason, TaskIndex};
use serde::{Deserialize, Serialize};
use strum::{Display, EnumString, IntoStaticStr};

/// State of an entry process.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct EntryStatus {
    /// Name of the process.
    pub name: String,
    /// Incarnation of the process, in hexadecimal.
    pub incarnation: String,
    /// Data center of the process.
    pub data_center: String,
    /// Milliseconds since the process started.
    pub uptime_ms: u64,
    /// Whether the process is shutting down and accepts no new jobs.
    pub draining: bool,
    /// Version of the configuration in force at this process; 0 if there is none yet.
    pub config_version: u64,
    /// State of the platform's log as seen by this process.
    pub log: LogStatus,
    /// Shards that the process owns or is taking over.
    pub shards: Vec<ShardStatus>,
    /// Other known entry processes.
    pub peers: Vec<PeerStatus>,
    /// Agents known to the process.
    pub agents: Vec<AgentStatus>,
    /// Queued and running work, by service and by team.
    pub backlog: Vec<BacklogStatus>,
}

/// The configuration in force at a process.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigInForce {
    /// Version; 0 if there is none yet.
    pub version: u64,
    /// The configuration as a YAML document.
    pub document: String,
}

/// State of the platform's log as seen by a process.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct LogStatus {
    /// Whether the last read or append succeeded.
    pub reachable: bool,
    /// Milliseconds since the last successful read or append, if there was one.
    pub last_success_ms: Option<u64>,
    /// Human-readable description of the last error.
    pub last_error: Option<String>,
}

/// State of a shard at the entry process that reports it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct ShardStatus {
    /// Number of the shard.
    pub shard: u16,
    /// Ballot of the shard, in the text form that stamps use.
    pub ballot: String,
    /// State of the shard.
    pub state: ShardState,
    /// Names of the agents that have not yet confirmed the fence.
    pub awaiting: Vec<String>,
}

/// State of a shard at an entry process.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    Hash,
    Serialize,
    Deserialize,
    Display,
    EnumString,
    IntoStaticStr,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum ShardState {
    /// The takeover is in progress; jobs with older keys wait.
    #[default]
    Fencing,
    /// Owned, and every agent has reported the tasks that it started.
    Complete,
    /// Owned, but not every agent has reported: the outcome of an older key that no agent reported
    /// is unknown.
    Incomplete,
}

/// State of another entry process.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct PeerStatus {
    /// Name of the process.
    pub name: String,
    /// Data center of the process.
    pub data_center: String,
    /// Whether the process responds.
    pub reachable: bool,
    /// Milliseconds since the last response, if there was one.
    pub last_seen_ms: Option<u64>,
    /// Number of shards that the process reports to own.
    pub shards: u32,
    /// Version of the configuration in force there.
    pub config_version: u64,
}

/// State of an agent and its upstream.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct AgentStatus {
    /// Name of the upstream.
    pub name: String,
    /// The agent's incarnation, in hexadecimal.
    pub incarnation: String,
    /// Worker that the upstream runs on.
    pub worker: String,
    /// Data center of the worker.
    pub data_center: String,
    /// Services whose tasks the upstream runs.
    pub services: Vec<String>,
    /// State of the upstream.
    pub state: UpstreamState,
    /// Human-readable reason why the upstream is not up.
    pub detail: Option<String>,
    /// Maximum number of concurrent tasks.
    pub slots: u32,
    /// Number of unused grants that this entry process has.
    pub grants: u32,
    /// Number of this entry process's tasks that run there.
    pub running: u32,
    /// Number of running tasks that count as long work.
    pub running_long: u32,
    /// Learned run time of the same work relative to the mean of the upstream's peers, which is 1.
    pub slowness: f64,
    /// Fraction of recent tasks that failed, from 0 to 1.
    pub failing: f64,
    /// Version of the configuration in force there.
    pub config_version: u64,
}

/// State of an upstream at an entry process.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    Hash,
    Serialize,
    Deserialize,
    Display,
    EnumString,
    IntoStaticStr,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum UpstreamState {
    /// The upstream accepts work.
    Up,
    /// The upstream is new or failed recently: it receives fewer concurrent tasks than it has slots,
    /// and each success raises the limit.
    SlowStart,
    /// The upstream failed repeatedly while its peers did not, and only receives a few probe tasks.
    Quarantined,
    /// The upstream finishes its running tasks and accepts no new ones.
    Leaving,
    /// The connection to the agent is lost.
    #[default]
    Down,
}

/// Queued and running work of one service or of one team at an entry process.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct BacklogStatus {
    /// The service; empty in the counts of a team.
    pub service: String,
    /// The team; empty in the counts of a service.
    pub team: String,
    /// Number of jobs without an answer.
    pub jobs: u32,
    /// Number of tasks that wait for a slot.
    pub queued: u32,
    /// Number of queued tasks that count as long work.
    pub queued_long: u32,
    /// Number of running tasks.
    pub running: u32,
    /// Milliseconds for which the first task of the queue has waited.
    pub oldest_ms: u64,
}

/// State of a job.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct JobStatus {
    /// The key, prefixed with the team's name.
    pub key: String,
    /// Entry process that reports the state.
    pub entry: String,
    /// Shard of the key.
    pub shard: u16,
    /// Service that the job requests.
    pub service: String,
    /// Kind of the answer, once there is one.
    pub answer: Option<AnswerKind>,
    /// Reason of the answer, unless it is complete.
    pub reason: Option<Reason>,
    /// Human-readable explanation of the answer.
    pub detail: Option<String>,
    /// Milliseconds since the submission, if this entry process received it.
    pub age_ms: Option<u64>,
    /// Milliseconds until the deadline; negative once it has passed.
    pub deadline_in_ms: Option<i64>,
    /// Tasks of the job.
    pub tasks: Vec<TaskStatus>,
}

/// State of a task, with details.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct TaskStatus {
    /// Index of the task in the job.
    pub index: TaskIndex,
    /// State of the task.
    pub state: TaskState,
    /// Upstream that the task was started on.
    pub upstream: Option<String>,
    /// Milliseconds in this state, if known.
    pub for_ms: Option<u64>,
    /// Human-readable reason for waiting, or outcome.
    pub detail: Option<String>,
}

/// State of a task.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    Hash,
    Serialize,
    Deserialize,
    Display,
    EnumString,
    IntoStaticStr,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum TaskState {
    /// The task waits for a slot.
    #[default]
    Queued,
    /// The task was started and has not ended.
    Running,
    /// The upstream returned a result.
    Ok,
    /// The task failed.
    Failed,
    /// The task was cancelled while it ran.
    Cancelled,
    /// The task will not be started any more.
    Dropped,
    /// It cannot be determined whether the task ran.
    Unknown,
}

/// Request to drain an upstream, or to put it back into service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DrainRequest {
    /// Name of the upstream.
    pub upstream: String,
    /// Whether to drain the upstream.
    pub leaving: bool,
}

/// Response to a [`DrainRequest`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct DrainReply {
    /// Name of the upstream.
    pub upstream: String,
    /// Whether the upstream is being drained.
    pub leaving: bool,
    /// Number of tasks that still run there.
    pub running: u32,
}

/// An event for operators.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// Sequence number, which starts at 1 for each incarnation and has no gaps.
    pub sequence: u64,
    /// Wall-clock time, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Entry process that reports the event.
    pub entry: String,
    /// Kind of event.
    pub kind: EventKind,
    /// The affected upstream, entry process, shard or configuration version.
    pub subject: String,
    /// Human-readable details.
    pub detail: String,
}

/// Kind of an [`Event`].
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    Hash,
    Serialize,
    Deserialize,
    Display,
    EnumString,
    IntoStaticStr,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum EventKind {
    /// The connection to an agent was established.
    AgentUp,
    /// The connection to an agent was lost.
    AgentDown,
    /// An agent is considered gone, and its running tasks are lost.
    AgentGone,
    /// An upstream was quarantined.
    Quarantined,
    /// An upstream left quarantine.
    Recovered,
    /// An upstream started to drain.
    Leaving,
    /// An upstream was put back into service.
    Returned,
    /// A shard was taken over, and every agent reported the tasks that it had started.
    TakeoverComplete,
    /// A shard was taken over, but not every agent reported the tasks that it had started.
    TakeoverIncomplete,
    /// Another entry process took over a shard of this one.
    SteppedDown,
    /// A configuration took effect.
    ConfigInForce,
    /// The configuration in force does not pass the checks of this release.
    ConfigUnusable,
    /// The platform's log became unreachable.
    LogDown,
    /// The platform's log became reachable.
    LogUp,
    /// An entry process became unreachable.
    PeerDown,
    /// An entry process became reachable.
    PeerUp,
}
