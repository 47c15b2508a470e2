//! Executors, and the threads that run them: one for control state, the others for network traffic.

use std::future::Future;
use std::sync::Arc;
use std::thread::{self, JoinHandle};

use async_channel::{Receiver, Sender};
use futures_lite::{FutureExt, future};

/// The type of the executors that the tasks of a process run on.
pub type Executor = async_executor::Executor<'static>;

/// The threads of a process and the executors that they run.
///
/// Dropping it stops and joins the threads. Tasks that hold a reference to the executor must have
/// ended by then: the reference cycle would keep them from ever being dropped.
#[derive(Debug)]
pub struct Threads {
    control: Arc<Executor>,
    traffic: Arc<Executor>,
    stop: Sender<()>,
    handles: Vec<JoinHandle<()>>,
}

impl Threads {
    /// Starts one control thread and `traffic` traffic threads, whose names start with `name`.
    pub fn start(name: &str, traffic: usize) -> Self {
        assert!(traffic > 0, "a process needs at least one traffic thread");
        let (stop, stopped) = async_channel::bounded(1);
        let mut threads = Self {
            control: Arc::new(Executor::new()),
            traffic: Arc::new(Executor::new()),
            stop,
            handles: Vec::with_capacity(traffic + 1),
        };

        let control = threads.control.clone();
        threads.spawn(
            format!("{name}-control"),
            run_without_reactor(control, stopped.clone()),
        );
        for index in 0..traffic {
            let run = run_with_reactor(threads.traffic.clone(), stopped.clone());
            threads.spawn(format!("{name}-traffic-{index}"), run);
        }
        threads
    }

    /// Returns the executor of the control thread.
    pub fn control(&self) -> Arc<Executor> {
        self.control.clone()
    }

    /// Returns the executor of the traffic threads.
    pub fn traffic(&self) -> Arc<Executor> {
        self.traffic.clone()
    }

    /// Stops the threads and waits for them.
    pub fn stop(self) {
        drop(self);
    }

    fn spawn<F>(&mut self, name: String, run: F)
    where
        F: FnOnce() + Send + 'static,
    {
        let handle = thread::Builder::new()
            .name(name)
            .spawn(run)
            .expect("failed to spawn a thread");
        self.handles.push(handle);
    }
}

/// Returns a thread body that runs tasks and polls the reactor (sockets and timers) between them.
fn run_with_reactor(ex: Arc<Executor>, stopped: Receiver<()>) -> impl FnOnce() + Send {
    // The channel carries no messages: closing it ends `recv` with an error and stops the thread.
    move || {
        let _ = async_io::block_on(ex.run(stopped.recv()));
    }
}

/// Returns a thread body that runs tasks without polling the reactor. The control thread leaves
/// socket events to the traffic threads that handle them: each event that it polled would cost a
/// wake-up of another thread.
fn run_without_reactor(ex: Arc<Executor>, stopped: Receiver<()>) -> impl FnOnce() + Send {
    move || {
        let _ = future::block_on(ex.run(stopped.recv()));
    }
}

impl Drop for Threads {
    fn drop(&mut self) {
        self.stop.close();
        for handle in self.handles.drain(..) {
            // A panic has already been reported by the panic hook.
            let _ = handle.join();
        }
    }
}

/// Number of tasks that run between two polls of the reactor. Until the next poll no socket or timer
/// wakes an urgent task.
const TASKS_PER_POLL: usize = 64;

/// Runs a future and the tasks of two executors on the current thread, until the future completes.
///
/// A task of `ex` runs only when no task of `urgent` can run. Urgent tasks make progress even if the
/// thread doesn't keep up with those of `ex`; in one queue, each of their steps would wait for all
/// other tasks.
pub async fn run_with_priority<F>(urgent: &Executor, ex: &Executor, fut: F) -> F::Output
where
    F: Future,
{
    let run_tasks = async {
        loop {
            for _ in 0..TASKS_PER_POLL {
                if !urgent.try_tick() && !ex.try_tick() {
                    future::or(urgent.tick(), ex.tick()).await;
                }
            }
            // The caller polls the reactor.
            future::yield_now().await;
        }
    };
    fut.or(run_tasks).await
}

/// Lets hyper spawn tasks on an [`Executor`].
#[derive(Clone, Debug)]
pub struct HyperExecutor(pub Arc<Executor>);

impl<F> hyper::rt::Executor<F> for HyperExecutor
where
    F: Future + Send + 'static,
    F::Output: Send + 'static,
{
    fn execute(&self, fut: F) {
        self.0.spawn(fut).detach();
    }
}
