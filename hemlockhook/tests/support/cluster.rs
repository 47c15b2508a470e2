//! Entries, agents and stand-ins that belong together.

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

/// Generous, for a busy machine.
const READY_TIMEOUT: Duration = Duration::from_secs(120);

/// Time for an answer on an admin port.
const ADMIN_TIMEOUT: Duration = Duration::from_secs(20);

/// What a cluster consists of.
#[derive(Clone, Copy, Debug)]
pub struct Shape {
    pub entries: usize,
    pub agents: usize,
    pub slots: u32,
    /// Longest run time of a task, in milliseconds.
    pub max_task_ms: u32,
}

impl Default for Shape {
    fn default() -> Self {
        Self {
            entries: 2,
            agents: 3,
            slots: 4,
            max_task_ms: 60_000,
        }
    }
}

/// The processes of one test.
pub struct Cluster {
    pub threads: Threads,
    pub entries: Vec<Member>,
    pub agents: Vec<Member>,
    pub relays: Vec<Relay>,
    submitter: Submitter,
    dir: PathBuf,
    log: SocketAddr,
    upstreams: Vec<SocketAddr>,
    _standins: [Process; 2],
}

/// An entry or an agent.
pub struct Member {
    pub process: Process,
    /// Where callers connect, for an entry.
    pub callers: Option<SocketAddr>,
    pub admin: SocketAddr,
    program: &'static str,
    name: String,
    settings: Value,
}

impl Member {
    fn start(program: &'static str, settings: Value, dir: &Path) -> Self {
        let address = |key: &str| settings[key].as_str().and_then(|text| text.parse().ok());
        let name = settings["name"].as_str().unwrap_or_default().to_owned();
        Self {
            process: Process::start(program, &name, &settings, dir),
            callers: address("callers_address"),
            admin: address("admin_address").expect("each member has an admin port"),
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
    /// Starts the processes and waits until all are ready. `test` names the directory of their logs.
    pub async fn start(test: &str, shape: Shape) -> Self {
        let cluster = Self::begin(test, shape, json!({})).await;
        cluster.wait_ready().await;
        cluster
    }

    /// Starts the processes with the log in a state of failure, and publishes nothing.
    pub async fn begin(test: &str, shape: Shape, log_faults: Value) -> Self {
        let dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(test);
        let _ = fs::remove_dir_all(&dir);
        fs::create_dir_all(&dir).expect("the test's directory is made");
        let threads = Threads::start(test, 2);
        let log = free_address();
        let upstreams: Vec<_> = (0..shape.agents).map(|_| free_address()).collect();
        let standin = env!("CARGO_BIN_EXE_hemlockhook-standin");
        let log_settings = json!({"log": {"address": log, "faults": log_faults}});
        let list = upstreams.iter().enumerate();
        let list: Vec<_> = list
            .map(|(at, addr)| json!({"name": format!("desk-{at}"), "address": addr}))
            .collect();
        let standins = [
            Process::start(standin, "log", &log_settings, &dir),
            Process::start(standin, "upstreams", &json!({"upstreams": list}), &dir),
        ];

        let ex = threads.traffic();
        let mut relays = Vec::new();
        let mut agents = Vec::new();
        for (at, upstream) in upstreams.iter().enumerate() {
            let link = free_address();
            let relay = Relay::start(&ex, free_address(), link);
            let settings = json!({
                "name": format!("desk-{at}"), "data_center": "osijek",
                "link_address": link, "announced_address": relay.addr,
                "admin_address": free_address(),
                "upstream_address": upstream, "log_address": log,
                "log_level": "debug",
            });
            relays.push(relay);
            let program = env!("CARGO_BIN_EXE_hemlockhook-agent");
            agents.push(Member::start(program, settings, &dir));
        }
        let entries: Vec<_> = (0..shape.entries)
            .map(|at| {
                let settings = json!({
                    "name": format!("entry-{at}"), "data_center": "osijek",
                    "callers_address": free_address(), "peers_address": free_address(),
                    "admin_address": free_address(), "log_address": log,
                    "log_level": "debug",
                });
                Member::start(env!("CARGO_BIN_EXE_hemlockhook-entry"), settings, &dir)
            })
            .collect();
        let callers = entries.iter().filter_map(|entry| entry.callers).collect();
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
        cluster.publish(shape).await;
        cluster
    }

    /// Waits until every entry and agent is ready, and every entry is linked with every agent.
    pub async fn wait_ready(&self) {
        for member in self.entries.iter().chain(&self.agents) {
            self.wait_member(member).await;
        }
        let linked = async |member: &Member| {
            let agents = self.get(member.admin, "/v1/agents").await;
            let up = |agent: &&Value| agent["slots"].as_u64() > Some(0);
            let list = agents.as_array().cloned().unwrap_or_default();
            list.iter().filter(up).count() >= self.agents.len()
        };
        for member in &self.entries {
            self.wait_for(&member.name, async || linked(member).await)
                .await;
        }
    }

    /// Waits until a member is ready.
    pub async fn wait_member(&self, member: &Member) {
        let ready = async || {
            let page = self
                .send(member.admin, Method::GET, "/health/ready", "")
                .await;
            page.is_some_and(|(status, _)| status == 200)
        };
        self.wait_for(&member.name, ready).await;
    }

    /// Waits until agents and entries agree on the grants that entries hold: none is lost.
    pub async fn wait_grants_agree(&self) {
        let agree = async || {
            let mut held = BTreeMap::<String, u64>::new();
            for entry in &self.entries {
                let agents = self.get(entry.admin, "/v1/agents").await;
                for agent in agents.as_array().into_iter().flatten() {
                    let name = agent["name"].as_str().unwrap_or_default();
                    *held.entry(name.to_owned()).or_default() +=
                        agent["grants"].as_u64().unwrap_or_default();
                }
            }
            for agent in &self.agents {
                let status = self.get(agent.admin, "/v1/status").await;
                if status["grants"].as_u64() != held.get(&agent.name).copied() {
                    return false;
                }
            }
            true
        };
        self.wait_for("agents and entries agree on grants", agree)
            .await;
    }

    /// Waits for a condition, for a generous time.
    pub async fn wait_for<C>(&self, what: &str, condition: C)
    where
        C: AsyncFn() -> bool,
    {
        let step = Duration::from_millis(20);
        for _ in 0..READY_TIMEOUT.as_millis() / step.as_millis() {
            if condition().await {
                return;
            }
            Timer::after(step).await;
        }
        panic!(
            "{what}: the condition did not come true; see {}",
            self.dir.display()
        );
    }

    /// Starts an agent again that has ended, with its settings.
    pub fn restart_agent(&mut self, at: usize) {
        self.agents[at].restart(&self.dir);
    }

    /// Starts an entry again that has ended, with its settings.
    pub fn restart_entry(&mut self, at: usize) {
        self.entries[at].restart(&self.dir);
    }

    /// Returns what submits jobs, for a task of its own.
    pub fn submitter(&self) -> Submitter {
        self.submitter.clone()
    }

    /// Returns the stamps that a caller would hold now.
    pub fn stamps(&self) -> String {
        self.submitter.stamps()
    }

    /// Submits a job through random entries until it is answered for good.
    pub async fn call(&self, job: &Job, rng: &mut fastrand::Rng) -> Outcome {
        let stamps = self.stamps();
        self.submitter.call_with(job, &stamps, rng).await
    }

    /// Submits a job once. Returns `None` unless it is answered for good.
    pub async fn submit(
        &self,
        entry: usize,
        job: &Job,
        stamps: &str,
        timeout: Duration,
    ) -> Option<Outcome> {
        self.submitter.submit(entry, job, stamps, timeout).await
    }

    /// Cancels a job once. Returns `None` unless it is answered for good.
    pub async fn cancel(&self, entry: usize, job: &Job) -> Option<Outcome> {
        self.submitter.cancel(entry, job).await
    }

    /// Returns the jobs whose answers are belied by what the upstreams saw.
    pub async fn mistold(&self, jobs: &[Job], outcomes: &[Outcome]) -> Vec<String> {
        let starts = self.starts().await;
        let mut mistold = Vec::new();
        for (job, outcome) in jobs.iter().zip(outcomes) {
            let started = job
                .names()
                .iter()
                .filter(|name| starts.contains_key(*name))
                .count();
            let is_true = match outcome.answer.as_str() {
                "complete" => outcome.whole && started == job.tasks.len(),
                "not_run" => started == 0,
                "failed" | "unknown" => true,
                _ => false,
            };
            if !is_true {
                mistold.push(format!("{}: {outcome:?}, {started} started", job.key));
            }
        }
        mistold
    }

    pub async fn set_log_faults(&self, faults: Value) {
        self.put(self.log, &faults).await;
    }

    pub async fn set_upstream_faults(&self, at: usize, faults: Value) {
        self.put(self.upstreams[at], &faults).await;
    }

    /// Returns how often each task (`key/index`) was started, at all upstreams together.
    pub async fn starts(&self) -> BTreeMap<String, u64> {
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
    pub async fn doubled(&self) -> Vec<String> {
        let doubled = self
            .starts()
            .await
            .into_iter()
            .filter(|(_, count)| *count > 1);
        doubled.map(|(task, _)| task).collect()
    }

    /// Returns the number of tasks that run at all upstreams together.
    pub async fn running(&self) -> u64 {
        let mut running = 0;
        for addr in &self.upstreams {
            let status = self.get(*addr, "/status").await;
            running += status["running"].as_u64().unwrap_or_default();
        }
        running
    }

    /// Returns a page of JSON.
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
            .expect("the request's parts are valid");
        let res = self
            .submitter
            .client(addr)
            .send(req, 64 << 20, ADMIN_TIMEOUT)
            .await
            .ok()?;
        let body = serde_json::from_slice(res.body()).unwrap_or_default();
        Some((res.status().as_u16(), body))
    }

    async fn put(&self, addr: SocketAddr, faults: &Value) {
        let set = async || {
            let page = self
                .send(addr, Method::PUT, "/faults", &faults.to_string())
                .await;
            page.is_some_and(|(status, _)| status < 300)
        };
        self.wait_for("the faults are set", set).await;
    }

    /// Appends the inventory to the log, which may be down at first.
    pub async fn publish(&self, shape: Shape) {
        let record = ConfigRecord {
            change_id: "first".to_owned(),
            document: inventory(shape),
            ..ConfigRecord::default()
        };
        let body = String::from_utf8(record.to_bytes()).expect("a record is text");
        let log = self.log;
        let path = "/v1/streams/config/records";
        let append = async || {
            let page = self.send(log, Method::POST, path, &body).await;
            // A log that is down takes it later.
            page.is_some_and(|(status, _)| status == 200 || status == 503)
        };
        self.wait_for("the inventory is published", append).await;
    }
}

fn inventory(shape: Shape) -> String {
    let mut text = format!(
        "deployment: test
data_centers: [{{ name: osijek, region: slavonia }}]
services:
  - {{ name: quote, deadline: 10m, max_task_time: {}ms, objective: {{ percent: 99.0, within: 1s }} }}
teams: [{{ name: farms }}]
",
        shape.max_task_ms
    );
    text.push_str("workers:\n");
    for at in 0..shape.agents {
        text.push_str(&format!(
            "  - {{ name: os-{at}, rack: os-r1, data_center: osijek, processors: 8, memory_gb: 16 }}\n"
        ));
    }
    text.push_str("upstreams:\n");
    for at in 0..shape.agents {
        let slots = shape.slots;
        text.push_str(&format!(
            "  - {{ name: desk-{at}, worker: os-{at}, services: [quote], slots: {slots}, connections: 64 }}\n"
        ));
    }
    text
}
