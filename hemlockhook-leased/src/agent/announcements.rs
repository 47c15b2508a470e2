//! Receives the announcements of the upstream on the agent's machine.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hemlockhook_ports::leased::{AnnouncementProtocol, UpstreamClient, UpstreamEvent};
use hemlockhook_runtime::http::{BodyError, BodyMemory, read_counted_body};
use http::{HeaderValue, Request, Response, StatusCode, header};
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
        let (mut head, body) = req.into_parts();
        let memory = head.extensions.remove::<BodyMemory>();
        let body = match read_counted_body(memory, body, MAX_BODY_BYTES, BODY_TIMEOUT).await {
            Ok(body) => body,
            Err(BodyError::Overloaded) => return overloaded(),
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

/// Returns the response to an announcement that was given up for lack of memory. The server's log tells
/// how many were.
fn overloaded() -> Response<Full<Bytes>> {
    let mut res = Response::new(Full::default());
    *res.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    let headers = res.headers_mut();
    headers.insert(header::RETRY_AFTER, HeaderValue::from_static("1"));
    headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
    res
}
