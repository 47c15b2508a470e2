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
    expect_that!(agent.take_appends(), is_empty());
    let frames = agent.take_frames(1);
    let custody = frames.iter().find_map(|frame| frame.custody.as_ref());
    expect_that!(
        custody.map(|c| c.agents.as_slice()),
        some(eq([AGENT].as_slice()))
    );
    expect_that!(custody.map_or(0, |c| c.records.len()), eq(1));

    agent.frame(1, custodian(78));
    expect_that!(
        agent.take_appends(),
        elements_are![eq(&Record::Left {
            incarnation: AGENT,
            custodian: Some(78),
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

/// At each step of a stop either link may vanish, and the log may answer or fail.
#[gtest]
fn a_stop_ends_by_time_alone_whatever_happens_at_its_steps() {
    for seed in 0..300 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut agent = Agent::joined();
        agent.link(1, 5);
        agent.link(2, 6);
        agent.frame(1, starts(vec![start(KEY, 0)]));
        let tasks = agent.take_runs();
        agent.handle(Event::Stop);
        let mut elapsed = Duration::ZERO;
        while !has_exit(&agent) {
            match rng.u8(..20) {
                0 => agent.handle(Event::LinkDown { link: 1 }),
                1 => agent.handle(Event::LinkDown { link: 2 }),
                2 => agent.end(tasks[0], done_well()),
                3 => agent.frame(rng.u64(1..3), returned(1)),
                4 => agent.frame(rng.u64(1..3), fence(KEY, ballot(2, 6))),
                5 => agent.handle(Event::AppendFailed),
                6 => agent.frame(1, drain(rng.bool())),
                _ => {
                    let step = Duration::from_millis(rng.u64(1..400));
                    agent.advance(step);
                    elapsed += step;
                }
            }
            assert!(elapsed < Duration::from_secs(60), "seed {seed}: no end");
        }
    }
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
    agent.frame(2, custodian(78));
    expect_that!(agent.take_appends(), len(eq(1)));
}

#[gtest]
fn entries_are_asked_in_turn_for_a_custodian_and_its_lack_is_recorded() {
    let mut agent = Agent::joined();
    agent.link(1, 5);
    agent.link(2, 6);
    agent.frame(1, returned(1));
    agent.frame(2, returned(1));
    agent.handle(Event::Stop);
    agent.frame(1, returned(2));
    agent.frame(2, returned(2));
    let mut asked = [0, 0];
    for _ in 0..40 {
        for link in [1, 2] {
            let frames = agent.take_frames(link);
            asked[link as usize - 1] += frames.iter().filter(|f| f.custody.is_some()).count();
        }
        agent.advance(Duration::from_millis(100));
    }
    expect_that!(asked, each(ge(2)));
    expect_that!(
        agent.take_appends(),
        elements_are![eq(&Record::Left {
            incarnation: AGENT,
            custodian: None,
        })]
    );
}

#[gtest]
fn records_of_a_leaving_agent_are_adopted_and_reported() {
    let mut leaver = Agent::joined();
    leaver.link(1, 5);
    leaver.frame(1, starts(vec![start(KEY, 0)]));
    let tasks = leaver.take_runs();
    leaver.end(tasks[0], done_well());
    leaver.frame(1, withdraw("farms/job-2"));
    leaver.frame(1, returned(2));
    leaver.handle(Event::Stop);
    leaver.frame(1, returned(2));
    let frames = leaver.take_frames(1);
    let custody = frames.into_iter().find_map(|frame| frame.custody);

    let mut agent = Agent::joined();
    agent.link(1, 5);
    let mut frame = hemlockhook_proto::v1::EntryFrame {
        custody,
        ..Default::default()
    };
    // An agent does not adopt its own records.
    agent.frame(1, frame.clone());
    expect_that!(agent.take_frames(1), is_empty());
    let custody = frame.custody.as_mut().expect("the leaver handed over");
    custody.agents = vec![78];
    agent.frame(1, frame);
    expect_that!(agent.take_frames(1)[0].adopted, some(eq(78)));

    agent.frame(1, fence(KEY, ballot(1, 5)));
    let report = agent.take_frames(1)[0].reports[0].clone();
    expect_that!(report.adopted, elements_are![eq(&78)]);
    expect_that!(report.records, len(eq(1)));
    agent.frame(1, starts(vec![start(KEY, 0), start("farms/job-2", 0)]));
    expect_that!(agent.refusals(1), each(eq(&Reason::AlreadyStarted)));
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
