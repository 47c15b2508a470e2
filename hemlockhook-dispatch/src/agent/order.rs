//! Orders of entries and how far they are.

use std::sync::Arc;
use std::time::{Duration, Instant};

use strum::IntoStaticStr;

use crate::{Amounts, Incarnation, RunNumber, TaskRef};

/// An entry's order to run a task.
#[derive(Clone, Debug)]
pub struct RunOrder {
    /// The attempt.
    pub task: TaskRef,
    /// What the caller wants run.
    pub payload: Arc<str>,
    /// What it needs.
    pub need: Amounts,
    /// Run time expected on an upstream of pace 1.
    pub expected: Duration,
    /// Work with a lower class goes first.
    pub class: u32,
    /// Time until it is due, in milliseconds; negative if it is late.
    pub due_ms: i32,
    /// Time that it may wait for room.
    pub wait: Duration,
}

/// Why a run is stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum StopCause {
    /// The entry no longer wants it.
    Cancelled,
    /// The entry was not heard of in time.
    OwnerSilent,
    /// The upstream did not answer the start.
    Unknown,
    /// The upstream began another life under the same name.
    #[strum(serialize = "reborn")]
    Restarted,
    /// The run does not get on.
    Stalled,
}

/// How far an order is.
#[derive(Clone, Copy, Debug)]
pub enum Phase {
    /// It waits for room.
    Waiting,
    /// The upstream was told to start it.
    Starting {
        /// Number of the run.
        run: RunNumber,
        /// When the call was made.
        sent: Instant,
    },
    /// It runs.
    Running {
        /// Number of the run.
        run: RunNumber,
        /// When the upstream said so.
        since: Instant,
        /// Part of its work that is done, in hundredths.
        percent: u8,
        /// When `percent` last changed.
        progressed_at: Instant,
    },
    /// The upstream was told to stop it; its end is not listed yet.
    Stopping {
        /// Number of the run.
        run: RunNumber,
        /// Why.
        cause: StopCause,
        /// When the upstream answered the stop.
        acked: Option<Instant>,
        /// When the last stop was sent.
        sent: Instant,
    },
}

impl Phase {
    /// Returns the number of the run, unless it waits.
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
    /// The life of the entry that gave it.
    pub owner: Incarnation,
    /// What was ordered.
    pub order: RunOrder,
    /// When it is due.
    pub due: Instant,
    /// When it is given back if it still waits.
    pub expires: Instant,
    /// How far it is.
    pub phase: Phase,
    /// When it was first known to run.
    pub started_at: Option<Instant>,
    /// Time from `started_at` to its end.
    pub run_time: Duration,
    /// Starts that were tried again.
    pub retries: u32,
    /// Whether the entry was told that it is lost.
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
            run_time: Duration::ZERO,
            retries: 0,
            is_lost_reported: false,
        }
    }

    /// Takes the upstream's word that it runs.
    pub(super) fn seen_running(&mut self, now: Instant, seen: u8) {
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
