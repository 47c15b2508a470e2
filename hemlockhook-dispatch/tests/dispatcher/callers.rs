//! Callers that close their connections.

use std::time::Duration;

use googletest::prelude::*;
use hemlockhook_dispatch::entry::{Action, JobKey, Refusal, Submission};

use super::fixture::{Fixture, job, queue_config, take_granted};

/// Takes the actions, and returns the jobs whose callers are to be checked, and the numbers of orders
/// and of cancels.
fn take(fixture: &mut Fixture) -> (Vec<JobKey>, usize, usize) {
    let mut checks = Vec::new();
    let (mut orders, mut cancels) = (0, 0);
    for action in take_granted(&mut fixture.dispatcher, fixture.now) {
        match action {
            Action::CheckCaller(job) => checks.push(job),
            Action::Run(_) => orders += 1,
            Action::Cancel(..) => cancels += 1,
            Action::Claim(..) | Action::Wake(_) | Action::Answer(..) => {}
        }
    }
    checks.dedup();
    (checks, orders, cancels)
}

#[gtest]
fn a_job_whose_caller_left_before_it_was_read_is_not_started() {
    let mut fixture = Fixture::new(&[1.0], 4);
    let submission = Submission {
        spec: job("left", 1, 50),
        queue_config: queue_config(0),
        caller_timeout: None,
        caller_seen: None,
    };
    let submitted = fixture.dispatcher.submit(fixture.now, submission);
    expect_that!(submitted, err(eq(&Refusal::CallerLeft)));
    expect_that!(take(&mut fixture), eq(&(vec![], 0, 0)));
}

#[gtest]
fn a_queued_job_of_a_caller_that_left_is_not_started() {
    for is_connected in [true, false] {
        let mut fixture = Fixture::new(&[1.0], 1);
        for id in ["a", "b", "c"] {
            expect_that!(fixture.submit(job(id, 1, 50), &queue_config(0)), ok(()));
        }
        let orders = fixture.orders();
        fixture.now += Duration::from_millis(300);
        fixture.end(&orders[0], hemlockhook_dispatch::Outcome::Done);
        let (checks, orders, _) = take(&mut fixture);
        expect_that!(checks.len(), ge(1));
        expect_that!(orders, eq(0));
        match is_connected {
            true => fixture.dispatcher.callers_seen(fixture.now, &checks, &[]),
            false => fixture.dispatcher.callers_seen(fixture.now, &[], &checks),
        }
        let (_, orders, _) = take(&mut fixture);
        expect_that!(orders, eq(usize::from(is_connected)));
    }
}

#[gtest]
fn the_tasks_of_a_caller_that_left_are_cancelled_at_the_next_check() {
    let mut fixture = Fixture::new(&[1.0], 4);
    expect_that!(fixture.submit(job("a", 2, 900), &queue_config(0)), ok(()));
    expect_that!(fixture.orders().len(), eq(2));
    fixture.now += Duration::from_millis(200);
    fixture.dispatcher.tick(fixture.now);
    let (checks, ..) = take(&mut fixture);
    expect_that!(checks.len(), eq(1));
    fixture.dispatcher.callers_seen(fixture.now, &[], &checks);
    expect_that!(take(&mut fixture), eq(&(vec![], 0, 2)));
    expect_that!(fixture.dispatcher.jobs(), eq(0));
}

#[gtest]
fn an_entry_whose_checks_of_callers_are_late_is_not_reported_as_alive() {
    let mut fixture = Fixture::new(&[1.0], 4);
    let is_alive = |fixture: &Fixture| fixture.dispatcher.are_callers_checked(fixture.now);
    fixture.now += Duration::from_millis(100);
    expect_that!(fixture.submit(job("a", 1, 900), &queue_config(0)), ok(()));
    expect_that!(fixture.orders().len(), eq(1));
    expect_that!(is_alive(&fixture), eq(true));
    // An idle entry ticks every 200 ms.
    fixture.now += Duration::from_millis(200);
    expect_that!(is_alive(&fixture), eq(true));
    fixture.now += Duration::from_millis(100);
    expect_that!(is_alive(&fixture), eq(false));
    fixture.dispatcher.tick(fixture.now);
    let (checks, ..) = take(&mut fixture);
    fixture.dispatcher.callers_seen(fixture.now, &checks, &[]);
    expect_that!(is_alive(&fixture), eq(true));
}
