//! Stand-in for the platform's workers' service.
//!
//! It knows the workers of the upstream stand-ins in its process, and acts on the tasks that run
//! there. Paths are those of `hemlockhook_ports::HttpWorkers`; `GET /faults` and `PUT /faults`
//! show and set the faults.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use async_channel::Receiver;
use async_io::Timer;
use async_net::TcpListener;
use bytes::Bytes;
use futures_lite::FutureExt;
use garde::Validate;
use hemlockhook_ports::wire::{Acquire, LeaseGranted, TaskName, Throttle};
use hemlockhook_ports::{LeaseId, TaskUsage, Usage};
use hemlockhook_runtime::executor::Executor;
use hemlockhook_runtime::http::{ServerLimits, read_body, try_serve};
use hemlockhook_types::Clock;
use http::{Method, Request, StatusCode};
use hyper::body::Incoming;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::faults::{self, Outage};
use crate::leases::Leases;
use crate::reply::{Closed, Reply, json, text};
use crate::running::{Command, RunningTasks};
use crate::samples::Samples;

/// Time between samples of the usage, and between searches for lapsed leases.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(100);

/// Settings of the workers' stand-in.
#[derive(Clone, Debug, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct WorkerSettings {
    /// Where it listens.
    #[garde(skip)]
    pub address: SocketAddr,
    /// Age of the usage that it reports, in milliseconds.
    #[serde(default = "default_usage_lag_ms")]
    #[garde(range(max = 600_000))]
    pub usage_lag_ms: u64,
    /// Time for which a checkpointed task halts, in milliseconds.
    #[serde(default = "default_checkpoint_ms")]
    #[garde(range(max = 600_000))]
    pub checkpoint_ms: u64,
    /// Faults from the start on.
    #[serde(default)]
    #[garde(dive)]
    pub faults: WorkerFaults,
}

impl WorkerSettings {
    /// Returns the settings with every default.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            usage_lag_ms: default_usage_lag_ms(),
            checkpoint_ms: default_checkpoint_ms(),
            faults: WorkerFaults::default(),
        }
    }
}

fn default_usage_lag_ms() -> u64 {
    2000
}

fn default_checkpoint_ms() -> u64 {
    1000
}

/// How the workers' stand-in fails.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields, default)]
pub struct WorkerFaults {
    /// Whether it is down, and how that looks.
    #[garde(skip)]
    pub outage: Outage,
    /// Time added to every answer, in milliseconds; the request has taken effect before it.
    #[garde(range(max = 600_000))]
    pub extra_latency_ms: u64,
    /// Share of requests that take effect and whose answer is lost, from 0 to 1.
    #[garde(range(min = 0.0, max = 1.0))]
    pub lose_replies: f64,
}

/// Stand-in for the platform's workers' service. Clones share its state and its faults.
#[derive(Clone)]
pub struct WorkerStandin {
    cfg: Arc<WorkerSettings>,
    clock: Arc<dyn Clock>,
    /// Tables of the tasks on each worker.
    tables: Arc<HashMap<String, Vec<RunningTasks>>>,
    state: Arc<Mutex<State>>,
}

struct State {
    faults: WorkerFaults,
    leases: Leases,
    samples: Samples,
}

impl WorkerStandin {
    /// Creates a service for workers, each named with a table of the tasks that run on it. A
    /// worker may be named several times.
    pub fn new(
        cfg: WorkerSettings,
        clock: Arc<dyn Clock>,
        workers: impl IntoIterator<Item = (String, RunningTasks)>,
    ) -> Self {
        let mut tables: HashMap<String, Vec<RunningTasks>> = HashMap::new();
        for (worker, table) in workers {
            tables.entry(worker).or_default().push(table);
        }
        let state = State {
            faults: cfg.faults,
            leases: Leases::default(),
            samples: Samples::new(Duration::from_millis(cfg.usage_lag_ms)),
        };
        Self {
            cfg: Arc::new(cfg),
            clock,
            tables: Arc::new(tables),
            state: Arc::new(Mutex::new(state)),
        }
    }

    /// Returns the faults in force.
    pub fn faults(&self) -> WorkerFaults {
        self.lock().faults
    }

    /// Sets the faults. A request that hangs goes on hanging.
    pub fn set_faults(&self, faults: WorkerFaults) {
        self.lock().faults = faults;
    }

    /// Serves the workers until `stop` is closed.
    pub async fn serve(self, ex: Arc<Executor>, listener: TcpListener, stop: Receiver<()>) {
        let limits = ServerLimits {
            header_timeout: Duration::from_secs(3600),
            ..ServerLimits::default()
        };
        let standin = self.clone();
        let handler = move |req| {
            let standin = standin.clone();
            async move { standin.handle(req, limits).await }
        };
        let serve = try_serve(ex, listener, limits, stop, handler);
        serve.or(self.watch()).await;
    }

    /// Samples the usage, and stops tasks whose leases lapse.
    async fn watch(&self) {
        loop {
            let now = self.clock.now();
            let usage = self.tables.iter().map(|(worker, tables)| {
                let tasks = tables.iter().flat_map(RunningTasks::usage).collect();
                (worker.clone(), tasks)
            });
            let usage: HashMap<String, Vec<TaskUsage>> = usage.collect();
            let lapsed = {
                let mut state = self.lock();
                state.samples.add(now, usage);
                state.leases.lapse(now)
            };
            for (worker, task) in lapsed {
                self.command(&worker, &task, Command::Stop);
            }
            Timer::after(SAMPLE_INTERVAL).await;
        }
    }

    async fn handle(&self, req: Request<Incoming>, limits: ServerLimits) -> Reply {
        let (head, body) = req.into_parts();
        let body = match read_body(body, limits.max_body, limits.body_timeout).await {
            Ok(body) => body,
            Err(err) => return text(err.status(), err.to_string()),
        };
        let faults = self.faults();
        if head.uri.path() == "/faults" {
            let set = |faults| self.set_faults(faults);
            return faults::handle(&head.method, &body, faults, set);
        }
        if let Some(reply) = faults::reply_of(faults.outage).await {
            return reply;
        }

        let reply = self.route(&head.method, head.uri.path(), &body);
        faults::sleep_ms(faults.extra_latency_ms).await;
        if fastrand::f64() < faults.lose_replies {
            return Err(Closed);
        }
        reply
    }

    fn route(&self, method: &Method, path: &str, body: &Bytes) -> Reply {
        let parts: Vec<&str> = path.trim_start_matches('/').split('/').collect();
        match (method, parts.as_slice()) {
            (&Method::POST, ["v1", "workers", worker, "leases"]) => self.acquire(worker, body),
            (&Method::POST, ["v1", "leases", lease, "renew"]) => self.renew(lease),
            (&Method::DELETE, ["v1", "leases", lease]) => self.release(lease),
            (&Method::GET, ["v1", "workers", worker, "usage"]) => self.usage(worker),
            (&Method::POST, ["v1", "workers", worker, "checkpoint"]) => {
                let pause = Duration::from_millis(self.cfg.checkpoint_ms);
                self.control(worker, body, |name: TaskName| {
                    (name.task, Command::Checkpoint(pause))
                })
            }
            (&Method::POST, ["v1", "workers", worker, "throttle"]) => {
                self.control(worker, body, |throttle: Throttle| {
                    (throttle.task, Command::Throttle(throttle.percent))
                })
            }
            (&Method::POST, ["v1", "workers", worker, "stop"]) => {
                self.control(worker, body, |name: TaskName| (name.task, Command::Stop))
            }
            _ => text(StatusCode::NOT_FOUND, "no such path"),
        }
    }

    fn acquire(&self, worker: &str, body: &Bytes) -> Reply {
        if !self.tables.contains_key(worker) {
            return text(StatusCode::NOT_FOUND, "no such worker");
        }
        match serde_json::from_slice::<Acquire>(body) {
            Ok(acquire) => {
                let ttl = Duration::from_millis(acquire.ttl_ms);
                let now = self.clock.now();
                let lease = self.lock().leases.acquire(now, worker, acquire.task, ttl);
                json(StatusCode::OK, &LeaseGranted { lease })
            }
            Err(err) => text(StatusCode::BAD_REQUEST, err.to_string()),
        }
    }

    fn renew(&self, lease: &str) -> Reply {
        let now = self.clock.now();
        with_lease(lease, |lease| self.lock().leases.renew(now, lease))
    }

    fn release(&self, lease: &str) -> Reply {
        let now = self.clock.now();
        with_lease(lease, |lease| self.lock().leases.release(now, lease))
    }

    fn usage(&self, worker: &str) -> Reply {
        if !self.tables.contains_key(worker) {
            return text(StatusCode::NOT_FOUND, "no such worker");
        }
        let usage: Usage = self.lock().samples.usage(self.clock.now(), worker);
        json(StatusCode::OK, &usage)
    }

    /// Passes a command from a request's body to a task.
    fn control<T, F>(&self, worker: &str, body: &Bytes, command: F) -> Reply
    where
        T: DeserializeOwned,
        F: FnOnce(T) -> (String, Command),
    {
        let (task, command) = match serde_json::from_slice(body) {
            Ok(message) => command(message),
            Err(err) => return text(StatusCode::BAD_REQUEST, err.to_string()),
        };
        match command {
            Command::Throttle(percent) if !(1..=100).contains(&percent) => {
                text(StatusCode::BAD_REQUEST, "percent is from 1 to 100")
            }
            command if self.command(worker, &task, command) => json(StatusCode::OK, &()),
            _ => text(StatusCode::NOT_FOUND, "no such task runs on that worker"),
        }
    }

    fn command(&self, worker: &str, task: &str, command: Command) -> bool {
        let tables = self.tables.get(worker).map_or(&[][..], Vec::as_slice);
        tables.iter().any(|table| table.command(task, command))
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Does something to the lease that a path names.
fn with_lease<F>(lease: &str, act: F) -> Reply
where
    F: FnOnce(LeaseId) -> bool,
{
    match lease.parse() {
        Ok(lease) if act(lease) => json(StatusCode::OK, &()),
        Ok(_) => text(StatusCode::NOT_FOUND, "no such lease, or it has lapsed"),
        Err(_) => text(StatusCode::BAD_REQUEST, "a lease is a whole number"),
    }
}
