//! Questions about jobs by their keys, and cancellations.

use std::time::Instant;

use hemlockhook_ownership::LookupResult;
use hemlockhook_proto::convert::Reply;
use hemlockhook_types::{JobKey, ShardId, shard_of};

use super::Engine;
use super::jobs::add_waiter;
use crate::event::{Action, Origin, Question, Waiter};

impl Engine {
    pub(super) fn on_ask(
        &mut self,
        now: Instant,
        key: JobKey,
        question: Question,
        origin: Origin,
        waiter: Waiter,
    ) {
        match (question, self.owner.look_up(&key)) {
            (_, LookupResult::Unknown) => self.ask_owner(now, key, question, origin, waiter),
            (Question::Cancel, LookupResult::Pending) => {
                add_waiter(self.watchers.entry(key.clone()).or_default(), waiter);
                self.cancel(now, &key);
            }
            (Question::Wait, LookupResult::Pending) => {
                add_waiter(self.watchers.entry(key).or_default(), waiter);
            }
            (Question::Look, LookupResult::Pending) => self.reply(waiter, Reply::Pending),
            (_, LookupResult::Answered(answer)) => self.reply(waiter, Reply::Answer(answer)),
            (_, LookupResult::NotFound) => self.reply(waiter, Reply::NotFound),
        }
    }

    fn ask_owner(
        &mut self,
        now: Instant,
        key: JobKey,
        question: Question,
        origin: Origin,
        waiter: Waiter,
    ) {
        match self.members.claimant(now, shard_of(&key)) {
            Some((_, address)) if origin == Origin::Caller => {
                let stamps = self.stamps.clone();
                self.actions.push(Action::RelayAsk {
                    address,
                    key,
                    question,
                    waiter,
                    stamps,
                });
            }
            _ => self.reply(waiter, Reply::NotOwner),
        }
    }

    fn cancel(&mut self, now: Instant, key: &JobKey) {
        self.counters.cancelled += 1;
        for (agent, index) in self.owner.cancel(now, key) {
            self.stop_task(agent, key, index);
        }
    }

    /// Tells those who wait for the end of a job that its shard is owned elsewhere, so that they ask
    /// again. The jobs that were submitted here have callers of their own.
    pub(super) fn dismiss_watchers(&mut self, shard: ShardId) {
        let lost: Vec<_> = self
            .watchers
            .extract_if(|key, _| shard_of(key) == shard)
            .flat_map(|(_, waiters)| waiters)
            .collect();
        for waiter in lost {
            self.reply(waiter, Reply::NotOwner);
        }
    }
}
