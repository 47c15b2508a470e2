//! Upstreams that restart under their name while starts are under way.

use googletest::prelude::*;
use hemlockhook_dispatch::Outcome;
use hemlockhook_dispatch::agent::StartResult;

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
