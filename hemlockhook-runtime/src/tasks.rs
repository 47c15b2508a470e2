//! Sets of tasks that are cancelled together, and the signal to stop.

use std::future::{Future, poll_fn};
use std::pin::pin;
use std::sync::{Arc, Mutex, PoisonError};
use std::task::Poll;

use async_channel::{Receiver, Sender};
use async_executor::Task;
use slab::Slab;

use crate::executor::Executor;

/// Tasks spawned by one owner. Dropping the set cancels those that still run.
pub(crate) struct TaskSet {
    ex: Arc<Executor>,
    tasks: Arc<Mutex<Slab<Option<Task<()>>>>>,
    alive: Sender<()>,
    all_ended: Receiver<()>,
}

impl TaskSet {
    pub(crate) fn new(ex: Arc<Executor>) -> Self {
        let (alive, all_ended) = async_channel::bounded(1);
        Self {
            ex,
            tasks: Arc::default(),
            alive,
            all_ended,
        }
    }

    /// Returns the number of tasks that have not ended.
    pub(crate) fn len(&self) -> usize {
        self.tasks
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .len()
    }

    /// Spawns a task that leaves the set when it ends.
    pub(crate) fn spawn<F>(&self, fut: F)
    where
        F: Future<Output = ()> + Send + 'static,
    {
        let mut tasks = self.tasks.lock().unwrap_or_else(PoisonError::into_inner);
        let key = tasks.insert(None);
        let leave = Leave {
            tasks: self.tasks.clone(),
            key,
            _alive: self.alive.clone(),
        };
        let task = self.ex.spawn(async move {
            let _leave = leave;
            fut.await;
        });
        tasks[key] = Some(task);
    }

    /// Waits until every task has ended.
    pub(crate) async fn join(mut self) {
        let (closed, _) = async_channel::bounded(1);
        self.alive = closed;
        // Nothing is sent: it returns an error once the last task has dropped its sender.
        let _ = self.all_ended.recv().await;
    }
}

impl Drop for TaskSet {
    fn drop(&mut self) {
        let running = {
            let mut tasks = self.tasks.lock().unwrap_or_else(PoisonError::into_inner);
            tasks
                .iter_mut()
                .filter_map(|(_, task)| task.take())
                .collect::<Vec<_>>()
        };
        // Dropped without the lock, which a task takes when it is dropped.
        drop(running);
    }
}

/// Takes a task out of its set when the task ends or is cancelled.
struct Leave {
    tasks: Arc<Mutex<Slab<Option<Task<()>>>>>,
    key: usize,
    _alive: Sender<()>,
}

impl Drop for Leave {
    fn drop(&mut self) {
        let mut tasks = self.tasks.lock().unwrap_or_else(PoisonError::into_inner);
        let task = tasks.remove(self.key);
        drop(tasks);
        // Dropping the handle of a running task would cancel it while it ends.
        if let Some(task) = task {
            task.detach();
        }
    }
}

/// Waits until a channel is closed.
///
/// It must be polled by one task: later polls cost no more than a look at the channel.
pub(crate) async fn closed(stop: &Receiver<()>) {
    let mut recv = pin!(stop.recv());
    let mut is_registered = false;
    poll_fn(|cx| {
        if stop.is_closed() {
            return Poll::Ready(());
        }
        if !is_registered {
            is_registered = true;
            return recv.as_mut().poll(cx).map(drop);
        }
        Poll::Pending
    })
    .await;
}
