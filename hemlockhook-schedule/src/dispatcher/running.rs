//! Tracks the running tasks of a dispatcher.

use std::time::{Duration, Instant};

use hemlockhook_types::{Incarnation, TaskIndex};

use super::{Dispatcher, QueuedTask, RunningTask};
use crate::pool::expected_completion_rate;
use crate::queue::QueueKey;
use crate::spec::{Intervention, InterventionKind, JobId};

/// A task is overdue once its run time exceeds the expected one by this factor.
const OVERDUE_FACTOR: f64 = 3.0;

/// Minimum time by which a run must exceed its expected run time to count as overdue.
const OVERDUE_MARGIN: Duration = Duration::from_millis(200);

/// Time after the last submission of short work for which slots are reserved for short work.
const SHORT_WORK_WINDOW_US: u64 = 30_000_000;

impl Dispatcher {
    pub(super) fn start_running(
        &mut self,
        now: Instant,
        agent: Incarnation,
        job: JobId,
        queue_key: QueueKey,
        task: QueuedTask,
        run_secs: f64,
    ) -> bool {
        let long = queue_key.long;
        let completion_rate = if long {
            0
        } else {
            expected_completion_rate(run_secs)
        };
        self.running_long += u32::from(long);
        self.upstreams.update(now, agent, |upstream| {
            upstream.record_placement();
            upstream.completion_rate += completion_rate;
        });
        self.demand_reporter.add_start_target(agent);
        let expected = Duration::from_secs_f64(run_secs);
        let tolerance = expected
            .mul_f64(OVERDUE_FACTOR)
            .max(expected + OVERDUE_MARGIN);
        let check_at = now + tolerance;
        let index = task.spec.index;
        self.run_time_checks.insert((check_at, job, index));
        let running = RunningTask {
            agent,
            queue_key,
            task,
            placed_at: now,
            check_at,
            long,
            overdue: false,
            completion_rate,
            detached: false,
        };
        let before = self.running.insert((job, index), running);
        assert!(before.is_none(), "a running task was placed again");
        long
    }

    pub(super) fn remove_running(
        &mut self,
        now: Instant,
        job: JobId,
        index: TaskIndex,
    ) -> Option<RunningTask> {
        let running = self.running.remove(&(job, index))?;
        self.run_time_checks.remove(&(running.check_at, job, index));
        self.shares.count_running(&running.queue_key.team, -1);
        self.running_long -= u32::from(running.long);
        if !running.detached {
            self.upstreams.update(now, running.agent, |upstream| {
                upstream.running -= 1;
                upstream.overdue -= u32::from(running.overdue);
                upstream.completion_rate -= running.completion_rate;
            });
        }
        Some(running)
    }

    /// Processes tasks that run longer than expected: an overdue task no longer counts towards the
    /// completion rate, and one that exceeds the threshold for long work counts as long from then
    /// on.
    pub(super) fn check_run_times(&mut self, now: Instant) {
        while let Some((at, job, index)) = self
            .run_time_checks
            .first()
            .copied()
            .filter(|(at, ..)| *at <= now)
        {
            self.run_time_checks.remove(&(at, job, index));
            let running = self
                .running
                .get_mut(&(job, index))
                .expect("a task with a scheduled run time check is running");
            if !running.overdue && !running.detached {
                running.overdue = true;
                let completion_rate = std::mem::take(&mut running.completion_rate);
                self.upstreams.update(now, running.agent, |upstream| {
                    upstream.completion_rate -= completion_rate;
                    upstream.overdue += 1;
                    upstream.penalize_straggler();
                });
            }
            let long_at = running.placed_at + self.policy.long_threshold;
            match running.long {
                false if now < long_at => {
                    running.check_at = long_at;
                    self.run_time_checks.insert((long_at, job, index));
                }
                false => {
                    running.long = true;
                    self.running_long += 1;
                    let agent = running.agent;
                    self.request_intervention(agent, job, index);
                }
                true => {}
            }
        }
    }

    /// Requests an intervention against a task that was expected to be short but runs long, if
    /// short work is queued.
    fn request_intervention(&mut self, agent: Incarnation, job: JobId, index: TaskIndex) {
        let kind = match self.running_long > self.long_ceiling() {
            true => InterventionKind::Checkpoint,
            false => InterventionKind::Throttle,
        };
        if self.queue.has_short() {
            self.interventions.push(Intervention {
                agent,
                job,
                index,
                kind,
            });
        }
    }

    /// Returns the number of long tasks that this entry may run at once: a percentage of its slots
    /// while short work waits, twice as much while none waits, and all of them once no short work
    /// was submitted for a while.
    pub(crate) fn long_ceiling(&self) -> u32 {
        let idle_us = self.latest_us.saturating_sub(self.last_short_work_us);
        let percent = match self.queue.has_short() {
            true => self.policy.long_ceiling_percent,
            false if idle_us < SHORT_WORK_WINDOW_US => 2 * self.policy.long_ceiling_percent,
            false => 100,
        };
        let slots = self.running_tasks() as u32 + self.upstreams.grants();
        (slots * percent / 100).max(1)
    }

    pub(crate) fn running_tasks(&self) -> usize {
        self.running.len()
    }
}
