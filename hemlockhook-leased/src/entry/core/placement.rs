//! Log lines and metrics of placement by run times and of interference.

use std::time::{Duration, Instant};

use hemlockhook_dispatch::entry::PairChange;

use super::{Core, State};

/// Minimum time between log lines that tell whether upstreams are of two speeds.
const SPEED_LOG_INTERVAL: Duration = Duration::from_secs(10);

/// What was last logged of the speeds of upstreams.
#[derive(Debug, Default)]
pub(super) struct LoggedSpeeds {
    are_two: bool,
    at: Option<Instant>,
}

impl Core {
    /// Logs what has changed in the beliefs that placement uses, and records them.
    pub(super) fn report_placement(&self, now: Instant, state: &mut State) {
        let changes = state.dispatcher.take_pair_changes();
        changes.iter().for_each(log_pair_change);
        let paces = state.dispatcher.upstream_paces();
        let reserved = state.dispatcher.reserved_fast_fraction();
        let pairs = state.dispatcher.interfering_pairs().len();
        self.metrics.record_placement(reserved, pairs as u64);
        let logged = &mut state.logged_speeds;
        let is_recent = |at| now.saturating_duration_since(at) < SPEED_LOG_INTERVAL;
        if logged.are_two == paces.is_some() || logged.at.is_some_and(is_recent) {
            return;
        }
        logged.are_two = paces.is_some();
        logged.at = Some(now);
        match paces {
            Some((fast_pace, slow_pace)) => {
                spdlog::info!("upstreams are of two speeds", kv: { fast_pace, slow_pace });
            }
            None => spdlog::info!("upstreams are of one speed"),
        }
    }
}

fn log_pair_change(change: &PairChange) {
    let queue = &*change.queue;
    let other = &*change.other;
    let factor = change.factor;
    match change.is_found {
        true => spdlog::info!("tasks of a queue are slower beside those of another", kv: {
            queue,
            other,
            factor,
        }),
        false => {
            spdlog::info!("tasks of a queue are no longer slower beside those of another", kv: {
                queue,
                other,
                factor,
            })
        }
    }
}
