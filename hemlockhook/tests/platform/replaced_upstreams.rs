//! Upstreams that others of another kind or service replace.

use std::thread;
use std::time::Duration;

use googletest::prelude::*;

use crate::deployment::Deployment;

const ENTRIES: usize = 2;

const RUN_MS: u64 = 60;

/// Time that callers wait for their answer.
const PATIENCE: Duration = Duration::from_millis(1500);

/// Time until the next life announces itself.
const FIRST_HEARTBEAT: Duration = Duration::from_millis(500);

/// Number of jobs that are submitted while the next life has yet to announce itself.
const JOBS: usize = 6;

/// Replaces the only upstream while it is idle, submits jobs before the next life announces itself, and returns
/// the statuses of their answers.
fn submit_around_replacement(
    deployment: &Deployment,
    replace: impl FnOnce(),
    submit: impl Fn(usize, &str) -> Option<u16> + Sync,
) -> Vec<Option<u16>> {
    deployment.wait_for(|_| submit(0, "first") == Some(200));
    let worker = &deployment.workers[0];
    worker.set_quiet(true);
    // A heartbeat under way arrives.
    thread::sleep(Duration::from_millis(200));
    replace();
    let submit = &submit;
    let answers = thread::scope(|scope| {
        let job = |number: usize| {
            thread::sleep(FIRST_HEARTBEAT / JOBS as u32);
            scope.spawn(move || submit(number % ENTRIES, &format!("job-{number}")))
        };
        let callers: Vec<_> = (0..JOBS).map(job).collect();
        worker.set_quiet(false);
        let answer = |caller: thread::ScopedJoinHandle<'_, Option<u16>>| {
            caller.join().expect("the caller does not panic")
        };
        callers.into_iter().map(answer).collect()
    });
    // What is started late shows.
    thread::sleep(Duration::from_millis(500));
    answers
}

/// Guards against the fault of review/14: orders that an entry had placed by the state of the upstream before
/// were started on the next one, which lacks the label that the tasks require.
#[gtest]
fn a_task_is_not_started_on_the_next_upstream_without_its_label() {
    let deployment = Deployment::start("other-kind", ENTRIES, 1);
    let replace = || deployment.workers[0].replace("desk", "b");
    submit_around_replacement(&deployment, replace, |entry, id| {
        let answer = deployment.submit_requiring(entry, id, "a", (2, RUN_MS), PATIENCE);
        answer.map(|(status, _)| status)
    });
    expect_that!(deployment.violations(), is_empty());
}

/// Guards against a job that is held until its deadline although no upstream is up that has its label.
#[gtest]
fn a_job_whose_label_the_next_upstream_lacks_is_refused_for_that() {
    let deployment = Deployment::start("missing-label", 1, 1);
    let answer = |id: &str| deployment.submit_requiring(0, id, "a", (2, RUN_MS), PATIENCE);
    deployment.wait_for(|_| answer("first").is_some_and(|(status, _)| status == 200));
    deployment.workers[0].replace("desk", "b");
    let is_refused = |answer: Option<(u16, String)>| {
        answer.is_some_and(|(status, body)| status == 503 && body.contains("missing_label"))
    };
    deployment.wait_for(|_| is_refused(answer("later")));
    expect_that!(deployment.violations(), is_empty());
}

/// Guards against the same fault where the next upstream is of another service.
#[gtest]
fn a_task_is_not_started_on_the_next_upstream_of_another_service() {
    let deployment = Deployment::start("other-service", ENTRIES, 1);
    let replace = || deployment.workers[0].replace("ledger", "a");
    submit_around_replacement(&deployment, replace, |entry, id| {
        deployment.submit_until(entry, id, (2, RUN_MS), PATIENCE)
    });
    expect_that!(deployment.violations(), is_empty());
}

/// Guards against jobs that are refused or held because the state of the upstream before is still believed: the
/// next one fits, and serves them as soon as it has announced itself.
#[gtest]
fn a_task_is_started_on_the_next_upstream_if_that_has_its_label() {
    let deployment = Deployment::start("same-kind", ENTRIES, 1);
    let replace = || deployment.workers[0].replace("desk", "a");
    submit_around_replacement(&deployment, replace, |entry, id| {
        let answer = deployment.submit_requiring(entry, id, "a", (2, RUN_MS), PATIENCE);
        answer.map(|(status, _)| status)
    });
    let served = || {
        let answer = deployment.submit_requiring(0, "after", "a", (2, RUN_MS), PATIENCE);
        answer.map(|(status, _)| status)
    };
    deployment.wait_for(|_| served() == Some(200));
    expect_that!(deployment.violations(), is_empty());
}
