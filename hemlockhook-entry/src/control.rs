//! The control thread's loop: inputs to the engine, its actions to the runner.

use std::sync::Arc;
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use async_io::Timer;
use futures_lite::FutureExt;
use hemlockhook_types::Clock;

use crate::action_runner::ActionRunner;
use crate::engine::Engine;
use crate::event::Event;

/// Time between two ticks of the engine.
const TICK: Duration = Duration::from_millis(20);

/// Inputs taken before the engine decides.
const MAX_INPUT_BATCH: usize = 256;

/// Looks at the engine on the control thread.
pub type Inspection = Box<dyn FnOnce(&Engine, Instant) + Send>;

/// What reaches the control thread.
pub enum Input {
    /// Something for the engine.
    Event(Box<Event>),
    /// Somebody looks at the engine.
    Inspect(Inspection),
}

/// Sends inputs to the control thread.
#[derive(Clone)]
pub struct ControlHandle {
    tx: Sender<Input>,
}

impl ControlHandle {
    /// Creates the sender of inputs and their receiver, which is for [`run`].
    pub fn new() -> (Self, Receiver<Input>) {
        let (tx, rx) = async_channel::unbounded();
        (Self { tx }, rx)
    }

    /// Passes an event on. It is lost if the control thread has ended.
    pub fn send(&self, event: Event) {
        let _ = self.tx.try_send(Input::Event(Box::new(event)));
    }

    /// Looks at the engine; returns nothing if the control thread has ended.
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

/// Runs the engine until every sender of inputs is gone.
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
            next_tick = now + TICK;
            engine.handle(now, Event::Tick);
        }
        for action in engine.decide(now) {
            runner.perform(action);
        }
    }
}

/// Waits for an input, at most until the next tick.
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
