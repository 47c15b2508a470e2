//! The hemlockhook-entry daemon.

use std::path::PathBuf;
use std::time::Duration;

use bpaf::Bpaf;
use eyre::WrapErr;
use hemlockhook_entry::Settings;
use hemlockhook_leased::EntrySettings;
use hemlockhook_platform::{JobProtocol, LogStore};
use hemlockhook_runtime::{log, settings};

/// What the help says below the options.
const ABOUT: &str = "The entry announces itself in the platform's log, shares the shards with the \
other entries and takes jobs from callers. On SIGTERM it hands its shards over, answers every job \
in flight and exits with status 0.\n\n\
The smallest settings file:\n\n  \
name: entry-osijek\n  \
data_center: osijek\n  \
callers_address: 127.0.0.1:7201\n  \
peers_address: 127.0.0.1:7202\n  \
admin_address: 127.0.0.1:7203\n  \
log_address: 127.0.0.1:7100";

/// Time for a call to the platform's store to be answered, besides what it waits for.
const STORE_TIMEOUT: Duration = Duration::from_millis(500);

/// Runs an entry: it takes jobs from callers over HTTP and has agents start their tasks.
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
