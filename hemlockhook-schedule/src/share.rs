//! Weighted fair shares of teams, which lend what is idle.

use std::collections::HashMap;

use hemlockhook_types::{Incarnation, TeamName};

/// A team may hold this share of its fair part before others go first, in percent.
const TOLERANCE_PERCENT: u64 = 125;

/// The running work of teams, at this entry and as its peers report it.
#[derive(Debug, Default)]
pub struct Shares {
    weights: HashMap<TeamName, u32>,
    usage: HashMap<TeamName, Usage>,
}

#[derive(Debug, Default)]
struct Usage {
    running: u32,
    queued: u32,
    peers: HashMap<Incarnation, PeerUsage>,
}

#[derive(Clone, Copy, Debug, Default)]
struct PeerUsage {
    running: u32,
    queued: u32,
}

impl Shares {
    /// Puts other weights in force. A team without one weighs 1.
    pub fn set_weights(&mut self, teams: &[(TeamName, u32)]) {
        self.weights = teams.iter().cloned().collect();
    }

    /// Takes a peer's report.
    pub fn set_peer(&mut self, peer: Incarnation, team: &TeamName, running: u32, queued: u32) {
        let usage = self.usage.entry(team.clone()).or_default();
        match (running, queued) {
            (0, 0) => usage.peers.remove(&peer),
            _ => usage.peers.insert(peer, PeerUsage { running, queued }),
        };
        self.drop_idle(team);
    }

    /// Forgets a peer that is gone.
    pub fn forget_peer(&mut self, peer: Incarnation) {
        self.usage
            .values_mut()
            .for_each(|usage| _ = usage.peers.remove(&peer));
        self.usage.retain(|_, usage| !usage.is_idle());
    }

    /// Counts tasks of a team that were queued (or, if negative, are queued no longer).
    pub fn count_queued(&mut self, team: &TeamName, change: i64) {
        let usage = self.usage.entry(team.clone()).or_default();
        usage.queued = add(usage.queued, change);
        self.drop_idle(team);
    }

    /// Counts tasks of a team that started (or, if negative, ended).
    pub fn count_running(&mut self, team: &TeamName, change: i64) {
        let usage = self.usage.entry(team.clone()).or_default();
        usage.running = add(usage.running, change);
        self.drop_idle(team);
    }

    /// Returns whether a team holds more than its fair part of what runs, counted among the teams
    /// that have work.
    pub fn is_over(&self, team: &TeamName) -> bool {
        let weight = |team: &TeamName| u64::from(*self.weights.get(team).unwrap_or(&1));
        let weights: u64 = self.usage.keys().map(weight).sum();
        let total: u64 = self.usage.values().map(Usage::total_running).sum();
        let own = self.usage.get(team).map_or(0, Usage::total_running);
        own * weights * 100 > total * weight(team) * TOLERANCE_PERCENT
    }

    /// Returns the teams that have work at this entry, with what runs and what is queued here.
    pub fn own(&self) -> impl Iterator<Item = (&TeamName, u32, u32)> {
        let own = self
            .usage
            .iter()
            .filter(|(_, usage)| usage.running + usage.queued > 0);
        own.map(|(team, usage)| (team, usage.running, usage.queued))
    }

    fn drop_idle(&mut self, team: &TeamName) {
        if self.usage.get(team).is_some_and(Usage::is_idle) {
            self.usage.remove(team);
        }
    }
}

impl Usage {
    fn total_running(&self) -> u64 {
        let peers = self.peers.values().map(|peer| u64::from(peer.running));
        u64::from(self.running) + peers.sum::<u64>()
    }

    fn is_idle(&self) -> bool {
        let peers = self
            .peers
            .values()
            .all(|peer| peer.running + peer.queued == 0);
        self.running + self.queued == 0 && peers
    }
}

fn add(count: u32, change: i64) -> u32 {
    let changed = i64::from(count) + change;
    u32::try_from(changed).expect("a team's work ends as often as it began")
}
