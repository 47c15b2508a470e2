//! The agent's state as served by the admin port.

use std::collections::BTreeMap;
use std::sync::Arc;

use hemlockhook_types::ServiceName;
use serde::Serialize;

/// Response body of `GET /v1/status`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Status {
    /// The agent's incarnation, in hexadecimal.
    pub incarnation: String,
    /// Name of the upstream instance in the inventory.
    pub name: Arc<str>,
    /// The data center that the agent runs in.
    pub data_center: Arc<str>,
    /// Whether the agent has announced itself in the log and then read the log to its end.
    pub joined: bool,
    /// Whether the agent refuses new tasks because it is drained or stopping.
    pub leaving: bool,
    /// Services whose tasks the agent accepts.
    pub services: Vec<ServiceName>,
    /// Maximum number of concurrent tasks; 0 until the agent has joined.
    pub slots: u32,
    /// Number of running tasks.
    pub running: usize,
    /// Number of unused grants held by entries.
    pub grants: u32,
    /// Number of linked entries.
    pub links: usize,
    /// Number of start markers held, including those of running tasks.
    pub starts_kept: usize,
    /// Version of the current configuration; 0 if there is none.
    pub config_version: u64,
    /// Number of shards by the owner of their ballot floor, an incarnation in hexadecimal; 0 stands
    /// for no owner.
    pub shards_owned_by: BTreeMap<String, u16>,
    /// Counters since the start of the process.
    pub counters: Counters,
}

/// Counters since the start of the process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Counters {
    /// Tasks that the agent started at the upstream.
    pub started: u64,
    /// Tasks that the upstream completed.
    pub ended_ok: u64,
    /// Tasks that failed.
    pub ended_failed: u64,
    /// Tasks that were cancelled.
    pub ended_cancelled: u64,
    /// Starts from entries that the agent refused.
    pub refused: u64,
    /// Results of tasks that had already been stopped.
    pub late_answers: u64,
    /// Fences from entries that the agent answered with a report.
    pub fences: u64,
    /// Frames received from entries.
    pub frames_received: u64,
    /// Frames sent to entries.
    pub frames_sent: u64,
    /// Malformed frames, whose links were closed.
    pub bad_frames: u64,
    /// Links closed because their entry stayed silent after a recall of its grants.
    pub silent_links: u64,
    /// Records of the membership stream that could not be decoded.
    pub bad_records: u64,
}
