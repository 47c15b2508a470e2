//! Takeovers: fences, records in the log, and accounts of what was started before.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use hemlockhook_types::{Ballot, Incarnation, JobKey, ServiceName, ShardId};

use super::members::Announced;
use super::takeover::{Append, Takeover};
use super::{Owner, OwnerAction, Role};
use crate::epoch::{
    base, epoch_after, epoch_length, epoch_of, keep_time, next_counter, with_epoch,
};
use crate::history::{LogTime, log_time};
use crate::order::FenceReport;
use crate::record::Record;

/// Fence timeouts between two tries to append a takeover's record.
const APPEND_RETRY_TIMEOUTS: u32 = 2;

/// Highest exponent of the back-off between takes of contended shards.
const MAX_BACK_OFF: u32 = 6;

impl Owner {
    /// Takes shards over, under one ballot. Shards that are held already are left as they are.
    pub fn take(&mut self, now: Instant, shards: &[ShardId]) {
        let shards: BTreeSet<_> = shards
            .iter()
            .copied()
            .filter(|shard| self.held(*shard).is_none())
            .collect();
        self.begin_takeover(now, shards, 0);
    }

    /// Gives shards up, for a planned hand-over.
    pub fn release(&mut self, now: Instant, shards: &[ShardId]) {
        self.step_down(now, shards);
    }

    /// Takes in a ballot of a shard from a peer or a refusal. If it is above the own one, the
    /// shard is given up.
    pub fn saw_ballot(&mut self, now: Instant, shard: ShardId, ballot: Ballot) {
        let ballot = base(ballot);
        let state = self.shards.entry(shard).or_default();
        let contender = ballot.owner != self.me && ballot >= state.seen;
        state.seen = state.seen.max(ballot);
        let lost = match state.role {
            Role::None => false,
            Role::Retry { .. } => contender,
            Role::Held(id) => self.takeovers[&id].ballot < ballot,
        };
        if lost {
            self.step_down(now, &[shard]);
        }
    }

    /// Takes in a record of the membership stream, in order, with its offset and its age by the
    /// log's clock.
    pub fn on_record(&mut self, now: Instant, offset: u64, age: Duration, record: &Record) {
        let written = log_time(now, age);
        self.members.on_record(offset, written);
        match record {
            Record::Entry { .. } => {}
            Record::Agent {
                incarnation,
                address,
                services,
                ..
            } => self.members.announced(
                offset,
                written,
                Announced {
                    incarnation: *incarnation,
                    address,
                    services,
                    lease: self.cfg.lease,
                    keep: keep_time(self.cfg.window),
                },
            ),
            Record::Takeover { shards, ballot } => {
                self.on_recorded(now, offset, written, shards, *ballot);
            }
            Record::Left {
                incarnation,
                custodian,
            } => self.on_left(written, *incarnation, *custodian),
        }
        self.check_accounts(now);
    }

    /// Takes in that the membership stream was read to its end after a record was appended.
    pub fn on_caught_up(&mut self, now: Instant, takeover: u64) {
        if let Some(takeover) = self.takeovers.get_mut(&takeover)
            && takeover.offset.is_none()
        {
            takeover.append = Append::Failed(now);
        }
        self.check_accounts(now);
    }

    /// Takes in that a takeover's record was appended.
    pub fn on_appended(&mut self, now: Instant, takeover: u64) {
        let Some(state) = self.takeovers.get_mut(&takeover) else {
            return;
        };
        state.append = Append::Done(now);
        if state.offset.is_none() {
            self.actions.push(OwnerAction::ReadToEnd { takeover });
        }
    }

    /// Takes in that a takeover's record may not have been appended.
    pub fn on_append_failed(&mut self, now: Instant, takeover: u64) {
        if let Some(takeover) = self.takeovers.get_mut(&takeover) {
            takeover.append = Append::Failed(now);
        }
    }

    /// Takes in that a link to an agent is up: its starts are asked for.
    pub fn agent_up(&mut self, _now: Instant, agent: Incarnation, services: &[ServiceName]) {
        let state = self.members.entry(agent);
        state.up = true;
        state.link += 1;
        state.services.extend(services.iter().cloned());
        self.fence_agent(agent);
    }

    /// Takes in that the link to an agent broke. Its tasks stay started.
    pub fn agent_down(&mut self, now: Instant, agent: Incarnation) {
        let memory = self.memory();
        let Some(state) = self.members.get_mut(agent) else {
            return;
        };
        state.up = false;
        state.forget_at = state
            .forget_at
            .max(Some(log_time(now, Duration::ZERO) + memory));
        for takeover in self.takeovers.values_mut() {
            takeover.awaited.remove(&agent);
        }
        self.withdraw_elsewhere(now, agent);
    }

    /// Takes in that an agent was given up: what runs there is lost.
    pub fn agent_gone(&mut self, now: Instant, agent: Incarnation) {
        self.agent_down(now, agent);
        self.lose_tasks(now, agent);
    }

    /// Takes in an agent's answer to a fence.
    pub fn on_report(
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
        if rules.history && !self.members.history().reaches_back(log_now, self.memory()) {
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

    /// Takes again what was contended, and what has used up its epochs.
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

    pub(super) fn advance_epochs(&mut self, now: Instant) {
        for takeover in self.takeovers.values_mut() {
            let age = now.saturating_duration_since(takeover.began);
            takeover.epoch = epoch_after(age, self.cfg.window);
        }
    }

    /// Appends records that failed, and those that are due again.
    pub(super) fn repeat_records(&mut self, now: Instant) {
        let retry = self.cfg.fence_timeout * APPEND_RETRY_TIMEOUTS;
        let interval = self.cfg.announce_interval / 2;
        let due: Vec<_> = self
            .takeovers
            .iter()
            .filter(|(_, takeover)| match takeover.append {
                Append::Sent(_) => false,
                Append::Failed(at) => at + retry <= now,
                Append::Done(at) => at + interval <= now,
            })
            .map(|(id, _)| *id)
            .collect();
        for id in due {
            self.append(now, id);
        }
    }

    /// Time after its last sign of life for which an agent may hold starts that matter.
    pub(super) fn memory(&self) -> Duration {
        self.cfg.lease + keep_time(self.cfg.window)
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
            counter = counter.max(next_counter(state.seen));
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

    fn append(&mut self, now: Instant, id: u64) {
        let takeover = self.takeovers.get_mut(&id).expect("it is held");
        takeover.append = Append::Sent(now);
        let record = Record::Takeover {
            shards: takeover.shards.iter().copied().collect(),
            ballot: with_epoch(takeover.ballot, takeover.epoch),
        };
        self.actions.push(OwnerAction::Append {
            takeover: id,
            record,
        });
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
            let attempt = takeover.attempt + 1;
            self.step_down_quietly(*shard);
            let at = now + self.back_off(attempt);
            let state = self.shards.entry(*shard).or_default();
            state.role = Role::Retry { at, attempt };
        }
        self.step_down(now, &lost);
    }

    fn back_off(&mut self, attempt: u32) -> Duration {
        let doublings = (attempt - 1).min(MAX_BACK_OFF);
        let longest = self.cfg.fence_timeout * (1 << doublings);
        longest.mul_f64(self.rng.f64())
    }

    fn step_down(&mut self, _now: Instant, shards: &[ShardId]) {
        for shard in shards {
            let Some(state) = self.shards.get(shard) else {
                continue;
            };
            if state.role == Role::None {
                continue;
            }
            let unfinished = self.step_down_quietly(*shard);
            self.actions.push(OwnerAction::StepDown {
                shard: *shard,
                unfinished,
            });
        }
    }

    /// Gives a shard up and forgets its jobs. Returns those without an answer.
    fn step_down_quietly(&mut self, shard: ShardId) -> Vec<JobKey> {
        if let Some((id, _)) = self.held(shard) {
            let takeover = self.takeovers.get_mut(&id).expect("it is held");
            takeover.shards.remove(&shard);
            if takeover.shards.is_empty() {
                self.takeovers.remove(&id);
            }
        }
        if let Some(state) = self.shards.get_mut(&shard) {
            state.role = Role::None;
        }
        self.forget_shard(shard)
    }

    fn on_recorded(
        &mut self,
        now: Instant,
        offset: u64,
        written: LogTime,
        shards: &[ShardId],
        ballot: Ballot,
    ) {
        self.note_begin(written, shards, ballot);
        let ballot = base(ballot);
        if ballot.owner != self.me {
            for shard in shards {
                self.saw_ballot(now, *shard, ballot);
            }
            return;
        }

        let covered = self.members.history().reaches_back(written, self.cfg.lease);
        for takeover in self.takeovers.values_mut() {
            if takeover.ballot == ballot && takeover.offset.is_none() {
                takeover.offset = Some(offset);
                takeover.covered = covered;
            }
        }
    }

    /// Notes when a ballot began at the earliest.
    fn note_begin(&mut self, written: LogTime, shards: &[ShardId], ballot: Ballot) {
        let epochs = u32::try_from(epoch_of(ballot)).unwrap_or(u32::MAX);
        let age = epoch_length(self.cfg.window).saturating_mul(epochs);
        let begin = written.checked_sub(age).unwrap_or(written);
        for shard in shards {
            let begins = &mut self.shards.entry(*shard).or_default().begins;
            match begins.iter_mut().find(|(known, _)| *known == base(ballot)) {
                Some((_, known)) => *known = begin.min(*known),
                None => begins.push((base(ballot), begin)),
            }
        }
    }

    /// Takes in that an agent left. Its custodian, if any, is asked for the starts again, as it may
    /// have adopted them after it reported.
    fn on_left(&mut self, written: LogTime, agent: Incarnation, custodian: Option<Incarnation>) {
        let state = self.members.entry(agent);
        state.left = true;
        state.forget_at = Some(written + keep_time(self.cfg.window));
        if let Some(custodian) = custodian
            && self.members.get(custodian).is_some_and(|agent| agent.up)
        {
            self.fence_agent(custodian);
        }
    }
}
