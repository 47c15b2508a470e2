//! When refused callers are asked to return.
//!
//! The work of refused jobs is booked in the second in which it is to return, so that no second gets
//! more than it is expected to carry. The balancer picks the entry of a returning caller anew, so an
//! entry serves as many jobs that others refused as others serve of its own. The bookkeeping is by
//! expected amounts, and losing it in a restart does no harm.

use std::time::{Duration, Instant};

/// Time in which the demand of a burst is expected to fall to that over a longer time by a factor of
/// e. Bursts last some 4 s.
const BURST_TIME_S: f64 = 3.0;

/// Part of the capacity that returning callers are expected to get in any second, since some of them
/// compete with others that arrive.
const MIN_ROOM: f64 = 0.05;

/// First second in which a job returns whose answer can't be useful any more.
const FIRST_USELESS_SECOND: usize = 2;

/// Number of seconds that are kept, with the present one.
const SECONDS: usize = 11;

/// Work that is booked to return in the seconds ahead.
#[derive(Debug, Default)]
pub(super) struct Returns {
    /// Booked work in core-seconds, by the number of seconds from the present one.
    booked: [f64; SECONDS],
    /// Start of the present second.
    second: Option<Instant>,
}

/// What is known when a job is refused.
#[derive(Clone, Copy, Debug)]
pub(super) struct RefusedJob {
    /// Work of the job, in core-seconds.
    pub(super) work: f64,
    /// Time for which its answer stays useful.
    pub(super) useful_for: Duration,
    /// Minimum and maximum time after which it may be asked to return.
    pub(super) limits: (Duration, Duration),
}

/// Expected capacity and demand, in core-seconds per second.
#[derive(Clone, Copy, Debug)]
pub(super) struct Outlook {
    /// This entry's share of the upstreams' throughput.
    pub(super) rate: f64,
    /// Demand over a longer time.
    pub(super) demand: f64,
    /// Present demand.
    pub(super) present_demand: f64,
}

impl Returns {
    /// Books the return of a refused job, and returns the time after which its caller is asked to
    /// return, in whole seconds.
    pub(super) fn book(&mut self, now: Instant, job: RefusedJob, outlook: Outlook) -> Duration {
        self.roll(now);
        let (earliest, latest) = job.limits;
        let earliest = (earliest.as_secs() as usize).clamp(1, SECONDS - 1);
        let latest = (latest.as_secs() as usize).clamp(earliest, SECONDS - 1);
        let last_useful = job.useful_for.as_secs() as usize;
        let first = match last_useful >= earliest {
            true => earliest,
            false => FIRST_USELESS_SECOND.clamp(earliest, latest),
        };
        let load = |second: usize| (self.booked[second] + job.work) / self.room(second, outlook);
        let has_room = |second: &usize| load(*second) <= 1.0;
        // Where no second has room, those with the most room relative to what is booked take it.
        let by_load = |a: &usize, b: &usize| load(*a).total_cmp(&load(*b));
        let second = (first..=latest)
            .find(has_room)
            .or_else(|| (first..=latest).min_by(by_load))
            .unwrap_or(earliest);
        self.booked[second] += job.work;
        Duration::from_secs(second as u64)
    }

    /// Returns all booked work, in core-seconds.
    pub(super) fn total(&self) -> f64 {
        self.booked[1..].iter().sum()
    }

    /// Returns the work that a second ahead is expected to carry beside new arrivals.
    fn room(&self, second: usize, outlook: Outlook) -> f64 {
        // The present demand includes the callers that return now.
        let fresh = (outlook.present_demand - self.booked[0]).max(0.0);
        let burst = (fresh - outlook.demand).max(0.0);
        let demand = fresh.min(outlook.demand) + burst * (-(second as f64) / BURST_TIME_S).exp();
        (outlook.rate - demand)
            .max(outlook.rate * MIN_ROOM)
            .max(1e-6)
    }

    fn roll(&mut self, now: Instant) {
        let second = self.second.get_or_insert(now);
        let passed = now.saturating_duration_since(*second).as_secs();
        *second += Duration::from_secs(passed);
        let passed = (passed as usize).min(SECONDS);
        self.booked.rotate_left(passed % SECONDS);
        self.booked[SECONDS - passed..].fill(0.0);
    }
}
