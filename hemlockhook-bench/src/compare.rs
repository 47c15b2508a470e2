//! Compares the system's policy with the baselines on one trace.

use std::path::Path;
use std::thread;

use strum::{Display, EnumString, IntoEnumIterator};

use crate::baseline::Baseline;
use crate::clairvoyant::{self, PATIENCES};
use crate::replay::{Scheduler, replay};
use crate::report::{self, PolicyReport, Report};
use crate::trace::Trace;

/// How a report is printed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum OutputFormat {
    /// As a table.
    Text,
    /// As JSON.
    Json,
}

/// A comparison on one trace.
#[derive(Debug)]
pub struct Comparison {
    /// The trace.
    pub trace: Trace,
    /// Its seed, if it was made from one.
    pub seed: Option<u64>,
    /// Name of the only policy to be run, if not all.
    pub only: Option<String>,
}

impl Comparison {
    /// Runs the comparison and prints it.
    pub fn run(&self, output: OutputFormat, chart: Option<&Path>) -> eyre::Result<()> {
        let report = self.report();
        match output {
            OutputFormat::Text => print!("{}", report::text(&report)),
            OutputFormat::Json => println!("{}", serde_json::to_string_pretty(&report)?),
        }
        chart.map_or(Ok(()), |path| report::chart(&report, path))
    }

    /// Computes the figures of every policy.
    pub fn report(&self) -> Report {
        let trace = &self.trace;
        let (patience, reference) = best_reference(trace);
        let ratios = report::response_ratios(trace, &reference);
        let bare = trace.without_long_jobs();
        let system = || ("hemlockhook".to_string(), Scheduler::System(Box::default()));
        let push = |baseline: Baseline| (baseline.to_string(), Scheduler::Baseline(baseline));
        let mut schedulers: Vec<_> = [system()]
            .into_iter()
            .chain(Baseline::iter().map(push))
            .collect();
        schedulers.retain(|(name, _)| self.only.as_ref().is_none_or(|only| only == name));
        let one = |name: &str, scheduler: &Scheduler| -> PolicyReport {
            let (whole, bare) = (
                replay(trace, scheduler.clone()),
                replay(&bare, scheduler.clone()),
            );
            report::policy_report(name, trace, &whole, &bare, &reference)
        };
        let policies = thread::scope(|scope| {
            let threads: Vec<_> = schedulers
                .iter()
                .map(|(name, scheduler)| scope.spawn(|| one(name, scheduler)))
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

/// Returns the clairvoyant reference with the lowest p99 at the crest, and its patience.
fn best_reference(trace: &Trace) -> (f64, Vec<Option<u64>>) {
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
        .expect("some patience was tried");
    (best.1, best.2)
}
