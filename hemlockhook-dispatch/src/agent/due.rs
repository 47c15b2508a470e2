//! Handling of timeouts.

use std::time::Instant;

use crate::agent::ended::{AllEnded, End};
use crate::agent::{Order, OrderKey, Phase, StopCause, Supervisor};

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

    pub(super) fn retry_stops(&mut self, now: Instant) {
        let retry = self.policy.stop_retry_interval;
        let mut retries = Vec::new();
        for order in self.orders.values_mut() {
            match &mut order.phase {
                Phase::Stopping {
                    run,
                    cause,
                    acked: None,
                    sent,
                    ..
                } if now.saturating_duration_since(*sent) >= retry => {
                    *sent = now;
                    retries.push((order.order.task.clone(), *run, *cause));
                }
                _ => {}
            }
        }
        for (task, run, cause) in retries {
            self.call_stop(task, run, cause);
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
