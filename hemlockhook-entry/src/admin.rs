//! The HTTP interface for operators: health, metrics, reports and draining of upstreams.

use std::time::Duration;

use hemlockhook_inventory::admin::{DrainReply, DrainRequest};
use hemlockhook_runtime::http::read_body;
use hemlockhook_types::JobKey;
use http::{Method, Request, StatusCode, header};
use http_body_util::Full;
use hyper::body::Incoming;
use serde::Serialize;

use crate::control::ControlHandle;
use crate::engine::Engine;
use crate::event::{Event, Response};
use crate::metrics::EntryMetrics;
use crate::response::{HttpResponse, json_response, problem_response};

/// Maximum size of a request body, in bytes.
const MAX_BODY_BYTES: usize = 64 << 10;

/// Timeout for receiving a request body.
const BODY_TIMEOUT: Duration = Duration::from_secs(5);

/// The HTTP handler of the admin port.
#[derive(Clone)]
pub struct AdminApi {
    control: ControlHandle,
    metrics: EntryMetrics,
}

impl AdminApi {
    /// Creates a handler that reads the state of the engine through its control handle.
    pub fn new(control: ControlHandle, metrics: EntryMetrics) -> Self {
        Self { control, metrics }
    }

    /// Handles a request.
    pub async fn handle(self, req: Request<Incoming>) -> HttpResponse {
        let path = req.uri().path().to_owned();
        let parts: Vec<_> = path.split('/').skip(1).collect();
        match (req.method().clone(), parts.as_slice()) {
            (Method::GET, ["health", "live"]) => json_response(StatusCode::OK, &"live"),
            (Method::GET, ["health", "ready"]) => self.ready().await,
            (Method::GET, ["metrics"]) => self.render_metrics().await,
            (Method::GET, ["v1", "status"]) => {
                self.inspect_json(|engine, now| engine.status(now)).await
            }
            (Method::GET, ["v1", "agents"]) => {
                self.inspect_json(|engine, now| engine.status(now).agents)
                    .await
            }
            (Method::GET, ["v1", "config"]) => {
                self.inspect_json(|engine, _| engine.config_in_force())
                    .await
            }
            (Method::GET, ["v1", "burn"]) => {
                self.inspect_json(|engine, now| engine.burn_counts(now))
                    .await
            }
            (Method::GET, ["v1", "counters"]) => {
                self.inspect_json(|engine, _| *engine.counters()).await
            }
            (Method::GET, ["v1", "events"]) => {
                let since = since(req.uri().query());
                self.inspect_json(move |engine, _| engine.events(since))
                    .await
            }
            (Method::GET, ["v1", "jobs", key @ ..]) => self.job_status(&key.join("/")).await,
            (Method::POST, ["v1", "drain"]) => self.drain(req).await,
            _ => problem_response(
                StatusCode::NOT_FOUND,
                "no-such-resource",
                "there is no such resource",
            ),
        }
    }

    async fn inspect_json<T, F>(&self, inspection: F) -> HttpResponse
    where
        T: Serialize + Send + 'static,
        F: FnOnce(&Engine, std::time::Instant) -> T + Send + 'static,
    {
        match self.control.inspect(inspection).await {
            Some(report) => json_response(StatusCode::OK, &report),
            None => stopping_response(),
        }
    }

    async fn ready(&self) -> HttpResponse {
        match self.control.inspect(|engine, _| engine.is_ready()).await {
            Some(true) => json_response(StatusCode::OK, &"ready"),
            Some(false) => {
                problem_response(StatusCode::SERVICE_UNAVAILABLE, "not-ready", "not ready")
            }
            None => stopping_response(),
        }
    }

    async fn render_metrics(&self) -> HttpResponse {
        let Some(counters) = self.control.inspect(|engine, _| *engine.counters()).await else {
            return stopping_response();
        };
        self.metrics.update(&counters);
        let text = self.metrics.render();
        let mut response = HttpResponse::new(Full::new(text.into()));
        let media_type = http::HeaderValue::from_static("text/plain; version=0.0.4");
        response
            .headers_mut()
            .insert(header::CONTENT_TYPE, media_type);
        response
    }

    async fn job_status(&self, key: &str) -> HttpResponse {
        let key: JobKey = key.replace("%2F", "/").replace("%2f", "/").into();
        match self
            .control
            .inspect(move |engine, now| engine.job_status(now, &key))
            .await
        {
            Some(Some(status)) => json_response(StatusCode::OK, &status),
            Some(None) => problem_response(
                StatusCode::NOT_FOUND,
                "no-such-job",
                "not known at this entry",
            ),
            None => stopping_response(),
        }
    }

    async fn drain(&self, req: Request<Incoming>) -> HttpResponse {
        let body = match read_body(req.into_body(), MAX_BODY_BYTES, BODY_TIMEOUT).await {
            Ok(body) => body,
            Err(err) => return problem_response(err.status(), "body", &err.to_string()),
        };
        let request: DrainRequest = match serde_json::from_slice(&body) {
            Ok(request) => request,
            Err(err) => {
                return problem_response(
                    StatusCode::BAD_REQUEST,
                    "invalid-request",
                    &err.to_string(),
                );
            }
        };
        let (reply_to, rx) = async_channel::bounded(1);
        let DrainRequest { upstream, leaving } = request;
        let name = upstream.clone();
        self.control.send(Event::DrainUpstream {
            upstream: name,
            leaving,
            reply_to,
        });
        match rx.recv().await {
            Ok(Response::DrainRequested(true)) => json_response(
                StatusCode::OK,
                &DrainReply {
                    upstream,
                    leaving,
                    running: 0,
                },
            ),
            Ok(_) => {
                let detail = "no agent of an upstream of this name is linked here";
                problem_response(StatusCode::NOT_FOUND, "no-such-upstream", detail)
            }
            Err(_) => stopping_response(),
        }
    }
}

fn stopping_response() -> HttpResponse {
    problem_response(
        StatusCode::SERVICE_UNAVAILABLE,
        "stopping",
        "the entry is stopping",
    )
}

/// Returns N from the query parameter `since=N`, or 0.
fn since(query: Option<&str>) -> u64 {
    let pairs = query.unwrap_or_default().split('&');
    pairs
        .filter_map(|pair| pair.strip_prefix("since="))
        .find_map(|n| n.parse().ok())
        .unwrap_or(0)
}
