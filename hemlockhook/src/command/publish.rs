//! `hemlockhook config publish`.

use std::time::{Duration, Instant};

use async_io::Timer;
use hemlockhook_inventory::diff::unified_diff;
use hemlockhook_inventory::{
    ConfigReader, ConfigRecord, PublishAction, PublishOutcome, Publisher, check,
};
use hemlockhook_ports::{HttpLog, Log, LogError};
use serde_json::json;
use uuid::Uuid;

use crate::cli::PublishArgs;
use crate::client::Client;
use crate::command::config::{
    CONFIG_STREAM, LogItem, fetch_peer_configs, read_log, resolve_base, split_version_line,
};
use crate::command::inventory::{print_problems, read_file};
use crate::output::{Exit, Format, outln, print_json};

/// Delay before the log is read again after a failure.
const RETRY_DELAY: Duration = Duration::from_millis(250);

/// Runs `hemlockhook config publish`.
pub fn run(args: &PublishArgs) -> eyre::Result<Exit> {
    let text = read_file(&args.file)?;
    let (version, document) = split_version_line(&text);
    if let Err(problems) = check(document) {
        print_problems(&args.file, &problems);
        return Ok(Exit::Negative);
    }

    let record = ConfigRecord {
        change_id: args.change_id.clone().unwrap_or_else(new_change_id),
        base: match args.restore {
            true => 0,
            false => resolve_base(args.base, version)?,
        },
        restore: args.restore,
        document: document.to_owned(),
        author: args.author.clone(),
        ..ConfigRecord::default()
    };
    let client = Client::start();
    let mut publisher = Publisher::new(ConfigReader::new(), record.clone());
    if args.change_id.is_some() {
        publisher = publisher.resume();
    }
    for peer in fetch_peer_configs(&client, &args.source.entries) {
        publisher.on_peer_config(peer.version, &peer.document);
    }

    let log = client.log(args.source.log);
    let outcome = run_publisher(&mut publisher, &log, Instant::now() + args.timeout);
    let diff = match outcome {
        PublishOutcome::Refused { .. } => unified_diff(document, publisher.reader().document()),
        _ => String::new(),
    };
    match args.output {
        Format::Json => print_json(&json!({
            "change_id": record.change_id, "base": record.base, "result": outcome, "diff": diff,
        }))?,
        Format::Text => print_outcome(args, &record, &outcome, &diff),
    }
    Ok(exit_code(&outcome))
}

/// Executes the publisher's actions until the outcome of the change is known, or the deadline has
/// passed.
fn run_publisher(publisher: &mut Publisher, log: &HttpLog, deadline: Instant) -> PublishOutcome {
    let mut reason = "the log did not respond in time".to_owned();
    loop {
        match publisher.action().clone() {
            PublishAction::Done(outcome) => return outcome,
            _ if Instant::now() >= deadline => publisher.on_deadline(&reason),
            PublishAction::Read => match read_to_end(publisher, log) {
                Ok(()) => publisher.on_caught_up(),
                Err(e) => {
                    reason = e.to_string();
                    publisher.on_read_failed(&reason);
                    wait_before_retry(publisher);
                }
            },
            PublishAction::Append(body) => {
                match async_io::block_on(log.append(CONFIG_STREAM, body.into())) {
                    Ok(offset) => publisher.on_appended(offset),
                    Err(LogError::Uncertain(e)) => {
                        reason = e;
                        publisher.on_append_uncertain();
                    }
                    Err(e) => publisher.on_append_failed(&e.to_string()),
                }
            }
        }
    }
}

fn read_to_end(publisher: &mut Publisher, log: &HttpLog) -> Result<(), LogError> {
    read_log(log, |item| match item {
        LogItem::FirstRetained(first_retained) => publisher.on_truncated(first_retained),
        LogItem::Record(record) => publisher.on_record(record.offset, &record.body),
    })
}

/// Waits for [`RETRY_DELAY`], unless the publisher is done.
fn wait_before_retry(publisher: &Publisher) {
    if !matches!(publisher.action(), PublishAction::Done(_)) {
        async_io::block_on(Timer::after(RETRY_DELAY));
    }
}

fn print_outcome(args: &PublishArgs, record: &ConfigRecord, outcome: &PublishOutcome, diff: &str) {
    match outcome {
        PublishOutcome::Accepted { version } => outln!("accepted as version {version}"),
        PublishOutcome::Refused { in_force } => {
            outln!(
                "refused: the document is based on version {}, but version {in_force} is in force",
                record.base
            );
            outln!("changes from this document to version {in_force}:\n{diff}");
        }
        PublishOutcome::NotPublished { why } => {
            outln!("not published, and nothing was changed: {why}");
        }
        PublishOutcome::Unsettled { why } => {
            outln!("unsettled: the change may still come into force: {why}");
            outln!(
                "to settle it, run: hemlockhook config publish {} {} --change-id {} --log {}",
                args.file.display(),
                match record.restore {
                    true => "--restore".to_owned(),
                    false => format!("--base {}", record.base),
                },
                record.change_id,
                args.source.log,
            );
        }
    }
}

fn exit_code(outcome: &PublishOutcome) -> Exit {
    match outcome {
        PublishOutcome::Accepted { .. } => Exit::Ok,
        PublishOutcome::Refused { .. } => Exit::Negative,
        PublishOutcome::NotPublished { .. } => Exit::Unreachable,
        PublishOutcome::Unsettled { .. } => Exit::Unsettled,
    }
}

fn new_change_id() -> String {
    Uuid::now_v7().to_string()
}
