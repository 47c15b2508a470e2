//! Requests that a forwarder before an entry holds until their callers have left, and whose callers'
//! closes it passes on later still.

use std::thread;
use std::time::{Duration, Instant};

use googletest::prelude::*;

use crate::deployment::Deployment;

/// Number of jobs of a test.
const JOBS: usize = 8;

/// Time for which the callers of the held requests wait.
const PATIENCE: Duration = Duration::from_millis(1000);

/// Time after which a caller submits an unanswered job again.
const RESUBMIT_DELAY: Duration = Duration::from_millis(1300);

/// Time from the release of the requests to that of the closes.
const END_LAG: Duration = Duration::from_millis(1000);

/// Interval between checks whether tasks run.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Run time of the tasks, in milliseconds.
const RUN_MS: u64 = 600;

/// When the held requests of a job reach their entry.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Late {
    /// With the job that is submitted again.
    Together,
    /// So that their tasks run when the job is submitted again.
    Before,
    /// While the tasks of the job that was submitted again run.
    After,
}

/// Submits jobs at an entry whose forwarder holds them until the callers have submitted them again at
/// another entry, and checks that no task runs twice at once and that the callers are answered.
fn check_late_requests(name: &str, late: Late) {
    let deployment = Deployment::start_relayed(name, 2, 4);
    let relay = &deployment.caller_links[0];
    relay.set_requests_held(true);
    relay.set_ends_held(true);
    thread::scope(|scope| {
        let deployment = &deployment;
        for job in 0..JOBS {
            scope.spawn(move || {
                let id = format!("l{job}");
                let answer = deployment.submit_until(0, &id, (1, RUN_MS), PATIENCE);
                assert_eq!(answer, None, "the forwarder holds {id}");
            });
        }
    });
    thread::sleep(RESUBMIT_DELAY);
    let are_all_started =
        |deployment: &Deployment| deployment.observe(|seen| seen.starts.len()) == JOBS;
    let answers: Vec<_> = thread::scope(|scope| {
        if late == Late::Before {
            relay.set_requests_held(false);
            // An entry may also leave late requests alone.
            let released = Instant::now();
            while !are_all_started(&deployment) && released.elapsed() < PATIENCE {
                thread::sleep(POLL_INTERVAL);
            }
        }
        let submit = |job| {
            let deployment = &deployment;
            scope.spawn(move || deployment.submit(1, &format!("l{job}"), 1, RUN_MS))
        };
        let callers: Vec<_> = (0..JOBS).map(submit).collect();
        if late == Late::After {
            deployment.wait_for(are_all_started);
        }
        relay.set_requests_held(false);
        thread::sleep(END_LAG);
        relay.set_ends_held(false);
        let answers = callers.into_iter().map(|caller| caller.join());
        answers
            .map(|answer| answer.expect("the thread did not panic"))
            .collect()
    });
    expect_that!(answers, each(some(eq(&200))));
    expect_that!(deployment.violations(), is_empty());
}

#[gtest]
fn a_job_that_a_late_request_brings_to_a_second_entry_never_runs_twice_at_once() {
    check_late_requests("late", Late::Together);
}

#[gtest]
fn a_job_whose_late_request_runs_already_never_runs_twice_at_once() {
    check_late_requests("late-before", Late::Before);
}

#[gtest]
fn a_late_request_disturbs_no_job_that_runs_at_another_entry() {
    check_late_requests("late-after", Late::After);
}
