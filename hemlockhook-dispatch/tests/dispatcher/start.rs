//! Admission right after a start, while the agents link one after the other.

use std::time::Duration;

use googletest::prelude::*;
use hemlockhook_dispatch::entry::{AgentReport, Answer, Refusal};

use crate::fixture::{CORE, Fixture, hello, job, queue_config, state};

/// Cores of an upstream.
const CORES: u64 = 10;

/// Links one more agent with an empty upstream.
fn link(fixture: &mut Fixture, incarnation: u64) {
    let dispatcher = &mut fixture.dispatcher;
    let key = dispatcher
        .linked(fixture.now, hello(incarnation, 0))
        .expect("the link is not refused");
    let report = AgentReport {
        orders_seen: 0,
        state: Some(state(1.0, CORES, CORES)),
        ends: Vec::new(),
        held: None,
    };
    dispatcher.reported(fixture.now, key, report);
    fixture.agents.push(key);
    fixture.sent_seqs.push(0);
}

/// After a loss of all power, the callers of an entry submit their jobs again before all of its
/// agents have linked.
#[gtest]
fn jobs_wait_for_the_agents_that_are_about_to_link() {
    let mut fixture = Fixture::new(&[], CORES);
    fixture.dispatcher.tick(fixture.now);
    link(&mut fixture, 1);
    let config = queue_config(0);
    for index in 0..8 {
        let submitted = fixture.submit(job(&format!("job-{index}"), 10, 100), &config);
        expect_that!(submitted, ok(eq(&())));
    }
    for incarnation in 2..=8 {
        fixture.now += Duration::from_millis(8);
        fixture.dispatcher.tick(fixture.now);
        link(&mut fixture, incarnation);
    }
    let orders = fixture.orders();
    expect_that!(orders.len(), eq(80));
    let cpu: u64 = orders.iter().map(|order| order.run.need.cpu).sum();
    expect_that!(cpu, eq(8 * CORES * CORE));
    expect_that!(fixture.answers(), is_empty());
}

#[gtest]
fn jobs_are_refused_once_no_more_agents_link() {
    let mut fixture = Fixture::new(&[], CORES);
    fixture.dispatcher.tick(fixture.now);
    link(&mut fixture, 1);
    let config = queue_config(0);
    for index in 0..8 {
        let submitted = fixture.submit(job(&format!("job-{index}"), 10, 100), &config);
        expect_that!(submitted, ok(eq(&())));
    }
    fixture.now += Duration::from_millis(130);
    fixture.report_all();
    fixture.dispatcher.tick(fixture.now);
    let refused = |answer: &Answer| matches!(answer, Answer::NotRun(Refusal::Overload { .. }));
    expect_that!(
        fixture.answers().iter().filter(|&a| refused(a)).count(),
        gt(0)
    );
}

/// Agents that link one by one for long do not suspend admission control.
#[gtest]
fn admission_control_is_suspended_for_a_bounded_time() {
    let mut fixture = Fixture::new(&[], CORES);
    fixture.dispatcher.tick(fixture.now);
    let config = queue_config(0);
    let mut refused = 0;
    for round in 1..=10 {
        link(&mut fixture, round);
        for index in 0..8 {
            let id = format!("job-{round}-{index}");
            refused += usize::from(fixture.submit(job(&id, 10, 100), &config).is_err());
        }
        fixture.now += Duration::from_millis(60);
    }
    expect_that!(refused, gt(0));
}
