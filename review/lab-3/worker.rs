//! A stand-in for a worker. A life of a worker has an id and labels of its own, runs what its agent
//! orders, and ends what holds no lease. A spec `ms=N` says how long the tasks of a job take.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{self, Request, Response, Server};
use crate::json::Json;
use crate::trace::{Run, Trace};

/// `maximumHoldMs` of the pages.
const MAX_LEASE_MS: u64 = 1000;

/// `heartbeatMs` of the pages.
const HEARTBEAT: Duration = Duration::from_millis(1500);

/// What a life of a worker is like.
#[derive(Clone)]
pub struct Profile {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub labels: Vec<String>,
    pub cpu: u64,
    /// Time from its start to its first heartbeat.
    pub first_heartbeat: Duration,
    /// Time that a stop takes; at most `stopMs`, 50 ms. It is answered when it is done.
    pub stop_time: Duration,
}

/// A life of a worker. Dropping it is a crash.
pub struct Life {
    shared: Arc<Shared>,
    server: Option<Server>,
}

struct Shared {
    profile: Profile,
    addr: SocketAddr,
    agent: SocketAddr,
    born: Instant,
    born_ms: u64,
    trace: Arc<Trace>,
    state: Mutex<State>,
    changed: Condvar,
    has_crashed: AtomicBool,
}

#[derive(Default)]
struct State {
    fence: u64,
    lease_until_ms: u64,
    running: Vec<Running>,
    /// Highest run of each task that was stopped or has ended here.
    over: HashMap<String, u64>,
    ended: Vec<(u64, String, u64, &'static str)>,
    ends: u64,
}

struct Running {
    task: String,
    run: u64,
    began: Instant,
    length: Duration,
    stops_at: Option<Instant>,
    record: usize,
}

impl Life {
    pub fn start(
        profile: Profile,
        addr: SocketAddr,
        agent: SocketAddr,
        trace: Arc<Trace>,
    ) -> std::io::Result<Self> {
        let born_ms = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let shared = Arc::new(Shared {
            profile,
            addr,
            agent,
            born: Instant::now(),
            born_ms: born_ms.as_millis() as u64,
            trace,
            state: Mutex::default(),
            changed: Condvar::new(),
            has_crashed: AtomicBool::new(false),
        });
        let served = shared.clone();
        let server = Server::start(addr, move |request| served.answer(&request))?;
        let Profile { id, labels, .. } = &shared.profile;
        shared
            .trace
            .note(format!("worker {id} {labels:?} starts at {addr}"));
        let watched = shared.clone();
        thread::spawn(move || watched.watch());
        let announced = shared.clone();
        thread::spawn(move || announced.announce());
        Ok(Self {
            shared,
            server: Some(server),
        })
    }

    /// Number of runs now.
    pub fn running(&self) -> usize {
        self.shared.state.lock().unwrap().running.len()
    }
}

impl Drop for Life {
    fn drop(&mut self) {
        let shared = &self.shared;
        shared.has_crashed.store(true, Ordering::SeqCst);
        let mut state = shared.state.lock().unwrap();
        for running in state.running.drain(..) {
            shared.trace.ended(running.record, "crashed");
        }
        drop(state);
        shared.changed.notify_all();
        drop(self.server.take());
        let id = &shared.profile.id;
        shared.trace.note(format!("worker {id} has crashed"));
    }
}

impl Shared {
    fn clock_ms(&self) -> u64 {
        self.born.elapsed().as_millis() as u64 + 1000
    }

    fn is_over(&self) -> bool {
        self.has_crashed.load(Ordering::SeqCst)
    }

    /// Ends runs that are done, stopped or without a lease.
    fn watch(&self) {
        while !self.is_over() {
            let mut state = self.state.lock().unwrap();
            let now = Instant::now();
            let has_lapsed = self.clock_ms() >= state.lease_until_ms;
            let mut ends = Vec::new();
            state.running.retain(|running| {
                let how = match running.stops_at {
                    _ if has_lapsed => "lapsed",
                    Some(at) if at <= now => "stopped",
                    None if running.began + running.length <= now => "done",
                    _ => return true,
                };
                ends.push((running.task.clone(), running.run, how, running.record));
                false
            });
            let has_ends = !ends.is_empty();
            for (task, run, how, record) in ends {
                state.ends += 1;
                let number = state.ends;
                let over = state.over.entry(task.clone()).or_default();
                *over = run.max(*over);
                state.ended.push((number, task, run, how));
                self.trace.ended(record, how);
            }
            drop(state);
            if has_ends {
                self.changed.notify_all();
            }
            thread::sleep(Duration::from_millis(2));
        }
    }

    fn announce(&self) {
        thread::sleep(self.profile.first_heartbeat);
        let mut sequence = 0;
        while !self.is_over() {
            sequence += 1;
            let Profile {
                id,
                service,
                zone,
                labels,
                cpu,
                ..
            } = &self.profile;
            let body = format!(
                "{{\"service\":\"{service}\",\"address\":\"{}\",\"zone\":\"{zone}\",\"version\":\"v1\",\"slots\":8,\"state\":\"ready\",\"coldMs\":0,\"freeCapacity\":{{\"cpu\":{cpu},\"taskMemoryMb\":131072,\"gpu\":0}},\"labels\":{labels:?},\"clockMs\":{},\"born\":{},\"sequence\":{sequence}}}",
                self.addr,
                self.clock_ms(),
                self.born_ms,
            );
            let target = format!("/hemlockhook/Instances.Heartbeat/{id}");
            let timeout = Duration::from_secs(1);
            let answer = http::call(self.agent, "POST", &target, &[], body.as_bytes(), timeout);
            let is_taken = answer.is_some_and(|answer| answer.status / 100 == 2);
            if sequence == 1 || !is_taken {
                self.trace
                    .note(format!("heartbeat {sequence} of {id}: taken {is_taken}"));
            }
            let pause = if is_taken {
                HEARTBEAT
            } else {
                Duration::from_millis(300)
            };
            let until = Instant::now() + pause;
            while Instant::now() < until && !self.is_over() {
                thread::sleep(Duration::from_millis(20));
            }
        }
    }

    fn answer(&self, request: &Request) -> Option<Response> {
        if self.is_over() {
            return None;
        }
        if request.path() == "/health" {
            return Some(Response::json(200, "{}".to_owned()));
        }
        let expected = request.header("hemlockhook-expected-instance");
        if expected.is_some_and(|expected| expected != self.profile.id) {
            return Some(Response::json(421, "{}".to_owned()));
        }
        let body = Json::read(&request.body)?;
        let fence = body.number("fence").unwrap_or(0);
        let mut state = self.state.lock().unwrap();
        if fence < state.fence {
            return Some(self.refusal("fence"));
        }
        state.fence = fence;
        let until_ms = body.number("untilMs");
        match request.path() {
            "/hemlockhook/run-start" => {
                let until_ms = until_ms?;
                let task = body.text("task")?.to_owned();
                let run = body.number("run")?;
                if until_ms <= self.clock_ms() {
                    return Some(self.refusal("late"));
                }
                self.extend(&mut state, until_ms);
                if state.over.get(&task).is_some_and(|&over| run <= over) {
                    return Some(self.refusal("old"));
                }
                let is_there = |known: &Running| known.task == task && known.run == run;
                if !state.running.iter().any(is_there) {
                    let spec = body.text("spec")?;
                    let length = spec.split("ms=").nth(1)?;
                    let length = length.split(' ').next()?.parse().ok()?;
                    let record = self.trace.began(Run {
                        task: task.clone(),
                        run,
                        worker: self.profile.id.clone(),
                        labels: self.profile.labels.clone(),
                        began: self.trace.seconds(),
                        ended: None,
                        how: "",
                    });
                    state.running.push(Running {
                        task,
                        run,
                        began: Instant::now(),
                        length: Duration::from_millis(length),
                        stops_at: None,
                        record,
                    });
                }
                Some(self.clock())
            }
            "/hemlockhook/run-stop" => {
                let task = body.text("task")?.to_owned();
                let run = body.number("run")?;
                let over = state.over.entry(task.clone()).or_default();
                *over = run.max(*over);
                let at = Instant::now() + self.profile.stop_time;
                let mut known = state.running.iter_mut();
                let known = known.find(|known| known.task == task && known.run == run);
                let is_there = known.is_some();
                if let Some(known) = known {
                    known.stops_at.get_or_insert(at);
                }
                drop(state);
                if is_there {
                    thread::sleep(self.profile.stop_time);
                }
                Some(self.clock())
            }
            "/hemlockhook/hold" => {
                if let Some(until_ms) = until_ms {
                    self.extend(&mut state, until_ms);
                }
                let seen = body.number("lastSeen").unwrap_or(0);
                state.ended.retain(|(number, ..)| *number > seen);
                let wait = Duration::from_millis(body.number("waitMs").unwrap_or(0).min(2000));
                let deadline = Instant::now() + wait;
                while state.ended.is_empty() && !self.is_over() {
                    let left = deadline.saturating_duration_since(Instant::now());
                    if left.is_zero() {
                        break;
                    }
                    state = self.changed.wait_timeout(state, left).unwrap().0;
                }
                let running = state.running.iter().map(|running| {
                    let passed = running.began.elapsed().as_secs_f64();
                    let percent = 100.0 * passed / running.length.as_secs_f64();
                    let percent = percent.min(99.0) as u64;
                    format!("[\"{}\",{},\"\",{percent},100]", running.task, running.run)
                });
                let running = running.collect::<Vec<_>>().join(",");
                let ended = state.ended.iter().take(500);
                let ended = ended.map(|(number, task, run, how)| {
                    format!("[{number},\"{task}\",{run},\"{how}\",\"\"]")
                });
                let ended = ended.collect::<Vec<_>>().join(",");
                let (clock_ms, born) = (self.clock_ms(), self.born_ms);
                Some(Response::json(
                    200,
                    format!(
                        "{{\"clockMs\":{clock_ms},\"born\":{born},\"running\":[{running}],\"ended\":[{ended}]}}"
                    ),
                ))
            }
            _ => Some(Response::json(404, "{}".to_owned())),
        }
    }

    fn extend(&self, state: &mut State, until_ms: u64) {
        let until_ms = until_ms.min(self.clock_ms() + MAX_LEASE_MS);
        state.lease_until_ms = state.lease_until_ms.max(until_ms);
    }

    fn clock(&self) -> Response {
        Response::json(200, format!("{{\"clockMs\":{}}}", self.clock_ms()))
    }

    fn refusal(&self, reason: &str) -> Response {
        let clock_ms = self.clock_ms();
        Response::json(
            409,
            format!("{{\"clockMs\":{clock_ms},\"reason\":\"{reason}\"}}"),
        )
    }
}
