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
use crate::client::{Answered, Client, no_answer};
use crate::command::inventory::read;
use crate::command::publish;
use crate::output::{Exit, Format, Table, dash, failure, line, print_json, text, usage};

/// The stream of configurations.
pub const CONFIG: &str = "config";

/// Begins the line that tells the version of a document that was shown.
const VERSION_LINE: &str = "# version: ";

/// Time between two questions while waiting for a version.
const POLL: Duration = Duration::from_millis(100);

/// Records read at once.
const READ_MAX: usize = 1_000;

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

/// Takes the version line off a document.
pub fn split_version(text: &str) -> (Option<u64>, &str) {
    let version = |line: &str| line.strip_prefix(VERSION_LINE)?.trim().parse().ok();
    match text.split_once('\n') {
        Some((line, rest)) if version(line).is_some() => (version(line), rest),
        _ => (None, text),
    }
}

/// Returns the configuration in force, by the log or else by an entry.
pub fn in_force(client: &Client, source: &Source) -> eyre::Result<ConfigInForce> {
    let mut reader = ConfigReader::new();
    let result = read_log(&client.log(source.log), |read| _ = give(&mut reader, &read));
    for peer in peers(client, &source.entries) {
        reader.adopt(peer.version, &peer.document);
    }

    match (result, reader.decided_version(), reader.version()) {
        (Ok(()), Some(0), 0) => Err(failure(Exit::Negative, "no configuration is published yet")),
        (Err(e), _, 0) => Err(failure(Exit::Unreachable, e.to_string())),
        (Ok(()), None, 0) => Err(failure(
            Exit::Unreachable,
            "the log no longer holds the version in force: name an entry that has it with --entry",
        )),
        (_, _, version) => Ok(ConfigInForce {
            version,
            document: reader.document().to_owned(),
        }),
    }
}

/// Returns the configurations that entries have in force.
pub fn peers(client: &Client, entries: &[SocketAddr]) -> Vec<ConfigInForce> {
    let answers: eyre::Result<Vec<Answered<ConfigInForce>>> = client.get_all(entries, "/v1/config");
    let answers = answers.unwrap_or_default().into_iter();
    answers
        .filter_map(|answered| answered.answer.ok())
        .collect()
}

/// What is read from the log.
pub enum Read<'a> {
    /// Every record below this offset is gone.
    From(u64),
    /// A record.
    Record(&'a LogRecord),
}

/// Gives everything that the log holds to a closure.
pub fn read_log<F>(log: &HttpLog, mut take: F) -> Result<(), LogError>
where
    F: FnMut(Read<'_>),
{
    let mut next = 0;
    loop {
        let batch = match async_io::block_on(log.read(CONFIG, next, READ_MAX)) {
            Err(LogError::Truncated { first_retained }) => {
                next = first_retained;
                continue;
            }
            other => other?,
        };
        take(Read::From(batch.first_retained));
        batch.records.iter().map(Read::Record).for_each(&mut take);
        match batch.records.last() {
            Some(last) if last.offset + 1 < batch.end => next = last.offset + 1,
            _ => return Ok(()),
        }
    }
}

/// Gives what was read to a reader. Returns its verdict on a record.
fn give(reader: &mut ConfigReader, read: &Read<'_>) -> Verdict {
    match read {
        Read::From(first_retained) => {
            reader.on_truncated(*first_retained);
            Verdict::Ignored
        }
        Read::Record(record) => reader.on_record(record.offset, &record.body),
    }
}

fn show(source: &Source, version: Option<u64>, format: Format) -> eyre::Result<Exit> {
    let client = Client::start();
    let shown = match version {
        Some(version) => by_version(&client, source, version)?,
        None => in_force(&client, source)?,
    };
    match format {
        Format::Json => print_json(&shown)?,
        Format::Text => text!("{VERSION_LINE}{}\n{}", shown.version, shown.document),
    }
    Ok(Exit::Ok)
}

fn by_version(client: &Client, source: &Source, version: u64) -> eyre::Result<ConfigInForce> {
    let changes = changes(client, source)?;
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

/// One record of the log and what became of it.
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

    fn outcome(&self) -> String {
        match self.verdict {
            Verdict::Accepted { version } => format!("accepted as version {version}"),
            Verdict::Refused { in_force } => format!("refused: version {in_force} was in force"),
            Verdict::Repeated => format!("repeats version {}", self.base),
            Verdict::Ignored => "ignored".to_owned(),
            Verdict::Undecided => "can't be told: earlier records are dropped".to_owned(),
        }
    }
}

fn changes(client: &Client, source: &Source) -> eyre::Result<Vec<Change>> {
    let mut reader = ConfigReader::new();
    let mut changes = Vec::new();
    read_log(&client.log(source.log), |read| {
        let verdict = give(&mut reader, &read);
        let Read::Record(record) = read else {
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
    let changes = changes(&Client::start(), source)?;
    if format == Format::Json {
        print_json(&changes)?;
        return Ok(Exit::Ok);
    }
    let mut table = Table::new(&["offset", "base", "author", "change", "outcome"]);
    for change in &changes {
        table.row([
            change.offset.to_string(),
            change.base.to_string(),
            change.author.clone(),
            change.change_id.clone(),
            change.outcome(),
        ]);
    }
    table.print("changes");
    Ok(Exit::Ok)
}

fn diff(source: &Source, file: &Path, format: Format) -> eyre::Result<Exit> {
    let text = read(file)?;
    let (_, document) = split_version(&text);
    let shown = in_force(&Client::start(), source)?;
    let diff = unified_diff(&shown.document, document);
    match format {
        Format::Json => print_json(&json!({ "version": shown.version, "diff": diff }))?,
        Format::Text if diff.is_empty() => line!("the same as version {}", shown.version),
        Format::Text => text!("version {} -> {}\n{diff}", shown.version, file.display()),
    }
    Ok(match diff.is_empty() {
        true => Exit::Ok,
        false => Exit::Negative,
    })
}

/// The version in force at one process.
#[derive(Serialize)]
struct InForceAt {
    process: String,
    kind: &'static str,
    version: Option<u64>,
    detail: Option<String>,
}

/// Which version is in force where.
#[derive(Serialize)]
struct InForce {
    newest: u64,
    in_force_everywhere: bool,
    processes: Vec<InForceAt>,
}

fn status(args: &ConfigStatusArgs) -> eyre::Result<Exit> {
    let client = Client::start();
    let addresses = args.entries.addresses()?;
    let deadline = Instant::now() + args.wait;
    let report = loop {
        let report = in_force_where(&client, &addresses, args.log)?;
        if report.in_force_everywhere || Instant::now() >= deadline {
            break report;
        }
        async_io::block_on(Timer::after(POLL));
    };

    match args.output {
        Format::Json => print_json(&report)?,
        Format::Text => print_status(&report),
    }
    Ok(Exit::from(report.in_force_everywhere))
}

fn in_force_where(
    client: &Client,
    entries: &[SocketAddr],
    log: Option<SocketAddr>,
) -> eyre::Result<InForce> {
    let mut reader = ConfigReader::new();
    if let Some(log) = log {
        // What entries have in force is worth telling even if the log can't be read.
        let _ = read_log(&client.log(log), |read| _ = give(&mut reader, &read));
    }
    let answers = client.get_each::<EntryStatus>(entries, "/v1/status");
    if answers.iter().all(|answered| answered.answer.is_err()) {
        return Err(failure(Exit::Unreachable, no_answer(&answers)));
    }
    let processes = processes(&answers);
    let told = processes.iter().filter_map(|process| process.version);
    let newest = told.max().unwrap_or(0).max(reader.version());
    Ok(InForce {
        newest,
        in_force_everywhere: processes.iter().all(|p| p.version == Some(newest)),
        processes,
    })
}

fn print_status(report: &InForce) {
    let mut table = Table::new(&["process", "kind", "version", "state"]);
    for process in &report.processes {
        table.row([
            process.process.clone(),
            process.kind.to_owned(),
            process.version.map_or_else(dash, |v| v.to_string()),
            state(process, report.newest),
        ]);
    }
    match report.newest {
        0 => table.print("no version is published yet"),
        newest => table.print(&format!("newest version: {newest}")),
    }
}

fn state(process: &InForceAt, newest: u64) -> String {
    match (process.version, &process.detail) {
        (_, Some(detail)) => detail.clone(),
        (Some(0), None) => "none yet".to_owned(),
        (Some(version), None) if version == newest => "in force".to_owned(),
        _ => "behind".to_owned(),
    }
}

/// Returns the entries that were asked, and their agents; of an agent that several entries know,
/// the highest version that it told one of them.
fn processes(answers: &[Answered<EntryStatus>]) -> Vec<InForceAt> {
    let mut agents: BTreeMap<&str, u64> = BTreeMap::new();
    let mut processes = Vec::new();
    for answered in answers {
        let (process, version, detail) = match &answered.answer {
            Ok(status) => (status.name.clone(), Some(status.config_version), None),
            Err(why) => (answered.address.to_string(), None, Some(why.clone())),
        };
        processes.push(InForceAt {
            process,
            kind: "entry",
            version,
            detail,
        });
        for agent in answered.answer.iter().flat_map(|status| &status.agents) {
            let version = agents.entry(&agent.name).or_default();
            *version = (*version).max(agent.config_version);
        }
    }
    processes.extend(agents.into_iter().map(|(name, version)| InForceAt {
        process: name.to_owned(),
        kind: "agent",
        version: Some(version),
        detail: None,
    }));
    processes
}

/// Returns the base of a document: the one given, or else its version line's.
pub fn base_of(given: Option<u64>, line: Option<u64>) -> eyre::Result<u64> {
    given.or(line).ok_or_else(|| {
        usage(
            "which version was the document edited from? Use --base VERSION, \
             0 for the first; `config show` writes it on the first line",
        )
    })
}
