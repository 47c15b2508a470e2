//! What entries count for the report on service-level burn, and the report itself.

pub mod page;
pub mod report;

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter, EnumString, IntoStaticStr};

pub use page::{describe_cause, render_page};
pub use report::{BurnReport, BurnRow, BurnWindow, WINDOWS_MINUTES};

/// Length of the intervals that counts are kept in, in seconds.
pub const INTERVAL_SECONDS: u64 = 60;

/// Number of intervals that an entry keeps: six hours.
pub const RETAINED_INTERVALS: usize = 360;

/// Why a job counts against its objective.
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
    /// Answered complete, but after the objective's time.
    Late,
    /// Answered complete but late, after a task had waited while long work held slots above the
    /// ceiling or no slot was left to short work.
    HeldBehindLong,
    /// Answered as failed.
    Failed,
    /// Answered with an unknown outcome.
    Unknown,
    /// Refused as not run.
    Refused,
}

/// What one entry counted.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct BurnCounts {
    /// The entry.
    pub entry: String,
    /// Its incarnation, in hexadecimal.
    pub incarnation: String,
    /// Calendar time of its start, in milliseconds since the Unix epoch: it knows of nothing before.
    pub started_ms: u64,
    /// Calendar time of this report, in milliseconds since the Unix epoch.
    pub now_ms: u64,
    /// Counts by service and team.
    pub series: Vec<BurnSeries>,
}

/// Counts of one service and team.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct BurnSeries {
    /// The service.
    pub service: String,
    /// The team.
    pub team: String,
    /// Counts of the intervals in which there were any, oldest first.
    pub intervals: Vec<BurnInterval>,
}

/// Counts of one interval.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct BurnInterval {
    /// Calendar minute of the interval: milliseconds since the Unix epoch divided by 60,000.
    pub minute: u64,
    /// Jobs answered complete within the objective's time.
    pub good: u64,
    /// Jobs that count against the objective, by cause; absent: none.
    pub bad: BTreeMap<Cause, u64>,
}
