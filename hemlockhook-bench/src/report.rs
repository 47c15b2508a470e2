//! The figures of each policy, as text, JSON and a chart.

use std::path::Path;

use eyre::eyre;
use hdrhistogram::Histogram;
use plotters::prelude::*;
use serde::Serialize;

use crate::replay::ReplayOutcome;
use crate::trace::{SHORT_TASK_MAX_US, Trace};

/// Histograms hold ratios in thousandths.
const SCALE: f64 = 1000.0;
const MAX_RATIO: f64 = 1e7;

type Figure = fn(&PolicyReport) -> f64;

/// Everything that one comparison gives.
#[derive(Debug, Serialize)]
pub struct Report {
    /// The deployment.
    pub deployment: String,
    /// The seed of the trace, or `None` for a trace that was read from a file.
    pub seed: Option<u64>,
    /// Jobs in the trace.
    pub jobs: usize,
    /// Tasks in the trace.
    pub tasks: usize,
    /// Seconds of the trace, in virtual time.
    pub virtual_seconds: f64,
    /// The rule's parameter that gave the clairvoyant reference.
    pub clairvoyant_patience: f64,
    /// p99 of response ÷ ideal at the crest, of the clairvoyant reference.
    pub clairvoyant_response_ratio_p99_crest: f64,
    /// One for each policy.
    pub policies: Vec<PolicyReport>,
}

/// The figures of one policy.
#[derive(Clone, Debug, Serialize)]
pub struct PolicyReport {
    /// Name of the policy.
    pub name: String,
    /// Median of response ÷ ideal over all jobs.
    pub response_ratio_p50: f64,
    /// 95th percentile of it.
    pub response_ratio_p95: f64,
    /// 99th percentile of it.
    pub response_ratio_p99: f64,
    /// Median of response ÷ ideal over the jobs that arrive in a crest.
    pub response_ratio_p50_crest: f64,
    /// 95th percentile of it.
    pub response_ratio_p95_crest: f64,
    /// 99th percentile of it.
    pub response_ratio_p99_crest: f64,
    /// 99th percentile, over the jobs that arrive in a crest, of response ÷ the same job's response
    /// under the clairvoyant reference.
    pub clairvoyant_ratio_p99_crest: f64,
    /// `response_ratio_p99_crest` ÷ the same figure of the clairvoyant reference.
    pub clairvoyant_ratio_of_p99_crest: f64,
    /// 99th percentile over short tasks of the delay due to long work ÷ run time at speed 1.
    pub short_delay_due_to_long_p99: f64,
    /// 99th percentile over short tasks of the wait while long work held a suitable slot ÷ run time.
    pub short_wait_beside_long_p99: f64,
    /// 99th percentile over short tasks of the whole wait ÷ run time.
    pub short_wait_p99: f64,
    /// The same on the trace without its long jobs.
    pub short_wait_p99_without_long: f64,
    /// Messages for each task that started.
    pub messages_per_task: f64,
    /// Wasted ones among them: refusals, recalls, returns with the grants that they undo, late ends.
    pub wasted_messages_per_task: f64,
    /// Starts for each task that started.
    pub starts_per_task: f64,
    /// Ends for each task that started.
    pub ends_per_task: f64,
    /// Messages of their own with a backlog.
    pub demands_per_task: f64,
    /// Messages of their own with grants.
    pub grants_per_task: f64,
    /// Messages of their own with recalls or returns.
    pub recalls_per_task: f64,
    /// Refusals and cancellations.
    pub refusals_and_cancels_per_task: f64,
    /// Jobs that were answered after their deadline, or not completed without being cancelled.
    pub jobs_late: usize,
    /// Jobs refused at once.
    pub jobs_refused: usize,
    /// Microseconds of decisions for each task on this machine.
    pub decision_us_per_task: f64,
}

/// Returns response ÷ ideal for each job that was completed and that no client cancels.
pub fn response_ratios(trace: &Trace, responses_us: &[Option<u64>]) -> Vec<Option<f64>> {
    let ratio = |(job, response): (&crate::trace::Job, &Option<u64>)| {
        let response = response.filter(|_| job.cancel_after_ms.is_none())?;
        Some(response as f64 / trace.deployment.ideal_response_us(job) as f64)
    };
    trace.jobs.iter().zip(responses_us).map(ratio).collect()
}

/// Returns a percentile of the values at the crest.
pub fn peak_percentile(trace: &Trace, values: &[Option<f64>], percentile: f64) -> f64 {
    let at_crest = trace
        .jobs
        .iter()
        .zip(values)
        .filter(|(j, _)| trace.deployment.is_peak(j.at_us));
    percentile_of(at_crest.filter_map(|(_, value)| *value), percentile)
}

/// Returns the response time of each completed job.
pub fn response_times_us(trace: &Trace, outcome: &ReplayOutcome) -> Vec<Option<u64>> {
    let jobs = trace.jobs.iter().zip(&outcome.jobs);
    jobs.map(|(job, outcome)| outcome.answered_us.map(|at| at - job.at_us))
        .collect()
}

/// Computes the figures of one policy. `clairvoyant_us` holds the reference's response times, and
/// `without_long` the policy's outcome on the trace without its long jobs.
pub fn policy_report(
    name: &str,
    trace: &Trace,
    outcome: &ReplayOutcome,
    without_long: &ReplayOutcome,
    clairvoyant_us: &[Option<u64>],
) -> PolicyReport {
    let responses = response_times_us(trace, outcome);
    let ratios = response_ratios(trace, &responses);
    let to_reference =
        |(response, reference): (&Option<u64>, &Option<u64>)| match (response, reference) {
            (Some(response), Some(reference)) => Some(*response as f64 / *reference as f64),
            _ => None,
        };
    let to_clairvoyant: Vec<_> = responses
        .iter()
        .zip(clairvoyant_us)
        .map(to_reference)
        .collect();
    let reference = response_ratios(trace, clairvoyant_us);
    let whole = |percentile| percentile_of(ratios.iter().flatten().copied(), percentile);
    let crest = |percentile| peak_percentile(trace, &ratios, percentile);
    let short = || {
        outcome
            .waits
            .iter()
            .filter(|wait| wait.run_us <= SHORT_TASK_MAX_US)
    };
    let share = |value: f64, run_us: u64| value / run_us as f64;
    let bare = without_long
        .waits
        .iter()
        .filter(|wait| wait.run_us <= SHORT_TASK_MAX_US);
    let m = &outcome.messages;
    let tasks = outcome.waits.len() as f64;
    let each = |count: u64| count as f64 / tasks;
    let total =
        m.starts + m.ends + m.refusals + m.cancels + m.demands + m.grants + m.recalls + m.returns;
    PolicyReport {
        name: name.into(),
        response_ratio_p50: whole(50.0),
        response_ratio_p95: whole(95.0),
        response_ratio_p99: whole(99.0),
        response_ratio_p50_crest: crest(50.0),
        response_ratio_p95_crest: crest(95.0),
        response_ratio_p99_crest: crest(99.0),
        clairvoyant_ratio_p99_crest: peak_percentile(trace, &to_clairvoyant, 99.0),
        clairvoyant_ratio_of_p99_crest: crest(99.0) / peak_percentile(trace, &reference, 99.0),
        short_delay_due_to_long_p99: percentile_of(
            short().map(|w| share(w.delay_due_to_long_us, w.run_us)),
            99.0,
        ),
        short_wait_beside_long_p99: percentile_of(
            short().map(|w| share(w.wait_during_long_us, w.run_us)),
            99.0,
        ),
        short_wait_p99: percentile_of(short().map(|w| share(w.wait_us as f64, w.run_us)), 99.0),
        short_wait_p99_without_long: percentile_of(
            bare.map(|w| share(w.wait_us as f64, w.run_us)),
            99.0,
        ),
        messages_per_task: each(total),
        wasted_messages_per_task: each(
            m.refusals + m.recalls + m.returns + m.unused_grants + m.late_ends,
        ),
        starts_per_task: each(m.starts),
        ends_per_task: each(m.ends),
        demands_per_task: each(m.demands),
        grants_per_task: each(m.grants),
        recalls_per_task: each(m.recalls + m.returns),
        refusals_and_cancels_per_task: each(m.refusals + m.cancels),
        jobs_late: late(trace, &responses),
        jobs_refused: outcome.jobs.iter().filter(|job| job.refused).count(),
        decision_us_per_task: outcome.decision_time.as_secs_f64() * 1e6 / tasks,
    }
}

/// Returns the report as a table.
pub fn text(report: &Report) -> String {
    let mut out = format!(
        "deployment {}, seed {}, {} jobs, {} tasks, {:.0} s of virtual time\n\
         clairvoyant reference: p99 response/ideal at the crest {:.2} (patience {})\n\n",
        report.deployment,
        report.seed.map_or("-".into(), |seed| seed.to_string()),
        report.jobs,
        report.tasks,
        report.virtual_seconds,
        report.clairvoyant_response_ratio_p99_crest,
        report.clairvoyant_patience,
    );
    let columns: Vec<serde_json::Value> = report
        .policies
        .iter()
        .map(|p| serde_json::to_value(p).unwrap_or_default())
        .collect();
    let Some(keys) = columns.first().and_then(|first| first.as_object()) else {
        return out;
    };
    for key in ["name"]
        .into_iter()
        .chain(keys.keys().map(String::as_str).filter(|k| *k != "name"))
    {
        out += &format!("{key:<34}");
        for column in &columns {
            let cell = match &column[key] {
                serde_json::Value::String(text) => text.clone(),
                serde_json::Value::Number(n) if n.is_f64() => {
                    format!("{:.3}", n.as_f64().unwrap_or(0.0))
                }
                other => other.to_string(),
            };
            out += &format!(" {cell:>14}");
        }
        out.push('\n');
    }
    out
}

/// Draws the p99 at the crest, the delay due to long work and the messages of each policy.
pub fn chart(report: &Report, path: &Path) -> eyre::Result<()> {
    let root = SVGBackend::new(path, (960, 360)).into_drawing_area();
    let fail = |error: &dyn std::fmt::Display| eyre!("the chart: {error}");
    root.fill(&WHITE).map_err(|e| fail(&e))?;
    let figures: [(&str, Figure); 3] = [
        ("p99 response/ideal at the crest", |p| {
            p.response_ratio_p99_crest
        }),
        ("p99 short delay due to long/run time", |p| {
            p.short_delay_due_to_long_p99
        }),
        ("messages per task", |p| p.messages_per_task),
    ];
    for (area, (caption, figure)) in root.split_evenly((1, 3)).iter().zip(figures) {
        let top = report.policies.iter().map(figure).fold(0.0, f64::max) * 1.1;
        let count = report.policies.len() as f64;
        let mut chart = ChartBuilder::on(area)
            .caption(caption, ("sans-serif", 14))
            .margin(8)
            .x_label_area_size(20)
            .y_label_area_size(40)
            .build_cartesian_2d(0.0..count, 0.0..top.max(0.001))
            .map_err(|e| fail(&e))?;
        chart
            .configure_mesh()
            .disable_x_mesh()
            .x_labels(0)
            .draw()
            .map_err(|e| fail(&e))?;
        let bars = report.policies.iter().enumerate().map(|(index, policy)| {
            let left = index as f64;
            Rectangle::new(
                [(left + 0.1, 0.0), (left + 0.9, figure(policy))],
                Palette99::pick(index).filled(),
            )
        });
        chart.draw_series(bars).map_err(|e| fail(&e))?;
        let labels = report.policies.iter().enumerate().map(|(index, policy)| {
            Text::new(
                policy.name.clone(),
                (index as f64 + 0.1, top * 0.02),
                ("sans-serif", 11),
            )
        });
        chart.draw_series(labels).map_err(|e| fail(&e))?;
    }
    root.present().map_err(|e| fail(&e))
}

fn late(trace: &Trace, responses_us: &[Option<u64>]) -> usize {
    let jobs = trace
        .jobs
        .iter()
        .zip(responses_us)
        .filter(|(job, _)| job.cancel_after_ms.is_none());
    jobs.filter(|(job, response)| response.is_none_or(|us| us > job.deadline_ms * 1000))
        .count()
}

fn percentile_of<I>(values: I, percentile: f64) -> f64
where
    I: Iterator<Item = f64>,
{
    let mut histogram = Histogram::<u64>::new(3).expect("three digits are supported");
    for value in values {
        histogram
            .record((value.min(MAX_RATIO) * SCALE) as u64)
            .expect("the histogram grows");
    }
    histogram.value_at_percentile(percentile) as f64 / SCALE
}
