//! What an agent reports on its links, and how often.

use std::time::Duration;

use googletest::prelude::*;
use hemlockhook_dispatch::agent::{FrameHeader, SupervisorPolicy};

use crate::fixture::{Agent, ENTRY, LINK};

/// Nine entries share an agent whose state changes with each task of any of them, and each asks for
/// 30 reports a second at most.
#[gtest]
fn state_changes_are_reported_to_entries_at_a_bounded_rate() {
    const REPORTS_PER_S: usize = 30;
    let mut agent = Agent::new();
    agent.link_others(8);
    agent.reports = 0;
    for _ in 0..1000 {
        agent.now += Duration::from_millis(1);
        agent.echo_all(9, Duration::from_secs(1) / REPORTS_PER_S as u32);
        // An announcement counts as a change, like the start and end of a task.
        agent.announce("up-1", 1, false);
    }
    // Each link has its first report besides.
    let active = SupervisorPolicy::default().active_links;
    expect_that!(agent.reports, le(active * REPORTS_PER_S + 9));
    expect_that!(agent.reports, ge(active * REPORTS_PER_S / 2));
}

/// An entry that has just started, or one of an earlier release, names no interval.
#[gtest]
fn an_entry_that_names_no_interval_is_not_told_of_each_change() {
    let mut agent = Agent::new();
    agent.reports = 0;
    for _ in 0..1000 {
        agent.now += Duration::from_millis(1);
        agent.echo_all(1, Duration::ZERO);
        agent.announce("up-1", 1, false);
    }
    expect_that!(agent.reports, le(101));
}

/// Hundreds of entries know an agent, and few of them use it.
#[gtest]
fn what_an_agent_reports_does_not_grow_with_the_entries_that_do_not_use_it() {
    let reports_of = |others: u64| {
        let mut agent = Agent::new();
        agent.link_others(others);
        agent.reports = 0;
        for _ in 0..400 {
            agent.now += Duration::from_millis(10);
            agent.echo_all(others + 1, Duration::from_millis(100));
            agent.announce("up-1", 1, false);
        }
        agent.reports as u64 / 4
    };
    let few = reports_of(7);
    let many = reports_of(169);
    // A standby link costs half a report a second.
    expect_that!(many, le(few + 162));
    expect_that!(many, ge(few));
}

#[gtest]
fn an_entry_that_requests_the_state_gets_it_at_once() {
    let mut agent = Agent::new();
    agent.link_others(20);
    agent.advance(100);
    let reports = agent.reports;
    let standby = LINK + 20;
    let header = FrameHeader {
        wants_state: true,
        ..agent.header(Duration::from_millis(10))
    };
    agent.supervisor.frame_received(agent.now, standby, &header);
    agent.collect();
    expect_that!(agent.reports, eq(reports + 1));
    // From then on it is told of changes like the others.
    agent.advance(20);
    agent.announce("up-1", 1, false);
    expect_that!(agent.reported_links.last(), some(eq(&standby)));
}

#[gtest]
fn an_entry_counts_on_the_part_that_it_uses() {
    let mut agent = Agent::new();
    agent.link_others(3);
    agent.start("a");
    for _ in 0..200 {
        agent.now += Duration::from_millis(10);
        agent.echo_all(4, Duration::from_millis(10));
        agent.answer_hold(&[("a", 1)], &[]);
        agent.announce("up-1", 1, false);
    }
    expect_that!(agent.shares[&LINK], ge(0.95));
    expect_that!(agent.shares[&(LINK + 1)], approx_eq(0.25));
}

#[gtest]
fn a_link_is_silent_once_a_report_is_not_echoed() {
    let timeout = Duration::from_millis(1100);
    let mut agent = Agent::new();
    agent.echo_all(1, Duration::from_millis(10));
    let left = |agent: &Agent| agent.supervisor.time_until_silent(agent.now, LINK, timeout);
    // Nothing is due for a while on a link that stands by.
    expect_that!(left(&agent), eq(timeout));
    agent.advance(2000);
    expect_that!(left(&agent), eq(timeout));
    agent.advance(1000);
    expect_that!(left(&agent), eq(Duration::from_millis(100)));
    agent.advance(200);
    expect_that!(left(&agent), eq(Duration::ZERO));
    agent.echo_all(1, Duration::from_millis(10));
    expect_that!(left(&agent), eq(timeout));
}

/// Delivers frame 5 of the entry on the first link, which then ends, and links the entry again after
/// `pause_ms`. Returns the sequence number that the first report names.
fn received_after_link(pause_ms: u64) -> Option<u64> {
    let mut agent = Agent::new();
    let header = FrameHeader {
        seq: 5,
        ..agent.header(Duration::ZERO)
    };
    agent.supervisor.frame_received(agent.now, LINK, &header);
    agent.supervisor.unlinked(agent.now, LINK);
    agent.advance(pause_ms);
    let now = agent.now;
    let supervisor = &mut agent.supervisor;
    supervisor.linked(now, LINK + 1, ENTRY, None, now, 0);
    agent.collect();
    agent
        .held
        .last()
        .expect("a link has a first report")
        .received
}

#[gtest]
fn the_first_report_of_a_link_names_the_last_frame_of_the_links_before() {
    expect_that!(received_after_link(100), some(eq(5)));
}

#[gtest]
fn an_agent_that_has_forgotten_an_entry_does_not_say_what_it_received() {
    expect_that!(received_after_link(10_000), none());
}

#[gtest]
fn an_order_on_a_replaced_link_is_ignored() {
    let mut agent = Agent::new();
    let now = agent.now;
    agent.supervisor.linked(now, LINK + 1, ENTRY, None, now, 0);
    agent.order("a", 1);
    expect_that!(agent.starts, is_empty());
    expect_that!(agent.supervisor.orders().count(), eq(0));
}

/// Guards against larger reports of agents that are not to learn of interference.
#[gtest]
fn running_kinds_are_reported_only_if_interference_is_learned() {
    let running = |learns_interference| {
        let mut agent = Agent::with_policy(SupervisorPolicy {
            learns_interference,
            ..SupervisorPolicy::default()
        });
        agent.start("a");
        agent.start("b");
        let state = agent.supervisor.state(agent.now);
        state.map(|state| state.running.into_iter().collect::<Vec<_>>())
    };
    expect_that!(running(true), some(elements_are![eq(&(7, 2))]));
    expect_that!(running(false), some(is_empty()));
}
