//! Tests of starts, results, cancellations, withdrawals, fences and links.

mod support;

use googletest::prelude::*;
use hemlockhook_agent::{Action, Event};
use hemlockhook_proto::v1;
use hemlockhook_proto::v1::refusal::Reason;
use hemlockhook_proto::v1::task_result::Kind;
use hemlockhook_types::TaskOutcome;
use support::*;

fn kinds(frames: &[v1::AgentFrame]) -> Vec<Kind> {
    let done = frames.iter().flat_map(|frame| &frame.done);
    done.filter_map(|done| done.result.as_ref().map(v1::TaskResult::kind))
        .collect()
}

#[gtest]
fn task_uses_a_grant_and_its_result_is_sent_with_the_next_grant() {
    let mut agent = Agent::joined();
    agent.receive(1, hello(5));
    let hello_frames = agent.take_frames(1);
    expect_that!(hello_frames.iter().map(|f| f.grants).sum::<u32>(), eq(2));

    agent.receive(1, starts(vec![start(KEY, 0)]));
    let tasks = agent.take_runs();
    expect_that!(tasks, len(eq(1)));
    agent.end_task(tasks[0], successful_outcome());
    let frames = agent.take_frames(1);
    expect_that!(frames, len(eq(1)));
    expect_that!(kinds(&frames), elements_are![eq(&Kind::Ok)]);
    expect_that!(frames[0].grants, eq(1));
}

#[gtest]
fn task_never_starts_twice() {
    let mut agent = Agent::joined();
    agent.link_entry(1, 5);
    agent.receive(1, starts(vec![start(KEY, 0), start(KEY, 0)]));
    let tasks = agent.take_runs();
    expect_that!(tasks, len(eq(1)));
    expect_that!(
        agent.take_refusals(1),
        elements_are![eq(&Reason::AlreadyStarted)]
    );

    agent.end_task(tasks[0], successful_outcome());
    agent.receive(1, starts(vec![start(KEY, 0)]));
    expect_that!(agent.take_runs(), is_empty());
    expect_that!(
        agent.take_refusals(1),
        elements_are![eq(&Reason::AlreadyStarted)]
    );
}

#[gtest]
fn repeated_start_without_a_grant_is_refused_as_already_started() {
    let mut agent = Agent::joined();
    agent.link_entry(1, 5);
    agent.receive(1, starts(vec![start(KEY, 0), start(KEY, 1), start(KEY, 2)]));
    expect_that!(agent.take_runs(), len(eq(2)));
    expect_that!(agent.take_refusals(1), elements_are![eq(&Reason::NoGrant)]);

    // If this were refused for lack of a grant, the entry would start the task on another upstream.
    agent.receive(1, starts(vec![start(KEY, 0)]));
    expect_that!(
        agent.take_refusals(1),
        elements_are![eq(&Reason::AlreadyStarted)]
    );
}

#[gtest]
fn result_goes_to_the_owner_of_the_shards_floor() {
    let mut agent = Agent::joined();
    agent.link_entry(1, 5);
    agent.link_entry(2, 6);
    agent.receive(1, starts(vec![start(KEY, 0)]));
    let tasks = agent.take_runs();

    agent.receive(2, fence(KEY, ballot(2, 6)));
    let reports = agent.take_frames(2);
    let record = &reports[0].reports[0].records[0];
    expect_that!(record.key, eq(KEY));
    expect_that!(record.result, none());

    agent.end_task(tasks[0], successful_outcome());
    expect_that!(kinds(&agent.take_frames(2)), elements_are![eq(&Kind::Ok)]);
    expect_that!(kinds(&agent.take_frames(1)), is_empty());
    agent.receive(1, starts(vec![start(KEY, 1)]));
    expect_that!(
        agent.take_refusals(1),
        elements_are![eq(&Reason::StaleBallot)]
    );
}

#[gtest]
fn result_is_sent_after_the_report_that_lists_its_task_as_running() {
    let mut agent = Agent::joined();
    agent.link_entry(1, 5);
    agent.receive(1, starts(vec![start(KEY, 0)]));
    let tasks = agent.take_runs();
    let now = agent.now;
    let frame = Box::new(fence(KEY, ballot(1, 5)));
    agent.engine.handle(now, Event::Frame { link: 1, frame });
    let result = hemlockhook_types::TaskResult {
        outcome: successful_outcome(),
        run_time: std::time::Duration::ZERO,
    };
    let task = tasks[0];
    agent.engine.handle(now, Event::TaskEnded { task, result });
    agent.poll();

    let frames = agent.take_frames(1);
    expect_that!(frames, len(eq(2)));
    expect_that!(frames[0].reports, len(eq(1)));
    expect_that!(frames[0].done, is_empty());
    expect_that!(kinds(&frames[1..]), elements_are![eq(&Kind::Ok)]);
}

#[gtest]
fn result_without_a_linked_owner_is_reported_at_the_next_fence() {
    let mut agent = Agent::joined();
    agent.link_entry(1, 5);
    agent.receive(1, starts(vec![start(KEY, 0)]));
    let tasks = agent.take_runs();
    agent.handle(Event::LinkDown { link: 1 });
    agent.end_task(tasks[0], successful_outcome());

    agent.link_entry(2, 5);
    agent.receive(2, fence(KEY, ballot(1, 5)));
    let frames = agent.take_frames(2);
    let record = &frames[0].reports[0].records[0];
    expect_that!(
        record.result.as_ref().map(v1::TaskResult::kind),
        some(eq(Kind::Ok))
    );
}

#[gtest]
fn late_result_of_a_cancelled_task_is_dropped() {
    let mut agent = Agent::joined();
    agent.link_entry(1, 5);
    agent.receive(1, starts(vec![start(KEY, 0), start(KEY, 1)]));
    let tasks = agent.take_runs();
    agent.receive(1, cancel(KEY));
    for task in &tasks {
        expect_that!(
            agent.actions,
            contains(eq(&Action::StopTask { task: *task }))
        );
    }
    let frames = agent.take_frames(1);
    expect_that!(kinds(&frames), each(eq(&Kind::Cancelled)));

    agent.end_task(tasks[0], successful_outcome());
    expect_that!(agent.take_frames(1), is_empty());
    expect_that!(agent.engine.status().counters.late_answers, eq(1));
    expect_that!(agent.engine.status().running, eq(0));
}

#[gtest]
fn withdrawn_job_never_starts_and_started_job_is_not_withdrawn() {
    let mut agent = Agent::joined();
    agent.link_entry(1, 5);
    agent.receive(1, withdraw(KEY));
    let frames = agent.take_frames(1);
    expect_that!(frames[0].withdrawn[0].refusal, none());
    agent.receive(1, starts(vec![start(KEY, 0)]));
    expect_that!(
        agent.take_refusals(1),
        elements_are![eq(&Reason::AlreadyStarted)]
    );

    agent.receive(1, starts(vec![start("farms/job-2", 0)]));
    expect_that!(agent.take_runs(), len(eq(1)));
    agent.receive(1, withdraw("farms/job-2"));
    let frames = agent.take_frames(1);
    let withdrawn = frames.iter().flat_map(|frame| &frame.withdrawn);
    let refusals = withdrawn.map(|withdrawn| withdrawn.refusal());
    expect_that!(
        refusals.collect::<Vec<_>>(),
        elements_are![eq(&Reason::AlreadyStarted)]
    );
}

#[gtest]
fn former_owner_cannot_cancel() {
    let mut agent = Agent::joined();
    agent.link_entry(1, 5);
    agent.link_entry(2, 6);
    agent.receive(1, starts(vec![start(KEY, 0)]));
    agent.receive(2, fence(KEY, ballot(2, 6)));
    agent.receive(1, cancel(KEY));
    expect_that!(agent.engine.status().running, eq(1));
}

#[gtest]
fn second_link_of_an_entry_replaces_the_first() {
    let mut agent = Agent::joined();
    agent.link_entry(1, 5);
    agent.receive(2, hello(5));
    expect_that!(agent.actions, contains(eq(&Action::CloseLink { link: 1 })));
    agent.receive(1, starts(vec![start(KEY, 0)]));
    expect_that!(agent.take_runs(), is_empty());
    // The end of the first link does not affect the second.
    agent.handle(Event::LinkDown { link: 1 });
    agent.receive(2, starts(vec![start(KEY, 0)]));
    expect_that!(agent.take_runs(), len(eq(1)));
}

#[gtest]
fn silent_entry_loses_its_link_and_its_grants() {
    let mut agent = Agent::joined();
    agent.link_entry(1, 5);
    agent.link_entry(2, 6);
    let demand = v1::EntryFrame {
        demand: Some(v1::Demand {
            queued: 8,
            head_urgency: 1,
            queued_long: 0,
        }),
        ..v1::EntryFrame::default()
    };
    agent.receive(2, demand);
    for _ in 0..30 {
        agent.advance(std::time::Duration::from_millis(50));
    }
    expect_that!(agent.actions, contains(eq(&Action::CloseLink { link: 1 })));
    let frames = agent.take_frames(2);
    expect_that!(frames.iter().map(|f| f.grants).sum::<u32>(), ge(1));
    // Later starts on the closed link are ignored.
    agent.receive(1, starts(vec![start(KEY, 0)]));
    expect_that!(agent.take_runs(), is_empty());
    expect_that!(agent.engine.status().links, eq(1));
}

#[gtest]
fn malformed_frame_closes_its_link() {
    let bad = [
        v1::Start {
            shard: 9999,
            ..start(KEY, 0)
        },
        v1::Start {
            index: 4,
            ..start(KEY, 0)
        },
    ];
    for start in bad {
        let mut agent = Agent::joined();
        agent.link_entry(1, 5);
        agent.receive(1, starts(vec![start]));
        expect_that!(agent.actions, contains(eq(&Action::CloseLink { link: 1 })));
        expect_that!(agent.engine.status().links, eq(0));
    }

    let mut agent = Agent::joined();
    agent.receive(1, returned(1));
    expect_that!(agent.actions, contains(eq(&Action::CloseLink { link: 1 })));
}

#[gtest]
fn failure_is_reported_with_its_reason() {
    let mut agent = Agent::joined();
    agent.link_entry(1, 5);
    agent.receive(1, starts(vec![start(KEY, 0)]));
    let tasks = agent.take_runs();
    agent.end_task(tasks[0], TaskOutcome::Failed("no film".to_owned()));
    let frames = agent.take_frames(1);
    let result = frames[0].done[0].result.as_ref();
    expect_that!(
        result.map(|result| result.reason.as_str()),
        some(eq("no film"))
    );
}
