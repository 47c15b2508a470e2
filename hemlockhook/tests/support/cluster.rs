//! A cluster of entries, agents and stand-ins, each a process.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;
use std::{env, fs};

use async_io::Timer;
use hemlockhook_inventory::ConfigRecord;
use hemlockhook_runtime::executor::Threads;
use http::{Method, Request};
use http_body_util::Full;
use serde_json::{Value, json};

use super::caller::{Job, Outcome, Submitter};
use super::ports::free_address;
use super::process::Process;
use super::relay::Relay;

/// Time limit for a condition to hold, generous for a busy machine.
const READY_TIMEOUT: Duration = Duration::from_secs(120);

/// Timeout of a request to an admin port.
const ADMIN_TIMEOUT: Duration = Duration::from_secs(20);

/// Composition of a cluster.
#[derive(Clone, Copy, Debug)]
pub struct ClusterConfig {
    pub entries: usize,
    pub agents: usize,
    pub slots: u32,
    /// Maximum run time of a task, in milliseconds.
    pub max_task_ms: u32,
}

impl Default for ClusterConfig {
    fn default() -> Self {
        Self {
            entries: 2,
            agents: 3,
            slots: 4,
            max_task_ms: 60_000,
        }
    }
}

/// The processes of a test.
pub struct Cluster {
    pub threads: Threads,
    pub entries: Vec<Daemon>,
    pub agents: Vec<Daemon>,
    pub relays: Vec<Relay>,
    submitter: Submitter,
    dir: PathBuf,
    log: SocketAddr,
    upstreams: Vec<SocketAddr>,
    _standins: [Process; 2],
}

/// An entry or an agent.
pub struct Daemon {
    pub process: Process,
    /// Address for callers, if this is an entry.
    pub callers_address: Option<SocketAddr>,
    pub admin_address: SocketAddr,
    program: &'static str,
    name: String,
    settings: Value,
}

impl Daemon {
    fn start(program: &'static str, settings: Value, dir: &Path) -> Self {
        let address = |key: &str| settings[key].as_str().and_then(|text| text.parse().ok());
        let name = settings["name"].as_str().unwrap_or_default().to_owned();
        Self {
            process: Process::start(program, &name, &settings, dir),
            callers_address: address("callers_address"),
            admin_address: address("admin_address").expect("each process has an admin port"),
            program,
            name,
            settings,
        }
    }

    fn restart(&mut self, dir: &Path) {
        self.process = Process::start(self.program, &self.name, &self.settings, dir);
    }
}

impl Cluster {
    /// Starts the processes and waits until all are ready. `test` names the directory of their log
    /// files.
    pub async fn start(test: &str, cfg: ClusterConfig) -> Self {
        let cluster = Self::start_without_waiting(test, cfg, json!({})).await;
        cluster.wait_until_all_ready().await;
        cluster
    }

    /// Starts the processes with injected faults of the log, and appends the inventory unless the
    /// log is down. Does not wait until the processes are ready.
    pub async fn start_without_waiting(test: &str, cfg: ClusterConfig, log_faults: Value) -> Self {
        // Two runs at once in one checkout must not share it. It is kept, so that the logs of a failed
        // run can be read.
        let run = format!("{test}-{}", std::process::id());
        let dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(run);
        let _ = fs::remove_dir_all(&dir);
        fs::create_dir_all(&dir).expect("the test directory can be created");
        let threads = Threads::start(test, 2);
        let log = free_address();
        let upstreams: Vec<_> = (0..cfg.agents).map(|_| free_address()).collect();
        let standin = env!("CARGO_BIN_EXE_hemlockhook-standin");
        let log_settings = json!({"log": {"address": log, "faults": log_faults}});
        let list = upstreams.iter().enumerate();
        let list: Vec<_> = list
            .map(|(index, addr)| json!({"name": format!("desk-{index}"), "address": addr}))
            .collect();
        let standins = [
            Process::start(standin, "log", &log_settings, &dir),
            Process::start(standin, "upstreams", &json!({"upstreams": list}), &dir),
        ];

        let ex = threads.traffic();
        let mut relays = Vec::new();
        let mut agents = Vec::new();
        for (index, upstream) in upstreams.iter().enumerate() {
            let link = free_address();
            let relay = Relay::start(&ex, free_address(), link);
            let settings = json!({
                "name": format!("desk-{index}"), "data_center": "osijek",
                "link_address": link, "announced_address": relay.addr,
                "admin_address": free_address(),
                "upstream_address": upstream, "log_address": log,
                "log_level": "debug",
            });
            relays.push(relay);
            let program = env!("CARGO_BIN_EXE_hemlockhook-agent");
            agents.push(Daemon::start(program, settings, &dir));
        }
        let entries: Vec<_> = (0..cfg.entries)
            .map(|index| {
                let settings = json!({
                    "name": format!("entry-{index}"), "data_center": "osijek",
                    "callers_address": free_address(), "peers_address": free_address(),
                    "admin_address": free_address(), "log_address": log,
                    "log_level": "debug",
                });
                Daemon::start(env!("CARGO_BIN_EXE_hemlockhook-entry"), settings, &dir)
            })
            .collect();
        let callers = entries
            .iter()
            .filter_map(|entry| entry.callers_address)
            .collect();
        let submitter = Submitter::new(threads.traffic(), callers);
        let cluster = Self {
            entries,
            agents,
            relays,
            threads,
            submitter,
            dir,
            log,
            upstreams,
            _standins: standins,
        };
        cluster.publish(cfg).await;
        cluster
    }

    /// Waits until every entry and agent is ready, and every entry has a link to every agent.
    pub async fn wait_until_all_ready(&self) {
        for daemon in self.entries.iter().chain(&self.agents) {
            self.wait_until_ready(daemon).await;
        }
        let linked = async |daemon: &Daemon| {
            let agents = self.get(daemon.admin_address, "/v1/agents").await;
            let up = |agent: &&Value| agent["slots"].as_u64() > Some(0);
            let list = agents.as_array().cloned().unwrap_or_default();
            list.iter().filter(up).count() >= self.agents.len()
        };
        for daemon in &self.entries {
            self.wait_for(&daemon.name, async || linked(daemon).await)
                .await;
        }
    }

    /// Waits until an entry or agent is ready.
    pub async fn wait_until_ready(&self, daemon: &Daemon) {
        let ready = async || {
            let page = self
                .send(daemon.admin_address, Method::GET, "/health/ready", "")
                .await;
            page.is_some_and(|(status, _)| status == 200)
        };
        self.wait_for(&daemon.name, ready).await;
    }

    /// Waits until agents and entries agree on the number of grants that the entries hold, so that
    /// none has leaked.
    pub async fn wait_for_equal_grants(&self) {
        let agree = async || {
            let mut held = BTreeMap::<String, u64>::new();
            for entry in &self.entries {
                let agents = self.get(entry.admin_address, "/v1/agents").await;
                for agent in agents.as_array().into_iter().flatten() {
                    let name = agent["name"].as_str().unwrap_or_default();
                    *held.entry(name.to_owned()).or_default() +=
                        agent["grants"].as_u64().unwrap_or_default();
                }
            }
            for agent in &self.agents {
                let status = self.get(agent.admin_address, "/v1/status").await;
                if status["grants"].as_u64() != held.get(&agent.name).copied() {
                    return false;
                }
            }
            true
        };
        self.wait_for("agents and entries agree on grants", agree)
            .await;
    }

    /// Waits until a condition holds, for at most [`READY_TIMEOUT`].
    pub async fn wait_for<C>(&self, description: &str, condition: C)
    where
        C: AsyncFn() -> bool,
    {
        let interval = Duration::from_millis(20);
        for _ in 0..READY_TIMEOUT.as_millis() / interval.as_millis() {
            if condition().await {
                return;
            }
            Timer::after(interval).await;
        }
        panic!(
            "{description}: the condition did not hold in time; see {}",
            self.dir.display()
        );
    }

    /// Restarts an agent that has exited, with the same settings.
    pub fn restart_agent(&mut self, index: usize) {
        self.agents[index].restart(&self.dir);
    }

    /// Restarts an entry that has exited, with the same settings.
    pub fn restart_entry(&mut self, index: usize) {
        self.entries[index].restart(&self.dir);
    }

    /// Returns a submitter that can move to another task.
    pub fn submitter(&self) -> Submitter {
        self.submitter.clone()
    }

    /// Returns the stamps of the latest response.
    pub fn stamps(&self) -> String {
        self.submitter.stamps()
    }

    /// Submits a job through random entries until it is answered.
    pub async fn submit_until_answered(&self, job: &Job, rng: &mut fastrand::Rng) -> Outcome {
        let stamps = self.stamps();
        self.submitter
            .submit_until_answered(job, &stamps, rng)
            .await
    }

    /// Submits a job once. Returns `None` unless the response is a final answer.
    pub async fn submit(
        &self,
        entry: usize,
        job: &Job,
        stamps: &str,
        timeout: Duration,
    ) -> Option<Outcome> {
        self.submitter.submit(entry, job, stamps, timeout).await
    }

    /// Submits a job once without waiting for its answer, and returns whether it was accepted.
    pub async fn submit_without_waiting(&self, entry: usize, job: &Job) -> bool {
        let stamps = self.stamps();
        self.submitter
            .submit_without_waiting(entry, job, &stamps)
            .await
    }

    /// Cancels a job once. Returns `None` unless the response is a final answer.
    pub async fn cancel(&self, entry: usize, job: &Job) -> Option<Outcome> {
        self.submitter.cancel(entry, job).await
    }

    /// Returns the jobs whose answers contradict the starts that the upstreams counted.
    pub async fn contradicted_answers(&self, jobs: &[Job], outcomes: &[Outcome]) -> Vec<String> {
        let starts = self.start_counts().await;
        let mut contradicted = Vec::new();
        for (job, outcome) in jobs.iter().zip(outcomes) {
            let started = job
                .task_names()
                .iter()
                .filter(|name| starts.contains_key(*name))
                .count();
            let is_consistent = match outcome.answer.as_str() {
                "complete" => outcome.has_expected_results && started == job.tasks.len(),
                "not_run" => started == 0,
                "failed" | "unknown" => true,
                _ => false,
            };
            if !is_consistent {
                contradicted.push(format!("{}: {outcome:?}, {started} started", job.key));
            }
        }
        contradicted
    }

    pub async fn set_log_faults(&self, faults: Value) {
        self.put_faults(self.log, &faults).await;
    }

    pub async fn set_upstream_faults(&self, index: usize, faults: Value) {
        self.put_faults(self.upstreams[index], &faults).await;
    }

    /// Returns the number of starts of each task (`key/index`) at all upstreams.
    pub async fn start_counts(&self) -> BTreeMap<String, u64> {
        let mut all = BTreeMap::new();
        for addr in &self.upstreams {
            let starts = self.get(*addr, "/starts").await;
            for (task, count) in starts.as_object().into_iter().flatten() {
                *all.entry(task.clone()).or_default() += count.as_u64().unwrap_or_default();
            }
        }
        all
    }

    /// Returns the tasks that were started more than once.
    pub async fn tasks_started_twice(&self) -> Vec<String> {
        let repeated = self
            .start_counts()
            .await
            .into_iter()
            .filter(|(_, count)| *count > 1);
        repeated.map(|(task, _)| task).collect()
    }

    /// Returns the number of running tasks at all upstreams.
    pub async fn running_tasks(&self) -> u64 {
        let mut running = 0;
        for addr in &self.upstreams {
            let status = self.get(*addr, "/status").await;
            running += status["running"].as_u64().unwrap_or_default();
        }
        running
    }

    /// Returns the JSON body of a response, or null.
    pub async fn get(&self, addr: SocketAddr, path: &str) -> Value {
        let page = self.send(addr, Method::GET, path, "").await;
        page.map(|(_, body)| body).unwrap_or_default()
    }

    async fn send(
        &self,
        addr: SocketAddr,
        method: Method,
        path: &str,
        body: &str,
    ) -> Option<(u16, Value)> {
        let req = Request::builder()
            .method(method)
            .uri(path)
            .body(Full::from(body.to_owned()))
            .expect("the request is valid");
        let res = self
            .submitter
            .client(addr)
            .send(req, 64 << 20, ADMIN_TIMEOUT)
            .await
            .ok()?;
        let body = serde_json::from_slice(res.body()).unwrap_or_default();
        Some((res.status().as_u16(), body))
    }

    async fn put_faults(&self, addr: SocketAddr, faults: &Value) {
        let set = async || {
            let page = self
                .send(addr, Method::PUT, "/faults", &faults.to_string())
                .await;
            page.is_some_and(|(status, _)| status < 300)
        };
        self.wait_for("the faults are set", set).await;
    }

    /// Appends the inventory to the log, unless the log is down.
    pub async fn publish(&self, cfg: ClusterConfig) {
        let record = ConfigRecord {
            change_id: "first".to_owned(),
            document: inventory(cfg),
            ..ConfigRecord::default()
        };
        let body = String::from_utf8(record.to_bytes()).expect("a record is UTF-8");
        let log = self.log;
        let path = "/v1/streams/config/records";
        let append = async || {
            let page = self.send(log, Method::POST, path, &body).await;
            // While the log is down, the test publishes the inventory later.
            page.is_some_and(|(status, _)| status == 200 || status == 503)
        };
        self.wait_for("the inventory is published", append).await;
    }
}

fn inventory(cfg: ClusterConfig) -> String {
    let mut text = format!(
        "deployment: test
data_centers: [{{ name: osijek, region: slavonia }}]
services:
  - {{ name: quote, deadline: 10m, max_task_time: {}ms, objective: {{ percent: 99.0, within: 1s }} }}
teams: [{{ name: farms }}]
",
        cfg.max_task_ms
    );
    text.push_str("workers:\n");
    for index in 0..cfg.agents {
        text.push_str(&format!(
            "  - {{ name: os-{index}, rack: os-r1, data_center: osijek, processors: 8, memory_gb: 16 }}\n"
        ));
    }
    text.push_str("upstreams:\n");
    for index in 0..cfg.agents {
        let slots = cfg.slots;
        text.push_str(&format!(
            "  - {{ name: desk-{index}, worker: os-{index}, services: [quote], slots: {slots}, connections: 64 }}\n"
        ));
    }
    text
}
