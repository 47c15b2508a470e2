//! Executor threads: one for control state, others for traffic.

use std::future::Future;
use std::sync::Arc;
use std::thread::{self, JoinHandle};

use async_channel::{Receiver, Sender};

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
        threads.spawn(format!("{name}-control"), control, stopped.clone());
        for index in 0..traffic {
            let traffic = threads.traffic.clone();
            threads.spawn(format!("{name}-traffic-{index}"), traffic, stopped.clone());
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

    fn spawn(&mut self, name: String, ex: Arc<Executor>, stopped: Receiver<()>) {
        let run = move || {
            // An error says that the sender is gone, which is the signal to stop.
            let _ = async_io::block_on(ex.run(stopped.recv()));
        };
        let handle = thread::Builder::new()
            .name(name)
            .spawn(run)
            .expect("the system has threads left at start");
        self.handles.push(handle);
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
