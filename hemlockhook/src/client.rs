//! HTTP requests to entries and the platform's log.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hemlockhook_ports::HttpLog;
use hemlockhook_runtime::executor::{Executor, Threads};
use hemlockhook_runtime::http::{HttpClient, HttpError};
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::cli::Entries;
use crate::output::{Exit, failure, usage_error};

/// Timeout of a request to an entry or the log.
pub const REQUEST_TIMEOUT: Duration = Duration::from_secs(3);

/// Maximum size of a response body, in bytes.
const MAX_RESPONSE_BYTES: usize = 64 << 20;

/// A client with the threads that its requests run on.
pub struct Client {
    threads: Threads,
}

/// The result of a request to one entry.
#[derive(Clone, Debug)]
pub struct EntryReply<T> {
    /// Admin address of the entry.
    pub address: SocketAddr,
    /// Response of the entry, or the reason why there is none.
    pub result: Result<T, String>,
}

impl Client {
    /// Starts the threads of the client.
    pub fn start() -> Self {
        Self {
            threads: Threads::start("hemlockhook", 1),
        }
    }

    /// Returns a client for the platform's log.
    pub fn log(&self, addr: SocketAddr) -> HttpLog {
        HttpLog::new(self.executor(), addr, REQUEST_TIMEOUT)
    }

    /// Sends a request and waits for the response.
    pub fn send(
        &self,
        addr: SocketAddr,
        req: Request<Full<Bytes>>,
        timeout: Duration,
    ) -> Result<Response<Bytes>, HttpError> {
        let http = HttpClient::new(self.executor(), addr, 1);
        async_io::block_on(http.send(req, MAX_RESPONSE_BYTES, timeout))
    }

    /// Sends a GET request to each entry.
    ///
    /// # Errors
    ///
    /// Fails if no entry returns a valid response.
    pub fn get_all<T>(&self, entries: &[SocketAddr], path: &str) -> eyre::Result<Vec<EntryReply<T>>>
    where
        T: DeserializeOwned,
    {
        let replies = self.get_each(entries, path);
        match replies.iter().any(|reply| reply.result.is_ok()) {
            true => Ok(replies),
            false => Err(failure(Exit::Unreachable, describe_failures(&replies))),
        }
    }

    /// Sends a GET request to each entry, and returns the responses and failures of all.
    pub fn get_each<T>(&self, entries: &[SocketAddr], path: &str) -> Vec<EntryReply<T>>
    where
        T: DeserializeOwned,
    {
        entries
            .iter()
            .map(|address| EntryReply {
                address: *address,
                result: self.get(*address, path),
            })
            .collect()
    }

    /// Sends a message to an entry in a POST request.
    pub fn post<M, T>(&self, addr: SocketAddr, path: &str, message: &M) -> Result<T, String>
    where
        M: Serialize,
        T: DeserializeOwned,
    {
        let body = serde_json::to_vec(message).map_err(|e| e.to_string())?;
        let req = Request::post(path).body(Full::new(body.into()));
        let res = self.send(addr, req.map_err(|e| e.to_string())?, REQUEST_TIMEOUT);
        parse_response(&res.map_err(|e| e.to_string())?)
    }

    fn get<T>(&self, addr: SocketAddr, path: &str) -> Result<T, String>
    where
        T: DeserializeOwned,
    {
        let req = Request::get(path).body(Full::default());
        let res = self.send(addr, req.map_err(|e| e.to_string())?, REQUEST_TIMEOUT);
        parse_response(&res.map_err(|e| e.to_string())?)
    }

    fn executor(&self) -> Arc<Executor> {
        self.threads.traffic()
    }
}

impl Entries {
    /// Returns the addresses from the arguments, or else from `HEMLOCKHOOK_ENTRIES`.
    ///
    /// # Errors
    ///
    /// Fails if there are none, or if one in the environment is invalid.
    pub fn addresses(&self) -> eyre::Result<Vec<SocketAddr>> {
        let addresses = match self.entries.is_empty() {
            true => crate::addresses_from_env("HEMLOCKHOOK_ENTRIES")?,
            false => self.entries.clone(),
        };
        match addresses.is_empty() {
            true => Err(usage_error(
                "no entry address is given: use --entry IP:PORT or HEMLOCKHOOK_ENTRIES",
            )),
            false => Ok(addresses),
        }
    }
}

/// Returns the exit code for a resource that no entry returned: [`Exit::Negative`] if every entry
/// answered with 404, and [`Exit::Unreachable`] otherwise.
pub fn exit_code_of_failures<T>(replies: &[EntryReply<T>]) -> Exit {
    let is_not_found = |reply: &EntryReply<T>| match &reply.result {
        Ok(_) => false,
        Err(reason) => reason.starts_with(StatusCode::NOT_FOUND.as_str()),
    };
    match replies.iter().all(is_not_found) {
        true => Exit::Negative,
        false => Exit::Unreachable,
    }
}

/// Describes the failed replies, one per line.
pub fn describe_failures<T>(replies: &[EntryReply<T>]) -> String {
    let lines: Vec<String> = replies
        .iter()
        .filter_map(|reply| {
            let reason = reply.result.as_ref().err()?;
            Some(format!("entry {}: {reason}", reply.address))
        })
        .collect();
    lines.join("\n")
}

fn parse_response<T>(res: &Response<Bytes>) -> Result<T, String>
where
    T: DeserializeOwned,
{
    if !res.status().is_success() {
        return Err(format!("{}{}", res.status(), problem_detail(res.body())));
    }
    serde_json::from_slice(res.body()).map_err(|e| format!("invalid response body: {e}"))
}

/// Returns the `detail` of a problem document, after a colon, or an empty string.
fn problem_detail(body: &[u8]) -> String {
    let problem: Option<serde_json::Value> = serde_json::from_slice(body).ok();
    let detail = problem.as_ref().and_then(|p| p["detail"].as_str());
    detail.map_or_else(String::new, |detail| format!(": {detail}"))
}
