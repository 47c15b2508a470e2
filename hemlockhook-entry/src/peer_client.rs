//! gRPC client for other entries.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use async_io::Timer;
use futures_lite::FutureExt;
use hemlockhook_proto::convert::Reply;
use hemlockhook_proto::v1::entry_client::EntryClient;
use hemlockhook_proto::v1::{PeerStatus, QueryRequest, SubmitRequest};
use hemlockhook_runtime::executor::Executor;
use hemlockhook_runtime::grpc::{self, Channel};
use hemlockhook_types::{JobKey, StampTable};

use crate::control::ControlHandle;
use crate::event::{CallId, Event, JobOperation, ReplySender, Response, Submission};

/// Timeout for connecting to an entry.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Timeout for the response to a heartbeat, including the connection.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(1);

/// Longest time for which another entry waits for the answer to a job before it replies.
const MAX_WAIT: Duration = Duration::from_secs(60);

/// Maximum size of a message from another entry, in bytes.
const MAX_MESSAGE_BYTES: usize = 64 << 20;

/// Calls other entries, over one connection to each.
pub struct PeerClient {
    ex: Arc<Executor>,
    control: ControlHandle,
    channels: Arc<Channels>,
}

#[derive(Default)]
struct Channels {
    open: Mutex<HashMap<SocketAddr, Channel>>,
}

impl PeerClient {
    /// Creates a client without connections; calls open them as needed.
    pub fn new(ex: Arc<Executor>, control: ControlHandle) -> Self {
        Self {
            ex,
            control,
            channels: Arc::default(),
        }
    }

    /// Forwards a submission and sends its reply to the engine.
    pub fn forward(
        &self,
        address: SocketAddr,
        call: CallId,
        submission: Submission,
        deadline: Duration,
    ) {
        let (ex, control, channels) = self.handles();
        let run = async move {
            let key = submission.job.key.clone();
            let req = submit_request(&submission, deadline);
            let reply = match channels.client(ex, address).await {
                Some(mut client) => client.submit(req).await.ok(),
                None => None,
            };
            let reply = reply.map(|reply| reply.into_inner().into());
            control.send(Event::ForwardReply { key, call, reply });
        };
        self.ex.spawn(run).detach();
    }

    /// Forwards an operation on a job and sends its reply to the caller.
    pub fn forward_operation(
        &self,
        address: SocketAddr,
        key: JobKey,
        operation: JobOperation,
        reply_to: ReplySender,
        stamps: Arc<StampTable>,
    ) {
        let (ex, _, channels) = self.handles();
        let run = async move {
            let reply = channels
                .job_operation(ex, address, &key, operation)
                .await
                .unwrap_or(Reply::NotOwner);
            // Fails if the caller has disconnected, and then needs no reply.
            let _ = reply_to.try_send(Response::Job { reply, stamps });
        };
        self.ex.spawn(run).detach();
    }

    /// Sends a heartbeat, and passes the state of the other entry to the engine.
    pub fn heartbeat(&self, address: SocketAddr, status: PeerStatus) {
        let (ex, control, channels) = self.handles();
        let run = async move {
            let exchange = async {
                let mut client = channels.client(ex, address).await?;
                client.heartbeat(status).await.ok()
            };
            let expire = async {
                Timer::after(HEARTBEAT_TIMEOUT).await;
                None
            };
            if let Some(reply) = exchange.or(expire).await {
                control.send(Event::PeerStatus {
                    status: reply.into_inner(),
                    reply_to: None,
                });
            }
        };
        self.ex.spawn(run).detach();
    }

    fn handles(&self) -> (Arc<Executor>, ControlHandle, Arc<Channels>) {
        (self.ex.clone(), self.control.clone(), self.channels.clone())
    }
}

impl Channels {
    async fn job_operation(
        &self,
        ex: Arc<Executor>,
        address: SocketAddr,
        key: &JobKey,
        operation: JobOperation,
    ) -> Option<Reply> {
        let mut client = self.client(ex, address).await?;
        let wait_ms = match operation {
            JobOperation::AwaitAnswer => MAX_WAIT.as_millis() as u32,
            JobOperation::Query | JobOperation::Cancel => 0,
        };
        let req = QueryRequest {
            key: key.to_string(),
            stamp: None,
            wait_ms,
        };
        let reply = match operation {
            JobOperation::Cancel => client.cancel(req).await,
            JobOperation::Query | JobOperation::AwaitAnswer => client.query(req).await,
        };
        reply.ok().map(|reply| reply.into_inner().into())
    }

    /// Returns a client for an address, which reuses an existing connection unless it is closed.
    async fn client(&self, ex: Arc<Executor>, address: SocketAddr) -> Option<EntryClient<Channel>> {
        let known = self
            .lock()
            .get(&address)
            .filter(|channel| !channel.is_closed())
            .cloned();
        let channel = match known {
            Some(channel) => channel,
            None => {
                let channel = grpc::connect(ex, address, CONNECT_TIMEOUT).await.ok()?;
                self.lock().insert(address, channel.clone());
                channel
            }
        };
        let client = EntryClient::new(channel);
        Some(client.max_decoding_message_size(MAX_MESSAGE_BYTES))
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<SocketAddr, Channel>> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn submit_request(submission: &Submission, deadline: Duration) -> SubmitRequest {
    SubmitRequest {
        key: submission.job.key.to_string(),
        fingerprint: submission.job.fingerprint,
        stamp: submission.stamp.map(Into::into),
        job: submission.body.to_vec(),
        deadline_ms: deadline.as_millis() as u32,
    }
}
