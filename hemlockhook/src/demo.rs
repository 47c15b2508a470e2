//! The demonstration: a whole deployment as tasks of one process, with failures on the way.

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

use load::{Load, LoadSettings};
use summary::Summary;

/// Threads for traffic.
const TRAFFIC_THREADS: usize = 4;

/// The inventory that the deployment runs.
const INVENTORY: &str = include_str!("../../inventories/tunelpokrov.yaml");

/// Speeds of the upstreams, fastest and slowest 3 to 1.
const SPEEDS: [f64; 4] = [1.0, 0.75, 0.5, 0.34];

/// Number of entries.
const ENTRIES: usize = 3;

/// Form of a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Output {
    /// For people.
    Text,
    /// For programs.
    Json,
}

impl std::str::FromStr for Output {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "text" => Ok(Self::Text),
            "json" => Ok(Self::Json),
            _ => Err("the output is text or json".to_owned()),
        }
    }
}

/// What the demonstration is told.
#[derive(Clone, Debug, Bpaf)]
pub struct DemoArgs {
    /// Form of the summary: text or json
    #[bpaf(argument("FORM"), fallback(Output::Text))]
    pub output: Output,
    /// Seed of the load
    #[bpaf(argument("SEED"), fallback(1))]
    pub seed: u64,
    /// Seconds for which jobs are submitted
    #[bpaf(argument("SECONDS"), fallback(8))]
    pub seconds: u64,
}

/// Runs the demonstration. Returns whether everything that must always hold did.
pub fn run(args: &DemoArgs) -> eyre::Result<bool> {
    log::init("error")?;
    let threads = Threads::start("demo", TRAFFIC_THREADS);
    let summary = async_io::block_on(demonstrate(args, &threads))?;
    match args.output {
        Output::Text => print!("{summary}"),
        Output::Json => println!("{}", serde_json::to_string(&summary)?),
    }
    Ok(summary.holds())
}

async fn demonstrate(args: &DemoArgs, threads: &Threads) -> eyre::Result<Summary> {
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
    let load = Arc::new(Load::new(settings, deployment.caller_addresses()));
    let running = threads.traffic().spawn(load.clone().run(threads.traffic()));
    let start = Instant::now();
    let at = |part: u64| start + Duration::from_secs(args.seconds) * part as u32 / 8;

    Timer::at(at(2)).await;
    progress("killing an agent while tasks run beside it, and replacing it");
    deployment.replace_agent(0).await?;
    Timer::at(at(4)).await;
    progress("killing an entry with jobs in flight, and replacing it");
    deployment.replace_entry(0).await?;
    load.set_entry(0, deployment.caller_addresses()[0]);
    Timer::at(at(6)).await;
    progress("publishing a change, and draining an upstream");
    let config_in_force = deployment.publish_change().await?;
    let drained = deployment.drain_upstream(1).await?;

    progress("waiting for the last answers");
    let outcomes = running.await;
    let counters = deployment.counters().await;
    let late_starts = deployment.starts_after_leaving(drained);
    let starts = deployment.start_counts();
    deployment.stop().await;
    Ok(Summary::new(
        &outcomes,
        &starts,
        counters,
        config_in_force,
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

/// Shows a person how far the demonstration is.
fn progress(text: &str) {
    let mut stderr = std::io::stderr();
    if stderr.is_terminal() || std::env::var_os("CI").is_none() {
        // A closed terminal is no reason to fail.
        let _ = writeln!(stderr, "demo: {text}");
    }
}
