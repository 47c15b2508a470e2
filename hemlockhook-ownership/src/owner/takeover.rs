//! Takeovers and their accounts.

use std::collections::BTreeSet;
use std::time::Instant;

use hemlockhook_types::{Ballot, Incarnation, ShardId};

/// One ballot of this owner and the shards that it holds under it.
#[derive(Debug)]
pub struct Takeover {
    /// The ballot, in epoch 0.
    pub ballot: Ballot,
    /// The shards that are still held under it.
    pub shards: BTreeSet<ShardId>,
    /// When it began.
    pub began: Instant,
    /// Whether the shards are served.
    pub ready: bool,
    /// Whether the account was told to be complete.
    pub told_complete: bool,
    /// Epoch of the stamps given out now.
    pub epoch: u64,
    /// Times that its shards were to be taken before.
    pub attempt: u32,
    /// Offset of its first record in the log.
    pub offset: Option<u64>,
    /// Whether every agent that was alive before that record must have a record before it, too.
    pub covered: bool,
    /// When the last append of its record was sent, and whether it is still on its way.
    pub append: Append,
    /// The agents whose starts have been reported, by themselves or by a custodian.
    pub accounted: BTreeSet<Incarnation>,
    /// Agents that were fenced on their current link and have not reported since.
    pub awaited: BTreeSet<Incarnation>,
}

/// The state of a takeover's record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Append {
    /// Sent, and not answered.
    Sent(Instant),
    /// Written.
    Done(Instant),
    /// Failed, or the outcome is uncertain.
    Failed(Instant),
}
