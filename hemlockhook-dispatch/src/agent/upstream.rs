//! The upstream beside an agent, as far as it is known.

use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::Amounts;

/// Part of the time passed by which an upstream's clock is taken to have moved, in hundredths: it may
/// be slow, and a lease must not outlast what was meant.
const CLOCK_PERCENT: u32 = 98;

/// Silence after which an announcement of another life is believed without a later birth.
const REPLACED_AFTER: Duration = Duration::from_secs(3);

/// What an upstream says of itself.
#[derive(Clone, Debug, PartialEq)]
pub struct Announcement {
    /// Identifies its life.
    pub instance: Arc<str>,
    /// When this life began, in milliseconds since 1970; 0 if it does not say.
    pub born_ms: u64,
    /// Rises with each announcement of one life.
    pub sequence: u64,
    /// The service that it belongs to.
    pub service: Arc<str>,
    /// What it has in all.
    pub capacity: Amounts,
    /// Its kind and place.
    pub labels: Vec<Arc<str>>,
    /// Whether it is about to end.
    pub is_leaving: bool,
    /// Its clock, in milliseconds; `None` if it was read too long ago.
    pub clock_ms: Option<u64>,
}

/// What entries are told of an upstream.
#[derive(Clone, Debug, PartialEq)]
pub struct UpstreamState {
    /// Whether new work is taken.
    pub is_usable: bool,
    /// The service.
    pub service: Arc<str>,
    /// Identifies its life.
    pub instance: Arc<str>,
    /// What it has in all.
    pub capacity: Amounts,
    /// What no order holds.
    pub free: Amounts,
    /// Its kind and place.
    pub labels: Vec<Arc<str>>,
    /// Orders that wait for room.
    pub waiting: u32,
    /// Run time here over the run time expected.
    pub pace: f64,
    /// Entries that are linked with the agent.
    pub entries: u32,
}

#[derive(Debug)]
pub(super) struct Upstream {
    pub(super) instance: Arc<str>,
    pub(super) capacity: Amounts,
    pub(super) is_leaving: bool,
    /// Whether another life of the same name has taken its place, which has yet to announce itself.
    pub(super) is_outdated: bool,
    /// When it last announced itself.
    pub(super) last_announced: Instant,
    /// Whether its lists have been read, so that what runs there is known.
    pub(super) is_listed: bool,
    /// Number of the last end that was read.
    pub(super) ends_seen: u64,
    /// Whether the upstream was told of `ends_seen`.
    pub(super) is_acknowledged: bool,
    /// Looks without an answer, in a row.
    pub(super) unanswered_holds: u32,
    /// When the last lease has surely run out.
    pub(super) leased_until: Option<Instant>,
    /// What it last said of itself.
    pub(super) said: Announcement,
    /// Its clock, and when it was read.
    clock: Option<(u64, Instant)>,
}

impl Upstream {
    pub(super) fn new(now: Instant, said: Announcement) -> Self {
        Self {
            instance: said.instance.clone(),
            capacity: said.capacity,
            is_leaving: said.is_leaving,
            is_outdated: false,
            last_announced: now,
            is_listed: false,
            ends_seen: 0,
            is_acknowledged: true,
            unanswered_holds: 0,
            leased_until: None,
            clock: said.clock_ms.map(|clock_ms| (clock_ms, now)),
            said,
        }
    }

    pub(super) fn is_same_life(&self, said: &Announcement) -> bool {
        said.instance == self.instance && said.born_ms == self.said.born_ms
    }

    /// Returns whether an announcement of another life is of a later one.
    pub(super) fn is_replaced_by(&self, now: Instant, said: &Announcement) -> bool {
        let is_silent = now.saturating_duration_since(self.last_announced) > REPLACED_AFTER;
        said.born_ms > self.said.born_ms || (said.born_ms == 0 && is_silent)
    }

    pub(super) fn refresh(&mut self, now: Instant, said: Announcement) {
        self.last_announced = now;
        if said.sequence < self.said.sequence {
            return;
        }
        if let Some(clock_ms) = said.clock_ms {
            self.read_clock(now, clock_ms);
        }
        self.is_leaving |= said.is_leaving;
        self.capacity = said.capacity;
        self.said = said;
    }

    /// Returns whether its lists are wanted although nothing is ordered.
    pub(super) fn is_unsettled(&self) -> bool {
        !self.is_listed || !self.is_acknowledged || self.unanswered_holds > 0
    }

    pub(super) fn read_clock(&mut self, now: Instant, clock_ms: u64) {
        match self.clock_ms(now) {
            // Each reading is at most what the clock shows, so the highest is the closest.
            Some(estimate) if estimate >= clock_ms => {}
            _ => self.clock = Some((clock_ms, now)),
        }
    }

    /// Returns at most what the upstream's clock shows, in milliseconds.
    pub(super) fn clock_ms(&self, now: Instant) -> Option<u64> {
        let (clock_ms, at) = self.clock?;
        let passed = now.saturating_duration_since(at) * CLOCK_PERCENT / 100;
        Some(clock_ms + passed.as_millis() as u64)
    }
}
