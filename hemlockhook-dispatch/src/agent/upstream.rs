//! The state of the agent's upstream, as far as it is known.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::Amounts;
use crate::agent::clock::ClockBound;
use crate::agent::{DescriptionNumber, MAX_UNANSWERED_HOLDS, PairSlowdown, SafetyRules, TaskKind};

/// Time without announcements after which another incarnation replaces the known one, although its
/// start time is unknown.
pub(super) const REPLACED_AFTER: Duration = Duration::from_secs(3);

/// Maximum time for which an upstream counts as cold, whatever it announces.
const MAX_COLD: Duration = Duration::from_secs(600);

/// Numbers the incarnations of upstreams that an agent has had, from 1.
pub type LifeNumber = u64;

/// An upstream's announcement of itself.
#[derive(Clone, Debug, PartialEq)]
pub struct Announcement {
    /// Identifies the incarnation.
    pub instance: Arc<str>,
    /// Start of this incarnation, in milliseconds since the Unix epoch; 0 if unknown.
    pub started_ms: u64,
    /// Increases with each announcement of an incarnation.
    pub sequence: u64,
    /// Service that the upstream belongs to.
    pub service: Arc<str>,
    /// Total resources of the upstream, whether reserved or free.
    pub capacity: Amounts,
    /// Labels for its kind and location.
    pub labels: Vec<Arc<str>>,
    /// Whether the upstream is shutting down.
    pub is_leaving: bool,
    /// The upstream's clock, in milliseconds; `None` if the reading is too old.
    pub clock_ms: Option<u64>,
    /// How much longer the upstream runs tasks slower than usual, after its start.
    pub cold: Duration,
}

/// What an agent made of an announcement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnnouncementStatus {
    /// It is in force.
    Accepted,
    /// It is of an incarnation that another one has replaced.
    Outdated,
    /// It is in force once the known upstream is proved to be gone.
    Unverified,
    /// It names another service than the known incarnation, so another writer made it.
    Foreign,
}

/// State of an upstream as reported to entries.
#[derive(Clone, Debug, PartialEq)]
pub struct UpstreamState {
    /// Whether new work is accepted.
    pub is_usable: bool,
    /// Number of the description that `service`, `instance` and `labels` belong to; 0 if the agent numbers
    /// none.
    pub description: DescriptionNumber,
    /// Service that the upstream belongs to.
    pub service: Arc<str>,
    /// Identifies the incarnation.
    pub instance: Arc<str>,
    /// Total resources of the upstream, whether reserved or free.
    pub capacity: Amounts,
    /// Resources that no order has reserved.
    pub free: Amounts,
    /// Labels for its kind and location.
    pub labels: Vec<Arc<str>>,
    /// Number of orders that wait for capacity.
    pub waiting: u32,
    /// Ratio of run time to expected run time.
    pub pace: f64,
    /// Number of entries with active links to the agent.
    pub entries: u32,
    /// Part of the upstream's throughput that the entry can count on: what it used of late, and at
    /// least the same part as each other entry with an active link.
    pub share: f64,
    /// Number of tasks of each kind that run, if the agent learns of interference.
    pub running: BTreeMap<TaskKind, u32>,
    /// Slowdowns of pairs, if they differ from those last reported on the link.
    pub pairs: Option<Vec<PairSlowdown>>,
}

impl UpstreamState {
    /// Returns the state that an agent without an upstream reports. Entries would else believe the last one,
    /// and go on ordering.
    pub fn absent() -> Self {
        Self {
            is_usable: false,
            description: 0,
            service: "".into(),
            instance: "".into(),
            capacity: Amounts::default(),
            free: Amounts::default(),
            labels: Vec::new(),
            waiting: 0,
            pace: 1.0,
            entries: 0,
            share: 0.0,
            running: BTreeMap::new(),
            pairs: None,
        }
    }

    /// Returns whether the agent has no upstream.
    pub fn is_absent(&self) -> bool {
        self.instance.is_empty()
    }
}

#[derive(Debug)]
pub(super) struct Upstream {
    pub(super) instance: Arc<str>,
    pub(super) life: LifeNumber,
    pub(super) description: DescriptionNumber,
    pub(super) capacity: Amounts,
    pub(super) is_leaving: bool,

    /// When another incarnation with the same name was found to have replaced this one; it has yet
    /// to announce itself.
    pub(super) replaced_at: Option<Instant>,
    /// Whether that incarnation has answered a call with a higher fencing token.
    pub(super) is_successor_fenced: bool,
    /// Whether it took the place of another incarnation with the same name.
    pub(super) has_predecessor: bool,
    /// When it took the place of another one, or was announced first.
    pub(super) known_since: Instant,
    /// Start time in the last lists of the upstream with this name; 0 if they had none.
    pub(super) listed_started_ms: u64,
    /// When the last announcement was received.
    pub(super) last_announced: Instant,
    /// Whether its lists have been read, so that its active runs are known.
    pub(super) are_runs_listed: bool,
    /// Number of the last end that was read from its lists.
    pub(super) ends_seen: u64,
    /// Whether `ends_seen` was sent to the upstream.
    pub(super) are_ends_acknowledged: bool,
    /// Number of consecutive unanswered hold calls.
    pub(super) unanswered_holds: u32,
    /// The last end of a lease that was asked for, by the upstream's clock; 0 if there was none.
    pub(super) leased_until_ms: u64,
    /// Until when it is cold.
    pub(super) cold_until: Instant,
    /// Whether it was cold at the last tick.
    pub(super) was_cold: bool,
    /// The last announcement.
    pub(super) announcement: Announcement,
    pub(super) clock: ClockBound,
}

impl Upstream {
    pub(super) fn new(
        now: Instant,
        announcement: Announcement,
        (life, description): (LifeNumber, DescriptionNumber),
        rules: &SafetyRules,
    ) -> Self {
        let mut clock = ClockBound::default();
        clock.counts_long_steps = !rules.bounds_clocks;
        if let Some(clock_ms) = announcement.clock_ms {
            clock.read(now, None, clock_ms);
        }
        Self {
            instance: announcement.instance.clone(),
            life,
            description,
            capacity: announcement.capacity,
            is_leaving: announcement.is_leaving,
            replaced_at: None,
            is_successor_fenced: false,
            has_predecessor: false,
            known_since: now,
            listed_started_ms: 0,
            last_announced: now,
            are_runs_listed: false,
            ends_seen: 0,
            are_ends_acknowledged: true,
            unanswered_holds: 0,
            leased_until_ms: 0,
            cold_until: now + announcement.cold.min(MAX_COLD),
            was_cold: false,
            clock,
            announcement,
        }
    }

    pub(super) fn is_same_incarnation(&self, announcement: &Announcement) -> bool {
        announcement.instance == self.instance
            && announcement.started_ms == self.announcement.started_ms
    }

    /// Returns whether the upstream's lists show that an announcement is right, and the one in force is
    /// not or was found to be replaced.
    pub(super) fn is_corrected_by(&self, announcement: &Announcement) -> bool {
        let listed_ms = self.listed_started_ms;
        let is_listed = listed_ms != 0 && announcement.started_ms == listed_ms;
        let is_wrong = self.announcement.started_ms != listed_ms || self.replaced_at.is_some();
        announcement.instance == self.instance && is_listed && is_wrong
    }

    /// Returns whether the upstream's lists were read and do not contradict the announcement.
    pub(super) fn is_confirmed(&self) -> bool {
        let listed_ms = self.listed_started_ms;
        let is_same_start = listed_ms == 0 || listed_ms == self.announcement.started_ms;
        self.are_runs_listed && self.replaced_at.is_none() && is_same_start
    }

    /// Returns whether an announcement of another incarnation is of a later one.
    pub(super) fn is_replaced_by(&self, now: Instant, announcement: &Announcement) -> bool {
        let is_silent = self.is_unannounced(now, REPLACED_AFTER);
        let never_answered = !self.are_runs_listed && self.is_silent();
        never_answered
            || announcement.started_ms > self.announcement.started_ms
            || (announcement.started_ms == 0 && is_silent)
    }

    /// Returns whether it has not announced itself for longer than `limit`.
    pub(super) fn is_unannounced(&self, now: Instant, limit: Duration) -> bool {
        now.saturating_duration_since(self.last_announced) > limit
    }

    /// Returns whether it runs tasks slower than usual because it started recently.
    pub(super) fn is_cold(&self, now: Instant) -> bool {
        now < self.cold_until
    }

    /// Returns whether it leaves calls unanswered.
    pub(super) fn is_silent(&self) -> bool {
        self.unanswered_holds >= MAX_UNANSWERED_HOLDS
    }

    /// Reads a later announcement of the same incarnation. Returns whether it is the latest.
    pub(super) fn refresh(&mut self, now: Instant, announcement: Announcement) -> bool {
        self.last_announced = now;
        if announcement.sequence < self.announcement.sequence {
            return false;
        }
        if let Some(clock_ms) = announcement.clock_ms {
            self.clock.read(now, None, clock_ms);
        }
        self.is_leaving |= announcement.is_leaving;
        let cold_until = now + announcement.cold.min(MAX_COLD);
        // A time that does not shrink from one announcement to the next counts from the first one.
        self.cold_until = match announcement.cold > self.announcement.cold {
            true => cold_until,
            false => cold_until.min(self.cold_until),
        };
        self.capacity = announcement.capacity;
        self.announcement = announcement;
        true
    }

    /// Returns whether all leases that were asked for have certainly ended.
    ///
    /// Those that an incarnation of the same name granted are not on the known clock. They are not
    /// renewed once it is found.
    pub(super) fn is_lease_over(&self, now: Instant) -> bool {
        if let Some(at) = self.replaced_at {
            return now.saturating_duration_since(at) > REPLACED_AFTER;
        }
        if self.has_predecessor && !self.are_runs_listed {
            // Calls to the incarnation before, of which this one may have carried out some, gave it leases.
            return now.saturating_duration_since(self.known_since) > REPLACED_AFTER;
        }
        let clock_ms = self.clock.millis(now);
        self.leased_until_ms == 0 || clock_ms.is_some_and(|ms| ms >= self.leased_until_ms)
    }

    /// Returns whether a hold call is needed even without runs.
    pub(super) fn needs_hold(&self) -> bool {
        let awaits_fence = self.replaced_at.is_some() && !self.is_successor_fenced;
        awaits_fence
            || !self.are_runs_listed
            || !self.are_ends_acknowledged
            || self.unanswered_holds > 0
    }
}
