//! Large jobs that can't be answered in time, or that nobody waits for, beside others of their queue.

use std::sync::Arc;

use googletest::prelude::*;
use hemlockhook_dispatch::entry::{DispatchPolicy, Refusal};
use hemlockhook_dispatch::{JobSpec, QueueConfig};

use crate::fixture::{Fixture, job, queue_config};

/// Cores of the upstreams together.
const CORES: u64 = 20;

/// Returns an entry that admits jobs by class.
fn entry() -> Fixture {
    let policy = DispatchPolicy {
        is_admission_by_class: true,
        ..DispatchPolicy::default()
    };
    Fixture::with_policy(policy, &[1.0, 1.0], CORES / 2)
}

fn small(id: usize) -> JobSpec {
    job(&format!("small-{id}"), 1, 50)
}

/// Guards against jobs that are known not to be answered in time, and that keep others out.
#[gtest]
fn jobs_with_more_work_than_their_time_allows_keep_no_others_out() {
    let mut fixture = entry();
    let queue = queue_config(0);
    for index in 0..20 {
        // They take all upstreams for 100 s, and their callers wait for 20 s.
        let spec = job(&format!("large-{index}"), 4000, 500);
        let refused = fixture.submit(spec, &queue);
        expect_that!(refused, err(matches_pattern!(Refusal::TooMuchWork { .. })));
    }
    for index in 0..20 {
        expect_that!(fixture.submit(small(index), &queue), ok(eq(&())));
    }
}

/// Guards against the work of departed callers, which is no longer done, counting for their class.
#[gtest]
fn the_queued_work_of_a_departed_caller_leaves_its_class() {
    let mut fixture = entry();
    let other = Arc::new(QueueConfig {
        name: "other".into(),
        ..QueueConfig::clone(&queue_config(0))
    });
    // All cores are taken, orders wait at the upstreams, and a little work stays queued.
    fixture.submit_key(job("busy", CORES as u32 + 8, 500), &other);
    fixture.take_actions();
    let queue = queue_config(0);
    let departed = fixture.submit_key(job("departed", 24, 500), &queue);
    expect_that!(
        fixture.submit(job("beside", 24, 500), &queue),
        err(matches_pattern!(Refusal::Overload { .. }))
    );
    fixture.dispatcher.abandon(fixture.now, departed);
    expect_that!(fixture.submit(job("after", 24, 500), &queue), ok(eq(&())));
}
