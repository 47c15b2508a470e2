//! Processing of the upstream's lists of active and ended runs.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use crate::agent::ended::{AllEnded, End};
use crate::agent::upstream::Upstream;
use crate::agent::{
    Action, ActiveRun, EndedRun, HoldCall, MAX_RETRIES, Order, OrderKey, Phase, RunOutcome,
    StopCause, Supervisor,
};
use crate::{Outcome, RunNumber, TaskId, TaskRef};

impl Supervisor {
    pub(super) fn read_lists(
        &mut self,
        now: Instant,
        sent: Instant,
        clock_ms: u64,
        running: &[ActiveRun],
        ended: &[EndedRun],
    ) {
        let Some(upstream) = &mut self.upstream else {
            return;
        };
        upstream.clock.read(now, Some(sent), clock_ms);
        if upstream.unanswered_holds > 0 {
            upstream.unanswered_holds = 0;
            self.links.state_changed();
        }
        let mut new_ends = Vec::new();
        for row in ended.iter().filter(|row| row.number > upstream.ends_seen) {
            new_ends.push(row);
        }
        for row in &new_ends {
            upstream.ends_seen = upstream.ends_seen.max(row.number);
        }
        upstream.are_ends_acknowledged = new_ends.is_empty();
        // The first lists tell which runs of earlier incarnations of the agent are still active. All
        // others have ended.
        let is_first = !std::mem::replace(&mut upstream.are_runs_listed, true);
        if is_first {
            if upstream.has_predecessor {
                // A call with a time on the clock of the incarnation before may have given it the
                // longest lease that it grants.
                let granted_ms = self.policy.max_lease.as_millis() as u64;
                upstream.leased_until_ms = clock_ms.saturating_add(granted_ms);
            }
            self.links.state_changed();
        }

        for row in new_ends {
            self.read_end(now, row);
        }
        self.read_running(now, sent, running);
        self.return_waiting_if_unusable(now);
        self.hold(now, self.policy.hold_wait);
        self.start_waiting(now);
    }

    pub(super) fn read_end(&mut self, now: Instant, row: &EndedRun) {
        self.ended_runs.insert(row.task.clone(), (row.run, now));
        self.orphans.remove(&(row.task.clone(), row.run));
        let Some(&key) = self.by_task.get(&row.task) else {
            return;
        };
        let order = &mut self.orders[key];
        if order.phase.run() != Some(row.run) {
            return;
        }
        let started_at = order.started_at.unwrap_or(now);
        order.run_time = now.saturating_duration_since(started_at);
        let outcome = match row.outcome {
            RunOutcome::Done => Outcome::Done,
            RunOutcome::Failed => Outcome::Failed,
            RunOutcome::Stopped | RunOutcome::LeaseExpired | RunOutcome::GangBroken => {
                Outcome::Lost
            }
        };
        let job = order.order.task.task.job.clone();
        match outcome {
            Outcome::Done if self.is_cold_run(started_at) => self.health.record_cold_success(),
            Outcome::Done => {
                let order = &self.orders[key];
                let run_time = order.run_time;
                let expected = order.order.expected;
                self.health.record_success(run_time, expected);
                self.run_succeeded(now, key, run_time, expected);
            }
            Outcome::Failed => self.health.record_failure(now, &job),
            _ => {}
        }
        let outcome = match outcome {
            Outcome::Failed if !self.health.is_healthy(now) => Outcome::FailedByUpstream,
            outcome => outcome,
        };
        if let Some(end) = End::listed(&self.orders[key], row, outcome) {
            self.finish(now, key, end);
        }
    }

    pub(super) fn read_running(&mut self, now: Instant, sent: Instant, running: &[ActiveRun]) {
        let mut listed = BTreeSet::new();
        for row in running {
            let known = self.by_task.get(&row.task).copied();
            let known = known.filter(|&key| self.orders[key].phase.run() == Some(row.run));
            match known {
                Some(key) => {
                    listed.insert(key);
                    self.orders[key].observed_running(now, row.percent);
                    self.run_began(now, key);
                }
                None => self.stop_orphan(now, row),
            }
        }
        let is_running =
            |row: &ActiveRun, id: &(TaskId, RunNumber)| row.task == id.0 && row.run == id.1;
        let orphans = &mut self.orphans;
        orphans.retain(|id, _| running.iter().any(|row| is_running(row, id)));

        let gone = |(key, order): (OrderKey, &Order)| {
            let end = End::unlisted(order, sent).filter(|_| !listed.contains(&key));
            end.map(|end| (key, end))
        };
        let gone: Vec<_> = self.orders.iter().filter_map(gone).collect();
        for (key, end) in gone {
            match end.outcome() {
                Outcome::NotStarted => self.requeue_unstarted(now, key, end),
                _ => self.finish(now, key, end),
            }
        }
    }

    /// Requeues an order whose start call never arrived, and would now be refused.
    pub(super) fn requeue_unstarted(&mut self, now: Instant, key: OrderKey, end: End) {
        let order = &mut self.orders[key];
        let is_wanted = match order.phase {
            Phase::Stopping { cause, .. } => cause == StopCause::StartUnanswered,
            _ => false,
        };
        if !is_wanted || order.is_lost_reported || order.retries >= MAX_RETRIES {
            self.finish(now, key, end);
            return;
        }
        order.retries += 1;
        let run = order
            .phase
            .run()
            .expect("a stopping order has a run number");
        order.phase = Phase::Waiting;
        let task = order.order.task.task.clone();
        let rank = (order.order.class, order.due, key);
        self.ended_runs.insert(task, (run, now));
        self.waiting.insert(rank);
    }

    /// Stops a run without an order, such as one that an earlier incarnation of the agent started.
    pub(super) fn stop_orphan(&mut self, now: Instant, row: &ActiveRun) {
        let id = (row.task.clone(), row.run);
        let interval = self.policy.stop_retry_interval;
        let is_recent = |at: &Option<Instant>| {
            at.is_some_and(|at| now.saturating_duration_since(at) < interval)
        };
        if self.orphans.get(&id).is_some_and(is_recent) {
            return;
        }
        let called = self.orphans.values().filter(|at| is_recent(at)).count();
        let is_called = called < self.stop_window.size();
        self.orphans.insert(id, is_called.then_some(now));
        if is_called {
            let task = TaskRef {
                task: row.task.clone(),
                attempt: 0,
            };
            self.call_stop(task, row.run, StopCause::Orphaned);
        }
    }

    /// Makes a hold call if there are runs to renew or to stop, lists to read, or ends to
    /// acknowledge. At most one call that waits for an end and one that does not are in flight.
    pub(super) fn hold(&mut self, now: Instant, wait: Duration) {
        let has_runs = self.orders.values().any(Order::holds_room);
        // Runs that are being stopped end with their lease at the latest.
        let is_wanted =
            |order: &Order| matches!(order.phase, Phase::Starting { .. } | Phase::Running { .. });
        let renews = self.orders.values().any(is_wanted);
        let needs_hold = self.upstream.as_ref().is_some_and(Upstream::needs_hold);
        let has_cause = has_runs || needs_hold || !self.orphans.is_empty();
        if !has_cause && self.candidate.is_none() {
            return;
        }
        let until_ms = match &self.upstream {
            None => return,
            Some(upstream) if upstream.replaced_at.is_some() => {
                if !upstream.is_successor_fenced {
                    self.fence_successor();
                }
                return;
            }
            // Leases of a silent upstream are not renewed, so that its runs end at a known time.
            Some(upstream) if upstream.unanswered_holds > 0 || !renews => None,
            Some(_) => self.lease_end(now),
        };
        let upstream = self
            .upstream
            .as_ref()
            .expect("an upstream was matched above");
        // A call that waits acknowledges ends when it arrives.
        let waits = has_runs && upstream.unanswered_holds == 0 && self.candidate.is_none();
        let wait = if waits { wait } else { Duration::ZERO };
        // An immediate hold call is not delayed by one that waits for an end.
        let is_pending = match wait.is_zero() {
            true => &mut self.is_poll_pending,
            false => &mut self.is_long_poll_pending,
        };
        if std::mem::replace(is_pending, true) {
            return;
        }
        self.actions.push(Action::Hold(HoldCall {
            until_ms,
            last_seen: upstream.ends_seen,
            wait,
            fence: self.fence,
            instance: upstream.instance.clone(),
            life: upstream.life,
        }));
    }

    pub(super) fn is_same_start(&self, started_ms: u64) -> bool {
        let known = self
            .upstream
            .as_ref()
            .map_or(0, |upstream| upstream.announcement.started_ms);
        known == 0 || started_ms == 0 || known == started_ms
    }

    /// Handles the answer of an upstream incarnation with another name: all runs of the known one
    /// have ended.
    pub(super) fn upstream_replaced(&mut self, now: Instant, ended: AllEnded) {
        self.upstream = None;
        self.return_outdated(now);
        self.return_waiting(now);
        self.finish_all_as_lost(now, ended);
        self.links.state_changed();
    }

    /// Handles the answer, to a call made at `sent`, of an upstream that has restarted under the same
    /// name. Its announcement will state its capacity.
    pub(super) fn upstream_restarted(&mut self, now: Instant, sent: Instant) {
        let Some(upstream) = &mut self.upstream else {
            return;
        };
        match upstream.replaced_at {
            Some(at) => upstream.is_successor_fenced |= sent >= at,
            None => {
                upstream.replaced_at = Some(now);
                self.raise_fence(now, 1);
                self.fence_successor();
            }
        }
        self.return_waiting(now);
        self.links.state_changed();
    }

    /// Calls an upstream that has restarted under the same name, so that it refuses late calls that
    /// were meant for the incarnation before.
    fn fence_successor(&mut self) {
        let Some(upstream) = &self.upstream else {
            return;
        };
        if std::mem::replace(&mut self.is_poll_pending, true) {
            return;
        }
        self.actions.push(Action::Hold(HoldCall {
            until_ms: None,
            // The incarnation numbers its ends anew.
            last_seen: 0,
            wait: Duration::ZERO,
            fence: self.fence,
            instance: upstream.instance.clone(),
            life: upstream.life,
        }));
    }
}
