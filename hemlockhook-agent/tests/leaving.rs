//! Tests of drains and graceful stops.

mod support;

use std::time::Duration;

use googletest::prelude::*;
use hemlockhook_agent::{Action, Event};
use hemlockhook_ownership::Record;
use hemlockhook_proto::v1::refusal::Reason;
use support::*;

fn has_exited(agent: &Agent) -> bool {
    agent.actions.contains(&Action::Exit)
}

#[gtest]
fn stop_notifies_every_entry_and_refuses_new_starts() {
    let mut agent = Agent::joined();
    agent.link_entry(1, 5);
    agent.link_entry(2, 6);
    agent.handle(Event::Stop);
    for link in [1, 2] {
        let frames = agent.take_frames(link);
        expect_true!(frames[0].leaving && frames[0].leaving_changed);
    }
    agent.receive(1, starts(vec![start(KEY, 0)]));
    expect_that!(agent.take_refusals(1), elements_are![eq(&Reason::Leaving)]);
}

#[gtest]
fn stop_finishes_tasks_recalls_grants_and_records_the_departure() {
    let mut agent = Agent::joined();
    agent.link_entry(1, 5);
    agent.receive(1, starts(vec![start(KEY, 0)]));
    let tasks = agent.take_runs();
    agent.handle(Event::Stop);
    expect_that!(agent.take_frames(1)[0].recalled_grants, eq(1));

    agent.advance(Duration::from_secs(20));
    expect_that!(agent.take_appends(), is_empty());
    agent.end_task(tasks[0], successful_outcome());
    expect_that!(agent.take_frames(1)[0].done, len(eq(1)));
    expect_that!(agent.take_appends(), is_empty());

    agent.receive(1, returned(1));
    expect_that!(agent.take_appends(), is_empty());
    let frames = agent.take_frames(1);
    let custody = frames.iter().find_map(|frame| frame.custody.as_ref());
    expect_that!(
        custody.map(|c| c.agents.as_slice()),
        some(eq([AGENT].as_slice()))
    );
    expect_that!(custody.map_or(0, |c| c.records.len()), eq(1));

    agent.receive(1, custodian(78));
    expect_that!(
        agent.take_appends(),
        elements_are![eq(&Record::Left {
            incarnation: AGENT,
            custodian: Some(78),
        })]
    );
    expect_false!(has_exited(&agent));
    agent.handle(Event::Appended);
    expect_true!(has_exited(&agent));
}

#[gtest]
fn stop_ends_despite_a_log_outage_a_hanging_task_and_a_silent_entry() {
    let mut agent = Agent::joined();
    agent.link_entry(1, 5);
    agent.receive(1, starts(vec![start(KEY, 0)]));
    agent.take_runs();
    agent.handle(Event::Stop);
    for _ in 0..400 {
        if !agent.take_appends().is_empty() {
            agent.handle(Event::AppendFailed);
        }
        agent.advance(Duration::from_millis(100));
    }
    expect_true!(has_exited(&agent));
    let frames = agent.take_frames(1);
    expect_that!(frames.iter().map(|f| f.done.len()).sum::<usize>(), eq(1));
}

/// During a stop, links are lost, grants are returned, shards are fenced, appends fail and drains are
/// requested or undone at random. The stop must still end by its timeouts.
#[gtest]
fn stop_ends_in_time_whatever_happens_in_its_phases() {
    for seed in 0..300 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut agent = Agent::joined();
        agent.link_entry(1, 5);
        agent.link_entry(2, 6);
        agent.receive(1, starts(vec![start(KEY, 0)]));
        let tasks = agent.take_runs();
        agent.handle(Event::Stop);
        let mut elapsed = Duration::ZERO;
        while !has_exited(&agent) {
            match rng.u8(..20) {
                0 => agent.handle(Event::LinkDown { link: 1 }),
                1 => agent.handle(Event::LinkDown { link: 2 }),
                2 => agent.end_task(tasks[0], successful_outcome()),
                3 => agent.receive(rng.u64(1..3), returned(1)),
                4 => agent.receive(rng.u64(1..3), fence(KEY, ballot(2, 6))),
                5 => agent.handle(Event::AppendFailed),
                6 => agent.receive(1, drain(rng.bool())),
                _ => {
                    let step = Duration::from_millis(rng.u64(1..400));
                    agent.advance(step);
                    elapsed += step;
                }
            }
            assert!(
                elapsed < Duration::from_secs(60),
                "seed {seed}: stop did not end"
            );
        }
    }
}

#[gtest]
fn stop_waits_for_the_owner_of_an_undelivered_result() {
    let mut agent = Agent::joined();
    agent.link_entry(1, 5);
    agent.receive(1, starts(vec![start(KEY, 0)]));
    let tasks = agent.take_runs();
    agent.handle(Event::LinkDown { link: 1 });
    agent.handle(Event::Stop);
    agent.end_task(tasks[0], successful_outcome());
    expect_that!(agent.take_appends(), is_empty());

    agent.link_entry(2, 6);
    agent.receive(2, fence(KEY, ballot(2, 6)));
    agent.receive(2, returned(2));
    agent.receive(2, custodian(78));
    expect_that!(agent.take_appends(), len(eq(1)));
}

#[gtest]
fn stop_asks_entries_in_turn_for_a_custodian_and_records_that_there_is_none() {
    let mut agent = Agent::joined();
    agent.link_entry(1, 5);
    agent.link_entry(2, 6);
    agent.receive(1, returned(1));
    agent.receive(2, returned(1));
    agent.handle(Event::Stop);
    agent.receive(1, returned(2));
    agent.receive(2, returned(2));
    let mut requests = [0, 0];
    for _ in 0..40 {
        for link in [1, 2] {
            let frames = agent.take_frames(link);
            requests[link as usize - 1] += frames.iter().filter(|f| f.custody.is_some()).count();
        }
        agent.advance(Duration::from_millis(100));
    }
    expect_that!(requests, each(ge(2)));
    expect_that!(
        agent.take_appends(),
        elements_are![eq(&Record::Left {
            incarnation: AGENT,
            custodian: None,
        })]
    );
}

#[gtest]
fn adopted_records_of_a_leaving_agent_are_reported() {
    let mut leaving_agent = Agent::joined();
    leaving_agent.link_entry(1, 5);
    leaving_agent.receive(1, starts(vec![start(KEY, 0)]));
    let tasks = leaving_agent.take_runs();
    leaving_agent.end_task(tasks[0], successful_outcome());
    leaving_agent.receive(1, withdraw("farms/job-2"));
    leaving_agent.receive(1, returned(2));
    leaving_agent.handle(Event::Stop);
    leaving_agent.receive(1, returned(2));
    let frames = leaving_agent.take_frames(1);
    let custody = frames.into_iter().find_map(|frame| frame.custody);

    let mut agent = Agent::joined();
    agent.link_entry(1, 5);
    let mut frame = hemlockhook_proto::v1::EntryFrame {
        custody,
        ..Default::default()
    };
    // An agent does not adopt its own records.
    agent.receive(1, frame.clone());
    expect_that!(agent.take_frames(1), is_empty());
    let custody = frame
        .custody
        .as_mut()
        .expect("the leaving agent handed over its records");
    custody.agents = vec![78];
    agent.receive(1, frame);
    expect_that!(agent.take_frames(1)[0].adopted, some(eq(78)));

    agent.receive(1, fence(KEY, ballot(1, 5)));
    let report = agent.take_frames(1)[0].reports[0].clone();
    expect_that!(report.adopted, elements_are![eq(&78)]);
    expect_that!(report.records, len(eq(1)));
    agent.receive(1, starts(vec![start(KEY, 0), start("farms/job-2", 0)]));
    expect_that!(agent.take_refusals(1), each(eq(&Reason::AlreadyStarted)));
}

#[gtest]
fn drain_can_be_undone() {
    let mut agent = Agent::joined();
    agent.link_entry(1, 5);
    agent.receive(1, drain(true));
    expect_true!(agent.take_frames(1)[0].leaving);
    agent.receive(1, returned(2));
    agent.advance(Duration::from_secs(60));
    expect_false!(has_exited(&agent));
    expect_that!(agent.engine.status().grants, eq(0));

    agent.actions.clear();
    agent.receive(1, drain(false));
    let frames = agent.take_frames(1);
    expect_true!(!frames[0].leaving && frames[0].leaving_changed);
    agent.receive(1, starts(vec![start(KEY, 0)]));
    expect_that!(agent.take_runs(), len(eq(1)));
}
