//! Starting, stopping and ending of runs.

use std::time::Instant;

use crate::agent::ended::{AllEnded, End};
use crate::agent::{Action, OrderKey, Phase, StartCall, StopCall, StopCause, Supervisor};
use crate::{Amounts, AttemptEnd, Incarnation, Outcome, RunNumber, TaskRef};

impl Supervisor {
    /// Starts waiting orders, in order, as long as they fit.
    pub(super) fn start_waiting(&mut self, now: Instant) {
        // After a pause of this process, an entry may have given up its orders here.
        self.stop_silent_owners(now);
        let awaits_orphans = !self.orphans.is_empty() && self.policy.rules.lists_runs_first;
        if !self.accepts_work(now) || awaits_orphans {
            return;
        }
        let limit = self.health.run_limit(now).unwrap_or(usize::MAX);
        let limit = limit.min(self.policy.max_runs);
        let waiting: Vec<_> = self.waiting.iter().copied().collect();
        let starting = self.orders.values().filter(|order| order.is_starting());
        let free_calls = self.start_window.size().saturating_sub(starting.count());
        for (class, due, key) in waiting.into_iter().take(free_calls) {
            let active = self.orders.len() - self.waiting.len();
            if active >= limit {
                return;
            }
            let need = self.orders[key].order.need;
            if !self.has_room(need) {
                // A later order must not take the capacity that the first one waits for.
                return;
            }
            self.waiting.remove(&(class, due, key));
            let task = &self.orders[key].order.task.task;
            let run = self.ended_runs.get(task).map_or(1, |(run, _)| run + 1);
            let end = End::unstarted(&self.orders[key]).expect("the order was waiting");
            self.start(now, key, run, end);
            self.links.state_changed();
        }
    }

    /// Returns whether the upstream has room for `need` beside what is reserved.
    fn has_room(&self, need: Amounts) -> bool {
        let mut total = self.reserved();
        total += need;
        total.fits(&self.capacity())
    }

    /// Starts an order; one that can't be started ends with `end`.
    pub(super) fn start(&mut self, now: Instant, key: OrderKey, run: RunNumber, end: End) {
        // The upstream may have announced less since the first attempt to start the order.
        let order = &self.orders[key];
        let need = match order.holds_room() {
            true => Amounts::default(),
            false => order.order.need,
        };
        let is_wanted = self.links.is_fresh(now, self.orders[key].owner)
            || !self.policy.rules.stops_runs_of_silent_entries;
        let is_chosen = !self.is_outdated(&self.orders[key].order);
        let is_possible = is_wanted && is_chosen && !self.is_drained && self.has_room(need);
        let lease = self.lease_end(now).filter(|_| is_possible);
        let Some(until_ms) = lease else {
            self.note_outdated(now, key);
            self.finish(now, key, end);
            return;
        };
        let fence = self.fence;
        let upstream = self.upstream.as_ref().expect("a start needs an upstream");
        let order = &mut self.orders[key];
        order.phase = Phase::Starting { run, sent: now };
        self.actions.push(Action::Start(StartCall {
            key,
            task: order.order.task.task.clone(),
            run,
            attempt: order.order.task.attempt,
            owner: order.owner,
            payload: order.order.payload.clone(),
            until_ms,
            fence,
            instance: upstream.instance.clone(),
            life: upstream.life,
        }));
        self.hold(now, self.policy.hold_wait);
    }

    /// Ends an order early.
    pub(super) fn end_early(&mut self, now: Instant, key: OrderKey, cause: StopCause) {
        match &mut self.orders[key].phase {
            Phase::Waiting => self.finish_unstarted(now, key),
            Phase::Starting { .. } | Phase::Running { .. } => self.stop(now, key, cause),
            // An order whose start was unanswered would otherwise be started again.
            Phase::Stopping { cause: known, .. } => *known = cause,
        }
    }

    pub(super) fn stop(&mut self, now: Instant, key: OrderKey, cause: StopCause) {
        let order = &mut self.orders[key];
        let run = order.phase.run().expect("only started orders are stopped");
        order.phase = Phase::Stopping {
            run,
            cause,
            acked: None,
            sent: now,
            calls: 0,
            is_called: false,
        };
        self.call_due_stops(now);
        if let Some(end) = End::assumed(self.policy.rules.reserves_stopping_runs, Outcome::Lost) {
            self.finish(now, key, end);
        }
        self.hold(now, self.policy.hold_wait);
    }

    pub(super) fn call_stop(&mut self, task: TaskRef, run: RunNumber, cause: StopCause) {
        let Some(upstream) = &self.upstream else {
            return;
        };
        self.actions.push(Action::Stop(StopCall {
            task,
            run,
            cause,
            fence: self.fence,
            instance: upstream.instance.clone(),
            life: upstream.life,
        }));
    }

    /// Returns the end of a lease that begins now, by the upstream's clock.
    pub(super) fn lease_end(&mut self, now: Instant) -> Option<u64> {
        let lease = self.policy.lease_duration;
        let upstream = self.upstream.as_mut()?;
        let clock_ms = upstream.clock.millis(now)?;
        let until_ms = clock_ms.saturating_add(lease.as_millis() as u64);
        upstream.leased_until_ms = upstream.leased_until_ms.max(until_ms);
        Some(until_ms)
    }

    /// Raises the fencing token after the upstream has refused it in a call that was made at `called`.
    pub(super) fn fence_refused(&mut self, now: Instant, called: Option<Instant>) {
        // Large enough to exceed a token taken from a clock that has since been set back.
        const STEP: u64 = 60_000;
        let is_raised_since = called.is_some_and(|called| Some(called) < self.fence_raised_at);
        // A call with the token from before may be overtaken by one with the present token.
        if !is_raised_since {
            self.raise_fence(now, STEP);
        }
    }

    pub(super) fn raise_fence(&mut self, now: Instant, step: u64) {
        self.fence += step;
        self.fence_raised_at = Some(now);
    }

    /// Ends an order if it has no run.
    pub(super) fn finish_unstarted(&mut self, now: Instant, key: OrderKey) {
        if let Some(end) = End::unstarted(&self.orders[key]) {
            self.finish(now, key, end);
        }
    }

    pub(super) fn finish(&mut self, now: Instant, key: OrderKey, end: End) {
        let order = self.orders.remove(key).expect("an order is finished once");
        if let Some(interference) = &mut self.interference {
            interference.ended(now, key);
        }
        match order.phase.run() {
            Some(run) => {
                let task = order.order.task.task.clone();
                self.ended_runs.insert(task, (run, now));
            }
            None => {
                let rank = (order.order.class, order.due, key);
                self.waiting.remove(&rank);
            }
        }
        self.by_task.remove(&order.order.task.task);
        self.links.state_changed();
        if order.is_lost_reported {
            return;
        }
        let ended = AttemptEnd {
            task: order.order.task,
            outcome: end.outcome(),
            run_ms: order.run_time.as_millis() as u32,
        };
        self.links.ended(now, order.owner, ended);
    }

    /// Reports an attempt as lost to its entry, while the order is still held here.
    pub(super) fn report_lost(&mut self, now: Instant, key: OrderKey, ended: AllEnded) {
        let order = &mut self.orders[key];
        if std::mem::replace(&mut order.is_lost_reported, true) {
            return;
        }
        let ended = AttemptEnd {
            task: order.order.task.clone(),
            outcome: End::lost(ended).outcome(),
            run_ms: 0,
        };
        self.links.ended(now, order.owner, ended);
    }

    pub(super) fn refuse(&mut self, now: Instant, owner: Incarnation, task: TaskRef) {
        let ended = AttemptEnd {
            task,
            outcome: Outcome::NotStarted,
            run_ms: 0,
        };
        self.links.ended(now, owner, ended);
    }

    pub(super) fn return_waiting(&mut self, now: Instant) {
        let waiting: Vec<_> = self.waiting.iter().map(|&(_, _, key)| key).collect();
        for key in waiting {
            self.finish_unstarted(now, key);
        }
    }

    pub(super) fn return_waiting_if_unusable(&mut self, now: Instant) {
        if !self.accepts_work(now) {
            self.return_waiting(now);
        }
    }

    /// Ends all orders as lost.
    pub(super) fn finish_all_as_lost(&mut self, now: Instant, ended: AllEnded) {
        for key in self.orders.keys().collect::<Vec<_>>() {
            self.finish(now, key, End::lost(ended));
        }
    }
}
