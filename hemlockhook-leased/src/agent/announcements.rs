//! Serves the announcements of the upstream on the agent's machine.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hemlockhook_ports::leased::{AnnouncementProtocol, UpstreamClient, UpstreamEvent};
use hemlockhook_runtime::http::read_body;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;

use crate::agent::core::SharedCore;

/// Maximum size of an announcement, in bytes.
const MAX_BODY_BYTES: usize = 64 * 1024;

/// Timeout of reading the body of an announcement.
const BODY_TIMEOUT: Duration = Duration::from_secs(2);

/// The HTTP service for the upstream's announcements.
pub(crate) struct AnnouncementService<A, U> {
    core: SharedCore<U>,
    protocol: Arc<A>,
}

impl<A, U> Clone for AnnouncementService<A, U> {
    fn clone(&self) -> Self {
        Self {
            core: self.core.clone(),
            protocol: self.protocol.clone(),
        }
    }
}

impl<A, U> AnnouncementService<A, U>
where
    A: AnnouncementProtocol,
    U: UpstreamClient,
{
    pub(crate) fn new(core: SharedCore<U>, protocol: Arc<A>) -> Self {
        Self { core, protocol }
    }

    pub(crate) async fn answer(self, req: Request<Incoming>) -> Response<Full<Bytes>> {
        let (head, body) = req.into_parts();
        let body = match read_body(body, MAX_BODY_BYTES, BODY_TIMEOUT).await {
            Ok(body) => body,
            Err(err) => {
                let reason = err.to_string();
                let reason = reason.as_str();
                spdlog::warn!("an announcement could not be received", kv: { reason });
                return self.protocol.write(false);
            }
        };
        let is_accepted = match self.protocol.read(&head.method, head.uri.path(), &body) {
            Some(Ok(UpstreamEvent::Announced(announcement))) => {
                self.core.handle_announcement(announcement);
                true
            }
            Some(Ok(UpstreamEvent::Deregistered(instance))) => {
                self.core.handle_deregistration(&instance);
                true
            }
            Some(Err(err)) => {
                let reason = err.to_string();
                let reason = reason.as_str();
                spdlog::warn!("an announcement can't be decoded", kv: { reason });
                false
            }
            None => false,
        };
        self.protocol.write(is_accepted)
    }
}
