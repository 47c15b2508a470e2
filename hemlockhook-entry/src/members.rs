//! The entries and agents known, and which entry should own which shard.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use hemlockhook_ownership::Record;
use hemlockhook_proto::v1::PeerStatus;
use hemlockhook_types::{Ballot, Incarnation, SHARD_COUNT, ShardId};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The entries and agents that announced themselves.
#[derive(Debug)]
pub struct Members {
    me: Incarnation,
    name: String,
    peer_timeout: Duration,
    peers: HashMap<Incarnation, Peer>,
    agents: HashMap<Incarnation, Agent>,
    /// Every announcement, for entries that cannot read the log.
    records: Vec<Record>,
}

/// Another entry.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Name of the instance.
    pub name: String,
    /// Where it serves other entries.
    pub address: SocketAddr,
    /// When it was heard last; absent if it was only read of.
    pub last_heard: Option<Instant>,
    /// Whether it hands its shards over.
    pub draining: bool,
    /// The configuration version that it has in force.
    pub config_version: u64,
    /// Hash of what it told last of its shards and teams.
    pub digest: u64,
    /// The ballots of the shards that it says it owns.
    pub owned: HashMap<ShardId, u64>,
}

/// An agent that announced itself.
#[derive(Clone, Debug)]
pub struct Agent {
    /// Name of its upstream.
    pub name: String,
    /// Where it takes links.
    pub address: SocketAddr,
}

impl Members {
    /// Creates the view of an entry that knows only itself.
    pub fn new(me: Incarnation, name: &str, peer_timeout: Duration) -> Self {
        Self {
            me,
            name: name.to_owned(),
            peer_timeout,
            peers: HashMap::new(),
            agents: HashMap::new(),
            records: Vec::new(),
        }
    }

    /// Takes an announcement in. Returns an agent's incarnation if it is new.
    pub fn on_record(&mut self, record: &Record) -> Option<Incarnation> {
        match record {
            Record::Entry {
                incarnation,
                name,
                address,
                ..
            } if *incarnation != self.me => {
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

    /// Takes another entry's state in.
    ///
    /// Returns false if it leaves out what was not heard before.
    pub fn on_status(&mut self, now: Instant, status: &PeerStatus) -> bool {
        if status.incarnation == self.me {
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

    /// Returns the entry that should own a shard: the highest hash of name and shard among the
    /// entries that are alive and stay.
    pub fn preferred_owner(&self, now: Instant, shard: ShardId, staying: bool) -> Incarnation {
        let me = staying.then_some((weight(&self.name, shard), self.me));
        self.live_peers(now)
            .filter(|(_, peer)| !peer.draining)
            .map(|(incarnation, peer)| (weight(&peer.name, shard), incarnation))
            .chain(me)
            .max()
            .map_or(self.me, |(_, incarnation)| incarnation)
    }

    /// Returns the living peer that claims a shard under the highest ballot, and that ballot.
    pub fn claimed_owner(&self, now: Instant, shard: ShardId) -> Option<(Ballot, SocketAddr)> {
        self.live_peers(now)
            .filter_map(|(owner, peer)| {
                let counter = *peer.owned.get(&shard)?;
                Some((Ballot { counter, owner }, peer.address))
            })
            .max_by_key(|(ballot, _)| *ballot)
    }

    /// Returns every ballot that living peers claim.
    pub fn claimed_ballots(&self, now: Instant) -> Vec<(ShardId, Ballot)> {
        (0..SHARD_COUNT)
            .filter_map(|shard| Some((shard, self.claimed_owner(now, shard)?.0)))
            .collect()
    }

    /// Returns the peers that are alive.
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

    /// Returns every other entry known, alive or not.
    pub fn peers(&self) -> impl Iterator<Item = (Incarnation, &Peer)> {
        self.peers
            .iter()
            .map(|(incarnation, peer)| (*incarnation, peer))
    }

    /// Returns an agent that announced itself.
    pub fn agent(&self, agent: Incarnation) -> Option<&Agent> {
        self.agents.get(&agent)
    }

    /// Forgets an agent that is gone for good.
    pub fn remove_agent(&mut self, agent: Incarnation) {
        self.agents.remove(&agent);
        self.records.retain(
            |record| !matches!(record, Record::Agent { incarnation, .. } if *incarnation == agent),
        );
    }

    /// Returns the announcements of entries and agents.
    pub fn records(&self) -> &[Record] {
        &self.records
    }

    /// Returns whether an entry was heard from an address. It replaces what announcements say of the
    /// address, which may be older, until another is heard from there.
    fn is_heard_from(&self, address: &str) -> bool {
        let Ok(address) = address.parse::<SocketAddr>() else {
            return false;
        };
        let mut peers = self.peers.values();
        peers.any(|peer| peer.last_heard.is_some() && peer.address == address)
    }

    /// Adds a peer; an older incarnation at the same address has been replaced.
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

/// Returns how many of the peers come before an entry in an agent's order of entries.
pub fn rendezvous_rank<'a, P>(me: &str, peers: P, agent: Incarnation) -> usize
where
    P: Iterator<Item = &'a str>,
{
    let weight = |name: &str| xxh3_64_with_seed(name.as_bytes(), agent);
    let mine = weight(me);
    peers.filter(|peer| weight(peer) > mine).count()
}
