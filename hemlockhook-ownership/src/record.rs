//! Records of the membership stream in the platform's log.

use hemlockhook_types::{Ballot, Incarnation, ServiceName, ShardId};
use serde::{Deserialize, Serialize};

/// A record of the membership stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Record {
    /// Announcement of an entry.
    Entry {
        /// The entry's incarnation.
        incarnation: Incarnation,
        /// Name of its instance, which stays the same across restarts.
        name: String,
        /// The address at which other processes connect to it.
        address: String,
        /// Data center that its instance runs in.
        data_center: String,
    },
    /// Announcement of an agent. Repeated well within the log's retention time.
    Agent {
        /// The agent's incarnation.
        incarnation: Incarnation,
        /// Name of the upstream instance in the inventory.
        name: String,
        /// The address at which entries connect to it.
        address: String,
        /// The services whose tasks it starts. A change is announced before it takes effect.
        services: Vec<ServiceName>,
        /// Data center that its instance runs in.
        data_center: String,
    },
    /// Takeover of shards by an entry. Repeated well within the log's retention time.
    Takeover {
        /// The shards that are still held under the takeover. They share its ballot.
        shards: Vec<ShardId>,
        /// The ballot, with the epoch at the time when the record was sent.
        ballot: Ballot,
    },
    /// Graceful departure of an agent, which starts no more tasks.
    Left {
        /// The agent's incarnation.
        incarnation: Incarnation,
        /// The agent that has adopted its start records, if any.
        #[serde(default)]
        custodian: Option<Incarnation>,
    },
}
