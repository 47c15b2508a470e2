//! Tests of upstreams that are announced again while tasks run, and of leaving agents.

use std::time::{Duration, Instant};

use googletest::prelude::*;
use hemlockhook_schedule::{
    Demand, Dispatcher, JobSpec, Policy, SlotTable, TaskSpec, UpstreamSpec,
};

const AGENT: u64 = 7;

fn upstream(slots: u32) -> UpstreamSpec {
    UpstreamSpec {
        name: "desk".into(),
        services: vec!["quote".into()],
        worker: "worker".into(),
        rack: "rack".into(),
        data_center: "osijek".into(),
        slots,
    }
}

fn job(deadline: Instant) -> JobSpec {
    let task = |index| TaskSpec {
        index,
        class: "".into(),
        declared_run_time: Some(Duration::from_millis(100)),
    };
    JobSpec {
        team: "sales".into(),
        service: "quote".into(),
        deadline,
        tasks: (0..2).map(task).collect(),
    }
}

#[gtest]
fn reannounced_upstream_keeps_grants_and_running_tasks() {
    let now = Instant::now();
    let mut dispatcher = Dispatcher::new(Policy::default(), "osijek");
    dispatcher.add_upstream(now, AGENT, upstream(4));
    dispatcher.add_grants(now, AGENT, 2);
    let job = dispatcher
        .submit(now, job(now + Duration::from_secs(60)))
        .unwrap();
    let first = dispatcher.place_next(now).unwrap();

    dispatcher.add_upstream(now, AGENT, upstream(8));
    let second = dispatcher.place_next(now);
    expect_that!(second, some(anything()));

    let later = now + Duration::from_millis(100);
    dispatcher.finish_task(
        later,
        AGENT,
        job,
        first.index,
        Duration::from_millis(100),
        true,
    );
    let upstreams = dispatcher.snapshot().upstreams;
    expect_that!(upstreams.len(), eq(1));
    expect_that!(upstreams[0].running, eq(1));
    expect_that!(upstreams[0].grants, eq(0));
}

#[gtest]
fn tasks_placed_before_a_slot_reduction_may_all_fail() {
    let now = Instant::now();
    let mut dispatcher = Dispatcher::new(Policy::default(), "osijek");
    (AGENT..AGENT + 2).for_each(|agent| dispatcher.add_upstream(now, agent, upstream(16)));
    let mut later = now;
    let mut placed = Vec::new();
    for _ in 0..16 {
        later += Duration::from_secs(1);
        dispatcher.add_grants(later, AGENT, 1);
        dispatcher
            .submit(later, job(later + Duration::from_secs(60)))
            .unwrap();
        placed.extend(std::iter::from_fn(|| dispatcher.place_next(later)));
    }
    dispatcher.add_upstream(later, AGENT, upstream(1));
    for task in &placed {
        let ran = Duration::from_millis(1);
        dispatcher.finish_task(later, AGENT, task.job, task.index, ran, false);
    }
    expect_that!(placed.len(), ge(8));
    expect_that!(dispatcher.snapshot().upstreams[0].running, eq(0));
}

#[gtest]
fn leaving_agent_with_a_pending_recall_schedules_no_wakeup() {
    let now = Instant::now();
    let mut slots = SlotTable::new(2);
    slots.add_entry(now, 1);
    slots.add_entry(now, 2);
    slots.take_actions(now);
    let backlog = Demand {
        queued: 5,
        ..Demand::default()
    };
    let later = now + Duration::from_secs(1);
    slots.set_demand(later, 2, backlog);
    slots.take_actions(later);
    expect_that!(slots.next_wakeup(), some(gt(later)));

    slots.set_leaving(later, true);
    let much_later = later + Duration::from_secs(1);
    slots.take_actions(much_later);
    expect_that!(slots.next_wakeup(), none());
}
