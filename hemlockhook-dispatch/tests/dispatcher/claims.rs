//! Claims to jobs at agents.

use std::time::Duration;

use googletest::prelude::*;
use hemlockhook_dispatch::entry::{Action, AgentKey, AgentReport, Answer, JobKey, Submission};
use hemlockhook_dispatch::{
    AttemptEnd, Claim, ClaimAnswer, ClaimChange, ClaimStatus, HeldAttempts, Outcome,
};

use crate::fixture::{Fixture, hello, job, queue_config, state};

/// An entry whose claims a test answers.
struct Entry {
    fixture: Fixture,
    job: JobKey,
    /// Claims that were made and not answered.
    made: Vec<(AgentKey, Claim)>,
    released: Vec<(AgentKey, Claim)>,
    cancelled: Vec<(AgentKey, Claim)>,
    orders: usize,
    cancels: usize,
    answers: Vec<Answer>,
}

impl Entry {
    /// Creates an entry with three agents, at which a job of two tasks is submitted.
    fn new() -> Self {
        let mut fixture = Fixture::new(&[1.0; 3], 4);
        let job = submit(&mut fixture);
        let mut entry = Self {
            fixture,
            job,
            made: Vec::new(),
            released: Vec::new(),
            cancelled: Vec::new(),
            orders: 0,
            cancels: 0,
            answers: Vec::new(),
        };
        entry.collect();
        entry
    }

    fn collect(&mut self) {
        for action in self.fixture.dispatcher.take_actions() {
            match action {
                Action::Run(_) => self.orders += 1,
                Action::Cancel(..) => self.cancels += 1,
                Action::Answer(_, answer) => self.answers.push(answer),
                Action::Claim(agent, claim) => match claim.change {
                    ClaimChange::Made { .. } => self.made.push((agent, claim)),
                    ClaimChange::Released => self.released.push((agent, claim)),
                    ClaimChange::Cancelled { .. } => self.cancelled.push((agent, claim)),
                },
                Action::CheckCaller(_) | Action::Wake(_) => {}
            }
        }
    }

    /// Tells of the state of a claim.
    fn tell(&mut self, (agent, claim): &(AgentKey, Claim), status: ClaimStatus) {
        let answer = ClaimAnswer {
            job: claim.job.clone(),
            number: claim.number,
            status,
        };
        let now = self.fixture.now;
        self.fixture.dispatcher.claim_answered(now, *agent, &answer);
        self.collect();
    }

    /// Grants all claims that were made.
    fn grant_all(&mut self) -> Vec<(AgentKey, Claim)> {
        let made = std::mem::take(&mut self.made);
        for claim in &made {
            self.tell(claim, ClaimStatus::Granted);
        }
        made
    }

    fn advance(&mut self, millis: u64) {
        self.fixture.now += Duration::from_millis(millis);
        self.fixture.dispatcher.tick(self.fixture.now);
        self.collect();
    }
}

fn submit(fixture: &mut Fixture) -> JobKey {
    let submission = Submission {
        spec: job("a", 2, 50),
        queue_config: queue_config(0),
        caller_timeout: Some(Duration::from_secs(5)),
        caller_seen: Some(fixture.now),
    };
    let submitted = fixture.dispatcher.submit(fixture.now, submission);
    submitted.expect("there is free capacity")
}

#[gtest]
fn no_task_is_placed_before_both_agents_have_granted_the_claim() {
    let mut entry = Entry::new();
    expect_that!(entry.made.len(), eq(2));
    let first = entry.made.remove(0);
    entry.tell(&first, ClaimStatus::Granted);
    expect_that!(entry.orders, eq(0));
    entry.grant_all();
    expect_that!(entry.orders, eq(2));
}

#[gtest]
fn a_job_that_another_entry_has_waits_for_its_end() {
    let mut entry = Entry::new();
    let made = std::mem::take(&mut entry.made);
    entry.tell(&made[0], ClaimStatus::Waiting);
    // Two entries must not wait for each other at one agent each.
    expect_that!(entry.released, eq(&vec![released(&made[1])]));
    entry.tell(&made[1], ClaimStatus::Granted);
    entry.advance(50);
    expect_that!(entry.orders, eq(0));

    entry.tell(&made[0], ClaimStatus::Granted);
    expect_that!(entry.orders, eq(0));
    expect_that!(entry.made.len(), eq(1));
    expect_that!(entry.made[0].0, eq(made[1].0));
    entry.grant_all();
    expect_that!(entry.orders, eq(2));
}

#[gtest]
fn the_other_agent_decides_where_one_does_not_answer() {
    let mut entry = Entry::new();
    let made = std::mem::take(&mut entry.made);
    entry.tell(&made[1], ClaimStatus::Granted);
    for millis in [0, 50, 40] {
        entry.advance(millis);
        expect_that!(entry.orders, eq(0));
        expect_that!(entry.made, is_empty());
    }
    entry.advance(20);
    expect_that!(entry.orders, eq(0));
    // The third agent takes the place of the silent one.
    entry.grant_all();
    expect_that!(entry.orders, eq(2));
}

/// Guards against two entries with one job, one of which had lost the links of all agents but one.
#[gtest]
fn an_entry_that_has_lost_all_agents_but_one_waits_for_another() {
    let mut fixture = Fixture::new(&[1.0; 2], 4);
    let unlinked = fixture.agents[1];
    fixture.dispatcher.unlinked(fixture.now, unlinked);
    submit(&mut fixture);
    expect_that!(fixture.orders(), is_empty());
    let linked = fixture.dispatcher.linked(fixture.now, hello(2, 0));
    expect_that!(linked, ok(eq(unlinked)));
    expect_that!(fixture.orders().len(), eq(2));
}

/// Guards against a refusal while the claim is under way of a job that would start at once.
#[gtest]
fn a_job_with_a_long_expected_run_time_is_not_refused_before_its_claim_is_answered() {
    let mut fixture = Fixture::new(&[1.0; 2], 4);
    fixture.dispatcher.tick(fixture.now);
    fixture.now += Duration::from_secs(3);
    fixture.report_all();
    let submission = Submission {
        spec: job("long", 1, 30_000),
        queue_config: queue_config(0),
        caller_timeout: Some(Duration::from_secs(1)),
        caller_seen: Some(fixture.now),
    };
    let submitted = fixture.dispatcher.submit(fixture.now, submission);
    expect_that!(submitted, ok(anything()));
    fixture.dispatcher.tick(fixture.now);
    expect_that!(fixture.orders().len(), eq(1));
}

#[gtest]
fn agents_are_not_taken_for_silent_after_a_pause_of_the_entry() {
    let mut entry = Entry::new();
    let made = std::mem::take(&mut entry.made);
    entry.advance(0);
    entry.advance(140);
    expect_that!(entry.made, is_empty());
    for claim in &made {
        entry.tell(claim, ClaimStatus::Granted);
    }
    expect_that!(entry.orders, eq(2));
}

/// Two entries were granted the same job, as one of them got no answers from the agents of the other.
#[gtest]
fn a_job_that_another_entry_has_by_agents_of_higher_rank_is_given_up() {
    let mut entry = Entry::new();
    let silent = std::mem::take(&mut entry.made);
    entry.tell(&silent[1], ClaimStatus::Granted);
    for millis in [0, 50, 60] {
        entry.advance(millis);
    }
    entry.grant_all();
    expect_that!(entry.orders, eq(2));
    entry.tell(&silent[0], ClaimStatus::Waiting);
    expect_that!(entry.answers, eq(&vec![Answer::TimedOut]));
    expect_that!(entry.cancels, eq(2));
}

/// Guards against a false "not run": the entry that came first may run the job.
#[gtest]
fn a_job_that_another_entry_has_is_not_answered_as_not_run() {
    let mut entry = Entry::new();
    let made = std::mem::take(&mut entry.made);
    entry.tell(&made[0], ClaimStatus::Waiting);
    for _ in 0..60 {
        entry.advance(100);
    }
    expect_that!(entry.answers, eq(&vec![Answer::TimedOut]));
}

/// Guards against a release while the tasks of an earlier submission to the same entry may run.
#[gtest]
fn a_claim_is_not_released_while_tasks_of_an_earlier_submission_run() {
    let mut entry = Entry::new();
    entry.grant_all();
    expect_that!(entry.orders, eq(2));
    let now = entry.fixture.now;
    entry.fixture.dispatcher.abandon(now, entry.job);
    entry.collect();
    let again = submit(&mut entry.fixture);
    entry.collect();
    let made = entry.grant_all();
    expect_that!(entry.orders, eq(2));
    entry.tell(&made[0], ClaimStatus::Contested);
    entry.fixture.dispatcher.abandon(now, again);
    entry.collect();
    expect_that!(entry.released, is_empty());
    entry.advance(1200);
    expect_that!(entry.released, eq(&vec![released(&made[0])]));
}

/// Guards against an order to an agent whose first report on a link is being handled: the report, which
/// doesn't list it, would show that it was not started.
#[gtest]
fn the_end_of_a_cancelled_task_places_nothing_before_the_report_is_reconciled() {
    let mut fixture = Fixture::new(&[1.0], 4);
    let job = submit(&mut fixture);
    let orders = fixture.orders();
    fixture.dispatcher.unlinked(fixture.now, fixture.agents[0]);
    fixture.dispatcher.abandon(fixture.now, job);
    fixture.take_actions();
    submit(&mut fixture);
    let linked = fixture.dispatcher.linked(fixture.now, hello(1, 0));
    expect_that!(linked, ok(eq(fixture.agents[0])));
    expect_that!(fixture.orders(), is_empty());
    let ends = orders.iter().map(|order| AttemptEnd {
        task: order.run.task.clone(),
        outcome: Outcome::Lost,
        run_ms: 0,
    });
    let report = AgentReport {
        orders_seen: fixture.sent_seqs[0],
        state: Some(state(1.0, 4, 4)),
        ends: ends.collect(),
        held: Some(HeldAttempts {
            tasks: Vec::new(),
            received: Some(fixture.sent_seqs[0]),
        }),
    };
    fixture
        .dispatcher
        .reported(fixture.now, fixture.agents[0], report);
    // Each task is ordered once.
    expect_that!(fixture.orders().len(), eq(2));
}

#[gtest]
fn a_job_whose_claims_were_given_to_another_entry_is_given_up() {
    let mut entry = Entry::new();
    let made = entry.grant_all();
    entry.tell(&made[0], ClaimStatus::Waiting);
    // The other agent still grants it.
    expect_that!(entry.answers, is_empty());
    entry.tell(&made[1], ClaimStatus::Waiting);
    expect_that!(entry.answers, eq(&vec![Answer::TimedOut]));
    expect_that!(entry.cancels, eq(2));
}

#[gtest]
fn a_contested_claim_is_released_when_the_cancelled_tasks_have_ended() {
    let mut entry = Entry::new();
    let made = std::mem::take(&mut entry.made);
    for claim in &made {
        entry.tell(claim, ClaimStatus::Granted);
    }
    expect_that!(entry.orders, eq(2));
    entry.tell(&made[0], ClaimStatus::Contested);
    let now = entry.fixture.now;
    entry.fixture.dispatcher.abandon(now, entry.job);
    entry.collect();
    expect_that!(entry.cancels, eq(2));
    entry.advance(500);
    expect_that!(entry.released, is_empty());
    // No agent tells of the ends, but all runs are over by then.
    entry.advance(700);
    expect_that!(entry.released, eq(&vec![released(&made[0])]));
}

#[gtest]
fn a_claim_that_is_contested_after_its_job_has_ended_is_released_at_once() {
    let mut fixture = Fixture::new(&[1.0; 3], 4);
    submit(&mut fixture);
    for order in fixture.orders() {
        fixture.end(&order, Outcome::Done);
    }
    expect_that!(fixture.answers(), eq(&vec![Answer::Completed]));
    let answer = ClaimAnswer {
        job: "a".into(),
        number: 1,
        status: ClaimStatus::Contested,
    };
    let agent = fixture.agents[0];
    fixture
        .dispatcher
        .claim_answered(fixture.now, agent, &answer);
    let released = Claim {
        job: "a".into(),
        number: 1,
        change: ClaimChange::Released,
    };
    let actions = fixture.dispatcher.take_actions();
    expect_that!(actions.len(), eq(1));
    let is_released = matches!(&actions[0], Action::Claim(_, claim) if *claim == released);
    expect_that!(is_released, eq(true));
}

#[gtest]
fn an_answer_to_an_earlier_claim_changes_nothing() {
    let mut entry = Entry::new();
    let mut made = std::mem::take(&mut entry.made);
    for claim in &mut made {
        claim.1.number += 10;
        entry.tell(claim, ClaimStatus::Granted);
    }
    expect_that!(entry.orders, eq(0));
}

fn released((agent, claim): &(AgentKey, Claim)) -> (AgentKey, Claim) {
    let change = ClaimChange::Released;
    let claim = claim.clone();
    (*agent, Claim { change, ..claim })
}

/// Guards against a late copy of the request of a cancelled job, which ran the job from the start.
#[gtest]
fn a_late_copy_of_a_cancelled_job_is_answered_as_cancelled_until_its_deadline() {
    let mut entry = Entry::new();
    let made = entry.grant_all();
    let now = entry.fixture.now;
    expect_that!(entry.fixture.dispatcher.cancel(now, "a"), eq(true));
    entry.collect();
    let told: Vec<_> = entry.cancelled.iter().map(|(agent, _)| *agent).collect();
    expect_that!(told, eq(&vec![made[0].0, made[1].0]));
    entry.answers.clear();
    entry.advance(2000);
    submit(&mut entry.fixture);
    entry.collect();
    expect_that!(entry.answers, eq(&vec![Answer::Cancelled]));
    expect_that!((entry.orders, entry.made.len()), eq((2, 0)));

    entry.advance(5400);
    entry.fixture.report_all();
    submit(&mut entry.fixture);
    entry.collect();
    entry.grant_all();
    expect_that!(entry.orders, eq(4));
}

/// Guards against a late copy at an entry that did not get the request to cancel the job, and that may
/// already run it.
#[gtest]
fn a_job_that_was_cancelled_at_another_entry_is_answered_as_cancelled() {
    for granted in [0, 2] {
        let mut entry = Entry::new();
        let made = std::mem::take(&mut entry.made);
        for claim in &made[..granted] {
            entry.tell(claim, ClaimStatus::Granted);
        }
        entry.tell(&made[1], ClaimStatus::Cancelled);
        expect_that!(entry.answers, eq(&vec![Answer::Cancelled]));
        expect_that!((entry.orders, entry.cancels), eq((granted, granted)));
    }
}

/// Guards against a job that can't be submitted again since its caller's connection was lost.
#[gtest]
fn a_job_whose_caller_left_runs_when_it_is_submitted_again() {
    let mut entry = Entry::new();
    entry.grant_all();
    let now = entry.fixture.now;
    entry.fixture.dispatcher.abandon(now, entry.job);
    entry.advance(1200);
    entry.fixture.report_all();
    submit(&mut entry.fixture);
    entry.collect();
    entry.grant_all();
    expect_that!(entry.orders, eq(4));
    expect_that!(entry.cancelled, is_empty());
}
