//! Callers that close their connections while their entry doesn't get to run.

use std::thread;
use std::time::Duration;

use googletest::prelude::*;

use crate::deployment::Deployment;

/// Time for which the callers wait.
const PATIENCE: Duration = Duration::from_millis(150);

/// Time after which the agents would end the links with an entry that stands still.
const LINK_TIMEOUT: Duration = Duration::from_millis(1100);

/// Pauses the entry while callers submit jobs and leave, for each time after they have left, and checks
/// that none of their tasks is started.
fn check_pauses(name: &str, times: &[Duration]) {
    const JOBS: usize = 40;
    let deployment = Deployment::start(name, 1, 4);
    expect_that!(deployment.submit(0, "p", 8, 20), some(eq(200)));
    let before = started(&deployment);
    for (round, &time) in times.iter().enumerate() {
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
        thread::sleep(time);
        deployment.entries[0].set_paused(false);
        thread::sleep(LINK_TIMEOUT);
    }
    expect_that!(started(&deployment), eq(before));
    expect_that!(deployment.submit(0, "q", 8, 20), some(eq(200)));
}

#[gtest]
fn a_paused_entry_starts_nothing_for_callers_that_left_meanwhile() {
    // The links last, so that the agents can be used at once.
    check_pauses("paused", &[LINK_TIMEOUT / 2; 3]);
}

/// Guards against the fault of review/3: requests that waited in sockets were taken for new ones, and
/// agents that linked again were used by what they had reported before the pause.
#[gtest]
fn a_paused_entry_whose_links_have_ended_starts_nothing_for_callers_that_left_meanwhile() {
    // Where the agents are with their attempts to link again at the end of the pause differs.
    let times = [3350, 3200, 3050, 2000, 1200].map(Duration::from_millis);
    check_pauses("unlinked", &times);
}

fn started(deployment: &Deployment) -> usize {
    deployment
        .workers
        .iter()
        .map(|worker| worker.starts())
        .sum()
}
