//! The loop of the control thread: it passes inputs to the engine, and actions to their runner.

use std::sync::Arc;
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use async_io::Timer;
use futures_lite::FutureExt;
use hemlockhook_types::Clock;

use crate::action_runner::ActionRunner;
use crate::engine::Engine;
use crate::event::Event;

/// Interval between ticks of the engine.
const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// Maximum number of queued inputs processed before actions are run.
const MAX_INPUT_BATCH: usize = 256;

/// A closure that reads the state of the engine on the control thread.
pub type Inspection = Box<dyn FnOnce(&Engine, Instant) + Send>;

/// Input of the control thread.
pub enum Input {
    /// An event for the engine.
    Event(Box<Event>),
    /// A request to read the state of the engine.
    Inspect(Inspection),
}

/// Sends inputs to the control thread.
#[derive(Clone)]
pub struct ControlHandle {
    tx: Sender<Input>,
}

impl ControlHandle {
    /// Creates a handle, and the receiver of its inputs for [`run`].
    pub fn new() -> (Self, Receiver<Input>) {
        let (tx, rx) = async_channel::unbounded();
        (Self { tx }, rx)
    }

    /// Sends an event to the engine. It is lost if the control thread has ended.
    pub fn send(&self, event: Event) {
        let _ = self.tx.try_send(Input::Event(Box::new(event)));
    }

    /// Runs a closure on the engine and returns its result, or `None` if the control thread has
    /// ended.
    pub async fn inspect<T, F>(&self, inspection: F) -> Option<T>
    where
        T: Send + 'static,
        F: FnOnce(&Engine, Instant) -> T + Send + 'static,
    {
        let (tx, rx) = async_channel::bounded(1);
        let boxed: Inspection = Box::new(move |engine, now| {
            let _ = tx.try_send(inspection(engine, now));
        });
        self.tx.try_send(Input::Inspect(boxed)).ok()?;
        rx.recv().await.ok()
    }
}

/// Runs the engine until all handles have been dropped.
pub async fn run(
    mut engine: Engine,
    mut runner: ActionRunner,
    inputs: Receiver<Input>,
    clock: Arc<dyn Clock>,
) {
    let mut next_tick = clock.now();
    while !inputs.is_closed() {
        let first = next_input(&inputs, next_tick).await;
        let now = clock.now();
        let rest = std::iter::from_fn(|| inputs.try_recv().ok()).take(MAX_INPUT_BATCH);
        for input in first.into_iter().chain(rest) {
            apply_input(&mut engine, now, input);
        }
        if now >= next_tick {
            next_tick = now + TICK_INTERVAL;
            engine.handle(now, Event::Tick);
        }
        for action in engine.decide(now) {
            runner.perform(action);
        }
    }
}

/// Waits for an input until the next tick.
async fn next_input(inputs: &Receiver<Input>, next_tick: Instant) -> Option<Input> {
    let input = async { inputs.recv().await.ok() };
    let tick = async {
        Timer::at(next_tick).await;
        None
    };
    input.or(tick).await
}

fn apply_input(engine: &mut Engine, now: Instant, input: Input) {
    match input {
        Input::Event(event) => engine.handle(now, *event),
        Input::Inspect(inspection) => inspection(engine, now),
    }
}
