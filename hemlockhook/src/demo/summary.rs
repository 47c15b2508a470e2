//! Summary of the demonstration.

use std::collections::{BTreeMap, HashMap};
use std::fmt::{self, Display, Formatter};
use std::time::Duration;

use hdrhistogram::Histogram;
use hemlockhook_entry::counters::Counters;
use serde::Serialize;

use super::load::JobOutcome;

/// Ratios are recorded in the histogram as integers, in thousandths.
const RATIO_SCALE: f64 = 1_000.0;

/// Time limit for a configuration change to be in force in every process.
const CONFIG_LIMIT: Duration = Duration::from_secs(7);

/// Results of the demonstration.
#[derive(Clone, Debug, Serialize)]
pub struct Summary {
    jobs_complete: u64,
    jobs_failed: u64,
    jobs_not_run: u64,
    jobs_unknown: u64,
    /// Number of jobs without an answer.
    jobs_unanswered: u64,
    starts: u64,
    starts_doubled: u64,
    response_ratio_p50: f64,
    response_ratio_p99: f64,
    messages_per_task: f64,
    /// Time until a configuration change was in force in every entry and agent, in milliseconds.
    config_in_force_ms: u64,
    /// Number of tasks that a drained upstream started after the time limit.
    starts_after_leaving: u64,
    /// Number of jobs that are not complete, by answer and reason.
    reasons: BTreeMap<String, u64>,
    /// Descriptions of violated invariants.
    violations: Vec<String>,
}

impl Summary {
    /// Creates a summary from the outcomes of jobs, the start counts of tasks, and the counters of
    /// entries.
    pub fn new(
        outcomes: &[JobOutcome],
        starts: &HashMap<String, u32>,
        counters: Vec<Counters>,
        config_delay: Duration,
        starts_after_leaving: u64,
    ) -> Self {
        let count = |kind: &str| outcomes.iter().filter(|job| job.answer == kind).count() as u64;
        let ratios = response_ratios(outcomes);
        let percentile = |p| ratios.value_at_percentile(p) as f64 / RATIO_SCALE;
        let messages: u64 = counters.iter().map(Counters::messages).sum();
        let tasks_sent: u64 = counters.iter().map(|counters| counters.starts).sum();
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
            messages_per_task: messages as f64 / tasks_sent.max(1) as f64,
            config_in_force_ms: config_delay.as_millis() as u64,
            starts_after_leaving,
            reasons: count_reasons(outcomes),
            violations: Vec::new(),
        };
        summary.violations = summary.find_violations(outcomes, starts);
        summary
    }

    /// Returns whether no invariant was violated.
    pub fn all_invariants_hold(&self) -> bool {
        self.violations.is_empty()
    }

    fn find_violations(
        &self,
        outcomes: &[JobOutcome],
        starts: &HashMap<String, u32>,
    ) -> Vec<String> {
        let mut violations: Vec<_> = outcomes
            .iter()
            .flat_map(|job| check_job(job, starts))
            .collect();
        if self.starts_doubled > 0 {
            violations.push(format!("{} tasks were started twice", self.starts_doubled));
        }
        if self.config_in_force_ms > CONFIG_LIMIT.as_millis() as u64 {
            violations.push("a configuration change was not in force in time".to_owned());
        }
        if self.starts_after_leaving > 0 {
            violations.push("a drained upstream started new tasks".to_owned());
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
        match self.all_invariants_hold() {
            true => writeln!(f, "all invariants held"),
            false => writeln!(f, "some invariants were violated"),
        }
    }
}

/// Returns the invariants that a job violates.
fn check_job(job: &JobOutcome, starts: &HashMap<String, u32>) -> Vec<String> {
    let started = (0..job.tasks)
        .filter(|index| starts.contains_key(&format!("{}/{index}", job.key)))
        .count();
    let mut violations = Vec::new();
    match job.answer.as_str() {
        "complete" if !job.has_expected_results => {
            violations.push(format!(
                "{}: results are missing or belong to another job",
                job.key
            ));
        }
        "complete" if started < job.tasks => {
            violations.push(format!(
                "{}: answered as complete, but not all tasks ran",
                job.key
            ));
        }
        "not_run" if started > 0 => {
            violations.push(format!("{}: answered as not run, but a task ran", job.key));
        }
        "" => violations.push(format!("{}: no answer", job.key)),
        _ => {}
    }
    let conflicting = |other: &&String| !other.is_empty() && **other != job.answer;
    if job
        .duplicate_answers
        .iter()
        .any(|other| conflicting(&other))
    {
        violations.push(format!(
            "{}: conflicting answers {} and {:?}",
            job.key, job.answer, job.duplicate_answers
        ));
    }
    violations
}

fn count_reasons(outcomes: &[JobOutcome]) -> BTreeMap<String, u64> {
    let mut reasons = BTreeMap::new();
    for job in outcomes.iter().filter(|job| !job.reason.is_empty()) {
        *reasons
            .entry(format!("{} {}", job.answer, job.reason))
            .or_default() += 1;
    }
    reasons
}

/// Returns the ratio of response time to ideal time of each complete job, in thousandths.
fn response_ratios(outcomes: &[JobOutcome]) -> Histogram<u64> {
    let mut ratios = Histogram::new(3).expect("three significant digits are valid");
    for job in outcomes.iter().filter(|job| job.answer == "complete") {
        let ratio = job.response_time.as_secs_f64() / job.ideal_time.as_secs_f64();
        ratios.saturating_record((ratio * RATIO_SCALE) as u64);
    }
    ratios
}
