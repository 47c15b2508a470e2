//! Announcements of upstreams, and the replacement of the known one.

use std::time::{Duration, Instant};

use crate::agent::ended::AllEnded;
use crate::agent::upstream::{REPLACED_AFTER, Upstream};
use crate::agent::{Announcement, AnnouncementStatus, Health, Order, StopCause, Supervisor};

/// Time after which an upstream carries out no call that it left unanswered.
const LATE_CALL_LIMIT: Duration = Duration::from_secs(7);

impl Supervisor {
    /// Handles an announcement of an upstream.
    ///
    /// One of another instance or service may be a mistake of another writer. It is in force only
    /// once the known upstream is proved to be gone.
    pub fn announced(&mut self, now: Instant, announcement: Announcement) -> AnnouncementStatus {
        let Some(upstream) = &mut self.upstream else {
            return self.accept(now, announcement);
        };
        if upstream.is_corrected_by(&announcement) {
            return self.accept(now, announcement);
        }
        let is_same_service = upstream.announcement.service == announcement.service;
        if upstream.is_same_incarnation(&announcement) {
            if !is_same_service {
                return AnnouncementStatus::Foreign;
            }
            let had_labels = upstream.announcement.labels.clone();
            if upstream.refresh(now, announcement) {
                self.candidate = None;
            }
            if upstream.announcement.labels != had_labels {
                upstream.description = self.descriptions.add(&upstream.announcement);
                self.return_outdated(now);
            }
            self.links.state_changed();
            self.start_waiting(now);
            return AnnouncementStatus::Accepted;
        }
        if !upstream.is_replaced_by(now, &announcement) {
            return AnnouncementStatus::Outdated;
        }
        // The runs of an earlier incarnation of the same name are stopped, not given up.
        if is_same_service && upstream.instance == announcement.instance {
            return self.accept(now, announcement);
        }
        self.candidate = Some(announcement);
        if self.accept_candidate(now) {
            return AnnouncementStatus::Accepted;
        }
        self.hold(now, Duration::ZERO);
        AnnouncementStatus::Unverified
    }

    /// Reads the start time in lists that were requested at `sent`. Returns whether an announcement that
    /// has it took the place of the one in force.
    ///
    /// Another writer's announcement may have come first, without a start time or with a wrong one. The
    /// upstream answers for it, so that its own would never be accepted.
    pub(super) fn start_listed(&mut self, now: Instant, sent: Instant, started_ms: u64) -> bool {
        let Some(upstream) = &mut self.upstream else {
            return false;
        };
        // The answer to an earlier call may be that of the incarnation before.
        let is_late = sent < upstream.known_since || Some(sent) < upstream.replaced_at;
        if started_ms == 0 || is_late {
            return false;
        }
        upstream.listed_started_ms = started_ms;
        let candidate = self.candidate.as_ref();
        if !candidate.is_some_and(|candidate| upstream.is_corrected_by(candidate)) {
            return false;
        }
        if let Some(announcement) = self.candidate.take() {
            self.accept(now, announcement);
        }
        true
    }

    fn accept(&mut self, now: Instant, announcement: Announcement) -> AnnouncementStatus {
        self.replace_upstream(now, announcement);
        self.links.state_changed();
        self.start_waiting(now);
        AnnouncementStatus::Accepted
    }

    /// Switches to the upstream that announced itself, if nothing goes on at the known one. Returns
    /// whether it did.
    pub(super) fn accept_candidate(&mut self, now: Instant) -> bool {
        let Some(candidate) = &self.candidate else {
            return false;
        };
        if let Some(upstream) = &self.upstream {
            let is_same_service = upstream.announcement.service == candidate.service;
            // An upstream may count the lease of a start that it carries out late from then on.
            let awaits_start = self.orders.values().any(Order::is_unanswered)
                && self.policy.rules.waits_for_lease_ends;
            let is_gone = match (awaits_start, is_same_service) {
                _ if !upstream.is_silent() && upstream.replaced_at.is_none() => false,
                (true, _) => upstream.is_unannounced(now, LATE_CALL_LIMIT),
                (false, true) => true,
                (false, false) => upstream.is_unannounced(now, REPLACED_AFTER),
            };
            let ended = AllEnded::by_lease(now, upstream, &self.policy.rules);
            let Some(ended) = ended.filter(|_| is_gone) else {
                return false;
            };
            self.finish_all_as_lost(now, ended);
        }
        if let Some(announcement) = self.candidate.take() {
            self.accept(now, announcement);
        }
        true
    }

    /// Switches to another incarnation of the upstream. The orders that are left ran on one of the
    /// same name. It may have accepted calls that were meant for its predecessor.
    fn replace_upstream(&mut self, now: Instant, announcement: Announcement) {
        self.candidate = None;
        self.orphans.clear();
        self.ended_runs.clear();
        self.health = Health::new(self.policy.health.clone());
        // An incarnation with the same name must refuse late calls that were meant for the previous
        // one.
        self.raise_fence(now, 1);
        let old = self.upstream.as_ref().map(|old| old.instance.clone());
        let description = self.descriptions.add(&announcement);
        self.lives += 1;
        let numbers = (self.lives, description);
        let mut upstream = Upstream::new(now, announcement, numbers, &self.policy.rules);
        upstream.has_predecessor = old.is_some_and(|old| old == upstream.instance);
        self.upstream = Some(upstream);
        self.return_outdated(now);
        self.return_waiting(now);
        for key in self.orders.keys().collect::<Vec<_>>() {
            self.orders[key].may_have_run = true;
            self.stop(now, key, StopCause::Restarted);
        }
        self.hold(now, Duration::ZERO);
    }
}
