//! `hemlockhook config`.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};

use async_io::Timer;
use hemlockhook_inventory::admin::{ConfigInForce, EntryStatus};
use hemlockhook_inventory::diff::unified_diff;
use hemlockhook_inventory::{ConfigReader, ConfigRecord, Verdict};
use hemlockhook_ports::{HttpLog, Log, LogError, LogRecord};
use serde::Serialize;
use serde_json::json;

use crate::cli::{ConfigCommand, ConfigStatusArgs, Source};
use crate::client::{Client, EntryReply, describe_failures};
use crate::command::inventory::read_file;
use crate::command::publish;
use crate::output::{
    Exit, Format, Table, empty_cell, failure, out, outln, print_json, usage_error,
};

/// Name of the log stream with configurations.
pub const CONFIG_STREAM: &str = "config";

/// Prefix of the first line of a shown document, which holds its version.
const VERSION_PREFIX: &str = "# version: ";

/// Polling interval while waiting for a version.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Maximum number of records per read.
const MAX_READ_RECORDS: usize = 1_000;

/// Runs `hemlockhook config`.
pub fn run(cmd: ConfigCommand) -> eyre::Result<Exit> {
    match cmd {
        ConfigCommand::Publish(args) => publish::run(&args),
        ConfigCommand::Show {
            output,
            source,
            version,
        } => show(&source, version, output),
        ConfigCommand::History { output, source } => history(&source, output),
        ConfigCommand::Diff {
            output,
            source,
            file,
        } => diff(&source, &file, output),
        ConfigCommand::Status(args) => status(&args),
    }
}

/// Splits the version line off a document, if it has one.
pub fn split_version_line(text: &str) -> (Option<u64>, &str) {
    let version = |line: &str| line.strip_prefix(VERSION_PREFIX)?.trim().parse().ok();
    match text.split_once('\n') {
        Some((line, rest)) if version(line).is_some() => (version(line), rest),
        _ => (None, text),
    }
}

/// Returns the configuration in force, according to the log or else to an entry.
pub fn fetch_in_force(client: &Client, source: &Source) -> eyre::Result<ConfigInForce> {
    let mut reader = ConfigReader::new();
    let result = read_log(&client.log(source.log), |item| {
        _ = apply(&mut reader, &item)
    });
    for peer in fetch_peer_configs(client, &source.entries) {
        reader.adopt(peer.version, &peer.document);
    }

    match (result, reader.decided_version(), reader.version()) {
        (Ok(()), Some(0), 0) => Err(failure(Exit::Negative, "no configuration is published yet")),
        (Err(e), _, 0) => Err(failure(Exit::Unreachable, e.to_string())),
        (Ok(()), None, 0) => Err(failure(
            Exit::Unreachable,
            "the log no longer holds the version in force; use --entry to name an entry that has it",
        )),
        (_, _, version) => Ok(ConfigInForce {
            version,
            document: reader.document().to_owned(),
        }),
    }
}

/// Returns the configurations in force at entries, leaving out entries that don't respond.
pub fn fetch_peer_configs(client: &Client, entries: &[SocketAddr]) -> Vec<ConfigInForce> {
    let replies: eyre::Result<Vec<EntryReply<ConfigInForce>>> =
        client.get_all(entries, "/v1/config");
    let replies = replies.unwrap_or_default().into_iter();
    replies.filter_map(|reply| reply.result.ok()).collect()
}

/// An item read from the log.
pub enum LogItem<'a> {
    /// The offset before which the log has dropped all records.
    FirstRetained(u64),
    Record(&'a LogRecord),
}

/// Reads the configuration stream from its first retained record to its end.
pub fn read_log<F>(log: &HttpLog, mut on_item: F) -> Result<(), LogError>
where
    F: FnMut(LogItem<'_>),
{
    let mut next = 0;
    loop {
        let batch = match async_io::block_on(log.read(CONFIG_STREAM, next, MAX_READ_RECORDS)) {
            Err(LogError::Truncated { first_retained }) => {
                next = first_retained;
                continue;
            }
            other => other?,
        };
        on_item(LogItem::FirstRetained(batch.first_retained));
        batch
            .records
            .iter()
            .map(LogItem::Record)
            .for_each(&mut on_item);
        match batch.records.last() {
            Some(last) if last.offset + 1 < batch.end => next = last.offset + 1,
            _ => return Ok(()),
        }
    }
}

/// Applies an item to a reader. Returns the verdict on a record.
fn apply(reader: &mut ConfigReader, item: &LogItem<'_>) -> Verdict {
    match item {
        LogItem::FirstRetained(first_retained) => {
            reader.on_truncated(*first_retained);
            Verdict::Ignored
        }
        LogItem::Record(record) => reader.on_record(record.offset, &record.body),
    }
}

fn show(source: &Source, version: Option<u64>, format: Format) -> eyre::Result<Exit> {
    let client = Client::start();
    let shown = match version {
        Some(version) => fetch_version(&client, source, version)?,
        None => fetch_in_force(&client, source)?,
    };
    match format {
        Format::Json => print_json(&shown)?,
        Format::Text => out!("{VERSION_PREFIX}{}\n{}", shown.version, shown.document),
    }
    Ok(Exit::Ok)
}

fn fetch_version(client: &Client, source: &Source, version: u64) -> eyre::Result<ConfigInForce> {
    let changes = fetch_changes(client, source)?;
    let found = changes
        .into_iter()
        .find(|change| change.version() == Some(version));
    match found {
        Some(change) => Ok(ConfigInForce {
            version,
            document: change.record.document,
        }),
        None => Err(failure(
            Exit::Negative,
            format!("the log holds no version {version}"),
        )),
    }
}

/// A configuration record of the log, with the verdict on it.
#[derive(Serialize)]
struct Change {
    offset: u64,
    appended_ms: u64,
    #[serde(flatten)]
    verdict: Verdict,
    #[serde(skip)]
    record: ConfigRecord,
    change_id: String,
    base: u64,
    author: String,
}

impl Change {
    /// Returns the version whose document the record holds.
    fn version(&self) -> Option<u64> {
        match self.verdict {
            Verdict::Accepted { version } => Some(version),
            Verdict::Repeated => self.record.version,
            _ => None,
        }
    }

    fn describe_outcome(&self) -> String {
        match self.verdict {
            Verdict::Accepted { version } => format!("accepted as version {version}"),
            Verdict::Refused { in_force } => format!("refused: version {in_force} was in force"),
            Verdict::Repeated => format!("repeats version {}", self.base),
            Verdict::Ignored => "ignored".to_owned(),
            Verdict::Undecided => "undecided: earlier records were dropped".to_owned(),
        }
    }
}

fn fetch_changes(client: &Client, source: &Source) -> eyre::Result<Vec<Change>> {
    let mut reader = ConfigReader::new();
    let mut changes = Vec::new();
    read_log(&client.log(source.log), |item| {
        let verdict = apply(&mut reader, &item);
        let LogItem::Record(record) = item else {
            return;
        };
        let Some(body) = ConfigRecord::from_bytes(&record.body) else {
            return;
        };
        changes.push(Change {
            offset: record.offset,
            appended_ms: record.appended_ms,
            verdict,
            change_id: body.change_id.clone(),
            base: body.base,
            author: body.author.clone(),
            record: body,
        });
    })
    .map_err(|e| failure(Exit::Unreachable, e.to_string()))?;
    Ok(changes)
}

fn history(source: &Source, format: Format) -> eyre::Result<Exit> {
    let changes = fetch_changes(&Client::start(), source)?;
    if format == Format::Json {
        print_json(&changes)?;
        return Ok(Exit::Ok);
    }
    let mut table = Table::new(&["offset", "base", "author", "change", "outcome"]);
    for change in &changes {
        table.push_row([
            change.offset.to_string(),
            change.base.to_string(),
            change.author.clone(),
            change.change_id.clone(),
            change.describe_outcome(),
        ]);
    }
    table.print("changes");
    Ok(Exit::Ok)
}

fn diff(source: &Source, file: &Path, format: Format) -> eyre::Result<Exit> {
    let text = read_file(file)?;
    let (_, document) = split_version_line(&text);
    let shown = fetch_in_force(&Client::start(), source)?;
    let diff = unified_diff(&shown.document, document);
    match format {
        Format::Json => print_json(&json!({ "version": shown.version, "diff": diff }))?,
        Format::Text if diff.is_empty() => outln!("no difference from version {}", shown.version),
        Format::Text => out!("version {} -> {}\n{diff}", shown.version, file.display()),
    }
    Ok(match diff.is_empty() {
        true => Exit::Ok,
        false => Exit::Negative,
    })
}

/// The version in force in one process.
#[derive(Serialize)]
struct ProcessVersion {
    process: String,
    kind: &'static str,
    version: Option<u64>,
    detail: Option<String>,
}

/// The versions in force in all processes.
#[derive(Serialize)]
struct VersionReport {
    newest: u64,
    in_force_everywhere: bool,
    processes: Vec<ProcessVersion>,
}

fn status(args: &ConfigStatusArgs) -> eyre::Result<Exit> {
    let client = Client::start();
    let addresses = args.entries.addresses()?;
    let deadline = Instant::now() + args.wait;
    let report = loop {
        let report = fetch_version_report(&client, &addresses, args.log)?;
        if report.in_force_everywhere || Instant::now() >= deadline {
            break report;
        }
        async_io::block_on(Timer::after(POLL_INTERVAL));
    };

    match args.output {
        Format::Json => print_json(&report)?,
        Format::Text => print_status(&report),
    }
    Ok(Exit::from(report.in_force_everywhere))
}

fn fetch_version_report(
    client: &Client,
    entries: &[SocketAddr],
    log: Option<SocketAddr>,
) -> eyre::Result<VersionReport> {
    let mut reader = ConfigReader::new();
    if let Some(log) = log {
        // The versions of the entries are reported even if the log can't be read.
        let _ = read_log(&client.log(log), |item| _ = apply(&mut reader, &item));
    }
    let replies = client.get_each::<EntryStatus>(entries, "/v1/status");
    if replies.iter().all(|reply| reply.result.is_err()) {
        return Err(failure(Exit::Unreachable, describe_failures(&replies)));
    }
    let processes = process_versions(&replies);
    let versions = processes.iter().filter_map(|process| process.version);
    let newest = versions.max().unwrap_or(0).max(reader.version());
    Ok(VersionReport {
        newest,
        in_force_everywhere: processes.iter().all(|p| p.version == Some(newest)),
        processes,
    })
}

fn print_status(report: &VersionReport) {
    let mut table = Table::new(&["process", "kind", "version", "state"]);
    for process in &report.processes {
        table.push_row([
            process.process.clone(),
            process.kind.to_owned(),
            process.version.map_or_else(empty_cell, |v| v.to_string()),
            describe_state(process, report.newest),
        ]);
    }
    match report.newest {
        0 => table.print("no version is published yet"),
        newest => table.print(&format!("newest version: {newest}")),
    }
}

fn describe_state(process: &ProcessVersion, newest: u64) -> String {
    match (process.version, &process.detail) {
        (_, Some(detail)) => detail.clone(),
        (Some(0), None) => "none yet".to_owned(),
        (Some(version), None) if version == newest => "in force".to_owned(),
        _ => "behind".to_owned(),
    }
}

/// Returns the versions of the queried entries and of their agents. An agent that several entries
/// know gets the highest version that it reported to any of them.
fn process_versions(replies: &[EntryReply<EntryStatus>]) -> Vec<ProcessVersion> {
    let mut agents: BTreeMap<&str, u64> = BTreeMap::new();
    let mut processes = Vec::new();
    for reply in replies {
        let (process, version, detail) = match &reply.result {
            Ok(status) => (status.name.clone(), Some(status.config_version), None),
            Err(reason) => (reply.address.to_string(), None, Some(reason.clone())),
        };
        processes.push(ProcessVersion {
            process,
            kind: "entry",
            version,
            detail,
        });
        for agent in reply.result.iter().flat_map(|status| &status.agents) {
            let version = agents.entry(&agent.name).or_default();
            *version = (*version).max(agent.config_version);
        }
    }
    processes.extend(agents.into_iter().map(|(name, version)| ProcessVersion {
        process: name.to_owned(),
        kind: "agent",
        version: Some(version),
        detail: None,
    }));
    processes
}

/// Returns the base version of a document: the given one, or else that of its version line.
pub fn resolve_base(given: Option<u64>, version_line: Option<u64>) -> eyre::Result<u64> {
    given.or(version_line).ok_or_else(|| {
        usage_error(
            "the base version of the document is missing: use --base VERSION, \
             0 for the first; `config show` writes it on the first line",
        )
    })
}
