//! The demonstration: every process between callers and upstreams, as tasks of one process.

use std::path::PathBuf;

use bpaf::Bpaf;
use eyre::bail;

/// Arguments of `hemlockhook demo`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(demo_args))]
pub struct DemoArgs {
    /// Directory to write the demonstration's report to
    #[bpaf(argument("DIR"))]
    pub output: Option<PathBuf>,

    /// Seed of the load and the faults
    #[bpaf(argument("NUMBER"), fallback(1), display_fallback)]
    pub seed: u64,

    /// Seconds that the load lasts
    #[bpaf(argument("SECONDS"), fallback(20), display_fallback)]
    pub seconds: u64,
}

/// Runs the demonstration.
pub fn run(args: DemoArgs) -> eyre::Result<()> {
    let DemoArgs {
        output,
        seed,
        seconds,
    } = args;
    bail!("not built yet (seed {seed}, {seconds} s, report to {output:?})")
}
