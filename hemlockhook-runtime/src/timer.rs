//! Timeouts that cost little when they do not expire.
//!
//! Each new reactor timer wakes the reactor with a system call. A [`ConnTimer`] keeps one timer for
//! each connection and re-arms it only when it fires or an earlier deadline is set; [`Deadlines`] are
//! checked for expired requests at intervals.

use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, Waker};
use std::time::{Duration, Instant};

use async_io::Timer;
use slab::Slab;

/// The timer of one connection, for hyper.
#[derive(Clone, Debug, Default)]
pub(crate) struct ConnTimer {
    shared: Arc<Mutex<SharedTimer>>,
}

#[derive(Debug)]
struct SharedTimer {
    timer: Timer,
    fires_at: Option<Instant>,
}

impl Default for SharedTimer {
    fn default() -> Self {
        Self {
            timer: Timer::never(),
            fires_at: None,
        }
    }
}

impl SharedTimer {
    fn poll_until(&mut self, cx: &mut Context<'_>, deadline: Instant) -> Poll<()> {
        loop {
            match self.fires_at {
                // A timer that fires before the deadline is re-armed when it fires.
                Some(fires_at) if fires_at <= deadline => {}
                _ => {
                    self.timer.set_at(deadline);
                    self.fires_at = Some(deadline);
                }
            }
            std::task::ready!(Pin::new(&mut self.timer).poll(cx));
            self.fires_at = None;
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

/// Sleeps until one deadline of a connection.
struct ConnSleep {
    shared: Arc<Mutex<SharedTimer>>,
    deadline: Instant,
}

impl Future for ConnSleep {
    type Output = ();

    fn poll(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        let mut timer = self.shared.lock().unwrap_or_else(PoisonError::into_inner);
        timer.poll_until(cx, self.deadline)
    }
}

impl hyper::rt::Sleep for ConnSleep {}

/// The deadlines of pending requests, checked by [`Deadlines::wake_expired`].
#[derive(Debug, Default)]
pub(crate) struct Deadlines {
    waiters: Mutex<Slab<Waiter>>,
}

#[derive(Debug)]
struct Waiter {
    deadline: Instant,
    waker: Waker,
}

impl Deadlines {
    /// Runs a future until a deadline, and returns `None` once it has passed. The future may move the
    /// deadline. Calls `on_wait` the first time that the future is pending.
    pub(crate) async fn until<F, W>(
        &self,
        deadline: &MovableDeadline,
        fut: F,
        on_wait: W,
    ) -> Option<F::Output>
    where
        F: Future,
        W: FnOnce(),
    {
        let mut fut = std::pin::pin!(fut);
        let mut on_wait = Some(on_wait);
        let mut registration = Registration {
            deadlines: self,
            key: None,
        };
        std::future::poll_fn(|cx| match fut.as_mut().poll(cx) {
            Poll::Ready(output) => Poll::Ready(Some(output)),
            Poll::Pending if Instant::now() >= deadline.get() => Poll::Ready(None),
            Poll::Pending => {
                registration.register(deadline.get(), cx.waker());
                if let Some(on_wait) = on_wait.take() {
                    on_wait();
                }
                Poll::Pending
            }
        })
        .await
    }

    /// Returns whether no request is pending.
    pub(crate) fn is_empty(&self) -> bool {
        self.lock().is_empty()
    }

    /// Wakes the requests whose deadlines have passed.
    pub(crate) fn wake_expired(&self, now: Instant) {
        for (_, waiter) in self.lock().iter() {
            if waiter.deadline <= now {
                waiter.waker.wake_by_ref();
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, Slab<Waiter>> {
        self.waiters.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A deadline that a future can move while it runs.
#[derive(Debug)]
pub(crate) struct MovableDeadline(Mutex<Instant>);

impl MovableDeadline {
    pub(crate) fn new(at: Instant) -> Self {
        Self(Mutex::new(at))
    }

    pub(crate) fn set(&self, at: Instant) {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = at;
    }

    fn get(&self) -> Instant {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A request's registration with [`Deadlines`], removed when it is dropped.
struct Registration<'a> {
    deadlines: &'a Deadlines,
    key: Option<usize>,
}

impl Registration<'_> {
    fn register(&mut self, deadline: Instant, waker: &Waker) {
        let mut waiters = self.deadlines.lock();
        match self.key {
            Some(key) => {
                waiters[key].deadline = deadline;
                waiters[key].waker.clone_from(waker);
            }
            None => {
                let waker = waker.clone();
                self.key = Some(waiters.insert(Waiter { deadline, waker }));
            }
        }
    }
}

impl Drop for Registration<'_> {
    fn drop(&mut self) {
        if let Some(key) = self.key {
            self.deadlines.lock().remove(key);
        }
    }
}
