//! Sharing of the configuration among entries, by way of agents.
//!
//! A few agents keep the configuration for entries that can't read it from the store. The document
//! can be large and links can be narrow, so it is sent only to an agent that lacks it, and to an
//! entry that requests it.

use std::collections::{BTreeSet, HashMap};
use std::time::{Duration, Instant};

use strum::IntoStaticStr;

use crate::Incarnation;
use crate::entry::AgentKey;

/// Number of agents that keep the configuration.
const KEEPERS: usize = 3;

/// Time for which an entry that has a configuration waits for its own read of the store, once an
/// agent has a newer one. It is below the time within which a configuration has to be in force.
const READ_TIME: Duration = Duration::from_millis(1000);

/// Time after which a configuration that was requested is requested from another agent.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(500);

/// Maximum rate at which an entry sends the configuration to each agent, and requests it, in bytes per
/// second. All agents together take a third of a link of 19 Mbit/s.
const SHARE_RATE: f64 = 256.0 * 1024.0;

/// Size of a document up to which all entries send it at once, in bytes: copies cost little.
const SMALL_DOCUMENT: usize = 16 * 1024;

/// Where an entry got a configuration from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum ConfigurationSource {
    /// Its own read of the store.
    Store,
    /// An agent.
    Agent,
}

/// Decides from which agent an entry requests the configuration, and to which agents it sends it.
#[derive(Debug, Default)]
pub struct ConfigurationSharing {
    /// Version in force; 0 means none.
    version: u64,
    /// Time for which the entry, once an agent has a newer version, waits for its own read.
    read_wait: Duration,
    /// When the version in force may be sent to agents.
    share_at: Option<Instant>,
    last_share: Option<Instant>,
    agents: HashMap<AgentKey, Keeper>,
    /// All agents in an order that is the same at every entry.
    ranks: BTreeSet<(Incarnation, AgentKey)>,
    /// Since when an agent has had a newer version, and this entry has made no progress.
    behind_since: Option<Instant>,
    last_request: Option<(AgentKey, Instant)>,
}

/// An agent as a keeper of the configuration.
#[derive(Debug)]
struct Keeper {
    incarnation: Incarnation,
    /// Version that it has.
    version: u64,
    /// Highest version that it was sent on this link.
    sent: u64,
}

impl ConfigurationSharing {
    /// Adds an agent, or resets it if it has linked again.
    pub fn linked(&mut self, key: AgentKey, incarnation: Incarnation) {
        self.unlinked(key);
        let keeper = Keeper {
            incarnation,
            version: 0,
            sent: 0,
        };
        self.agents.insert(key, keeper);
        self.ranks.insert((incarnation, key));
    }

    /// Removes an agent.
    pub fn unlinked(&mut self, key: AgentKey) {
        if let Some(keeper) = self.agents.remove(&key) {
            self.ranks.remove(&(keeper.incarnation, key));
        }
    }

    /// Records that a newer version is in force, with a document of `bytes` bytes. A large one is sent
    /// to agents after a delay that depends on `random`, from 0 to 1, so that one of the entries
    /// sends it and the others learn of that.
    pub fn changed(
        &mut self,
        now: Instant,
        version: u64,
        bytes: usize,
        source: ConfigurationSource,
        random: f64,
    ) {
        assert!(version > self.version, "the version must increase");
        self.version = version;
        let interval = Duration::from_secs_f64(bytes as f64 / SHARE_RATE);
        self.read_wait = match source {
            ConfigurationSource::Store => READ_TIME,
            // The entry's own reads fail, or are late. The agent may have had an old version.
            ConfigurationSource::Agent => READ_TIME.min(interval),
        };
        // A share that is pending sends the new version instead.
        if self.share_at.is_none_or(|at| at <= now) {
            let earliest = self.last_share.map(|at| at + interval);
            let delay = match bytes {
                ..=SMALL_DOCUMENT => Duration::ZERO,
                _ => interval.mul_f64(random),
            };
            self.share_at = Some(now + delay).max(earliest);
        }
        self.last_request = None;
        self.behind_since = self.is_behind().then_some(now);
    }

    /// Records the version that an agent has.
    pub fn agent_has(&mut self, now: Instant, key: AgentKey, version: u64) {
        if let Some(keeper) = self.agents.get_mut(&key) {
            keeper.version = version;
        }
        if version > self.version {
            self.behind_since.get_or_insert(now);
        }
    }

    /// Returns the agent to request the configuration from, if a request is due.
    pub fn request(&mut self, now: Instant) -> Option<AgentKey> {
        let behind_since = self.behind_since?;
        let is_due = now.saturating_duration_since(behind_since) >= self.read_wait;
        let last = self.last_request;
        let is_pending =
            last.is_some_and(|(_, at)| now.saturating_duration_since(at) < REQUEST_TIMEOUT);
        if !is_due || is_pending {
            return None;
        }
        let newer = self
            .agents
            .iter()
            .filter(|(_, keeper)| keeper.version > self.version);
        // An agent that did not answer is the last choice.
        let is_other = |key: AgentKey| last.is_none_or(|(asked, _)| asked != key);
        let (&key, _) = newer
            .max_by_key(|&(&key, keeper)| (is_other(key), keeper.version, keeper.incarnation))?;
        self.last_request = Some((key, now));
        Some(key)
    }

    /// Returns the agents that are to be sent the configuration now.
    pub fn recipients(&mut self, now: Instant) -> Vec<AgentKey> {
        if self.share_at.is_none_or(|at| now < at) {
            return Vec::new();
        }
        let keepers = self.ranks.iter().take(KEEPERS).map(|&(_, key)| key);
        let mut recipients = Vec::new();
        for key in keepers {
            let Some(keeper) = self.agents.get_mut(&key) else {
                continue;
            };
            if keeper.version.max(keeper.sent) < self.version {
                keeper.sent = self.version;
                recipients.push(key);
                self.last_share = Some(now);
            }
        }
        recipients
    }

    fn is_behind(&self) -> bool {
        self.agents
            .values()
            .any(|keeper| keeper.version > self.version)
    }
}
