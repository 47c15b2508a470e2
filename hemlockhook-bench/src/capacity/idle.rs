//! What a deployment costs that has nothing to do.

use std::time::Duration;

use async_io::Timer;
use hemlockhook::local_deployment::{DeploymentConfig, DeploymentThreads, LocalDeployment};
use hemlockhook_runtime::executor::Threads;

use super::Slope;
use super::memory::document;
use crate::throughput::cpu_times;

/// Agents beside one entry.
const AGENTS: [usize; 4] = [5, 10, 20, 40];

/// Entries over eight agents.
const ENTRIES: [usize; 4] = [1, 2, 4, 8];

/// Agents while the number of entries varies.
const FEW_AGENTS: usize = 8;

/// Time for a deployment to come to rest.
const SETTLE: Duration = Duration::from_secs(3);

/// Threads for the traffic of each role.
const TRAFFIC_THREADS: usize = 2;

/// What one idle deployment spent in a second.
struct Idle {
    /// Processor time of all entries, in milliseconds.
    entries_ms: f64,
    /// Processor time of all agents, in milliseconds.
    agents_ms: f64,
    /// Frames on all links.
    frames: f64,
}

/// Measures idle deployments of several sizes.
pub fn slopes(seconds: u64) -> eyre::Result<Vec<Slope>> {
    let by_agents = AGENTS
        .iter()
        .map(|agents| Ok((*agents as f64, watch(1, *agents, seconds)?)))
        .collect::<eyre::Result<Vec<_>>>()?;
    let by_entries = ENTRIES
        .iter()
        .map(|entries| Ok((*entries as f64, watch(*entries, FEW_AGENTS, seconds)?)))
        .collect::<eyre::Result<Vec<_>>>()?;

    let few = FEW_AGENTS as f64;
    Ok(vec![
        Slope {
            name: "c_link_e",
            what: "processor time of one idle entry a second, by agents",
            unit: "ms",
            points: by_agents
                .iter()
                .map(|(n, idle)| (*n, idle.entries_ms))
                .collect(),
        },
        Slope {
            name: "c_link_a",
            what: "processor time of one idle agent a second, by entries",
            unit: "ms",
            points: by_entries
                .iter()
                .map(|(n, idle)| (*n, idle.agents_ms / few))
                .collect(),
        },
        Slope {
            name: "f_idle",
            what: "frames a second on the links of one idle entry, both ways, by agents",
            unit: "",
            points: by_agents
                .iter()
                .map(|(n, idle)| (*n, idle.frames))
                .collect(),
        },
    ])
}

fn watch(entries: usize, agents: usize, seconds: u64) -> eyre::Result<Idle> {
    let entry_threads = Threads::start("entry", TRAFFIC_THREADS);
    let agent_threads = Threads::start("agent", TRAFFIC_THREADS);
    let standin_threads = Threads::start("standin", 1);
    let threads = DeploymentThreads {
        entries: &entry_threads,
        agents: &agent_threads,
        standins: &standin_threads,
    };
    let cfg = DeploymentConfig {
        inventory: document(agents),
        speeds: vec![1.0],
        entries,
        count_starts: false,
    };
    async_io::block_on(async {
        let deployment = LocalDeployment::start(cfg, threads).await?;
        Timer::after(SETTLE).await;

        let (times, frames) = (cpu_times()?, frames(&deployment).await);
        Timer::after(Duration::from_secs(seconds)).await;
        let (later, later_frames) = (cpu_times()?, self::frames(&deployment).await);
        deployment.stop().await;

        let spent = |role: &str| {
            let sum = |times: &std::collections::BTreeMap<String, f64>| -> f64 {
                let of_role = times.iter().filter(|(name, _)| name.starts_with(role));
                of_role.map(|(_, seconds)| seconds).sum()
            };
            (sum(&later) - sum(&times)) * 1_000.0 / seconds as f64
        };
        Ok(Idle {
            entries_ms: spent("entry"),
            agents_ms: spent("agent"),
            frames: (later_frames - frames) / seconds as f64,
        })
    })
}

async fn frames(deployment: &LocalDeployment) -> f64 {
    let counters = deployment.counters().await;
    counters.iter().map(|counters| counters.frames as f64).sum()
}
