//! Handling of timeouts.

use std::time::Instant;

use crate::agent::ended::{AllEnded, End};
use crate::agent::{Order, OrderKey, Phase, StopCause, Supervisor};

/// Number of stop calls of a run after which the pause between them grows. The bounds on double runs
/// allow for a lost call, so the first ones follow each other quickly.
const EVEN_STOP_CALLS: u32 = 3;

impl Supervisor {
    pub(super) fn return_expired(&mut self, now: Instant) {
        let expired = |&&(_, _, key): &&(u32, Instant, OrderKey)| self.orders[key].expires <= now;
        let expired: Vec<_> = self.waiting.iter().filter(expired).collect();
        let keys: Vec<_> = expired.iter().map(|(_, _, key)| *key).collect();
        for key in keys {
            self.finish_unstarted(now, key);
        }
    }

    pub(super) fn stop_silent_owners(&mut self, now: Instant) {
        let silent = self.links.take_silent_owners(now);
        if !self.policy.rules.stops_runs_of_silent_entries {
            return;
        }
        for owner in silent {
            let owned = |(key, order): (OrderKey, &Order)| (order.owner == owner).then_some(key);
            let keys: Vec<_> = self.orders.iter().filter_map(owned).collect();
            for key in keys {
                self.end_early(now, key, StopCause::OwnerSilent);
            }
        }
    }

    /// Makes the stop calls that are due, those first that have been due for longest.
    ///
    /// Unanswered calls reduce only the retries: a first call that waited for them could come after the
    /// caller has submitted the job elsewhere.
    pub(super) fn call_due_stops(&mut self, now: Instant) {
        let in_flight = self.orders.values().filter(|order| order.is_stop_called());
        let mut in_flight = in_flight.count();
        let due = |(key, order): (OrderKey, &Order)| self.stop_due(order).map(|at| (at, key));
        let due = self.orders.iter().filter_map(due);
        let mut due: Vec<_> = due.filter(|&(at, _)| at <= now).collect();
        due.sort_unstable();
        for (_, key) in due {
            let limit = match self.orders[key].phase {
                Phase::Stopping { calls: 0, .. } => self.policy.stop_calls.1,
                _ => self.stop_window.size(),
            };
            if in_flight >= limit {
                continue;
            }
            let order = &mut self.orders[key];
            let Phase::Stopping {
                run,
                cause,
                sent,
                calls,
                is_called,
                ..
            } = &mut order.phase
            else {
                continue;
            };
            // A call that is repeated had its time, and is no longer in flight.
            in_flight += usize::from(!*is_called);
            *sent = now;
            *calls += 1;
            *is_called = true;
            let (run, cause) = (*run, *cause);
            let task = order.order.task.clone();
            self.call_stop(task, run, cause);
        }
    }

    /// Returns when the next stop call of an order is due, if it needs one.
    fn stop_due(&self, order: &Order) -> Option<Instant> {
        let first = self.policy.stop_retry_interval;
        let pause = |calls: u32| {
            let doublings = calls.saturating_sub(EVEN_STOP_CALLS);
            let doubled = first.saturating_mul(2_u32.saturating_pow(doublings));
            doubled.min(self.policy.max_stop_retry_interval)
        };
        match order.phase {
            Phase::Stopping { acked: Some(_), .. } => None,
            Phase::Stopping { calls: 0, sent, .. } => Some(sent),
            Phase::Stopping { sent, calls, .. } => Some(sent + pause(calls)),
            _ => None,
        }
    }

    /// Ends the runs on an upstream that does not answer, once their leases have expired.
    pub(super) fn settle_expired_leases(&mut self, now: Instant) {
        let upstream = self.upstream.as_ref();
        let silent = upstream.filter(|upstream| upstream.unanswered_holds > 0);
        let rules = &self.policy.rules;
        let ended = silent.and_then(|upstream| AllEnded::by_lease(now, upstream, rules));
        let Some(ended) = ended else {
            return;
        };
        for key in self.orders.keys().collect::<Vec<_>>() {
            match self.orders[key].phase {
                Phase::Waiting => {}
                Phase::Running { .. } => self.finish(now, key, End::lost(ended)),
                // The reservation is kept until the stop is answered, but the entry can be told
                // that the attempt is lost.
                Phase::Stopping { .. } if self.orders[key].started_at.is_some() => {
                    self.report_lost(now, key, ended);
                }
                // The start call may still arrive, and be accepted by an incarnation with the same
                // name.
                Phase::Starting { .. } | Phase::Stopping { .. } => {}
            }
        }
    }

    pub(super) fn stop_stalled(&mut self, now: Instant) {
        let limit = self.policy.health.stall_timeout;
        let stalled = |(key, order): (OrderKey, &Order)| match order.phase {
            Phase::Running { progressed_at, .. }
                if now.saturating_duration_since(progressed_at) > limit =>
            {
                Some(key)
            }
            _ => None,
        };
        let is_silent = self
            .upstream
            .as_ref()
            .is_none_or(|upstream| upstream.unanswered_holds > 0);
        if is_silent {
            return;
        }
        let keys: Vec<_> = self.orders.iter().filter_map(stalled).collect();
        if keys.is_empty() {
            return;
        }
        self.health.record_stall(now);
        for key in keys {
            self.stop(now, key, StopCause::Stalled);
        }
        self.return_waiting_if_unusable(now);
        self.links.state_changed();
    }

    pub(super) fn drop_old_ends(&mut self, now: Instant) {
        let retention = self.policy.run_retention;
        let is_kept = |at: Instant| now.saturating_duration_since(at) < retention;
        self.ended_runs.retain(|_, &mut (_, at)| is_kept(at));
    }
}
