//! The hemlockhook-standin daemon: stand-ins for the platform and the upstreams.

use std::path::PathBuf;

use bpaf::Bpaf;
use eyre::WrapErr;
use hemlockhook_runtime::{log, settings};
use hemlockhook_standin::Settings;

/// Footer of the `--help` output.
const HELP_FOOTER: &str = "All state is kept in memory. Faults are injected by the settings, or by PUT \
/faults on the address of a role. GET /faults shows the faults that can be set.\n\n\
Settings with every role:\n\n  \
log:\n    \
address: 127.0.0.1:7100\n  \
upstreams:\n    \
- name: desk-osijek-1\n      \
address: 127.0.0.1:8301\n      \
speed: 1.5\n      \
faults:\n        \
fail: 0.01\n  \
workers:\n    \
address: 127.0.0.1:7400";

/// Runs stand-ins for the platform's log, its workers and upstreams, for tests and trials.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options, version, footer(HELP_FOOTER))]
struct Args {
    /// Settings file in YAML; each role in it is served
    #[bpaf(short, long, argument("FILE"))]
    settings: PathBuf,
    /// Check the settings, print their problems, and exit
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
    hemlockhook_standin::run(settings)?;
    Ok(())
}
