//! Leaving: refusing new work, finishing what runs, and saying so in the log.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use hemlockhook_ownership::{Custody, Record};
use hemlockhook_proto::v1;
use hemlockhook_types::{Incarnation, ShardId, TaskOutcome};

use super::{Action, Engine, LinkId, TaskId};

/// Time for entries to hand back their grants, and for owners that are not linked to come and
/// fetch their results.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(3);

/// Time for another agent to adopt what this one holds.
const HAND_OVER_TIMEOUT: Duration = Duration::from_secs(3);

/// Wait before another entry is asked to find an agent that adopts.
const HAND_OVER_RETRY: Duration = Duration::from_millis(700);

/// Time for the record of the departure to be appended.
const FAREWELL_TIMEOUT: Duration = Duration::from_secs(2);

/// Wait after a failed append of the record of the departure.
const FAREWELL_RETRY: Duration = Duration::from_millis(200);

/// Whether and how far the agent is leaving.
#[derive(Debug, Default)]
pub(super) struct Leaving {
    /// Asked for by an operator; can be taken back.
    drained: bool,
    stopping: Stopping,
    /// The agent that adopted what this one held.
    custodian: Option<Incarnation>,
    /// Shards with results whose owner was not linked when they came.
    owed: BTreeSet<ShardId>,
}

/// How far a stop has come.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Stopping {
    #[default]
    No,
    /// Running tasks may end until then.
    Finishing { until: Instant },
    /// Entries may hand back grants and fetch results until then.
    Settling { until: Instant },
    /// An agent that stays may adopt what this one holds until then.
    HandingOver { until: Instant, asked: Instant },
    /// The record of the departure is appended from `due` on, and given up at `until`.
    Farewell {
        due: Instant,
        until: Instant,
        in_flight: bool,
    },
    /// Nothing is left to do.
    Done { told: bool },
}

impl Leaving {
    pub(super) fn is_leaving(&self) -> bool {
        self.drained || self.is_stopping()
    }

    pub(super) fn is_stopping(&self) -> bool {
        self.stopping != Stopping::No
    }

    pub(super) fn next_wakeup(&self) -> Option<Instant> {
        match self.stopping {
            Stopping::No | Stopping::Done { .. } => None,
            Stopping::Finishing { until } | Stopping::Settling { until } => Some(until),
            Stopping::HandingOver { until, asked } => Some(until.min(asked + HAND_OVER_RETRY)),
            Stopping::Farewell {
                until,
                in_flight: true,
                ..
            } => Some(until),
            Stopping::Farewell { due, until, .. } => Some(due.min(until)),
        }
    }

    /// Notes that a shard's owner has yet to come for a result.
    pub(super) fn owe(&mut self, shard: ShardId) {
        self.owed.insert(shard);
    }

    /// Notes that a shard's results have been reported.
    pub(super) fn settle(&mut self, shard: ShardId) {
        self.owed.remove(&shard);
    }

    /// Takes the end of an append. Returns false if it was not that of the departure.
    pub(super) fn on_append_ended(&mut self, now: Instant, is_appended: bool) -> bool {
        match &mut self.stopping {
            Stopping::Farewell {
                in_flight: true, ..
            } if is_appended => self.stopping = Stopping::Done { told: false },
            Stopping::Farewell { due, in_flight, .. } if *in_flight => {
                *due = now + FAREWELL_RETRY;
                *in_flight = false;
            }
            _ => return false,
        }
        true
    }
}

impl Engine {
    /// Stops for good: the process ends when everything is settled.
    pub(super) fn on_stop(&mut self, now: Instant) {
        if self.leaving.is_stopping() {
            return;
        }
        self.leaving.stopping = Stopping::Finishing {
            until: now + self.cfg.drain_timeout,
        };
        self.tell_leaving(now);
    }

    /// Takes an operator's wish to drain the upstream, or to take it back into use.
    pub(super) fn on_drain(&mut self, now: Instant, leaving: bool) {
        if self.leaving.drained == leaving {
            return;
        }
        self.leaving.drained = leaving;
        self.tell_leaving(now);
    }

    fn tell_leaving(&mut self, now: Instant) {
        let leaving = self.leaving.is_leaving();
        self.gate.set_leaving(leaving);
        self.slots.set_leaving(now, leaving);
        for link in self.links.values_mut() {
            link.tell_leaving(leaving);
            match self.slots.outstanding_grants(link.entry) {
                held if leaving && held > 0 => link.recall(held),
                _ => {}
            }
        }
    }

    /// Takes the next step of a stop once the one before is done or has run out of time.
    pub(super) fn progress_leaving(&mut self, now: Instant) {
        loop {
            let before = self.leaving.stopping;
            self.leaving.stopping = self.next_step(now, before);
            if self.leaving.stopping == before {
                return;
            }
        }
    }

    fn next_step(&mut self, now: Instant, step: Stopping) -> Stopping {
        let is_settled = self.granted() == 0 && self.leaving.owed.is_empty();
        match step {
            Stopping::Finishing { until } if self.tasks.is_empty() || now >= until => {
                self.abandon_tasks(now);
                Stopping::Settling {
                    until: now + SETTLE_TIMEOUT,
                }
            }
            Stopping::Settling { until } if is_settled || now >= until => {
                self.hand_over(0);
                Stopping::HandingOver {
                    until: now + HAND_OVER_TIMEOUT,
                    asked: now,
                }
            }
            Stopping::HandingOver { until, .. }
                if self.leaving.custodian.is_some() || self.links.is_empty() || now >= until =>
            {
                Stopping::Farewell {
                    due: now,
                    until: now + FAREWELL_TIMEOUT,
                    in_flight: false,
                }
            }
            Stopping::HandingOver { until, asked } if now >= asked + HAND_OVER_RETRY => {
                let waited = HAND_OVER_TIMEOUT.saturating_sub(until - now);
                let tries = waited.as_millis() / HAND_OVER_RETRY.as_millis();
                self.hand_over(tries as usize);
                Stopping::HandingOver { until, asked: now }
            }
            Stopping::Farewell { until, .. } if now >= until => Stopping::Done { told: false },
            Stopping::Farewell {
                due,
                until,
                in_flight: false,
            } if now >= due && self.announcer.is_idle() => {
                self.append(&Record::Left {
                    incarnation: self.cfg.incarnation,
                    custodian: self.leaving.custodian,
                });
                Stopping::Farewell {
                    due,
                    until,
                    in_flight: true,
                }
            }
            Stopping::Done { told: false } => {
                self.flush_links();
                self.actions.push(Action::Exit);
                Stopping::Done { told: true }
            }
            _ => step,
        }
    }

    /// Asks one of the linked entries, another one with each try, to find an agent that adopts what
    /// this one holds.
    fn hand_over(&mut self, tries: usize) {
        let Some(custody) = self.gate.seal() else {
            return;
        };
        let mut links: Vec<LinkId> = self.links.keys().copied().collect();
        links.sort_unstable();
        let link = links.get(tries % links.len().max(1)).copied();
        if let Some(link) = link.and_then(|id| self.links.get_mut(&id)) {
            link.hand_over(custody.into());
        }
    }

    /// Takes in that another agent adopted what this one held.
    pub(super) fn on_custodian(&mut self, _now: Instant, custodian: Incarnation) {
        let is_handing_over = matches!(self.leaving.stopping, Stopping::HandingOver { .. });
        if is_handing_over && custodian != self.cfg.incarnation {
            self.leaving.custodian = Some(custodian);
        }
    }

    /// Adopts what a leaving agent held.
    pub(super) fn on_custody(&mut self, now: Instant, link: LinkId, custody: v1::Custody) {
        let custody = Custody::from(custody);
        let Some(leaver) = custody.agents.first().copied() else {
            return;
        };
        if leaver == self.cfg.incarnation || self.gate.adopt(now, &custody).is_err() {
            return;
        }
        if let Some(link) = self.links.get_mut(&link) {
            link.adopted(leaver);
        }
    }

    /// Ends tasks that outlived the time given to a graceful stop.
    fn abandon_tasks(&mut self, now: Instant) {
        let running: Vec<TaskId> = self.tasks.keys().collect();
        for task in running {
            let outcome = TaskOutcome::Failed("the agent stopped before the task ended".to_owned());
            self.stop_task(now, task, outcome);
        }
    }
}
