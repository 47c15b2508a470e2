//! Takeovers of shards: fences, and accounts of the starts made under earlier ballots.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use hemlockhook_types::{Ballot, Incarnation, JobKey, ServiceName, ShardId};

use super::takeover::{AppendState, Takeover};
use super::{Owner, OwnerAction, Role};
use crate::epoch::{
    MAX_EPOCH, base_ballot, elapsed_epochs, marker_retention, next_takeover_counter,
};
use crate::log_coverage::log_time;
use crate::messages::FenceReport;

/// Maximum number of doublings of the backoff between takeovers of contended shards.
const MAX_BACKOFF_EXPONENT: u32 = 6;

impl Owner {
    /// Takes over shards under one ballot. Shards that are already held are left unchanged.
    pub fn take_over(&mut self, now: Instant, shards: &[ShardId]) {
        let shards: BTreeSet<_> = shards
            .iter()
            .copied()
            .filter(|shard| self.held_takeover(*shard).is_none())
            .collect();
        self.begin_takeover(now, shards, 0);
    }

    /// Releases shards for a planned handover.
    pub fn release(&mut self, _now: Instant, shards: &[ShardId]) {
        self.step_down(shards);
    }

    /// Handles a shard's ballot that a peer sent or a refusal contained. Steps down from the shard
    /// if it is above the own ballot.
    pub fn on_ballot(&mut self, _now: Instant, shard: ShardId, ballot: Ballot) {
        let ballot = base_ballot(ballot);
        let state = self.shards.entry(shard).or_default();
        let is_contender = ballot.owner != self.incarnation && ballot >= state.highest_ballot;
        state.highest_ballot = state.highest_ballot.max(ballot);
        let lost = match state.role {
            Role::None => false,
            Role::Retry { .. } => is_contender,
            Role::Held(id) => self.takeovers[&id].ballot < ballot,
        };
        if lost {
            self.step_down(&[shard]);
        }
    }

    /// Handles a new link to an agent, and fences the agent for all takeovers.
    pub fn on_agent_connected(
        &mut self,
        _now: Instant,
        agent: Incarnation,
        services: &[ServiceName],
    ) {
        let state = self.members.entry(agent);
        state.connected = true;
        state.link_count += 1;
        state.services.extend(services.iter().cloned());
        self.fence_agent(agent);
    }

    /// Handles a broken link to an agent. Its tasks keep their states.
    pub fn on_agent_disconnected(&mut self, now: Instant, agent: Incarnation) {
        let retention = self.agent_retention();
        let Some(state) = self.members.get_mut(agent) else {
            return;
        };
        state.on_disconnected(log_time(now, Duration::ZERO), retention);
        for takeover in self.takeovers.values_mut() {
            takeover.awaiting_reports.remove(&agent);
        }
        self.withdraw_elsewhere(now, agent);
    }

    /// Handles an agent that was declared lost. Its outstanding tasks count as lost.
    pub fn on_agent_lost(&mut self, now: Instant, agent: Incarnation) {
        self.on_agent_disconnected(now, agent);
        self.mark_tasks_lost(now, agent);
    }

    /// Handles an agent's report in reply to a fence.
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
        state.awaiting_reports.remove(&agent);
        state.accounted_agents.insert(agent);
        state.accounted_agents.extend(&report.adopted);

        let shards = state.shards.clone();
        self.merge_report(now, agent, &shards, &report);
        self.check_accounts(now);
    }

    /// Returns whether all starts of older submissions are accounted for, of one service or of all
    /// services.
    pub(super) fn accounts_for(
        &self,
        now: Instant,
        takeover: &Takeover,
        service: Option<&ServiceName>,
    ) -> bool {
        let rules = self.cfg.rules;
        let log_now = log_time(now, Duration::ZERO);
        if rules.recorded && takeover.record_offset.is_none() {
            return false;
        }
        if rules.log_coverage
            && !self
                .members
                .log_coverage()
                .covers(log_now, self.agent_retention())
        {
            return false;
        }
        !rules.reports
            || self
                .members
                .iter()
                .filter(|(_, agent)| agent.may_hold_starts(log_now))
                .filter(|(_, agent)| agent.may_predate(takeover))
                .filter(|(_, agent)| rules.custody || !agent.left)
                .filter(|(_, agent)| service.is_none_or(|name| agent.services.contains(name)))
                .all(|(id, _)| takeover.accounted_agents.contains(&id))
    }

    /// Makes takeovers ready whose account has become complete, and reports it.
    pub(super) fn check_accounts(&mut self, now: Instant) {
        let complete: Vec<_> = self
            .takeovers
            .iter()
            .filter(|(_, takeover)| !takeover.reported_complete)
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

    /// Retries the takeover of contended shards whose backoff has passed.
    pub(super) fn retry_takeovers(&mut self, now: Instant) {
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

    /// Advances the epochs of the stamps. Steps down from shards whose ballot has no epochs left,
    /// so that they are taken over with a new one.
    pub(super) fn advance_epochs(&mut self, now: Instant) {
        let mut exhausted = Vec::new();
        for takeover in self.takeovers.values_mut() {
            let age = now.saturating_duration_since(takeover.began);
            takeover.epoch = elapsed_epochs(age, self.cfg.window);
            if takeover.epoch == MAX_EPOCH {
                exhausted.extend(&takeover.shards);
            }
        }
        self.step_down(&exhausted);
    }

    /// Returns how long an agent may hold starts inside the window after its last announcement or
    /// the end of its last link.
    pub(super) fn agent_retention(&self) -> Duration {
        self.cfg.lease + marker_retention(self.cfg.window)
    }

    fn begin_takeover(&mut self, now: Instant, shards: BTreeSet<ShardId>, attempt: u32) {
        if shards.is_empty() {
            return;
        }
        self.last_takeover_id += 1;
        let id = self.last_takeover_id;
        let mut counter = 0;
        for shard in &shards {
            let state = self.shards.entry(*shard).or_default();
            counter = counter.max(next_takeover_counter(state.highest_ballot));
        }
        let owner = self.incarnation;
        let ballot = Ballot { counter, owner };
        for shard in &shards {
            let state = self.shards.entry(*shard).or_default();
            assert!(
                ballot > state.highest_ballot,
                "the ballot of a takeover must be the highest known"
            );
            state.highest_ballot = ballot;
            state.role = Role::Held(id);
        }

        let takeover = Takeover {
            ballot,
            shards,
            began: now,
            ready: false,
            reported_complete: false,
            epoch: 0,
            attempt,
            record_offset: None,
            log_covers_lease: false,
            append: AppendState::Sent(now),
            accounted_agents: BTreeSet::new(),
            awaiting_reports: BTreeSet::new(),
        };
        self.takeovers.insert(id, takeover);
        self.append_record(now, id);
        let connected: Vec<_> = self
            .members
            .iter()
            .filter(|(_, agent)| agent.connected)
            .map(|(agent, _)| agent)
            .collect();
        for agent in connected {
            self.send_fence(agent, id);
        }
    }

    /// Fences an agent for all takeovers.
    pub(super) fn fence_agent(&mut self, agent: Incarnation) {
        let ids: Vec<_> = self.takeovers.keys().copied().collect();
        for id in ids {
            self.send_fence(agent, id);
        }
    }

    fn send_fence(&mut self, agent: Incarnation, id: u64) {
        let takeover = self.takeovers.get_mut(&id).expect("the takeover is held");
        takeover.awaiting_reports.insert(agent);
        self.actions.push(OwnerAction::Fence {
            agent,
            takeover: id,
            shards: takeover.shards.iter().copied().collect(),
            ballot: takeover.ballot,
        });
    }

    fn make_ready(&mut self, id: u64, complete: bool) {
        let takeover = self.takeovers.get_mut(&id).expect("the takeover is held");
        takeover.ready = true;
        takeover.reported_complete = complete;
        self.actions.push(OwnerAction::Ready {
            shards: takeover.shards.iter().copied().collect(),
            complete,
        });
    }

    /// Handles floors above the ballot of a takeover. Steps down from shards that are served
    /// already. Retries the others after a random backoff, so that one of two contenders goes
    /// first.
    fn on_refused_shards(&mut self, now: Instant, id: u64, refused: &[(ShardId, Ballot)]) {
        let mut lost = Vec::new();
        let mut contended = Vec::new();
        for (shard, floor) in refused {
            self.raise_ballot(*shard, *floor);
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
        self.drop_shards(&shards);
        for (shard, attempt) in contended {
            let at = now + self.backoff(attempt);
            let state = self.shards.entry(shard).or_default();
            state.role = Role::Retry { at, attempt };
        }
        self.step_down(&lost);
    }

    fn backoff(&mut self, attempt: u32) -> Duration {
        let doublings = (attempt - 1).min(MAX_BACKOFF_EXPONENT);
        let longest = self.cfg.fence_timeout * (1 << doublings);
        longest.mul_f64(self.rng.f64())
    }

    pub(super) fn step_down(&mut self, shards: &[ShardId]) {
        let held: Vec<_> = shards
            .iter()
            .copied()
            .filter(|shard| self.is_held(*shard))
            .collect();
        let mut unfinished = self.drop_shards(&held);
        for shard in held {
            self.actions.push(OwnerAction::StepDown {
                shard,
                unfinished: unfinished.remove(&shard).unwrap_or_default(),
            });
        }
    }

    /// Drops shards and their jobs. Returns the jobs without an answer.
    fn drop_shards(&mut self, shards: &[ShardId]) -> BTreeMap<ShardId, Vec<JobKey>> {
        for shard in shards {
            if let Some((id, _)) = self.held_takeover(*shard) {
                let takeover = self.takeovers.get_mut(&id).expect("the takeover is held");
                takeover.shards.remove(shard);
                if takeover.shards.is_empty() {
                    self.takeovers.remove(&id);
                }
            }
            if let Some(state) = self.shards.get_mut(shard) {
                state.role = Role::None;
            }
        }
        self.forget_shard_jobs(shards)
    }
}
