//! The order in which tasks run.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use futures_lite::future;
use googletest::prelude::*;
use hemlockhook_runtime::executor::{Executor, run_with_priority};

const TASKS: usize = 1000;
const STEPS: usize = 100;

/// Each step of a read of the store waited for all requests of callers.
#[gtest]
fn an_urgent_task_does_not_wait_for_all_other_tasks() {
    let (urgent, ex) = (Executor::new(), Executor::new());
    let runs = Arc::new(AtomicUsize::new(0));
    for _ in 0..TASKS {
        let runs = runs.clone();
        let work = async move {
            loop {
                runs.fetch_add(1, Ordering::Relaxed);
                future::yield_now().await;
            }
        };
        ex.spawn(work).detach();
    }
    let seen = runs.clone();
    let steps = urgent.spawn(async move {
        let mut waits = Vec::new();
        while waits.len() < STEPS {
            let before = seen.load(Ordering::Relaxed);
            future::yield_now().await;
            waits.push(seen.load(Ordering::Relaxed) - before);
        }
        waits
    });
    let waits = future::block_on(run_with_priority(&urgent, &ex, steps));
    expect_that!(waits.into_iter().max(), some(le(1)));
}

#[gtest]
fn other_tasks_run_while_urgent_tasks_wait() {
    let (urgent, ex) = (Executor::new(), Executor::new());
    let (tx, rx) = async_channel::bounded(1);
    let received = urgent.spawn(async move { rx.recv().await.ok() });
    ex.spawn(async move {
        for _ in 0..STEPS {
            future::yield_now().await;
        }
        let _ = tx.send(7).await;
    })
    .detach();
    let received = future::block_on(run_with_priority(&urgent, &ex, received));
    expect_that!(received, some(eq(7)));
}
