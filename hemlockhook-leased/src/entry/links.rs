//! Serves the links of agents.

use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll};

use async_channel::Receiver;
use futures_core::Stream;
use hemlockhook_dispatch::entry::AgentKey;
use hemlockhook_proto::v1;
use hemlockhook_proto::v1::leased_server::Leased;
use hemlockhook_runtime::executor::Executor;
use tonic::{Request, Response, Status, Streaming};

use crate::entry::core::{SharedCore, outgoing_queue};

/// The gRPC service on which agents open links.
#[derive(Clone)]
pub(crate) struct LinkService {
    ex: Arc<Executor>,
    core: SharedCore,
    last_link: Arc<AtomicU64>,
}

impl LinkService {
    pub(crate) fn new(ex: Arc<Executor>, core: SharedCore) -> Self {
        Self {
            ex,
            core,
            last_link: Arc::default(),
        }
    }
}

#[tonic::async_trait]
impl Leased for LinkService {
    type LinkStream = OutgoingFrames;

    async fn link(
        &self,
        req: Request<Streaming<v1::AgentReport>>,
    ) -> Result<Response<OutgoingFrames>, Status> {
        let mut frames = req.into_inner();
        let first = frames.message().await?;
        let Some(mut first) = first else {
            return Err(Status::invalid_argument(
                "the link ended before its first frame",
            ));
        };
        // A hello marks a report that lists the held tasks. This frame doesn't, so the hello is
        // taken out of it; the agent repeats it in the report that does.
        let Some(hello) = first.hello.take() else {
            return Err(Status::invalid_argument("the first frame has no hello"));
        };
        let id = self.last_link.fetch_add(1, Ordering::Relaxed) + 1;
        let (tx, rx) = outgoing_queue();
        let Some(key) = self.core.open_link(id, tx, &hello, first.sent_ms) else {
            return Err(Status::aborted("the link is refused"));
        };
        self.core.handle_report(key, id, first);

        let core = self.core.clone();
        let guard = LinkGuard {
            core: core.clone(),
            key,
            id,
        };
        let read = async move {
            let _guard = guard;
            while let Ok(Some(frame)) = frames.message().await {
                core.handle_report(key, id, frame);
            }
        };
        self.ex.spawn(read).detach();
        Ok(Response::new(OutgoingFrames {
            frames: Box::pin(rx),
            _guard: LinkGuard {
                core: self.core.clone(),
                key,
                id,
            },
        }))
    }
}

/// Guard of one direction of a link. Dropping it closes the link.
struct LinkGuard {
    core: SharedCore,
    key: AgentKey,
    id: u64,
}

impl Drop for LinkGuard {
    fn drop(&mut self) {
        self.core.close_link(self.key, self.id);
    }
}

/// The stream of frames to an agent.
pub(crate) struct OutgoingFrames {
    frames: Pin<Box<Receiver<v1::EntryOrders>>>,
    _guard: LinkGuard,
}

impl Stream for OutgoingFrames {
    type Item = Result<v1::EntryOrders, Status>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        self.frames
            .as_mut()
            .poll_next(cx)
            .map(|frame| frame.map(Ok))
    }
}
