//! Links with entries: liveness and reports.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use crate::agent::{Supervisor, UpstreamState};
use crate::{AttemptEnd, Incarnation, TaskRef};

/// Identifies a link between an agent and an entry.
pub type LinkId = u64;

/// Time for which sent ends are kept, to be sent again on a new link.
const RESEND_WINDOW: Duration = Duration::from_secs(3);

/// Maximum number of sent ends kept for one entry.
const MAX_RESENT_ENDS: usize = 512;

/// A report to be sent on a link.
#[derive(Clone, Debug)]
pub struct Report {
    /// Link with the entry that receives the report.
    pub link: LinkId,
    /// Attempts that have ended since the last report, or that are sent again on a new link.
    pub ends: Vec<AttemptEnd>,
    /// State of the upstream, if it changed.
    pub state: Option<UpstreamState>,
    /// The attempts held for the entry; set in the first report of a link.
    pub held: Option<Vec<TaskRef>>,
    /// Sequence number of the entry's last frame that `state` accounts for.
    pub orders_seen: u64,
}

#[derive(Debug, Default)]
pub(super) struct Links {
    owners: BTreeMap<Incarnation, Owner>,
    by_link: BTreeMap<LinkId, Incarnation>,
    /// Entries that another incarnation has replaced, and whose runs have to be stopped.
    replaced: Vec<Incarnation>,
    /// Incremented with each change of the state.
    state_version: u64,
}

#[derive(Debug)]
struct Owner {
    link: Option<LinkId>,
    /// The entry's runs are stopped at this time unless a frame extends it.
    fresh_until: Instant,
    /// Whether its runs were stopped because it was silent.
    is_silent: bool,
    outbox: Vec<AttemptEnd>,
    /// Ends that were sent, in case the link breaks.
    sent_ends: VecDeque<(Instant, AttemptEnd)>,
    orders_seen: u64,
    reported_version: u64,
    reported_at: Option<Instant>,
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

impl Supervisor {
    /// Handles the first frame of an entry on a new link, which answers a hello sent at
    /// `hello_sent`.
    ///
    /// `replaced` is the entry incarnation that served at that address before.
    pub fn linked(
        &mut self,
        now: Instant,
        link: LinkId,
        entry: Incarnation,
        replaced: Option<Incarnation>,
        hello_sent: Instant,
    ) {
        // Orders from before a timeout end, even if the entry links again.
        self.stop_silent_owners(now);
        if let Some(replaced) = replaced.filter(|&replaced| replaced != entry) {
            self.links.replaced.push(replaced);
        }
        let owner = self.links.owners.entry(entry).or_insert_with(|| Owner {
            link: None,
            fresh_until: now,
            is_silent: false,
            outbox: Vec::new(),
            sent_ends: VecDeque::new(),
            orders_seen: 0,
            reported_version: 0,
            reported_at: None,
            is_new: true,
        });
        if let Some(old) = owner.link.replace(link) {
            self.links.by_link.remove(&old);
        }
        owner.fresh_until = hello_sent + self.policy.owner_timeout;
        owner.is_silent = owner.fresh_until < now;
        owner.orders_seen = 0;
        owner.reported_version = 0;
        owner.reported_at = None;
        owner.is_new = true;
        owner.outbox = owner
            .sent_ends
            .iter()
            .map(|(_, ended)| ended.clone())
            .collect();
        self.links.by_link.insert(link, entry);
        self.links.state_changed();
    }

    /// Handles the end of a link. The entry's runs continue until its timeout, so that it can link
    /// again.
    pub fn unlinked(&mut self, link: LinkId) {
        let Some(entry) = self.links.by_link.remove(&link) else {
            return;
        };
        if let Some(owner) = self.links.owners.get_mut(&entry) {
            owner.link = None;
        }
        self.links.state_changed();
    }

    /// Handles the sequence number of a frame, and the time at which the last report that the entry
    /// had received was sent.
    pub fn frame_received(&mut self, now: Instant, link: LinkId, seq: u64, echoed: Instant) {
        self.stop_silent_owners(now);
        let timeout = self.policy.owner_timeout;
        let Some(owner) = self.links.owner(link) else {
            return;
        };
        let Some(owner) = self.links.owners.get_mut(&owner) else {
            return;
        };
        owner.orders_seen = seq;
        owner.fresh_until = owner.fresh_until.max(echoed + timeout);
        owner.is_silent = owner.fresh_until < now;
    }

    /// Returns the reports that are due.
    pub fn take_reports(&mut self, now: Instant) -> Vec<Report> {
        let state = self.state(now);
        let version = self.links.state_version;
        let state_report_interval = self.state_report_interval();
        let mut reports = Vec::new();
        for (&id, owner) in &mut self.links.owners {
            let Some(link) = owner.link else {
                continue;
            };
            while owner
                .sent_ends
                .front()
                .is_some_and(|(at, _)| *at + RESEND_WINDOW < now)
            {
                owner.sent_ends.pop_front();
            }
            let since_report = owner
                .reported_at
                .map(|at| now.saturating_duration_since(at));
            let holds_orders = self.orders.values().any(|order| order.owner == id);
            let ping_interval = match holds_orders {
                true => self.policy.busy_ping_interval,
                false => self.policy.idle_ping_interval,
            };
            let has_news = owner.reported_version < version;
            let is_due = match since_report {
                None => true,
                Some(_) if !owner.outbox.is_empty() => true,
                Some(since_report) if has_news => since_report >= state_report_interval,
                Some(since_report) => since_report >= ping_interval,
            };
            if !is_due {
                continue;
            }
            owner.reported_at = Some(now);
            owner.reported_version = version;
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

    /// Returns the minimum time between reports to one entry that carry only a changed state.
    ///
    /// Each task changes the state a few times. If every change were reported to every entry, the
    /// frames that an entry reads would grow with the tasks of all other entries.
    fn state_report_interval(&self) -> Duration {
        let entries = self.links.by_link.len() as u32;
        Duration::from_secs(1) * entries / self.policy.state_reports_per_s
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
            service: upstream.announcement.service.clone(),
            instance: upstream.instance.clone(),
            capacity: upstream.capacity,
            free,
            labels: upstream.announcement.labels.clone(),
            waiting: self.waiting.len() as u32,
            pace: self.health.pace(),
            entries: self.links.by_link.len() as u32,
        })
    }
}
