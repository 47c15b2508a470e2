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
use crate::command::config::{CONFIG, Read, base_of, peers, read_log, split_version};
use crate::command::inventory::{print_problems, read};
use crate::output::{Exit, Format, line, print_json};

/// Time between two tries to reach the log.
const RETRY: Duration = Duration::from_millis(250);

/// Runs `hemlockhook config publish`.
pub fn run(args: &PublishArgs) -> eyre::Result<Exit> {
    let text = read(&args.file)?;
    let (line, document) = split_version(&text);
    if let Err(problems) = check(document) {
        print_problems(&args.file, &problems);
        return Ok(Exit::Negative);
    }

    let record = ConfigRecord {
        change_id: args.change_id.clone().unwrap_or_else(new_change_id),
        base: match args.restore {
            true => 0,
            false => base_of(args.base, line)?,
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
    for peer in peers(&client, &args.source.entries) {
        publisher.on_peer_config(peer.version, &peer.document);
    }

    let log = client.log(args.source.log);
    let outcome = drive(&mut publisher, &log, Instant::now() + args.timeout);
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
    Ok(exit(&outcome))
}

/// Does what the publisher asks for until the change is settled.
fn drive(publisher: &mut Publisher, log: &HttpLog, deadline: Instant) -> PublishOutcome {
    let mut why = "the log did not answer in time".to_owned();
    loop {
        match publisher.action().clone() {
            PublishAction::Done(outcome) => return outcome,
            _ if Instant::now() >= deadline => publisher.on_deadline(&why),
            PublishAction::Read => match read_to_end(publisher, log) {
                Ok(()) => publisher.on_caught_up(),
                Err(e) => {
                    why = e.to_string();
                    publisher.on_read_failed(&why);
                    pause(publisher);
                }
            },
            PublishAction::Append(body) => {
                match async_io::block_on(log.append(CONFIG, body.into())) {
                    Ok(offset) => publisher.on_appended(offset),
                    Err(LogError::Uncertain(e)) => {
                        why = e;
                        publisher.on_append_uncertain();
                    }
                    Err(e) => publisher.on_append_failed(&e.to_string()),
                }
            }
        }
    }
}

fn read_to_end(publisher: &mut Publisher, log: &HttpLog) -> Result<(), LogError> {
    read_log(log, |read| match read {
        Read::From(first_retained) => publisher.on_truncated(first_retained),
        Read::Record(record) => publisher.on_record(record.offset, &record.body),
    })
}

/// Waits before another try, if there is to be one.
fn pause(publisher: &Publisher) {
    if !matches!(publisher.action(), PublishAction::Done(_)) {
        async_io::block_on(Timer::after(RETRY));
    }
}

fn print_outcome(args: &PublishArgs, record: &ConfigRecord, outcome: &PublishOutcome, diff: &str) {
    match outcome {
        PublishOutcome::Accepted { version } => line!("accepted as version {version}"),
        PublishOutcome::Refused { in_force } => {
            line!(
                "refused: edited from version {}, and version {in_force} is in force",
                record.base
            );
            line!("from this document to version {in_force}:\n{diff}");
        }
        PublishOutcome::NotPublished { why } => {
            line!("not published, and nothing was changed: {why}");
        }
        PublishOutcome::Unsettled { why } => {
            line!("not settled, and it may still come in force: {why}");
            line!(
                "to settle it: hemlockhook config publish {} {} --change-id {} --log {}",
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

fn exit(outcome: &PublishOutcome) -> Exit {
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
