//! The demonstration: a complete deployment in one process, under load and with injected failures.

mod load;
mod summary;

use std::io::{IsTerminal, Write};
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_io::Timer;
use bpaf::Bpaf;
use hemlockhook::local_deployment::{DeploymentConfig, DeploymentThreads, LocalDeployment};
use hemlockhook_runtime::executor::Threads;
use hemlockhook_runtime::log;

use load::{LoadGenerator, LoadSettings};
use summary::Summary;

/// Number of threads for traffic.
const TRAFFIC_THREADS: usize = 4;

/// Inventory of the deployment.
const INVENTORY: &str = include_str!("../../inventories/tunelpokrov.yaml");

/// Speed factors of the upstreams, with a ratio of 3 to 1 between the fastest and the slowest.
const SPEEDS: [f64; 4] = [1.0, 0.75, 0.5, 0.34];

/// Number of entries.
const ENTRIES: usize = 3;

/// Output format of the summary.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Output {
    /// Human-readable text.
    Text,
    /// Machine-readable JSON.
    Json,
}

impl std::str::FromStr for Output {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "text" => Ok(Self::Text),
            "json" => Ok(Self::Json),
            _ => Err("expected `text` or `json`".to_owned()),
        }
    }
}

/// Arguments of the demonstration.
#[derive(Clone, Debug, Bpaf)]
pub struct DemoArgs {
    /// Format of the summary: text or json
    #[bpaf(argument("FORMAT"), fallback(Output::Text))]
    pub output: Output,
    /// Seed of the random load
    #[bpaf(argument("SEED"), fallback(1))]
    pub seed: u64,
    /// Duration of the load, in seconds
    #[bpaf(argument("SECONDS"), fallback(8))]
    pub seconds: u64,
}

/// Runs the demonstration. Returns whether all invariants held.
pub fn run(args: &DemoArgs) -> eyre::Result<bool> {
    log::init("error")?;
    let threads = Threads::start("demo", TRAFFIC_THREADS);
    let summary = async_io::block_on(run_demo(args, &threads))?;
    match args.output {
        Output::Text => print!("{summary}"),
        Output::Json => println!("{}", serde_json::to_string(&summary)?),
    }
    Ok(summary.all_invariants_hold())
}

async fn run_demo(args: &DemoArgs, threads: &Threads) -> eyre::Result<Summary> {
    progress("starting a log, 11 upstreams with their agents, and 3 entries");
    let mut deployment = LocalDeployment::start(
        config(),
        DeploymentThreads {
            entries: threads,
            agents: threads,
            standins: threads,
        },
    )
    .await?;

    let settings = LoadSettings {
        seed: args.seed,
        seconds: args.seconds,
    };
    let load = Arc::new(LoadGenerator::new(settings, deployment.caller_addresses()));
    let running = threads.traffic().spawn(load.clone().run(threads.traffic()));
    let start = Instant::now();
    let eighth = |part: u64| start + Duration::from_secs(args.seconds) * part as u32 / 8;

    Timer::at(eighth(2)).await;
    progress("killing and replacing an agent with running tasks");
    deployment.replace_agent(0).await?;
    Timer::at(eighth(4)).await;
    progress("killing and replacing an entry with jobs in flight");
    deployment.replace_entry(0).await?;
    load.set_entry(0, deployment.caller_addresses()[0]);
    Timer::at(eighth(6)).await;
    progress("publishing a configuration change and draining an upstream");
    let config_delay = deployment.publish_change().await?;
    let drained = deployment.drain_upstream(1).await?;

    progress("waiting for the remaining answers");
    let outcomes = running.await;
    let counters = deployment.counters().await;
    let late_starts = deployment.starts_after_leaving(drained);
    let starts = deployment.start_counts();
    deployment.stop().await;
    Ok(Summary::new(
        &outcomes,
        &starts,
        counters,
        config_delay,
        late_starts,
    ))
}

fn config() -> DeploymentConfig {
    DeploymentConfig {
        inventory: INVENTORY.to_owned(),
        speeds: SPEEDS.to_vec(),
        entries: ENTRIES,
        count_starts: true,
    }
}

/// Prints progress to standard error, unless that is redirected in CI.
fn progress(text: &str) {
    let mut stderr = std::io::stderr();
    if stderr.is_terminal() || std::env::var_os("CI").is_none() {
        // A closed terminal must not fail the demonstration.
        let _ = writeln!(stderr, "demo: {text}");
    }
}
