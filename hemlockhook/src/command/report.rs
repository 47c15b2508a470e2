//! `hemlockhook report`.

use std::fs;
use std::net::SocketAddr;
use std::path::Path;

use hemlockhook_inventory::admin::EntryStatus;
use hemlockhook_inventory::burn::{
    BurnCounts, BurnReport, BurnRow, BurnWindow, describe_cause, render_page,
};
use hemlockhook_inventory::check;

use crate::cli::{Entries, ReportCommand, Source};
use crate::client::{Client, EntryReply, describe_failures};
use crate::command::config::fetch_in_force;
use crate::output::{Exit, Format, Table, empty_cell, failure, outln, print_json, usage_error};

/// Runs `hemlockhook report`.
pub fn run(cmd: ReportCommand) -> eyre::Result<Exit> {
    match cmd {
        ReportCommand::Burn {
            output,
            entries,
            log,
            html,
        } => burn(&entries, log, html.as_deref(), output),
    }
}

fn burn(
    entries: &Entries,
    log: SocketAddr,
    html: Option<&Path>,
    format: Format,
) -> eyre::Result<Exit> {
    let client = Client::start();
    let entries = entries.addresses()?;
    let source = Source {
        log,
        entries: entries.clone(),
    };
    let config = fetch_in_force(&client, &source)?;
    let inventory = check(&config.document).map_err(|problems| {
        let message = format!(
            "version {} is not valid for this release: {} problems",
            config.version,
            problems.len()
        );
        failure(Exit::Negative, message)
    })?;

    let replies: Vec<EntryReply<BurnCounts>> = client.get_all(&entries, "/v1/burn")?;
    let missing = describe_missing_counts(&client, &entries, &replies);
    let counts: Vec<BurnCounts> = replies
        .into_iter()
        .filter_map(|reply| reply.result.ok())
        .collect();
    let report = BurnReport::new(&inventory, &counts, missing);
    if let Some(file) = html {
        fs::write(file, render_page(&report))
            .map_err(|e| usage_error(format!("{}: {e}", file.display())))?;
    }
    match format {
        Format::Json => print_json(&report)?,
        Format::Text => print(&report),
    }
    Ok(Exit::Ok)
}

/// Describes the entries whose counts are missing: those that did not respond, and those that
/// other entries know as peers but that were not queried.
fn describe_missing_counts(
    client: &Client,
    entries: &[SocketAddr],
    replies: &[EntryReply<BurnCounts>],
) -> Vec<String> {
    let counted: Vec<&str> = replies
        .iter()
        .filter_map(|reply| Some(reply.result.as_ref().ok()?.entry.as_str()))
        .collect();
    let statuses: Vec<EntryReply<EntryStatus>> = client.get_each(entries, "/v1/status");
    let mut missing: Vec<String> = statuses
        .iter()
        .flat_map(|reply| reply.result.iter().flat_map(|status| &status.peers))
        .filter(|peer| !counted.contains(&peer.name.as_str()))
        .map(|peer| match peer.reachable {
            true => format!(
                "entry {} was not queried: its counts are missing",
                peer.name
            ),
            false => format!("entry {} is unreachable: its counts are lost", peer.name),
        })
        .collect();
    missing.sort();
    missing.dedup();
    missing.extend(describe_failures(replies).lines().map(str::to_owned));
    missing
}

fn print(report: &BurnReport) {
    let mut table = Table::new(&[
        "service",
        "team",
        "objective",
        "window",
        "jobs",
        "bad",
        "burn rate",
        "budget spent",
        "biggest causes",
    ]);
    for row in &report.rows {
        for (i, window) in row.windows.iter().enumerate() {
            table.push_row(cells(row, window, i == 0));
        }
    }
    table.print(&format!("service-level burn of {}", report.deployment));
    for gap in &report.gaps {
        outln!("not counted: {gap}");
    }
}

fn cells(row: &BurnRow, window: &BurnWindow, is_first: bool) -> Vec<String> {
    let once = |text: String| if is_first { text } else { String::new() };
    let objective = match (row.objective_percent, row.objective_ms) {
        (Some(percent), Some(ms)) => format!("{percent}% in {ms} ms"),
        _ => empty_cell(),
    };
    let causes: Vec<String> = window
        .causes
        .iter()
        .take(2)
        .map(|(cause, count)| format!("{} {count}", describe_cause(*cause)))
        .collect();
    vec![
        once(row.service.clone()),
        once(row.team.clone()),
        once(objective),
        format!("{} min", window.minutes),
        (window.good + window.bad).to_string(),
        window.bad.to_string(),
        window
            .burn_rate
            .map_or_else(empty_cell, |rate| format!("{rate:.2}")),
        window
            .budget_spent_percent
            .map_or_else(empty_cell, |percent| format!("{percent:.1}%")),
        causes.join(", "),
    ]
}
