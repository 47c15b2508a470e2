//! Drains and graceful stops: refuses new tasks, finishes running ones, hands over the start
//! markers and records the departure in the log.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use hemlockhook_ownership::{Custody, Record};
use hemlockhook_proto::v1;
use hemlockhook_types::{Incarnation, ShardId, TaskOutcome};

use super::{Action, Engine, LinkId, TaskId};

/// Time for entries to return their grants, and for owners that are not linked to connect and fetch
/// their results.
const ENTRY_TIMEOUT: Duration = Duration::from_secs(3);

/// Time for another agent to adopt this agent's records.
const HANDOVER_TIMEOUT: Duration = Duration::from_secs(3);

/// Delay before the next entry is asked to find an agent that adopts the records.
const HANDOVER_RETRY_INTERVAL: Duration = Duration::from_millis(700);

/// Time for the departure record to be appended.
const DEPARTURE_TIMEOUT: Duration = Duration::from_secs(2);

/// Delay before a failed append of the departure record is retried.
const DEPARTURE_RETRY_DELAY: Duration = Duration::from_millis(200);

/// State of a drain or a stop.
#[derive(Debug, Default)]
pub(super) struct Leaving {
    /// Set by an operator's drain, and reset when the drain is undone.
    drained: bool,
    stop_phase: StopPhase,
    /// The agent that adopted this agent's records.
    custodian: Option<Incarnation>,
    /// Shards with results that could not be sent because the owner was not linked.
    undelivered: BTreeSet<ShardId>,
}

/// Phase of a graceful stop.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum StopPhase {
    #[default]
    NotStopping,
    /// Waits for running tasks to end.
    FinishingTasks { until: Instant },
    /// Waits for entries to return grants and fetch results.
    AwaitingEntries { until: Instant },
    /// Waits for another agent to adopt this agent's records.
    HandingOver {
        until: Instant,
        requested_at: Instant,
    },
    /// Appends the departure record, at `due` at the earliest, and gives up at `until`.
    RecordingDeparture {
        due: Instant,
        until: Instant,
        in_flight: bool,
    },
    /// The stop is complete.
    Done { exit_requested: bool },
}

impl Leaving {
    pub(super) fn is_leaving(&self) -> bool {
        self.drained || self.is_stopping()
    }

    pub(super) fn is_stopping(&self) -> bool {
        self.stop_phase != StopPhase::NotStopping
    }

    pub(super) fn next_wakeup(&self) -> Option<Instant> {
        match self.stop_phase {
            StopPhase::NotStopping | StopPhase::Done { .. } => None,
            StopPhase::FinishingTasks { until } | StopPhase::AwaitingEntries { until } => {
                Some(until)
            }
            StopPhase::HandingOver {
                until,
                requested_at,
            } => Some(until.min(requested_at + HANDOVER_RETRY_INTERVAL)),
            StopPhase::RecordingDeparture {
                until,
                in_flight: true,
                ..
            } => Some(until),
            StopPhase::RecordingDeparture { due, until, .. } => Some(due.min(until)),
        }
    }

    /// Records that a shard has a result which its owner has not received.
    pub(super) fn add_undelivered(&mut self, shard: ShardId) {
        self.undelivered.insert(shard);
    }

    /// Records that a shard's results were reported to its owner.
    pub(super) fn clear_undelivered(&mut self, shard: ShardId) {
        self.undelivered.remove(&shard);
    }

    /// Handles the result of an append. Returns false if the append was not that of the departure
    /// record.
    pub(super) fn on_append_result(&mut self, now: Instant, is_appended: bool) -> bool {
        match &mut self.stop_phase {
            StopPhase::RecordingDeparture {
                in_flight: true, ..
            } if is_appended => {
                self.stop_phase = StopPhase::Done {
                    exit_requested: false,
                }
            }
            StopPhase::RecordingDeparture { due, in_flight, .. } if *in_flight => {
                *due = now + DEPARTURE_RETRY_DELAY;
                *in_flight = false;
            }
            _ => return false,
        }
        true
    }
}

impl Engine {
    /// Begins a graceful stop, which ends with [`Action::Exit`] and cannot be undone.
    pub(super) fn on_stop(&mut self, now: Instant) {
        if self.leaving.is_stopping() {
            return;
        }
        self.leaving.stop_phase = StopPhase::FinishingTasks {
            until: now + self.cfg.drain_timeout,
        };
        self.notify_leaving(now);
    }

    /// Handles an operator's request to drain the upstream or to undo the drain.
    pub(super) fn on_drain(&mut self, now: Instant, leaving: bool) {
        if self.leaving.drained == leaving {
            return;
        }
        self.leaving.drained = leaving;
        self.notify_leaving(now);
    }

    fn notify_leaving(&mut self, now: Instant) {
        let leaving = self.leaving.is_leaving();
        self.gate.set_leaving(leaving);
        self.slots.set_leaving(now, leaving);
        for link in self.links.values_mut() {
            link.set_leaving(leaving);
            match self.slots.outstanding_grants(link.entry) {
                held if leaving && held > 0 => link.add_recall(held),
                _ => {}
            }
        }
    }

    /// Enters the next phase of a stop once the current one is complete or has timed out.
    pub(super) fn advance_stop(&mut self, now: Instant) {
        loop {
            let previous = self.leaving.stop_phase;
            self.leaving.stop_phase = self.next_phase(now, previous);
            if self.leaving.stop_phase == previous {
                return;
            }
        }
    }

    fn next_phase(&mut self, now: Instant, phase: StopPhase) -> StopPhase {
        let is_complete = self.outstanding_grants() == 0 && self.leaving.undelivered.is_empty();
        match phase {
            StopPhase::FinishingTasks { until } if self.tasks.is_empty() || now >= until => {
                self.fail_running_tasks(now);
                StopPhase::AwaitingEntries {
                    until: now + ENTRY_TIMEOUT,
                }
            }
            StopPhase::AwaitingEntries { until } if is_complete || now >= until => {
                self.request_adoption(0);
                StopPhase::HandingOver {
                    until: now + HANDOVER_TIMEOUT,
                    requested_at: now,
                }
            }
            StopPhase::HandingOver { until, .. }
                if self.leaving.custodian.is_some() || self.links.is_empty() || now >= until =>
            {
                StopPhase::RecordingDeparture {
                    due: now,
                    until: now + DEPARTURE_TIMEOUT,
                    in_flight: false,
                }
            }
            StopPhase::HandingOver {
                until,
                requested_at,
            } if now >= requested_at + HANDOVER_RETRY_INTERVAL => {
                let waited = HANDOVER_TIMEOUT.saturating_sub(until - now);
                let attempt = waited.as_millis() / HANDOVER_RETRY_INTERVAL.as_millis();
                self.request_adoption(attempt as usize);
                StopPhase::HandingOver {
                    until,
                    requested_at: now,
                }
            }
            StopPhase::RecordingDeparture { until, .. } if now >= until => StopPhase::Done {
                exit_requested: false,
            },
            StopPhase::RecordingDeparture {
                due,
                until,
                in_flight: false,
            } if now >= due && self.announcer.is_idle() => {
                self.append_record(&Record::Left {
                    incarnation: self.cfg.incarnation,
                    custodian: self.leaving.custodian,
                });
                StopPhase::RecordingDeparture {
                    due,
                    until,
                    in_flight: true,
                }
            }
            StopPhase::Done {
                exit_requested: false,
            } => {
                self.flush_links();
                self.actions.push(Action::Exit);
                StopPhase::Done {
                    exit_requested: true,
                }
            }
            _ => phase,
        }
    }

    /// Asks a linked entry, a different one with each attempt, to find an agent that adopts this
    /// agent's records.
    fn request_adoption(&mut self, attempt: usize) {
        let Some(custody) = self.gate.seal() else {
            return;
        };
        let mut links: Vec<LinkId> = self.links.keys().copied().collect();
        links.sort_unstable();
        let link = links.get(attempt % links.len().max(1)).copied();
        if let Some(link) = link.and_then(|id| self.links.get_mut(&id)) {
            link.add_custody(custody.into());
        }
    }

    /// Handles the confirmation that another agent adopted this agent's records.
    pub(super) fn on_custodian(&mut self, _now: Instant, custodian: Incarnation) {
        let is_handing_over = matches!(self.leaving.stop_phase, StopPhase::HandingOver { .. });
        if is_handing_over && custodian != self.cfg.incarnation {
            self.leaving.custodian = Some(custodian);
        }
    }

    /// Adopts the records of a leaving agent and confirms it.
    pub(super) fn on_custody(&mut self, now: Instant, link: LinkId, custody: v1::Custody) {
        let custody = Custody::from(custody);
        let Some(leaving_agent) = custody.agents.first().copied() else {
            return;
        };
        if leaving_agent == self.cfg.incarnation || self.gate.adopt(now, &custody).is_err() {
            return;
        }
        if let Some(link) = self.links.get_mut(&link) {
            link.confirm_adoption(leaving_agent);
        }
    }

    /// Fails the tasks that are still running when the time for them to end is up.
    fn fail_running_tasks(&mut self, now: Instant) {
        let running: Vec<TaskId> = self.tasks.keys().collect();
        for task in running {
            let outcome = TaskOutcome::Failed("the agent stopped before the task ended".to_owned());
            self.stop_task(now, task, outcome);
        }
    }
}
