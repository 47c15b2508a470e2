//! Links with entries: liveness and reports.
//!
//! A report costs the entry that reads it processor time, whether or not it uses the upstream. So
//! that what an entry reads does not grow with the number of agents, each agent has a few active
//! links, chosen by rank. On the others, which stand by, it reports rarely until the entry orders
//! something or requests the state.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use crate::agent::descriptions::KEPT_DESCRIPTIONS;
use crate::agent::shares::share_by_use;
use crate::agent::{DescriptionNumber, Supervisor, SupervisorPolicy, UpstreamState};
use crate::{AttemptEnd, ClaimAnswer, HeldAttempts, Incarnation};

/// Identifies a link between an agent and an entry.
pub type LinkId = u64;

/// Time for which sent ends are kept, to be sent again on a new link.
const RESEND_WINDOW: Duration = Duration::from_secs(3);

/// Maximum number of sent ends kept for one entry.
const MAX_RESENT_ENDS: usize = 512;

/// Minimum time between reports that carry only a changed state, until the entry requests another.
const DEFAULT_STATE_INTERVAL: Duration = Duration::from_millis(30);

/// Minimum of the time between such reports. An entry requests none until its first tick.
const MIN_STATE_INTERVAL: Duration = Duration::from_millis(10);

/// Maximum of the time between such reports that an entry may request.
const MAX_STATE_INTERVAL: Duration = Duration::from_secs(1);

/// Minimum time between updates of the averages of what each entry uses.
const MIN_USAGE_INTERVAL: Duration = Duration::from_millis(10);

/// Resolution of the times in frames.
const ECHO_RESOLUTION: Duration = Duration::from_millis(1);

/// A report to be sent on a link.
#[derive(Clone, Debug)]
pub struct Report {
    /// Link with the entry that receives the report.
    pub link: LinkId,
    /// Attempts that have ended since the last report, or that are sent again on a new link.
    pub ends: Vec<AttemptEnd>,
    /// State of the upstream, if it changed.
    pub state: Option<UpstreamState>,
    /// What is held for the entry; set in the first report of a link.
    pub held: Option<HeldAttempts>,
    /// Sequence number of the entry's last frame that `state` accounts for.
    pub orders_seen: u64,
}

/// What a frame of an entry carries besides orders and cancellations.
#[derive(Clone, Copy, Debug)]
pub struct FrameHeader {
    /// Sequence number of the frame, which rises also from link to link.
    pub seq: u64,
    /// When the last report that the entry had received was sent.
    pub echoed: Instant,
    /// Minimum time between reports that carry only a changed state.
    pub state_interval: Duration,
    /// Whether the entry requests the state of the upstream.
    pub wants_state: bool,
    /// Work that the entry's callers ask for at this agent, in thousandths of a core; `None` if it has
    /// not changed, or the entry does not tell.
    pub demand_milli: Option<u32>,
}

/// Rank of a link among those of an agent: the lowest are active.
pub type LinkRank = u64;

#[derive(Debug, Default)]
pub(super) struct Links {
    pub(super) owners: BTreeMap<Incarnation, Owner>,
    by_link: BTreeMap<LinkId, Incarnation>,
    /// Entries that another incarnation has replaced, and whose runs have to be stopped.
    replaced: Vec<Incarnation>,
    /// Incremented with each change of the state.
    state_version: u64,
    /// Whether the last shares followed from the demand of the entries.
    is_divided_by_demand: bool,
    /// When the averages of what each entry uses were last updated.
    usage_updated: Option<Instant>,
}

#[derive(Debug)]
pub(super) struct Owner {
    pub(super) link: Option<LinkId>,
    pub(super) first_linked: Instant,
    /// When its last link ended.
    unlinked_at: Option<Instant>,
    rank: LinkRank,
    /// Whether the link is active by its rank.
    is_preferred: bool,
    /// Until when the link is active because the entry requested the state.
    wanted_until: Option<Instant>,
    /// Minimum time between reports that carry only a changed state.
    state_interval: Duration,
    /// Average of the processor that its runs use, in thousandths of a core.
    usage: f64,
    /// Last demand that the entry has sent, in thousandths of a core.
    pub(super) demand: Option<f64>,
    /// When the first report that the entry hasn't echoed was sent.
    unanswered_since: Option<Instant>,
    /// The entry's runs are stopped at this time unless a frame extends it.
    pub(super) fresh_until: Instant,
    /// Whether its runs were stopped because it was silent.
    is_silent: bool,
    outbox: Vec<AttemptEnd>,
    claim_answers: Vec<ClaimAnswer>,
    /// Ends that were sent, in case the link breaks.
    sent_ends: VecDeque<(Instant, AttemptEnd)>,
    /// Sequence number of the last frame, on any link; `None` before the first one.
    received: Option<u64>,
    reported_version: u64,
    reported_at: Option<Instant>,
    /// When a state with each of the last descriptions was last reported.
    reported_descriptions: VecDeque<(DescriptionNumber, Instant)>,
    /// Version of the slowdowns of pairs that was last reported on the link.
    reported_pairs: u64,
    /// Whether the next report is the first one on the link.
    is_new: bool,
}

impl Links {
    pub(super) fn owner(&self, link: LinkId) -> Option<Incarnation> {
        self.by_link.get(&link).copied()
    }

    /// Returns whether the owner timeout of an entry has not expired.
    pub(super) fn is_fresh(&self, now: Instant, owner: Incarnation) -> bool {
        let owner = self.owners.get(&owner);
        owner.is_some_and(|owner| owner.fresh_until >= now)
    }

    pub(super) fn is_linked(&self, owner: Incarnation) -> bool {
        self.owners
            .get(&owner)
            .is_some_and(|owner| owner.link.is_some())
    }

    /// Returns when an entry was last sent a state with a description.
    pub(super) fn description_reported_at(
        &self,
        owner: Incarnation,
        number: DescriptionNumber,
    ) -> Option<Instant> {
        let reported = &self.owners.get(&owner)?.reported_descriptions;
        let found = reported.iter().find(|(known, _)| *known == number);
        found.map(|&(_, at)| at)
    }

    pub(super) fn state_changed(&mut self) {
        self.state_version += 1;
    }

    pub(super) fn ended(&mut self, now: Instant, owner: Incarnation, ended: AttemptEnd) {
        let Some(owner) = self.owners.get_mut(&owner) else {
            return;
        };
        owner.sent_ends.push_back((now, ended.clone()));
        while owner.sent_ends.len() > MAX_RESENT_ENDS {
            owner.sent_ends.pop_front();
        }
        owner.outbox.push(ended);
    }

    pub(super) fn claim_answered(&mut self, owner: Incarnation, answer: ClaimAnswer) {
        let owner = self.owners.get_mut(&owner);
        if let Some(owner) = owner.filter(|owner| owner.link.is_some()) {
            owner.claim_answers.push(answer);
        }
    }

    /// Returns when the runs of an entry will have ended at all agents if it is down or paused, unless it is
    /// heard of before; `None` if they have. `asked` is when its sign of life became due.
    pub(super) fn lost_at(
        &self,
        owner: Incarnation,
        asked: Instant,
        owner_timeout: Duration,
        lost_after: Duration,
    ) -> Option<Instant> {
        let owner = self.owners.get(&owner)?;
        if let (None, Some(unlinked_at)) = (owner.link, owner.unlinked_at) {
            return Some(unlinked_at + lost_after);
        }
        let fresh_until = owner.fresh_until.max(asked + owner_timeout);
        Some(fresh_until + lost_after.saturating_sub(owner_timeout))
    }

    /// Returns the entries that have exceeded the owner timeout since the last call.
    pub(super) fn take_silent_owners(&mut self, now: Instant) -> Vec<Incarnation> {
        let mut silent = std::mem::take(&mut self.replaced);
        for (&id, owner) in &mut self.owners {
            if owner.fresh_until < now && !owner.is_silent {
                owner.is_silent = true;
                silent.push(id);
            }
        }
        let is_kept =
            |owner: &Owner| owner.link.is_some() || owner.fresh_until + RESEND_WINDOW > now;
        self.owners.retain(|_, owner| is_kept(owner));
        silent
    }
}

impl Links {
    /// Chooses the links that are active by their rank.
    fn choose_preferred(&mut self, count: usize) {
        let linked = self.owners.values().filter(|owner| owner.link.is_some());
        let mut ranks: Vec<_> = linked.map(|owner| owner.rank).collect();
        ranks.sort_unstable();
        let last = ranks.get(count.saturating_sub(1)).copied();
        for owner in self.owners.values_mut() {
            owner.is_preferred = owner.link.is_some() && last.is_none_or(|last| owner.rank <= last);
        }
    }

    /// Returns the number of active links.
    fn active(&self, now: Instant) -> u32 {
        let is_active = |owner: &&Owner| owner.link.is_some() && owner.is_active(now);
        self.owners.values().filter(is_active).count() as u32
    }

    /// Updates the averages of what each entry uses, where `held` is what each uses now.
    fn update_usage(&mut self, now: Instant, held: &BTreeMap<Incarnation, u64>, time: Duration) {
        let since = self.usage_updated.unwrap_or(now);
        let passed = now.saturating_duration_since(since);
        if self.usage_updated.is_some() && passed < MIN_USAGE_INTERVAL {
            return;
        }
        self.usage_updated = Some(now);
        let weight = 1.0 - (-passed.as_secs_f64() / time.as_secs_f64()).exp();
        for (id, owner) in &mut self.owners {
            let used = held.get(id).copied().unwrap_or_default() as f64;
            owner.usage += weight * (used - owner.usage);
        }
    }
}

impl Owner {
    /// Returns whether a report is due, where `is_busy` tells whether the entry has orders here.
    fn is_report_due(
        &self,
        now: Instant,
        version: u64,
        is_busy: bool,
        policy: &SupervisorPolicy,
    ) -> bool {
        if self.link.is_none() {
            return false;
        }
        let is_active = is_busy || self.is_active(now);
        let ping_interval = match is_active {
            _ if is_busy => policy.busy_ping_interval,
            true => policy.idle_ping_interval,
            false => policy.standby_ping_interval,
        };
        let has_news = self.reported_version < version;
        let since_report = self.reported_at.map(|at| now.saturating_duration_since(at));
        match since_report {
            None => true,
            Some(_) if !self.outbox.is_empty() => true,
            Some(since_report) if has_news && is_active => {
                since_report >= self.state_interval.min(ping_interval)
            }
            Some(since_report) => since_report >= ping_interval,
        }
    }

    fn note_description(&mut self, now: Instant, number: DescriptionNumber) {
        match self.reported_descriptions.back_mut() {
            Some((last, at)) if *last == number => *at = now,
            _ => self.reported_descriptions.push_back((number, now)),
        }
        if self.reported_descriptions.len() > KEPT_DESCRIPTIONS {
            self.reported_descriptions.pop_front();
        }
    }

    /// Returns whether the link is active although the entry may have ordered nothing.
    pub(super) fn is_active(&self, now: Instant) -> bool {
        self.is_preferred || self.wanted_until.is_some_and(|until| until > now)
    }
}

impl Supervisor {
    /// Handles the first frame of an entry on a new link, which answers a hello sent at
    /// `hello_sent`.
    ///
    /// `replaced` is the entry incarnation that served at that address before. Links of a low `rank`
    /// are active ones.
    pub fn linked(
        &mut self,
        now: Instant,
        link: LinkId,
        entry: Incarnation,
        replaced: Option<Incarnation>,
        hello_sent: Instant,
        rank: LinkRank,
    ) {
        // Orders from before a timeout end, even if the entry links again.
        self.stop_silent_owners(now);
        if let Some(replaced) = replaced.filter(|&replaced| replaced != entry) {
            self.links.replaced.push(replaced);
        }
        let owner = self.links.owners.entry(entry).or_insert_with(|| Owner {
            link: None,
            first_linked: now,
            unlinked_at: None,
            rank,
            is_preferred: false,
            wanted_until: None,
            state_interval: DEFAULT_STATE_INTERVAL,
            usage: 0.0,
            demand: None,
            unanswered_since: None,
            fresh_until: now,
            is_silent: false,
            outbox: Vec::new(),
            claim_answers: Vec::new(),
            sent_ends: VecDeque::new(),
            received: None,
            reported_version: 0,
            reported_at: None,
            reported_descriptions: VecDeque::new(),
            reported_pairs: 0,
            is_new: true,
        });
        if let Some(old) = owner.link.replace(link) {
            self.links.by_link.remove(&old);
        }
        owner.fresh_until = hello_sent + self.policy.owner_timeout;
        owner.is_silent = owner.fresh_until < now;
        owner.reported_version = 0;
        owner.reported_at = None;
        owner.reported_pairs = 0;
        owner.is_new = true;
        owner.rank = rank;
        owner.unanswered_since = None;
        owner.claim_answers.clear();
        owner.outbox = owner
            .sent_ends
            .iter()
            .map(|(_, ended)| ended.clone())
            .collect();
        self.links.by_link.insert(link, entry);
        self.repeat_contested_claims(entry);
        self.links.choose_preferred(self.policy.active_links);
        self.links.state_changed();
    }

    /// Handles the end of a link. The entry's runs continue until its timeout, so that it can link
    /// again.
    pub fn unlinked(&mut self, now: Instant, link: LinkId) {
        let Some(entry) = self.links.by_link.remove(&link) else {
            return;
        };
        if let Some(owner) = self.links.owners.get_mut(&entry) {
            owner.link = None;
            owner.unlinked_at = Some(now);
        }
        self.links.choose_preferred(self.policy.active_links);
        self.links.state_changed();
    }

    /// Handles the header of a frame.
    pub fn frame_received(&mut self, now: Instant, link: LinkId, header: &FrameHeader) {
        self.stop_silent_owners(now);
        let timeout = self.policy.owner_timeout;
        let Some(owner) = self.links.owner(link) else {
            return;
        };
        let Some(owner) = self.links.owners.get_mut(&owner) else {
            return;
        };
        owner.received = Some(header.seq);
        owner.demand = header.demand_milli.map(f64::from).or(owner.demand);
        // An echo of a report that was not sent yet would keep the entry's runs alive for good.
        let echoed = header.echoed.min(now);
        owner.fresh_until = owner.fresh_until.max(echoed + timeout);
        owner.is_silent = owner.fresh_until < now;
        owner.state_interval = header
            .state_interval
            .clamp(MIN_STATE_INTERVAL, MAX_STATE_INTERVAL);
        if owner
            .unanswered_since
            .is_some_and(|since| since < echoed + ECHO_RESOLUTION)
        {
            owner.unanswered_since = None;
        }
        if header.wants_state {
            owner.wanted_until = Some(now + self.policy.wake_duration);
            owner.reported_at = None;
            owner.reported_version = 0;
        }
    }

    /// Returns the time after which the entry on a link has not echoed a report for `timeout`, unless
    /// it echoes it until then; zero if that is so now.
    pub fn time_until_silent(&self, now: Instant, link: LinkId, timeout: Duration) -> Duration {
        let owner = self.links.owner(link);
        let owner = owner.and_then(|owner| self.links.owners.get(&owner));
        let Some(owner) = owner else {
            return Duration::ZERO;
        };
        // Nothing may be due for long on a link that stands by.
        let since = owner.unanswered_since.unwrap_or(now);
        timeout.saturating_sub(now.saturating_duration_since(since))
    }

    /// Returns the reports that are due.
    pub fn take_reports(&mut self, now: Instant) -> Vec<Report> {
        let mut held: BTreeMap<Incarnation, u64> = BTreeMap::new();
        for order in self.orders.values() {
            let is_active = order.phase.run().is_some();
            let cpu = if is_active { order.order.need.cpu } else { 0 };
            *held.entry(order.owner).or_default() += cpu;
        }
        self.links.update_usage(now, &held, self.policy.usage_time);
        let version = self.links.state_version;
        // An entry whose claim another one waits for has to give signs of life.
        let is_busy = |id: &Incarnation| held.contains_key(id) || self.claims.is_contested(*id);
        let is_due = |(id, owner): (&Incarnation, &Owner)| {
            owner
                .is_report_due(now, version, is_busy(id), &self.policy)
                .then_some(*id)
        };
        let due: Vec<_> = self.links.owners.iter().filter_map(is_due).collect();
        if due.is_empty() {
            return Vec::new();
        }

        let state = self.state(now).unwrap_or_else(UpstreamState::absent);
        let pairs = self
            .interference
            .as_ref()
            .map(|known| (known.version(), known.pairs()));
        let total_usage: f64 = self.links.owners.values().map(|owner| owner.usage).sum();
        let shares = self.links.shares_by_demand(now, is_busy);
        self.links.is_divided_by_demand = shares.is_some();
        let even_share = 1.0 / f64::from(self.links.active(now).max(1));
        let report = |id: Incarnation| {
            let owner = self.links.owners.get_mut(&id)?;
            let link = owner.link?;
            let is_kept = |(at, _): &(Instant, AttemptEnd)| *at + RESEND_WINDOW >= now;
            owner.sent_ends.retain(is_kept);
            let has_news = owner.reported_version < version;
            owner.reported_at = Some(now);
            owner.reported_version = version;
            owner.unanswered_since.get_or_insert(now);
            let share = match &shares {
                Some(shares) => shares.of(id),
                None => share_by_use(owner.usage, total_usage, even_share),
            };
            let held = std::mem::take(&mut owner.is_new).then(|| {
                let owned = self.orders.values().filter(|order| order.owner == id);
                HeldAttempts {
                    tasks: owned.map(|order| order.order.task.clone()).collect(),
                    received: owner.received,
                }
            });
            let state = Some(&state).filter(|_| has_news || held.is_some());
            if let Some(state) = state {
                owner.note_description(now, state.description);
            }
            let pairs = pairs.filter(|(known, _)| *known != owner.reported_pairs);
            let pairs = pairs.filter(|_| state.is_some()).map(|(known, pairs)| {
                owner.reported_pairs = known;
                pairs.to_vec()
            });
            Some(Report {
                link,
                ends: std::mem::take(&mut owner.outbox),
                state: state.map(|state| UpstreamState {
                    share,
                    pairs,
                    ..state.clone()
                }),
                held,
                orders_seen: owner.received.unwrap_or_default(),
            })
        };
        due.into_iter().filter_map(report).collect()
    }

    /// Returns whether the last reported shares followed from the demand of the entries.
    pub fn is_divided_by_demand(&self) -> bool {
        self.links.is_divided_by_demand
    }

    /// Takes the answers to claims, by link. They are sent apart from reports: they tell nothing of the
    /// upstream, and need no echo.
    pub fn take_claim_answers(&mut self) -> Vec<(LinkId, Vec<ClaimAnswer>)> {
        let owners = self.links.owners.values_mut();
        let answered = owners.filter(|owner| !owner.claim_answers.is_empty());
        let take =
            |owner: &mut Owner| Some((owner.link?, std::mem::take(&mut owner.claim_answers)));
        answered.filter_map(take).collect()
    }

    /// Returns the upstream's state as reported to entries; `None` without an upstream.
    pub fn state(&self, now: Instant) -> Option<UpstreamState> {
        let upstream = self.upstream.as_ref()?;
        let free = match self.health.run_limit(now) {
            // An upstream that is probed with one task offers no further capacity.
            Some(limit) if self.orders.len() >= limit => Default::default(),
            _ => self.free(),
        };
        Some(UpstreamState {
            is_usable: self.accepts_work(now),
            description: upstream.description,
            service: upstream.announcement.service.clone(),
            instance: upstream.instance.clone(),
            capacity: upstream.capacity,
            free,
            labels: upstream.announcement.labels.clone(),
            waiting: self.waiting.len() as u32,
            pace: self.reported_pace(now),
            entries: self.links.active(now),
            share: 1.0,
            running: self.running_kinds(),
            pairs: None,
        })
    }
}
