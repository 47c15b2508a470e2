//! Weighted fair shares of teams. Slots that a team does not use are lent to others.

use std::collections::HashMap;

use hemlockhook_types::{Incarnation, TeamName};

/// Work is charged at a team's fair share of the slots times this factor.
const FAIR_SHARE_FACTOR: f64 = 1.25;

/// Longest time, in microseconds, for which a team can save up unused share for a burst.
const MAX_CREDIT_US: u64 = 4_000_000;

/// Longest time, in microseconds, by which a team's jobs are delayed in favour of other teams.
const MAX_DEBT_US: u64 = 60_000_000;

/// Queued and running tasks of teams, at this entry and as reported by its peers.
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
    /// When the work submitted so far would be done at the team's fair share, in microseconds since
    /// the dispatcher's first event.
    charged_until_us: u64,
}

#[derive(Clone, Copy, Debug, Default)]
struct PeerUsage {
    running: u32,
    queued: u32,
}

impl FairShares {
    /// Replaces the weights. A team without a weight counts as 1.
    pub fn set_weights(&mut self, teams: &[(TeamName, u32)]) {
        self.weights = teams.iter().cloned().collect();
    }

    /// Records a peer's report of a team's tasks.
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

    /// Removes the reports of a peer that is gone.
    pub fn remove_peer(&mut self, peer: Incarnation) {
        self.usage
            .values_mut()
            .for_each(|usage| _ = usage.peers.remove(&peer));
        self.usage.retain(|_, usage| !usage.is_idle());
    }

    /// Adds `delta` to the number of a team's queued tasks.
    pub fn count_queued(&mut self, team: &TeamName, delta: i64) {
        let usage = self.usage.entry(team.clone()).or_default();
        usage.queued = apply_delta(usage.queued, delta);
        self.remove_if_idle(team);
    }

    /// Adds `delta` to the number of a team's running tasks.
    pub fn count_running(&mut self, team: &TeamName, delta: i64) {
        let usage = self.usage.entry(team.clone()).or_default();
        usage.running = apply_delta(usage.running, delta);
        self.remove_if_idle(team);
    }

    /// Returns the virtual start of a team's next job: now, or later for a team that submitted more
    /// than its fair share, so that jobs of other teams are served first.
    pub fn virtual_start_us(&self, now_us: u64, team: &TeamName) -> u64 {
        let charged_until_us = self
            .usage
            .get(team)
            .map_or(0, |usage| usage.charged_until_us);
        charged_until_us.max(now_us)
    }

    /// Charges a team for the work of a job.
    pub fn charge(&mut self, now_us: u64, team: &TeamName, work_secs: f64, slots: u32) {
        let charge_us = (work_secs / self.fair_slots(team, slots) * 1e6) as u64;
        let usage = self.usage.entry(team.clone()).or_default();
        let since_us = usage
            .charged_until_us
            .max(now_us.saturating_sub(MAX_CREDIT_US));
        usage.charged_until_us = (since_us + charge_us).min(now_us + MAX_DEBT_US);
    }

    /// Refunds the charge for queued work that was dropped.
    pub fn refund(&mut self, team: &TeamName, work_secs: f64, slots: u32) {
        let fair_slots = self.fair_slots(team, slots);
        if let Some(usage) = self.usage.get_mut(team) {
            let charge_us = (work_secs / fair_slots * 1e6) as u64;
            usage.charged_until_us = usage.charged_until_us.saturating_sub(charge_us);
        }
    }

    /// Returns the number of slots at which a team's work is charged at this entry: the team's share
    /// by weight among the teams of the policy (or, if it names none, among those with work),
    /// divided by the number of entries, times [`FAIR_SHARE_FACTOR`].
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

    /// Returns the teams that have tasks at this entry, with the number of running and queued
    /// tasks.
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
    u32::try_from(changed).expect("the task counts of a team stay in range")
}
