//! Which upstream a task goes to.
//!
//! The load that this is for: upstreams whose speeds differ by a factor, tasks of which some have no
//! time to spare, and crests at which no room is free.

use std::time::Duration;

/// An upstream that may take a task.
#[derive(Clone, Copy, Debug)]
pub(super) struct Candidate<K> {
    pub(super) key: K,
    /// Time that the task is expected to run there.
    pub(super) run_time: Duration,
    /// Time that it is expected to wait there.
    pub(super) wait: Duration,
    /// Whether the upstream is in the entry's own data center.
    pub(super) is_near: bool,
    /// Part of the upstream's room that is free.
    pub(super) free_part: f64,
}

/// Part by which an expected run time is exceeded without harm, for a task to have time to spare.
const SPARE: f64 = 1.35;

/// Part of the fastest upstreams' room that is free while nothing has to be left to other tasks.
/// Source: the quiet days and crests of docs/MEASUREMENTS.md, "Leased work".
const AMPLE: f64 = 0.3;

/// Chooses where a task goes that should end within `slack`. While the fastest upstreams have ample
/// room it goes there, since some tasks run many times longer than expected. Else it goes to the
/// slowest upstream with room that is in time, so that the fast ones are left to tasks without time to
/// spare, or to the one that ends it first.
pub(super) fn choose<K>(candidates: &[Candidate<K>], slack: Duration) -> Option<K>
where
    K: Copy,
{
    if let Some(best) = fastest_with_ample_room(candidates) {
        return Some(best);
    }
    let is_in_time = |c: &&Candidate<K>| c.wait.is_zero() && c.run_time.mul_f64(SPARE) <= slack;
    let by_spare = |a: &&Candidate<K>, b: &&Candidate<K>| {
        let order = rough(a.run_time).cmp(&rough(b.run_time));
        order
            .then(a.free_part.total_cmp(&b.free_part))
            .then(a.is_near.cmp(&b.is_near))
    };
    if let Some(best) = candidates.iter().filter(is_in_time).max_by(by_spare) {
        return Some(best.key);
    }
    let by_end = |a: &&Candidate<K>, b: &&Candidate<K>| {
        let order = (a.wait + a.run_time).cmp(&(b.wait + b.run_time));
        order.then(b.free_part.total_cmp(&a.free_part))
    };
    candidates.iter().min_by(by_end).map(|best| best.key)
}

/// Returns the emptiest of the fastest upstreams, if they have ample room together.
fn fastest_with_ample_room<K>(candidates: &[Candidate<K>]) -> Option<K>
where
    K: Copy,
{
    let fastest = candidates.iter().map(|c| rough(c.run_time)).min()?;
    let group = || candidates.iter().filter(|c| rough(c.run_time) == fastest);
    let free: f64 = group().map(|c| c.free_part).sum();
    if free < AMPLE * group().count() as f64 {
        return None;
    }
    let by_room = |a: &&Candidate<K>, b: &&Candidate<K>| {
        let order = a.free_part.total_cmp(&b.free_part);
        order.then(a.is_near.cmp(&b.is_near))
    };
    let with_room = group().filter(|c| c.wait.is_zero());
    with_room.max_by(by_room).map(|best| best.key)
}

/// Returns a run time in steps of about a fifth, in which upstreams count as equally fast.
fn rough(run_time: Duration) -> i32 {
    (run_time.as_secs_f64().max(0.001).ln() * 5.0).round() as i32
}
