//! Links with entries: signs of life, and what is to be told.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use crate::agent::{Supervisor, UpstreamState};
use crate::{AttemptEnd, Incarnation, TaskRef};

/// Identifies a link of an agent with an entry.
pub type LinkId = u64;

/// Time for which ends are kept for an entry whose link broke.
const KEEP_ENDS: Duration = Duration::from_secs(3);

/// Most ends that are kept for one entry.
const MAX_KEPT_ENDS: usize = 512;

/// What is to be sent on a link.
#[derive(Clone, Debug)]
pub struct Report {
    /// The link.
    pub link: LinkId,
    /// Ends to be told.
    pub ends: Vec<AttemptEnd>,
    /// The upstream's state, if it changed.
    pub state: Option<UpstreamState>,
    /// On the first report of a link: what is held for the entry.
    pub held: Option<Vec<TaskRef>>,
    /// Number of the entry's last frame that is accounted for.
    pub orders_seen: u64,
}

#[derive(Debug, Default)]
pub(super) struct Links {
    owners: BTreeMap<Incarnation, Owner>,
    by_link: BTreeMap<LinkId, Incarnation>,
    /// Entries whose work is to be stopped although they were heard of.
    replaced: Vec<Incarnation>,
    /// Counts changes of the state.
    state_version: u64,
}

#[derive(Debug)]
struct Owner {
    link: Option<LinkId>,
    /// Its work is stopped when it is not heard of before.
    fresh_until: Instant,
    /// Whether its work has been stopped for silence.
    is_silent: bool,
    outbox: Vec<AttemptEnd>,
    /// Ends that were sent, for the case that the link breaks.
    kept: VecDeque<(Instant, AttemptEnd)>,
    orders_seen: u64,
    told_version: u64,
    told_at: Option<Instant>,
    /// Whether the next report is the first on its link.
    is_new: bool,
}

impl Links {
    pub(super) fn owner(&self, link: LinkId) -> Option<Incarnation> {
        self.by_link.get(&link).copied()
    }

    /// Returns whether an entry was heard of lately.
    pub(super) fn is_fresh(&self, now: Instant, owner: Incarnation) -> bool {
        let owner = self.owners.get(&owner);
        owner.is_some_and(|owner| owner.fresh_until >= now)
    }

    pub(super) fn state_changed(&mut self) {
        self.state_version += 1;
    }

    pub(super) fn ended(&mut self, now: Instant, owner: Incarnation, ended: AttemptEnd) {
        let Some(owner) = self.owners.get_mut(&owner) else {
            return;
        };
        owner.kept.push_back((now, ended.clone()));
        while owner.kept.len() > MAX_KEPT_ENDS {
            owner.kept.pop_front();
        }
        owner.outbox.push(ended);
    }

    /// Returns the entries that have just been silent for too long.
    pub(super) fn take_silent(&mut self, now: Instant) -> Vec<Incarnation> {
        let mut silent = std::mem::take(&mut self.replaced);
        for (&id, owner) in &mut self.owners {
            if owner.fresh_until < now && !owner.is_silent {
                owner.is_silent = true;
                silent.push(id);
            }
        }
        let is_kept = |owner: &Owner| owner.link.is_some() || owner.fresh_until + KEEP_ENDS > now;
        self.owners.retain(|_, owner| is_kept(owner));
        silent
    }
}

impl Supervisor {
    /// Takes the first frame of an entry on a new link, which answers a greeting sent at `greeted`.
    ///
    /// `replaced` is the life of the entry that served at that address before.
    pub fn linked(
        &mut self,
        now: Instant,
        link: LinkId,
        entry: Incarnation,
        replaced: Option<Incarnation>,
        hello_sent: Instant,
    ) {
        // What was ordered before a silence is over, although the entry is heard of again.
        self.stop_silent_owners(now);
        if let Some(replaced) = replaced.filter(|&replaced| replaced != entry) {
            self.links.replaced.push(replaced);
        }
        let owner = self.links.owners.entry(entry).or_insert_with(|| Owner {
            link: None,
            fresh_until: now,
            is_silent: false,
            outbox: Vec::new(),
            kept: VecDeque::new(),
            orders_seen: 0,
            told_version: 0,
            told_at: None,
            is_new: true,
        });
        if let Some(old) = owner.link.replace(link) {
            self.links.by_link.remove(&old);
        }
        owner.fresh_until = hello_sent + self.policy.owner_timeout;
        owner.is_silent = owner.fresh_until < now;
        owner.orders_seen = 0;
        owner.told_version = 0;
        owner.told_at = None;
        owner.is_new = true;
        owner.outbox = owner.kept.iter().map(|(_, ended)| ended.clone()).collect();
        self.links.by_link.insert(link, entry);
        self.links.state_changed();
    }

    /// Takes the end of a link. What runs for its entry goes on for as long as the entry's last sign
    /// of life allows, so that the entry may link again.
    pub fn unlinked(&mut self, link: LinkId) {
        let Some(entry) = self.links.by_link.remove(&link) else {
            return;
        };
        if let Some(owner) = self.links.owners.get_mut(&entry) {
            owner.link = None;
        }
        self.links.state_changed();
    }

    /// Takes the number of a frame, and the time of the report that the entry had last received.
    pub fn frame_received(&mut self, now: Instant, link: LinkId, seq: u64, echoed: Instant) {
        self.stop_silent_owners(now);
        let silence = self.policy.owner_timeout;
        let Some(owner) = self.links.owner(link) else {
            return;
        };
        let Some(owner) = self.links.owners.get_mut(&owner) else {
            return;
        };
        owner.orders_seen = seq;
        owner.fresh_until = owner.fresh_until.max(echoed + silence);
        owner.is_silent = owner.fresh_until < now;
    }

    /// Returns what is to be sent now.
    pub fn take_reports(&mut self, now: Instant) -> Vec<Report> {
        let state = self.state(now);
        let version = self.links.state_version;
        let state_pause = self.state_pause();
        let mut reports = Vec::new();
        for (&id, owner) in &mut self.links.owners {
            let Some(link) = owner.link else {
                continue;
            };
            while owner
                .kept
                .front()
                .is_some_and(|(at, _)| *at + KEEP_ENDS < now)
            {
                owner.kept.pop_front();
            }
            let silence = owner.told_at.map(|at| now.saturating_duration_since(at));
            let holds = self.orders.values().any(|order| order.owner == id);
            let ping = match holds {
                true => self.policy.busy_ping_interval,
                false => self.policy.idle_ping_interval,
            };
            let has_news = owner.told_version < version;
            let is_due = match silence {
                None => true,
                Some(_) if !owner.outbox.is_empty() => true,
                Some(silence) if has_news => silence >= state_pause,
                Some(silence) => silence >= ping,
            };
            if !is_due {
                continue;
            }
            owner.told_at = Some(now);
            owner.told_version = version;
            let held = std::mem::take(&mut owner.is_new).then(|| {
                let owned = self.orders.values().filter(|order| order.owner == id);
                owned.map(|order| order.order.task.clone()).collect()
            });
            reports.push(Report {
                link,
                ends: std::mem::take(&mut owner.outbox),
                state: (has_news || held.is_some())
                    .then(|| state.clone())
                    .flatten(),
                held,
                orders_seen: owner.orders_seen,
            });
        }
        reports
    }

    /// Returns the shortest time between reports of nothing but a changed state to one entry.
    ///
    /// The load that this is for: each task changes the state a few times, and each change would be
    /// told to every entry, so that what an entry reads would grow with the tasks of all others.
    fn state_pause(&self) -> Duration {
        let entries = self.links.by_link.len() as u32;
        Duration::from_secs(1) * entries / self.policy.state_reports_per_s
    }

    /// Returns what entries are told of the upstream; `None` if there is none.
    pub fn state(&self, now: Instant) -> Option<UpstreamState> {
        let upstream = self.upstream.as_ref()?;
        let free = match self.health.run_limit(now) {
            // An upstream that is tried with one task offers no more room than that takes.
            Some(limit) if self.orders.len() >= limit => Default::default(),
            _ => self.free(),
        };
        Some(UpstreamState {
            is_usable: self.takes_work(now),
            service: upstream.said.service.clone(),
            instance: upstream.instance.clone(),
            capacity: upstream.capacity,
            free,
            labels: upstream.said.labels.clone(),
            waiting: self.waiting.len() as u32,
            pace: self.health.pace(),
            entries: self.links.by_link.len() as u32,
        })
    }
}
