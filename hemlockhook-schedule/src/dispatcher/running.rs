//! The tasks of a dispatcher that run.

use std::time::{Duration, Instant};

use hemlockhook_types::{Incarnation, TaskIndex};

use super::{Dispatcher, QueuedTask, Running};
use crate::fleet::flow_rate;
use crate::queue::LaneKey;
use crate::spec::{Intervention, InterventionKind, JobId};

/// A task is overdue once it runs this many times longer than expected.
const OVERDUE_FACTOR: f64 = 3.0;

/// Time by which a run may exceed its expectation before it counts as overdue at all.
const OVERDUE_MARGIN: Duration = Duration::from_millis(200);

/// Slots are kept free for short work for this time after the last of it came.
const SHORT_WORK_MEMORY_US: u64 = 30_000_000;

impl Dispatcher {
    pub(super) fn place(
        &mut self,
        now: Instant,
        agent: Incarnation,
        job: JobId,
        lane: LaneKey,
        task: QueuedTask,
        run_secs: f64,
    ) -> bool {
        let long = lane.long;
        let flow = if long { 0 } else { flow_rate(run_secs) };
        self.running_long += u32::from(long);
        self.upstreams.change(now, agent, |upstream| {
            upstream.place();
            upstream.flow += flow;
        });
        self.backlogs.placed(agent);
        let expected = Duration::from_secs_f64(run_secs);
        let patience = expected
            .mul_f64(OVERDUE_FACTOR)
            .max(expected + OVERDUE_MARGIN);
        let check_at = now + patience;
        let index = task.spec.index;
        self.overdue.insert((check_at, job, index));
        let running = Running {
            agent,
            lane,
            task,
            placed_at: now,
            check_at,
            long,
            overdue: false,
            flow,
            detached: false,
        };
        let before = self.running.insert((job, index), running);
        assert!(before.is_none(), "a task was placed while it ran");
        long
    }

    pub(super) fn forget_running(
        &mut self,
        now: Instant,
        job: JobId,
        index: TaskIndex,
    ) -> Option<Running> {
        let running = self.running.remove(&(job, index))?;
        self.overdue.remove(&(running.check_at, job, index));
        self.shares.count_running(&running.lane.team, -1);
        self.running_long -= u32::from(running.long);
        if !running.detached {
            self.upstreams.change(now, running.agent, |upstream| {
                upstream.running -= 1;
                upstream.overdue -= u32::from(running.overdue);
                upstream.flow -= running.flow;
            });
        }
        Some(running)
    }

    /// Looks at tasks that run longer than expected: first they count no longer as about to end, then
    /// as long work.
    pub(super) fn check_running(&mut self, now: Instant) {
        while let Some((at, job, index)) =
            self.overdue.first().copied().filter(|(at, ..)| *at <= now)
        {
            self.overdue.remove(&(at, job, index));
            let running = self
                .running
                .get_mut(&(job, index))
                .expect("a checked task runs");
            if !running.overdue && !running.detached {
                running.overdue = true;
                let flow = std::mem::take(&mut running.flow);
                self.upstreams.change(now, running.agent, |upstream| {
                    upstream.flow -= flow;
                    upstream.overdue += 1;
                    upstream.suspect_straggler();
                });
            }
            let long_at = running.placed_at + self.policy.long_threshold;
            match running.long {
                false if now < long_at => {
                    running.check_at = long_at;
                    self.overdue.insert((long_at, job, index));
                }
                false => {
                    running.long = true;
                    self.running_long += 1;
                    let agent = running.agent;
                    self.intervene(agent, job, index);
                }
                true => {}
            }
        }
    }

    /// Asks the platform to act on work that was taken for short, if short work waits for its slot.
    fn intervene(&mut self, agent: Incarnation, job: JobId, index: TaskIndex) {
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

    /// Returns the long tasks that this entry may run at once: a part of its slots that is larger
    /// while no short work waits, and all of them once there was none for a while.
    pub(crate) fn long_ceiling(&self) -> u32 {
        let idle_us = self.latest_us.saturating_sub(self.last_short_us);
        let percent = match self.queue.has_short() {
            true => self.policy.long_ceiling_percent,
            false if idle_us < SHORT_WORK_MEMORY_US => 2 * self.policy.long_ceiling_percent,
            false => 100,
        };
        let slots = self.running_tasks() as u32 + self.upstreams.grants();
        (slots * percent / 100).max(1)
    }

    pub(crate) fn running_tasks(&self) -> usize {
        self.running.len()
    }
}
