//! Serves requests of callers.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hemlockhook_dispatch::entry::{self, Answer, JobKey, Refusal, Submission};
use hemlockhook_ports::leased::{CallerProtocol, Reply};
use hemlockhook_runtime::http::{BodyError, BodyMemory, read_counted_body};
use hemlockhook_runtime::io::Peer;
use http::request::Parts;
use http::{HeaderValue, Method, Request, Response, header};
use http_body_util::Full;
use hyper::body::Incoming;

use crate::entry::core::SharedCore;

/// Default maximum size of a request body, in bytes.
const DEFAULT_MAX_BODY_BYTES: usize = 256 * 1024;

/// Timeout of reading the body of a request.
const BODY_TIMEOUT: Duration = Duration::from_secs(5);

/// Time after which a caller should retry whose body was given up for lack of memory.
const MEMORY_RETRY_AFTER: Duration = Duration::from_secs(1);

/// The HTTP service for callers.
pub(crate) struct CallerService<C> {
    core: SharedCore,
    protocol: Arc<C>,
}

impl<C> Clone for CallerService<C> {
    fn clone(&self) -> Self {
        Self {
            core: self.core.clone(),
            protocol: self.protocol.clone(),
        }
    }
}

impl<C> CallerService<C>
where
    C: CallerProtocol,
{
    pub(crate) fn new(core: SharedCore, protocol: Arc<C>) -> Self {
        Self { core, protocol }
    }

    /// Handles a request that was received from `peer`. The future is dropped if the caller
    /// disconnects. An error closes the connection without a response.
    pub(crate) async fn answer(
        self,
        peer: Peer,
        req: Request<Incoming>,
    ) -> io::Result<Response<Full<Bytes>>> {
        let reply = match req.uri().path() == self.protocol.ready_path() {
            true => Ok(Reply::Ready(self.core.is_ready())),
            false => self.reply(peer, req).await,
        };
        let is_given_up = reply.is_err();
        let reply = match reply {
            Ok(reply) => reply,
            // A response would say that the job has not run.
            Err(GivenUp { is_known: true }) => return Err(io::ErrorKind::ConnectionAborted.into()),
            Err(GivenUp { is_known: false }) => {
                let retry_after = MEMORY_RETRY_AFTER;
                Reply::Job(Answer::NotRun(Refusal::Overload { retry_after }))
            }
        };
        let mut res = self.protocol.write(&reply);
        if is_given_up || self.core.is_leaving() {
            let close = HeaderValue::from_static("close");
            res.headers_mut().insert(header::CONNECTION, close);
        }
        Ok(res)
    }

    async fn reply(&self, peer: Peer, req: Request<Incoming>) -> Result<Reply, GivenUp> {
        let (mut head, body) = req.into_parts();
        let memory = head.extensions.remove::<BodyMemory>();
        let job_memory = memory.clone();
        let initial = self.core.configuration();
        let max_body = initial.max_body.unwrap_or(DEFAULT_MAX_BODY_BYTES);
        let body = match read_counted_body(memory, body, max_body, BODY_TIMEOUT).await {
            Ok(body) => body,
            // The server's log tells how many were given up.
            Err(BodyError::Overloaded) => {
                let is_known = self.is_known_job(&head);
                return Err(GivenUp { is_known });
            }
            Err(err) => return Ok(Reply::Malformed(err.to_string())),
        };
        // Read again, since a newer configuration may have arrived during the read of the body.
        let configuration = self.core.configuration();
        if configuration.version == 0 {
            return Ok(Reply::NoConfiguration);
        }
        let host = host(&head);
        let path = head.uri.path();
        let Some(queue) = configuration.queue(host, path) else {
            let version = configuration.version;
            spdlog::info!("no queue matches the host and path of a request", kv: {
                host,
                path,
                version,
            });
            return Ok(Reply::UnknownQueue);
        };

        let id = &path[queue.path_prefix.len()..];
        let reply = match head.method {
            Method::GET if id.is_empty() => Reply::Waiting(self.core.waiting_jobs(&queue.name)),
            Method::POST if !id.is_empty() => {
                let spec = match self.protocol.read_job(id.into(), &body) {
                    Ok(spec) => spec,
                    Err(err) => return Ok(Reply::Malformed(err.to_string())),
                };
                // The bytes of the body stay counted, and stand for a part of what the job keeps. The number
                // of tasks is checked first: it may be out of range.
                let is_supported = spec.unsupported(queue).is_none();
                let kept = job_memory.filter(|_| is_supported);
                let needed = || entry::job_memory(&spec).saturating_sub(body.len());
                if kept.is_some_and(|memory| !memory.hold(needed())) {
                    let is_known = self.core.is_known(id);
                    return Err(GivenUp { is_known });
                }
                drop(body);
                let seen = self.core.now();
                let submission = Submission {
                    spec,
                    queue_config: queue.clone(),
                    caller_timeout: self.protocol.requested_wait(&head.headers),
                    caller_seen: (!peer.has_left()).then_some(seen),
                };
                Reply::Job(self.run(peer, submission).await)
            }
            Method::DELETE if self.core.cancel(id) => Reply::Cancelled,
            Method::GET | Method::DELETE => Reply::UnknownJob,
            _ => Reply::Malformed("no such request".to_owned()),
        };
        Ok(reply)
    }

    /// Returns whether the request is for a job of which this entry knows.
    fn is_known_job(&self, head: &Parts) -> bool {
        let configuration = self.core.configuration();
        let path = head.uri.path();
        let queue = configuration.queue(host(head), path);
        queue.is_some_and(|queue| self.core.is_known(&path[queue.path_prefix.len()..]))
    }

    async fn run(&self, peer: Peer, submission: Submission) -> Answer {
        let (tx, rx) = async_channel::bounded(1);
        let key = match self.core.submit(submission, peer, tx) {
            Ok(key) => key,
            Err(refusal) => return Answer::NotRun(refusal),
        };
        let mut caller = WaitingCaller {
            core: self.core.clone(),
            key: Some(key),
            rx: Some(rx),
        };
        let rx = caller.rx.as_ref().expect("set above");
        let answer = rx.recv().await;
        caller.key = None;
        // The sender is dropped without an answer if the caller has left, or the process exits.
        answer.unwrap_or(Answer::TimedOut)
    }
}

/// A caller that waits for an answer. Dropping it before the answer abandons the job.
struct WaitingCaller {
    core: SharedCore,
    /// The job; `None` once it was answered.
    key: Option<JobKey>,
    rx: Option<async_channel::Receiver<Answer>>,
}

impl Drop for WaitingCaller {
    fn drop(&mut self) {
        drop(self.rx.take());
        if let Some(key) = self.key {
            self.core.abandon(key);
        }
    }
}

/// The body of a request was given up for lack of memory.
struct GivenUp {
    /// Whether the entry knows of the job from an earlier request, so that it may have run.
    is_known: bool,
}

/// Returns the host of a request without its port, or an empty string.
fn host(head: &Parts) -> &str {
    let host = head.headers.get(header::HOST);
    let host = host.and_then(|host| host.to_str().ok());
    host.map(without_port).unwrap_or_default()
}

fn without_port(host: &str) -> &str {
    host.split_once(':').map_or(host, |(host, _)| host)
}
