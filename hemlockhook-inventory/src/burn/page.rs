//! Renders the report as a self-contained HTML page.

use std::time::Duration;

use crate::burn::report::{BurnReport, BurnRow, BurnWindow};
use crate::burn::{BurnInterval, Cause, RETAINED_INTERVALS};
use crate::units::format_duration;

/// Number of minutes per bar of a chart.
const BAR_MINUTES: u64 = 5;

/// Width and height of a chart, in pixels.
const CHART_SIZE: (u64, u64) = (720, 90);

const STYLE: &str = "body{font:15px sans-serif;margin:2em;max-width:60em}\
    table{border-collapse:collapse;margin:.5em 0}td,th{padding:.2em .8em;text-align:right;\
    border-bottom:1px solid #ddd}td:first-child,th:first-child{text-align:left}\
    .gap{color:#8a4b00}.fast{color:#a00;font-weight:bold}";

/// Renders the report as an HTML page without external resources.
pub fn render_page(report: &BurnReport) -> String {
    let title = format!("Service-level burn: {}", escape(&report.deployment));
    let gaps: String = report
        .gaps
        .iter()
        .map(|gap| format!("<p class=\"gap\">{}</p>\n", escape(gap)))
        .collect();
    let rows: String = report
        .rows
        .iter()
        .map(|row| render_section(row, report.minute))
        .collect();
    let body = match rows.is_empty() {
        true => "<p>No jobs were counted.</p>\n".to_owned(),
        false => rows,
    };
    format!(
        "<!doctype html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><title>{title}</title>\n\
         <style>{STYLE}</style></head><body>\n<h1>{title}</h1>\n{gaps}{body}</body></html>\n"
    )
}

fn render_section(row: &BurnRow, minute: u64) -> String {
    let objective = match (row.objective_percent, row.objective_ms) {
        (Some(percent), Some(ms)) => {
            let within = format_duration(Duration::from_millis(ms));
            format!("{percent}% of jobs complete within {within}")
        }
        _ => "no objective: the inventory has no such service".to_owned(),
    };
    let windows: String = row.windows.iter().map(render_window).collect();
    format!(
        "<h2>{} / {}</h2>\n<p>{objective}</p>\n\
         <table><tr><th>window</th><th>jobs</th><th>bad</th><th>burn rate</th>\
         <th>budget spent</th><th>causes</th></tr>\n{windows}</table>\n{}",
        escape(&row.service),
        escape(&row.team),
        render_chart(row, minute),
    )
}

fn render_window(window: &BurnWindow) -> String {
    let rate = window.burn_rate;
    let class = match rate {
        Some(rate) if rate > 1.0 => " class=\"fast\"",
        _ => "",
    };
    let causes: Vec<String> = window
        .causes
        .iter()
        .map(|(cause, count)| format!("{} {count}", describe_cause(*cause)))
        .collect();
    format!(
        "<tr><td>{} min</td><td>{}</td><td>{}</td><td{class}>{}</td><td>{}</td><td>{}</td></tr>\n",
        window.minutes,
        window.good + window.bad,
        window.bad,
        rate.map_or_else(|| "-".to_owned(), |r| format!("{r:.2}")),
        window
            .budget_spent_percent
            .map_or_else(|| "-".to_owned(), |p| format!("{p:.1}%")),
        causes.join(", "),
    )
}

/// Renders the share of bad jobs over time as an SVG bar chart, with one bar per five minutes.
fn render_chart(row: &BurnRow, minute: u64) -> String {
    let bars = RETAINED_INTERVALS as u64 / BAR_MINUTES;
    let (width, height) = CHART_SIZE;
    let step = width / bars;
    let shapes: String = (0..bars)
        .filter_map(|i| {
            let first = (minute + 1).saturating_sub((bars - i) * BAR_MINUTES);
            let (good, bad) = sum_bar(row, first);
            let share = bad as f64 / (good + bad).max(1) as f64;
            let bar = (share * height as f64).ceil();
            let x = i * step;
            let tooltip = format!("{bad} of {} jobs bad", good + bad);
            (good + bad > 0).then(|| {
                format!(
                    "<g><title>{tooltip}</title><rect x=\"{x}\" y=\"0\" width=\"{step}\" \
                     height=\"{height}\" fill=\"#eef\"/><rect x=\"{x}\" y=\"{}\" width=\"{}\" \
                     height=\"{bar}\" fill=\"#c33\"/></g>",
                    height as f64 - bar,
                    step - 1,
                )
            })
        })
        .collect();
    format!(
        "<svg role=\"img\" width=\"{width}\" height=\"{}\" viewBox=\"0 0 {width} {}\">\
         <title>Share of bad jobs over six hours</title>{shapes}\
         <line x1=\"0\" y1=\"{height}\" x2=\"{width}\" y2=\"{height}\" stroke=\"#888\"/>\
         <text x=\"0\" y=\"{}\" font-size=\"11\">6 h ago</text>\
         <text x=\"{width}\" y=\"{}\" font-size=\"11\" text-anchor=\"end\">now</text></svg>\n",
        height + 16,
        height + 16,
        height + 13,
        height + 13,
    )
}

fn sum_bar(row: &BurnRow, first: u64) -> (u64, u64) {
    let bad = |interval: &BurnInterval| -> u64 { interval.bad.values().sum::<u64>() };
    row.minutes
        .range(first..first + BAR_MINUTES)
        .fold((0, 0), |(good, all_bad), (_, interval)| {
            (good + interval.good, all_bad + bad(interval))
        })
}

/// Returns a human-readable description of a cause.
pub fn describe_cause(cause: Cause) -> &'static str {
    match cause {
        Cause::Late => "late",
        Cause::HeldBehindLong => "late, held behind long work",
        Cause::Failed => "failed",
        Cause::Unknown => "outcome unknown",
        Cause::Refused => "refused as not run",
    }
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
        .replace('"', "&quot;")
}
