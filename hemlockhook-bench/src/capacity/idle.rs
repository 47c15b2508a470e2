//! Cost of an idle deployment.

use std::time::Duration;

use async_io::Timer;
use hemlockhook::local_deployment::{DeploymentConfig, DeploymentThreads, LocalDeployment};
use hemlockhook_runtime::executor::Threads;

use super::Slope;
use super::memory::sample_inventory;
use crate::throughput::cpu_time_by_role;

/// Numbers of agents that are measured with one entry.
const AGENT_COUNTS: [usize; 4] = [5, 10, 20, 40];

/// Numbers of entries that are measured with [`FIXED_AGENTS`] agents.
const ENTRY_COUNTS: [usize; 4] = [1, 2, 4, 8];

/// Number of agents while the number of entries varies.
const FIXED_AGENTS: usize = 8;

/// Time for a deployment to connect and become idle before the measurement.
const WARM_UP: Duration = Duration::from_secs(3);

/// Traffic threads of the entries, and of the agents.
const TRAFFIC_THREADS: usize = 2;

/// Cost of one idle deployment per second.
struct IdleCost {
    /// CPU time of all entries, in milliseconds.
    entries_ms: f64,
    /// CPU time of all agents, in milliseconds.
    agents_ms: f64,
    /// Frames on all links.
    frames: f64,
}

/// Measures idle deployments of several sizes.
pub fn slopes(seconds: u64) -> eyre::Result<Vec<Slope>> {
    let by_agents = AGENT_COUNTS
        .iter()
        .map(|agents| Ok((*agents as f64, measure_idle(1, *agents, seconds)?)))
        .collect::<eyre::Result<Vec<_>>>()?;
    let by_entries = ENTRY_COUNTS
        .iter()
        .map(|entries| {
            Ok((
                *entries as f64,
                measure_idle(*entries, FIXED_AGENTS, seconds)?,
            ))
        })
        .collect::<eyre::Result<Vec<_>>>()?;

    let fixed_agents = FIXED_AGENTS as f64;
    Ok(vec![
        Slope {
            name: "c_link_e",
            description: "processor time of one idle entry a second, by agents",
            unit: "ms",
            points: by_agents
                .iter()
                .map(|(n, idle)| (*n, idle.entries_ms))
                .collect(),
        },
        Slope {
            name: "c_link_a",
            description: "processor time of one idle agent a second, by entries",
            unit: "ms",
            points: by_entries
                .iter()
                .map(|(n, idle)| (*n, idle.agents_ms / fixed_agents))
                .collect(),
        },
        Slope {
            name: "f_idle",
            description: "frames a second on the links of one idle entry, both ways, by agents",
            unit: "",
            points: by_agents
                .iter()
                .map(|(n, idle)| (*n, idle.frames))
                .collect(),
        },
    ])
}

fn measure_idle(entries: usize, agents: usize, seconds: u64) -> eyre::Result<IdleCost> {
    let entry_threads = Threads::start("entry", TRAFFIC_THREADS);
    let agent_threads = Threads::start("agent", TRAFFIC_THREADS);
    let standin_threads = Threads::start("standin", 1);
    let threads = DeploymentThreads {
        entries: &entry_threads,
        agents: &agent_threads,
        standins: &standin_threads,
    };
    let cfg = DeploymentConfig {
        inventory: sample_inventory(agents),
        speeds: vec![1.0],
        entries,
        count_starts: false,
    };
    async_io::block_on(async {
        let deployment = LocalDeployment::start(cfg, threads).await?;
        Timer::after(WARM_UP).await;

        let (earlier_times, earlier_frames) =
            (cpu_time_by_role()?, total_frames(&deployment).await);
        Timer::after(Duration::from_secs(seconds)).await;
        let (later_times, later_frames) = (cpu_time_by_role()?, total_frames(&deployment).await);
        deployment.stop().await;

        let cpu_ms_per_second = |role: &str| {
            let sum = |times: &std::collections::BTreeMap<String, f64>| -> f64 {
                let of_role = times.iter().filter(|(name, _)| name.starts_with(role));
                of_role.map(|(_, seconds)| seconds).sum()
            };
            (sum(&later_times) - sum(&earlier_times)) * 1_000.0 / seconds as f64
        };
        Ok(IdleCost {
            entries_ms: cpu_ms_per_second("entry"),
            agents_ms: cpu_ms_per_second("agent"),
            frames: (later_frames - earlier_frames) / seconds as f64,
        })
    })
}

async fn total_frames(deployment: &LocalDeployment) -> f64 {
    let counters = deployment.counters().await;
    counters.iter().map(|counters| counters.frames as f64).sum()
}
