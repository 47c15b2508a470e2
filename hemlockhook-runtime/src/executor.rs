//! Executor threads: one for control state, others for traffic.

use std::future::Future;
use std::sync::Arc;
use std::thread::{self, JoinHandle};

use async_channel::{Receiver, Sender};
use futures_lite::future;

/// The executor that every task of a process runs on.
pub type Executor = async_executor::Executor<'static>;

/// The threads of a process, with the executors that they run.
///
/// Dropping it stops and joins the threads. Tasks that hold the executor must have ended by then,
/// or they are never dropped.
#[derive(Debug)]
pub struct Threads {
    control: Arc<Executor>,
    traffic: Arc<Executor>,
    stop: Sender<()>,
    handles: Vec<JoinHandle<()>>,
}

impl Threads {
    /// Starts one control thread and `traffic` threads for traffic, named after `name`.
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
        threads.spawn(format!("{name}-control"), work(control, stopped.clone()));
        for index in 0..traffic {
            let run = drive(threads.traffic.clone(), stopped.clone());
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
            .expect("the system has threads left at start");
        self.handles.push(handle);
    }
}

/// Returns what a thread does that runs tasks and, between them, waits for sockets and timers.
fn drive(ex: Arc<Executor>, stopped: Receiver<()>) -> impl FnOnce() + Send {
    // An error says that the sender is gone, which is the signal to stop.
    move || {
        let _ = async_io::block_on(ex.run(stopped.recv()));
    }
}

/// Returns what a thread does that runs tasks only. The control thread leaves the sockets to those
/// that read them: each event that it took would cost the wake-up of another thread.
fn work(ex: Arc<Executor>, stopped: Receiver<()>) -> impl FnOnce() + Send {
    move || {
        let _ = future::block_on(ex.run(stopped.recv()));
    }
}

impl Drop for Threads {
    fn drop(&mut self) {
        self.stop.close();
        for handle in self.handles.drain(..) {
            // A thread whose task panicked has printed why.
            let _ = handle.join();
        }
    }
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
