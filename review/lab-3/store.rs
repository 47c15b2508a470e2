//! A stand-in for the platform's store: keyed topics with one partition each.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Request, Response, Server};

#[derive(Default)]
struct Topics {
    records: HashMap<String, Vec<(Vec<u8>, Vec<u8>)>>,
}

#[derive(Default)]
struct Shared {
    topics: Mutex<Topics>,
    changed: Condvar,
}

pub struct Store {
    shared: Arc<Shared>,
    _server: Server,
}

impl Store {
    pub fn start(addr: SocketAddr) -> std::io::Result<Self> {
        let shared = Arc::new(Shared::default());
        let served = shared.clone();
        let server = Server::start(addr, move |request| Some(served.answer(&request)))?;
        Ok(Self {
            shared,
            _server: server,
        })
    }

    /// Writes a record as the operator does.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        self.shared.append(topic, vec![(key.into(), value.into())]);
    }
}

impl Shared {
    fn append(&self, topic: &str, records: Vec<(Vec<u8>, Vec<u8>)>) -> (usize, usize) {
        let mut topics = self.topics.lock().unwrap();
        let known = topics.records.entry(topic.to_owned()).or_default();
        let offset = known.len();
        known.extend(records);
        let end = known.len();
        self.changed.notify_all();
        (offset, end)
    }

    fn answer(&self, request: &Request) -> Response {
        let topic = request.query("topic").unwrap_or_default().to_owned();
        match request.path() {
            "/hemlockhook/log-append" => {
                let mut records = Vec::new();
                let mut rest = &request.body[..];
                while rest.len() >= 4 {
                    let len = u32::from_be_bytes(rest[..4].try_into().unwrap()) as usize;
                    let record = &rest[4..4 + len];
                    let key_len = usize::from(record[0]);
                    let key = record[1..1 + key_len].to_vec();
                    records.push((key, record[1 + key_len..].to_vec()));
                    rest = &rest[4 + len..];
                }
                let (offset, end) = self.append(&topic, records);
                Response::json(200, format!("{{\"offset\":{offset},\"end\":{end}}}"))
            }
            "/hemlockhook/log-newest" => {
                let topics = self.topics.lock().unwrap();
                let records = topics.records.get(&topic).cloned().unwrap_or_default();
                let mut newest: Vec<(usize, Vec<u8>, Vec<u8>)> = Vec::new();
                for (offset, (key, value)) in records.iter().enumerate() {
                    newest.retain(|(_, known, _)| known != key);
                    if !value.is_empty() {
                        newest.push((offset, key.clone(), value.clone()));
                    }
                }
                newest.sort_by(|a, b| a.1.cmp(&b.1));
                let items: Vec<_> = newest
                    .iter()
                    .map(|(offset, key, value)| {
                        let key = String::from_utf8_lossy(key);
                        let value = base64(value);
                        format!("{{\"key\":\"{key}\",\"value\":\"{value}\",\"offset\":{offset}}}")
                    })
                    .collect();
                let items = items.join(",");
                let end = records.len();
                Response::json(
                    200,
                    format!("{{\"items\":[{items}],\"hasMore\":false,\"end\":{end}}}"),
                )
            }
            "/hemlockhook/log-read" => {
                let number = |name: &str| -> u64 {
                    let value = request.query(name);
                    value.and_then(|value| value.parse().ok()).unwrap_or(0)
                };
                let from = number("from") as usize;
                let deadline = Instant::now() + Duration::from_millis(number("waitMs"));
                let mut topics = self.topics.lock().unwrap();
                loop {
                    let len = topics.records.get(&topic).map_or(0, Vec::len);
                    let left = deadline.saturating_duration_since(Instant::now());
                    if len > from || left.is_zero() {
                        break;
                    }
                    topics = self.changed.wait_timeout(topics, left).unwrap().0;
                }
                let records = topics.records.get(&topic).cloned().unwrap_or_default();
                let mut body = (records.len() as u64).to_be_bytes().to_vec();
                body.extend_from_slice(&0_u64.to_be_bytes());
                for (key, value) in records.iter().skip(from) {
                    let len = (1 + key.len() + value.len()) as u32;
                    body.extend_from_slice(&len.to_be_bytes());
                    body.push(key.len() as u8);
                    body.extend_from_slice(key);
                    body.extend_from_slice(value);
                }
                Response { status: 200, body }
            }
            _ => Response::json(404, "{}".to_owned()),
        }
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut group = [0; 3];
        group[..chunk.len()].copy_from_slice(chunk);
        let group = u32::from(group[0]) << 16 | u32::from(group[1]) << 8 | u32::from(group[2]);
        for index in 0..4 {
            match index <= chunk.len() {
                true => text.push(DIGITS[(group >> (18 - 6 * index)) as usize & 63] as char),
                false => text.push('='),
            }
        }
    }
    text
}
