//! Metrics of each policy, as text, JSON and a chart.

use std::path::Path;

use eyre::eyre;
use hdrhistogram::Histogram;
use plotters::prelude::*;
use serde::Serialize;

use crate::replay::ReplayOutcome;
use crate::trace::{SHORT_TASK_MAX_US, Trace};

/// Histograms store ratios in thousandths.
const RATIO_SCALE: f64 = 1000.0;
const MAX_RATIO: f64 = 1e7;

type Metric = fn(&PolicyReport) -> f64;

/// Result of a comparison.
#[derive(Debug, Serialize)]
pub struct Report {
    /// Name of the deployment.
    pub deployment: String,
    /// The seed of the trace, or `None` for a trace that was read from a file.
    pub seed: Option<u64>,
    /// Jobs in the trace.
    pub jobs: usize,
    /// Tasks in the trace.
    pub tasks: usize,
    /// Length of the trace in virtual seconds.
    pub virtual_seconds: f64,
    /// Value of `patience` that the clairvoyant reference uses.
    pub clairvoyant_patience: f64,
    /// p99 of response ÷ ideal of the clairvoyant reference, over jobs that arrive in a load peak.
    pub clairvoyant_response_ratio_p99_crest: f64,
    /// Metrics of each policy.
    pub policies: Vec<PolicyReport>,
}

/// Metrics of one policy.
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
    /// Median of response ÷ ideal over the jobs that arrive in a load peak.
    pub response_ratio_p50_crest: f64,
    /// 95th percentile of it.
    pub response_ratio_p95_crest: f64,
    /// 99th percentile of it.
    pub response_ratio_p99_crest: f64,
    /// 99th percentile, over the jobs that arrive in a load peak, of response ÷ the same job's
    /// response under the clairvoyant reference.
    pub clairvoyant_ratio_p99_crest: f64,
    /// `response_ratio_p99_crest` ÷ the same metric of the clairvoyant reference.
    pub clairvoyant_ratio_of_p99_crest: f64,
    /// 99th percentile over short tasks of the delay caused by long tasks ÷ run time at speed 1.
    pub short_delay_due_to_long_p99: f64,
    /// 99th percentile over short tasks of the wait while a long task held a suitable slot ÷ run time
    /// at speed 1.
    pub short_wait_beside_long_p99: f64,
    /// 99th percentile over short tasks of the whole wait ÷ run time at speed 1.
    pub short_wait_p99: f64,
    /// The same on the trace without the jobs that have long tasks.
    pub short_wait_p99_without_long: f64,
    /// Messages per started task.
    pub messages_per_task: f64,
    /// Wasted messages per started task: refusals, recalls, returns, the grants that were returned
    /// unused, and task results that arrive after their job ended.
    pub wasted_messages_per_task: f64,
    /// Start requests per started task.
    pub starts_per_task: f64,
    /// Task results per started task.
    pub ends_per_task: f64,
    /// Messages per started task that carry only a demand.
    pub demands_per_task: f64,
    /// Messages per started task that carry only grants.
    pub grants_per_task: f64,
    /// Messages per started task sent only for recalls or returns of grants.
    pub recalls_per_task: f64,
    /// Refusals and cancellations per started task.
    pub refusals_and_cancels_per_task: f64,
    /// Jobs that completed after their deadline or not at all, except those that clients cancel.
    pub jobs_late: usize,
    /// Jobs refused on submission.
    pub jobs_refused: usize,
    /// Wall-clock microseconds spent on scheduling decisions per started task.
    pub decision_us_per_task: f64,
}

/// Returns response ÷ ideal of each job, or `None` for jobs that did not complete or that their client
/// cancels.
pub fn response_ratios(trace: &Trace, responses_us: &[Option<u64>]) -> Vec<Option<f64>> {
    let ratio = |(job, response): (&crate::trace::Job, &Option<u64>)| {
        let response = response.filter(|_| job.cancel_after_ms.is_none())?;
        Some(response as f64 / trace.deployment.ideal_response_us(job) as f64)
    };
    trace.jobs.iter().zip(responses_us).map(ratio).collect()
}

/// Returns a percentile of the values of the jobs that arrive in a load peak.
pub fn peak_percentile(trace: &Trace, values: &[Option<f64>], percentile: f64) -> f64 {
    let at_peak = trace
        .jobs
        .iter()
        .zip(values)
        .filter(|(j, _)| trace.deployment.is_peak(j.at_us));
    percentile_of(at_peak.filter_map(|(_, value)| *value), percentile)
}

/// Returns the response time of each job, or `None` for jobs that did not complete.
pub fn response_times_us(trace: &Trace, outcome: &ReplayOutcome) -> Vec<Option<u64>> {
    let jobs = trace.jobs.iter().zip(&outcome.jobs);
    jobs.map(|(job, outcome)| outcome.answered_us.map(|at| at - job.at_us))
        .collect()
}

/// Computes the metrics of one policy. `clairvoyant_us` holds the response times of the clairvoyant
/// reference; `without_long` is the policy's outcome on the trace without the jobs that have long tasks.
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
    let overall = |percentile| percentile_of(ratios.iter().flatten().copied(), percentile);
    let at_peak = |percentile| peak_percentile(trace, &ratios, percentile);
    let short = || {
        outcome
            .waits
            .iter()
            .filter(|wait| wait.run_us <= SHORT_TASK_MAX_US)
    };
    let relative_to_run_time = |value: f64, run_us: u64| value / run_us as f64;
    let without_long_waits = without_long
        .waits
        .iter()
        .filter(|wait| wait.run_us <= SHORT_TASK_MAX_US);
    let m = &outcome.messages;
    let tasks = outcome.waits.len() as f64;
    let per_task = |count: u64| count as f64 / tasks;
    let total =
        m.starts + m.ends + m.refusals + m.cancels + m.demands + m.grants + m.recalls + m.returns;
    PolicyReport {
        name: name.into(),
        response_ratio_p50: overall(50.0),
        response_ratio_p95: overall(95.0),
        response_ratio_p99: overall(99.0),
        response_ratio_p50_crest: at_peak(50.0),
        response_ratio_p95_crest: at_peak(95.0),
        response_ratio_p99_crest: at_peak(99.0),
        clairvoyant_ratio_p99_crest: peak_percentile(trace, &to_clairvoyant, 99.0),
        clairvoyant_ratio_of_p99_crest: at_peak(99.0) / peak_percentile(trace, &reference, 99.0),
        short_delay_due_to_long_p99: percentile_of(
            short().map(|w| relative_to_run_time(w.delay_due_to_long_us, w.run_us)),
            99.0,
        ),
        short_wait_beside_long_p99: percentile_of(
            short().map(|w| relative_to_run_time(w.wait_during_long_us, w.run_us)),
            99.0,
        ),
        short_wait_p99: percentile_of(
            short().map(|w| relative_to_run_time(w.wait_us as f64, w.run_us)),
            99.0,
        ),
        short_wait_p99_without_long: percentile_of(
            without_long_waits.map(|w| relative_to_run_time(w.wait_us as f64, w.run_us)),
            99.0,
        ),
        messages_per_task: per_task(total),
        wasted_messages_per_task: per_task(
            m.refusals + m.recalls + m.returns + m.unused_grants + m.late_ends,
        ),
        starts_per_task: per_task(m.starts),
        ends_per_task: per_task(m.ends),
        demands_per_task: per_task(m.demands),
        grants_per_task: per_task(m.grants),
        recalls_per_task: per_task(m.recalls + m.returns),
        refusals_and_cancels_per_task: per_task(m.refusals + m.cancels),
        jobs_late: count_late_jobs(trace, &responses),
        jobs_refused: outcome.jobs.iter().filter(|job| job.refused).count(),
        decision_us_per_task: outcome.decision_time.as_secs_f64() * 1e6 / tasks,
    }
}

/// Formats the report as a table.
pub fn format_table(report: &Report) -> String {
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

/// Draws the p99 during load peaks, the delay caused by long tasks and the messages per task of each
/// policy as an SVG chart.
pub fn draw_chart(report: &Report, path: &Path) -> eyre::Result<()> {
    let root = SVGBackend::new(path, (960, 360)).into_drawing_area();
    let chart_error = |error: &dyn std::fmt::Display| eyre!("failed to draw the chart: {error}");
    root.fill(&WHITE).map_err(|e| chart_error(&e))?;
    let metrics: [(&str, Metric); 3] = [
        ("p99 response/ideal at the crest", |p| {
            p.response_ratio_p99_crest
        }),
        ("p99 short delay due to long/run time", |p| {
            p.short_delay_due_to_long_p99
        }),
        ("messages per task", |p| p.messages_per_task),
    ];
    for (area, (caption, metric)) in root.split_evenly((1, 3)).iter().zip(metrics) {
        let top = report.policies.iter().map(metric).fold(0.0, f64::max) * 1.1;
        let count = report.policies.len() as f64;
        let mut chart = ChartBuilder::on(area)
            .caption(caption, ("sans-serif", 14))
            .margin(8)
            .x_label_area_size(20)
            .y_label_area_size(40)
            .build_cartesian_2d(0.0..count, 0.0..top.max(0.001))
            .map_err(|e| chart_error(&e))?;
        chart
            .configure_mesh()
            .disable_x_mesh()
            .x_labels(0)
            .draw()
            .map_err(|e| chart_error(&e))?;
        let bars = report.policies.iter().enumerate().map(|(index, policy)| {
            let left = index as f64;
            Rectangle::new(
                [(left + 0.1, 0.0), (left + 0.9, metric(policy))],
                Palette99::pick(index).filled(),
            )
        });
        chart.draw_series(bars).map_err(|e| chart_error(&e))?;
        let labels = report.policies.iter().enumerate().map(|(index, policy)| {
            Text::new(
                policy.name.clone(),
                (index as f64 + 0.1, top * 0.02),
                ("sans-serif", 11),
            )
        });
        chart.draw_series(labels).map_err(|e| chart_error(&e))?;
    }
    root.present().map_err(|e| chart_error(&e))
}

fn count_late_jobs(trace: &Trace, responses_us: &[Option<u64>]) -> usize {
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
    let mut histogram = Histogram::<u64>::new(3).expect("three significant digits are supported");
    for value in values {
        histogram
            .record((value.min(MAX_RATIO) * RATIO_SCALE) as u64)
            .expect("the histogram resizes automatically");
    }
    histogram.value_at_percentile(percentile) as f64 / RATIO_SCALE
}
