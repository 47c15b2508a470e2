//! Agents in a drained data center, and cold upstreams.

use std::time::Duration;

use googletest::prelude::*;
use hemlockhook_dispatch::Outcome;
use hemlockhook_dispatch::agent::{Announcement, RunOutcome, StartResult};

use crate::fixture::Agent;

fn set_drained(agent: &mut Agent, is_drained: bool) {
    agent.supervisor.set_drained(agent.now, is_drained);
    agent.collect();
}

fn is_usable(agent: &Agent) -> bool {
    let state = agent.supervisor.state(agent.now);
    state.expect("an upstream is known").is_usable
}

/// Guards against starts after the bound, and against tasks that wait at a drained agent in vain.
#[gtest]
fn a_drained_agent_returns_what_waits_and_finishes_what_runs() {
    let mut agent = Agent::new();
    agent.order("runs", 4);
    agent.answer_start("runs", StartResult::Started { clock_ms: 10_000 });
    agent.order("waits", 1);
    set_drained(&mut agent, true);
    agent.order("late", 1);
    expect_that!(is_usable(&agent), eq(false));
    agent.answer_hold(&[], &[("runs", 1, RunOutcome::Done)]);
    expect_that!(
        agent.outcomes(),
        elements_are![
            eq(&("waits", Outcome::NotStarted)),
            eq(&("late", Outcome::NotStarted)),
            eq(&("runs", Outcome::Done)),
        ]
    );
    expect_that!(agent.starts.len(), eq(1));

    set_drained(&mut agent, false);
    expect_that!(is_usable(&agent), eq(true));
    agent.order("after", 1);
    expect_that!(agent.starts.len(), eq(2));
}

/// Guards against a start after the bound: an unanswered or refused start is retried otherwise.
#[gtest]
fn a_drained_agent_does_not_retry_starts() {
    let mut agent = Agent::new();
    agent.order("unanswered", 1);
    agent.order("refused", 1);
    agent.answer_start("unanswered", StartResult::NoAnswer);
    set_drained(&mut agent, true);
    agent.answer_start("refused", StartResult::LateLease { clock_ms: 10_000 });
    agent.answer_stop(
        "unanswered",
        hemlockhook_dispatch::agent::StopResult::Stopped { clock_ms: 10_000 },
    );
    agent.answer_hold(&[], &[]);
    agent.advance(50);
    expect_that!(agent.starts.len(), eq(2));
    expect_that!(
        agent.outcomes(),
        unordered_elements_are![
            eq(&("unanswered", Outcome::NotStarted)),
            eq(&("refused", Outcome::NotStarted)),
        ]
    );
}

fn announce_cold(agent: &mut Agent, cold_ms: u64) {
    let known = agent.supervisor.upstream().expect("an upstream is known");
    let announcement = Announcement {
        cold: Duration::from_millis(cold_ms),
        ..known.clone()
    };
    agent.supervisor.announced(agent.now, announcement);
    agent.collect();
}

/// Guards against a warm upstream that counts as slow for long because of runs while it was cold, and
/// against one that counts as cold for good because each announcement states the same time.
#[gtest]
fn a_cold_upstream_reports_a_slower_pace_and_learns_none() {
    let mut agent = Agent::cold_aware();
    let pace = |agent: &Agent| agent.supervisor.state(agent.now).map(|state| state.pace);
    announce_cold(&mut agent, 500);
    expect_that!(pace(&agent), some(approx_eq(2.0)));
    agent.start("a");
    agent.advance_by_ticks(300);
    announce_cold(&mut agent, 500);
    agent.answer_hold(&[], &[("a", 1, RunOutcome::Done)]);
    expect_that!(agent.outcomes(), elements_are![eq(&("a", Outcome::Done))]);
    agent.advance_by_ticks(210);
    expect_that!(pace(&agent), some(approx_eq(1.0)));

    // Without the setting, nothing changes.
    let mut unaware = Agent::new();
    announce_cold(&mut unaware, 500);
    expect_that!(pace(&unaware), some(approx_eq(1.0)));
}
