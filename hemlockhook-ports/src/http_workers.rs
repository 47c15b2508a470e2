//! HTTP client of the platform's worker service.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hemlockhook_runtime::executor::Executor;
use hemlockhook_runtime::http::{HttpClient, HttpError};
use http::{Method, Request, StatusCode};
use http_body_util::Full;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::wire::{Acquire, LeaseGranted, TaskName, Throttle};
use crate::workers::{
    Lease, LeaseId, ThrottlePercent, Usage, Workers, WorkersError, WorkersFuture,
};

/// Maximum number of connections to the service.
const MAX_CONNECTIONS: usize = 4;

/// Maximum size of a response body, in bytes.
const MAX_RESPONSE_BYTES: usize = 4 * 1024 * 1024;

/// HTTP client of the platform's worker service.
#[derive(Clone, Debug)]
pub struct HttpWorkers {
    client: HttpClient,
    timeout: Duration,
}

impl HttpWorkers {
    /// Creates a client of the service at `addr`, with a timeout for each request.
    pub fn new(ex: Arc<Executor>, addr: SocketAddr, timeout: Duration) -> Self {
        Self {
            client: HttpClient::new(ex, addr, MAX_CONNECTIONS),
            timeout,
        }
    }

    async fn call<T>(&self, method: Method, path: String, body: Bytes) -> Result<T, WorkersError>
    where
        T: DeserializeOwned,
    {
        let req = Request::builder()
            .method(method)
            .uri(path)
            .body(Full::new(body))
            .map_err(|err| WorkersError::Rejected(err.to_string()))?;
        let res = self
            .client
            .send(req, MAX_RESPONSE_BYTES, self.timeout)
            .await
            .map_err(|err| match err {
                HttpError::Connect(_) => WorkersError::Unavailable(err.to_string()),
                _ => WorkersError::Uncertain(err.to_string()),
            })?;

        let text = || String::from_utf8_lossy(res.body()).into_owned();
        match res.status() {
            StatusCode::OK => serde_json::from_slice(res.body())
                .map_err(|err| WorkersError::Uncertain(format!("malformed response: {err}"))),
            StatusCode::NOT_FOUND => Err(WorkersError::NotFound(text())),
            StatusCode::SERVICE_UNAVAILABLE => Err(WorkersError::Unavailable(text())),
            status if status.is_client_error() => Err(WorkersError::Rejected(text())),
            _ => Err(WorkersError::Uncertain(text())),
        }
    }

    /// Sends a control command for a task on a worker.
    fn control<M>(&self, worker: &str, verb: &str, message: &M) -> WorkersFuture<'_, ()>
    where
        M: Serialize,
    {
        let path = format!("/v1/workers/{worker}/{verb}");
        Box::pin(self.call(Method::POST, path, json(message)))
    }
}

impl Workers for HttpWorkers {
    fn acquire(&self, worker: &str, task: &str, ttl: Duration) -> WorkersFuture<'_, Lease> {
        let path = format!("/v1/workers/{worker}/leases");
        let message = Acquire {
            task: task.to_owned(),
            ttl_ms: ttl.as_millis() as u64,
        };
        Box::pin(async move {
            let granted: LeaseGranted = self.call(Method::POST, path, json(&message)).await?;
            Ok(Lease {
                id: granted.lease,
                ttl,
            })
        })
    }

    fn renew(&self, lease: LeaseId) -> WorkersFuture<'_, ()> {
        let path = format!("/v1/leases/{lease}/renew");
        Box::pin(self.call(Method::POST, path, Bytes::new()))
    }

    fn release(&self, lease: LeaseId) -> WorkersFuture<'_, ()> {
        let path = format!("/v1/leases/{lease}");
        Box::pin(self.call(Method::DELETE, path, Bytes::new()))
    }

    fn usage(&self, worker: &str) -> WorkersFuture<'_, Usage> {
        let path = format!("/v1/workers/{worker}/usage");
        Box::pin(self.call(Method::GET, path, Bytes::new()))
    }

    fn checkpoint(&self, worker: &str, task: &str) -> WorkersFuture<'_, ()> {
        let task = task.to_owned();
        self.control(worker, "checkpoint", &TaskName { task })
    }

    fn throttle(
        &self,
        worker: &str,
        task: &str,
        percent: ThrottlePercent,
    ) -> WorkersFuture<'_, ()> {
        let task = task.to_owned();
        self.control(worker, "throttle", &Throttle { task, percent })
    }

    fn stop(&self, worker: &str, task: &str) -> WorkersFuture<'_, ()> {
        let task = task.to_owned();
        self.control(worker, "stop", &TaskName { task })
    }
}

fn json<M>(message: &M) -> Bytes
where
    M: Serialize,
{
    serde_json::to_vec(message)
        .expect("messages serialize to JSON")
        .into()
}
