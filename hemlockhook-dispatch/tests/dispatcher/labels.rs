//! Jobs that require a label of their upstream.

use std::time::Duration;

use googletest::prelude::*;
use hemlockhook_dispatch::agent::UpstreamState;
use hemlockhook_dispatch::entry::{Answer, DispatchPolicy, Order, Refusal};
use hemlockhook_dispatch::{JobSpec, Outcome};
use insta::assert_compact_debug_snapshot;

use crate::fixture::{CORE, Fixture, job, queue_config, state};

/// Number of cores of each upstream.
const CORES: u64 = 4;

/// Creates an entry that has started long ago, with an upstream for each label.
fn entry(labels: &[&str]) -> Fixture {
    let mut fixture = Fixture::new(&vec![1.0; labels.len()], CORES);
    fixture.dispatcher.tick(fixture.now);
    fixture.now += Duration::from_secs(60);
    for (index, label) in labels.iter().enumerate() {
        fixture.set_state(index, labelled(label, 1));
    }
    fixture
}

fn labelled(label: &str, description: u64) -> UpstreamState {
    UpstreamState {
        description,
        labels: vec![label.into()],
        ..state(1.0, CORES, CORES)
    }
}

/// Returns a job that takes all cores of an upstream with the label `b`.
fn bound(id: &str) -> JobSpec {
    let mut spec = job(id, 1, 200);
    spec.steps[0].need.cpu = CORES * CORE;
    spec.steps[0].required_label = Some("b".into());
    spec
}

/// Submits jobs that each take the upstream with the label `b` as a whole. The first one begins there, the second
/// one waits there, and the third one is queued. Returns the orders of the first two.
fn queue_jobs(fixture: &mut Fixture) -> Vec<Order> {
    for id in ["begun", "waiting", "queued"] {
        fixture.submit_key(bound(id), &queue_config(0));
    }
    fixture.orders()
}

/// Returns the answers that a tick gives.
fn answers_after_tick(fixture: &mut Fixture) -> Vec<Answer> {
    fixture.dispatcher.tick(fixture.now);
    fixture.answers()
}

fn missing_label() -> Answer {
    let retry_after = DispatchPolicy::default().min_retry_after;
    Answer::NotRun(Refusal::MissingLabel { retry_after })
}

/// Guards against a job that is held until its deadline: no upstream that is up has its label, or the one that has
/// it is too small.
#[gtest]
fn a_job_whose_label_no_upstream_has_is_refused_on_arrival() {
    let mut fixture = entry(&["a", "b"]);
    let mut unknown = job("unknown", 1, 50);
    unknown.steps[0].required_label = Some("c".into());
    let mut large = bound("large");
    large.steps[0].need.cpu += CORE;
    let mut later = job("later", 1, 50);
    later.steps.push(unknown.steps[0].clone());
    let specs = [unknown, large, later, bound("b")];
    let submitted = specs.map(|spec| fixture.submit(spec, &queue_config(0)));
    assert_compact_debug_snapshot!(submitted, @"[Err(MissingLabel { retry_after: 1s }), Err(MissingLabel { retry_after: 1s }), Err(MissingLabel { retry_after: 1s }), Ok(())]");
}

/// Guards against a queued job that waits for an upstream of another kind than before, and against a refusal of
/// one that has begun.
#[gtest]
fn a_queued_job_is_refused_once_no_upstream_has_its_label() {
    let mut fixture = entry(&["a", "b"]);
    expect_that!(queue_jobs(&mut fixture).len(), eq(2));
    expect_that!(answers_after_tick(&mut fixture), is_empty());
    fixture.set_state(1, labelled("a", 2));
    expect_that!(answers_after_tick(&mut fixture), eq(&[missing_label()]));
    expect_that!(fixture.dispatcher.jobs(), eq(2));
}

/// Guards against the same if the upstream is gone and no other has taken its place.
#[gtest]
fn a_queued_job_is_refused_once_the_upstream_with_its_label_is_gone() {
    let mut fixture = entry(&["a", "b"]);
    let orders = queue_jobs(&mut fixture);
    fixture.set_state(1, UpstreamState::absent());
    for order in &orders {
        fixture.end(order, Outcome::NotStarted);
    }
    let all = [missing_label(), missing_label(), missing_label()];
    expect_that!(answers_after_tick(&mut fixture), eq(&all));
}

/// Guards against refusals while an upstream with the label is up, but its agent's link is lost, the agent stands
/// by, or it has yet to read the lists of a new life.
#[gtest]
fn a_queued_job_waits_for_an_upstream_with_its_label_that_may_accept_work_soon() {
    let mut fixture = entry(&["a", "b"]);
    queue_jobs(&mut fixture);
    let agent = fixture.agents[1];
    fixture.dispatcher.unlinked(fixture.now, agent);
    expect_that!(answers_after_tick(&mut fixture), is_empty());

    let mut fixture = entry(&["a", "b"]);
    queue_jobs(&mut fixture);
    fixture.now += Duration::from_millis(400);
    fixture.set_state(0, labelled("a", 1));
    expect_that!(answers_after_tick(&mut fixture), is_empty());

    let mut fixture = entry(&["a", "b"]);
    queue_jobs(&mut fixture);
    let next_life = UpstreamState {
        is_usable: false,
        ..labelled("b", 2)
    };
    fixture.set_state(1, next_life);
    expect_that!(answers_after_tick(&mut fixture), is_empty());
    fixture.now += Duration::from_millis(150);
    expect_that!(answers_after_tick(&mut fixture), eq(&[missing_label()]));
}
