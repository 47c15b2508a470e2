//! Arguments of the command.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use bpaf::{Bpaf, Parser, long};
use hemlockhook_inventory::units::parse_duration;

use crate::demo::{DemoArgs, demo_args};
use crate::output::Format;

/// Checks and publishes the inventory and the rules, and shows what hemlockhook does.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(
    options,
    version,
    footer(
        "\
    Entries are given by --entry or HEMLOCKHOOK_ENTRIES, a list of the admin addresses separated by commas; \
    the log by --log or HEMLOCKHOOK_LOG.\n\
    Exit codes: 0 good; 1 not good (problems, refused, not complete, differing); \
    2 wrong usage; 3 not reachable, nothing changed; 4 not settled."
    )
)]
pub enum Command {
    /// Check, import or describe inventories
    #[bpaf(command)]
    Inventory(#[bpaf(external(inventory_command))] InventoryCommand),

    /// Publish the configuration, and show what is in force where
    #[bpaf(command)]
    Config(#[bpaf(external(config_command))] ConfigCommand),

    /// Show entries, agents, shards, backlog and the log
    #[bpaf(command, footer("Example: hemlockhook status --entry 127.0.0.1:7003"))]
    Status(#[bpaf(external(status_args))] StatusArgs),

    /// Let an upstream finish what it runs and give it nothing new
    #[bpaf(
        command,
        footer("Example: hemlockhook drain orders-os-1 --entry 127.0.0.1:7003")
    )]
    Drain(#[bpaf(external(drain_args))] DrainArgs),

    /// Let an upstream take work again
    #[bpaf(
        command,
        footer("Example: hemlockhook undrain orders-os-1 --entry 127.0.0.1:7003")
    )]
    Undrain(#[bpaf(external(drain_args))] DrainArgs),

    /// Show where a job stands
    #[bpaf(command)]
    Job(#[bpaf(external(job_command))] JobCommand),

    /// Submit a job and wait for its answer
    #[bpaf(
        command,
        footer(
            "\
        Example: hemlockhook submit --to 127.0.0.1:7001 --team sales-desk --service quote '{\"sku\":\"film-200\"}'"
        )
    )]
    Submit(#[bpaf(external(submit_args))] SubmitArgs),

    /// Report on service levels
    #[bpaf(command)]
    Report(#[bpaf(external(report_command))] ReportCommand),

    /// Show what entries noted: links, takeovers, quarantine, configurations
    #[bpaf(
        command,
        footer("Example: hemlockhook events --entry 127.0.0.1:7003 --since 40")
    )]
    Events(#[bpaf(external(events_args))] EventsArgs),

    /// Run every process between callers and upstreams in this one, over loopback
    #[bpaf(command)]
    Demo(#[bpaf(external(demo_args))] DemoArgs),
}

/// Entries to ask.
#[derive(Clone, Debug, Bpaf)]
pub struct Entries {
    /// Admin address of an entry; may be repeated
    #[bpaf(long("entry"), argument("IP:PORT"), many)]
    pub entries: Vec<SocketAddr>,
}

/// Arguments of `hemlockhook status` and `hemlockhook config status`.
#[derive(Clone, Debug, Bpaf)]
pub struct StatusArgs {
    #[bpaf(external(entries))]
    pub entries: Entries,
    #[bpaf(external(format))]
    pub output: Format,
}

/// `hemlockhook inventory`.
#[derive(Clone, Debug, Bpaf)]
pub enum InventoryCommand {
    /// Check a document and list every problem with its line and column
    #[bpaf(
        command,
        footer("Example: hemlockhook inventory check inventories/tunelpokrov.yaml")
    )]
    Check {
        #[bpaf(external(format))]
        output: Format,
        /// The document
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },

    /// Make a document from the asset register's CSV export
    #[bpaf(
        command,
        footer(
            "\
        The first line names the columns: name, worker, rack, data_center, region, processors, memory_gb, \
        accelerators, services (separated by spaces), slots, connections. \
        Services, teams and rules get values to be edited.\n\
        Example: hemlockhook inventory import assets.csv --deployment tunelpokrov > tunelpokrov.yaml"
        )
    )]
    Import {
        /// Name of the deployment
        #[bpaf(argument("NAME"))]
        deployment: String,
        /// The CSV file
        #[bpaf(positional("CSV"))]
        file: PathBuf,
    },

    /// Print the JSON Schema of the document, for editors
    #[bpaf(
        command,
        footer("Example: hemlockhook inventory schema > inventory.schema.json")
    )]
    Schema,
}

/// `hemlockhook config`.
#[derive(Clone, Debug, Bpaf)]
pub enum ConfigCommand {
    /// Publish a document
    #[bpaf(
        command,
        footer(
            "\
        The version that the document was edited from is taken from the first line that `config show` writes, \
        or from --base; 0 stands for none yet. \
        If another version is in force by then, the document is refused and the difference is shown.\n\
        Example: hemlockhook config show --log 127.0.0.1:7100 > rules.yaml; edit it; \
        hemlockhook config publish rules.yaml --log 127.0.0.1:7100"
        )
    )]
    Publish(#[bpaf(external(publish_args))] PublishArgs),

    /// Print the document in force, with its version on the first line
    #[bpaf(
        command,
        footer("Example: hemlockhook config show --log 127.0.0.1:7100 > rules.yaml")
    )]
    Show {
        #[bpaf(external(format))]
        output: Format,
        #[bpaf(external(source))]
        source: Source,
        /// Print this version, if the log still holds it
        #[bpaf(argument("VERSION"))]
        version: Option<u64>,
    },

    /// List the changes that the log holds and what became of each
    #[bpaf(
        command,
        footer("Example: hemlockhook config history --log 127.0.0.1:7100")
    )]
    History {
        #[bpaf(external(format))]
        output: Format,
        #[bpaf(external(source))]
        source: Source,
    },

    /// Show how a document differs from the one in force
    #[bpaf(
        command,
        footer("Example: hemlockhook config diff rules.yaml --log 127.0.0.1:7100")
    )]
    Diff {
        #[bpaf(external(format))]
        output: Format,
        #[bpaf(external(source))]
        source: Source,
        /// The document
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },

    /// Show which version is in force at which process
    #[bpaf(
        command,
        footer("Example: hemlockhook config status --entry 127.0.0.1:7003")
    )]
    Status(#[bpaf(external(status_args))] StatusArgs),
}

/// Where configurations are read from.
#[derive(Clone, Debug, Bpaf)]
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
pub struct PublishArgs {
    #[bpaf(external(format))]
    pub output: Format,
    #[bpaf(external(source))]
    pub source: Source,
    /// Version that the document was edited from
    #[bpaf(argument("VERSION"))]
    pub base: Option<u64>,
    /// Id of a change that an earlier try left unsettled
    #[bpaf(argument("ID"))]
    pub change_id: Option<String>,
    /// Who publishes
    #[bpaf(env("USER"), argument("NAME"), fallback(String::new()))]
    pub author: String,
    /// Time to wait for the log
    #[bpaf(argument::<String>("TIME"), parse(duration), fallback(Duration::from_secs(10)))]
    pub timeout: Duration,
    /// The document
    #[bpaf(positional("FILE"))]
    pub file: PathBuf,
}

/// Arguments of `hemlockhook drain` and `undrain`.
#[derive(Clone, Debug, Bpaf)]
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
pub enum JobCommand {
    /// Show where each task of a job is, and why
    #[bpaf(
        command,
        footer("Example: hemlockhook job show sales-desk/order-4711 --entry 127.0.0.1:7003")
    )]
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
pub struct SubmitArgs {
    #[bpaf(external(format))]
    pub output: Format,
    /// Callers' address of an entry
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
    /// Stamps that were held when the key was made
    #[bpaf(argument("STAMPS"))]
    pub stamps: Option<String>,
    /// Time after which the answer is of no use
    #[bpaf(argument::<String>("TIME"), parse(duration), fallback(Duration::from_secs(10)))]
    pub deadline: Duration,
    /// Declare that a task may safely have run before
    #[bpaf(switch)]
    pub idempotent: bool,
    /// Class of the tasks, to tell short from long
    #[bpaf(argument("NAME"))]
    pub class: Option<String>,
    /// Payload of a task, as JSON
    #[bpaf(positional("PAYLOAD"), some("a job has at least one task"))]
    pub payloads: Vec<String>,
}

/// `hemlockhook report`.
#[derive(Clone, Debug, Bpaf)]
pub enum ReportCommand {
    /// Report how fast error budgets are spent, by service and team, and why
    #[bpaf(
        command,
        footer(
            "Example: hemlockhook report burn --entry 127.0.0.1:7003 --log 127.0.0.1:7100 --html burn.html"
        )
    )]
    Burn {
        #[bpaf(external(format))]
        output: Format,
        #[bpaf(external(entries))]
        entries: Entries,
        /// Address of the platform's log, which holds the objectives
        #[bpaf(env("HEMLOCKHOOK_LOG"), argument("IP:PORT"))]
        log: SocketAddr,
        /// Also write the report as a page with charts
        #[bpaf(argument("FILE"))]
        html: Option<PathBuf>,
    },
}

/// Arguments of `hemlockhook events`.
#[derive(Clone, Debug, Bpaf)]
pub struct EventsArgs {
    #[bpaf(external(format))]
    pub output: Format,
    #[bpaf(external(entries))]
    pub entries: Entries,
    /// Leave out events up to this number of each entry
    #[bpaf(argument("NUMBER"), fallback(0))]
    pub since: u64,
}

fn format() -> impl Parser<Format> {
    long("output")
        .help("Print `text` for people or `json` for scripts")
        .argument("FORMAT")
        .fallback(Format::Text)
        .display_fallback()
}

fn duration(text: String) -> Result<Duration, &'static str> {
    parse_duration(&text).ok_or("expected a duration such as 500ms or 10s")
}
