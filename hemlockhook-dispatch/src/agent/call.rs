//! Calls to the upstream and what comes back.

use std::sync::Arc;
use std::time::Duration;

use crate::agent::OrderKey;
use crate::{RunNumber, TaskId, TaskRef};

/// A call that a supervisor wants made.
#[derive(Clone, Debug)]
pub enum Action {
    /// Start a task.
    Start(StartCall),
    /// Stop a run.
    Stop(StopCall),
    /// Ask for the lists of runs, and renew the lease.
    Hold(HoldCall),
}

/// Starts a task.
#[derive(Clone, Debug)]
pub struct StartCall {
    /// The order that it is made for.
    pub key: OrderKey,
    /// The task.
    pub task: TaskId,
    /// Number of the run.
    pub run: RunNumber,
    /// What the caller wants run.
    pub payload: Arc<str>,
    /// End of the lease, on the upstream's clock, in milliseconds.
    pub until_ms: u64,
    /// Fencing token.
    pub fence: u64,
    /// The life of the upstream that is meant.
    pub instance: Arc<str>,
}

/// Stops a run, also one that has yet to arrive.
#[derive(Clone, Debug)]
pub struct StopCall {
    /// The attempt.
    pub task: TaskRef,
    /// Number of the run.
    pub run: RunNumber,
    /// Fencing token.
    pub fence: u64,
    /// The life of the upstream that is meant.
    pub instance: Arc<str>,
}

/// Asks for the lists of what runs and has ended.
#[derive(Clone, Debug)]
pub struct HoldCall {
    /// End of the lease, on the upstream's clock, in milliseconds; `None` renews nothing.
    pub until_ms: Option<u64>,
    /// Number of the last end that is known.
    pub last_seen: u64,
    /// How long to wait for an end.
    pub wait: Duration,
    /// Fencing token.
    pub fence: u64,
    /// The life of the upstream that is meant.
    pub instance: Arc<str>,
}

/// How an upstream answered a start. `clock_ms` is its clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartResult {
    /// The run is there.
    Started {
        /// The upstream's clock.
        clock_ms: u64,
    },
    /// The fencing token is lower than one seen before.
    OldFence {
        /// The upstream's clock.
        clock_ms: u64,
    },
    /// The run number is not higher than that of a run which was stopped or has ended.
    OldRun {
        /// The upstream's clock.
        clock_ms: u64,
    },
    /// The lease had ended when the start arrived.
    LateLease {
        /// The upstream's clock.
        clock_ms: u64,
    },
    /// The upstream has no room.
    NoRoom {
        /// The upstream's clock.
        clock_ms: u64,
    },
    /// The upstream is unhealthy and has done nothing.
    Unhealthy,
    /// Another life of the upstream is there.
    OtherInstance,
    /// The upstream refuses the start for another reason.
    Refused,
    /// No answer: the start may have been carried out, or may be yet.
    NoAnswer,
}

impl StartResult {
    /// Returns the upstream's clock, if the answer tells it.
    pub fn clock_ms(&self) -> Option<u64> {
        match *self {
            Self::Started { clock_ms }
            | Self::OldFence { clock_ms }
            | Self::OldRun { clock_ms }
            | Self::LateLease { clock_ms }
            | Self::NoRoom { clock_ms } => Some(clock_ms),
            Self::Unhealthy | Self::OtherInstance | Self::Refused | Self::NoAnswer => None,
        }
    }
}

/// How an upstream answered a stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopResult {
    /// The run is stopped, or will be refused when it arrives.
    Stopped {
        /// The upstream's clock.
        clock_ms: u64,
    },
    /// The fencing token is lower than one seen before.
    OldFence,
    /// No answer, or none that settles it.
    Unsettled,
}

/// How an upstream answered when it was asked for its lists.
#[derive(Clone, Debug)]
pub enum HoldResult {
    /// The lists.
    Lists {
        /// The upstream's clock.
        clock_ms: u64,
        /// When this life of the upstream began, in milliseconds since 1970; 0 if it does not say.
        born_ms: u64,
        /// What runs.
        running: Vec<ActiveRun>,
        /// What has ended since the last end that was known.
        ended: Vec<EndedRun>,
    },
    /// The fencing token is lower than one seen before.
    OldFence,
    /// Another life of the upstream is there.
    OtherInstance,
}

/// A run that goes on.
#[derive(Clone, Debug)]
pub struct ActiveRun {
    /// The task.
    pub task: TaskId,
    /// Number of the run.
    pub run: RunNumber,
    /// Part of its work that is done, in hundredths.
    pub percent: u8,
}

/// A run that has ended.
#[derive(Clone, Debug)]
pub struct EndedRun {
    /// Number of the end, in the life of the upstream.
    pub number: u64,
    /// The task.
    pub task: TaskId,
    /// Number of the run.
    pub run: RunNumber,
    /// How it ended.
    pub outcome: RunOutcome,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunOutcome {
    /// Well.
    Done,
    /// By the task's own fault or the upstream's.
    Failed,
    /// It was stopped.
    Stopped,
    /// Its lease ran out.
    LeaseExpired,
    /// Another task of its gang ended, or did not come.
    GangBroken,
}
