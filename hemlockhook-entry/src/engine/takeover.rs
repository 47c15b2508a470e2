//! Shards: who should own them, taking them over and giving them up.

use std::sync::Arc;
use std::time::{Duration, Instant};

use hemlockhook_inventory::admin::EventKind;
use hemlockhook_ownership::{OwnerAction, Record};
use hemlockhook_proto::v1;
use hemlockhook_types::{Ballot, Incarnation, SHARD_COUNT, ShardId, StampTable};
use spdlog::prelude::*;

use super::Engine;
use crate::event::Action;

/// Time for which the view of the entries must stay the same before free shards are taken.
const FREE_SETTLE: Duration = Duration::from_millis(300);

/// Time for which the view of the entries must stay the same before shards move from a living
/// owner.
const MOVE_SETTLE: Duration = Duration::from_secs(2);

impl Engine {
    pub(super) fn on_members(
        &mut self,
        now: Instant,
        records: &[(u64, Duration, Record)],
        at_end: bool,
    ) {
        for (offset, age, record) in records {
            self.owner.on_record(now, *offset, *age, record);
            self.on_member(now, record);
        }
        self.members_read |= at_end;
    }

    fn on_member(&mut self, now: Instant, record: &Record) {
        if let Record::Left { incarnation, .. } = record {
            self.give_up_agent(now, *incarnation);
        }
        if let Some(agent) = self.members.on_record(record) {
            self.dial(now, agent);
        }
    }

    pub(super) fn on_log_health(&mut self, now: Instant, up: bool) {
        if up {
            self.log_heard = Some(now);
        }
        if up == self.log_up {
            return;
        }
        self.log_up = up;
        match up {
            true => self.note(EventKind::LogUp, "log", "the log answers"),
            false => self.note(EventKind::LogDown, "log", "the log does not answer"),
        }
    }

    /// Takes the shards that should be owned here and are not.
    pub(super) fn balance_shards(&mut self, now: Instant) {
        if !self.members_read {
            return;
        }
        let preferred = self.preferred_shards(now);
        if preferred != self.preference.1 {
            self.preference = (now, preferred);
            return;
        }
        let settled = now - self.preference.0;
        let may_move =
            settled >= MOVE_SETTLE && self.log_up && self.owner.unaccounted_agents(now) == 0;
        let wanted: Vec<_> = self
            .preference
            .1
            .iter()
            .copied()
            .filter(|shard| !self.owner.is_held(*shard))
            .filter(|shard| match self.members.claimant(now, *shard) {
                None => settled >= FREE_SETTLE,
                Some((ballot, _)) => may_move || self.is_draining(now, ballot.owner),
            })
            .collect();
        if !wanted.is_empty() {
            info!("taking shards over", kv: { shards = wanted.len() });
            self.owner.take_over(now, &wanted);
        }
    }

    fn preferred_shards(&self, now: Instant) -> Vec<ShardId> {
        let staying = !self.draining;
        (0..SHARD_COUNT)
            .filter(|_| staying)
            .filter(|shard| {
                self.members.preferred_owner(now, *shard, staying) == self.me.incarnation
            })
            .collect()
    }

    fn is_draining(&self, now: Instant, entry: Incarnation) -> bool {
        self.members
            .alive(now)
            .any(|(incarnation, peer)| incarnation == entry && peer.draining)
    }

    /// Does what the owner asks for.
    pub(super) fn follow_owner(&mut self, now: Instant) {
        loop {
            let actions = self.owner.take_actions();
            if actions.is_empty() {
                return self.note_lost_shards(now);
            }
            for action in actions {
                self.follow(now, action);
            }
        }
    }

    fn note_lost_shards(&mut self, now: Instant) {
        if self.lost_shards.is_empty() {
            return;
        }
        let shards: Vec<_> = self
            .lost_shards
            .drain(..)
            .map(|shard| shard.to_string())
            .collect();
        self.note(
            EventKind::SteppedDown,
            &shards.join(" "),
            "other entries own these shards",
        );
        self.refresh_stamps(now);
    }

    fn follow(&mut self, now: Instant, action: OwnerAction) {
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
                self.frame(agent).fences.push(fence);
            }
            OwnerAction::Append { takeover, record } => {
                self.actions.push(Action::Append { takeover, record });
            }
            OwnerAction::ReadToEnd { takeover } => {
                self.actions.push(Action::ReadToEnd { takeover });
            }
            OwnerAction::Ready { shards, complete } => self.on_ready(now, &shards, complete),
            OwnerAction::StepDown { shard, unfinished } => {
                self.lost_shards.push(shard);
                unfinished.iter().for_each(|key| self.give_back(key));
                self.forget_placed(now, shard);
                self.dismiss_watchers(shard);
            }
            OwnerAction::Settled { key, answer } => {
                for (agent, index) in self.owner.running_tasks(&key) {
                    self.stop_task(agent, &key, index);
                }
                self.answer(now, &key, answer);
            }
            OwnerAction::Requeue { agent, key, index } => {
                if let Some((_, job)) = self.placed.remove(&(key, index)) {
                    self.dispatcher.requeue_task(now, agent, job, index);
                }
            }
            OwnerAction::Withdraw {
                agent,
                ballot,
                withdrawal,
            } => {
                let job = Some(withdrawal.into());
                self.frame(agent).withdraws.push(v1::Withdraw {
                    job,
                    ballot: ballot.counter,
                });
            }
        }
    }

    fn on_ready(&mut self, now: Instant, shards: &[ShardId], complete: bool) {
        let kind = match complete {
            true => EventKind::TakeoverComplete,
            false => EventKind::TakeoverIncomplete,
        };
        let detail = format!("{} shards are owned here", shards.len());
        self.note(kind, &self.me.name.clone(), &detail);
        self.refresh_stamps(now);
        self.retry_held(now);
    }

    /// Brings the table of stamps up to date with what is owned here and at living peers.
    pub(super) fn refresh_stamps(&mut self, now: Instant) {
        let mut table = StampTable::default();
        for (shard, ballot) in self.members.claims(now) {
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
