//! Counts of good and bad jobs, and the report on how fast error budgets are spent.

pub mod page;
pub mod report;

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter, EnumString, IntoStaticStr};

pub use page::{describe_cause, render_page};
pub use report::{BurnReport, BurnRow, BurnWindow, WINDOWS_MINUTES};

/// Length of a counting interval, in seconds.
pub const INTERVAL_SECONDS: u64 = 60;

/// Maximum number of intervals that an entry process retains for each service and team. Intervals
/// without jobs take no place, so that at least six hours are covered.
pub const RETAINED_INTERVALS: usize = 360;

/// Reason why a job counts against its objective.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    Display,
    EnumIter,
    EnumString,
    IntoStaticStr,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Cause {
    /// The answer was complete, but later than the objective's time.
    Late,
    /// The answer was complete but late, and a task had waited while long work used more slots than
    /// its ceiling or no slot was left for short work.
    HeldBehindLong,
    /// The job failed.
    Failed,
    /// The outcome is unknown.
    Unknown,
    /// The job was refused and not run.
    Refused,
}

/// Counts of one entry process.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct BurnCounts {
    /// Name of the entry process.
    pub entry: String,
    /// Incarnation of the process, in hexadecimal.
    pub incarnation: String,
    /// Wall-clock time of the process start, in milliseconds since the Unix epoch. Earlier jobs are
    /// not counted.
    pub started_ms: u64,
    /// Wall-clock time of these counts, in milliseconds since the Unix epoch.
    pub now_ms: u64,
    /// Counts by service and team.
    pub series: Vec<BurnSeries>,
}

/// Counts of one service and team.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct BurnSeries {
    /// Name of the service that the jobs requested.
    pub service: String,
    /// Name of the team that submitted the jobs.
    pub team: String,
    /// Counts of the intervals with any jobs, oldest first.
    pub intervals: Vec<BurnInterval>,
}

/// Counts of one interval.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct BurnInterval {
    /// Minute of the interval: milliseconds since the Unix epoch divided by 60,000.
    pub minute: u64,
    /// Number of jobs answered complete within the objective's time.
    pub good: u64,
    /// Number of jobs that count against the objective, by cause. Causes without jobs are absent.
    pub bad: BTreeMap<Cause, u64>,
}
