//! Stand-ins for the platform's store and workers, by PROTOCOL.md.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::deployment::Record;
use crate::http::{self, Request, Response};
use crate::json::Json;

/// Time of an append to the store.
const APPEND_TIME: Duration = Duration::from_millis(3);

/// Longest lease that a worker grants, in milliseconds (`maximumHoldMs`).
const MAX_LEASE_MS: u64 = 1000;

/// Time that a stop takes at most (`stopMs`).
const STOP_TIME: Duration = Duration::from_millis(20);

/// Interval of a worker's heartbeats (`heartbeatMs`).
const HEARTBEAT: Duration = Duration::from_millis(1500);

/// The platform's store: keyed topics with one partition.
#[derive(Clone, Default)]
pub struct Store {
    topics: Arc<(Mutex<BTreeMap<String, Vec<Vec<u8>>>>, Condvar)>,
    is_down: Arc<AtomicBool>,
}

impl Store {
    pub fn start(listener: TcpListener) -> Self {
        let store = Self::default();
        let handler = store.clone();
        http::serve(listener, move |req| {
            let response = handler.answer(&req);
            while handler.is_down.load(Ordering::Relaxed) {
                thread::sleep(Duration::from_millis(20));
                // A response that was due during the outage is lost.
                if !handler.is_down.load(Ordering::Relaxed) {
                    return None;
                }
            }
            Some(response)
        });
        store
    }

    /// Leaves all calls unanswered from now on, or answers them again.
    pub fn set_down(&self, is_down: bool) {
        self.is_down.store(is_down, Ordering::Relaxed);
    }

    /// Forgets all records.
    pub fn clear(&self) {
        self.topics.0.lock().unwrap().clear();
    }

    /// Writes a record as the operator does.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let mut record = vec![key.len() as u8];
        record.extend(key.as_bytes());
        record.extend(value.as_bytes());
        self.append(topic, vec![record]);
    }

    fn append(&self, topic: &str, records: Vec<Vec<u8>>) -> (usize, usize) {
        let mut topics = self.topics.0.lock().unwrap();
        let log = topics.entry(topic.to_owned()).or_default();
        let offset = log.len();
        log.extend(records);
        let end = log.len();
        self.topics.1.notify_all();
        (offset, end)
    }

    fn answer(&self, req: &Request) -> Response {
        if self.is_down.load(Ordering::Relaxed) {
            return Response::json(503, "{}".to_owned());
        }
        let topic = req.query("topic").unwrap_or_default().to_owned();
        let (path, _) = req.path.split_once('?').unwrap_or((&req.path, ""));
        match path {
            "/hemlockhook/log-append" => {
                if topic == "keyed.op" || topic == "keyed.servers" {
                    return Response::json(403, "{}".to_owned());
                }
                thread::sleep(APPEND_TIME);
                let (offset, end) = self.append(&topic, split_records(&req.body));
                Response::json(200, format!("{{\"offset\":{offset},\"end\":{end}}}"))
            }
            "/hemlockhook/log-newest" => self.newest(&topic),
            "/hemlockhook/log-read" => self.read(&topic, req),
            _ => Response::json(404, "{}".to_owned()),
        }
    }

    fn newest(&self, topic: &str) -> Response {
        let topics = self.topics.0.lock().unwrap();
        let log = topics.get(topic).map_or(&[][..], Vec::as_slice);
        let mut items: BTreeMap<Vec<u8>, (usize, &[u8])> = BTreeMap::new();
        for (offset, record) in log.iter().enumerate() {
            let (key, value) = record[1..].split_at(record[0] as usize);
            items.insert(key.to_vec(), (offset, value));
        }
        let rows = items.iter().map(|(key, (offset, value))| {
            let key = String::from_utf8_lossy(key);
            format!("{{\"key\":\"{key}\",\"value\":\"{}\",\"offset\":{offset}}}", base64(value))
        });
        let rows = rows.collect::<Vec<_>>().join(",");
        Response::json(200, format!("{{\"items\":[{rows}],\"hasMore\":false,\"end\":{}}}", log.len()))
    }

    fn read(&self, topic: &str, req: &Request) -> Response {
        let number = |name| req.query(name).and_then(|text| text.parse::<u64>().ok());
        let from = number("from").unwrap_or(0) as usize;
        let until = Instant::now() + Duration::from_millis(number("waitMs").unwrap_or(0));
        let mut topics = self.topics.0.lock().unwrap();
        loop {
            let log = topics.get(topic).map_or(&[][..], Vec::as_slice);
            let left = until.saturating_duration_since(Instant::now());
            if log.len() > from || left.is_zero() {
                let mut body = (log.len() as u64).to_be_bytes().to_vec();
                body.extend(0_u64.to_be_bytes());
                for record in log.iter().skip(from) {
                    body.extend((record.len() as u32).to_be_bytes());
                    body.extend(record);
                }
                return Response { status: 200, body };
            }
            topics = self.topics.1.wait_timeout(topics, left).unwrap().0;
        }
    }
}

fn split_records(mut body: &[u8]) -> Vec<Vec<u8>> {
    let mut records = Vec::new();
    while body.len() >= 4 {
        let len = u32::from_be_bytes(body[..4].try_into().unwrap()) as usize;
        records.push(body[4..4 + len].to_vec());
        body = &body[4 + len..];
    }
    records
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut group = [0; 3];
        group[..chunk.len()].copy_from_slice(chunk);
        let bits = u32::from_be_bytes([0, group[0], group[1], group[2]]);
        for index in 0..4 {
            match index <= chunk.len() {
                true => text.push(DIGITS[(bits >> (18 - 6 * index) & 63) as usize] as char),
                false => text.push('='),
            }
        }
    }
    text
}

/// A run of a task, as the worker has seen it.
#[derive(Clone, Debug)]
pub struct Run {
    pub worker: String,
    pub task: String,
    pub began: Instant,
    pub ended: Option<(Instant, &'static str)>,
}

/// All runs at all workers.
pub type Runs = Arc<Mutex<Vec<Run>>>;

/// A worker, which runs a task for the time in its `spec` (`work_ms=N`). It starts whatever it is told to
/// start.
#[derive(Clone)]
pub struct Worker {
    name: String,
    cpu: u64,
    state: Arc<Mutex<Life>>,
    runs: Runs,
    record: Record,
}

struct Life {
    id: String,
    born_ms: u64,
    started: Instant,
    sequence: u64,
    is_draining: bool,
    fence: u64,
    /// End of the lease by the worker's clock.
    leased_until: u64,
    running: BTreeMap<String, Active>,
    /// Highest run of each task that was stopped or has ended.
    closed: BTreeMap<String, u64>,
    ended: Vec<(u64, String, u64, &'static str)>,
    last_end: u64,
}

struct Active {
    run: u64,
    began: Instant,
    work: Duration,
    /// When a stop takes effect.
    stops_at: Option<Instant>,
    row: usize,
}

impl Life {
    fn clock_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }
}

impl Worker {
    pub fn start(
        name: &str,
        cpu: u64,
        listener: TcpListener,
        control: SocketAddr,
        runs: Runs,
        record: Record,
    ) -> Self {
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
        let life = Life {
            id: format!("i-{name}"),
            born_ms: born.as_millis() as u64,
            started: Instant::now(),
            sequence: 0,
            is_draining: false,
            fence: 0,
            leased_until: 0,
            running: BTreeMap::new(),
            closed: BTreeMap::new(),
            ended: Vec::new(),
            last_end: 0,
        };
        let state = Arc::new(Mutex::new(life));
        let worker = Self { name: name.to_owned(), cpu, state, runs, record };
        let handler = worker.clone();
        http::serve(listener, move |req| Some(handler.answer(&req)));
        let beating = worker.clone();
        thread::spawn(move || beating.send_heartbeats(control));
        let ticking = worker.clone();
        thread::spawn(move || loop {
            thread::sleep(Duration::from_millis(2));
            ticking.update(&mut ticking.state.lock().unwrap());
        });
        worker
    }

    fn send_heartbeats(&self, control: SocketAddr) {
        loop {
            let (path, body) = {
                let mut life = self.state.lock().unwrap();
                life.sequence += 1;
                let state = if life.is_draining { "draining" } else { "ready" };
                let body = format!(
                    "{{\"service\":\"order-desk\",\"address\":\"127.0.0.1:1\",\"zone\":\"osijek\",\"version\":\"v1\",\
                     \"slots\":8,\"state\":\"{state}\",\"coldMs\":0,\"freeCapacity\":{{\"cpu\":{},\
                     \"taskMemoryMb\":131072}},\"labels\":[\"a\",\"r1-1\"],\"clockMs\":{},\"sequence\":{},\"born\":{}}}",
                    self.cpu,
                    life.clock_ms(),
                    life.sequence,
                    life.born_ms
                );
                (format!("POST /hemlockhook/Instances.Heartbeat/{}", life.id), body)
            };
            let headers = [("host", control.to_string())];
            // One without an acknowledgement is not repeated: the agent is the only process that is called.
            let _ = http::send(control, &path, &headers, &body, Duration::from_secs(1));
            thread::sleep(HEARTBEAT);
        }
    }

    fn answer(&self, req: &Request) -> Response {
        let mut life = self.state.lock().unwrap();
        self.update(&mut life);
        if req.header("hemlockhook-expected-instance").is_some_and(|id| id != life.id) {
            return Response::json(421, "{}".to_owned());
        }
        let clock = life.clock_ms();
        let conflict =
            |reason: &str| Response::json(409, format!("{{\"clockMs\":{clock},\"reason\":\"{reason}\"}}"));
        let Some(call) = Json::read(&req.text()) else {
            return Response::json(400, "{}".to_owned());
        };
        if call.number("fence").unwrap_or(0) < life.fence {
            return conflict("fence");
        }
        life.fence = call.number("fence").unwrap_or(0);
        match req.path.as_str() {
            "/hemlockhook/run-start" => {
                let until = call.number("untilMs").unwrap_or(0).min(clock + MAX_LEASE_MS);
                let task = call.text("task").unwrap_or_default().to_owned();
                let run = call.number("run").unwrap_or(0);
                let spec = call.text("spec").unwrap_or_default().to_owned();
                if life.closed.get(&task).is_some_and(|&closed| run <= closed) {
                    life.leased_until = life.leased_until.max(until);
                    return conflict("old");
                }
                if until <= clock {
                    return conflict("late");
                }
                life.leased_until = life.leased_until.max(until);
                if life.running.get(&task).is_none_or(|active| active.run != run) {
                    self.begin(&mut life, task, run, &spec);
                }
                Response::json(200, format!("{{\"clockMs\":{clock}}}"))
            }
            "/hemlockhook/run-stop" => {
                let task = call.text("task").unwrap_or_default().to_owned();
                let run = call.number("run").unwrap_or(0);
                let closed = life.closed.entry(task.clone()).or_default();
                *closed = run.max(*closed);
                if let Some(active) = life.running.get_mut(&task).filter(|active| active.run <= run) {
                    active.stops_at.get_or_insert(Instant::now() + STOP_TIME);
                }
                Response::json(200, format!("{{\"clockMs\":{clock}}}"))
            }
            "/hemlockhook/hold" => {
                if let Some(until) = call.number("untilMs") {
                    life.leased_until = life.leased_until.max(until.min(clock + MAX_LEASE_MS));
                }
                let last_seen = call.number("lastSeen").unwrap_or(0);
                life.ended.retain(|end| end.0 > last_seen);
                let wait = call.number("waitMs").unwrap_or(0).min(2000);
                let until = Instant::now() + Duration::from_millis(wait);
                while life.ended.is_empty() && Instant::now() < until {
                    drop(life);
                    thread::sleep(Duration::from_millis(2));
                    life = self.state.lock().unwrap();
                    self.update(&mut life);
                }
                self.lists(&life)
            }
            _ => Response::json(404, "{}".to_owned()),
        }
    }

    fn lists(&self, life: &Life) -> Response {
        let running = life.running.iter().map(|(task, active)| {
            let percent = active.began.elapsed().as_millis() * 100 / active.work.as_millis().max(1);
            format!("[\"{task}\",{},\"\",{},6000]", active.run, percent.min(99))
        });
        let ended = life.ended.iter().take(500);
        let ended = ended.map(|(number, task, run, how)| format!("[{number},\"{task}\",{run},\"{how}\",\"\"]"));
        let running = running.collect::<Vec<_>>().join(",");
        let ended = ended.collect::<Vec<_>>().join(",");
        Response::json(
            200,
            format!(
                "{{\"clockMs\":{},\"born\":{},\"running\":[{running}],\"ended\":[{ended}]}}",
                life.clock_ms(),
                life.born_ms
            ),
        )
    }

    fn begin(&self, life: &mut Life, task: String, run: u64, spec: &str) {
        let work = spec.split("work_ms=").nth(1).and_then(|text| text.parse().ok()).unwrap_or(50);
        self.record.line(&format!("{}: run {run} of {task} begins", self.name));
        let mut runs = self.runs.lock().unwrap();
        let began = Instant::now();
        runs.push(Run { worker: self.name.clone(), task: task.clone(), began, ended: None });
        let row = runs.len() - 1;
        let work = Duration::from_millis(work);
        life.running.insert(task, Active { run, began, work, stops_at: None, row });
    }

    /// Ends the runs that are done, stopped or without a lease.
    fn update(&self, life: &mut Life) {
        let is_lapsed = life.clock_ms() >= life.leased_until;
        let how = |active: &Active| match active.stops_at {
            _ if is_lapsed => Some("lapsed"),
            Some(at) if at <= Instant::now() => Some("stopped"),
            None if active.began.elapsed() >= active.work => Some("done"),
            _ => None,
        };
        let over: Vec<_> = life
            .running
            .iter()
            .filter_map(|(task, active)| Some((task.clone(), how(active)?)))
            .collect();
        for (task, how) in over {
            let active = life.running.remove(&task).unwrap();
            life.last_end += 1;
            let closed = life.closed.entry(task.clone()).or_default();
            *closed = active.run.max(*closed);
            self.record.line(&format!("{}: run {} of {task} has ended {how}", self.name, active.run));
            life.ended.push((life.last_end, task, active.run, how));
            self.runs.lock().unwrap()[active.row].ended = Some((Instant::now(), how));
        }
    }
}
