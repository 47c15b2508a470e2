//! Operations on jobs by their keys: queries and cancellations.

use std::time::Instant;

use hemlockhook_ownership::LookupResult;
use hemlockhook_proto::convert::Reply;
use hemlockhook_types::{JobKey, ShardId, shard_of};

use super::Engine;
use super::jobs::add_reply_sender;
use crate::event::{Action, JobOperation, Origin, ReplySender};

impl Engine {
    pub(super) fn on_job_operation(
        &mut self,
        now: Instant,
        key: JobKey,
        operation: JobOperation,
        origin: Origin,
        reply_to: ReplySender,
    ) {
        match (operation, self.owner.look_up(&key)) {
            (_, LookupResult::Unknown) => {
                self.forward_operation(now, key, operation, origin, reply_to)
            }
            (JobOperation::Cancel, LookupResult::Pending) => {
                add_reply_sender(
                    self.answer_waiters.entry(key.clone()).or_default(),
                    reply_to,
                );
                self.cancel(now, &key);
            }
            (JobOperation::AwaitAnswer, LookupResult::Pending) => {
                add_reply_sender(self.answer_waiters.entry(key).or_default(), reply_to);
            }
            (JobOperation::Query, LookupResult::Pending) => self.reply(reply_to, Reply::Pending),
            (_, LookupResult::Answered(answer)) => self.reply(reply_to, Reply::Answer(answer)),
            (_, LookupResult::NotFound) => self.reply(reply_to, Reply::NotFound),
        }
    }

    fn forward_operation(
        &mut self,
        now: Instant,
        key: JobKey,
        operation: JobOperation,
        origin: Origin,
        reply_to: ReplySender,
    ) {
        match self.members.claimed_owner(now, shard_of(&key)) {
            Some((_, address)) if origin == Origin::Caller => {
                let stamps = self.stamps.clone();
                self.actions.push(Action::ForwardOperation {
                    address,
                    key,
                    operation,
                    reply_to,
                    stamps,
                });
            }
            _ => self.reply(reply_to, Reply::NotOwner),
        }
    }

    fn cancel(&mut self, now: Instant, key: &JobKey) {
        self.counters.cancelled += 1;
        for (agent, index) in self.owner.cancel(now, key) {
            self.cancel_task(agent, key, index);
        }
    }

    /// Replies to the requests that wait for jobs of a lost shard that this entry doesn't own it,
    /// so that they are repeated. Callers that submitted a job keep waiting: it is routed again.
    pub(super) fn dismiss_answer_waiters(&mut self, shard: ShardId) {
        let dismissed: Vec<_> = self
            .answer_waiters
            .extract_if(|key, _| shard_of(key) == shard)
            .flat_map(|(_, waiters)| waiters)
            .collect();
        for reply_to in dismissed {
            self.reply(reply_to, Reply::NotOwner);
        }
    }
}
