//! Serves callers.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hemlockhook_dispatch::entry::{Answer, JobKey, Submission};
use hemlockhook_ports::leased::{CallerProtocol, Reply};
use hemlockhook_runtime::http::read_body;
use http::{HeaderValue, Method, Request, Response, header};
use http_body_util::Full;
use hyper::body::Incoming;

use crate::entry::core::Shared;

/// Longest body while no configuration says otherwise, in bytes.
const MAX_BODY: usize = 256 * 1024;

/// Time for a request's body to arrive.
const BODY_TIMEOUT: Duration = Duration::from_secs(5);

/// Answers callers' requests.
pub(crate) struct CallerService<C> {
    core: Shared,
    callers: Arc<C>,
}

impl<C> Clone for CallerService<C> {
    fn clone(&self) -> Self {
        Self {
            core: self.core.clone(),
            callers: self.callers.clone(),
        }
    }
}

impl<C> CallerService<C>
where
    C: CallerProtocol,
{
    pub(crate) fn new(core: Shared, callers: Arc<C>) -> Self {
        Self { core, callers }
    }

    /// Answers a request. When the future is dropped the caller has left.
    pub(crate) async fn answer(self, req: Request<Incoming>) -> Response<Full<Bytes>> {
        let reply = match req.uri().path() == self.callers.ready_path() {
            true => Reply::Ready(self.core.is_ready()),
            false => self.reply(req).await,
        };
        let mut res = self.callers.write(&reply);
        if self.core.is_leaving() {
            let close = HeaderValue::from_static("close");
            res.headers_mut().insert(header::CONNECTION, close);
        }
        res
    }

    async fn reply(&self, req: Request<Incoming>) -> Reply {
        let (head, body) = req.into_parts();
        let first = self.core.configuration();
        let max_body = first.max_body.unwrap_or(MAX_BODY);
        let body = match read_body(body, max_body, BODY_TIMEOUT).await {
            Ok(body) => body,
            Err(err) => return Reply::Malformed(err.to_string()),
        };
        // Read after the body, so that a configuration that came meanwhile counts.
        let configuration = self.core.configuration();
        if configuration.version == 0 {
            return Reply::NoConfiguration;
        }
        let host = head
            .headers
            .get(header::HOST)
            .and_then(|host| host.to_str().ok());
        let host = host.map(without_port).unwrap_or_default();
        let path = head.uri.path();
        let Some(rule) = configuration.queue(host, path) else {
            let version = configuration.version;
            spdlog::info!("no queue has this host and path", kv: { host, path, version });
            return Reply::UnknownQueue;
        };

        let id = &path[rule.path_prefix.len()..];
        match head.method {
            Method::GET if id.is_empty() => Reply::Waiting(self.core.waiting_jobs(&rule.name)),
            Method::POST if !id.is_empty() => {
                let spec = match self.callers.read_job(id.into(), &body) {
                    Ok(spec) => spec,
                    Err(err) => return Reply::Malformed(err.to_string()),
                };
                let submission = Submission {
                    spec,
                    queue_config: rule.clone(),
                    caller_timeout: self.callers.requested_wait(&head.headers),
                };
                Reply::Job(self.run(submission).await)
            }
            Method::DELETE if self.core.cancel(id) => Reply::Cancelled,
            Method::GET | Method::DELETE => Reply::UnknownJob,
            _ => Reply::Malformed("no such request".to_owned()),
        }
    }

    async fn run(&self, submission: Submission) -> Answer {
        let (tx, rx) = async_channel::bounded(1);
        let key = match self.core.submit(submission, tx) {
            Ok(key) => key,
            Err(refusal) => return Answer::NotRun(refusal),
        };
        let mut caller = Caller {
            core: self.core.clone(),
            key: Some(key),
            rx: Some(rx),
        };
        let rx = caller.rx.as_ref().expect("set above");
        let answer = rx.recv().await;
        caller.key = None;
        // The sender is dropped without an answer only when the process ends.
        answer.unwrap_or(Answer::TimedOut)
    }
}

/// A caller that waits. Dropping it with its key set says that it left.
struct Caller {
    core: Shared,
    key: Option<JobKey>,
    rx: Option<async_channel::Receiver<Answer>>,
}

impl Drop for Caller {
    fn drop(&mut self) {
        drop(self.rx.take());
        if let Some(key) = self.key {
            self.core.abandon(key);
        }
    }
}

fn without_port(host: &str) -> &str {
    host.split_once(':').map_or(host, |(host, _)| host)
}
