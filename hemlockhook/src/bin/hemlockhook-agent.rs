//! The hemlockhook-agent daemon.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use bpaf::Bpaf;
use eyre::WrapErr;
use hemlockhook_agent::Settings;
use hemlockhook_leased::AgentSettings;
use hemlockhook_platform::{HeartbeatProtocol, LogStore, WorkerClient};
use hemlockhook_runtime::{log, settings};

/// What the help says below the options.
const ABOUT: &str = "The agent announces itself in the platform's log under the name that its \
settings give, and takes work once the inventory in force names that upstream. On SIGTERM it takes \
no more work, finishes what runs, delivers the results and exits with status 0.\n\n\
The smallest settings file:\n\n  \
name: desk-osijek-1\n  \
data_center: osijek\n  \
link_address: 127.0.0.1:7301\n  \
admin_address: 127.0.0.1:7302\n  \
upstream_address: 127.0.0.1:8301\n  \
log_address: 127.0.0.1:7100";

/// Time for a call to the upstream to be answered, besides what it waits for. Calls do not leave the
/// instance.
const UPSTREAM_TIMEOUT: Duration = Duration::from_millis(40);

/// Most connections to the upstream.
const UPSTREAM_CONNECTIONS: usize = 16;

/// Time for a call to the platform's store to be answered, besides what it waits for.
const STORE_TIMEOUT: Duration = Duration::from_millis(500);

/// Runs the agent beside one upstream: it starts tasks there on the orders of the entries.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options, version, footer(ABOUT))]
struct Args {
    /// Settings file in YAML
    #[bpaf(short, long, argument("FILE"))]
    settings: PathBuf,
    /// Serve leased work on the users' platform, with settings of that mode
    leased: bool,
    /// Check the settings, print what is wrong with them, and exit
    check: bool,
}

fn main() -> eyre::Result<ExitCode> {
    let args = args().run();
    if args.leased {
        return run_leased(&args);
    }
    let settings: Settings = match settings::load(&args.settings) {
        Ok(settings) => settings,
        Err(err) => {
            // An operator wants the problems, not where they were found in the program.
            eprintln!("{err}");
            return Ok(ExitCode::FAILURE);
        }
    };
    if args.check {
        println!("{}: valid", args.settings.display());
        return Ok(ExitCode::SUCCESS);
    }

    log::init(settings.log_level.into()).wrap_err("log_level")?;
    hemlockhook_agent::run(&settings)?;
    Ok(ExitCode::SUCCESS)
}

fn run_leased(args: &Args) -> eyre::Result<ExitCode> {
    let settings: AgentSettings = settings::load(&args.settings)?;
    if args.check {
        println!("{}: valid", args.settings.display());
        return Ok(ExitCode::SUCCESS);
    }

    log::init_rate_limited(settings.log_level.into()).wrap_err("log_level")?;
    let upstream = settings.upstream_address;
    let store = settings.store_address;
    hemlockhook_leased::agent::run(&settings, &args.settings, HeartbeatProtocol, |ex| {
        let client =
            WorkerClient::new(ex.clone(), upstream, UPSTREAM_CONNECTIONS, UPSTREAM_TIMEOUT);
        (client, LogStore::new(ex, store, STORE_TIMEOUT))
    })?;
    Ok(ExitCode::SUCCESS)
}
