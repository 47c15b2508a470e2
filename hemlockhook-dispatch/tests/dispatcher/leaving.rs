//! Shutdown of an entry with unanswered jobs.

use std::time::Duration;

use googletest::prelude::*;
use hemlockhook_dispatch::entry::{Action, Answer, Refusal};
use hemlockhook_dispatch::{ClaimAnswer, ClaimChange, ClaimStatus, Outcome};

use crate::fixture::{Fixture, job, queue_config, state};

fn refused() -> Answer {
    Answer::NotRun(Refusal::Leaving)
}

/// Guards against jobs that wait for capacity at SIGTERM and are never answered.
#[gtest]
fn queued_jobs_are_refused_at_once_and_begun_ones_go_on() {
    let mut fixture = Fixture::new(&[1.0], 1);
    for id in ["begun", "queued"] {
        expect_that!(fixture.submit(job(id, 3, 50), &queue_config(0)), ok(()));
    }
    let orders = fixture.orders();
    expect_that!(orders.len(), eq(2));
    fixture.dispatcher.leave(fixture.now);
    expect_that!(fixture.answers(), eq(&vec![refused()]));

    fixture.end(&orders[0], Outcome::Done);
    let last = fixture.orders();
    expect_that!(last.len(), eq(1));
    fixture.end(&orders[1], Outcome::Done);
    fixture.end(&last[0], Outcome::Done);
    expect_that!(fixture.answers(), eq(&vec![Answer::Completed]));
}

/// Guards against a job that is admitted for a claim under way, which nothing else would answer.
#[gtest]
fn a_job_whose_claim_is_pending_is_refused_at_once() {
    let mut fixture = Fixture::new(&[1.0; 3], 4);
    expect_that!(fixture.submit(job("a", 1, 50), &queue_config(0)), ok(()));
    fixture.dispatcher.leave(fixture.now);
    expect_that!(fixture.answers(), eq(&vec![refused()]));
    expect_that!(fixture.orders(), is_empty());
}

/// Guards against a job that is returned unstarted after the entry began to refuse jobs, and would
/// wait for capacity again.
#[gtest]
fn a_job_that_is_returned_unstarted_is_refused() {
    let mut fixture = Fixture::new(&[1.0], 4);
    expect_that!(fixture.submit(job("a", 1, 50), &queue_config(0)), ok(()));
    let order = fixture.orders().remove(0);
    fixture.dispatcher.leave(fixture.now);
    expect_that!(fixture.answers(), is_empty());
    fixture.end(&order, Outcome::NotStarted);
    expect_that!(fixture.answers(), eq(&vec![refused()]));
}

/// Guards against a false "not run" of a job that another entry may run, and against its start here
/// after that entry has released it.
#[gtest]
fn a_job_that_another_entry_has_is_refused_only_once_it_is_released() {
    for is_released in [true, false] {
        let mut fixture = Fixture::new(&[1.0; 3], 4);
        expect_that!(fixture.submit(job("a", 1, 50), &queue_config(0)), ok(()));
        let made = fixture.dispatcher.take_actions().into_iter();
        let made = made.filter_map(|action| match action {
            Action::Claim(agent, claim) => Some((agent, claim)),
            _ => None,
        });
        let (agent, claim) = made.take(1).next().expect("the job is claimed");
        expect_that!(matches!(claim.change, ClaimChange::Made { .. }), eq(true));
        let tell = |fixture: &mut Fixture, status| {
            let answer = ClaimAnswer {
                job: claim.job.clone(),
                number: claim.number,
                status,
            };
            let now = fixture.now;
            fixture.dispatcher.claim_answered(now, agent, &answer);
        };
        tell(&mut fixture, ClaimStatus::Waiting);
        fixture.dispatcher.leave(fixture.now);
        expect_that!(fixture.answers(), is_empty());
        let expected = match is_released {
            true => {
                tell(&mut fixture, ClaimStatus::Granted);
                refused()
            }
            false => {
                fixture.dispatcher.expire(fixture.now);
                Answer::TimedOut
            }
        };
        expect_that!(fixture.answers(), eq(&vec![expected]));
        expect_that!(fixture.orders(), is_empty());
    }
}

/// Guards against a false "not run" while a task of the same job, which was submitted here before, may
/// run.
#[gtest]
fn a_job_whose_earlier_tasks_may_run_is_refused_after_their_end() {
    let mut fixture = Fixture::new(&[1.0], 4);
    let submitted = fixture.submit_key(job("a", 1, 50), &queue_config(0));
    let order = fixture.orders().remove(0);
    fixture.dispatcher.abandon(fixture.now, submitted);
    expect_that!(fixture.submit(job("a", 1, 50), &queue_config(0)), ok(()));
    fixture.dispatcher.leave(fixture.now);
    expect_that!(fixture.answers(), is_empty());
    fixture.end(&order, Outcome::Lost);
    expect_that!(fixture.answers(), eq(&vec![refused()]));
}

/// Guards against connections that are closed without an answer at the end of the grace period.
#[gtest]
fn all_jobs_are_answered_at_the_end_of_the_grace_period() {
    let mut fixture = Fixture::new(&[1.0], 4);
    expect_that!(fixture.submit(job("a", 1, 50), &queue_config(0)), ok(()));
    expect_that!(fixture.orders().len(), eq(1));
    fixture.dispatcher.leave(fixture.now);
    fixture.now += Duration::from_secs(3);
    fixture.set_state(0, state(1.0, 4, 4));
    fixture.dispatcher.expire(fixture.now);
    expect_that!(fixture.answers(), eq(&vec![Answer::TimedOut]));
}
