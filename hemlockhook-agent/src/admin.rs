//! The admin port: health, readiness, metrics and status.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use async_channel::Sender;
use async_io::Timer;
use bytes::Bytes;
use futures_lite::FutureExt;
use http::header::CONTENT_TYPE;
use http::{Method, Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use opentelemetry::metrics::Meter;

use hemlockhook_runtime::metrics::Metrics;

use crate::control_loop::Input;
use crate::status::{Counters, Status};

/// Time for the control thread to answer. After it the agent is reported as not live.
const STATUS_TIMEOUT: Duration = Duration::from_secs(2);

/// Handler of requests to the admin port.
#[derive(Clone)]
pub(crate) struct Admin {
    inputs: Sender<Input>,
    metrics: Metrics,
    /// The status that the metric callbacks read, updated at each scrape.
    last_status: Arc<Mutex<Status>>,
}

impl Admin {
    pub(crate) fn new(inputs: Sender<Input>) -> Self {
        let metrics = Metrics::new();
        let last_status = Arc::default();
        register_instruments(&metrics.meter(), &last_status);
        Self {
            inputs,
            metrics,
            last_status,
        }
    }

    pub(crate) async fn handle(self, req: Request<Incoming>) -> Response<Full<Bytes>> {
        if req.method() != Method::GET {
            return text(StatusCode::METHOD_NOT_ALLOWED, "only GET is served here\n");
        }
        let path = req.uri().path();
        if !matches!(
            path,
            "/health/live" | "/health/ready" | "/metrics" | "/v1/status"
        ) {
            return text(StatusCode::NOT_FOUND, "no such page\n");
        }
        match (path, self.status().await) {
            (_, None) => text(
                StatusCode::SERVICE_UNAVAILABLE,
                "the control thread does not answer\n",
            ),
            ("/health/live", Some(_)) => text(StatusCode::OK, "live\n"),
            ("/health/ready", Some(status)) => readiness(&status),
            ("/metrics", Some(status)) => self.render_metrics(status),
            (_, Some(status)) => status_json(&status),
        }
    }

    async fn status(&self) -> Option<Status> {
        let (tx, rx) = async_channel::bounded(1);
        let reply = async {
            self.inputs.send(Input::Status(tx)).await.ok()?;
            rx.recv().await.ok()
        };
        let timeout = async {
            Timer::after(STATUS_TIMEOUT).await;
            None
        };
        reply.or(timeout).await
    }

    fn render_metrics(&self, status: Status) -> Response<Full<Bytes>> {
        *self
            .last_status
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = status;
        let mut res = Response::new(Full::from(self.metrics.render()));
        let content_type = http::HeaderValue::from_static("text/plain; version=0.0.4");
        res.headers_mut().insert(CONTENT_TYPE, content_type);
        res
    }
}

fn readiness(status: &Status) -> Response<Full<Bytes>> {
    match status {
        status if status.leaving => text(StatusCode::SERVICE_UNAVAILABLE, "leaving\n"),
        status if !status.joined => text(
            StatusCode::SERVICE_UNAVAILABLE,
            "not joined: the log has not taken the announcement, or the inventory lacks this name\n",
        ),
        _ => text(StatusCode::OK, "ready\n"),
    }
}

fn text(status: StatusCode, text: &'static str) -> Response<Full<Bytes>> {
    let mut res = Response::new(Full::from(text));
    *res.status_mut() = status;
    res
}

fn status_json(status: &Status) -> Response<Full<Bytes>> {
    let body = serde_json::to_vec(status).expect("a status has only string keys");
    let mut res = Response::new(Full::from(body));
    let content_type = http::HeaderValue::from_static("application/json");
    res.headers_mut().insert(CONTENT_TYPE, content_type);
    res
}

/// Registers the metrics. Their callbacks read `last_status`.
fn register_instruments(meter: &Meter, last_status: &Arc<Mutex<Status>>) {
    let counter = |name: &'static str, description: &'static str, read: fn(&Counters) -> u64| {
        let last_status = last_status.clone();
        meter
            .u64_observable_counter(name)
            .with_description(description)
            .with_callback(move |observer| {
                let status = last_status.lock().unwrap_or_else(PoisonError::into_inner);
                observer.observe(read(&status.counters), &[]);
            })
            .build();
    };
    counter("agent_tasks_started", "Tasks started", |c| c.started);
    counter("agent_tasks_ok", "Tasks that the upstream answered", |c| {
        c.ended_ok
    });
    counter("agent_tasks_failed", "Tasks that failed", |c| {
        c.ended_failed
    });
    counter("agent_tasks_cancelled", "Tasks that were stopped", |c| {
        c.ended_cancelled
    });
    counter("agent_starts_refused", "Starts refused", |c| c.refused);
    counter("agent_late_answers", "Answers to stopped tasks", |c| {
        c.late_answers
    });
    counter("agent_fences", "Fences answered", |c| c.fences);
    counter("agent_frames_received", "Frames from entries", |c| {
        c.frames_received
    });
    counter("agent_frames_sent", "Frames to entries", |c| c.frames_sent);
    counter("agent_silent_links", "Links closed for silence", |c| {
        c.silent_links
    });
    counter("agent_bad_frames", "Frames that were refused", |c| {
        c.bad_frames
    });

    let gauge = |name: &'static str, description: &'static str, read: fn(&Status) -> u64| {
        let last_status = last_status.clone();
        meter
            .u64_observable_gauge(name)
            .with_description(description)
            .with_callback(move |observer| {
                let status = last_status.lock().unwrap_or_else(PoisonError::into_inner);
                observer.observe(read(&status), &[]);
            })
            .build();
    };
    gauge("agent_joined", "1 if the agent has joined", |s| {
        u64::from(s.joined)
    });
    gauge("agent_leaving", "1 if the agent is leaving", |s| {
        u64::from(s.leaving)
    });
    gauge("agent_slots", "Slots given out", |s| u64::from(s.slots));
    gauge("agent_tasks_running", "Tasks that run", |s| {
        s.running as u64
    });
    gauge("agent_grants", "Grants held by entries", |s| {
        u64::from(s.grants)
    });
    gauge("agent_links", "Entries linked", |s| s.links as u64);
    gauge("agent_starts_kept", "Start markers kept", |s| {
        s.starts_kept as u64
    });
    gauge("agent_config_version", "Configuration in force", |s| {
        s.config_version
    });
}
