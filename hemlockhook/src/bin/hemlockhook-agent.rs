//! The hemlockhook-agent daemon.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use bpaf::Bpaf;
use eyre::WrapErr;
use hemlockhook_agent::Settings;
use hemlockhook_leased::{AgentSettings, STORE_TIMEOUT};
use hemlockhook_platform::{HeartbeatProtocol, LogStore, WorkerClient};
use hemlockhook_runtime::{log, settings};

/// Footer of the `--help` output.
const HELP_FOOTER: &str = "The agent announces itself in the platform's log under the name from its \
settings, and accepts tasks once the inventory in force names that upstream. On SIGTERM it accepts \
no more tasks, finishes the running ones, delivers their results and exits with status 0.\n\n\
Minimal settings file:\n\n  \
name: desk-osijek-1\n  \
data_center: osijek\n  \
link_address: 127.0.0.1:7301\n  \
admin_address: 127.0.0.1:7302\n  \
upstream_address: 127.0.0.1:8301\n  \
log_address: 127.0.0.1:7100";

/// Timeout of a call to the upstream, not counting the wait that the call asks for. It is short
/// because calls do not leave the instance.
const UPSTREAM_TIMEOUT: Duration = Duration::from_millis(40);

/// Runs the agent of one upstream: it starts tasks there on request of the entries.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options, version, footer(HELP_FOOTER))]
struct Args {
    /// Settings file in YAML
    #[bpaf(short, long, argument("FILE"))]
    settings: PathBuf,
    /// Serve leased work on the users' platform, with a settings file for that mode
    leased: bool,
    /// Check the settings, print their problems, and exit
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
            // Prints the problems alone, without the source location of an error report.
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
    let connections = settings.policy().max_calls();
    let store = settings.store_address;
    hemlockhook_leased::agent::run(&settings, &args.settings, HeartbeatProtocol, |ex| {
        let client = WorkerClient::new(ex.clone(), upstream, connections, UPSTREAM_TIMEOUT);
        (client, LogStore::new(ex, store, STORE_TIMEOUT))
    })?;
    Ok(ExitCode::SUCCESS)
}
