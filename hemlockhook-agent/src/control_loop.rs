//! The loop of the control thread: passes inputs to the engine and performs its actions.

use std::collections::HashMap;
use std::sync::Arc;

use async_channel::{Receiver, Sender, TrySendError};
use async_executor::Task;
use async_io::Timer;
use bytes::Bytes;
use futures_lite::FutureExt;

use hemlockhook_ports::{Log, LogError, Offset};
use hemlockhook_proto::v1;
use hemlockhook_runtime::executor::Executor;
use hemlockhook_runtime::log;
use hemlockhook_types::{Clock, TaskOutcome, TaskResult};

use crate::engine::{Action, Call, Engine, Event, LinkId, Stream, TaskId};
use crate::status::Status;
use crate::upstream::UpstreamClient;

/// Maximum number of inputs handled after the first one before actions are performed.
const MAX_INPUT_BATCH: usize = 256;

/// Maximum number of records in one read of the log.
const MAX_READ_RECORDS: usize = 1000;

/// Message to the control thread.
pub(crate) enum Input {
    /// Event for the engine.
    Event(Event),
    /// A link was opened. Frames for its entry are sent to `tx`.
    LinkOpened {
        link: LinkId,
        tx: Sender<Box<v1::AgentFrame>>,
    },
    /// Request for the status, which is sent to the channel.
    Status(Sender<Status>),
}

/// Resources that the control thread performs actions with.
pub(crate) struct ControlLoop {
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) traffic: Arc<Executor>,
    pub(crate) upstream: UpstreamClient,
    pub(crate) log: Arc<dyn Log>,
    /// Cloned into spawned tasks, which report their results through it.
    pub(crate) inputs: Sender<Input>,
    pub(crate) links: HashMap<LinkId, Sender<Box<v1::AgentFrame>>>,
    /// Calls of the upstream in flight. Dropping one aborts it.
    pub(crate) calls: HashMap<TaskId, Task<()>>,
    /// The last append to the log. The engine has at most one in flight.
    pub(crate) append_task: Option<Task<()>>,
    /// The last read of each stream. The engine has at most one in flight per stream.
    pub(crate) read_tasks: HashMap<Stream, Task<()>>,
}

impl ControlLoop {
    /// Runs until the engine requests the exit.
    pub(crate) async fn run(mut self, mut engine: Engine, inputs: Receiver<Input>) {
        loop {
            if self.perform_actions(&mut engine) {
                return;
            }
            let Some(first) = self.next_input(&engine, &inputs).await else {
                continue;
            };
            let rest = std::iter::from_fn(|| inputs.try_recv().ok()).take(MAX_INPUT_BATCH);
            for input in std::iter::once(first).chain(rest) {
                self.handle_input(&mut engine, input);
            }
        }
    }

    /// Waits for an input. Returns `None` at the engine's next wakeup.
    async fn next_input(&self, engine: &Engine, inputs: &Receiver<Input>) -> Option<Input> {
        let input = async { inputs.recv().await.ok() };
        match engine.next_wakeup() {
            Some(at) => {
                let wakeup = async {
                    Timer::at(at).await;
                    None
                };
                input.or(wakeup).await
            }
            None => input.await,
        }
    }

    fn handle_input(&mut self, engine: &mut Engine, input: Input) {
        match input {
            Input::Event(event) => {
                if let Event::TaskEnded { task, result } = &event {
                    self.calls.remove(task);
                    log_task_end(engine, *task, result);
                }
                engine.handle(self.clock.now(), event);
            }
            Input::LinkOpened { link, tx } => {
                self.links.insert(link, tx);
            }
            Input::Status(tx) => {
                // Fails only if the requester no longer waits.
                let _ = tx.try_send(engine.status());
            }
        }
    }

    /// Performs the engine's actions. Returns true if the engine requests the exit.
    fn perform_actions(&mut self, engine: &mut Engine) -> bool {
        loop {
            let actions = engine.take_actions(self.clock.now());
            if actions.is_empty() {
                return false;
            }
            for action in actions {
                match action {
                    Action::Exit => return true,
                    Action::SendFrame { link, frame } => self.send_frame(engine, link, frame),
                    Action::CloseLink { link } => self.close_link(engine, link),
                    Action::RunTask { task, call } => self.start_call(task, call),
                    Action::StopTask { task } => drop(self.calls.remove(&task)),
                    Action::Append { body } => self.start_append(body),
                    Action::Read { stream, from } => self.start_read(stream, from),
                }
            }
        }
    }

    fn send_frame(&mut self, engine: &mut Engine, link: LinkId, frame: Box<v1::AgentFrame>) {
        let Some(tx) = self.links.get(&link) else {
            return;
        };
        match tx.try_send(frame) {
            Ok(()) => {}
            Err(TrySendError::Full(_)) => {
                spdlog::warn!("the send queue of a link is full; closing the link", kv: { link });
                self.close_link(engine, link);
            }
            Err(TrySendError::Closed(_)) => self.close_link(engine, link),
        }
    }

    fn close_link(&mut self, engine: &mut Engine, link: LinkId) {
        if let Some(tx) = self.links.remove(&link) {
            tx.close();
        }
        engine.handle(self.clock.now(), Event::LinkDown { link });
    }

    fn start_call(&mut self, task: TaskId, call: Call) {
        log::task(&call.key, call.index).debug("started");
        let upstream = self.upstream.clone();
        let inputs = self.inputs.clone();
        let run = self.traffic.spawn(async move {
            let result = upstream.run(call).await;
            let _ = inputs
                .send(Input::Event(Event::TaskEnded { task, result }))
                .await;
        });
        self.calls.insert(task, run);
    }

    fn start_append(&mut self, body: Bytes) {
        let log = self.log.clone();
        let inputs = self.inputs.clone();
        self.append_task = Some(self.traffic.spawn(async move {
            let event = match log.append(Stream::Membership.into(), body).await {
                Ok(_) => Event::Appended,
                Err(err) => {
                    spdlog::warn!("could not append to the log stream `membership`: {}", err);
                    Event::AppendFailed
                }
            };
            let _ = inputs.send(Input::Event(event)).await;
        }));
    }

    fn start_read(&mut self, stream: Stream, from: Offset) {
        let log = self.log.clone();
        let inputs = self.inputs.clone();
        let read = self.traffic.spawn(async move {
            let event = match log.read(stream.into(), from, MAX_READ_RECORDS).await {
                Ok(batch) => Event::Read { stream, batch },
                Err(err) => on_read_error(stream, &err),
            };
            let _ = inputs.send(Input::Event(event)).await;
        });
        self.read_tasks.insert(stream, read);
    }
}

fn on_read_error(stream: Stream, err: &LogError) -> Event {
    spdlog::warn!("could not read the log stream `{}`: {}", stream, err);
    let first_retained = match err {
        LogError::Truncated { first_retained } => Some(*first_retained),
        _ => None,
    };
    Event::ReadFailed {
        stream,
        first_retained,
    }
}

fn log_task_end(engine: &Engine, task: TaskId, result: &TaskResult) {
    let Some((key, index)) = engine.task(task) else {
        return;
    };
    match &result.outcome {
        TaskOutcome::Failed(reason) => log::task(key, index).warn(&format!("failed: {reason}")),
        _ => log::task(key, index).debug("ended"),
    }
}
