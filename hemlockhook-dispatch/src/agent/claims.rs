//! Claims of entries to jobs, in the order of their arrival.
//!
//! The first claim to a job is granted. Claims are not released when their jobs end, but when another
//! entry claims the same job, which is rare: the first entry is then told, and releases it as soon as
//! nothing that it ordered runs. The claim of an entry that is silent ends when its runs have ended.
//!
//! A cancelled job is granted to no entry until its deadline has passed and all its runs have ended.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use crate::agent::{LinkId, Supervisor};
use crate::cancelled::CancelledJobs;
use crate::{Claim, ClaimAnswer, ClaimChange, ClaimStatus, Incarnation, JobId};

/// Interval at which claims whose time has passed are removed.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

#[derive(Debug, Default)]
pub(super) struct Claims {
    by_job: BTreeMap<JobId, Claimants>,
    /// Jobs that several entries claim.
    contested: BTreeSet<JobId>,
    cancelled: CancelledJobs,
    swept_at: Option<Instant>,
}

/// The claims to one job. The first one is granted.
#[derive(Debug)]
struct Claimants {
    /// In the order of their arrival.
    in_order: Vec<Claimant>,
    /// When the present first claim became contested.
    contested_at: Option<Instant>,
}

#[derive(Debug)]
struct Claimant {
    entry: Incarnation,
    /// Number of its claim.
    number: u64,
    expires: Instant,
}

impl Claims {
    /// Returns whether an entry has a claim that another one waits for.
    pub(super) fn is_contested(&self, entry: Incarnation) -> bool {
        let is_first = |job: &JobId| self.by_job[job].in_order[0].entry == entry;
        self.contested.iter().any(is_first)
    }

    fn remove(&mut self, entry: Incarnation, claim: &Claim) -> Option<usize> {
        let claims = self.by_job.get_mut(&claim.job)?;
        let is_removed = |known: &Claimant| known.entry == entry && known.number == claim.number;
        let index = claims.in_order.iter().position(is_removed)?;
        claims.in_order.remove(index);
        Some(index)
    }

    fn sweep(&mut self, now: Instant) {
        let is_recent = |at| now.saturating_duration_since(at) < SWEEP_INTERVAL;
        if self.swept_at.is_some_and(is_recent) {
            return;
        }
        self.swept_at = Some(now);
        self.cancelled.sweep(now);
        let contested = &self.contested;
        self.by_job
            .retain(|job, claims| contested.contains(job) || claims.in_order[0].expires > now);
    }
}

impl Supervisor {
    /// Handles a change of a claim of the entry on a link.
    pub fn claim_changed(&mut self, now: Instant, link: LinkId, claim: Claim) {
        let Some(entry) = self.links.owner(link) else {
            return;
        };
        match claim.change {
            ClaimChange::Made { hold } => {
                self.claimed(now, entry, &claim, now + hold);
            }
            ClaimChange::Cancelled { hold } => {
                self.job_cancelled(now, entry, &claim.job, now + hold)
            }
            ClaimChange::Released => {
                if self.claims.remove(entry, &claim) == Some(0) {
                    self.first_claim_ended(now, &claim.job);
                }
                self.claims_changed(now, &claim.job);
            }
        }
    }

    fn claimed(&mut self, now: Instant, entry: Incarnation, claim: &Claim, expires: Instant) {
        let Claim { job, number, .. } = claim;
        if self.claims.cancelled.contains(now, job) {
            return self.answer_claim(entry, job, *number, ClaimStatus::Cancelled);
        }
        let claims = self.claims.by_job.entry(job.clone()).or_insert(Claimants {
            in_order: Vec::new(),
            contested_at: None,
        });
        let known = claims
            .in_order
            .iter()
            .position(|known| known.entry == entry);
        let index = known.unwrap_or_else(|| {
            claims.in_order.push(Claimant {
                entry,
                number: *number,
                expires,
            });
            claims.in_order.len() - 1
        });
        let claimant = &mut claims.in_order[index];
        let is_renewed = claimant.number < *number;
        claimant.number = *number;
        claimant.expires = expires;
        if index == 0 && is_renewed {
            // The entry knows only of its former claim that another one waits for its end.
            claims.contested_at = None;
        }
        let status = match index {
            0 => ClaimStatus::Granted,
            _ => ClaimStatus::Waiting,
        };
        self.answer_claim(entry, job, *number, status);
        self.claims_changed(now, job);
    }

    /// Keeps a job from being claimed until the given time, and tells the entries that claim it, other than
    /// the one that cancelled it. If too many jobs are cancelled, the claims stay as they are.
    fn job_cancelled(&mut self, now: Instant, by: Incarnation, job: &JobId, until: Instant) {
        if !self.claims.cancelled.insert(now, job, until) {
            return;
        }
        self.claims.contested.remove(job);
        let claims = self.claims.by_job.remove(job);
        for claimant in claims.into_iter().flat_map(|claims| claims.in_order) {
            if claimant.entry != by {
                let Claimant { entry, number, .. } = claimant;
                self.answer_claim(entry, job, number, ClaimStatus::Cancelled);
            }
        }
    }

    /// Tells the first entry that claims a job if another one has begun to wait for it.
    fn claims_changed(&mut self, now: Instant, job: &JobId) {
        let Some(claims) = self.claims.by_job.get_mut(job) else {
            return;
        };
        match claims.in_order.len() {
            0 => {
                self.claims.by_job.remove(job);
                self.claims.contested.remove(job);
            }
            1 => {
                claims.contested_at = None;
                self.claims.contested.remove(job);
            }
            _ if claims.contested_at.is_none() => {
                claims.contested_at = Some(now);
                let Claimant { entry, number, .. } = claims.in_order[0];
                self.claims.contested.insert(job.clone());
                self.answer_claim(entry, job, number, ClaimStatus::Contested);
            }
            _ => {}
        }
    }

    /// Tells an entry on a new link which of its claims others wait for: what was told, and what the entry
    /// released, may have been lost with the last link.
    pub(super) fn repeat_contested_claims(&mut self, entry: Incarnation) {
        let claims = &self.claims;
        let contested = claims.contested.iter().filter_map(|job| {
            let first = &claims.by_job[job].in_order[0];
            (first.entry == entry).then(|| (job.clone(), first.number))
        });
        for (job, number) in contested.collect::<Vec<_>>() {
            self.answer_claim(entry, &job, number, ClaimStatus::Contested);
        }
    }

    /// Grants the next claim to a job.
    fn first_claim_ended(&mut self, now: Instant, job: &JobId) {
        let Some(claims) = self.claims.by_job.get_mut(job) else {
            return;
        };
        claims.contested_at = None;
        if let Some(&Claimant { entry, number, .. }) = claims.in_order.first() {
            self.answer_claim(entry, job, number, ClaimStatus::Granted);
        }
        self.claims_changed(now, job);
    }

    /// Ends the first claims to contested jobs whose time has passed, or whose entries have been silent
    /// for so long that their runs have ended.
    pub(super) fn settle_claims(&mut self, now: Instant) {
        self.claims.sweep(now);
        let jobs: Vec<_> = self.claims.contested.iter().cloned().collect();
        for job in jobs {
            let claims = &self.claims.by_job[&job];
            let first = &claims.in_order[0];
            let contested_at = claims.contested_at.unwrap_or(now);
            let has_expired = first.expires <= now;
            if !has_expired && !self.is_owner_lost(now, first.entry, contested_at) {
                continue;
            }
            let claims = self
                .claims
                .by_job
                .get_mut(&job)
                .expect("it was found above");
            let first = claims.in_order.remove(0);
            let Claimant { entry, number, .. } = first;
            // An entry without a link claims its jobs again on the next one.
            if !has_expired && self.links.is_linked(entry) {
                claims.in_order.push(first);
                self.answer_claim(entry, &job, number, ClaimStatus::Waiting);
            }
            self.first_claim_ended(now, &job);
        }
    }

    fn is_owner_lost(&self, now: Instant, entry: Incarnation, contested_at: Instant) -> bool {
        let policy = &self.policy;
        self.links
            .lost_at(
                entry,
                contested_at,
                policy.owner_timeout,
                policy.owner_lost_after,
            )
            .is_none_or(|at| at <= now)
    }

    fn answer_claim(&mut self, entry: Incarnation, job: &JobId, number: u64, status: ClaimStatus) {
        let job = job.clone();
        let answer = ClaimAnswer {
            job,
            number,
            status,
        };
        self.links.claim_answered(entry, answer);
    }
}
