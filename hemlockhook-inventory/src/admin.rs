//! Reports that entries give to operators over their admin port, as JSON.
//!
//! | request | answer |
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

/// State of one entry.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct EntryStatus {
    /// The entry's name.
    pub name: String,
    /// Its incarnation, in hexadecimal.
    pub incarnation: String,
    /// Its data center.
    pub data_center: String,
    /// Milliseconds since its start.
    pub uptime_ms: u64,
    /// Whether it is shutting down and takes no new jobs.
    pub draining: bool,
    /// The configuration in force here; 0: none yet.
    pub config_version: u64,
    /// The platform's log as this entry sees it.
    pub log: LogStatus,
    /// The shards that it owns or is taking over.
    pub shards: Vec<ShardStatus>,
    /// Other entries that it knows.
    pub peers: Vec<PeerStatus>,
    /// Agents that it knows.
    pub agents: Vec<AgentStatus>,
    /// Work that waits or runs, by service and team.
    pub backlog: Vec<BacklogStatus>,
}

/// The configuration in force at a process.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigInForce {
    /// Its version; 0: none yet.
    pub version: u64,
    /// The YAML document.
    pub document: String,
}

/// The platform's log as a process sees it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct LogStatus {
    /// Whether the last read or append succeeded.
    pub reachable: bool,
    /// Milliseconds since a read or append last succeeded, if one ever did.
    pub last_success_ms: Option<u64>,
    /// The last error, for people.
    pub last_error: Option<String>,
}

/// One shard at the entry that reports it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct ShardStatus {
    /// The shard.
    pub shard: u16,
    /// Its ballot, as callers see it in stamps.
    pub ballot: String,
    /// Where it stands.
    pub state: ShardState,
    /// Agents whose answer to the fence is still awaited, by name.
    pub awaiting: Vec<String>,
}

/// Where a shard stands at an entry.
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
    /// The takeover is under way: old keys wait.
    #[default]
    Fencing,
    /// Owned, and every agent has accounted for its starts.
    Complete,
    /// Owned, but an old key that no agent reports has an unknown outcome.
    Incomplete,
}

/// Another entry.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct PeerStatus {
    /// Its name.
    pub name: String,
    /// Its data center.
    pub data_center: String,
    /// Whether it answers.
    pub reachable: bool,
    /// Milliseconds since it last answered, if it ever did.
    pub last_seen_ms: Option<u64>,
    /// Shards that it says it owns.
    pub shards: u32,
    /// The configuration in force there.
    pub config_version: u64,
}

/// One agent and its upstream.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct AgentStatus {
    /// Name of the upstream.
    pub name: String,
    /// The agent's incarnation, in hexadecimal.
    pub incarnation: String,
    /// The worker that it runs on.
    pub worker: String,
    /// The worker's data center.
    pub data_center: String,
    /// The services whose tasks it runs.
    pub services: Vec<String>,
    /// Where the upstream stands.
    pub state: UpstreamState,
    /// Why it is not up, for people.
    pub detail: Option<String>,
    /// Tasks that it runs at once.
    pub slots: u32,
    /// Grants that this entry holds and has not used.
    pub grants: u32,
    /// Tasks of this entry that run there.
    pub running: u32,
    /// Of these, tasks that count as long work.
    pub running_long: u32,
    /// Learned run time relative to the fastest upstream of its services; 1 is the fastest.
    pub slowness: f64,
    /// Share of its recent tasks that failed, from 0 to 1.
    pub failing: f64,
    /// The configuration in force there.
    pub config_version: u64,
}

/// Where an upstream stands at an entry.
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
    /// It takes work.
    Up,
    /// New: its share of the work is still growing.
    SlowStart,
    /// It fails too much: it gets a few probes only.
    Quarantined,
    /// It finishes what it runs and takes nothing new.
    Leaving,
    /// The link to its agent is lost.
    #[default]
    Down,
}

/// Work of one service and team at an entry.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct BacklogStatus {
    /// The service.
    pub service: String,
    /// The team.
    pub team: String,
    /// Jobs not answered yet.
    pub jobs: u32,
    /// Tasks that wait for a slot.
    pub queued: u32,
    /// Of these, tasks that count as long work.
    pub queued_long: u32,
    /// Tasks that run.
    pub running: u32,
    /// Milliseconds that the first of the queue has waited.
    pub oldest_ms: u64,
}

/// Where one job stands.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct JobStatus {
    /// The key with the team's prefix.
    pub key: String,
    /// The entry that answers for it.
    pub entry: String,
    /// The key's shard.
    pub shard: u16,
    /// The service.
    pub service: String,
    /// Kind of its answer, once it has one.
    pub answer: Option<AnswerKind>,
    /// Reason of its answer, unless it is complete.
    pub reason: Option<Reason>,
    /// Why, for people.
    pub detail: Option<String>,
    /// Milliseconds since it was submitted, if this entry saw that.
    pub age_ms: Option<u64>,
    /// Milliseconds until its deadline; negative after it.
    pub deadline_in_ms: Option<i64>,
    /// Its tasks.
    pub tasks: Vec<TaskStatus>,
}

/// Where one task stands.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct TaskStatus {
    /// Its position in the job.
    pub index: TaskIndex,
    /// Where it stands.
    pub state: TaskState,
    /// The upstream that it was started on.
    pub upstream: Option<String>,
    /// Milliseconds in this state, if known.
    pub for_ms: Option<u64>,
    /// Why it waits or how it ended, for people.
    pub detail: Option<String>,
}

/// Where a task stands.
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
    /// It waits for a slot.
    #[default]
    Queued,
    /// It was started and has not ended.
    Running,
    /// The upstream answered.
    Ok,
    /// It failed.
    Failed,
    /// It was stopped.
    Cancelled,
    /// It will not be started any more.
    Dropped,
    /// Whether it ran cannot be told.
    Unknown,
}

/// Asks for an upstream to leave or to come back.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DrainRequest {
    /// Name of the upstream.
    pub upstream: String,
    /// Whether it is to leave.
    pub leaving: bool,
}

/// What a drain request did.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct DrainReply {
    /// Name of the upstream.
    pub upstream: String,
    /// Whether it is leaving now.
    pub leaving: bool,
    /// Tasks that still run there.
    pub running: u32,
}

/// Something that an operator may want to know of.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// Rises by one with each event of the entry's incarnation, from 1.
    pub sequence: u64,
    /// Calendar time, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// The entry that reports it.
    pub entry: String,
    /// What happened.
    pub kind: EventKind,
    /// What it happened to: an upstream, an entry, a shard or a version.
    pub subject: String,
    /// For people.
    pub detail: String,
}

/// Kinds of events.
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
    /// An agent's link came up.
    AgentUp,
    /// An agent's link was lost.
    AgentDown,
    /// An agent was given up: its running tasks are lost.
    AgentGone,
    /// An upstream was quarantined.
    Quarantined,
    /// An upstream left quarantine.
    Recovered,
    /// An upstream began to leave.
    Leaving,
    /// An upstream came back.
    Returned,
    /// A shard was taken over, with a complete account.
    TakeoverComplete,
    /// A shard was taken over, with an incomplete account.
    TakeoverIncomplete,
    /// A shard was lost to another entry.
    SteppedDown,
    /// A configuration came into force.
    ConfigInForce,
    /// The configuration in force can't be used by this release.
    ConfigUnusable,
    /// The platform's log became unreachable.
    LogDown,
    /// The platform's log became reachable.
    LogUp,
    /// An entry became unreachable.
    PeerDown,
    /// An entry became reachable.
    PeerUp,
}
