//! The hemlockhook-entry daemon.

use std::path::PathBuf;

use bpaf::Bpaf;
use eyre::WrapErr;
use hemlockhook_entry::Settings;
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

/// Runs an entry: it takes jobs from callers over HTTP and has agents start their tasks.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options, version, footer(ABOUT))]
struct Args {
    /// Settings file in YAML
    #[bpaf(short, long, argument("FILE"))]
    settings: PathBuf,
    /// Check the settings, print what is wrong with them, and exit
    check: bool,
}

fn main() -> eyre::Result<()> {
    let args = args().run();
    let settings: Settings = settings::load(&args.settings)?;
    if args.check {
        println!("{}: valid", args.settings.display());
        return Ok(());
    }

    log::init(settings.log_level.into()).wrap_err("log_level")?;
    hemlockhook_entry::run(&settings)
}
