//! What comes due with time alone.

use std::time::Instant;

use crate::Outcome;
use crate::agent::{Order, OrderKey, Phase, StopCause, Supervisor};

impl Supervisor {
    pub(super) fn return_expired(&mut self, now: Instant) {
        let expired = |&&(_, _, key): &&(u32, Instant, OrderKey)| self.orders[key].expires <= now;
        let expired: Vec<_> = self.waiting.iter().filter(expired).collect();
        let keys: Vec<_> = expired.iter().map(|(_, _, key)| *key).collect();
        for key in keys {
            self.finish(now, key, Outcome::NotStarted);
        }
    }

    pub(super) fn stop_silent_owners(&mut self, now: Instant) {
        let silent = self.links.take_silent(now);
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

    pub(super) fn retry_stops(&mut self, now: Instant) {
        let retry = self.policy.stop_retry_interval;
        let mut again = Vec::new();
        for order in self.orders.values_mut() {
            match &mut order.phase {
                Phase::Stopping {
                    run,
                    acked: None,
                    sent,
                    ..
                } if now.saturating_duration_since(*sent) >= retry => {
                    *sent = now;
                    again.push((order.order.task.clone(), *run));
                }
                _ => {}
            }
        }
        for (task, run) in again {
            self.call_stop(task, run);
        }
    }

    /// Takes the runs at an upstream that does not answer as over, once their leases are.
    pub(super) fn settle_lapsed(&mut self, now: Instant) {
        let Some(upstream) = &self.upstream else {
            return;
        };
        let is_over = upstream.leased_until.is_some_and(|until| until < now);
        if upstream.unanswered_holds == 0 || !is_over {
            return;
        }
        for key in self.orders.keys().collect::<Vec<_>>() {
            match self.orders[key].phase {
                Phase::Waiting => {}
                Phase::Running { .. } => self.finish(now, key, Outcome::Lost),
                // Its room is kept until the upstream's answer to the stop settles it, but its entry
                // need not wait for that.
                Phase::Stopping { .. } if self.orders[key].started_at.is_some() => {
                    self.tell_lost(now, key);
                }
                // The start may still arrive, and be taken by another life of the same name.
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
        self.return_waiting_if_unsound(now);
        self.links.state_changed();
    }

    pub(super) fn forget(&mut self, now: Instant) {
        let retention = self.policy.run_retention;
        let is_kept = |at: Instant| now.saturating_duration_since(at) < retention;
        self.ended_runs.retain(|_, &mut (_, at)| is_kept(at));
    }
}
