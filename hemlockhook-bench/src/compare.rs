//! Compares the system's scheduling policy with the baselines on one trace.

use std::path::Path;
use std::thread;

use strum::{Display, EnumString, IntoEnumIterator};

use crate::baseline::Baseline;
use crate::clairvoyant::{self, PATIENCES};
use crate::replay::{Scheduler, replay};
use crate::report::{self, PolicyReport, Report};
use crate::trace::Trace;

/// Output format of a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum OutputFormat {
    /// A table in plain text.
    Text,
    /// Pretty-printed JSON.
    Json,
}

/// Comparison of the policies on one trace.
#[derive(Debug)]
pub struct Comparison {
    /// Trace to replay with each policy.
    pub trace: Trace,
    /// Seed of a generated trace; `None` if it was read from a file.
    pub seed: Option<u64>,
    /// Name of the only policy to run; `None` runs all.
    pub only: Option<String>,
}

impl Comparison {
    /// Runs the comparison and prints it.
    pub fn run(&self, output: OutputFormat, chart: Option<&Path>) -> eyre::Result<()> {
        let report = self.report();
        match output {
            OutputFormat::Text => print!("{}", report::format_table(&report)),
            OutputFormat::Json => println!("{}", serde_json::to_string_pretty(&report)?),
        }
        chart.map_or(Ok(()), |path| report::draw_chart(&report, path))
    }

    /// Computes the metrics of every selected policy.
    pub fn report(&self) -> Report {
        let trace = &self.trace;
        let (patience, reference) = best_clairvoyant_reference(trace);
        let ratios = report::response_ratios(trace, &reference);
        let trace_without_long = trace.without_long_jobs();
        let system = || ("hemlockhook".to_string(), Scheduler::System(Box::default()));
        let baseline = |baseline: Baseline| (baseline.to_string(), Scheduler::Baseline(baseline));
        let mut schedulers: Vec<_> = [system()]
            .into_iter()
            .chain(Baseline::iter().map(baseline))
            .collect();
        schedulers.retain(|(name, _)| self.only.as_ref().is_none_or(|only| only == name));
        let replay_policy = |name: &str, scheduler: &Scheduler| -> PolicyReport {
            let (whole, without_long) = (
                replay(trace, scheduler.clone()),
                replay(&trace_without_long, scheduler.clone()),
            );
            report::policy_report(name, trace, &whole, &without_long, &reference)
        };
        let policies = thread::scope(|scope| {
            let threads: Vec<_> = schedulers
                .iter()
                .map(|(name, scheduler)| scope.spawn(|| replay_policy(name, scheduler)))
                .collect();
            threads
                .into_iter()
                .map(|t| t.join().expect("a replay does not panic"))
                .collect()
        });
        Report {
            deployment: trace.deployment.name.clone(),
            seed: self.seed,
            jobs: trace.jobs.len(),
            tasks: trace.jobs.iter().map(|job| job.tasks.len()).sum(),
            virtual_seconds: trace.jobs.last().map_or(0.0, |job| job.at_us as f64 / 1e6),
            clairvoyant_patience: patience,
            clairvoyant_response_ratio_p99_crest: report::peak_percentile(trace, &ratios, 99.0),
            policies,
        }
    }
}

/// Returns the patience with the lowest p99 during load peaks, and the response times of the
/// clairvoyant reference with it.
fn best_clairvoyant_reference(trace: &Trace) -> (f64, Vec<Option<u64>>) {
    let run = |patience: f64| {
        let responses = clairvoyant::response_times_us(trace, patience);
        let ratios = report::response_ratios(trace, &responses);
        (
            report::peak_percentile(trace, &ratios, 99.0),
            patience,
            responses,
        )
    };
    let runs = thread::scope(|scope| {
        let threads = PATIENCES.map(|patience| scope.spawn(move || run(patience)));
        threads.map(|t| t.join().expect("the reference does not panic"))
    });
    let best = runs
        .into_iter()
        .min_by(|a, b| a.0.total_cmp(&b.0))
        .expect("at least one patience is tried");
    (best.1, best.2)
}
