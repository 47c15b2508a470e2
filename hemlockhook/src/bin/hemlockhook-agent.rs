//! The hemlockhook-agent daemon.

use std::path::PathBuf;

use bpaf::Bpaf;
use eyre::WrapErr;
use hemlockhook_agent::Settings;
use hemlockhook_runtime::{log, settings};

/// Runs the agent beside one upstream: it starts tasks there on the orders of the entries.
///
/// The agent announces itself in the platform's log under the name that its settings give, and takes
/// work once the inventory in force names that upstream. On SIGTERM it takes no more work, finishes
/// what runs, delivers the results and exits with status 0.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options, version)]
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

    log::init(&settings.log_level).wrap_err("log_level")?;
    hemlockhook_agent::run(&settings)
}
