//! Performs the actions of the engine: replies, links to agents, calls to other entries, requests
//! to the platform and appends to the log.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_channel::Sender;
use async_executor::Task;
use async_io::Timer;
use hemlockhook_ownership::Record;
use hemlockhook_ports::{Log, ThrottlePercent, Workers};
use hemlockhook_proto::v1::{EntryFrame, EntryHello};
use hemlockhook_runtime::executor::Executor;
use hemlockhook_schedule::InterventionKind;
use hemlockhook_types::Incarnation;

use crate::control::ControlHandle;
use crate::event::{Action, Event};
use crate::follow::MEMBERSHIP_STREAM;
use crate::link;
use crate::peer_client::PeerClient;

/// Maximum number of frames queued for a slow agent, after which its link is closed.
const MAX_QUEUED_FRAMES: usize = 4_096;

/// Speed of a throttled task, in percent of its full speed.
const THROTTLE_PERCENT: ThrottlePercent = 25;

/// Performs the actions of the engine for the control thread.
pub struct ActionRunner {
    ex: Arc<Executor>,
    control: ControlHandle,
    log: Arc<dyn Log>,
    workers: Option<Arc<dyn Workers>>,
    peers: PeerClient,
    hello: EntryHello,
    /// Established links and links being connected; dropping one closes it.
    links: HashMap<Incarnation, (Sender<EntryFrame>, Task<()>)>,
    /// Takeovers that request that the `membership` stream be read to its end.
    read_requests: Sender<u64>,
}

impl ActionRunner {
    /// Creates a runner that spawns its tasks on an executor.
    pub fn new(
        ex: Arc<Executor>,
        control: ControlHandle,
        log: Arc<dyn Log>,
        workers: Option<Arc<dyn Workers>>,
        hello: EntryHello,
        read_requests: Sender<u64>,
    ) -> Self {
        let peers = PeerClient::new(ex.clone(), control.clone());
        Self {
            ex,
            control,
            log,
            workers,
            peers,
            hello,
            links: HashMap::new(),
            read_requests,
        }
    }

    /// Starts an action of the engine without waiting for its end.
    pub fn perform(&mut self, action: Action) {
        match action {
            // Fails if the caller has disconnected, and then needs no reply.
            Action::Reply { reply_to, response } => drop(reply_to.try_send(response)),
            Action::Connect {
                agent,
                address,
                delay,
            } => self.connect(agent, address, delay),
            Action::Disconnect { agent } => drop(self.links.remove(&agent)),
            Action::SendFrame { agent, frame } => self.send(agent, *frame),
            Action::Forward {
                address,
                call,
                submission,
                deadline,
            } => {
                self.peers.forward(address, call, submission, deadline);
            }
            Action::ForwardOperation {
                address,
                key,
                operation,
                reply_to,
                stamps,
            } => {
                self.peers
                    .forward_operation(address, key, operation, reply_to, stamps);
            }
            Action::Heartbeat { address, status } => self.peers.heartbeat(address, *status),
            Action::Intervene { worker, task, kind } => self.intervene(worker, task, kind),
            Action::Append { takeover, record } => self.append(takeover, record),
            Action::ReadToEnd { takeover } => {
                // The task that reads the log runs until the process ends.
                let _ = self.read_requests.try_send(takeover);
            }
        }
    }

    fn connect(&mut self, agent: Incarnation, address: SocketAddr, delay: Duration) {
        let (tx, rx) = async_channel::bounded(MAX_QUEUED_FRAMES);
        let ex = self.ex.clone();
        let hello = self.hello.clone();
        let control = self.control.clone();
        let run = async move {
            Timer::after(delay).await;
            let end = link::run(ex, address, agent, hello, rx, &control).await;
            control.send(Event::LinkDown { agent, end });
        };
        self.links.insert(agent, (tx, self.ex.spawn(run)));
    }

    fn send(&mut self, agent: Incarnation, frame: EntryFrame) {
        let full = match self.links.get(&agent) {
            Some((tx, _)) => tx.try_send(frame).is_err_and(|err| err.is_full()),
            None => false,
        };
        if full {
            self.links.remove(&agent);
            self.control.send(Event::LinkDown {
                agent,
                end: crate::event::LinkEnd::Broken,
            });
        }
    }

    fn intervene(&self, worker: String, task: String, kind: InterventionKind) {
        let Some(workers) = self.workers.clone() else {
            return;
        };
        let request = async move {
            let result = match kind {
                InterventionKind::Throttle => {
                    workers.throttle(&worker, &task, THROTTLE_PERCENT).await
                }
                InterventionKind::Checkpoint => workers.checkpoint(&worker, &task).await,
            };
            if let Err(err) = result {
                spdlog::warn!("failed to throttle or checkpoint a task: {err}", kv: { task });
            }
        };
        self.ex.spawn(request).detach();
    }

    fn append(&self, takeover: u64, record: Record) {
        let log = self.log.clone();
        let control = self.control.clone();
        let append = async move {
            let body = serde_json::to_vec(&record).expect("records have string keys only");
            let confirmed = log.append(MEMBERSHIP_STREAM, body.into()).await.is_ok();
            control.send(Event::Appended {
                takeover,
                confirmed,
            });
        };
        self.ex.spawn(append).detach();
    }
}
