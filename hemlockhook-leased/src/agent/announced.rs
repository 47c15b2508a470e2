//! Serves the upstream beside the agent.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hemlockhook_ports::leased::{AnnouncementProtocol, UpstreamClient, UpstreamEvent};
use hemlockhook_runtime::http::read_body;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;

use crate::agent::core::Shared;

/// Longest announcement, in bytes.
const MAX_BODY: usize = 64 * 1024;

/// Time for an announcement to arrive whole.
const BODY_TIMEOUT: Duration = Duration::from_secs(2);

/// Answers the upstream's announcements.
pub(crate) struct AnnouncementService<A, U> {
    core: Shared<U>,
    format: Arc<A>,
}

impl<A, U> Clone for AnnouncementService<A, U> {
    fn clone(&self) -> Self {
        Self {
            core: self.core.clone(),
            format: self.format.clone(),
        }
    }
}

impl<A, U> AnnouncementService<A, U>
where
    A: AnnouncementProtocol,
    U: UpstreamClient,
{
    pub(crate) fn new(core: Shared<U>, format: Arc<A>) -> Self {
        Self { core, format }
    }

    pub(crate) async fn answer(self, req: Request<Incoming>) -> Response<Full<Bytes>> {
        let (head, body) = req.into_parts();
        let body = match read_body(body, MAX_BODY, BODY_TIMEOUT).await {
            Ok(body) => body,
            Err(err) => {
                let reason = err.to_string();
                let reason = reason.as_str();
                spdlog::warn!("an announcement did not arrive whole", kv: { reason });
                return self.format.write(false);
            }
        };
        let is_accepted = match self.format.read(&head.method, head.uri.path(), &body) {
            Some(Ok(UpstreamEvent::Announced(said))) => {
                self.core.announced(said);
                true
            }
            Some(Ok(UpstreamEvent::Deregistered(instance))) => {
                self.core.upstream_left(&instance);
                true
            }
            Some(Err(err)) => {
                let reason = err.to_string();
                let reason = reason.as_str();
                spdlog::warn!("an announcement can't be read", kv: { reason });
                false
            }
            None => false,
        };
        self.format.write(is_accepted)
    }
}
