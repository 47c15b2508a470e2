//! Merges the counts of entry processes and compares them with the objectives.

use std::collections::BTreeMap;

use serde::Serialize;

use crate::burn::{BurnCounts, BurnInterval, Cause, RETAINED_INTERVALS};
use crate::model::Inventory;

/// Lengths of the reported windows, in minutes. The last is the time for which entry processes retain
/// all counts.
pub const WINDOWS_MINUTES: [u64; 3] = [5, 60, RETAINED_INTERVALS as u64];

/// Milliseconds in a minute.
const MINUTE_MS: u64 = 60_000;

/// Report on how fast error budgets are spent.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct BurnReport {
    /// Name of the deployment.
    pub deployment: String,
    /// Minute of the report: milliseconds since the Unix epoch divided by 60,000.
    pub minute: u64,
    /// One row per service and team, in descending order of the highest burn rate in the windows of
    /// up to an hour.
    pub rows: Vec<BurnRow>,
    /// Descriptions of what the counts do not include.
    pub gaps: Vec<String>,
}

/// Report on one service and team.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct BurnRow {
    /// Name of the service that the jobs requested.
    pub service: String,
    /// Name of the team that submitted the jobs.
    pub team: String,
    /// Share of jobs that the objective requires, in percent; `None` if the inventory has no such
    /// service.
    pub objective_percent: Option<f64>,
    /// Time within which the objective requires an answer, in milliseconds.
    pub objective_ms: Option<u64>,
    /// One window per length in [`WINDOWS_MINUTES`].
    pub windows: Vec<BurnWindow>,
    /// Counts by minute, for the minutes with any jobs.
    #[serde(skip)]
    pub minutes: BTreeMap<u64, BurnInterval>,
}

/// Counts over a window that ends now.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct BurnWindow {
    /// Length of the window, in minutes.
    pub minutes: u64,
    /// Number of jobs within the objective.
    pub good: u64,
    /// Number of jobs that count against the objective.
    pub bad: u64,
    /// Share of bad jobs divided by the share that the objective allows; at 1, the budget is spent
    /// as fast as it accrues. `None` if there are no jobs or no objective.
    pub burn_rate: Option<f64>,
    /// Bad jobs as a share of the error budget that the jobs of the longest window allow, in percent.
    pub budget_spent_percent: Option<f64>,
    /// Bad jobs by cause, most frequent first.
    pub causes: Vec<(Cause, u64)>,
}

impl BurnReport {
    /// Creates a report from the counts of entry processes. `missing` describes the processes that
    /// could not be queried.
    pub fn new(inventory: &Inventory, counts: &[BurnCounts], missing: Vec<String>) -> Self {
        let now_ms = counts.iter().map(|c| c.now_ms).max().unwrap_or(0);
        let minute = now_ms / MINUTE_MS;
        let mut rows: Vec<BurnRow> = merge(counts)
            .into_iter()
            .map(|((service, team), minutes)| build_row(inventory, service, team, minutes, minute))
            .collect();
        rows.sort_by(|a, b| b.max_short_burn_rate().total_cmp(&a.max_short_burn_rate()));

        let mut gaps = missing;
        gaps.extend(counts.iter().filter_map(|c| restart_gap(c, now_ms)));
        Self {
            deployment: inventory.deployment.to_string(),
            minute,
            rows,
            gaps,
        }
    }
}

impl BurnRow {
    fn max_short_burn_rate(&self) -> f64 {
        let rates = self.windows.iter().rev().filter_map(|w| w.burn_rate);
        rates.skip(1).fold(0.0, f64::max)
    }
}

type Minutes = BTreeMap<u64, BurnInterval>;

/// Sums counts by service, team and minute.
fn merge(counts: &[BurnCounts]) -> BTreeMap<(&str, &str), Minutes> {
    let mut merged: BTreeMap<(&str, &str), Minutes> = BTreeMap::new();
    for series in counts.iter().flat_map(|c| &c.series) {
        let minutes = merged.entry((&series.service, &series.team)).or_default();
        for interval in &series.intervals {
            let sum = minutes.entry(interval.minute).or_default();
            sum.minute = interval.minute;
            sum.good += interval.good;
            for (cause, count) in &interval.bad {
                *sum.bad.entry(*cause).or_default() += count;
            }
        }
    }
    merged
}

fn build_row(
    inventory: &Inventory,
    service: &str,
    team: &str,
    minutes: Minutes,
    minute: u64,
) -> BurnRow {
    let objective = inventory.service(service).map(|s| &s.objective);
    let allowed = objective.map(|o| 1.0 - o.percent / 100.0);
    let longest = build_window(&minutes, minute, RETAINED_INTERVALS as u64, allowed, 0);
    let windows = WINDOWS_MINUTES
        .into_iter()
        .map(|length| {
            build_window(
                &minutes,
                minute,
                length,
                allowed,
                longest.good + longest.bad,
            )
        })
        .collect();
    BurnRow {
        service: service.to_owned(),
        team: team.to_owned(),
        objective_percent: objective.map(|o| o.percent),
        objective_ms: objective.map(|o| o.within.as_millis() as u64),
        windows,
        minutes,
    }
}

fn build_window(
    minutes: &Minutes,
    now: u64,
    length: u64,
    allowed: Option<f64>,
    budget_jobs: u64,
) -> BurnWindow {
    let first = (now + 1).saturating_sub(length);
    let mut good = 0;
    let mut causes: BTreeMap<Cause, u64> = BTreeMap::new();
    for interval in minutes.range(first..=now).map(|(_, interval)| interval) {
        good += interval.good;
        for (cause, count) in &interval.bad {
            *causes.entry(*cause).or_default() += count;
        }
    }

    let bad: u64 = causes.values().sum();
    let mut causes: Vec<(Cause, u64)> = causes.into_iter().collect();
    causes.sort_by_key(|(cause, count)| (std::cmp::Reverse(*count), *cause));
    let budget_ratio = |jobs: u64| match allowed {
        Some(allowed) if jobs > 0 => Some(bad as f64 / (allowed * jobs as f64)),
        _ => None,
    };
    BurnWindow {
        minutes: length,
        good,
        bad,
        burn_rate: budget_ratio(good + bad),
        budget_spent_percent: budget_ratio(budget_jobs).map(|share| share * 100.0),
        causes,
    }
}

/// Describes the gap left by an entry process that started within the longest window: the counts of
/// its earlier run, or of the process that it replaced, are lost.
fn restart_gap(counts: &BurnCounts, now_ms: u64) -> Option<String> {
    let longest_ms = RETAINED_INTERVALS as u64 * MINUTE_MS;
    let age_ms = now_ms.saturating_sub(counts.started_ms);
    (age_ms < longest_ms).then(|| {
        format!(
            "entry {} started {} min ago: counts from before its start are not included",
            counts.entry,
            age_ms / MINUTE_MS
        )
    })
}
