//! Time-outs that cost little when they do not expire.
//!
//! Every new timer of the reactor wakes it by a system call. A [`ConnTimer`] keeps one for a
//! connection and sets it again only when it fires; [`Deadlines`] look for expired requests at
//! intervals.

use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, Waker};
use std::time::{Duration, Instant};

use async_io::Timer;
use slab::Slab;

/// The timer of one connection, for hyper.
#[derive(Clone, Debug, Default)]
pub(crate) struct ConnTimer {
    shared: Arc<Mutex<Armed>>,
}

#[derive(Debug)]
struct Armed {
    timer: Timer,
    at: Option<Instant>,
}

impl Default for Armed {
    fn default() -> Self {
        Self {
            timer: Timer::never(),
            at: None,
        }
    }
}

impl Armed {
    fn poll_until(&mut self, cx: &mut Context<'_>, deadline: Instant) -> Poll<()> {
        loop {
            match self.at {
                // One that fires too early is set again then.
                Some(at) if at <= deadline => {}
                _ => {
                    self.timer.set_at(deadline);
                    self.at = Some(deadline);
                }
            }
            std::task::ready!(Pin::new(&mut self.timer).poll(cx));
            self.at = None;
            if Instant::now() >= deadline {
                return Poll::Ready(());
            }
        }
    }
}

impl hyper::rt::Timer for ConnTimer {
    fn sleep(&self, duration: Duration) -> Pin<Box<dyn hyper::rt::Sleep>> {
        self.sleep_until(Instant::now() + duration)
    }

    fn sleep_until(&self, deadline: Instant) -> Pin<Box<dyn hyper::rt::Sleep>> {
        Box::pin(ConnSleep {
            shared: self.shared.clone(),
            deadline,
        })
    }
}

/// Waits for one deadline of a connection.
struct ConnSleep {
    shared: Arc<Mutex<Armed>>,
    deadline: Instant,
}

impl Future for ConnSleep {
    type Output = ();

    fn poll(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        let mut armed = self.shared.lock().unwrap_or_else(PoisonError::into_inner);
        armed.poll_until(cx, self.deadline)
    }
}

impl hyper::rt::Sleep for ConnSleep {}

/// Deadlines of many requests, which [`Deadlines::wake_expired`] looks at.
#[derive(Debug, Default)]
pub(crate) struct Deadlines {
    waiting: Mutex<Slab<Waiting>>,
}

#[derive(Debug)]
struct Waiting {
    deadline: Instant,
    waker: Waker,
}

impl Deadlines {
    /// Runs a future until a deadline; returns `None` when it has passed. `on_wait` is called when
    /// the future has to wait.
    pub(crate) async fn until<F, W>(
        &self,
        deadline: Instant,
        fut: F,
        on_wait: W,
    ) -> Option<F::Output>
    where
        F: Future,
        W: FnOnce(),
    {
        let mut fut = std::pin::pin!(fut);
        let mut on_wait = Some(on_wait);
        let mut place = Place {
            deadlines: self,
            key: None,
        };
        std::future::poll_fn(|cx| match fut.as_mut().poll(cx) {
            Poll::Ready(output) => Poll::Ready(Some(output)),
            Poll::Pending if Instant::now() >= deadline => Poll::Ready(None),
            Poll::Pending => {
                place.wait(deadline, cx.waker());
                if let Some(on_wait) = on_wait.take() {
                    on_wait();
                }
                Poll::Pending
            }
        })
        .await
    }

    /// Returns whether no future waits.
    pub(crate) fn is_empty(&self) -> bool {
        self.lock().is_empty()
    }

    /// Wakes the futures whose deadlines have passed.
    pub(crate) fn wake_expired(&self, now: Instant) {
        for (_, waiting) in self.lock().iter() {
            if waiting.deadline <= now {
                waiting.waker.wake_by_ref();
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, Slab<Waiting>> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A place among the deadlines, given up when it is dropped.
struct Place<'a> {
    deadlines: &'a Deadlines,
    key: Option<usize>,
}

impl Place<'_> {
    fn wait(&mut self, deadline: Instant, waker: &Waker) {
        let mut waiting = self.deadlines.lock();
        match self.key {
            Some(key) => waiting[key].waker.clone_from(waker),
            None => {
                let waker = waker.clone();
                self.key = Some(waiting.insert(Waiting { deadline, waker }));
            }
        }
    }
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        if let Some(key) = self.key {
            self.deadlines.lock().remove(key);
        }
    }
}
