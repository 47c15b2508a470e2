//! Records of the membership stream in the platform's log.

use hemlockhook_types::{Ballot, Incarnation, ServiceName, ShardId};
use serde::{Deserialize, Serialize};

/// A record of the membership stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Record {
    /// An entry announces itself.
    Entry {
        /// The entry's incarnation.
        incarnation: Incarnation,
        /// Its name.
        name: String,
        /// Where other processes reach it.
        address: String,
        /// Its data center.
        data_center: String,
    },
    /// An agent announces itself. Repeated well within the log's retention.
    Agent {
        /// The agent's incarnation.
        incarnation: Incarnation,
        /// Its name.
        name: String,
        /// Where entries reach it.
        address: String,
        /// The services that it starts tasks of. A change is announced before it takes effect.
        services: Vec<ServiceName>,
        /// Its data center.
        data_center: String,
    },
    /// An entry takes shards over. Repeated well within the log's retention.
    Takeover {
        /// The shards.
        shards: Vec<ShardId>,
        /// The ballot, with the epoch that was current when the record was sent.
        ballot: Ballot,
    },
    /// An agent left gracefully: it starts nothing more.
    Left {
        /// The agent's incarnation.
        incarnation: Incarnation,
        /// The agent that has adopted its start records, if any.
        #[serde(default)]
        custodian: Option<Incarnation>,
    },
}
