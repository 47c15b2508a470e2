//! The known entries and agents, and the preferred and claimed owners of shards.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use hemlockhook_ownership::Record;
use hemlockhook_proto::v1::PeerStatus;
use hemlockhook_types::{Ballot, Incarnation, SHARD_COUNT, ShardId};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The known entries and agents, from announcements in the log and from heartbeats.
#[derive(Debug)]
pub struct Members {
    own_incarnation: Incarnation,
    own_name: String,
    peer_timeout: Duration,
    peers: HashMap<Incarnation, Peer>,
    agents: HashMap<Incarnation, Agent>,
    /// All announcements, to be sent to entries that can't read the log.
    records: Vec<Record>,
}

/// Another entry, as known from its announcement and from heartbeats.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Name of the instance.
    pub name: String,
    /// Address on which other entries reach it.
    pub address: SocketAddr,
    /// When it was last heard from; absent if it is known from announcements only.
    pub last_heard: Option<Instant>,
    /// Whether it is draining, and hands over its shards.
    pub draining: bool,
    /// Configuration version in force at the peer.
    pub config_version: u64,
    /// Digest of the shards and teams in its latest full state.
    pub digest: u64,
    /// The shards that it claims to own, with their ballots.
    pub owned: HashMap<ShardId, u64>,
}

/// An agent that announced itself.
#[derive(Clone, Debug)]
pub struct Agent {
    /// Name of its upstream.
    pub name: String,
    /// Address on which it accepts links.
    pub address: SocketAddr,
}

impl Members {
    /// Creates the members of an entry that knows only itself.
    pub fn new(own_incarnation: Incarnation, own_name: &str, peer_timeout: Duration) -> Self {
        Self {
            own_incarnation,
            own_name: own_name.to_owned(),
            peer_timeout,
            peers: HashMap::new(),
            agents: HashMap::new(),
            records: Vec::new(),
        }
    }

    /// Processes a record of the `membership` stream. Returns the incarnation of an agent that was
    /// not known before.
    pub fn on_record(&mut self, record: &Record) -> Option<Incarnation> {
        match record {
            Record::Entry {
                incarnation,
                name,
                address,
                ..
            } if *incarnation != self.own_incarnation => {
                if !self.is_heard_from(address) {
                    self.add_peer(*incarnation, name, address);
                }
                self.keep_record(record);
                None
            }
            Record::Agent {
                incarnation,
                name,
                address,
                ..
            } => {
                let address = address.parse().ok()?;
                self.keep_record(record);
                let agent = Agent {
                    name: name.clone(),
                    address,
                };
                self.agents
                    .insert(*incarnation, agent)
                    .is_none()
                    .then_some(*incarnation)
            }
            Record::Left { incarnation, .. } => {
                self.remove_agent(*incarnation);
                None
            }
            _ => None,
        }
    }

    /// Updates a peer from its state.
    ///
    /// Returns false if the state leaves out shards and teams that have not been received before.
    pub fn on_status(&mut self, now: Instant, status: &PeerStatus) -> bool {
        if status.incarnation == self.own_incarnation {
            return true;
        }
        self.add_peer(status.incarnation, &status.name, &status.address);
        let Some(peer) = self.peers.get_mut(&status.incarnation) else {
            return true;
        };
        peer.last_heard = Some(now);
        peer.draining = status.draining;
        peer.config_version = status.config_version;
        if status.unchanged {
            return peer.digest == status.digest;
        }
        peer.digest = status.digest;
        peer.owned = status
            .owned
            .iter()
            .map(|owned| (owned.shard as ShardId, owned.ballot))
            .collect();
        true
    }

    /// Returns the entry that should own a shard by rendezvous hashing of names over the live
    /// entries that are not draining. `staying` tells whether this entry is one of them.
    pub fn preferred_owner(&self, now: Instant, shard: ShardId, staying: bool) -> Incarnation {
        let own = staying.then_some((weight(&self.own_name, shard), self.own_incarnation));
        self.live_peers(now)
            .filter(|(_, peer)| !peer.draining)
            .map(|(incarnation, peer)| (weight(&peer.name, shard), incarnation))
            .chain(own)
            .max()
            .map_or(self.own_incarnation, |(_, incarnation)| incarnation)
    }

    /// Returns the highest ballot under which a live peer claims a shard, and the address of the
    /// peer.
    pub fn claimed_owner(&self, now: Instant, shard: ShardId) -> Option<(Ballot, SocketAddr)> {
        self.live_peers(now)
            .filter_map(|(owner, peer)| {
                let counter = *peer.owned.get(&shard)?;
                Some((Ballot { counter, owner }, peer.address))
            })
            .max_by_key(|(ballot, _)| *ballot)
    }

    /// Returns the highest ballot claimed by live peers for each claimed shard.
    pub fn claimed_ballots(&self, now: Instant) -> Vec<(ShardId, Ballot)> {
        (0..SHARD_COUNT)
            .filter_map(|shard| Some((shard, self.claimed_owner(now, shard)?.0)))
            .collect()
    }

    /// Returns the peers that have been heard from recently.
    pub fn live_peers(&self, now: Instant) -> impl Iterator<Item = (Incarnation, &Peer)> {
        let peer_timeout = self.peer_timeout;
        self.peers
            .iter()
            .filter(move |(_, peer)| {
                peer.last_heard.is_some_and(|last_heard| {
                    now.saturating_duration_since(last_heard) < peer_timeout
                })
            })
            .map(|(incarnation, peer)| (*incarnation, peer))
    }

    /// Returns all other known entries, alive or not.
    pub fn peers(&self) -> impl Iterator<Item = (Incarnation, &Peer)> {
        self.peers
            .iter()
            .map(|(incarnation, peer)| (*incarnation, peer))
    }

    /// Returns an announced agent.
    pub fn agent(&self, agent: Incarnation) -> Option<&Agent> {
        self.agents.get(&agent)
    }

    /// Removes an agent that is gone for good, with its announcements.
    pub fn remove_agent(&mut self, agent: Incarnation) {
        self.agents.remove(&agent);
        self.records.retain(
            |record| !matches!(record, Record::Agent { incarnation, .. } if *incarnation == agent),
        );
    }

    /// Returns all announcements.
    pub fn records(&self) -> &[Record] {
        &self.records
    }

    /// Returns whether an entry has been heard from at an address. It takes precedence over
    /// announcements of the address, which may be older, until another entry is heard from there.
    fn is_heard_from(&self, address: &str) -> bool {
        let Ok(address) = address.parse::<SocketAddr>() else {
            return false;
        };
        let mut peers = self.peers.values();
        peers.any(|peer| peer.last_heard.is_some() && peer.address == address)
    }

    /// Adds a peer in place of any other incarnation at the same address.
    fn add_peer(&mut self, incarnation: Incarnation, name: &str, address: &str) {
        let Ok(address) = address.parse::<SocketAddr>() else {
            return;
        };
        if self.peers.contains_key(&incarnation) {
            return;
        }
        self.peers.retain(|_, peer| peer.address != address);
        let peer = Peer {
            name: name.to_owned(),
            address,
            last_heard: None,
            draining: false,
            config_version: 0,
            digest: 0,
            owned: HashMap::new(),
        };
        self.peers.insert(incarnation, peer);
    }

    fn keep_record(&mut self, record: &Record) {
        if !self.records.contains(record) {
            self.records.push(record.clone());
        }
    }
}

/// Returns the rendezvous weight of an entry for a shard.
fn weight(name: &str, shard: ShardId) -> u64 {
    xxh3_64_with_seed(name.as_bytes(), u64::from(shard))
}

/// Returns how many of the peers precede an entry in an agent's rendezvous order of entries.
pub fn rendezvous_rank<'a, P>(name: &str, peers: P, agent: Incarnation) -> usize
where
    P: Iterator<Item = &'a str>,
{
    let weight = |name: &str| xxh3_64_with_seed(name.as_bytes(), agent);
    let own_weight = weight(name);
    peers.filter(|peer| weight(peer) > own_weight).count()
}
