//! Agents that stand by, what an entry reads of the others, and the part that it can count on.

use std::time::Duration;

use googletest::prelude::*;
use hemlockhook_dispatch::Outcome;
use hemlockhook_dispatch::agent::UpstreamState;
use hemlockhook_dispatch::entry::{Action, AgentKey, DispatchPolicy, Dispatcher, Refusal};

use crate::fixture::{Fixture, hello, job, queue_config, state};

/// Time without reports after which an agent counts as standing by.
const SILENCE: Duration = Duration::from_millis(400);

fn woken(fixture: &mut Fixture) -> Vec<AgentKey> {
    let actions = fixture.take_actions().into_iter();
    let woken = |action| match action {
        Action::Wake(agent) => Some(agent),
        _ => None,
    };
    actions.filter_map(woken).collect()
}

/// An entry with more traffic than its active links can take: the balancer gave it several clients.
#[gtest]
fn agents_that_stand_by_are_asked_once_tasks_cannot_be_placed() {
    let mut fixture = Fixture::new(&[1.0; 20], 4);
    fixture.now += SILENCE;
    // Two agents have active links, and one of them has room for four tasks.
    fixture.set_state(0, state(1.0, 4, 4));
    fixture.set_state(1, state(1.0, 4, 0));
    let config = queue_config(0);
    expect_that!(fixture.submit(job("fits", 4, 50), &config), ok(eq(&())));
    expect_that!(woken(&mut fixture), is_empty());

    expect_that!(fixture.submit(job("waits", 4, 50), &config), ok(eq(&())));
    let first = woken(&mut fixture);
    expect_that!(first.len(), eq(DispatchPolicy::default().wake_count));
    let active: Vec<_> = fixture.agents[..2].to_vec();
    expect_false!(first.iter().any(|agent| active.contains(agent)));

    // No others are asked before those can have answered.
    fixture
        .dispatcher
        .tick(fixture.now + Duration::from_millis(5));
    expect_that!(woken(&mut fixture), is_empty());
    fixture
        .dispatcher
        .tick(fixture.now + Duration::from_millis(15));
    let second = woken(&mut fixture);
    expect_that!(second.len(), eq(first.len()));
    expect_false!(second.iter().any(|agent| first.contains(agent)));

    // Two of the four tasks wait at the agents with active links, the others go to the first that
    // answers with room.
    let index = fixture.agents.iter().position(|agent| *agent == first[0]);
    fixture.set_state(index.expect("an agent of the test"), state(1.0, 4, 4));
    let orders = fixture.orders();
    expect_that!(orders.len(), eq(2));
    expect_true!(orders.iter().all(|order| order.agent == first[0]));
}

#[gtest]
fn what_an_entry_reads_does_not_grow_with_the_number_of_agents() {
    let reports_per_s = |agents: usize| {
        let mut fixture = Fixture::new(&vec![1.0; agents], 4);
        fixture.dispatcher.tick(fixture.now);
        agents as f64 / fixture.dispatcher.state_interval().as_secs_f64()
    };
    let limit = f64::from(DispatchPolicy::default().reports_per_s);
    for agents in [7, 35, 160, 776] {
        expect_that!(reports_per_s(agents), approx_eq(limit));
    }
}

/// Clients move to one entry of four: it uses most of the upstreams, which are all busy.
#[gtest]
fn an_entry_that_uses_most_of_the_upstreams_admits_by_that_part() {
    let submitted = |share: f64| {
        let mut fixture = Fixture::new(&[1.0; 4], 8);
        let full = UpstreamState {
            share,
            waiting: 8,
            ..state(1.0, 8, 0)
        };
        for index in 0..4 {
            fixture.set_state(index, full.clone());
        }
        let mut submit = |id: &str| fixture.submit(job(id, 8, 100), &queue_config(0));
        ["a", "b", "c", "d"].into_iter().try_for_each(&mut submit)
    };
    expect_that!(submitted(0.8), ok(eq(&())));
    expect_that!(
        submitted(0.25),
        err(matches_pattern!(Refusal::Overload { .. }))
    );
}

/// A crest at which the fast upstreams have little room left. A step ends with its slowest task.
#[gtest]
fn tasks_of_a_wide_step_leave_more_time_than_a_single_one() {
    let slow_orders = |tasks: u32| {
        let mut fixture = Fixture::new(&[0.7, 1.5], 20);
        fixture.set_state(0, state(0.7, 20, 5));
        // The objective of 100 ms is 220 ms, and a run on the slow upstream takes 150 ms.
        expect_that!(
            fixture.submit(job("a", tasks, 100), &queue_config(0)),
            ok(eq(&()))
        );
        let slow = fixture.agents[1];
        let orders = fixture.orders();
        orders.iter().filter(|order| order.agent == slow).count()
    };
    expect_that!(slow_orders(1), eq(1));
    expect_that!(slow_orders(4), eq(0));
}

/// Jobs were refused although agents that could be woken, or whose orders were only paused, had room.
#[gtest]
fn no_job_is_refused_while_an_agent_that_stands_by_or_is_paused_has_room() {
    let mut fixture = Fixture::new(&[1.0; 2], 4);
    let policy = DispatchPolicy {
        is_admission_by_class: true,
        ..DispatchPolicy::default()
    };
    fixture.dispatcher = Dispatcher::new(policy);
    for index in 0..2 {
        let linked = fixture
            .dispatcher
            .linked(fixture.now, hello(index as u64 + 1, 0));
        fixture.agents[index] = linked.expect("the link is not refused");
        fixture.set_state(index, state(1.0, 4, 4));
    }
    fixture.now += SILENCE;
    fixture.set_state(0, state(1.0, 4, 0));
    let config = queue_config(0);
    let fill = |fixture: &mut Fixture, name: &str| {
        let mut ids = (0..100).map(|index| format!("{name}-{index}"));
        ids.position(|id| fixture.submit(job(&id, 1, 50), &config).is_err())
    };
    // The agent that stands by has room for four.
    expect_that!(fill(&mut fixture, "standby"), some(ge(4)));

    // The agent that stands by reports that it is full, the other one has returned a task.
    fixture.set_state(1, state(1.0, 4, 0));
    expect_that!(fill(&mut fixture, "full"), some(anything()));
    let orders = fixture.orders();
    expect_that!(orders.is_empty(), eq(false));
    fixture.end(&orders[0], Outcome::NotStarted);
    // None of the queued jobs is placed at an agent that is paused, and it has room for all.
    fixture.set_state(0, state(1.0, 400, 400));
    let submitted = fixture.submit(job("fits", 1, 50), &config);
    expect_that!(submitted, ok(eq(&())));
}
