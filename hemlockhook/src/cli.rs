//! Command-line arguments.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use bpaf::{Bpaf, Parser, long};
use hemlockhook_inventory::units::parse_duration;

use crate::demo::{DemoArgs, demo_args};
use crate::help;
use crate::output::Format;

/// Checks and publishes the inventory and its rules, and shows the state of a deployment.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version, footer(help::COMMAND))]
pub enum Command {
    /// Check, import or describe inventories
    #[bpaf(command)]
    Inventory(#[bpaf(external(inventory_command))] InventoryCommand),

    /// Publish the configuration, and show which version is in force in each process
    #[bpaf(command)]
    Config(#[bpaf(external(config_command))] ConfigCommand),

    /// Show entries, agents, shards, backlog and the log
    #[bpaf(command, footer(help::STATUS))]
    Status(#[bpaf(external(status_args))] StatusArgs),

    /// Drain an upstream: finish its running tasks and start no new ones
    #[bpaf(command, footer(help::DRAIN))]
    Drain(#[bpaf(external(drain_args))] DrainArgs),

    /// Return a drained upstream to service
    #[bpaf(command, footer(help::DRAIN))]
    Undrain(#[bpaf(external(drain_args))] DrainArgs),

    /// Show the state of a job
    #[bpaf(command)]
    Job(#[bpaf(external(job_command))] JobCommand),

    /// Submit a job and wait for its answer
    #[bpaf(command, footer(help::SUBMIT))]
    Submit(#[bpaf(external(submit_args))] SubmitArgs),

    /// Report on service levels
    #[bpaf(command)]
    Report(#[bpaf(external(report_command))] ReportCommand),

    /// Show events recorded by entries: links, takeovers, quarantine, configurations
    #[bpaf(command, footer(help::EVENTS))]
    Events(#[bpaf(external(events_args))] EventsArgs),

    /// Run a demonstration deployment on loopback, with all its processes in this one
    #[bpaf(command)]
    Demo(#[bpaf(external(demo_args))] DemoArgs),
}

/// Entries to query.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(ignore_rustdoc)]
pub struct Entries {
    /// Admin address of an entry; may be repeated
    #[bpaf(long("entry"), argument("IP:PORT"), many)]
    pub entries: Vec<SocketAddr>,
}

/// Arguments of `hemlockhook status`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(ignore_rustdoc)]
pub struct StatusArgs {
    #[bpaf(external(entries))]
    pub entries: Entries,
    #[bpaf(external(format))]
    pub output: Format,
}

/// `hemlockhook inventory`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(ignore_rustdoc)]
pub enum InventoryCommand {
    /// Check a document and list every problem with its line and column
    #[bpaf(command, footer(help::CHECK))]
    Check {
        #[bpaf(external(format))]
        output: Format,
        /// The document
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },

    /// Create a document from the CSV export of the asset register
    #[bpaf(command, footer(help::IMPORT))]
    Import {
        /// Name of the deployment
        #[bpaf(argument("NAME"))]
        deployment: String,
        /// The CSV file
        #[bpaf(positional("CSV"))]
        file: PathBuf,
    },

    /// Print the JSON Schema of the document, for editors
    #[bpaf(command, footer(help::SCHEMA))]
    Schema,
}

/// `hemlockhook config`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(ignore_rustdoc)]
pub enum ConfigCommand {
    /// Publish a document
    #[bpaf(command, footer(help::PUBLISH))]
    Publish(#[bpaf(external(publish_args))] PublishArgs),

    /// Print the document in force, with its version on the first line
    #[bpaf(command, footer(help::SHOW))]
    Show {
        #[bpaf(external(format))]
        output: Format,
        #[bpaf(external(source))]
        source: Source,
        /// Print this version, if the log still holds it
        #[bpaf(argument("VERSION"))]
        version: Option<u64>,
    },

    /// List the changes that the log holds, with the outcome of each
    #[bpaf(command, footer(help::HISTORY))]
    History {
        #[bpaf(external(format))]
        output: Format,
        #[bpaf(external(source))]
        source: Source,
    },

    /// Show the differences between a document and the one in force
    #[bpaf(command, footer(help::DIFF))]
    Diff {
        #[bpaf(external(format))]
        output: Format,
        #[bpaf(external(source))]
        source: Source,
        /// The document
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },

    /// Show the version in force in each process
    #[bpaf(command, footer(help::CONFIG_STATUS))]
    Status(#[bpaf(external(config_status_args))] ConfigStatusArgs),
}

/// Arguments of `hemlockhook config status`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(ignore_rustdoc)]
pub struct ConfigStatusArgs {
    #[bpaf(external(entries))]
    pub entries: Entries,
    /// Address of the platform's log, to determine the newest version
    #[bpaf(env("HEMLOCKHOOK_LOG"), argument("IP:PORT"))]
    pub log: Option<SocketAddr>,
    /// Time to wait for the newest version to be in force everywhere
    #[bpaf(argument::<String>("TIME"), parse(parse_duration_arg), fallback(Duration::ZERO))]
    pub wait: Duration,
    #[bpaf(external(format))]
    pub output: Format,
}

/// Sources of configurations.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(ignore_rustdoc)]
pub struct Source {
    /// Address of the platform's log
    #[bpaf(env("HEMLOCKHOOK_LOG"), argument("IP:PORT"))]
    pub log: SocketAddr,
    /// Admin address of an entry that has the configuration in force, when the log no longer holds it
    #[bpaf(long("entry"), argument("IP:PORT"), many)]
    pub entries: Vec<SocketAddr>,
}

/// Arguments of `hemlockhook config publish`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(ignore_rustdoc)]
pub struct PublishArgs {
    #[bpaf(external(format))]
    pub output: Format,
    #[bpaf(external(source))]
    pub source: Source,
    /// Version that the document was edited from
    #[bpaf(argument("VERSION"))]
    pub base: Option<u64>,
    /// Publish without a base, if the log dropped the version in force while no process ran
    #[bpaf(switch)]
    pub restore: bool,
    /// Id of a change that an earlier attempt left unsettled
    #[bpaf(argument("ID"))]
    pub change_id: Option<String>,
    /// Name of the author
    #[bpaf(env("USER"), argument("NAME"), fallback(String::new()))]
    pub author: String,
    /// Time to wait for the log
    #[bpaf(argument::<String>("TIME"), parse(parse_duration_arg), fallback(Duration::from_secs(10)))]
    pub timeout: Duration,
    /// The document
    #[bpaf(positional("FILE"))]
    pub file: PathBuf,
}

/// Arguments of `hemlockhook drain` and `undrain`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(ignore_rustdoc)]
pub struct DrainArgs {
    #[bpaf(external(format))]
    pub output: Format,
    #[bpaf(external(entries))]
    pub entries: Entries,
    /// Name of the upstream
    #[bpaf(positional("UPSTREAM"))]
    pub upstream: String,
}

/// `hemlockhook job`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(ignore_rustdoc)]
pub enum JobCommand {
    /// Show the state of each task of a job, with the reason
    #[bpaf(command, footer(help::JOB))]
    Show {
        #[bpaf(external(format))]
        output: Format,
        #[bpaf(external(entries))]
        entries: Entries,
        /// The job's key with its team: TEAM/KEY
        #[bpaf(positional("KEY"))]
        key: String,
    },
}

/// Arguments of `hemlockhook submit`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(ignore_rustdoc)]
pub struct SubmitArgs {
    #[bpaf(external(format))]
    pub output: Format,
    /// Address on which an entry accepts jobs
    #[bpaf(argument("IP:PORT"))]
    pub to: SocketAddr,
    /// Team that the job counts against
    #[bpaf(argument("NAME"))]
    pub team: String,
    /// Service that the job is for
    #[bpaf(argument("NAME"))]
    pub service: String,
    /// Idempotency key; repeat it, with its stamps, to submit the same job again
    #[bpaf(argument("KEY"))]
    pub key: Option<String>,
    /// Declare that the key was never sent before, and fetch stamps for it
    #[bpaf(switch)]
    pub new_key: bool,
    /// Stamps that were held when the key was created
    #[bpaf(argument("STAMPS"))]
    pub stamps: Option<String>,
    /// Deadline of the job, counted from its submission
    #[bpaf(argument::<String>("TIME"), parse(parse_duration_arg), fallback(Duration::from_secs(10)))]
    pub deadline: Duration,
    /// Declare that the tasks are safe to run more than once
    #[bpaf(switch)]
    pub idempotent: bool,
    /// Class of the tasks, to distinguish short from long ones
    #[bpaf(argument("NAME"))]
    pub class: Option<String>,
    /// Payload of a task, as JSON
    #[bpaf(positional("PAYLOAD"), some("a job has at least one task"))]
    pub payloads: Vec<String>,
}

/// `hemlockhook report`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(ignore_rustdoc)]
pub enum ReportCommand {
    /// Report error budget burn rates by service and team, with their causes
    #[bpaf(command, footer(help::BURN))]
    Burn {
        #[bpaf(external(format))]
        output: Format,
        #[bpaf(external(entries))]
        entries: Entries,
        /// Address of the platform's log, which holds the objectives
        #[bpaf(env("HEMLOCKHOOK_LOG"), argument("IP:PORT"))]
        log: SocketAddr,
        /// Also write the report as an HTML page with charts
        #[bpaf(argument("FILE"))]
        html: Option<PathBuf>,
    },
}

/// Arguments of `hemlockhook events`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(ignore_rustdoc)]
pub struct EventsArgs {
    #[bpaf(external(format))]
    pub output: Format,
    #[bpaf(external(entries))]
    pub entries: Entries,
    /// Skip events up to this sequence number of each entry
    #[bpaf(argument("NUMBER"), fallback(0))]
    pub since: u64,
}

fn format() -> impl Parser<Format> {
    long("output")
        .help("Output format: human-readable `text` or machine-readable `json`")
        .argument("FORMAT")
        .fallback(Format::Text)
        .display_fallback()
}

fn parse_duration_arg(text: String) -> Result<Duration, &'static str> {
    parse_duration(&text).ok_or("expected a duration such as 500ms or 10s")
}
