//! Runs the engine on the control thread and does what it asks for.

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

/// Inputs taken before the engine is asked what to do.
const MAX_BATCH: usize = 256;

/// Records read from the log at once.
const READ_RECORDS: usize = 1000;

/// What reaches the control thread.
pub(crate) enum Input {
    /// Something for the engine.
    Event(Event),
    /// A link opened; frames for its entry go to `tx`.
    Opened {
        link: LinkId,
        tx: Sender<Box<v1::AgentFrame>>,
    },
    /// Somebody asks for the status.
    Status(Sender<Status>),
}

/// The control thread's connections with the rest of the process.
pub(crate) struct Shell {
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) traffic: Arc<Executor>,
    pub(crate) upstream: UpstreamClient,
    pub(crate) log: Arc<dyn Log>,
    /// For the tasks that report back.
    pub(crate) inputs: Sender<Input>,
    pub(crate) links: HashMap<LinkId, Sender<Box<v1::AgentFrame>>>,
    /// Calls of the upstream; dropping one stops it.
    pub(crate) calls: HashMap<TaskId, Task<()>>,
    /// Requests to the log: one append, and one read a stream.
    pub(crate) appending: Option<Task<()>>,
    pub(crate) reading: HashMap<Stream, Task<()>>,
}

impl Shell {
    /// Runs until the engine has nothing left to do.
    pub(crate) async fn run(mut self, mut engine: Engine, inputs: Receiver<Input>) {
        loop {
            if self.perform_all(&mut engine) {
                return;
            }
            let Some(first) = self.next(&engine, &inputs).await else {
                continue;
            };
            let rest = std::iter::from_fn(|| inputs.try_recv().ok()).take(MAX_BATCH);
            for input in std::iter::once(first).chain(rest) {
                self.take(&mut engine, input);
            }
        }
    }

    /// Waits for an input, at most until the engine wants to be asked again.
    async fn next(&self, engine: &Engine, inputs: &Receiver<Input>) -> Option<Input> {
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

    fn take(&mut self, engine: &mut Engine, input: Input) {
        match input {
            Input::Event(event) => {
                if let Event::TaskEnded { task, result } = &event {
                    self.calls.remove(task);
                    log_end(engine, *task, result);
                }
                engine.handle(self.clock.now(), event);
            }
            Input::Opened { link, tx } => {
                self.links.insert(link, tx);
            }
            Input::Status(tx) => {
                // Nobody waits for it any more if this fails.
                let _ = tx.try_send(engine.status());
            }
        }
    }

    /// Does what the engine asks for. Returns true when it asks to exit.
    fn perform_all(&mut self, engine: &mut Engine) -> bool {
        loop {
            let actions = engine.take_actions(self.clock.now());
            if actions.is_empty() {
                return false;
            }
            for action in actions {
                match action {
                    Action::Exit => return true,
                    Action::SendFrame { link, frame } => self.send(engine, link, frame),
                    Action::CloseLink { link } => self.close(engine, link),
                    Action::RunTask { task, call } => self.call(task, call),
                    Action::StopTask { task } => drop(self.calls.remove(&task)),
                    Action::Append { body } => self.append(body),
                    Action::Read { stream, from } => self.read(stream, from),
                }
            }
        }
    }

    fn send(&mut self, engine: &mut Engine, link: LinkId, frame: Box<v1::AgentFrame>) {
        let Some(tx) = self.links.get(&link) else {
            return;
        };
        match tx.try_send(frame) {
            Ok(()) => {}
            Err(TrySendError::Full(_)) => {
                spdlog::warn!("an entry does not keep up; its link is closed", kv: { link });
                self.close(engine, link);
            }
            Err(TrySendError::Closed(_)) => self.close(engine, link),
        }
    }

    fn close(&mut self, engine: &mut Engine, link: LinkId) {
        if let Some(tx) = self.links.remove(&link) {
            tx.close();
        }
        engine.handle(self.clock.now(), Event::LinkDown { link });
    }

    fn call(&mut self, task: TaskId, call: Call) {
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

    fn append(&mut self, body: Bytes) {
        let log = self.log.clone();
        let inputs = self.inputs.clone();
        self.appending = Some(self.traffic.spawn(async move {
            let event = match log.append(Stream::Membership.into(), body).await {
                Ok(_) => Event::Appended,
                Err(err) => {
                    spdlog::warn!("the log took no record: {}", err);
                    Event::AppendFailed
                }
            };
            let _ = inputs.send(Input::Event(event)).await;
        }));
    }

    fn read(&mut self, stream: Stream, from: Offset) {
        let log = self.log.clone();
        let inputs = self.inputs.clone();
        let read = self.traffic.spawn(async move {
            let event = match log.read(stream.into(), from, READ_RECORDS).await {
                Ok(batch) => Event::Read { stream, batch },
                Err(err) => read_failed(stream, &err),
            };
            let _ = inputs.send(Input::Event(event)).await;
        });
        self.reading.insert(stream, read);
    }
}

fn read_failed(stream: Stream, err: &LogError) -> Event {
    spdlog::warn!("the stream `{}` could not be read: {}", stream, err);
    let first_retained = match err {
        LogError::Truncated { first_retained } => Some(*first_retained),
        _ => None,
    };
    Event::ReadFailed {
        stream,
        first_retained,
    }
}

fn log_end(engine: &Engine, task: TaskId, result: &TaskResult) {
    let Some((key, index)) = engine.task(task) else {
        return;
    };
    match &result.outcome {
        TaskOutcome::Failed(reason) => log::task(key, index).warn(&format!("failed: {reason}")),
        _ => log::task(key, index).debug("ended"),
    }
}
