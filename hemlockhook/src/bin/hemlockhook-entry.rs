//! The hemlockhook-entry daemon.

use std::path::PathBuf;

use bpaf::Bpaf;
use eyre::WrapErr;
use hemlockhook_entry::Settings;
use hemlockhook_leased::{EntrySettings, STORE_TIMEOUT};
use hemlockhook_platform::{JobProtocol, LogStore};
use hemlockhook_runtime::{log, settings};

/// Footer of the `--help` output.
const HELP_FOOTER: &str = "The entry announces itself in the platform's log, shares the shards with the \
other entries and accepts jobs from callers. On SIGTERM it hands over its shards, answers every job \
in flight and exits with status 0.\n\n\
Minimal settings file:\n\n  \
name: entry-osijek\n  \
data_center: osijek\n  \
callers_address: 127.0.0.1:7201\n  \
peers_address: 127.0.0.1:7202\n  \
admin_address: 127.0.0.1:7203\n  \
log_address: 127.0.0.1:7100";

/// Runs an entry: it accepts jobs from callers over HTTP and has agents start their tasks.
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

fn main() -> eyre::Result<()> {
    let args = args().run();
    if args.leased {
        return run_leased(&args);
    }
    let settings: Settings = settings::load(&args.settings)?;
    if args.check {
        println!("{}: valid", args.settings.display());
        return Ok(());
    }

    log::init(settings.log_level.into()).wrap_err("log_level")?;
    hemlockhook_entry::run(&settings)
}

fn run_leased(args: &Args) -> eyre::Result<()> {
    let settings: EntrySettings = settings::load(&args.settings)?;
    if args.check {
        println!("{}: valid", args.settings.display());
        return Ok(());
    }

    log::init_rate_limited(settings.log_level.into()).wrap_err("log_level")?;
    let store = settings.store_address;
    hemlockhook_leased::entry::run(&settings, JobProtocol, |ex| {
        LogStore::new(ex, store, STORE_TIMEOUT)
    })
}
