//! What the demonstration showed.

use std::collections::{BTreeMap, HashMap};
use std::fmt::{self, Display, Formatter};
use std::time::Duration;

use hdrhistogram::Histogram;
use hemlockhook_entry::counters::Counters;
use serde::Serialize;

use super::load::Outcome;

/// Ratios are counted in thousandths.
const RATIO_UNIT: f64 = 1_000.0;

/// Time in which a change of configuration must be in force everywhere.
const CONFIG_LIMIT: Duration = Duration::from_secs(7);

/// What the demonstration showed.
#[derive(Clone, Debug, Serialize)]
pub struct Summary {
    jobs_complete: u64,
    jobs_failed: u64,
    jobs_not_run: u64,
    jobs_unknown: u64,
    /// Jobs whose caller got no answer.
    jobs_unanswered: u64,
    starts: u64,
    starts_doubled: u64,
    response_ratio_p50: f64,
    response_ratio_p99: f64,
    messages_per_task: f64,
    /// Milliseconds until a change of configuration was in force at every entry and agent.
    config_in_force_ms: u64,
    /// Starts at a leaving upstream after its limit.
    starts_after_leaving: u64,
    /// Reasons of the jobs that are not complete.
    reasons: BTreeMap<String, u64>,
    /// What must always hold and did not.
    violations: Vec<String>,
}

impl Summary {
    /// Sums up the jobs' ends, the starts at the upstreams, and the entries' counts.
    pub fn new(
        outcomes: &[Outcome],
        starts: &HashMap<String, u32>,
        counters: Vec<Counters>,
        config_in_force: Duration,
        starts_after_leaving: u64,
    ) -> Self {
        let count = |kind: &str| outcomes.iter().filter(|job| job.answer == kind).count() as u64;
        let ratios = ratios(outcomes);
        let percentile = |p| ratios.value_at_percentile(p) as f64 / RATIO_UNIT;
        let messages: u64 = counters.iter().map(Counters::messages).sum();
        let sent: u64 = counters.iter().map(|counters| counters.starts).sum();
        let mut summary = Self {
            jobs_complete: count("complete"),
            jobs_failed: count("failed"),
            jobs_not_run: count("not_run"),
            jobs_unknown: count("unknown"),
            jobs_unanswered: count(""),
            starts: starts.values().map(|count| u64::from(*count)).sum(),
            starts_doubled: starts.values().filter(|count| **count > 1).count() as u64,
            response_ratio_p50: percentile(50.0),
            response_ratio_p99: percentile(99.0),
            messages_per_task: messages as f64 / sent.max(1) as f64,
            config_in_force_ms: config_in_force.as_millis() as u64,
            starts_after_leaving,
            reasons: reasons(outcomes),
            violations: Vec::new(),
        };
        summary.violations = summary.check(outcomes, starts);
        summary
    }

    /// Returns whether everything that must always hold did.
    pub fn holds(&self) -> bool {
        self.violations.is_empty()
    }

    fn check(&self, outcomes: &[Outcome], starts: &HashMap<String, u32>) -> Vec<String> {
        let mut violations: Vec<_> = outcomes
            .iter()
            .flat_map(|job| check_job(job, starts))
            .collect();
        if self.starts_doubled > 0 {
            violations.push(format!("{} tasks were started twice", self.starts_doubled));
        }
        if self.config_in_force_ms > CONFIG_LIMIT.as_millis() as u64 {
            violations.push("a configuration was not in force in time".to_owned());
        }
        if self.starts_after_leaving > 0 {
            violations.push("a leaving upstream got new work".to_owned());
        }
        violations
    }
}

impl Display for Summary {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        writeln!(f, "jobs complete             {:>8}", self.jobs_complete)?;
        writeln!(f, "jobs failed               {:>8}", self.jobs_failed)?;
        writeln!(f, "jobs not run              {:>8}", self.jobs_not_run)?;
        writeln!(f, "jobs of unknown outcome   {:>8}", self.jobs_unknown)?;
        writeln!(f, "jobs without an answer    {:>8}", self.jobs_unanswered)?;
        writeln!(f, "tasks started             {:>8}", self.starts)?;
        writeln!(f, "tasks started twice       {:>8}", self.starts_doubled)?;
        writeln!(
            f,
            "response / ideal, median  {:>8.2}",
            self.response_ratio_p50
        )?;
        writeln!(
            f,
            "response / ideal, p99     {:>8.2}",
            self.response_ratio_p99
        )?;
        writeln!(
            f,
            "messages per task         {:>8.2}",
            self.messages_per_task
        )?;
        writeln!(
            f,
            "change in force after ms  {:>8}",
            self.config_in_force_ms
        )?;
        for (reason, count) in &self.reasons {
            writeln!(f, "  not complete: {reason:<20} {count:>4}")?;
        }
        for violation in &self.violations {
            writeln!(f, "VIOLATED: {violation}")?;
        }
        match self.holds() {
            true => writeln!(f, "everything that must always hold did"),
            false => writeln!(f, "something that must always hold did not"),
        }
    }
}

/// Checks one job against what must always hold.
fn check_job(job: &Outcome, starts: &HashMap<String, u32>) -> Vec<String> {
    let started = (0..job.tasks)
        .filter(|index| starts.contains_key(&format!("{}/{index}", job.key)))
        .count();
    let mut violations = Vec::new();
    match job.answer.as_str() {
        "complete" if !job.whole => {
            violations.push(format!(
                "{}: the answer is not whole or not its own",
                job.key
            ));
        }
        "complete" if started < job.tasks => {
            violations.push(format!("{}: complete, but not all of it ran", job.key));
        }
        "not_run" if started > 0 => {
            violations.push(format!("{}: answered as not run, but it ran", job.key));
        }
        "" => violations.push(format!("{}: no answer came", job.key)),
        _ => {}
    }
    let conflicting = |other: &&String| !other.is_empty() && **other != job.answer;
    if job.others.iter().any(|other| conflicting(&other)) {
        violations.push(format!(
            "{}: {} and also {:?}",
            job.key, job.answer, job.others
        ));
    }
    violations
}

fn reasons(outcomes: &[Outcome]) -> BTreeMap<String, u64> {
    let mut reasons = BTreeMap::new();
    for job in outcomes.iter().filter(|job| !job.reason.is_empty()) {
        *reasons
            .entry(format!("{} {}", job.answer, job.reason))
            .or_default() += 1;
    }
    reasons
}

/// Returns response times over ideal times of the complete jobs, in thousandths.
fn ratios(outcomes: &[Outcome]) -> Histogram<u64> {
    let mut ratios = Histogram::new(3).expect("three digits are allowed");
    for job in outcomes.iter().filter(|job| job.answer == "complete") {
        let ratio = job.took.as_secs_f64() / job.ideal.as_secs_f64();
        ratios.saturating_record((ratio * RATIO_UNIT) as u64);
    }
    ratios
}
