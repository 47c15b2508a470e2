//! Comparison of what an agent and an entry hold, on each new link.

use std::time::Duration;

use googletest::prelude::*;
use hemlockhook_dispatch::entry::{
    Action, AgentReport, Answer, LinkRefusal, Order, Refusal, Submission,
};
use hemlockhook_dispatch::{HeldAttempts, Outcome, TaskRef};

use crate::fixture::{Fixture, hello, job, queue_config, state};

/// Time for which callers wait. A silent agent is not lost within it.
const CALLER_TIMEOUT: Duration = Duration::from_millis(500);

/// Number of tasks of the job of [`submit`].
const TASKS: u32 = 2;

/// Submits a job, and returns the orders of its tasks.
fn submit(fixture: &mut Fixture) -> Vec<Order> {
    let submission = Submission {
        spec: job("a", TASKS, 50),
        queue_config: queue_config(0),
        caller_timeout: Some(CALLER_TIMEOUT),
        caller_seen: Some(fixture.now),
    };
    let submitted = fixture.dispatcher.submit(fixture.now, submission);
    expect_that!(submitted, ok(anything()));
    let orders = fixture.orders();
    expect_that!(orders.len(), eq(TASKS as usize));
    orders
}

/// Links the first agent again.
fn link_again(fixture: &mut Fixture) {
    let key = fixture
        .dispatcher
        .linked(fixture.now, hello(1, 0))
        .expect("the link is not refused");
    expect_that!(key, eq(fixture.agents[0]));
}

/// Delivers the first report of a link of the first agent.
fn first_report(fixture: &mut Fixture, held: &[&Order]) {
    let report = AgentReport {
        orders_seen: fixture.sent_seqs[0],
        state: Some(state(1.0, 10, 10)),
        ends: Vec::new(),
        held: Some(HeldAttempts {
            tasks: held.iter().map(|order| order.run.task.clone()).collect(),
            received: Some(fixture.sent_seqs[0]),
        }),
    };
    let agent = fixture.agents[0];
    fixture.dispatcher.reported(fixture.now, agent, report);
}

fn cancels(fixture: &mut Fixture) -> Vec<TaskRef> {
    let actions = fixture.dispatcher.take_actions().into_iter();
    let cancel = |action| match action {
        Action::Cancel(_, task, _) => Some(task),
        _ => None,
    };
    actions.filter_map(cancel).collect()
}

/// Removes the job of [`submit`] while its agent has no link, and checks that what the agent holds
/// is cancelled on the next one.
fn check_cancel_after_link(remove: impl FnOnce(&mut Fixture, &[Order])) {
    let mut fixture = Fixture::new(&[1.0], 10);
    let orders = submit(&mut fixture);
    fixture.dispatcher.unlinked(fixture.now, fixture.agents[0]);
    remove(&mut fixture, &orders);
    // The agent has no link on which these could be sent.
    cancels(&mut fixture);

    link_again(&mut fixture);
    first_report(&mut fixture, &[&orders[1]]);
    expect_that!(
        cancels(&mut fixture),
        elements_are![eq(&orders[1].run.task)]
    );
}

#[gtest]
fn a_task_of_a_caller_that_left_is_cancelled_on_the_next_link() {
    let mut fixture = Fixture::new(&[1.0], 10);
    let submission = Submission {
        spec: job("a", 1, 50),
        queue_config: queue_config(0),
        caller_timeout: Some(CALLER_TIMEOUT),
        caller_seen: Some(fixture.now),
    };
    let submitted = fixture.dispatcher.submit(fixture.now, submission);
    let order = fixture.orders().remove(0);
    fixture.dispatcher.unlinked(fixture.now, order.agent);
    let key = submitted.expect("there is free capacity");
    fixture.dispatcher.abandon(fixture.now, key);
    cancels(&mut fixture);

    link_again(&mut fixture);
    first_report(&mut fixture, &[&order]);
    expect_that!(cancels(&mut fixture), elements_are![eq(&order.run.task)]);
}

#[gtest]
fn a_task_of_a_cancelled_job_is_cancelled_on_the_next_link() {
    check_cancel_after_link(|fixture, _| {
        expect_that!(fixture.dispatcher.cancel(fixture.now, "a"), eq(true));
    });
}

#[gtest]
fn a_task_of_a_job_past_its_deadline_is_cancelled_on_the_next_link() {
    check_cancel_after_link(|fixture, _| {
        fixture.now += CALLER_TIMEOUT;
        fixture.dispatcher.tick(fixture.now);
    });
}

#[gtest]
fn a_task_whose_sibling_failed_is_cancelled_on_the_next_link() {
    check_cancel_after_link(|fixture, orders| {
        fixture.end(&orders[0], Outcome::Failed);
        // Another agent runs the second attempt, which fails as well.
        let other = fixture
            .dispatcher
            .linked(fixture.now, hello(2, 0))
            .expect("the link is not refused");
        fixture.agents.push(other);
        fixture.sent_seqs.push(0);
        fixture.set_state(1, state(1.0, 10, 10));
        let second = fixture.orders().remove(0);
        fixture.end(&second, Outcome::Failed);
    });
}

#[gtest]
fn an_attempt_that_both_sides_hold_continues_on_the_next_link() {
    let mut fixture = Fixture::new(&[1.0], 10);
    let orders = submit(&mut fixture);
    fixture.dispatcher.unlinked(fixture.now, fixture.agents[0]);
    link_again(&mut fixture);
    first_report(&mut fixture, &[&orders[0], &orders[1]]);
    let actions = fixture.take_actions();
    expect_that!(actions.len(), eq(0));
}

#[gtest]
fn an_agent_that_links_again_is_used_only_after_its_first_report() {
    let mut fixture = Fixture::new(&[1.0], 10);
    fixture.dispatcher.tick(fixture.now);
    fixture.now += Duration::from_secs(3);
    fixture.report_all();
    fixture.dispatcher.unlinked(fixture.now, fixture.agents[0]);
    link_again(&mut fixture);
    // It is about to report, so the job is not refused.
    let submitted = fixture.submit(job("a", 1, 50), &queue_config(0));
    expect_that!(submitted, ok(anything()));
    fixture.dispatcher.tick(fixture.now);
    expect_that!(fixture.orders(), is_empty());

    first_report(&mut fixture, &[]);
    expect_that!(fixture.orders().len(), eq(1));
}

#[gtest]
fn a_job_is_refused_once_an_agent_that_linked_again_has_not_reported_for_long() {
    let mut fixture = Fixture::new(&[1.0], 10);
    fixture.dispatcher.tick(fixture.now);
    fixture.now += Duration::from_secs(3);
    link_again(&mut fixture);
    fixture.now += Duration::from_millis(400);
    let refused = fixture.submit(job("a", 1, 50), &queue_config(0));
    expect_that!(refused, err(matches_pattern!(Refusal::NoUpstream { .. })));
}

/// Delivers a first report that lists no attempt, of an agent that received the frames of earlier
/// links up to `received`.
fn first_report_without_attempts(fixture: &mut Fixture, received: Option<u64>) {
    let report = AgentReport {
        orders_seen: received.unwrap_or_default(),
        state: Some(state(1.0, 10, 10)),
        ends: Vec::new(),
        held: Some(HeldAttempts {
            tasks: Vec::new(),
            received,
        }),
    };
    let agent = fixture.agents[0];
    fixture.dispatcher.reported(fixture.now, agent, report);
}

/// Submits a job, links its agent again, and returns the answer at its deadline if no agent is left.
fn answer_after_link(received: impl FnOnce(&Fixture) -> Option<u64>) -> Answer {
    let mut fixture = Fixture::new(&[1.0], 10);
    submit(&mut fixture);
    let received = received(&fixture);
    fixture.now += Duration::from_millis(400);
    fixture.dispatcher.unlinked(fixture.now, fixture.agents[0]);
    link_again(&mut fixture);
    first_report_without_attempts(&mut fixture, received);
    // The orders that follow are returned unstarted.
    for order in fixture.orders() {
        fixture.end(&order, Outcome::NotStarted);
    }
    fixture.dispatcher.unlinked(fixture.now, fixture.agents[0]);
    fixture.now += CALLER_TIMEOUT;
    fixture.dispatcher.tick(fixture.now);
    fixture.answers().remove(0)
}

#[gtest]
fn a_job_whose_order_was_received_is_not_refused_after_its_end_was_forgotten() {
    let answer = answer_after_link(|fixture| Some(fixture.sent_seqs[0]));
    expect_that!(answer, eq(&Answer::TimedOut));
}

#[gtest]
fn a_job_is_not_refused_if_its_agent_does_not_know_what_it_received() {
    let answer = answer_after_link(|_| None);
    expect_that!(answer, eq(&Answer::TimedOut));
}

#[gtest]
fn a_job_whose_order_was_lost_with_its_link_counts_as_not_run() {
    let answer = answer_after_link(|fixture| Some(fixture.sent_seqs[0] - 1));
    expect_that!(answer, matches_pattern!(Answer::NotRun(_)));
}

/// An entry that stood still handles the hellos of several connections in any order. The agent has given
/// up all but the last.
#[gtest]
fn a_connection_that_was_given_up_does_not_replace_a_newer_link() {
    let mut fixture = Fixture::new(&[], 10);
    let newer = fixture.dispatcher.linked(fixture.now, hello(1, 600));
    let agent = newer.expect("it is the first hello");
    fixture.agents.push(agent);
    fixture.sent_seqs.push(0);
    first_report(&mut fixture, &[]);
    let older = fixture.dispatcher.linked(fixture.now, hello(1, 100));
    expect_that!(older, err(eq(LinkRefusal::Outdated)));
    // The newer link is used on.
    let submitted = fixture.submit(job("a", 1, 50), &queue_config(0));
    expect_that!(submitted, ok(anything()));
    expect_that!(fixture.orders().len(), eq(1));
}

/// Two agents that had drawn the same incarnation replaced each other's link every 35 ms, and with each
/// new link the entry ended what the other one ran as lost, and placed it again beside that run.
#[gtest]
fn a_second_agent_with_the_incarnation_of_another_is_refused() {
    let mut fixture = Fixture::new(&[1.0], 10);
    let orders = submit(&mut fixture);
    let mut other = hello(1, 600);
    other.name = "agent-2".into();
    let linked = fixture.dispatcher.linked(fixture.now, other);
    expect_that!(linked, err(eq(LinkRefusal::DuplicateIncarnation)));
    // The link of the first one is used on, and nothing is placed again.
    expect_that!(fixture.orders(), is_empty());
    for order in &orders {
        fixture.end(order, Outcome::Done);
    }
    expect_that!(fixture.answers(), elements_are![eq(&Answer::Completed)]);
}
