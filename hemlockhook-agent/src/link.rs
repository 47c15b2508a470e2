//! The gRPC service for links with entries.

use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll};

use async_channel::{Receiver, Sender};
use futures_core::Stream;
use futures_lite::FutureExt;
use tonic::{Request, Response, Status, Streaming};

use hemlockhook_proto::v1;
use hemlockhook_proto::v1::agent_server::Agent;
use hemlockhook_runtime::executor::Executor;

use crate::control_loop::Input;
use crate::engine::{Event, LinkId};

/// Maximum number of frames queued for an entry. If a slow entry exceeds it, its link is closed: the
/// entry reconnects and fetches what it missed.
const SEND_QUEUE_CAPACITY: usize = 1024;

/// Implementation of the gRPC service `Agent`.
#[derive(Clone)]
pub(crate) struct LinkService {
    ex: Arc<Executor>,
    inputs: Sender<Input>,
    next_link: Arc<AtomicU64>,
}

impl LinkService {
    pub(crate) fn new(ex: Arc<Executor>, inputs: Sender<Input>) -> Self {
        Self {
            ex,
            inputs,
            next_link: Arc::default(),
        }
    }
}

#[tonic::async_trait]
impl Agent for LinkService {
    type LinkStream = FrameStream;

    async fn link(
        &self,
        req: Request<Streaming<v1::EntryFrame>>,
    ) -> Result<Response<FrameStream>, Status> {
        let link = self.next_link.fetch_add(1, Ordering::Relaxed);
        let (tx, rx) = async_channel::bounded(SEND_QUEUE_CAPACITY);
        let (guard, guard_dropped) = async_channel::bounded(1);
        let opened = Input::LinkOpened { link, tx };
        if self.inputs.send(opened).await.is_err() {
            return Err(Status::unavailable("the agent is stopping"));
        }

        let frames = req.into_inner();
        let inputs = self.inputs.clone();
        let receive = async move {
            read_frames(link, frames, &inputs)
                .or(wait_until_dropped(guard_dropped))
                .await;
            // Fails only if the control loop has ended.
            let _ = inputs.send(Input::Event(Event::LinkDown { link })).await;
        };
        self.ex.spawn(receive).detach();
        Ok(Response::new(FrameStream {
            frames: Box::pin(rx),
            _guard: guard,
        }))
    }
}

async fn read_frames(link: LinkId, mut frames: Streaming<v1::EntryFrame>, inputs: &Sender<Input>) {
    while let Ok(Some(frame)) = frames.message().await {
        let frame = Box::new(frame);
        let event = Event::Frame { link, frame };
        if inputs.send(Input::Event(event)).await.is_err() {
            return;
        }
    }
}

/// Waits until the channel's sender is dropped.
async fn wait_until_dropped(guard_dropped: Receiver<()>) {
    let _ = guard_dropped.recv().await;
}

/// The response stream of a link. It is dropped when the connection closes, which ends the link.
pub(crate) struct FrameStream {
    frames: Pin<Box<Receiver<Box<v1::AgentFrame>>>>,
    _guard: Sender<()>,
}

impl Stream for FrameStream {
    type Item = Result<v1::AgentFrame, Status>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        self.frames
            .as_mut()
            .poll_next(cx)
            .map(|next| next.map(|frame| Ok(*frame)))
    }
}
