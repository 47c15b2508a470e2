//! Orders that were placed for another upstream than the one that the agent has by then.

use googletest::prelude::*;
use hemlockhook_dispatch::Outcome;
use hemlockhook_dispatch::agent::{OutdatedOrder, StartResult};
use insta::assert_compact_debug_snapshot;

use crate::fixture::Agent;

/// Has the upstream answer a start call as one that is replaced by another.
fn find_replaced(agent: &mut Agent) {
    agent.order("probe", 1);
    agent.answer_start("probe", StartResult::OtherInstance);
}

/// Returns jobs, wanted and found instances with their labels, and the age of the state in milliseconds.
fn summary(agent: &mut Agent) -> Vec<String> {
    let row = |order: OutdatedOrder| {
        let job = &order.task.task.job;
        let wanted = order.wanted_upstream;
        let wanted = wanted.map(|known| (known.instance, known.service, known.labels));
        let found = order.found_upstream;
        let found = found.map(|known| (known.instance, known.service, known.labels));
        let age = order.state_age.map(|age| age.as_millis());
        format!("{job}: {wanted:?}, {found:?}, {age:?}")
    };
    let outdated = agent.supervisor.take_outdated_orders();
    outdated.into_iter().map(row).collect()
}

/// Guards against a task that starts on the next upstream, of another kind or service: the entry chose by the
/// state of the one before, and its order waits for nothing but an upstream that accepts work.
#[gtest]
fn an_order_for_the_upstream_before_is_refused_by_the_next_one() {
    for service in ["desk", "ledger"] {
        let mut agent = Agent::new();
        agent.description = agent.described();
        find_replaced(&mut agent);
        agent.announce_service("up-2", 2, service);
        agent.answer_hold(&[], &[]);
        let starts = agent.starts.len();
        agent.order("a", 1);
        expect_that!(agent.starts.len(), eq(starts), "{service}");
        let outcome = agent.outcomes().last().copied();
        expect_that!(outcome, some(eq(("a", Outcome::NotStarted))));

        agent.description = agent.described();
        agent.order("b", 1);
        expect_that!(agent.starts.len(), eq(starts + 1), "{service}");
    }
}

/// Guards against entries that believe the last state for as long as the next upstream has not announced itself.
#[gtest]
fn an_agent_whose_upstream_is_gone_reports_that_it_has_none() {
    let mut agent = Agent::new();
    let before = agent.states.clone();
    find_replaced(&mut agent);
    let without = agent.states.clone();
    agent.announce("up-2", 2, false);
    agent.answer_hold(&[], &[]);
    agent.advance(100);
    let after = agent.states.clone();
    assert_compact_debug_snapshot!((before, without, after), @r#"({1: ("up-1", true)}, {1: ("", false)}, {1: ("up-2", true)})"#);
}

/// Guards against the same where the next life has the name of the one before.
#[gtest]
fn an_order_for_the_life_before_is_refused_by_the_next_one_of_the_same_name() {
    let mut agent = Agent::new();
    agent.description = agent.described();
    agent.announce("up-1", 2, false);
    agent.answer_hold(&[], &[]);
    agent.order("a", 1);
    expect_that!(agent.starts, is_empty());
    expect_that!(
        agent.outcomes(),
        elements_are![eq(&("a", Outcome::NotStarted))]
    );
}

/// Guards against an order that waits while the upstream becomes another one, and is started then.
#[gtest]
fn an_order_that_waits_is_returned_when_the_labels_change() {
    let mut agent = Agent::new();
    agent.description = agent.described();
    agent.start("a");
    agent.order("b", 4);
    agent.announce_labels(&["b", "rack-1"]);
    expect_that!(
        agent.outcomes(),
        elements_are![eq(&("b", Outcome::NotStarted))]
    );
    // What runs was started rightly.
    expect_that!(agent.supervisor.orders().count(), eq(1));
    agent.order("c", 1);
    expect_that!(agent.starts.len(), eq(1));
}

/// Guards against refusals in a series: an announcement that changes nothing has no number of its own.
#[gtest]
fn an_announcement_with_the_same_labels_refuses_nothing() {
    let mut agent = Agent::new();
    agent.description = agent.described();
    agent.announce("up-1", 1, false);
    agent.start("a");
    expect_that!(agent.outcomes(), is_empty());
}

/// Guards against an outage while entries of an earlier version, which name no description, are replaced.
#[gtest]
fn an_order_that_names_no_description_is_started() {
    let mut agent = Agent::new();
    agent.announce_labels(&["b"]);
    agent.start("a");
    expect_that!(agent.starts.len(), eq(1));
}

/// Guards against refusals that nobody can explain from the logs.
#[gtest]
fn a_refusal_tells_what_was_wanted_and_found_and_the_age_of_the_state() {
    let mut agent = Agent::new();
    agent.announce_labels(&["a"]);
    agent.advance(300);
    agent.description = agent.described();
    find_replaced(&mut agent);
    agent.advance(40);
    agent.order("a", 1);
    agent.announce_service("up-2", 2, "ledger");
    agent.answer_hold(&[], &[]);
    agent.advance(60);
    agent.order("b", 1);
    assert_compact_debug_snapshot!(summary(&mut agent), @r#"["a: Some((\"up-1\", \"desk\", [\"a\"])), None, Some(40)", "b: Some((\"up-1\", \"desk\", [\"a\"])), Some((\"up-2\", \"ledger\", [])), Some(100)"]"#);
}
