//! Serves the links of the entries.

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

use crate::engine::{Event, LinkId};
use crate::shell::Input;

/// Frames that wait for a slow entry. A link that falls further behind is closed: its entry comes
/// back and fetches what it missed.
const OUT_QUEUE: usize = 1024;

/// The gRPC service of an agent.
#[derive(Clone)]
pub(crate) struct LinkService {
    ex: Arc<Executor>,
    inputs: Sender<Input>,
    links: Arc<AtomicU64>,
}

impl LinkService {
    pub(crate) fn new(ex: Arc<Executor>, inputs: Sender<Input>) -> Self {
        Self {
            ex,
            inputs,
            links: Arc::default(),
        }
    }
}

#[tonic::async_trait]
impl Agent for LinkService {
    type LinkStream = OutStream;

    async fn link(
        &self,
        req: Request<Streaming<v1::EntryFrame>>,
    ) -> Result<Response<OutStream>, Status> {
        let link = self.links.fetch_add(1, Ordering::Relaxed);
        let (tx, rx) = async_channel::bounded(OUT_QUEUE);
        let (alive, closed) = async_channel::bounded(1);
        let opened = Input::Opened { link, tx };
        if self.inputs.send(opened).await.is_err() {
            return Err(Status::unavailable("the agent is stopping"));
        }

        let frames = req.into_inner();
        let inputs = self.inputs.clone();
        let read = async move {
            read_frames(link, frames, &inputs).or(wait(closed)).await;
            // An error says that the agent is stopping.
            let _ = inputs.send(Input::Event(Event::LinkDown { link })).await;
        };
        self.ex.spawn(read).detach();
        Ok(Response::new(OutStream {
            frames: Box::pin(rx),
            _alive: alive,
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

/// Waits until the sender is dropped.
async fn wait(closed: Receiver<()>) {
    let _ = closed.recv().await;
}

/// The frames to an entry. Dropped when the link's connection is.
pub(crate) struct OutStream {
    frames: Pin<Box<Receiver<Box<v1::AgentFrame>>>>,
    _alive: Sender<()>,
}

impl Stream for OutStream {
    type Item = Result<v1::AgentFrame, Status>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        self.frames
            .as_mut()
            .poll_next(cx)
            .map(|next| next.map(|frame| Ok(*frame)))
    }
}
