//! Simulated execution of tasks at an upstream stand-in, under the control of the worker stand-in.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use async_io::Timer;
use futures_lite::{FutureExt, future};
use hemlockhook_ports::{TaskUsage, ThrottlePercent};
use hemlockhook_types::Clock;

/// Maximum number of commands queued for one task.
const MAX_QUEUED_COMMANDS: usize = 16;

/// A task's full speed.
const FULL_SPEED: ThrottlePercent = 100;

/// A command of the platform to a running task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Command {
    /// Limits the task to a percentage of its full speed.
    Throttle(ThrottlePercent),
    /// Suspends the task for this time, after which it continues without loss of progress.
    Checkpoint(Duration),
    /// Stops the task permanently.
    Stop,
}

/// How the run of a task ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RunOutcome {
    Finished,
    Stopped,
}

/// Table of the tasks that run at one upstream, by name (`key/index`). Clones share the table.
#[derive(Clone)]
pub struct RunningTasks {
    clock: Arc<dyn Clock>,
    tasks: Arc<Mutex<HashMap<String, RunningTask>>>,
}

struct RunningTask {
    started: Instant,
    percent: ThrottlePercent,
    command_tx: Sender<Command>,
}

impl RunningTasks {
    /// Creates an empty table.
    pub fn new(clock: Arc<dyn Clock>) -> Self {
        Self {
            clock,
            tasks: Arc::default(),
        }
    }

    /// Runs a task by sleeping for its run time, which throttling and checkpoints extend.
    pub(crate) async fn run(&self, name: &str, run_time: Duration) -> RunOutcome {
        let (command_tx, command_rx) = async_channel::bounded(MAX_QUEUED_COMMANDS);
        let task = RunningTask {
            started: self.clock.now(),
            percent: FULL_SPEED,
            command_tx,
        };
        self.lock().insert(name.to_owned(), task);
        let _guard = RemoveOnDrop { table: self, name };
        run_until_done(&*self.clock, &command_rx, run_time).await
    }

    /// Sends a command to a task. Returns whether the task runs here and its queue has room.
    pub(crate) fn send(&self, name: &str, command: Command) -> bool {
        let mut tasks = self.lock();
        let Some(task) = tasks.get_mut(name) else {
            return false;
        };
        if let Command::Throttle(percent) = command {
            task.percent = percent;
        }
        task.command_tx.try_send(command).is_ok()
    }

    /// Returns the usage of each running task.
    pub(crate) fn usage(&self) -> Vec<TaskUsage> {
        let now = self.clock.now();
        let usage = |(name, task): (&String, &RunningTask)| TaskUsage {
            task: name.clone(),
            run_ms: now.duration_since(task.started).as_millis() as u64,
            percent: task.percent,
        };
        self.lock().iter().map(usage).collect()
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<String, RunningTask>> {
        self.tasks.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Removes a task from the table when its run ends or is cancelled.
struct RemoveOnDrop<'a> {
    table: &'a RunningTasks,
    name: &'a str,
}

impl Drop for RemoveOnDrop<'_> {
    fn drop(&mut self) {
        self.table.lock().remove(self.name);
    }
}

/// Sleeps until the run time has passed, scaled by the speed that commands set, or until the task
/// is stopped.
async fn run_until_done(
    clock: &dyn Clock,
    commands: &Receiver<Command>,
    run_time: Duration,
) -> RunOutcome {
    let mut remaining = run_time;
    let mut percent = FULL_SPEED;
    loop {
        let started = clock.now();
        let sleep = async {
            Timer::after(remaining * u32::from(FULL_SPEED) / u32::from(percent)).await;
            None
        };
        let command = async {
            match commands.recv().await {
                Ok(command) => Some(command),
                // Another run of the same task has replaced this one's entry in the table.
                Err(_) => future::pending().await,
            }
        };
        let received = command.or(sleep).await;

        let elapsed = clock.now().duration_since(started);
        remaining = remaining.saturating_sub(elapsed * u32::from(percent) / u32::from(FULL_SPEED));
        match received {
            None => return RunOutcome::Finished,
            Some(Command::Stop) => return RunOutcome::Stopped,
            Some(Command::Throttle(new_percent)) => percent = new_percent.clamp(1, FULL_SPEED),
            Some(Command::Checkpoint(pause)) => {
                Timer::after(pause).await;
            }
        }
    }
}
