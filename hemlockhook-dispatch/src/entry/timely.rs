//! Choice of the upstream for a task by the learned distribution of run times.

use std::time::Duration;

use crate::entry::placement::{Candidate, fastest_with_ample_capacity, speed_class};
use crate::entry::run_times::RatioDistribution;

/// Probability with which all tasks of a step are to end within the slack, as a part of the highest
/// that can be had.
const STEP_TARGET: f64 = 0.9;

/// Value of an answer after the objective, relative to one within it.
const LATE_VALUE: f64 = 0.2;

/// Part of the value of the best upstream, with a wait there, from which one without a wait is
/// preferred.
const MIN_IMMEDIATE_VALUE: f64 = 0.7;

/// Time left for a task.
#[derive(Clone, Copy, Debug)]
pub(super) struct Slack {
    /// Time until the objective of the job.
    pub(super) due: Duration,
    /// Time until the answer is of no use.
    pub(super) useful: Duration,
}

impl Slack {
    /// Returns the expected value of the answer to a task that ends in time with a value of 1, if it
    /// starts after `wait` and is expected to run for `run_time`.
    pub(super) fn value(
        &self,
        ratios: &RatioDistribution,
        run_time: Duration,
        wait: Duration,
    ) -> f64 {
        let expected = run_time.as_secs_f64().max(0.001);
        let within = |slack: Duration| {
            ratios.probability(slack.saturating_sub(wait).as_secs_f64() / expected)
        };
        (1.0 - LATE_VALUE) * within(self.due) + LATE_VALUE * within(self.useful)
    }
}

/// Returns the part of the highest value that each task of a step of `width` tasks has to reach, so
/// that the step reaches [`STEP_TARGET`].
pub(super) fn task_target(width: usize) -> f64 {
    STEP_TARGET.powf(1.0 / width.max(1) as f64)
}

/// Chooses the upstream for a task of a step of `width` tasks.
///
/// While the fastest upstreams have ample free capacity beyond `reserved`, the fraction of it that
/// tasks need which end in time at no slow upstream, they are preferred. Otherwise it is the slowest
/// upstream that reaches the target. The target is relative to the best candidate: no upstream can
/// make up for the rare runs that take many times as long.
pub(super) fn choose_timely_upstream<K>(
    candidates: &[Candidate<K>],
    slack: Slack,
    width: usize,
    ratios: &RatioDistribution,
    reserved: f64,
) -> Option<K>
where
    K: Copy,
{
    if let Some(best) = fastest_with_ample_capacity(candidates, reserved) {
        return Some(best);
    }
    let value = |c: &Candidate<K>| slack.value(ratios, c.run_time, c.wait);
    let valued: Vec<_> = candidates.iter().map(|c| (value(c), c)).collect();
    let best_of = |is_counted: fn(&Candidate<K>) -> bool| {
        let counted = valued.iter().filter(|(_, c)| is_counted(c));
        counted.map(|&(value, _)| value).fold(0.0, f64::max)
    };
    // Waits are estimated roughly: the orders ahead may be of longer tasks.
    let best = match (best_of(|c| c.wait.is_zero()), best_of(|_| true)) {
        (at_once, any) if at_once >= any * MIN_IMMEDIATE_VALUE => at_once,
        (_, any) => any,
    };
    let threshold = best * task_target(width);
    let by_slowness = |a: &&Candidate<K>, b: &&Candidate<K>| {
        // A task far from its data takes capacity for longer.
        (a.wait.is_zero().cmp(&b.wait.is_zero()))
            .then(b.is_far.cmp(&a.is_far))
            .then(speed_class(a.run_time).cmp(&speed_class(b.run_time)))
            .then(a.free_fraction.total_cmp(&b.free_fraction))
            .then(a.is_near.cmp(&b.is_near))
    };
    let by_end = |a: &&Candidate<K>, b: &&Candidate<K>| {
        let order = (a.wait + a.run_time).cmp(&(b.wait + b.run_time));
        order.then(b.free_fraction.total_cmp(&a.free_fraction))
    };
    let chosen = match best > 0.0 {
        true => {
            let reaches = valued.iter().filter(|&&(value, _)| value >= threshold);
            reaches.map(|&(_, c)| c).max_by(by_slowness)
        }
        false => candidates.iter().min_by(by_end),
    };
    chosen.map(|c| c.key)
}
