//! Cancellation of jobs.
//!
//! A copy of a request may arrive after its job was cancelled, here or at another entry. The entry keeps
//! the IDs of cancelled jobs, and has the agents at which they are claimed grant them to no entry, until
//! their deadlines.

use std::time::Instant;

use super::Dispatcher;
use crate::ClaimChange;
use crate::entry::Answer;

impl Dispatcher {
    /// Cancels a job by its ID. Returns false if the job is unknown.
    pub fn cancel(&mut self, now: Instant, id: &str) -> bool {
        let Some(&key) = self.by_id.get(id) else {
            return false;
        };
        let job = &self.jobs[key];
        let id = job.spec.id.clone();
        // The runs of an entry that is not told end later than the deadline.
        let hold = job.deadline.saturating_duration_since(now) + 2 * self.policy.agent_lost_after;
        self.cancelled.insert(now, &id, now + hold);
        for (agent, number) in job.claims.made() {
            self.change_claim(agent, &id, number, ClaimChange::Cancelled { hold });
        }
        self.answer(now, key, Answer::Cancelled);
        self.place_queued(now);
        true
    }
}
