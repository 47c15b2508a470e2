//! Counts of answers for the report on error budget burn.

use std::collections::{BTreeMap, VecDeque};

use hemlockhook_inventory::burn::{
    BurnCounts, BurnInterval, BurnSeries, Cause, RETAINED_INTERVALS,
};
use hemlockhook_types::{Incarnation, ServiceName, TeamName};

/// Length of an interval in milliseconds.
const INTERVAL_MS: u64 = hemlockhook_inventory::burn::INTERVAL_SECONDS * 1_000;

/// Counts answers by service, team and minute.
#[derive(Debug)]
pub struct BurnCounter {
    entry: String,
    incarnation: Incarnation,
    started_ms: u64,
    series: BTreeMap<(ServiceName, TeamName), VecDeque<BurnInterval>>,
}

impl BurnCounter {
    /// Creates the counter of an entry that started at a wall-clock time.
    pub fn new(entry: &str, incarnation: Incarnation, started_ms: u64) -> Self {
        Self {
            entry: entry.to_owned(),
            incarnation,
            started_ms,
            series: BTreeMap::new(),
        }
    }

    /// Counts an answer, as good or as bad with its cause.
    pub fn count(
        &mut self,
        at_ms: u64,
        service: &ServiceName,
        team: &TeamName,
        bad: Option<Cause>,
    ) {
        let minute = at_ms / INTERVAL_MS;
        let intervals = self
            .series
            .entry((service.clone(), team.clone()))
            .or_default();
        if intervals.back().is_none_or(|last| last.minute < minute) {
            intervals.push_back(BurnInterval {
                minute,
                ..BurnInterval::default()
            });
        }
        if intervals.len() > RETAINED_INTERVALS {
            intervals.pop_front();
        }
        let Some(last) = intervals.back_mut() else {
            return;
        };
        match bad {
            None => last.good += 1,
            Some(cause) => *last.bad.entry(cause).or_default() += 1,
        }
    }

    /// Returns the counts of the retained intervals.
    pub fn counts(&self, now_ms: u64) -> BurnCounts {
        let series = self
            .series
            .iter()
            .map(|((service, team), intervals)| BurnSeries {
                service: service.to_string(),
                team: team.to_string(),
                intervals: intervals.iter().cloned().collect(),
            });
        BurnCounts {
            entry: self.entry.clone(),
            incarnation: format!("{:x}", self.incarnation),
            started_ms: self.started_ms,
            now_ms,
            series: series.collect(),
        }
    }
}
