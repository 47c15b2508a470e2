//! Weighted fair shares of teams, which lend what is idle.

use std::collections::HashMap;

use hemlockhook_types::{Incarnation, TeamName};

/// A team is charged for its work at its fair part of the slots times this.
const FAIR_SHARE_FACTOR: f64 = 1.25;

/// Microseconds of its fair part that a team may save up for a burst.
const MAX_CREDIT_US: u64 = 4_000_000;

/// Furthest, in microseconds, that a team's jobs are put off in favour of other teams.
const MAX_DEBT_US: u64 = 60_000_000;

/// The running work of teams, at this entry and as its peers report it.
#[derive(Debug, Default)]
pub struct FairShares {
    weights: HashMap<TeamName, u32>,
    usage: HashMap<TeamName, Usage>,
}

#[derive(Debug, Default)]
struct Usage {
    running: u32,
    queued: u32,
    peers: HashMap<Incarnation, PeerUsage>,
    /// When the work that was submitted would be done at the team's fair part of the slots.
    charged_until_us: u64,
}

#[derive(Clone, Copy, Debug, Default)]
struct PeerUsage {
    running: u32,
    queued: u32,
}

impl FairShares {
    /// Puts other weights in force. A team without one weighs 1.
    pub fn set_weights(&mut self, teams: &[(TeamName, u32)]) {
        self.weights = teams.iter().cloned().collect();
    }

    /// Takes a peer's report.
    pub fn set_peer_usage(
        &mut self,
        peer: Incarnation,
        team: &TeamName,
        running: u32,
        queued: u32,
    ) {
        let usage = self.usage.entry(team.clone()).or_default();
        match (running, queued) {
            (0, 0) => usage.peers.remove(&peer),
            _ => usage.peers.insert(peer, PeerUsage { running, queued }),
        };
        self.remove_if_idle(team);
    }

    /// Forgets a peer that is gone.
    pub fn remove_peer(&mut self, peer: Incarnation) {
        self.usage
            .values_mut()
            .for_each(|usage| _ = usage.peers.remove(&peer));
        self.usage.retain(|_, usage| !usage.is_idle());
    }

    /// Counts tasks of a team that were queued (or, if negative, are queued no longer).
    pub fn count_queued(&mut self, team: &TeamName, delta: i64) {
        let usage = self.usage.entry(team.clone()).or_default();
        usage.queued = apply_delta(usage.queued, delta);
        self.remove_if_idle(team);
    }

    /// Counts tasks of a team that started (or, if negative, ended).
    pub fn count_running(&mut self, team: &TeamName, delta: i64) {
        let usage = self.usage.entry(team.clone()).or_default();
        usage.running = apply_delta(usage.running, delta);
        self.remove_if_idle(team);
    }

    /// Returns when a team's next job counts as arrived: now, or later for a team that asked for more
    /// than its fair part of the slots, so that the others' jobs go first.
    pub fn virtual_start_us(&self, now_us: u64, team: &TeamName) -> u64 {
        let charged_until_us = self
            .usage
            .get(team)
            .map_or(0, |usage| usage.charged_until_us);
        charged_until_us.max(now_us)
    }

    /// Charges a team for a job.
    pub fn charge(&mut self, now_us: u64, team: &TeamName, work_secs: f64, slots: u32) {
        let charge_us = (work_secs / self.fair_slots(team, slots) * 1e6) as u64;
        let usage = self.usage.entry(team.clone()).or_default();
        let since_us = usage
            .charged_until_us
            .max(now_us.saturating_sub(MAX_CREDIT_US));
        usage.charged_until_us = (since_us + charge_us).min(now_us + MAX_DEBT_US);
    }

    /// Gives back the charge for work that was dropped.
    pub fn refund(&mut self, team: &TeamName, work_secs: f64, slots: u32) {
        let fair_slots = self.fair_slots(team, slots);
        if let Some(usage) = self.usage.get_mut(team) {
            let charge_us = (work_secs / fair_slots * 1e6) as u64;
            usage.charged_until_us = usage.charged_until_us.saturating_sub(charge_us);
        }
    }

    /// Returns the slots that a team may count on at this entry: its part among the teams of the
    /// policy (without any, among those that have work), of the entry's part among its peers.
    fn fair_slots(&self, team: &TeamName, slots: u32) -> f64 {
        let weight = |team: &TeamName| f64::from(*self.weights.get(team).unwrap_or(&1));
        let others = |other: &&TeamName| *other != team;
        let other_weights = match self.weights.is_empty() {
            true => self.usage.keys().filter(others).map(weight).sum::<f64>(),
            false => self.weights.keys().filter(others).map(weight).sum(),
        };
        let peers = self
            .usage
            .values()
            .map(|usage| usage.peers.len())
            .max()
            .unwrap_or(0);
        let share = weight(team) / (weight(team) + other_weights) / (1.0 + peers as f64);
        (f64::from(slots) * share * FAIR_SHARE_FACTOR).max(0.1)
    }

    /// Returns the teams that have work at this entry, with what runs and what is queued here.
    pub fn local_usage(&self) -> impl Iterator<Item = (&TeamName, u32, u32)> {
        let local = self
            .usage
            .iter()
            .filter(|(_, usage)| usage.running + usage.queued > 0);
        local.map(|(team, usage)| (team, usage.running, usage.queued))
    }

    fn remove_if_idle(&mut self, team: &TeamName) {
        if self.usage.get(team).is_some_and(Usage::is_idle) {
            self.usage.remove(team);
        }
    }
}

impl Usage {
    fn is_idle(&self) -> bool {
        let peers = self
            .peers
            .values()
            .all(|peer| peer.running + peer.queued == 0);
        self.running + self.queued == 0 && peers
    }
}

fn apply_delta(count: u32, delta: i64) -> u32 {
    let changed = i64::from(count) + delta;
    u32::try_from(changed).expect("a team's work ends as often as it began")
}
