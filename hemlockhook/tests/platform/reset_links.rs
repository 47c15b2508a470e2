//! Links that break at the moment at which an entry cancels what it ordered.

use std::thread;
use std::time::{Duration, Instant};

use googletest::prelude::*;
use http::Method;

use crate::deployment::Deployment;

/// Run time of the tasks. None of them ends by itself within a test.
const RUN_MS: u64 = 8000;

/// Time after which a caller submits an unanswered job again.
const RESUBMIT_DELAY: Duration = Duration::from_millis(1300);

/// Time for which what an entry sends lies in the relay until the links are reset. It is shorter than
/// the time after which an agent stops what a silent entry ordered.
const HELD_UP: Duration = Duration::from_millis(120);

/// Time for which callers wait.
const PATIENCE: Duration = Duration::from_millis(400);

/// What ends a job whose tasks run.
#[derive(Clone, Copy)]
enum Ending {
    CallerLeaves,
    Delete,
    Deadline,
}

/// Submits a job of one task, loses the cancel that follows with all links, and checks that the task does
/// not run on until the job may be submitted again.
fn check_lost_cancel(name: &str, ending: Ending) {
    let deployment = Deployment::start_relayed(name, 1, 2);
    let relay = &deployment.agent_links[0];
    thread::scope(|scope| {
        let (deployment, submitted) = (&deployment, Instant::now());
        scope.spawn(move || match ending {
            Ending::CallerLeaves => deployment.submit_until(0, "a", (1, RUN_MS), PATIENCE),
            Ending::Delete => deployment.submit(0, "a", 1, RUN_MS),
            Ending::Deadline => deployment.submit_waiting(0, "a", (1, RUN_MS), PATIENCE),
        });
        deployment.wait_for(|deployment| !deployment.running_tasks().is_empty());
        thread::sleep((PATIENCE - HELD_UP / 2).saturating_sub(submitted.elapsed()));
        relay.set_partitioned(true);
        if let Ending::Delete = ending {
            let answer = deployment.send_request(0, Method::DELETE, "/desk/a", String::new());
            expect_that!(answer.map(|(status, ..)| status), some(eq(200)));
        }
        thread::sleep(HELD_UP);
        relay.reset();
        thread::sleep(HELD_UP / 2);
        relay.set_partitioned(false);
        thread::sleep(RESUBMIT_DELAY - HELD_UP * 2);
        expect_that!(deployment.running_tasks(), is_empty());
    });
    expect_that!(deployment.violations(), is_empty());
}

/// Guards against the fault of review/1: the cancel was sent once, and the task ran on beside the one
/// of the job that was submitted again.
#[gtest]
fn a_task_whose_cancel_was_lost_with_its_link_is_stopped_when_its_caller_has_left() {
    check_lost_cancel("lost-leave", Ending::CallerLeaves);
}

/// Guards against the fault of review/1 where a DELETE ends the job.
#[gtest]
fn a_task_whose_cancel_was_lost_with_its_link_is_stopped_after_a_delete() {
    check_lost_cancel("lost-delete", Ending::Delete);
}

/// Guards against the fault of review/1 where the deadline of the caller ends the job.
#[gtest]
fn a_task_whose_cancel_was_lost_with_its_link_is_stopped_after_its_deadline() {
    check_lost_cancel("lost-deadline", Ending::Deadline);
}
