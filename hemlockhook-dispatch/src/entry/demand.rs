//! Demand of the entry's callers, by which agents divide their throughput among entries.
//!
//! The demand is the work that jobs ask for on arrival, also of jobs that are refused, as far as the
//! entry's own processor can carry it. It is divided by the number of usable agents: an entry that
//! can use few agents needs a larger part of each.

use std::time::{Duration, Instant};

/// Time constant of the average of the work that callers ask for.
const OFFERED_TIME: Duration = Duration::from_millis(500);

/// Time constant of the average of the work that is completed. It is longer than most tasks run, so that
/// the cap does not depend on which ones have just ended.
const COMPLETED_TIME: Duration = Duration::from_secs(2);

/// Time after the start before which the demand is not known.
const LEARNING_TIME: Duration = OFFERED_TIME;

/// Delay of the event loop above which the processor carries no more. A process with a part of a core
/// stands still for up to one accounting period of 100 ms without being overloaded.
const OVERLOAD_DELAY: Duration = Duration::from_millis(150);

/// Delay of the event loop below which the processor could carry more.
const IDLE_DELAY: Duration = Duration::from_millis(40);

/// Ratio of the cap to the completed work while the processor is overloaded.
const OVERLOAD_FACTOR: f64 = 0.8;

/// Growth of the cap with each measurement, of which there are four a second: it doubles in two seconds.
const RECOVERY_FACTOR: f64 = 1.1;

/// Ratio of the cap to the offered work above which there is none.
const RELEASE_FACTOR: f64 = 2.0;

/// Lowest cap, in thousandths of a core, so that it can grow again.
const MIN_CAP: f64 = 1000.0;

#[derive(Debug, Default)]
pub(super) struct Demand {
    offered: Rate,
    completed: Rate,
    /// What the processor of the entry can carry, in thousandths of a core; `None` if unlimited.
    cap: Option<f64>,
    started: Option<Instant>,
    per_agent: Option<u32>,
}

/// A decaying average of work per time, in thousandths of a core.
#[derive(Debug, Default)]
struct Rate {
    value: f64,
    updated: Option<Instant>,
}

impl Rate {
    fn at(&self, now: Instant, time: Duration) -> f64 {
        let since = self.updated.map(|at| now.saturating_duration_since(at));
        let passed = since.unwrap_or_default().as_secs_f64();
        self.value * (-passed / time.as_secs_f64()).exp()
    }

    /// Adds work in thousandths of a core-second.
    fn add(&mut self, now: Instant, time: Duration, work: f64) {
        self.value = self.at(now, time) + work / time.as_secs_f64();
        self.updated = Some(now);
    }
}

impl Demand {
    /// Adds the work of a job that has arrived, in thousandths of a core-second.
    pub(super) fn offered(&mut self, now: Instant, work: f64) {
        self.offered.add(now, OFFERED_TIME, work);
    }

    /// Adds the work of a task that is done, in thousandths of a core-second.
    pub(super) fn completed(&mut self, now: Instant, work: f64) {
        self.completed.add(now, COMPLETED_TIME, work);
    }

    /// Adapts the cap to the time for which requests wait for the event loop.
    ///
    /// While that is long, the entry gets less than it completes, so that the loop catches up. After
    /// that the cap rises until it limits nothing.
    pub(super) fn measured_delay(&mut self, now: Instant, delay: Duration) {
        if delay >= OVERLOAD_DELAY {
            let completed = self.completed.at(now, COMPLETED_TIME) * OVERLOAD_FACTOR;
            let cap = self.cap.map_or(completed, |cap| cap.min(completed));
            self.cap = Some(cap.max(MIN_CAP));
        } else if delay <= IDLE_DELAY {
            let limit = self.offered.at(now, OFFERED_TIME) * RELEASE_FACTOR;
            let raised = self.cap.map(|cap| cap * RECOVERY_FACTOR);
            self.cap = raised.filter(|&cap| cap < limit.max(MIN_CAP));
        }
    }

    /// Updates the demand for each of the usable agents.
    pub(super) fn update(&mut self, now: Instant, usable_agents: usize) {
        let started = *self.started.get_or_insert(now);
        if now.saturating_duration_since(started) < LEARNING_TIME {
            return;
        }
        let offered = self.offered.at(now, OFFERED_TIME);
        let demand = self.cap.map_or(offered, |cap| cap.min(offered));
        self.per_agent = Some((demand / usable_agents.max(1) as f64) as u32);
    }

    /// Returns what the processor of the entry can carry, in thousandths of a core; `None` if unlimited.
    pub(super) fn cap_milli(&self) -> Option<u64> {
        self.cap.map(|cap| cap as u64)
    }

    /// Returns the last demand for each agent, in thousandths of a core.
    pub(super) fn per_agent_milli(&self) -> Option<u32> {
        self.per_agent
    }

    /// Returns the demand for each agent in thousandths of a core, if it differs by a tenth from what an
    /// agent was sent.
    pub(super) fn changed_since(&self, sent: Option<u32>) -> Option<u32> {
        let has_changed = |sent: u32, now: u32| now.abs_diff(sent) > sent / 10;
        self.per_agent
            .filter(|&now| sent.is_none_or(|sent| has_changed(sent, now)))
    }
}
