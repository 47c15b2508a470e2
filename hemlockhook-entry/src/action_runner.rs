//! Does what the engine asks for: replies, links, calls to other entries and appends.

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

/// Frames that wait for a slow agent; one that falls further behind is hung up on.
const MAX_QUEUED_FRAMES: usize = 4_096;

/// Share of its full speed that a throttled task runs at.
const THROTTLE_PERCENT: ThrottlePercent = 25;

/// The control thread's connections with the rest of the process.
pub struct ActionRunner {
    ex: Arc<Executor>,
    control: ControlHandle,
    log: Arc<dyn Log>,
    workers: Option<Arc<dyn Workers>>,
    peers: PeerClient,
    hello: EntryHello,
    /// The links that are up or being made; dropping one closes it.
    links: HashMap<Incarnation, (Sender<EntryFrame>, Task<()>)>,
    /// Asks the follower of the log to read to its end.
    read_requests: Sender<u64>,
}

impl ActionRunner {
    /// Creates a shell whose tasks run on an executor.
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

    /// Does one thing that the engine asks for. It does not wait for its end.
    pub fn perform(&mut self, action: Action) {
        match action {
            // A caller that has gone needs no reply.
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
                // The follower ends with the process only.
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
                spdlog::warn!("the platform did not hold a task back: {err}", kv: { task });
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
