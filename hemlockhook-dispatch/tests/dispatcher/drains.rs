//! Drained data centers.

use std::sync::Arc;
use std::time::Duration;

use googletest::prelude::*;
use hemlockhook_dispatch::agent::UpstreamState;
use hemlockhook_dispatch::entry::{Action, AgentReport, Answer, Refusal};
use hemlockhook_dispatch::{Drains, Outcome};

use crate::fixture::{Fixture, hello, job, queue_config, state};

fn drains(position: u64, names: &[&str]) -> Drains {
    Drains {
        position,
        data_centers: names.iter().map(|&name| name.into()).collect(),
    }
}

/// Creates an entry whose agents are in the given data centers.
fn entry(data_centers: &[&str], cores: u64) -> Fixture {
    let mut fixture = Fixture::new(&[], cores);
    for (index, data_center) in data_centers.iter().enumerate() {
        let hello = hemlockhook_dispatch::entry::AgentHello {
            data_center: Arc::from(*data_center),
            ..hello(index as u64 + 1, 0)
        };
        let key = fixture.dispatcher.linked(fixture.now, hello);
        let key = key.expect("the link is not refused");
        fixture.agents.push(key);
        fixture.sent_seqs.push(0);
        fixture.set_state(index, state(1.0, cores, cores));
    }
    // The entry did not start just now, so that it waits for no further agents.
    fixture.dispatcher.tick(fixture.now);
    fixture.now += Duration::from_secs(3);
    for index in 0..data_centers.len() {
        fixture.set_state(index, state(1.0, cores, cores));
    }
    fixture
}

fn set(fixture: &mut Fixture, drains: &Drains) {
    fixture.dispatcher.set_drains(fixture.now, drains);
}

/// Guards against tasks placed in a drained data center, and against an agent that stays unused after
/// the end of its drain or is used because another drain ended.
#[gtest]
fn tasks_go_to_other_data_centers_until_the_drain_ends() {
    let mut fixture = entry(&["east", "west", "north"], 8);
    let places = |fixture: &mut Fixture, id: &str| {
        let submitted = fixture.submit(job(id, 8, 50), &queue_config(0));
        expect_that!(submitted, ok(eq(&())));
        let orders = fixture.orders();
        for order in &orders {
            fixture.end(order, Outcome::Done);
        }
        for index in 0..3 {
            fixture.set_state(index, state(1.0, 8, 8));
        }
        let mut used: Vec<_> = orders.iter().map(|o| fixture.index(o.agent)).collect();
        used.sort_unstable();
        used.dedup();
        used
    };
    set(&mut fixture, &drains(5, &["east"]));
    expect_that!(places(&mut fixture, "a"), not(contains(eq(&0))));
    set(&mut fixture, &drains(6, &["east", "west"]));
    expect_that!(places(&mut fixture, "b"), elements_are![eq(&2)]);
    set(&mut fixture, &drains(7, &["west", "north"]));
    expect_that!(places(&mut fixture, "c"), elements_are![eq(&0)]);
}

/// Guards against an agent that is used since it linked again, or for the first time, during the drain.
#[gtest]
fn an_agent_that_links_during_the_drain_is_not_used() {
    let mut fixture = entry(&["east"], 8);
    set(&mut fixture, &drains(5, &["east"]));
    let hello = hemlockhook_dispatch::entry::AgentHello {
        data_center: "east".into(),
        ..hello(9, 0)
    };
    let key = fixture.dispatcher.linked(fixture.now, hello);
    let report = AgentReport {
        orders_seen: 0,
        state: Some(state(1.0, 8, 8)),
        ends: Vec::new(),
        held: None,
    };
    let key = key.expect("the link is not refused");
    fixture.dispatcher.reported(fixture.now, key, report);
    expect_that!(fixture.dispatcher.usable_agents(fixture.now), eq(0));
    // The entry can still answer, if only with refusals.
    expect_that!(fixture.dispatcher.serving_agents(fixture.now), eq(2));
}

/// Guards against callers that wait in vain while all data centers are drained.
#[gtest]
fn jobs_are_refused_at_once_while_all_data_centers_are_drained() {
    let mut fixture = entry(&["east", "west"], 2);
    let config = queue_config(0);
    expect_that!(fixture.submit(job("runs", 4, 50), &config), ok(eq(&())));
    let running = fixture.orders();
    expect_that!(fixture.submit(job("waits", 1, 50), &config), ok(eq(&())));
    let returned = fixture.orders();
    expect_that!(fixture.answers(), is_empty());
    set(&mut fixture, &drains(5, &["east", "west"]));
    // Tasks that wait at the agents come back as not started.
    for order in &returned {
        fixture.end(order, Outcome::NotStarted);
    }
    fixture.dispatcher.tick(fixture.now);
    let refused = Answer::NotRun(Refusal::NoUpstream {
        retry_after: Duration::from_secs(1),
    });
    expect_that!(fixture.answers(), elements_are![eq(&refused)]);
    expect_that!(
        fixture.submit(job("late", 1, 50), &config),
        err(matches_pattern!(Refusal::NoUpstream { .. }))
    );
    for order in &running {
        fixture.end(order, Outcome::Done);
    }
    expect_that!(fixture.answers(), elements_are![eq(&Answer::Completed)]);
    set(&mut fixture, &drains(6, &[]));
    expect_that!(fixture.submit(job("after", 1, 50), &config), ok(eq(&())));
}

/// Guards against a job that is held, or refused for good, since only a drained upstream can run it.
#[gtest]
fn a_job_that_only_a_drained_upstream_can_run_is_refused_at_once() {
    let mut fixture = entry(&["east", "west"], 2);
    let labelled = UpstreamState {
        labels: vec!["b".into()],
        ..state(1.0, 8, 8)
    };
    fixture.set_state(0, labelled);
    set(&mut fixture, &drains(5, &["east"]));
    let mut bound = job("bound", 1, 50);
    bound.steps[0].required_label = Some("b".into());
    let mut large = job("large", 1, 50);
    large.steps[0].need.cpu = 4000;
    for spec in [bound, large] {
        expect_that!(
            fixture.submit(spec, &queue_config(0)),
            err(matches_pattern!(Refusal::NoUpstream { .. }))
        );
    }
}

/// Guards against refusals beside idle upstreams: all agents with active links are in the drained data
/// center, and those of the others stand by.
#[gtest]
fn agents_of_other_data_centers_are_woken_in_place_of_drained_ones() {
    let mut names = vec!["east"; 6];
    names.extend(["west"; 12]);
    let mut fixture = entry(&names, 4);
    fixture.now += Duration::from_millis(400);
    for index in 0..6 {
        fixture.set_state(index, state(1.0, 4, 4));
    }
    set(&mut fixture, &drains(5, &["east"]));
    let submitted = fixture.submit(job("a", 2, 50), &queue_config(0));
    expect_that!(submitted, ok(eq(&())));
    let mut woken = Vec::new();
    for _ in 0..3 {
        for action in fixture.take_actions() {
            if let Action::Wake(agent) = action {
                woken.push(fixture.index(agent));
            }
        }
        fixture.now += Duration::from_millis(20);
        fixture.dispatcher.tick(fixture.now);
    }
    woken.sort_unstable();
    woken.dedup();
    expect_that!(woken.len(), ge(6));
    expect_that!(woken, each(ge(&6)));
    fixture.set_state(woken[0], state(1.0, 4, 4));
    let places: Vec<_> = fixture.orders().iter().map(|o| o.agent).collect();
    expect_that!(places, each(eq(&fixture.agents[woken[0]])));
    expect_that!(places.len(), eq(2));
}
