//! Orders of entries and their progress.

use std::sync::Arc;
use std::time::{Duration, Instant};

use strum::IntoStaticStr;

use crate::agent::{DescriptionNumber, TaskKind};
use crate::{Amounts, Incarnation, RunNumber, TaskRef};

/// An entry's order to run a task.
#[derive(Clone, Debug)]
pub struct RunOrder {
    /// Task to run, with the number of the attempt.
    pub task: TaskRef,
    /// Description of the upstream that the order was placed for; `None` if the entry names none.
    pub description: Option<DescriptionNumber>,
    /// Payload of the job.
    pub payload: Arc<str>,
    /// Resources that the task requires.
    pub need: Amounts,
    /// Expected run time on an upstream of pace 1.
    pub expected: Duration,
    /// Class of the work; lower classes start first.
    pub class: u32,
    /// Time until the order is due, in milliseconds; negative if it is late.
    pub due_ms: i32,
    /// Maximum time that the order may wait for capacity.
    pub wait: Duration,
    /// Kind of the task; 0 if unknown.
    pub kind: TaskKind,
}

/// Reason for which a run is stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum StopCause {
    /// The entry cancelled the attempt.
    Cancelled,
    /// The entry has exceeded the owner timeout.
    OwnerSilent,
    /// The upstream did not answer the start call.
    #[strum(serialize = "unknown")]
    StartUnanswered,
    /// The upstream restarted under the same name.
    #[strum(serialize = "reborn")]
    Restarted,
    /// The run made no progress.
    Stalled,
    /// The run has no order, such as one that an earlier incarnation of the agent started.
    Orphaned,
}

/// Phase of an order.
#[derive(Clone, Copy, Debug)]
pub enum Phase {
    /// The order waits for capacity.
    Waiting,
    /// The start call was made.
    Starting {
        /// Number of the run.
        run: RunNumber,
        /// When the call was made.
        sent: Instant,
    },
    /// The upstream confirmed that the task runs.
    Running {
        /// Number of the run.
        run: RunNumber,
        /// When the upstream confirmed the start.
        since: Instant,
        /// Progress, in percent.
        percent: u8,
        /// When `percent` last changed.
        progressed_at: Instant,
    },
    /// The stop call was made; the upstream has not listed the end yet.
    Stopping {
        /// Number of the run.
        run: RunNumber,
        /// Reason of the stop.
        cause: StopCause,
        /// When the upstream acknowledged the stop.
        acked: Option<Instant>,
        /// When the last stop call was made, or was due if none was.
        sent: Instant,
        /// Number of stop calls that were made.
        calls: u32,
        /// Whether the last one is in flight.
        is_called: bool,
    },
}

impl Phase {
    /// Returns the number of the run; `None` while the order waits.
    pub fn run(&self) -> Option<RunNumber> {
        match *self {
            Self::Waiting => None,
            Self::Starting { run, .. } | Self::Running { run, .. } | Self::Stopping { run, .. } => {
                Some(run)
            }
        }
    }
}

/// An order held by a supervisor.
#[derive(Clone, Debug)]
pub struct Order {
    /// Incarnation of the entry that gave the order.
    pub owner: Incarnation,
    /// The order as received.
    pub order: RunOrder,
    /// When the order is due.
    pub due: Instant,
    /// When the order is returned if it still waits.
    pub expires: Instant,
    /// Current phase.
    pub phase: Phase,
    /// When the task was first known to run.
    pub started_at: Option<Instant>,
    /// Whether another life of the upstream, which can no longer be asked, may have run the task.
    pub may_have_run: bool,
    /// Time from `started_at` to the end of the run.
    pub run_time: Duration,
    /// Number of retried starts.
    pub retries: u32,
    /// Whether the attempt was already reported as lost to the entry.
    pub is_lost_reported: bool,
}

impl Order {
    pub(super) fn new(now: Instant, owner: Incarnation, order: RunOrder, due: Instant) -> Self {
        let expires = now + order.wait;
        Self {
            owner,
            order,
            due,
            expires,
            phase: Phase::Waiting,
            started_at: None,
            may_have_run: false,
            run_time: Duration::ZERO,
            retries: 0,
            is_lost_reported: false,
        }
    }

    /// Returns whether a start call is in flight.
    pub(super) fn is_starting(&self) -> bool {
        matches!(self.phase, Phase::Starting { .. })
    }

    /// Returns whether a stop call is in flight.
    pub(super) fn is_stop_called(&self) -> bool {
        matches!(self.phase, Phase::Stopping { is_called, .. } if is_called)
    }

    /// Returns whether the order takes room at the upstream.
    pub(super) fn holds_room(&self) -> bool {
        self.phase.run().is_some()
    }

    /// Returns whether a start was called that the upstream has not answered or listed.
    pub(super) fn is_unanswered(&self) -> bool {
        self.holds_room() && self.started_at.is_none()
    }

    /// Records that the upstream lists the run as active.
    pub(super) fn observed_running(&mut self, now: Instant, seen: u8) {
        self.started_at.get_or_insert(now);
        match &mut self.phase {
            Phase::Running {
                percent,
                progressed_at,
                ..
            } if *percent != seen => {
                *percent = seen;
                *progressed_at = now;
            }
            &mut Phase::Starting { run, .. } => {
                self.phase = Phase::Running {
                    run,
                    since: now,
                    percent: seen,
                    progressed_at: now,
                };
            }
            _ => {}
        }
    }
}
