//! The agent's state for people, probes and metrics.

use std::collections::BTreeMap;
use std::sync::Arc;

use hemlockhook_types::ServiceName;
use serde::Serialize;

/// Answer of `GET /v1/status`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Status {
    /// This run of the agent, in hexadecimal.
    pub incarnation: String,
    /// Name of the upstream instance in the inventory.
    pub name: Arc<str>,
    /// The data center that the agent runs in.
    pub data_center: Arc<str>,
    /// Whether the agent is announced in the log and has read it to its end since.
    pub joined: bool,
    /// Whether the agent refuses new work because it is leaving.
    pub leaving: bool,
    /// The services of which tasks are started.
    pub services: Vec<ServiceName>,
    /// Tasks that the upstream runs at once; 0 before the agent has joined.
    pub slots: u32,
    /// Tasks that run.
    pub running: usize,
    /// Grants held by entries.
    pub grants: u32,
    /// Entries that are linked.
    pub links: usize,
    /// Start markers kept, those of running tasks included.
    pub starts_kept: usize,
    /// Version of the configuration in force; 0 if there is none.
    pub config_version: u64,
    /// Number of shards by the entry that holds their floor; entry 0 stands for none.
    pub shards_owned_by: BTreeMap<String, u16>,
    /// What happened since the start.
    pub counters: Counters,
}

/// Counts of what happened since the start of the process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Counters {
    /// Tasks started.
    pub started: u64,
    /// Tasks that the upstream answered.
    pub ended_ok: u64,
    /// Tasks that failed.
    pub ended_failed: u64,
    /// Tasks that were stopped.
    pub ended_cancelled: u64,
    /// Starts refused.
    pub refused: u64,
    /// Answers of the upstream to tasks that were stopped before.
    pub late_answers: u64,
    /// Fences answered.
    pub fences: u64,
    /// Frames taken from entries.
    pub frames_received: u64,
    /// Frames sent to entries.
    pub frames_sent: u64,
    /// Frames that no correct entry sends. Their links were closed.
    pub bad_frames: u64,
    /// Links closed because their entry did not answer when grants were asked back.
    pub silent_links: u64,
    /// Records of the membership stream that could not be read.
    pub bad_records: u64,
}
