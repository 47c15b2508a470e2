//! A deployment whose entries, agents and stand-ins run as tasks of one process, over loopback.

use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_channel::Sender;
use async_executor::Task;
use async_io::Timer;
use async_net::TcpListener;
use eyre::{WrapErr, ensure, eyre};
use hemlockhook_agent::AgentProcess;
use hemlockhook_entry::EntryProcess;
use hemlockhook_entry::counters::Counters;
use hemlockhook_inventory::{ConfigRecord, Inventory, check};
use hemlockhook_ports::{HttpLog, Log};
use hemlockhook_runtime::executor::{Executor, Threads};
use hemlockhook_runtime::http::HttpClient;
use hemlockhook_standin::{LogSettings, LogStandin, UpstreamSettings, UpstreamStandin};
use hemlockhook_types::{Clock, SystemClock};
use http::Request;
use http_body_util::Full;
use uuid::Uuid;

/// Time limit for a deployment to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(60);

/// Time after which a draining upstream must get no new tasks.
const DRAIN_LIMIT: Duration = Duration::from_secs(3);

/// Time limit for a configuration change to be in force in every process.
const CONFIG_LIMIT: Duration = Duration::from_secs(7);

/// Timeout of a request to a stand-in or an admin port.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

/// Composition of a deployment.
#[derive(Clone, Debug)]
pub struct DeploymentConfig {
    /// Inventory in YAML. Each of its upstreams gets one agent and one upstream stand-in.
    pub inventory: String,
    /// Speed factors of the upstreams, assigned round-robin.
    pub speeds: Vec<f64>,
    /// Number of entries.
    pub entries: usize,
    /// Whether the upstreams count the starts of each task, which uses memory per task.
    pub count_starts: bool,
}

/// Threads that a deployment runs on. The same threads may serve several roles.
pub struct DeploymentThreads<'a> {
    /// Threads of the entries.
    pub entries: &'a Threads,
    /// Threads of the agents.
    pub agents: &'a Threads,
    /// Threads of the log and upstream stand-ins.
    pub standins: &'a Threads,
}

/// A running deployment on loopback.
pub struct LocalDeployment {
    cfg: DeploymentConfig,
    entry_ex: Executors,
    agent_ex: Executors,
    traffic: Arc<Executor>,
    clock: Arc<dyn Clock>,
    inventory: Inventory,
    log_address: SocketAddr,
    log: HttpLog,
    upstreams: Vec<(UpstreamStandin, SocketAddr)>,
    agents: Vec<Option<AgentProcess>>,
    entries: Vec<Option<EntryProcess>>,
    /// Counters of entries that were killed.
    killed_entry_counters: Vec<Counters>,
    _servers: Vec<Task<()>>,
    _stop: Sender<()>,
}

/// Executors of one kind of process.
#[derive(Clone)]
struct Executors {
    control: Arc<Executor>,
    traffic: Arc<Executor>,
}

/// A drained upstream, with its number of starts at the end of the drain limit.
pub struct DrainedUpstream {
    upstream: usize,
    starts: u64,
}

impl LocalDeployment {
    /// Starts every process, publishes the inventory, and waits until the entries accept jobs and
    /// every shard has an owner.
    pub async fn start(
        cfg: DeploymentConfig,
        threads: DeploymentThreads<'_>,
    ) -> eyre::Result<Self> {
        let clock: Arc<dyn Clock> = Arc::new(SystemClock);
        let inventory =
            check(&cfg.inventory).map_err(|problems| eyre!("invalid inventory: {problems:?}"))?;
        let traffic = threads.standins.traffic();
        let (stop, stopped) = async_channel::bounded(1);

        let listener = TcpListener::bind(loopback_address()).await?;
        let log_address = listener.local_addr()?;
        let standin = LogStandin::new(LogSettings::new(log_address), clock.clone());
        let mut servers =
            vec![traffic.spawn(standin.serve(traffic.clone(), listener, stopped.clone()))];
        let mut upstreams = Vec::new();
        for (index, upstream) in inventory.upstreams.iter().enumerate() {
            let listener = TcpListener::bind(loopback_address()).await?;
            let address = listener.local_addr()?;
            let mut settings = UpstreamSettings::new(&upstream.name, address);
            settings.speed = cfg.speeds[index % cfg.speeds.len()];
            settings.count_starts = cfg.count_starts;
            settings.max_connections = upstream.connections as usize + 1;
            let standin = UpstreamStandin::new(settings, clock.clone());
            let serve = standin
                .clone()
                .serve(traffic.clone(), listener, stopped.clone());
            servers.push(traffic.spawn(serve));
            upstreams.push((standin, address));
        }

        let mut deployment = Self {
            log: HttpLog::new(traffic.clone(), log_address, REQUEST_TIMEOUT),
            entry_ex: Executors::new(threads.entries),
            agent_ex: Executors::new(threads.agents),
            cfg,
            traffic,
            clock,
            inventory,
            log_address,
            upstreams,
            agents: Vec::new(),
            entries: Vec::new(),
            killed_entry_counters: Vec::new(),
            _servers: servers,
            _stop: stop,
        };
        for index in 0..deployment.upstreams.len() {
            let agent = deployment.start_agent(index).await?;
            deployment.agents.push(Some(agent));
        }
        for index in 0..deployment.cfg.entries {
            let entry = deployment.start_entry(index).await?;
            deployment.entries.push(Some(entry));
        }
        deployment.publish().await?;
        deployment.wait_until_ready().await?;
        Ok(deployment)
    }

    /// Returns the addresses on which the entries accept jobs.
    pub fn caller_addresses(&self) -> Vec<SocketAddr> {
        self.entries
            .iter()
            .flatten()
            .map(EntryProcess::callers_addr)
            .collect()
    }

    /// Publishes the inventory.
    async fn publish(&self) -> eyre::Result<()> {
        self.append_config(0, self.cfg.inventory.clone()).await
    }

    /// Publishes a configuration change and returns the time until it was in force in every entry
    /// and agent, or until the time limit had passed.
    pub async fn publish_change(&self) -> eyre::Result<Duration> {
        let base = self
            .config_versions()
            .await
            .into_iter()
            .max()
            .unwrap_or_default();
        let started = Instant::now();
        let document = format!("{}\n# Changed while jobs ran.\n", self.cfg.inventory);
        self.append_config(base, document).await?;
        loop {
            let versions = self.config_versions().await;
            let took = started.elapsed();
            if versions.iter().all(|version| *version > base) || took > CONFIG_LIMIT {
                return Ok(took);
            }
            Timer::after(Duration::from_millis(10)).await;
        }
    }

    /// Waits until every entry accepts jobs and every shard has an owner.
    async fn wait_until_ready(&self) -> eyre::Result<()> {
        let deadline = Instant::now() + READY_TIMEOUT;
        while !self.is_ready().await {
            ensure!(
                Instant::now() < deadline,
                "the deployment did not become ready"
            );
            Timer::after(Duration::from_millis(20)).await;
        }
        Ok(())
    }

    /// Kills an agent and starts a replacement.
    pub async fn replace_agent(&mut self, index: usize) -> eyre::Result<()> {
        self.agents[index] = None;
        self.agents[index] = Some(self.start_agent(index).await?);
        Ok(())
    }

    /// Kills an entry and starts a replacement.
    pub async fn replace_entry(&mut self, index: usize) -> eyre::Result<()> {
        let counters = match &self.entries[index] {
            Some(entry) => {
                entry
                    .control()
                    .inspect(|engine, _| *engine.counters())
                    .await
            }
            None => None,
        };
        self.killed_entry_counters.extend(counters);
        self.entries[index] = None;
        self.entries[index] = Some(self.start_entry(index).await?);
        Ok(())
    }

    /// Drains an upstream and waits until it must get no new tasks.
    pub async fn drain_upstream(&self, index: usize) -> eyre::Result<DrainedUpstream> {
        let name = &self.inventory.upstreams[index].name;
        let entry = self
            .entries
            .iter()
            .flatten()
            .next()
            .ok_or_else(|| eyre!("no entry is running"))?;
        let client = HttpClient::new(self.traffic.clone(), entry.admin_addr(), 1);
        let body = format!(r#"{{"upstream":"{name}","leaving":true}}"#);
        let req = Request::post("/v1/drain").body(Full::from(body))?;
        let response = client.send(req, 64 << 10, REQUEST_TIMEOUT).await?;
        ensure!(
            response.status().is_success(),
            "drain request failed: {}",
            response.status()
        );
        Timer::after(DRAIN_LIMIT).await;
        let starts = self.upstreams[index].0.status().started;
        Ok(DrainedUpstream {
            upstream: index,
            starts,
        })
    }

    /// Returns the number of tasks that a drained upstream started after the drain limit.
    pub fn starts_after_leaving(&self, drained: DrainedUpstream) -> u64 {
        self.upstreams[drained.upstream].0.status().started - drained.starts
    }

    /// Returns the number of starts of each task, by `key/index`.
    pub fn start_counts(&self) -> HashMap<String, u32> {
        let mut starts = HashMap::new();
        for (upstream, _) in &self.upstreams {
            for (task, count) in upstream.start_counts() {
                *starts.entry(task).or_default() += count;
            }
        }
        starts
    }

    /// Returns the counters of all entries, including killed ones.
    pub async fn counters(&self) -> Vec<Counters> {
        let mut all = self.killed_entry_counters.clone();
        for entry in self.entries.iter().flatten() {
            all.extend(
                entry
                    .control()
                    .inspect(|engine, _| *engine.counters())
                    .await,
            );
        }
        all
    }

    /// Stops every process gracefully.
    pub async fn stop(self) {
        for entry in self.entries.into_iter().flatten() {
            entry.stop().await;
        }
        for agent in self.agents.into_iter().flatten() {
            agent.stop().await;
        }
    }

    async fn append_config(&self, base: u64, document: String) -> eyre::Result<()> {
        let record = ConfigRecord {
            change_id: Uuid::now_v7().to_string(),
            base,
            document,
            author: "demo".to_owned(),
            ..ConfigRecord::default()
        };
        self.log
            .append("config", record.to_bytes().into())
            .await
            .wrap_err("publishing the configuration")?;
        Ok(())
    }

    /// Returns the configuration versions in force in the entries, and in the agents as reported to
    /// the entries.
    async fn config_versions(&self) -> Vec<u64> {
        let mut versions = Vec::new();
        for entry in self.entries.iter().flatten() {
            let request = entry.control().inspect(|engine, now| engine.status(now));
            if let Some(status) = request.await {
                versions.push(status.config_version);
                versions.extend(status.agents.iter().map(|agent| agent.config_version));
            }
        }
        versions
    }

    async fn is_ready(&self) -> bool {
        let upstreams = self.upstreams.len();
        let mut shards = 0;
        for entry in self.entries.iter().flatten() {
            let request = entry.control().inspect(|engine, now| {
                let status = engine.status(now);
                let linked = status.agents.iter().filter(|agent| agent.slots > 0).count();
                (engine.is_ready(), linked, status.shards.len())
            });
            match request.await {
                Some((true, linked, owned)) if linked == upstreams => shards += owned,
                _ => return false,
            }
        }
        shards == usize::from(hemlockhook_types::SHARD_COUNT)
    }

    async fn start_agent(&self, index: usize) -> eyre::Result<AgentProcess> {
        let upstream = &self.inventory.upstreams[index];
        let worker = self.inventory.worker(&upstream.worker);
        let settings = hemlockhook_agent::Settings {
            name: upstream.name.to_string(),
            data_center: worker.map_or_else(String::new, |worker| worker.data_center.to_string()),
            link_address: loopback_address(),
            announced_address: None,
            admin_address: loopback_address(),
            upstream_address: self.upstreams[index].1,
            log_address: self.log_address,
            log_level: hemlockhook_agent::settings::LogLevel::Warn,
            limits: Default::default(),
        };
        let Executors { control, traffic } = self.agent_ex.clone();
        AgentProcess::start(&settings, control, traffic, self.clock.clone()).await
    }

    async fn start_entry(&self, index: usize) -> eyre::Result<EntryProcess> {
        let settings = hemlockhook_entry::Settings {
            name: format!("entry-{index}"),
            data_center: self.inventory.data_centers[index % self.inventory.data_centers.len()]
                .name
                .to_string(),
            callers_address: loopback_address(),
            peers_address: loopback_address(),
            announced_address: None,
            admin_address: loopback_address(),
            log_address: self.log_address,
            workers_address: None,
            known_peers: Vec::new(),
            traffic_threads: 1,
            log_level: Default::default(),
            limits: Default::default(),
            memory: Default::default(),
            timing: Default::default(),
        };
        let Executors { control, traffic } = self.entry_ex.clone();
        EntryProcess::start(&settings, control, traffic, self.clock.clone()).await
    }
}

impl Executors {
    fn new(threads: &Threads) -> Self {
        Self {
            control: threads.control(),
            traffic: threads.traffic(),
        }
    }
}

/// Returns a loopback address with port 0, for which the operating system assigns a free port.
fn loopback_address() -> SocketAddr {
    (Ipv4Addr::LOCALHOST, 0).into()
}
