//! Choice of the upstream for a task.
//!
//! The policy is designed for upstreams of different speeds, for tasks of which some have no slack,
//! and for load peaks at which no capacity is free.

use std::time::Duration;

/// An upstream that can run a task.
#[derive(Clone, Copy, Debug)]
pub(super) struct Candidate<K> {
    pub(super) key: K,
    /// Expected run time of the task on this upstream.
    pub(super) run_time: Duration,
    /// Expected queueing time on this upstream.
    pub(super) wait: Duration,
    /// Whether the upstream is far from the task's data.
    pub(super) is_far: bool,
    /// Whether the upstream is in the entry's own data center.
    pub(super) is_near: bool,
    /// Fraction of the upstream's capacity that is free.
    pub(super) free_fraction: f64,
}

/// Safety factor on the expected run time when it is compared with the slack of a task.
const RUN_TIME_MARGIN: f64 = 1.35;

/// Exponent of the number of a step's tasks in the safety factor. A step ends with its slowest task,
/// which is the slower the more there are.
const WIDTH_EXPONENT: f64 = 0.2;

/// Free fraction of the fastest upstreams' capacity above which none is kept for other tasks.
/// Source: the measurements at low and peak load in docs/MEASUREMENTS.md, "Leased work".
const AMPLE_FREE_FRACTION: f64 = 0.3;

/// Chooses the upstream for a task, of a step of `width` tasks, that should end within `slack`.
///
/// While the fastest upstreams have ample free capacity they are preferred, since some tasks run
/// many times longer than expected. Otherwise the slowest upstream with free capacity that meets
/// the slack is chosen, so that fast upstreams remain free for tasks without slack. If none meets
/// it, the upstream with the earliest expected end is chosen.
pub(super) fn choose_upstream<K>(
    candidates: &[Candidate<K>],
    slack: Duration,
    width: usize,
) -> Option<K>
where
    K: Copy,
{
    if let Some(best) = fastest_with_ample_capacity(candidates, 0.0) {
        return Some(best);
    }
    let margin = RUN_TIME_MARGIN * (width.max(1) as f64).powf(WIDTH_EXPONENT);
    let is_in_time = |c: &&Candidate<K>| c.wait.is_zero() && c.run_time.mul_f64(margin) <= slack;
    let by_slowness = |a: &&Candidate<K>, b: &&Candidate<K>| {
        let order = speed_class(a.run_time).cmp(&speed_class(b.run_time));
        order
            .then(a.free_fraction.total_cmp(&b.free_fraction))
            .then(a.is_near.cmp(&b.is_near))
    };
    if let Some(best) = candidates.iter().filter(is_in_time).max_by(by_slowness) {
        return Some(best.key);
    }
    let by_end = |a: &&Candidate<K>, b: &&Candidate<K>| {
        let order = (a.wait + a.run_time).cmp(&(b.wait + b.run_time));
        order.then(b.free_fraction.total_cmp(&a.free_fraction))
    };
    candidates.iter().min_by(by_end).map(|best| best.key)
}

/// Returns the least loaded of the fastest upstreams, if they have ample free capacity in total, beyond
/// the fraction `reserved`.
pub(super) fn fastest_with_ample_capacity<K>(
    candidates: &[Candidate<K>],
    reserved: f64,
) -> Option<K>
where
    K: Copy,
{
    let fastest = candidates.iter().map(|c| speed_class(c.run_time)).min()?;
    let group = || {
        candidates
            .iter()
            .filter(|c| speed_class(c.run_time) == fastest)
    };
    let free: f64 = group().map(|c| c.free_fraction).sum();
    if free < (AMPLE_FREE_FRACTION + reserved) * group().count() as f64 {
        return None;
    }
    let by_free_fraction = |a: &&Candidate<K>, b: &&Candidate<K>| {
        let order = a.free_fraction.total_cmp(&b.free_fraction);
        order.then(a.is_near.cmp(&b.is_near))
    };
    let available = group().filter(|c| c.wait.is_zero());
    available.max_by(by_free_fraction).map(|best| best.key)
}

/// Returns the logarithmic speed class of a run time. Run times within a class differ by about a
/// fifth, and their upstreams count as equally fast.
pub(super) fn speed_class(run_time: Duration) -> i32 {
    (run_time.as_secs_f64().max(0.001).ln() * 5.0).round() as i32
}
