//! Calls to the upstream and their results.

use std::sync::Arc;
use std::time::Duration;

use crate::agent::{LifeNumber, OrderKey, StopCause};
use crate::{Incarnation, RunNumber, TaskId, TaskRef};

/// A call to the upstream, to be made by the agent.
#[derive(Clone, Debug)]
pub enum Action {
    /// Start a task.
    Start(StartCall),
    /// Stop a run.
    Stop(StopCall),
    /// Renew the lease, and request the lists of runs.
    Hold(HoldCall),
}

/// A call that starts a task.
#[derive(Clone, Debug)]
pub struct StartCall {
    /// The order that is started.
    pub key: OrderKey,
    /// Task to start.
    pub task: TaskId,
    /// Number of the run.
    pub run: RunNumber,
    /// Number of the attempt, assigned by the entry.
    pub attempt: u32,
    /// Incarnation of the entry that gave the order.
    pub owner: Incarnation,
    /// Payload of the job.
    pub payload: Arc<str>,
    /// End of the lease by the upstream's clock, in milliseconds.
    pub until_ms: u64,
    /// Fencing token; the upstream refuses the call if it has seen a higher one.
    pub fence: u64,
    /// The upstream incarnation that the call is addressed to.
    pub instance: Arc<str>,
    /// Number of that incarnation, which its answer is handled with.
    pub life: LifeNumber,
}

/// A call that stops a run. If its start call arrives later, the upstream refuses it.
#[derive(Clone, Debug)]
pub struct StopCall {
    /// Attempt whose run is stopped.
    pub task: TaskRef,
    /// Number of the run.
    pub run: RunNumber,
    /// Why the run is stopped.
    pub cause: StopCause,
    /// Fencing token; the upstream refuses the call if it has seen a higher one.
    pub fence: u64,
    /// The upstream incarnation that the call is addressed to.
    pub instance: Arc<str>,
    /// Number of that incarnation, which its answer is handled with.
    pub life: LifeNumber,
}

/// A call that renews the lease and requests the lists of active and ended runs.
#[derive(Clone, Debug)]
pub struct HoldCall {
    /// End of the lease by the upstream's clock, in milliseconds; `None` if it is not renewed.
    pub until_ms: Option<u64>,
    /// [`EndedRun::number`] of the last known end.
    pub last_seen: u64,
    /// Time for which the upstream waits for an end before it answers.
    pub wait: Duration,
    /// Fencing token; the upstream refuses the call if it has seen a higher one.
    pub fence: u64,
    /// The upstream incarnation that the call is addressed to.
    pub instance: Arc<str>,
    /// Number of that incarnation, which its answer is handled with.
    pub life: LifeNumber,
}

/// Result of a start call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartResult {
    /// The upstream confirmed that the task runs.
    Started {
        /// The upstream's clock, in milliseconds.
        clock_ms: u64,
    },
    /// The fencing token is lower than one that the upstream has seen.
    OldFence {
        /// The upstream's clock, in milliseconds.
        clock_ms: u64,
    },
    /// The run number is not higher than that of a stopped or ended run of the task.
    OldRun {
        /// The upstream's clock, in milliseconds.
        clock_ms: u64,
    },
    /// The lease had expired when the call arrived.
    LateLease {
        /// The upstream's clock, in milliseconds.
        clock_ms: u64,
    },
    /// The upstream has no free capacity.
    NoRoom {
        /// The upstream's clock, in milliseconds.
        clock_ms: u64,
    },
    /// The upstream is unhealthy and has not started the task.
    Unhealthy,
    /// Another incarnation of the upstream answered.
    OtherInstance,
    /// The upstream refused the start for another reason.
    Refused,
    /// No answer: the task may have been started, or may still be started later.
    NoAnswer,
}

impl StartResult {
    /// Returns the upstream's clock, if the answer has it.
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

/// Result of a stop call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopResult {
    /// The run was stopped, or its start will be refused when it arrives.
    Stopped {
        /// The upstream's clock, in milliseconds.
        clock_ms: u64,
    },
    /// The fencing token is lower than one that the upstream has seen.
    OldFence,
    /// No answer, or one that leaves the state of the run open.
    Unsettled,
}

/// Result of a hold call.
#[derive(Clone, Debug)]
pub enum HoldResult {
    /// The lists of active and ended runs.
    Lists {
        /// The upstream's clock, in milliseconds.
        clock_ms: u64,
        /// Start of this upstream incarnation, in milliseconds since the Unix epoch; 0 if unknown.
        started_ms: u64,
        /// Runs that have not ended.
        running: Vec<ActiveRun>,
        /// Runs that have ended since the last known end.
        ended: Vec<EndedRun>,
    },
    /// The fencing token is lower than one that the upstream has seen.
    OldFence,
    /// Another incarnation of the upstream answered.
    OtherInstance,
}

/// An active run.
#[derive(Clone, Debug)]
pub struct ActiveRun {
    /// Task that the upstream runs.
    pub task: TaskId,
    /// Number of the run.
    pub run: RunNumber,
    /// Progress, in percent.
    pub percent: u8,
}

/// A run that has ended.
#[derive(Clone, Debug)]
pub struct EndedRun {
    /// Number of the end in this upstream incarnation.
    pub number: u64,
    /// Task that the upstream ran.
    pub task: TaskId,
    /// Number of the run.
    pub run: RunNumber,
    /// How the run ended, according to the upstream.
    pub outcome: RunOutcome,
}

/// Outcome of a run as listed by the upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunOutcome {
    /// The task succeeded.
    Done,
    /// The task failed; the cause may be the task or the upstream.
    Failed,
    /// The run was stopped.
    Stopped,
    /// The run ended because the lease expired.
    LeaseExpired,
    /// Another task of the gang ended, or was never started.
    GangBroken,
}
