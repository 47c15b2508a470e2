//! Command line of the load and experiment tool.

use std::path::PathBuf;

use bpaf::Bpaf;

use hemlockhook_bench::compare::{Comparison, OutputFormat};
use hemlockhook_bench::trace::{DeploymentName, TRACE_DURATION_US, Trace};
use hemlockhook_bench::{capacity, decisions, faults, throughput};

/// Experiments with the scheduling policy of hemlockhook.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
enum Command {
    /// Replays one trace under each policy, in virtual time, and prints their metrics side by side.
    #[bpaf(command)]
    Compare {
        /// The deployment: tunelpokrov or asante.
        #[bpaf(long, argument("NAME"), optional)]
        deployment: Option<DeploymentName>,
        /// Seed of the trace.
        #[bpaf(long, argument("N"), fallback(1), display_fallback)]
        seed: u64,
        /// Replays this trace file instead of a generated trace.
        #[bpaf(long, argument("FILE"), optional)]
        trace: Option<PathBuf>,
        /// Runs only this policy.
        #[bpaf(long, argument("NAME"), optional)]
        only: Option<String>,
        /// Output format: text or json.
        #[bpaf(
            long,
            argument("FORMAT"),
            fallback(OutputFormat::Text),
            display_fallback
        )]
        output: OutputFormat,
        /// Writes a chart to this SVG file.
        #[bpaf(long, argument("FILE"), optional)]
        chart: Option<PathBuf>,
    },
    /// Measures the tasks per second through one entry and the CPU time per task.
    #[bpaf(command)]
    Throughput(#[bpaf(external(throughput::throughput_args))] throughput::ThroughputArgs),
    /// Replays traces with injected faults and checks the results against the stated limits.
    #[bpaf(command)]
    Faults {
        /// Seed of the traces.
        #[bpaf(long, argument("N"), fallback(1), display_fallback)]
        seed: u64,
    },
    /// Measures the time per scheduling decision, by number of upstreams and of queued tasks.
    #[bpaf(command)]
    Decisions,
    /// Measures the slopes of docs/CAPACITY.md and prints them as a table.
    #[bpaf(command)]
    Capacity(#[bpaf(external(capacity::capacity_args))] capacity::CapacityArgs),
    /// Writes the generated trace of a deployment to a file, as JSON Lines.
    #[bpaf(command)]
    Export {
        /// The deployment: tunelpokrov or asante.
        #[bpaf(long, argument("NAME"))]
        deployment: DeploymentName,
        /// Seed of the trace.
        #[bpaf(long, argument("N"), fallback(1), display_fallback)]
        seed: u64,
        /// The file to write.
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
}

fn main() -> eyre::Result<()> {
    match command().run() {
        Command::Compare {
            deployment,
            seed,
            trace,
            only,
            output,
            chart,
        } => {
            let comparison = match (trace, deployment) {
                (Some(path), _) => Comparison {
                    trace: Trace::read(&path)?,
                    seed: None,
                    only,
                },
                (None, Some(name)) => Comparison {
                    trace: Trace::generate(name, seed, TRACE_DURATION_US),
                    seed: Some(seed),
                    only,
                },
                (None, None) => eyre::bail!("either --deployment or --trace is required"),
            };
            comparison.run(output, chart.as_deref())
        }
        Command::Throughput(args) => throughput::run(&args),
        Command::Faults { seed } => faults::run(seed),
        Command::Decisions => decisions::run(),
        Command::Capacity(args) => capacity::run(&args),
        Command::Export {
            deployment,
            seed,
            file,
        } => Trace::generate(deployment, seed, TRACE_DURATION_US).write(&file),
    }
}
