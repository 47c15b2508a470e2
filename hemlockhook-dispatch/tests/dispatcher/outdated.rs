//! Orders that an agent refused because its upstream was replaced meanwhile.

use std::time::Duration;

use googletest::prelude::*;
use hemlockhook_dispatch::agent::UpstreamState;
use hemlockhook_dispatch::entry::{AgentReport, Answer, Order, Refusal};
use hemlockhook_dispatch::{AttemptEnd, Outcome};
use insta::assert_compact_debug_snapshot;

use crate::fixture::{Fixture, job, queue_config, state};

/// Delivers the refusal of an order, with the state of an upstream of this description.
fn refuse(fixture: &mut Fixture, order: &Order, description: u64) {
    let report = AgentReport {
        orders_seen: order.seq,
        state: Some(UpstreamState {
            description,
            ..state(1.0, 8, 8)
        }),
        ends: vec![AttemptEnd {
            task: order.run.task.clone(),
            outcome: Outcome::NotStarted,
            run_ms: 0,
        }],
        held: None,
    };
    fixture
        .dispatcher
        .reported(fixture.now, order.agent, report);
}

/// Returns the descriptions that the orders name.
fn descriptions(orders: &[Order]) -> Vec<Option<u64>> {
    orders.iter().map(|order| order.run.description).collect()
}

/// Guards against a wait: a refused order is placed again in the moment in which the state of the next upstream
/// is known, also at the same agent.
#[gtest]
fn an_order_that_was_refused_for_its_description_is_placed_again_at_once() {
    let mut fixture = Fixture::new(&[1.0], 8);
    fixture.submit_key(job("a", 1, 50), &queue_config(0));
    let first = fixture.orders();
    refuse(&mut fixture, &first[0], 2);
    let second = fixture.orders();
    let named = (descriptions(&first), descriptions(&second));
    assert_compact_debug_snapshot!(named, @"([Some(1)], [Some(2)])");
}

/// Guards against orders to an agent whose upstream is gone, and jobs that wait for it until their deadline.
#[gtest]
fn jobs_are_refused_while_the_only_agent_has_no_upstream() {
    let mut fixture = Fixture::new(&[1.0], 8);
    fixture.dispatcher.tick(fixture.now);
    fixture.now += Duration::from_secs(10);
    fixture.set_state(0, UpstreamState::absent());
    let refused = fixture.submit(job("a", 1, 50), &queue_config(0));
    expect_that!(refused, err(matches_pattern!(Refusal::NoUpstream { .. })));
    fixture.set_state(0, state(1.0, 8, 8));
    fixture.submit_key(job("b", 1, 50), &queue_config(0));
    expect_that!(fixture.orders().len(), eq(1));
}

/// Guards against orders in a busy loop to an agent without room, whose upstream is the same.
#[gtest]
fn an_order_that_was_refused_for_another_reason_is_placed_after_a_pause() {
    let mut fixture = Fixture::new(&[1.0], 8);
    fixture.submit_key(job("a", 1, 50), &queue_config(0));
    let first = fixture.orders();
    refuse(&mut fixture, &first[0], 1);
    expect_that!(fixture.orders().len(), eq(0));
}

/// Guards against a job that fails or counts as begun because its orders were refused.
#[gtest]
fn refusals_for_the_description_do_not_count_as_attempts() {
    let mut fixture = Fixture::new(&[1.0], 8);
    fixture.submit_key(job("a", 1, 50), &queue_config(0));
    for description in 2..8 {
        let orders = fixture.orders();
        refuse(&mut fixture, &orders[0], description);
    }
    let orders = fixture.orders();
    fixture.set_state(
        0,
        UpstreamState {
            is_usable: false,
            description: 8,
            ..state(1.0, 8, 8)
        },
    );
    fixture.end(&orders[0], Outcome::NotStarted);
    expect_that!(fixture.answers(), is_empty());
    fixture.dispatcher.leave(fixture.now);
    let refused = [Answer::NotRun(Refusal::Leaving)];
    expect_that!(fixture.answers(), eq(&refused));
}
