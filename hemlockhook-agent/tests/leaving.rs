//! Drains and graceful stops.

mod support;

use std::time::Duration;

use googletest::prelude::*;
use hemlockhook_agent::{Action, Event};
use hemlockhook_ownership::Record;
use hemlockhook_proto::v1::refusal::Reason;
use support::*;

fn has_exit(agent: &Agent) -> bool {
    agent.actions.contains(&Action::Exit)
}

#[gtest]
fn every_entry_is_told_at_once_and_nothing_more_is_started() {
    let mut agent = Agent::joined();
    agent.link(1, 5);
    agent.link(2, 6);
    agent.handle(Event::Stop);
    for link in [1, 2] {
        let frames = agent.take_frames(link);
        expect_true!(frames[0].leaving && frames[0].leaving_changed);
    }
    agent.frame(1, starts(vec![start(KEY, 0)]));
    expect_that!(agent.refusals(1), elements_are![eq(&Reason::Leaving)]);
}

#[gtest]
fn a_stop_finishes_what_runs_takes_its_grants_back_and_says_so_in_the_log() {
    let mut agent = Agent::joined();
    agent.link(1, 5);
    agent.frame(1, starts(vec![start(KEY, 0)]));
    let tasks = agent.take_runs();
    agent.handle(Event::Stop);
    expect_that!(agent.take_frames(1)[0].recalled_grants, eq(1));

    agent.advance(Duration::from_secs(20));
    expect_that!(agent.take_appends(), is_empty());
    agent.end(tasks[0], done_well());
    expect_that!(agent.take_frames(1)[0].done, len(eq(1)));
    expect_that!(agent.take_appends(), is_empty());

    agent.frame(1, returned(1));
    expect_that!(
        agent.take_appends(),
        elements_are![matches_pattern!(Record::Left {
            incarnation: eq(&AGENT),
            ..
        })]
    );
    expect_false!(has_exit(&agent));
    agent.handle(Event::Appended);
    expect_true!(has_exit(&agent));
}

#[gtest]
fn a_stop_ends_with_the_log_down_a_task_that_hangs_and_an_entry_that_is_silent() {
    let mut agent = Agent::joined();
    agent.link(1, 5);
    agent.frame(1, starts(vec![start(KEY, 0)]));
    agent.take_runs();
    agent.handle(Event::Stop);
    for _ in 0..400 {
        if !agent.take_appends().is_empty() {
            agent.handle(Event::AppendFailed);
        }
        agent.advance(Duration::from_millis(100));
    }
    expect_true!(has_exit(&agent));
    let frames = agent.take_frames(1);
    expect_that!(frames.iter().map(|f| f.done.len()).sum::<usize>(), eq(1));
}

#[gtest]
fn a_result_without_a_linked_owner_is_waited_with_for_a_while() {
    let mut agent = Agent::joined();
    agent.link(1, 5);
    agent.frame(1, starts(vec![start(KEY, 0)]));
    let tasks = agent.take_runs();
    agent.handle(Event::LinkDown { link: 1 });
    agent.handle(Event::Stop);
    agent.end(tasks[0], done_well());
    expect_that!(agent.take_appends(), is_empty());

    agent.link(2, 6);
    agent.frame(2, fence(KEY, ballot(2, 6)));
    agent.frame(2, returned(2));
    expect_that!(agent.take_appends(), len(eq(1)));
}

#[gtest]
fn a_drain_is_taken_back() {
    let mut agent = Agent::joined();
    agent.link(1, 5);
    agent.frame(1, drain(true));
    expect_true!(agent.take_frames(1)[0].leaving);
    agent.frame(1, returned(2));
    agent.advance(Duration::from_secs(60));
    expect_false!(has_exit(&agent));
    expect_that!(agent.engine.status().grants, eq(0));

    agent.actions.clear();
    agent.frame(1, drain(false));
    let frames = agent.take_frames(1);
    expect_true!(!frames[0].leaving && frames[0].leaving_changed);
    agent.frame(1, starts(vec![start(KEY, 0)]));
    expect_that!(agent.take_runs(), len(eq(1)));
}
