//! A small deployment: the project's entries and agents as processes, with the commands of the deploy
//! file and settings as its templates give them, the store, and a worker for each agent.

use std::fs::{self, File};
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{self, Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Call, Response};
use crate::store::Store;
use crate::trace::Trace;
use crate::worker::{Life, Profile};

pub const SERVICE: &str = "order-desk";
pub const HOST: &str = "orders.example";
pub const PREFIX: &str = "/cuts/";
pub const ZONES: [&str; 3] = ["osijek", "vukovar", "dakovo"];

pub struct Entry {
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    pub links: SocketAddr,
    settings: PathBuf,
    child: Option<Child>,
}

pub struct Agent {
    pub announcements: SocketAddr,
    pub app: SocketAddr,
    pub zone: &'static str,
    settings: PathBuf,
    child: Option<Child>,
    pub life: Option<Life>,
}

pub struct Rig {
    pub trace: Arc<Trace>,
    pub store: Store,
    store_addr: SocketAddr,
    bin: PathBuf,
    dir: PathBuf,
    pub entries: Vec<Entry>,
    pub agents: Vec<Agent>,
}

/// Processes that run.
static PROCESSES: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Kills the processes that were started and still run.
pub fn end_processes() {
    let ids = PROCESSES.lock().map(|mut ids| std::mem::take(&mut *ids));
    for id in ids.unwrap_or_default() {
        let _ = Command::new("kill").arg("-9").arg(id.to_string()).status();
    }
}

/// Returns a loopback address whose port is free, below the ports that outgoing connections get.
pub fn free_addr() -> SocketAddr {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    loop {
        let step = NEXT.fetch_add(1, Ordering::SeqCst);
        let port = 10_000 + (process::id() * 64 + step) % 20_000;
        let addr = SocketAddr::from(([127, 0, 0, 1], port as u16));
        if TcpListener::bind(addr).is_ok() {
            return addr;
        }
    }
}

impl Rig {
    pub fn new(bin: &Path, dir: &Path) -> Self {
        let store_addr = free_addr();
        let store = Store::start(store_addr).expect("the store starts");
        Self {
            trace: Arc::new(Trace::new()),
            store,
            store_addr,
            bin: bin.to_owned(),
            dir: dir.to_owned(),
            entries: Vec::new(),
            agents: Vec::new(),
        }
    }

    /// Publishes a configuration with one queue.
    pub fn configure(&self, version: u64) {
        let text = format!(
            "{{\"version\":{version},\"routes\":[{{\"name\":\"cut-book\",\"host\":\"{HOST}\",\"pathPrefix\":\"{PREFIX}\",\"kind\":\"unsafe\",\"timeoutMs\":1500,\"targetLatencyMs\":60,\"priority\":0,\"service\":\"{SERVICE}\",\"attempts\":3,\"stretch\":1.6}}],\"services\":[{{\"name\":\"{SERVICE}\",\"healthPath\":\"/health\",\"connectionLimit\":64,\"protocol\":\"h1\",\"tls\":false,\"enforcesCapacity\":false,\"spare\":false}}],\"limits\":{{\"headerBytes\":16384,\"bodyBytes\":262144,\"headerMs\":3000,\"idleMs\":15000}}}}"
        );
        self.store.put("keyed.op", "config", &text);
    }

    pub fn add_entry(&mut self) {
        let index = self.entries.len();
        let entry = Entry {
            callers: free_addr(),
            ready: free_addr(),
            links: free_addr(),
            settings: self.dir.join(format!("entry-{index}.yaml")),
            child: None,
        };
        let settings = format!(
            "name: front-{index}\ndata_center: {}\ncallers_address: {}\nready_address: {}\nlinks_address: {}\nstore_address: {}\ngrace_period_s: 6\nresubmit_after_ms: 1300\ndistance_factor: 1.5\nplacement: by_run_times\noverload: by_class\nmemory_mb: 260\nfile_descriptors: 4100\ninterference: avoid\n",
            ZONES[index % 3],
            entry.callers,
            entry.ready,
            entry.links,
            self.store_addr
        );
        fs::write(&entry.settings, settings).expect("the settings are written");
        self.entries.push(entry);
    }

    pub fn add_agent(&mut self) {
        let index = self.agents.len();
        let agent = Agent {
            announcements: free_addr(),
            app: free_addr(),
            zone: ZONES[index % 3],
            settings: self.dir.join(format!("agent-{index}.yaml")),
            child: None,
            life: None,
        };
        let seeds: Vec<_> = self
            .entries
            .iter()
            .take(3)
            .map(|entry| format!("\"{}\"", entry.links))
            .collect();
        let settings = format!(
            "name: side-{index}\ndata_center: {}\nannouncements_address: {}\nupstream_address: {}\nstore_address: {}\nentries: [{}]\ngrace_period_s: 6\nresubmit_after_ms: 1300\nmax_lease_ms: 1000\nmemory_mb: 128\nfile_descriptors: 4096\ninterference: learn\n",
            agent.zone,
            agent.announcements,
            agent.app,
            self.store_addr,
            seeds.join(",")
        );
        fs::write(&agent.settings, settings).expect("the settings are written");
        self.agents.push(agent);
    }

    fn spawn(&self, program: &str, settings: &Path) -> Child {
        let log = settings.with_extension("log");
        let log = File::options().create(true).append(true).open(log);
        let log = log.expect("the log is opened");
        let errors = log.try_clone().expect("the log is opened");
        let child = Command::new(self.bin.join(program))
            .arg("--leased")
            .arg("--settings")
            .arg(settings)
            .env_clear()
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .expect("the program starts");
        PROCESSES.lock().unwrap().push(child.id());
        child
    }

    pub fn start_entry(&mut self, index: usize) {
        let child = self.spawn("hemlockhook-entry", &self.entries[index].settings);
        self.entries[index].child = Some(child);
        self.trace.note(format!("entry {index} is started"));
    }

    pub fn start_agent(&mut self, index: usize) {
        let child = self.spawn("hemlockhook-agent", &self.agents[index].settings);
        self.agents[index].child = Some(child);
        self.trace.note(format!("agent {index} is started"));
    }

    pub fn start_worker(&mut self, index: usize, profile: Profile) {
        let agent = &mut self.agents[index];
        let life = Life::start(profile, agent.app, agent.announcements, self.trace.clone());
        agent.life = Some(life.expect("the worker starts"));
    }

    pub fn kill_entry(&mut self, index: usize) {
        if let Some(mut child) = self.entries[index].child.take() {
            end(&mut child);
            self.trace.note(format!("entry {index} is killed"));
        }
    }

    pub fn kill_agent(&mut self, index: usize) {
        if let Some(mut child) = self.agents[index].child.take() {
            end(&mut child);
            self.trace.note(format!("agent {index} is killed"));
        }
    }

    /// Waits until all entries are ready, and a second more for all links.
    pub fn wait_ready(&self) -> bool {
        let deadline = Instant::now() + Duration::from_secs(15);
        let is_ready = |entry: &Entry| {
            let timeout = Duration::from_millis(500);
            let answer = http::call(entry.ready, "GET", "/hemlockhook/ready", &[], b"", timeout);
            answer.is_some_and(|answer| answer.status == 200)
        };
        while !self.entries.iter().all(is_ready) {
            if Instant::now() > deadline {
                return false;
            }
            thread::sleep(Duration::from_millis(100));
        }
        thread::sleep(Duration::from_millis(2500));
        true
    }

    /// Submits a job at an entry.
    pub fn submit(&self, entry: usize, job: &Job) -> std::io::Result<Call> {
        self.trace.note(format!(
            "client POST {} to entry {entry}, waits {} ms",
            job.id, job.deadline_ms
        ));
        submit_to(self.entries[entry].callers, job)
    }

    /// Cancels a job at an entry.
    pub fn cancel(&self, entry: usize, id: &str) -> Option<Response> {
        self.trace
            .note(format!("client DELETE {id} to entry {entry}"));
        let target = format!("{PREFIX}{id}");
        let headers = [("Host", HOST)];
        let timeout = Duration::from_secs(4);
        let answer = http::call(
            self.entries[entry].callers,
            "DELETE",
            &target,
            &headers,
            b"",
            timeout,
        );
        self.note_answer(&format!("DELETE {id}"), &answer);
        answer
    }

    pub fn note_answer(&self, what: &str, answer: &Option<Response>) {
        note_answer(&self.trace, what, answer);
    }
}

pub fn note_answer(trace: &Trace, what: &str, answer: &Option<Response>) {
    match answer {
        Some(answer) => {
            let body = String::from_utf8_lossy(&answer.body);
            trace.note(format!("answer to {what}: {} {body}", answer.status));
        }
        None => trace.note(format!("no answer to {what}")),
    }
}

/// A job that a client submits.
#[derive(Clone)]
pub struct Job {
    pub id: String,
    pub count: u32,
    pub cpu: u32,
    pub run_ms: u32,
    pub requirement: Option<&'static str>,
    pub deadline_ms: u32,
    /// Steps of the job; each comes after the one before.
    pub steps: u32,
}

impl Job {
    pub fn body(&self) -> String {
        let requirement = self.requirement.map_or(String::new(), |label| {
            format!(",\"requirements\":\"{label}\"")
        });
        let step = |number: u32| {
            let after = match number {
                0 => String::new(),
                _ => format!(",\"after\":[{}]", number - 1),
            };
            format!(
                "{{\"count\":{},\"cpu\":{},\"taskMemoryMb\":16,\"estimatedMs\":{}{requirement}{after}}}",
                self.count, self.cpu, self.run_ms
            )
        };
        let steps: Vec<_> = (0..self.steps).map(step).collect();
        let (run_ms, steps) = (self.run_ms, steps.join(","));
        format!("{{\"spec\":\"ms={run_ms} \",\"bestEffort\":true,\"steps\":[{steps}]}}")
    }
}

pub fn submit_to(addr: SocketAddr, job: &Job) -> std::io::Result<Call> {
    let deadline = job.deadline_ms.to_string();
    let headers = [
        ("Host", HOST),
        ("Hemlockhook-Deadline-Milliseconds", deadline.as_str()),
    ];
    let target = format!("{PREFIX}{}", job.id);
    Call::send(addr, "POST", &target, &headers, job.body().as_bytes())
}

fn end(child: &mut Child) {
    let _ = child.kill();
    let _ = child.wait();
    PROCESSES.lock().unwrap().retain(|&id| id != child.id());
}

impl Drop for Rig {
    fn drop(&mut self) {
        for index in 0..self.entries.len() {
            self.kill_entry(index);
        }
        for index in 0..self.agents.len() {
            self.kill_agent(index);
            self.agents[index].life = None;
        }
    }
}
