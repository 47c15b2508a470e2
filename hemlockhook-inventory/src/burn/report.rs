//! The report: counts of several entries merged, and set against the objectives.

use std::collections::BTreeMap;

use serde::Serialize;

use crate::burn::{BurnCounts, BurnInterval, Cause, RETAINED_INTERVALS};
use crate::model::Inventory;

/// The windows that are reported, in minutes. The last is as long as entries keep counts.
pub const WINDOWS_MINUTES: [u64; 3] = [5, 60, RETAINED_INTERVALS as u64];

/// Milliseconds in a minute.
const MINUTE_MS: u64 = 60_000;

/// How fast error budgets are spent.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct BurnReport {
    /// Name of the deployment.
    pub deployment: String,
    /// Calendar minute of the report: milliseconds since the Unix epoch divided by 60,000.
    pub minute: u64,
    /// By service and team, the fastest burn over an hour first.
    pub rows: Vec<BurnRow>,
    /// What the counts do not cover.
    pub gaps: Vec<String>,
}

/// One service and team.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct BurnRow {
    /// The service.
    pub service: String,
    /// The team.
    pub team: String,
    /// The objective's share of jobs, in percent; `None` if the inventory has no such service.
    pub objective_percent: Option<f64>,
    /// The objective's time, in milliseconds.
    pub objective_ms: Option<u64>,
    /// One for each of [`WINDOWS_MINUTES`].
    pub windows: Vec<BurnWindow>,
    /// Counts by minute, of the minutes in which there were any.
    #[serde(skip)]
    pub minutes: BTreeMap<u64, BurnInterval>,
}

/// Counts over the latest minutes.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct BurnWindow {
    /// Length in minutes.
    pub minutes: u64,
    /// Jobs within the objective.
    pub good: u64,
    /// Jobs that count against it.
    pub bad: u64,
    /// Share of bad jobs over the share that the objective allows: at 1 the budget is spent
    /// exactly as fast as it accrues. `None` without jobs or objective.
    pub burn_rate: Option<f64>,
    /// Bad jobs as a share of the budget that the longest window's jobs allow, in percent.
    pub budget_spent_percent: Option<f64>,
    /// Bad jobs by cause, the biggest first.
    pub causes: Vec<(Cause, u64)>,
}

impl BurnReport {
    /// Merges the counts of entries. `missing` says what could not be asked.
    pub fn new(inventory: &Inventory, counts: &[BurnCounts], missing: Vec<String>) -> Self {
        let now_ms = counts.iter().map(|c| c.now_ms).max().unwrap_or(0);
        let minute = now_ms / MINUTE_MS;
        let mut rows: Vec<BurnRow> = merge(counts)
            .into_iter()
            .map(|((service, team), minutes)| row(inventory, service, team, minutes, minute))
            .collect();
        rows.sort_by(|a, b| b.urgency().total_cmp(&a.urgency()));

        let mut gaps = missing;
        gaps.extend(counts.iter().filter_map(|c| late_start(c, now_ms)));
        Self {
            deployment: inventory.deployment.to_string(),
            minute,
            rows,
            gaps,
        }
    }
}

impl BurnRow {
    fn urgency(&self) -> f64 {
        let rates = self.windows.iter().rev().filter_map(|w| w.burn_rate);
        rates.skip(1).fold(0.0, f64::max)
    }
}

type Minutes = BTreeMap<u64, BurnInterval>;

/// Sums up counts by service, team and minute.
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

fn row(inventory: &Inventory, service: &str, team: &str, minutes: Minutes, minute: u64) -> BurnRow {
    let objective = inventory.service(service).map(|s| &s.objective);
    let allowed = objective.map(|o| 1.0 - o.percent / 100.0);
    let all_jobs = window(&minutes, minute, RETAINED_INTERVALS as u64, allowed, 0);
    let windows = WINDOWS_MINUTES
        .into_iter()
        .map(|length| {
            window(
                &minutes,
                minute,
                length,
                allowed,
                all_jobs.good + all_jobs.bad,
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

fn window(
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
    let over = |jobs: u64| match allowed {
        Some(allowed) if jobs > 0 => Some(bad as f64 / (allowed * jobs as f64)),
        _ => None,
    };
    BurnWindow {
        minutes: length,
        good,
        bad,
        burn_rate: over(good + bad),
        budget_spent_percent: over(budget_jobs).map(|share| share * 100.0),
        causes,
    }
}

/// Says that an entry started within the longest window: what an earlier run of it, or the entry
/// that it replaced, had counted is lost.
fn late_start(counts: &BurnCounts, now_ms: u64) -> Option<String> {
    let longest_ms = RETAINED_INTERVALS as u64 * MINUTE_MS;
    let age_ms = now_ms.saturating_sub(counts.started_ms);
    (age_ms < longest_ms).then(|| {
        format!(
            "entry {} started {} min ago: what ran in its place before is not counted",
            counts.entry,
            age_ms / MINUTE_MS
        )
    })
}
