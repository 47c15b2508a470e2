//! State of takeovers and their accounts.

use std::collections::BTreeSet;
use std::time::Instant;

use hemlockhook_types::{Ballot, Incarnation, ShardId};

/// A ballot of this owner and the shards held under it.
#[derive(Debug)]
pub struct Takeover {
    /// The ballot, with epoch 0.
    pub ballot: Ballot,
    /// The shards that are still held under this ballot.
    pub shards: BTreeSet<ShardId>,
    /// When it began.
    pub began: Instant,
    /// Whether the shards are served.
    pub ready: bool,
    /// Whether the account was reported as complete.
    pub reported_complete: bool,
    /// Epoch of the stamps issued now.
    pub epoch: u64,
    /// Number of earlier attempts to take over its shards.
    pub attempt: u32,
    /// Offset of its first record in the log, once that was read.
    pub record_offset: Option<u64>,
    /// Whether the log was read back for at least a lease before that record, so that every agent
    /// that was alive before the record has an announcement before it that was read.
    pub log_covers_lease: bool,
    /// State of the last append of its record.
    pub append: AppendState,
    /// Agents whose starts were reported, by themselves or by a custodian.
    pub accounted_agents: BTreeSet<Incarnation>,
    /// Agents that were fenced on their current link and have not reported yet.
    pub awaiting_reports: BTreeSet<Incarnation>,
}

/// The state of an append, with the time of its last change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AppendState {
    /// Sent, with an outcome that is not known yet.
    Sent(Instant),
    Done(Instant),
    /// Failed, or of uncertain outcome.
    Failed(Instant),
}
