//! Takeovers: fences, records in the log, and accounts of what was started before.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use hemlockhook_types::{Ballot, Incarnation, JobKey, ServiceName, ShardId};

use super::takeover::{Append, Takeover};
use super::{Owner, OwnerAction, Role};
use crate::epoch::{
    MAX_EPOCH, base_ballot, elapsed_epochs, marker_retention, next_takeover_counter,
};
use crate::log_coverage::log_time;
use crate::messages::FenceReport;

/// Highest exponent of the back-off between takes of contended shards.
const MAX_BACK_OFF: u32 = 6;

impl Owner {
    /// Takes shards over, under one ballot. Shards that are held already are left as they are.
    pub fn take_over(&mut self, now: Instant, shards: &[ShardId]) {
        let shards: BTreeSet<_> = shards
            .iter()
            .copied()
            .filter(|shard| self.held(*shard).is_none())
            .collect();
        self.begin_takeover(now, shards, 0);
    }

    /// Gives shards up, for a planned hand-over.
    pub fn release(&mut self, _now: Instant, shards: &[ShardId]) {
        self.step_down(shards);
    }

    /// Takes in a ballot of a shard from a peer or a refusal. If it is above the own one, the
    /// shard is given up.
    pub fn on_ballot(&mut self, _now: Instant, shard: ShardId, ballot: Ballot) {
        let ballot = base_ballot(ballot);
        let state = self.shards.entry(shard).or_default();
        let contender = ballot.owner != self.me && ballot >= state.seen;
        state.seen = state.seen.max(ballot);
        let lost = match state.role {
            Role::None => false,
            Role::Retry { .. } => contender,
            Role::Held(id) => self.takeovers[&id].ballot < ballot,
        };
        if lost {
            self.step_down(&[shard]);
        }
    }

    /// Takes in that a link to an agent is up: its starts are asked for.
    pub fn on_agent_connected(
        &mut self,
        _now: Instant,
        agent: Incarnation,
        services: &[ServiceName],
    ) {
        let state = self.members.entry(agent);
        state.up = true;
        state.link += 1;
        state.services.extend(services.iter().cloned());
        self.fence_agent(agent);
    }

    /// Takes in that the link to an agent broke. Its tasks stay started.
    pub fn on_agent_disconnected(&mut self, now: Instant, agent: Incarnation) {
        let memory = self.memory();
        let Some(state) = self.members.get_mut(agent) else {
            return;
        };
        state.link_broke(log_time(now, Duration::ZERO), memory);
        for takeover in self.takeovers.values_mut() {
            takeover.awaited.remove(&agent);
        }
        self.withdraw_elsewhere(now, agent);
    }

    /// Takes in that an agent was given up: what runs there is lost.
    pub fn on_agent_lost(&mut self, now: Instant, agent: Incarnation) {
        self.on_agent_disconnected(now, agent);
        self.lose_tasks(now, agent);
    }

    /// Takes in an agent's answer to a fence.
    pub fn on_fence_report(
        &mut self,
        now: Instant,
        agent: Incarnation,
        takeover: u64,
        report: FenceReport,
    ) {
        self.on_refused_shards(now, takeover, &report.refused);
        let Some(state) = self.takeovers.get_mut(&takeover) else {
            return;
        };
        state.awaited.remove(&agent);
        state.accounted.insert(agent);
        state.accounted.extend(&report.adopted);

        let shards = state.shards.clone();
        self.merge(now, agent, &shards, &report);
        self.check_accounts(now);
    }

    /// Returns whether every start of older submissions of a service, or of all services, is
    /// accounted for.
    pub(super) fn accounts_for(
        &self,
        now: Instant,
        takeover: &Takeover,
        service: Option<&ServiceName>,
    ) -> bool {
        let rules = self.cfg.rules;
        let log_now = log_time(now, Duration::ZERO);
        if rules.recorded && takeover.offset.is_none() {
            return false;
        }
        if rules.history && !self.members.log_coverage().covers(log_now, self.memory()) {
            return false;
        }
        !rules.reports
            || self
                .members
                .iter()
                .filter(|(_, agent)| agent.may_hold_starts(log_now))
                .filter(|(_, agent)| agent.concerns(takeover))
                .filter(|(_, agent)| rules.custody || !agent.left)
                .filter(|(_, agent)| service.is_none_or(|name| agent.services.contains(name)))
                .all(|(id, _)| takeover.accounted.contains(&id))
    }

    /// Tells when shards become ready, and when their account becomes complete.
    pub(super) fn check_accounts(&mut self, now: Instant) {
        let complete: Vec<_> = self
            .takeovers
            .iter()
            .filter(|(_, takeover)| !takeover.told_complete)
            .filter(|(_, takeover)| self.accounts_for(now, takeover, None))
            .map(|(id, _)| *id)
            .collect();
        for id in complete {
            self.make_ready(id, true);
        }
    }

    pub(super) fn time_out_fences(&mut self, now: Instant) {
        let timeout = self.cfg.fence_timeout;
        let due: Vec<_> = self
            .takeovers
            .iter()
            .filter(|(_, takeover)| !takeover.ready && takeover.began + timeout <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in due {
            self.make_ready(id, false);
        }
    }

    /// Takes again what was contended.
    pub(super) fn retry_takes(&mut self, now: Instant) {
        let mut due = BTreeSet::new();
        let mut attempts = 0;
        for (shard, state) in &self.shards {
            match state.role {
                Role::Retry { at, attempt } if at <= now => {
                    due.insert(*shard);
                    attempts = attempts.max(attempt);
                }
                _ => {}
            }
        }
        self.begin_takeover(now, due, attempts);
    }

    /// Moves the stamps on. A ballot without epochs left is given up, to be taken again.
    pub(super) fn advance_epochs(&mut self, now: Instant) {
        let mut used_up = Vec::new();
        for takeover in self.takeovers.values_mut() {
            let age = now.saturating_duration_since(takeover.began);
            takeover.epoch = elapsed_epochs(age, self.cfg.window);
            if takeover.epoch == MAX_EPOCH {
                used_up.extend(&takeover.shards);
            }
        }
        self.step_down(&used_up);
    }

    /// Time after its last sign of life for which an agent may hold starts that matter.
    pub(super) fn memory(&self) -> Duration {
        self.cfg.lease + marker_retention(self.cfg.window)
    }

    fn begin_takeover(&mut self, now: Instant, shards: BTreeSet<ShardId>, attempt: u32) {
        if shards.is_empty() {
            return;
        }
        self.last_takeover += 1;
        let id = self.last_takeover;
        let mut counter = 0;
        for shard in &shards {
            let state = self.shards.entry(*shard).or_default();
            counter = counter.max(next_takeover_counter(state.seen));
        }
        let owner = self.me;
        let ballot = Ballot { counter, owner };
        for shard in &shards {
            let state = self.shards.entry(*shard).or_default();
            assert!(ballot > state.seen, "a takeover's ballot is the highest");
            state.seen = ballot;
            state.role = Role::Held(id);
        }

        let takeover = Takeover {
            ballot,
            shards,
            began: now,
            ready: false,
            told_complete: false,
            epoch: 0,
            attempt,
            offset: None,
            covered: false,
            append: Append::Sent(now),
            accounted: BTreeSet::new(),
            awaited: BTreeSet::new(),
        };
        self.takeovers.insert(id, takeover);
        self.append(now, id);
        let up: Vec<_> = self
            .members
            .iter()
            .filter(|(_, agent)| agent.up)
            .map(|(agent, _)| agent)
            .collect();
        for agent in up {
            self.fence(agent, id);
        }
    }

    /// Asks an agent for its starts in everything held.
    pub(super) fn fence_agent(&mut self, agent: Incarnation) {
        let ids: Vec<_> = self.takeovers.keys().copied().collect();
        for id in ids {
            self.fence(agent, id);
        }
    }

    fn fence(&mut self, agent: Incarnation, id: u64) {
        let takeover = self.takeovers.get_mut(&id).expect("it is held");
        takeover.awaited.insert(agent);
        self.actions.push(OwnerAction::Fence {
            agent,
            takeover: id,
            shards: takeover.shards.iter().copied().collect(),
            ballot: takeover.ballot,
        });
    }

    fn make_ready(&mut self, id: u64, complete: bool) {
        let takeover = self.takeovers.get_mut(&id).expect("it is held");
        takeover.ready = true;
        takeover.told_complete = complete;
        self.actions.push(OwnerAction::Ready {
            shards: takeover.shards.iter().copied().collect(),
            complete,
        });
    }

    /// Takes in floors above the ballot of a takeover: what is served is given up, what is not is
    /// taken again later, with a random back-off so that one of two contenders goes first.
    fn on_refused_shards(&mut self, now: Instant, id: u64, refused: &[(ShardId, Ballot)]) {
        let mut lost = Vec::new();
        let mut contended = Vec::new();
        for (shard, floor) in refused {
            self.see(*shard, *floor);
            let Some(takeover) = self.takeovers.get_mut(&id) else {
                continue;
            };
            if !takeover.shards.contains(shard) || *floor <= takeover.ballot {
                continue;
            }
            if takeover.ready {
                lost.push(*shard);
                continue;
            }
            contended.push((*shard, takeover.attempt + 1));
        }
        let shards: Vec<_> = contended.iter().map(|(shard, _)| *shard).collect();
        self.leave(&shards);
        for (shard, attempt) in contended {
            let at = now + self.back_off(attempt);
            let state = self.shards.entry(shard).or_default();
            state.role = Role::Retry { at, attempt };
        }
        self.step_down(&lost);
    }

    fn back_off(&mut self, attempt: u32) -> Duration {
        let doublings = (attempt - 1).min(MAX_BACK_OFF);
        let longest = self.cfg.fence_timeout * (1 << doublings);
        longest.mul_f64(self.rng.f64())
    }

    pub(super) fn step_down(&mut self, shards: &[ShardId]) {
        let held: Vec<_> = shards
            .iter()
            .copied()
            .filter(|shard| self.is_held(*shard))
            .collect();
        let mut unfinished = self.leave(&held);
        for shard in held {
            self.actions.push(OwnerAction::StepDown {
                shard,
                unfinished: unfinished.remove(&shard).unwrap_or_default(),
            });
        }
    }

    /// Gives shards up and forgets their jobs. Returns those without an answer.
    fn leave(&mut self, shards: &[ShardId]) -> BTreeMap<ShardId, Vec<JobKey>> {
        for shard in shards {
            if let Some((id, _)) = self.held(*shard) {
                let takeover = self.takeovers.get_mut(&id).expect("it is held");
                takeover.shards.remove(shard);
                if takeover.shards.is_empty() {
                    self.takeovers.remove(&id);
                }
            }
            if let Some(state) = self.shards.get_mut(shard) {
                state.role = Role::None;
            }
        }
        self.forget_shards(shards)
    }
}
