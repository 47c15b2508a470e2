//! Admission control.
//!
//! Bursts and load swings can exceed the capacity of the upstreams. A job that could not be
//! answered while its answer is useful is refused on arrival, so that its caller can react and
//! other jobs are not delayed.

use std::time::Duration;

use strum::IntoStaticStr;

use crate::Unsupported;

/// Reason for which a job is not run.
#[derive(Clone, Debug, PartialEq, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Refusal {
    /// The job uses an unsupported feature.
    Unsupported(Unsupported),
    /// No upstream of the service accepts work.
    NoUpstream {
        /// Time after which to retry.
        retry_after: Duration,
    },
    /// No upstream that is up has a label that the job requires, with the capacity for a task.
    MissingLabel {
        /// Time after which to retry: the next life of an upstream may have the label.
        retry_after: Duration,
    },
    /// A task of the job exceeds the capacity of every upstream.
    NeverFits,
    /// The upstreams can't do the work of the job in the time for which its answer is useful.
    TooMuchWork {
        /// Time after which to retry: upstreams that are away may be back.
        retry_after: Duration,
    },
    /// The job would be answered too late.
    Overload {
        /// Time after which to retry, by the work ahead.
        retry_after: Duration,
    },
    /// The process is shutting down.
    Leaving,
    /// The caller had closed its connection before the job was read.
    CallerLeft,
}

impl Refusal {
    /// Returns the time after which the caller should retry; `None` if retrying does not help.
    pub fn retry_after(&self) -> Option<Duration> {
        match self {
            Self::NoUpstream { retry_after }
            | Self::MissingLabel { retry_after }
            | Self::TooMuchWork { retry_after }
            | Self::Overload { retry_after } => Some(*retry_after),
            Self::Leaving => Some(Duration::ZERO),
            Self::Unsupported(_) | Self::NeverFits | Self::CallerLeft => None,
        }
    }
}

/// The work ahead of a job, and the rate at which it is completed.
#[derive(Clone, Copy, Debug)]
pub(super) struct Load {
    /// Work queued ahead of the job, in core-seconds on an upstream of pace 1.
    pub(super) ahead: f64,
    /// This entry's share of the upstreams' throughput, in core-seconds per second.
    pub(super) rate: f64,
    /// Whether an upstream has free capacity for a task right now.
    pub(super) has_free_capacity: bool,
    /// Free capacity of the upstreams, in cores.
    pub(super) free_cores: f64,
    /// Work ahead whose jobs wait for their claims, in core-seconds on an upstream of pace 1.
    pub(super) unclaimed: f64,
    /// Cores that the tasks of that work require.
    pub(super) unclaimed_cores: f64,
}

impl Load {
    /// Returns the expected time until the first task of a job that arrives now starts.
    pub(super) fn wait(&self) -> Duration {
        // What has free capacity starts as soon as it is claimed.
        let waiting_cores = (self.unclaimed_cores - self.free_cores).max(0.0);
        let ahead = match waiting_cores > 0.0 {
            true => self.ahead + self.unclaimed * waiting_cores / self.unclaimed_cores,
            false => self.ahead,
        };
        if self.has_free_capacity && ahead <= 0.0 {
            return Duration::ZERO;
        }
        if self.rate <= 0.0 {
            return Duration::MAX;
        }
        Duration::try_from_secs_f64(ahead / self.rate).unwrap_or(Duration::MAX)
    }
}
