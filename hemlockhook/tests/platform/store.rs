//! A stand-in for the platform's store: a log whose topics are compacted to the newest record of
//! each key.

use std::collections::BTreeMap;
use std::future::pending;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use async_io::Timer;
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::{Buf, BufMut, Bytes, BytesMut};
use hemlockhook_runtime::http::read_body;
use http::request::Parts;
use http::{Method, Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::{Body, Incoming};
use serde_json::json;
use strum::EnumIter;

/// Timeout for reading the body of a request.
const BODY_TIMEOUT: Duration = Duration::from_secs(5);

/// Polling interval of a read that waits for a record.
const OPERATORS_TOPIC: &str = "keyed.op";

const DEFAULT_READ_KILOBYTES: usize = 1024;

const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Response time of a slow store, 60 times the usual 4 ms.
const SLOW_RESPONSE_TIME: Duration = Duration::from_millis(240);

/// A fault of the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, EnumIter)]
pub enum StoreFault {
    #[default]
    None,
    /// Refuses every call without executing it.
    Unavailable,
    /// Neither executes calls nor responds.
    Unresponsive,
    /// Responds after [`SLOW_RESPONSE_TIME`].
    Slow,
    /// Executes calls but does not respond.
    LosesResponses,
}

#[derive(Clone, Default)]
pub struct StoreStandin {
    state: Arc<Mutex<State>>,
}

#[derive(Default)]
struct State {
    /// Records of each topic, as key and value.
    topics: BTreeMap<String, Vec<(String, Bytes)>>,
    fault: StoreFault,
    /// First retained offset of each topic.
    first_retained: BTreeMap<String, usize>,
    /// Bytes of the operators' records that were sent, in the encoding of the responses.
    sent_operator_bytes: usize,
}

impl StoreStandin {
    /// Appends a record to the operators' topic, as an operator would.
    pub fn publish(&self, key: &str, value: String) {
        let mut state = self.state.lock().expect("no thread panicked with the lock");
        let topic = state.topics.entry(OPERATORS_TOPIC.to_owned()).or_default();
        topic.push((key.to_owned(), value.into()));
    }

    /// Appends a record to any topic, as another writer would.
    pub fn put(&self, topic: &str, key: &str, value: Bytes) {
        let mut state = self.state.lock().expect("no thread panicked with the lock");
        let topic = state.topics.entry(topic.to_owned()).or_default();
        topic.push((key.to_owned(), value));
    }

    /// Returns the newest value of a key.
    pub fn newest_value(&self, topic: &str, key: &str) -> Option<Bytes> {
        let state = self.state.lock().expect("no thread panicked with the lock");
        let records = state.topics.get(topic)?.iter().rev();
        let mut values = records.filter(|(known, _)| known == key);
        values.next().map(|(_, value)| value.clone())
    }

    /// Sets the current fault.
    pub fn set_fault(&self, fault: StoreFault) {
        self.state
            .lock()
            .expect("no thread panicked with the lock")
            .fault = fault;
    }

    pub fn sent_operator_bytes(&self) -> usize {
        let state = self.state.lock().expect("no thread panicked with the lock");
        state.sent_operator_bytes
    }

    fn fault(&self) -> StoreFault {
        self.state
            .lock()
            .expect("no thread panicked with the lock")
            .fault
    }

    /// Drops all records but the newest of each key: reads from before the end fail as gone.
    pub fn compact(&self) {
        let mut state = self.state.lock().expect("no thread panicked with the lock");
        let ends: Vec<_> = state
            .topics
            .iter()
            .map(|(name, topic)| (name.clone(), topic.len()))
            .collect();
        state.first_retained.extend(ends);
    }

    pub async fn handle(self, req: Request<Incoming>) -> Response<Full<Bytes>> {
        let (head, body) = req.into_parts();
        let body = read_body(body, 1 << 20, BODY_TIMEOUT)
            .await
            .unwrap_or_default();
        let query = head.uri.query().unwrap_or_default();
        let args: BTreeMap<_, _> = query
            .split('&')
            .filter_map(|arg| arg.split_once('='))
            .collect();
        let topic = args.get("topic").copied().unwrap_or_default().to_owned();
        let fault = self.fault();
        match fault {
            StoreFault::Unavailable => {
                return status(StatusCode::SERVICE_UNAVAILABLE, Bytes::new());
            }
            StoreFault::Unresponsive => return pending().await,
            StoreFault::Slow => _ = Timer::after(SLOW_RESPONSE_TIME).await,
            StoreFault::None | StoreFault::LosesResponses => {}
        }
        let is_operators = topic == OPERATORS_TOPIC;
        let res = self.execute(&head, &args, topic, body).await;
        if is_operators {
            let bytes = res.body().size_hint().lower() as usize;
            let mut state = self.state.lock().expect("no thread panicked with the lock");
            state.sent_operator_bytes += bytes;
        }
        match fault {
            StoreFault::LosesResponses => pending().await,
            _ => res,
        }
    }

    async fn execute(
        &self,
        head: &Parts,
        args: &BTreeMap<&str, &str>,
        topic: String,
        body: Bytes,
    ) -> Response<Full<Bytes>> {
        match (&head.method, head.uri.path()) {
            (&Method::POST, "/hemlockhook/log-append") => self.append(topic, body),
            (&Method::GET, "/hemlockhook/log-newest") => self.newest(&topic),
            (&Method::GET, "/hemlockhook/log-read") => {
                let from = args["from"].parse().expect("an offset");
                let wait = Duration::from_millis(args["waitMs"].parse().expect("milliseconds"));
                let kilobytes = args.get("maximumKilobytes");
                let kilobytes = kilobytes.map(|value| value.parse().expect("kilobytes"));
                let max_bytes = 1024 * kilobytes.unwrap_or(DEFAULT_READ_KILOBYTES);
                self.read(&topic, from, wait, max_bytes).await
            }
            _ => status(StatusCode::NOT_FOUND, Bytes::new()),
        }
    }

    fn append(&self, topic: String, mut body: Bytes) -> Response<Full<Bytes>> {
        if topic == OPERATORS_TOPIC {
            return status(StatusCode::FORBIDDEN, Bytes::new());
        }
        let mut state = self.state.lock().expect("no thread panicked with the lock");
        let records = state.topics.entry(topic).or_default();
        while body.has_remaining() {
            let len = body.get_u32() as usize;
            let mut record = body.split_to(len);
            let key_len = record.get_u8() as usize;
            let key = record.split_to(key_len);
            records.push((String::from_utf8_lossy(&key).into_owned(), record));
        }
        let end = records.len();
        json_body(&json!({ "offset": end - 1, "end": end }))
    }

    fn newest(&self, topic: &str) -> Response<Full<Bytes>> {
        let state = self.state.lock().expect("no thread panicked with the lock");
        let records = state.topics.get(topic).cloned().unwrap_or_default();
        let mut newest = BTreeMap::new();
        for (offset, (key, value)) in records.iter().enumerate() {
            newest.insert(key.clone(), (offset, value.clone()));
        }
        let items: Vec<_> = newest
            .iter()
            .map(|(key, (offset, value))| {
                json!({ "key": key, "value": STANDARD.encode(value), "offset": offset })
            })
            .collect();
        json_body(&json!({ "items": items, "hasMore": false, "end": records.len() }))
    }

    async fn read(
        &self,
        topic: &str,
        from: usize,
        wait: Duration,
        max_bytes: usize,
    ) -> Response<Full<Bytes>> {
        let deadline = Instant::now() + wait;
        loop {
            let (records, first) = {
                let state = self.state.lock().expect("no thread panicked with the lock");
                let records = state.topics.get(topic).cloned().unwrap_or_default();
                (
                    records,
                    state.first_retained.get(topic).copied().unwrap_or(0),
                )
            };
            if from < first {
                return status(
                    StatusCode::GONE,
                    Bytes::from(json!({ "first": first }).to_string()),
                );
            }
            if from < records.len() || Instant::now() >= deadline {
                let mut body = BytesMut::new();
                body.put_u64(records.len() as u64);
                body.put_u64(first as u64);
                for (key, value) in records.iter().skip(from) {
                    if body.len() + key.len() + value.len() > max_bytes {
                        break;
                    }
                    body.put_u32((1 + key.len() + value.len()) as u32);
                    body.put_u8(key.len() as u8);
                    body.put_slice(key.as_bytes());
                    body.put_slice(value);
                }
                return status(StatusCode::OK, body.freeze());
            }
            Timer::after(POLL_INTERVAL).await;
        }
    }
}

fn json_body(value: &serde_json::Value) -> Response<Full<Bytes>> {
    status(StatusCode::OK, Bytes::from(value.to_string()))
}

fn status(status: StatusCode, body: Bytes) -> Response<Full<Bytes>> {
    let mut res = Response::new(Full::new(body));
    *res.status_mut() = status;
    res
}
