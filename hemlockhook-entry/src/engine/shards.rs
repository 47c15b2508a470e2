//! Shard ownership: preferred owners, takeovers and lost shards.

use std::sync::Arc;
use std::time::{Duration, Instant};

use hemlockhook_inventory::admin::EventKind;
use hemlockhook_ownership::{OwnerAction, Record};
use hemlockhook_proto::v1;
use hemlockhook_types::{Ballot, Incarnation, SHARD_COUNT, ShardId, StampTable};
use spdlog::prelude::*;

use super::Engine;
use crate::event::Action;

/// Time for which the set of preferred shards must stay the same before shards without an owner are
/// taken over.
const FREE_SETTLE_TIME: Duration = Duration::from_millis(300);

/// Time for which the set of preferred shards must stay the same before shards are taken over from
/// a live owner.
const MOVE_SETTLE_TIME: Duration = Duration::from_secs(2);

impl Engine {
    pub(super) fn on_membership_records(
        &mut self,
        now: Instant,
        records: &[(u64, Duration, Record)],
        at_end: bool,
    ) {
        for (offset, age, record) in records {
            self.owner.on_record(now, *offset, *age, record);
            self.on_membership_record(now, record);
        }
        self.membership_loaded |= at_end;
    }

    fn on_membership_record(&mut self, now: Instant, record: &Record) {
        if let Record::Left { incarnation, .. } = record {
            self.on_agent_gone(now, *incarnation);
        }
        if let Some(agent) = self.members.on_record(record) {
            self.connect_agent(now, agent);
        }
    }

    pub(super) fn on_log_reachable(&mut self, now: Instant, reachable: bool) {
        if reachable {
            self.log_last_success = Some(now);
        }
        if reachable == self.log_reachable {
            return;
        }
        self.log_reachable = reachable;
        match reachable {
            true => self.record_event(EventKind::LogUp, "log", "the log answers"),
            false => self.record_event(EventKind::LogDown, "log", "the log does not answer"),
        }
    }

    /// Takes over the shards that prefer this entry as their owner and have another or none.
    pub(super) fn balance_shards(&mut self, now: Instant) {
        if !self.membership_loaded {
            return;
        }
        let preferred = self.preferred_shards(now);
        if preferred != self.preferred.1 {
            self.preferred = (now, preferred);
            return;
        }
        let settled = now - self.preferred.0;
        let may_move = settled >= MOVE_SETTLE_TIME
            && self.log_reachable
            && self.owner.unaccounted_agents(now) == 0;
        let wanted: Vec<_> = self
            .preferred
            .1
            .iter()
            .copied()
            .filter(|shard| !self.owner.is_held(*shard))
            .filter(|shard| match self.members.claimed_owner(now, *shard) {
                None => settled >= FREE_SETTLE_TIME,
                Some((ballot, _)) => may_move || self.is_draining(now, ballot.owner),
            })
            .collect();
        if !wanted.is_empty() {
            info!("starting takeover of shards", kv: { shards = wanted.len() });
            self.owner.take_over(now, &wanted);
        }
    }

    fn preferred_shards(&self, now: Instant) -> Vec<ShardId> {
        let staying = !self.draining;
        (0..SHARD_COUNT)
            .filter(|_| staying)
            .filter(|shard| {
                self.members.preferred_owner(now, *shard, staying) == self.identity.incarnation
            })
            .collect()
    }

    fn is_draining(&self, now: Instant, entry: Incarnation) -> bool {
        self.members
            .live_peers(now)
            .any(|(incarnation, peer)| incarnation == entry && peer.draining)
    }

    /// Performs the actions of the ownership protocol until there are none left.
    pub(super) fn run_owner_actions(&mut self, now: Instant) {
        loop {
            let actions = self.owner.take_actions();
            if actions.is_empty() {
                return self.report_lost_shards(now);
            }
            for action in actions {
                self.run_owner_action(now, action);
            }
        }
    }

    fn report_lost_shards(&mut self, now: Instant) {
        if self.lost_shards.is_empty() {
            return;
        }
        let shards: Vec<_> = self
            .lost_shards
            .drain(..)
            .map(|shard| shard.to_string())
            .collect();
        self.record_event(
            EventKind::SteppedDown,
            &shards.join(" "),
            "other entries own these shards",
        );
        self.refresh_stamps(now);
    }

    fn run_owner_action(&mut self, now: Instant, action: OwnerAction) {
        match action {
            OwnerAction::Fence {
                agent,
                takeover,
                shards,
                ballot,
            } => {
                let shards = shards.into_iter().map(u32::from).collect();
                let fence = v1::Fence {
                    shards,
                    ballot: Some(ballot.into()),
                    takeover,
                };
                self.outgoing_frame(agent).fences.push(fence);
            }
            OwnerAction::Append { takeover, record } => {
                self.actions.push(Action::Append { takeover, record });
            }
            OwnerAction::ReadToEnd { takeover } => {
                self.actions.push(Action::ReadToEnd { takeover });
            }
            OwnerAction::Ready { shards, complete } => self.on_shards_ready(now, &shards, complete),
            OwnerAction::StepDown { shard, unfinished } => {
                self.lost_shards.push(shard);
                unfinished.iter().for_each(|key| self.reroute(key));
                self.forget_tasks(now, shard);
                self.dismiss_answer_waiters(shard);
            }
            OwnerAction::Settled { key, answer } => {
                for (agent, index) in self.owner.running_tasks(&key) {
                    self.cancel_task(agent, &key, index);
                }
                self.answer_job(now, &key, answer);
            }
            OwnerAction::Requeue { agent, key, index } => {
                if let Some((_, job)) = self.placed_tasks.remove(&(key, index)) {
                    self.dispatcher.requeue_task(now, agent, job, index);
                }
            }
            OwnerAction::Withdraw {
                agent,
                ballot,
                withdrawal,
            } => {
                let job = Some(withdrawal.into());
                self.outgoing_frame(agent).withdraws.push(v1::Withdraw {
                    job,
                    ballot: ballot.counter,
                });
            }
        }
    }

    fn on_shards_ready(&mut self, now: Instant, shards: &[ShardId], complete: bool) {
        let kind = match complete {
            true => EventKind::TakeoverComplete,
            false => EventKind::TakeoverIncomplete,
        };
        let detail = format!("{} shards are owned here", shards.len());
        self.record_event(kind, &self.identity.name.clone(), &detail);
        self.refresh_stamps(now);
        self.retry_unrouted(now);
    }

    /// Rebuilds the table of stamps from the shards owned by this entry and its live peers.
    pub(super) fn refresh_stamps(&mut self, now: Instant) {
        let mut table = StampTable::default();
        for (shard, ballot) in self.members.claimed_ballots(now) {
            table.insert(shard, ballot);
        }
        for (shard, stamp) in self.owner.owned_shards() {
            let newer = |known: Ballot| known > stamp;
            if !table.get(shard).is_some_and(newer) {
                table.insert(shard, stamp);
            }
        }
        if table != *self.stamps {
            self.stamps = Arc::new(table);
        }
    }
}
