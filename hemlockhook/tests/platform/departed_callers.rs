//! Callers that close their connections while their entry doesn't get to run.

use std::thread;
use std::time::Duration;

use googletest::prelude::*;

use crate::deployment::Deployment;

/// Time for which the callers wait.
const PATIENCE: Duration = Duration::from_millis(150);

/// Time after which the agents would end the links with an entry that stands still.
const LINK_TIMEOUT: Duration = Duration::from_millis(1100);

#[gtest]
fn a_paused_entry_starts_nothing_for_callers_that_left_meanwhile() {
    const JOBS: usize = 40;
    let deployment = Deployment::start("paused", 1, 4);
    expect_that!(deployment.submit(0, "p", 8, 20), some(eq(200)));
    let before = started(&deployment);
    for round in 0..3 {
        deployment.entries[0].set_paused(true);
        thread::scope(|scope| {
            for job in 0..JOBS {
                let deployment = &deployment;
                scope.spawn(move || {
                    let id = format!("p{round}j{job}");
                    assert_eq!(deployment.submit_until(0, &id, (1, 300), PATIENCE), None);
                });
            }
        });
        // The links last, so that the agents can be used at once.
        thread::sleep(LINK_TIMEOUT / 2);
        deployment.entries[0].set_paused(false);
        thread::sleep(LINK_TIMEOUT);
    }
    expect_that!(started(&deployment), eq(before));
    expect_that!(deployment.submit(0, "q", 8, 20), some(eq(200)));
}

fn started(deployment: &Deployment) -> usize {
    deployment
        .workers
        .iter()
        .map(|worker| worker.starts())
        .sum()
}
