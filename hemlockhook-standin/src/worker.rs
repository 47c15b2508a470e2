//! Stand-in for the platform's worker service.
//!
//! It controls the tasks that run at the upstream stand-ins in its process. It serves the paths
//! that `hemlockhook_ports::HttpWorkers` requests; `GET /faults` and `PUT /faults` show and set the
//! faults.

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
use crate::reply::{ConnectionClosed, Reply, json, text};
use crate::running::{Command, RunningTasks};
use crate::usage_history::UsageHistory;

/// Interval at which usage is sampled and leases are checked for expiry.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(100);

/// Settings of the worker stand-in.
#[derive(Clone, Debug, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct WorkerSettings {
    /// Address to listen on.
    #[garde(skip)]
    pub address: SocketAddr,
    /// Lag with which usage is reported, in milliseconds.
    #[serde(default = "default_usage_lag_ms")]
    #[garde(range(max = 600_000))]
    pub usage_lag_ms: u64,
    /// Time for which a checkpoint suspends a task, in milliseconds.
    #[serde(default = "default_checkpoint_ms")]
    #[garde(range(max = 600_000))]
    pub checkpoint_ms: u64,
    /// Faults in force at startup.
    #[serde(default)]
    #[garde(dive)]
    pub faults: WorkerFaults,
}

impl WorkerSettings {
    /// Creates settings with the default values.
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

/// Faults of the worker stand-in.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields, default)]
pub struct WorkerFaults {
    /// Outage of the service.
    #[garde(skip)]
    pub outage: Outage,
    /// Delay of every response, in milliseconds. Requests take effect before the delay.
    #[garde(range(max = 600_000))]
    pub extra_latency_ms: u64,
    /// Probability, from 0 to 1, that a request takes effect and its response is lost.
    #[garde(range(min = 0.0, max = 1.0))]
    pub lose_replies: f64,
}

/// Stand-in for the platform's worker service. Clones share its state and its faults.
#[derive(Clone)]
pub struct WorkerStandin {
    cfg: Arc<WorkerSettings>,
    clock: Arc<dyn Clock>,
    /// Tables of the tasks that run on each worker, by the worker's name.
    tables: Arc<HashMap<String, Vec<RunningTasks>>>,
    state: Arc<Mutex<State>>,
}

struct State {
    faults: WorkerFaults,
    leases: Leases,
    usage_history: UsageHistory,
}

impl WorkerStandin {
    /// Creates a service for these workers. Each item is the name of a worker and the table of an
    /// upstream's tasks on it; a worker that hosts several upstreams occurs several times.
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
            usage_history: UsageHistory::new(Duration::from_millis(cfg.usage_lag_ms)),
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

    /// Sets the faults. Requests that already hang are not released.
    pub fn set_faults(&self, faults: WorkerFaults) {
        self.lock().faults = faults;
    }

    /// Serves requests until `stop` is closed.
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
        serve.or(self.sample_and_expire()).await;
    }

    /// Periodically samples the usage and stops the tasks whose leases have expired.
    async fn sample_and_expire(&self) {
        loop {
            let now = self.clock.now();
            let usage = self.tables.iter().map(|(worker, tables)| {
                let tasks = tables.iter().flat_map(RunningTasks::usage).collect();
                (worker.clone(), tasks)
            });
            let usage: HashMap<String, Vec<TaskUsage>> = usage.collect();
            let expired = {
                let mut state = self.lock();
                state.usage_history.add(now, usage);
                state.leases.remove_expired(now)
            };
            for (worker, task) in expired {
                self.send_command(&worker, &task, Command::Stop);
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
            let apply = |faults| self.set_faults(faults);
            return faults::handle_request(&head.method, &body, faults, apply);
        }
        if let Some(reply) = faults::outage_reply(faults.outage).await {
            return reply;
        }

        let reply = self.route(&head.method, head.uri.path(), &body);
        faults::sleep_ms(faults.extra_latency_ms).await;
        if fastrand::f64() < faults.lose_replies {
            return Err(ConnectionClosed);
        }
        reply
    }

    fn route(&self, method: &Method, path: &str, body: &Bytes) -> Reply {
        let segments: Vec<&str> = path.trim_start_matches('/').split('/').collect();
        match (method, segments.as_slice()) {
            (&Method::POST, ["v1", "workers", worker, "leases"]) => self.acquire(worker, body),
            (&Method::POST, ["v1", "leases", lease, "renew"]) => self.renew(lease),
            (&Method::DELETE, ["v1", "leases", lease]) => self.release(lease),
            (&Method::GET, ["v1", "workers", worker, "usage"]) => self.usage(worker),
            (&Method::POST, ["v1", "workers", worker, "checkpoint"]) => {
                let pause = Duration::from_millis(self.cfg.checkpoint_ms);
                self.handle_command(worker, body, |name: TaskName| {
                    (name.task, Command::Checkpoint(pause))
                })
            }
            (&Method::POST, ["v1", "workers", worker, "throttle"]) => {
                self.handle_command(worker, body, |throttle: Throttle| {
                    (throttle.task, Command::Throttle(throttle.percent))
                })
            }
            (&Method::POST, ["v1", "workers", worker, "stop"]) => {
                self.handle_command(worker, body, |name: TaskName| (name.task, Command::Stop))
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
        update_lease(lease, |lease| self.lock().leases.renew(now, lease))
    }

    fn release(&self, lease: &str) -> Reply {
        let now = self.clock.now();
        update_lease(lease, |lease| self.lock().leases.release(now, lease))
    }

    fn usage(&self, worker: &str) -> Reply {
        if !self.tables.contains_key(worker) {
            return text(StatusCode::NOT_FOUND, "no such worker");
        }
        let usage: Usage = self.lock().usage_history.usage(self.clock.now(), worker);
        json(StatusCode::OK, &usage)
    }

    /// Handles a request that sends a command to a task.
    fn handle_command<T, F>(&self, worker: &str, body: &Bytes, to_command: F) -> Reply
    where
        T: DeserializeOwned,
        F: FnOnce(T) -> (String, Command),
    {
        let (task, command) = match serde_json::from_slice(body) {
            Ok(message) => to_command(message),
            Err(err) => return text(StatusCode::BAD_REQUEST, err.to_string()),
        };
        match command {
            Command::Throttle(percent) if !(1..=100).contains(&percent) => {
                text(StatusCode::BAD_REQUEST, "percent is from 1 to 100")
            }
            command if self.send_command(worker, &task, command) => json(StatusCode::OK, &()),
            _ => text(StatusCode::NOT_FOUND, "no such task runs on that worker"),
        }
    }

    fn send_command(&self, worker: &str, task: &str, command: Command) -> bool {
        let tables = self.tables.get(worker).map_or(&[][..], Vec::as_slice);
        tables.iter().any(|table| table.send(task, command))
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Applies an update to the lease named in a path, and returns 404 if it reports that there is no
/// such lease.
fn update_lease<F>(lease: &str, update: F) -> Reply
where
    F: FnOnce(LeaseId) -> bool,
{
    match lease.parse() {
        Ok(lease) if update(lease) => json(StatusCode::OK, &()),
        Ok(_) => text(StatusCode::NOT_FOUND, "no such lease, or it has lapsed"),
        Err(_) => text(StatusCode::BAD_REQUEST, "a lease is a whole number"),
    }
}
