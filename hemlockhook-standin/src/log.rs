//! Stand-in for the platform's log service.
//!
//! `POST /v1/streams/{stream}/records` appends the body as one record. `GET` on the same path reads
//! up to `max` records from offset `from` on. `GET /faults` and `PUT /faults` show and set the
//! faults.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use async_channel::Receiver;
use async_io::Timer;
use async_net::TcpListener;
use bytes::Bytes;
use garde::Validate;
use hemlockhook_ports::Offset;
use hemlockhook_ports::wire::{Appended, Truncated};
use hemlockhook_runtime::executor::Executor;
use hemlockhook_runtime::http::{ServerLimits, read_body, try_serve};
use hemlockhook_types::Clock;
use http::{Method, Request, StatusCode};
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};

use crate::faults::{self, Outage};
use crate::log_store::{LogStore, Retention};
use crate::reply::{ConnectionClosed, Reply, json, text};

/// Maximum time that an append waits for those before it. An append that would wait longer is
/// refused.
const MAX_APPEND_WAIT: Duration = Duration::from_secs(1);

/// Maximum number of records in one response.
const MAX_READ_RECORDS: usize = 10_000;

/// Settings of the log stand-in.
#[derive(Clone, Debug, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct LogSettings {
    /// Address to listen on.
    #[garde(skip)]
    pub address: SocketAddr,
    /// Duration of a synced write, in milliseconds.
    #[serde(default = "default_append_latency_ms")]
    #[garde(range(max = 60_000))]
    pub append_latency_ms: u64,
    /// Maximum number of appends per second.
    #[serde(default = "default_appends_per_second")]
    #[garde(range(min = 1, max = 1_000_000))]
    pub appends_per_second: u32,
    /// Maximum number of records retained in each stream.
    #[serde(default = "default_retain_records")]
    #[garde(range(min = 1))]
    pub retain_records: usize,
    /// Time for which a record is retained, in seconds.
    #[serde(default = "default_retain_s")]
    #[garde(range(min = 1))]
    pub retain_s: u64,
    /// Maximum size of a record, in bytes.
    #[serde(default = "default_max_record_bytes")]
    #[garde(range(min = 1, max = 67_108_864))]
    pub max_record_bytes: usize,
    /// Faults in force at startup.
    #[serde(default)]
    #[garde(dive)]
    pub faults: LogFaults,
}

impl LogSettings {
    /// Creates settings with the default values.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            append_latency_ms: default_append_latency_ms(),
            appends_per_second: default_appends_per_second(),
            retain_records: default_retain_records(),
            retain_s: default_retain_s(),
            max_record_bytes: default_max_record_bytes(),
            faults: LogFaults::default(),
        }
    }
}

fn default_append_latency_ms() -> u64 {
    4
}

fn default_appends_per_second() -> u32 {
    500
}

fn default_retain_records() -> usize {
    100_000
}

fn default_retain_s() -> u64 {
    7 * 24 * 3600
}

fn default_max_record_bytes() -> usize {
    4 * 1024 * 1024
}

/// Faults of the log stand-in.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields, default)]
pub struct LogFaults {
    /// Outage of the service.
    #[garde(skip)]
    pub outage: Outage,
    /// Delay of every response, in milliseconds. An append takes effect before the delay.
    #[garde(range(max = 600_000))]
    pub extra_latency_ms: u64,
    /// Probability, from 0 to 1, that an append takes effect and its response is lost.
    #[garde(range(min = 0.0, max = 1.0))]
    pub lose_replies: f64,
    /// Probability, from 0 to 1, that an append is refused without taking effect.
    #[garde(range(min = 0.0, max = 1.0))]
    pub refuse_appends: f64,
}

/// Stand-in for the platform's log service. Clones share the records and the faults.
#[derive(Clone)]
pub struct LogStandin {
    cfg: Arc<LogSettings>,
    clock: Arc<dyn Clock>,
    state: Arc<Mutex<State>>,
}

struct State {
    store: LogStore,
    faults: LogFaults,
    /// Time at which the writer can take the next append.
    writer_free_at: Instant,
}

impl LogStandin {
    /// Creates an empty log.
    pub fn new(cfg: LogSettings, clock: Arc<dyn Clock>) -> Self {
        let state = State {
            store: LogStore::default(),
            faults: cfg.faults,
            writer_free_at: clock.now(),
        };
        Self {
            cfg: Arc::new(cfg),
            clock,
            state: Arc::new(Mutex::new(state)),
        }
    }

    /// Returns the faults in force.
    pub fn faults(&self) -> LogFaults {
        self.lock().faults
    }

    /// Sets the faults. Requests that already hang are not released.
    pub fn set_faults(&self, faults: LogFaults) {
        self.lock().faults = faults;
    }

    /// Serves requests until `stop` is closed.
    pub async fn serve(self, ex: Arc<Executor>, listener: TcpListener, stop: Receiver<()>) {
        let limits = ServerLimits {
            max_body: self.cfg.max_record_bytes,
            header_timeout: Duration::from_secs(3600),
            ..ServerLimits::default()
        };
        let handler = move |req| {
            let standin = self.clone();
            async move { standin.handle(req, limits).await }
        };
        try_serve(ex, listener, limits, stop, handler).await;
    }

    async fn handle(&self, req: Request<Incoming>, limits: ServerLimits) -> Reply {
        let (head, body) = req.into_parts();
        let body = match read_body(body, limits.max_body, limits.body_timeout).await {
            Ok(body) => body,
            Err(err) => return text(err.status(), err.to_string()),
        };
        if head.uri.path() == "/faults" {
            let apply = |faults| self.set_faults(faults);
            return faults::handle_request(&head.method, &body, self.faults(), apply);
        }

        if let Some(reply) = faults::outage_reply(self.faults().outage).await {
            return reply;
        }
        let reply = match (&head.method, parse_stream(head.uri.path())) {
            (&Method::POST, Some(stream)) => self.append(stream, body).await,
            (&Method::GET, Some(stream)) => self.read(stream, head.uri.query().unwrap_or("")),
            (_, Some(_)) => text(StatusCode::METHOD_NOT_ALLOWED, "use GET or POST"),
            (_, None) => text(StatusCode::NOT_FOUND, "no such path"),
        };
        faults::sleep_ms(self.faults().extra_latency_ms).await;
        reply
    }

    async fn append(&self, stream: &str, body: Bytes) -> Reply {
        let Ok(body) = String::from_utf8(body.into()) else {
            return text(StatusCode::BAD_REQUEST, "a record is UTF-8 text");
        };
        let faults = self.faults();
        if fastrand::f64() < faults.refuse_appends {
            return text(StatusCode::SERVICE_UNAVAILABLE, "the append was refused");
        }
        let Some(write_at) = self.reserve_write() else {
            return text(StatusCode::SERVICE_UNAVAILABLE, "too many appends");
        };

        Timer::at(write_at).await;
        let offset = self.store_record(stream, body);
        faults::sleep_ms(self.cfg.append_latency_ms).await;
        if fastrand::f64() < faults.lose_replies {
            return Err(ConnectionClosed);
        }
        json(StatusCode::OK, &Appended { offset })
    }

    /// Reserves the next write at the configured rate and returns its time, or `None` if the wait
    /// would exceed [`MAX_APPEND_WAIT`].
    fn reserve_write(&self) -> Option<Instant> {
        let now = self.clock.now();
        let mut state = self.lock();
        let write_at = state.writer_free_at.max(now);
        if write_at.duration_since(now) > MAX_APPEND_WAIT {
            return None;
        }
        state.writer_free_at = write_at + Duration::from_secs(1) / self.cfg.appends_per_second;
        Some(write_at)
    }

    fn store_record(&self, stream: &str, body: String) -> Offset {
        let (now, wall) = (self.clock.now(), self.clock.wall_time());
        let mut state = self.lock();
        let offset = state.store.append(now, wall, stream, body);
        state.store.expire(now, self.retention());
        offset
    }

    fn read(&self, stream: &str, query: &str) -> Reply {
        let (from, max) = match (
            query_parameter(query, "from"),
            query_parameter(query, "max"),
        ) {
            (Ok(from), Ok(max)) => (from.unwrap_or(0), max.unwrap_or(MAX_READ_RECORDS as u64)),
            _ => return text(StatusCode::BAD_REQUEST, "from and max are whole numbers"),
        };
        let max = usize::try_from(max)
            .unwrap_or(MAX_READ_RECORDS)
            .min(MAX_READ_RECORDS);

        let mut state = self.lock();
        state.store.expire(self.clock.now(), self.retention());
        match state.store.read(stream, from, max) {
            Ok(records) => json(StatusCode::OK, &records),
            Err(first_retained) => json(StatusCode::GONE, &Truncated { first_retained }),
        }
    }

    fn retention(&self) -> Retention {
        Retention {
            count: self.cfg.retain_records,
            age: Duration::from_secs(self.cfg.retain_s),
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the name of the stream from a request path.
fn parse_stream(path: &str) -> Option<&str> {
    path.strip_prefix("/v1/streams/")?
        .strip_suffix("/records")
        .filter(|stream| !stream.is_empty() && !stream.contains('/'))
}

/// Returns the value of a query parameter, if present.
fn query_parameter(query: &str, name: &str) -> Result<Option<u64>, std::num::ParseIntError> {
    query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .map(|(_, value)| value.parse())
        .transpose()
}
