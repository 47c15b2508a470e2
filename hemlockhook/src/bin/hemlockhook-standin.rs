//! The hemlockhook-standin daemon: stand-ins for the platform and the upstreams.

use std::path::PathBuf;

use bpaf::Bpaf;
use eyre::Result;
use hemlockhook_runtime::{log, settings};
use hemlockhook_standin::Settings;

/// Stands in for the platform's log, its workers and upstreams, for tests and trials.
///
/// It keeps everything in memory, and fails as its settings or PUT /faults tell it to.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
struct Options {
    /// Settings in YAML: log, upstreams and workers, of which each that is present is served
    #[bpaf(argument("FILE"))]
    settings: PathBuf,
    /// Checks the settings and exits
    check: bool,
}

fn main() -> Result<()> {
    let options = options().run();
    let settings: Settings = settings::load(&options.settings)?;
    if options.check {
        return Ok(());
    }
    log::init(&settings.log_level)?;
    hemlockhook_standin::run(settings)?;
    Ok(())
}
