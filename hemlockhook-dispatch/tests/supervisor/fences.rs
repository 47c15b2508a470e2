//! The fencing token of an agent's calls.

use googletest::prelude::*;
use hemlockhook_dispatch::agent::{HoldResult, StartResult};

use crate::fixture::Agent;

/// Guards against starts that the next life of an upstream carries out, to which the stop is not known.
#[gtest]
fn calls_after_an_unanswered_start_carry_a_higher_token() {
    let mut agent = Agent::new();
    agent.order("a", 1);
    let started_with = agent.starts[0].fence;
    agent.holds.clear();
    agent.answer_start("a", StartResult::NoAnswer);
    agent.advance(10);
    agent.answer_long_hold(&[], &[]);
    let tokens: Vec<_> = agent.holds.iter().map(|call| call.fence).collect();
    expect_that!(tokens, not(is_empty()));
    expect_that!(tokens, each(gt(&started_with)));
}

#[gtest]
fn a_start_that_a_later_call_overtook_is_repeated_with_the_token_of_that() {
    let mut agent = Agent::new();
    agent.order("a", 1);
    agent.order("b", 1);
    agent.advance(10);
    agent.answer_start("a", StartResult::NoAnswer);
    agent.answer_start("b", StartResult::OldFence { clock_ms: 10_000 });
    let [first, .., repeated] = &agent.starts[..] else {
        panic!("the start is repeated");
    };
    expect_that!(&*repeated.task.job, eq("b"));
    expect_that!(repeated.fence, eq(first.fence + 1));
}

#[gtest]
fn a_refusal_of_the_present_token_raises_it_beyond_that_of_another_agent() {
    const MINUTE_MS: u64 = 60_000;
    let mut agent = Agent::new();
    agent.order("a", 1);
    let known = agent.starts[0].fence;
    agent.answer_hold_with(Some(HoldResult::OldFence));
    let last = agent.holds.last().expect("the hold call is repeated");
    expect_that!(last.fence, ge(known + MINUTE_MS));
}
