//! Forwarding of jobs to the entries that own their shards.

use std::time::{Duration, Instant};

use hemlockhook_proto::convert::Reply;
use hemlockhook_types::{Answer, Incarnation, JobKey, shard_of};

use super::Engine;
use super::jobs::JobRoute;
use crate::event::{Action, CallId, Response};

/// Shortest time between two attempts to forward the same job.
const FORWARD_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Maximum number of unrouted jobs that are retried at a time.
const MAX_UNROUTED_RETRIES: usize = 2_000;

impl Engine {
    pub(super) fn forward(&mut self, now: Instant, key: &JobKey) {
        let shard = shard_of(key);
        let Some(pending) = self.pending_jobs.get_mut(key) else {
            return;
        };
        for reply_to in pending.entries.drain(..) {
            let response = Response::Job {
                reply: Reply::NotOwner,
                stamps: self.stamps.clone(),
            };
            self.actions.push(Action::Reply { reply_to, response });
        }
        if pending.callers.is_empty() {
            self.pending_jobs.remove(key);
            return;
        }
        let claimed_owner = self.members.claimed_owner(now, shard);
        let Some((ballot, address)) = claimed_owner.filter(|_| now >= pending.forward_at) else {
            return self.queue_unrouted(key);
        };

        self.last_call += 1;
        let call = self.last_call;
        pending.route = JobRoute::Forwarded(call, ballot.owner);
        pending.forward_at = now + FORWARD_RETRY_DELAY;
        self.unrouted.remove(key);
        self.counters.forwarded += 1;
        let submission = pending.submission.clone();
        let deadline = pending.deadline.saturating_duration_since(now);
        self.actions.push(Action::Forward {
            address,
            call,
            submission,
            deadline,
        });
    }

    pub(super) fn on_forward_reply(
        &mut self,
        now: Instant,
        key: JobKey,
        call: CallId,
        reply: Option<Reply>,
    ) {
        let pending = self.pending_jobs.get(&key);
        let route = pending.map(|pending| pending.route);
        let is_earlier = pending.is_some_and(|pending| call <= pending.last_earlier_call);
        match reply {
            _ if is_earlier => {}
            // An abandoned call may complete the job, but not refuse or fail it: the called entry
            // may have lost the shard in the meantime.
            Some(Reply::Answer(answer @ Answer::Complete(_))) => self.answer_job(now, &key, answer),
            _ if !is_current(route, call) => {}
            Some(Reply::Answer(answer)) => self.answer_job(now, &key, answer),
            Some(Reply::KeyReused) => self.finish(now, &key, Reply::KeyReused),
            Some(Reply::NotOwner | Reply::Pending | Reply::NotFound) | None => {
                self.queue_unrouted(&key)
            }
        }
    }

    /// Abandons the calls to a peer that has gone silent, so that their jobs are routed again.
    pub(super) fn abandon_calls(&mut self, peer: Incarnation) {
        let is_forwarded_to_peer =
            |route| matches!(route, JobRoute::Forwarded(_, to) if to == peer);
        let keys: Vec<_> = self
            .pending_jobs
            .iter()
            .filter(|(_, pending)| is_forwarded_to_peer(pending.route))
            .map(|(key, _)| key.clone())
            .collect();
        keys.iter().for_each(|key| self.queue_unrouted(key));
    }

    /// Tries again to route jobs without a known owner, up to a limit.
    pub(super) fn retry_unrouted(&mut self, now: Instant) {
        for key in self.unrouted.take(MAX_UNROUTED_RETRIES) {
            if self
                .pending_jobs
                .get(&key)
                .is_some_and(|s| s.route == JobRoute::Unrouted)
            {
                self.route(now, &key);
            }
        }
    }

    /// Removes a job from the dispatcher whose shard was lost to another entry, so that it is
    /// routed again.
    pub(super) fn reroute(&mut self, key: &JobKey) {
        let Some(pending) = self.pending_jobs.get(key) else {
            return;
        };
        if let JobRoute::Local(Some(id)) = pending.route {
            self.dispatcher.finish_job(id);
            self.scheduled_jobs.remove(&id);
        }
        self.queue_unrouted(key);
    }

    pub(super) fn queue_unrouted(&mut self, key: &JobKey) {
        self.set_route(key, JobRoute::Unrouted);
        self.unrouted.insert(key);
    }
}

/// Returns whether a call is the one by which a job is forwarded at present.
fn is_current(route: Option<JobRoute>, call: CallId) -> bool {
    matches!(route, Some(JobRoute::Forwarded(current, _)) if current == call)
}
