//! `hemlockhook events`.

use std::time::{Duration, UNIX_EPOCH};

use hemlockhook_inventory::admin::Event;

use crate::cli::EventsArgs;
use crate::client::{Client, describe_failures};
use crate::output::{Exit, Format, Table, print_json};

/// Prints the events of all entries, sorted by the time of each entry's own clock.
pub fn run(args: &EventsArgs) -> eyre::Result<Exit> {
    let path = format!("/v1/events?since={}", args.since);
    let replies = Client::start().get_all::<Vec<Event>>(&args.entries.addresses()?, &path)?;
    let mut events: Vec<&Event> = replies
        .iter()
        .flat_map(|reply| reply.result.iter().flatten())
        .collect();
    events.sort_by_key(|event| (event.at_ms, &event.entry, event.sequence));

    if args.output == Format::Json {
        print_json(&events)?;
        return Ok(Exit::Ok);
    }
    let mut table = Table::new(&["time (UTC)", "entry", "number", "event", "what", "detail"]);
    for event in events {
        table.push_row([
            time_of_day(event.at_ms),
            event.entry.clone(),
            event.sequence.to_string(),
            event.kind.to_string(),
            event.subject.clone(),
            event.detail.clone(),
        ]);
    }
    table.print("events");
    let failures = describe_failures(&replies);
    if !failures.is_empty() {
        eprintln!("{failures}");
    }
    Ok(Exit::Ok)
}

/// Formats the UTC time of day of a Unix time in milliseconds.
fn time_of_day(at_ms: u64) -> String {
    let since = (UNIX_EPOCH + Duration::from_millis(at_ms)).duration_since(UNIX_EPOCH);
    let seconds = since.unwrap_or_default().as_secs() % 86_400;
    let (hours, minutes) = (seconds / 3_600, seconds / 60 % 60);
    format!(
        "{hours:02}:{minutes:02}:{:02}.{:03}",
        seconds % 60,
        at_ms % 1_000
    )
}
