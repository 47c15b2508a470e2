//! Upstreams that restart under their name while starts are under way.

use googletest::prelude::*;
use hemlockhook_dispatch::Outcome;
use hemlockhook_dispatch::agent::{HoldResult, StartResult, StopResult};
use insta::assert_compact_debug_snapshot;

use crate::fixture::{Agent, LINK, attempt};

/// Guards against a false "not run": the lists of the next life say nothing of what the life before ran.
#[gtest]
fn a_start_that_the_life_before_may_have_carried_out_counts_as_lost() {
    let mut agent = Agent::new();
    agent.order("a", 1);
    agent.announce("up-1", 2, false);
    agent.settle_stop("a");
    expect_that!(agent.outcomes(), elements_are![eq(&("a", Outcome::Lost))]);
}

/// Guards against a false "not run": the upstream's answer was read after the stop was called.
#[gtest]
fn a_start_that_is_confirmed_after_its_stop_was_called_counts_as_lost() {
    let mut agent = Agent::new();
    agent.order("a", 1);
    agent.supervisor.cancelled(agent.now, LINK, &attempt("a"));
    agent.answer_start("a", StartResult::Started { clock_ms: 10_000 });
    agent.settle_stop("a");
    expect_that!(agent.outcomes(), elements_are![eq(&("a", Outcome::Lost))]);
}

/// Guards against runs that are given up while they go on: a late answer of another instance to a hold call that
/// was meant for the life before ended the orders of the next life as lost, so that their tasks were started
/// elsewhere, too.
#[gtest]
fn a_late_answer_to_a_call_to_the_life_before_ends_no_run_of_the_next_one() {
    for result in [Some(HoldResult::OtherInstance), None] {
        let mut agent = Agent::new();
        agent.start("a");
        let late = agent.holds.last().expect("a run is held").clone();
        agent.answer_hold_with(Some(HoldResult::OtherInstance));
        agent.announce("up-2", 2, false);
        agent.answer_hold(&[], &[]);
        agent.start("b");
        agent.answer_call(&late, result);
        expect_that!(agent.outcomes(), elements_are![eq(&("a", Outcome::Lost))]);
        let state = agent.supervisor.state(agent.now);
        expect_that!(state.is_some_and(|state| state.is_usable), eq(true));
    }
}

/// Guards against a life that is not asked for its runs: its first hold call waits for the answer to one that was
/// made to the life before.
#[gtest]
fn the_lists_of_the_next_life_are_requested_when_a_late_answer_arrives() {
    let mut agent = Agent::new();
    agent.start("a");
    agent.supervisor.cancelled(agent.now, LINK, &attempt("a"));
    agent.answer_stop("a", StopResult::Stopped { clock_ms: 10_000 });
    agent.collect();
    let late = agent.holds.last().expect("the end is asked for").clone();
    agent.announce("up-1", 2, false);
    let waiting = agent.holds.last().map(|call| call.life);
    agent.answer_call(&late, None);
    let asked = agent.holds.last().map(|call| call.life);
    assert_compact_debug_snapshot!((waiting, asked), @"(Some(1), Some(2))");
}

/// Guards against leases that end too late: the clock of the life before was read as that of the next one.
#[gtest]
fn the_clock_in_a_late_answer_of_the_life_before_is_not_read() {
    let mut agent = Agent::new();
    agent.start("a");
    let before = agent.life();
    agent.supervisor.cancelled(agent.now, LINK, &attempt("a"));
    agent.announce("up-1", 2, false);
    agent.settle_stop("a");
    let late = StopResult::Stopped { clock_ms: 900_000 };
    agent
        .supervisor
        .stop_answered(agent.now, &attempt("a"), before, late);
    agent.order("b", 1);
    let until: Vec<_> = agent.starts.iter().map(|call| call.until_ms).collect();
    assert_compact_debug_snapshot!(until, @"[10450, 10450]");
}

/// Guards against a run that is given up while it goes on: the next life had carried out the start before its
/// agent read of the restart, and then left calls unanswered, so that nothing was known of its leases.
#[gtest]
fn a_run_is_not_given_up_before_the_lists_of_the_next_life_are_read() {
    let mut agent = Agent::new();
    agent.start("a");
    agent.announce("up-1", 2, false);
    let mut lost_after_ms = None;
    for passed_ms in (0..4000).step_by(100) {
        agent.answer_hold_with(None);
        agent.advance_by_ticks(100);
        if lost_after_ms.is_none() && !agent.outcomes().is_empty() {
            lost_after_ms = Some(passed_ms);
        }
    }
    assert_compact_debug_snapshot!(lost_after_ms, @"Some(3000)");
}
