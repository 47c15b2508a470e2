//! Claims of entries to jobs.
//!
//! A caller that got no answer submits its job again, at any entry. The entry that has the job may not
//! know that the caller has left, and no clock tells it how long a request waited before it was read.
//! So an entry claims a job before it places the first task, at agents that the job's ID selects. A
//! second entry that claims the job there waits until the first has given it up.

use std::time::Duration;

use strum::IntoStaticStr;

use crate::JobId;

/// What an entry tells an agent about its claim to a job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Claim {
    /// The claimed job.
    pub job: JobId,
    /// Number of the claim among those of the entry.
    pub number: u64,
    /// What becomes of the claim.
    pub change: ClaimChange,
}

/// A change of a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimChange {
    /// The entry claims the job, or still does.
    Made {
        /// Time after which the claim ends by itself.
        hold: Duration,
    },
    /// The entry does not have the job, and nothing that it ordered for it runs.
    Released,
    /// The job was cancelled, and must not run at any entry.
    Cancelled {
        /// Time until its deadline and the end of all its runs.
        hold: Duration,
    },
}

/// What an agent tells an entry about its claim to a job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimAnswer {
    /// The claimed job.
    pub job: JobId,
    /// Number of the claim among those of the entry.
    pub number: u64,
    /// State of the claim.
    pub status: ClaimStatus,
}

/// State of a claim at an agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum ClaimStatus {
    /// No other entry claimed the job before.
    Granted,
    /// Another entry claimed the job before, and may run it.
    Waiting,
    /// The claim is the first, and another entry waits for its end.
    Contested,
    /// The job was cancelled.
    Cancelled,
}
