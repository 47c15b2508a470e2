//! Sets of tasks that are cancelled together, and waiting for a stop signal.

use std::future::{Future, poll_fn};
use std::pin::pin;
use std::sync::{Arc, Mutex, PoisonError};
use std::task::Poll;

use async_channel::{Receiver, Sender};
use async_executor::Task;
use slab::Slab;

use crate::executor::Executor;

/// The tasks of one owner. Dropping the set cancels those that are still running.
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

    /// Spawns a task, which is removed from the set when it ends.
    pub(crate) fn spawn<F>(&self, fut: F)
    where
        F: Future<Output = ()> + Send + 'static,
    {
        let mut tasks = self.tasks.lock().unwrap_or_else(PoisonError::into_inner);
        let key = tasks.insert(None);
        let guard = RemoveOnDrop {
            tasks: self.tasks.clone(),
            key,
            _alive: self.alive.clone(),
        };
        let task = self.ex.spawn(async move {
            let _guard = guard;
            fut.await;
        });
        tasks[key] = Some(task);
    }

    /// Waits until every task has ended.
    pub(crate) async fn join(mut self) {
        let (closed, _) = async_channel::bounded(1);
        self.alive = closed;
        // Nothing is ever sent: `recv` fails once the last task has dropped its sender.
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
        // Dropped after the lock is released: dropping a task runs its `RemoveOnDrop`, which locks.
        drop(running);
    }
}

/// Removes a task from its set when the task ends or is cancelled.
struct RemoveOnDrop {
    tasks: Arc<Mutex<Slab<Option<Task<()>>>>>,
    key: usize,
    _alive: Sender<()>,
}

impl Drop for RemoveOnDrop {
    fn drop(&mut self) {
        let mut tasks = self.tasks.lock().unwrap_or_else(PoisonError::into_inner);
        let task = tasks.remove(self.key);
        drop(tasks);
        // Dropping the handle would cancel the task, which is still running its last poll.
        if let Some(task) = task {
            task.detach();
        }
    }
}

/// Waits until a channel is closed.
///
/// Must be polled by a single task: only the first poll registers a waker, and later ones just check
/// the channel.
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
