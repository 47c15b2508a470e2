//! Submissions that are dealt with at other entries.

use std::time::{Duration, Instant};

use hemlockhook_proto::convert::Reply;
use hemlockhook_types::{Answer, Incarnation, JobKey, shard_of};

use super::Engine;
use super::jobs::Place;
use crate::event::{Action, CallId, Response};

/// Time before a submission that an entry sent back is forwarded again.
const RELAY_PAUSE: Duration = Duration::from_millis(100);

/// Held submissions that are tried again at a time.
const MAX_RETRIES: usize = 2_000;

impl Engine {
    pub(super) fn relay(&mut self, now: Instant, key: &JobKey) {
        let shard = shard_of(key);
        let Some(submitted) = self.submissions.get_mut(key) else {
            return;
        };
        for reply_to in submitted.entries.drain(..) {
            let response = Response::Job {
                reply: Reply::NotOwner,
                stamps: self.stamps.clone(),
            };
            self.actions.push(Action::Reply { reply_to, response });
        }
        if submitted.callers.is_empty() {
            self.submissions.remove(key);
            return;
        }
        let claimant = self.members.claimant(now, shard);
        let Some((ballot, address)) = claimant.filter(|_| now >= submitted.relay_at) else {
            return self.hold(key);
        };

        self.next_call += 1;
        let call = self.next_call;
        submitted.place = Place::Relayed(call, ballot.owner);
        submitted.relay_at = now + RELAY_PAUSE;
        self.held.remove(key);
        self.counters.forwarded += 1;
        let submission = submitted.submission.clone();
        let deadline = submitted.deadline.saturating_duration_since(now);
        self.actions.push(Action::Forward {
            address,
            call,
            submission,
            deadline,
        });
    }

    pub(super) fn on_relayed(
        &mut self,
        now: Instant,
        key: JobKey,
        call: CallId,
        reply: Option<Reply>,
    ) {
        let submitted = self.submissions.get(&key);
        let place = submitted.map(|submitted| submitted.place);
        let is_earlier = submitted.is_some_and(|submitted| call <= submitted.calls_before);
        match reply {
            _ if is_earlier => {}
            // A call that was given up may not refuse the job: its entry may have lost the shard.
            Some(Reply::Answer(answer @ Answer::Complete(_))) => self.answer(now, &key, answer),
            _ if !is_current(place, call) => {}
            Some(Reply::Answer(answer)) => self.answer(now, &key, answer),
            Some(Reply::KeyReused) => self.finish(now, &key, Reply::KeyReused),
            Some(Reply::NotOwner | Reply::Pending | Reply::NotFound) | None => self.hold(&key),
        }
    }

    /// Gives up the calls to an entry that is not heard any more.
    pub(super) fn abandon_calls(&mut self, peer: Incarnation) {
        let is_there = |place| matches!(place, Place::Relayed(_, to) if to == peer);
        let keys: Vec<_> = self
            .submissions
            .iter()
            .filter(|(_, submitted)| is_there(submitted.place))
            .map(|(key, _)| key.clone())
            .collect();
        keys.iter().for_each(|key| self.hold(key));
    }

    /// Tries again to place submissions that no owner was known for, some of them at a time.
    pub(super) fn retry_held(&mut self, now: Instant) {
        for key in self.held.take(MAX_RETRIES) {
            if self
                .submissions
                .get(&key)
                .is_some_and(|s| s.place == Place::Held)
            {
                self.route(now, &key);
            }
        }
    }

    /// Takes back a job whose shard was lost to another entry, so that it is submitted there.
    pub(super) fn give_back(&mut self, key: &JobKey) {
        let Some(submitted) = self.submissions.get(key) else {
            return;
        };
        if let Place::Local(Some(id)) = submitted.place {
            self.dispatcher.finish_job(id);
            self.scheduled.remove(&id);
        }
        self.hold(key);
    }

    pub(super) fn hold(&mut self, key: &JobKey) {
        self.set_place(key, Place::Held);
        self.held.insert(key);
    }
}

/// Returns whether a forwarded submission is still waited for under this call.
fn is_current(place: Option<Place>, call: CallId) -> bool {
    matches!(place, Some(Place::Relayed(current, _)) if current == call)
}
