//! The gRPC stream to an agent.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_channel::Receiver;
use hemlockhook_proto::v1::agent_client::AgentClient;
use hemlockhook_proto::v1::{EntryFrame, EntryHello};
use hemlockhook_runtime::executor::Executor;
use hemlockhook_runtime::grpc;
use hemlockhook_types::Incarnation;

use crate::control::ControlHandle;
use crate::event::{Event, LinkEnd};

/// Timeout for connecting to an agent.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum size of a frame from an agent, in bytes.
const MAX_FRAME_BYTES: usize = 64 << 20;

/// Runs a link until it ends: sends the frames from `rx`, and passes received ones to the engine.
pub async fn run(
    ex: Arc<Executor>,
    address: SocketAddr,
    agent: Incarnation,
    hello: EntryHello,
    rx: Receiver<EntryFrame>,
    control: &ControlHandle,
) -> LinkEnd {
    let channel = match grpc::connect(ex, address, CONNECT_TIMEOUT).await {
        Ok(channel) => channel,
        Err(err) if err.kind() == io::ErrorKind::ConnectionRefused => return LinkEnd::Refused,
        Err(_) => return LinkEnd::Broken,
    };
    let mut client = AgentClient::new(channel).max_decoding_message_size(MAX_FRAME_BYTES);
    let first = EntryFrame {
        hello: Some(hello),
        ..EntryFrame::default()
    };
    let frames = futures_lite::stream::once(first);
    let frames = futures_lite::StreamExt::chain(frames, rx);
    let Ok(response) = client.link(frames).await else {
        return LinkEnd::Broken;
    };

    let mut incoming = response.into_inner();
    while let Ok(Some(mut frame)) = incoming.message().await {
        if let Some(hello) = frame.hello.take() {
            control.send(Event::LinkUp { agent, hello });
        }
        control.send(Event::LinkFrame { agent, frame });
    }
    LinkEnd::Broken
}
