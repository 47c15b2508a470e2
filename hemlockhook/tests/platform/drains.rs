//! Drained data centers.

use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use googletest::prelude::*;

use crate::deployment::Deployment;
use crate::store::StoreFault;

/// Time from the acknowledgement of the operators' record after which nothing starts in the data center.
const BOUND: Duration = Duration::from_millis(5000);

const RECORD: &str = "evacuate/there";

/// Guards against tasks that start in a drained data center: after the bound, after a restart of its
/// agent and an entry without the store, or because of an entry that can't reach the store; against jobs
/// that are lost or run twice meanwhile, and against a drain that does not end.
#[gtest]
fn nothing_starts_in_a_drained_data_center() {
    let mut deployment = Deployment::start_in("drains", 2, &["here", "there", "there"]);
    let starts = |deployment: &Deployment| {
        let there = &deployment.workers[1..];
        there.iter().map(|worker| worker.starts()).sum::<usize>()
    };
    // One of the entries learns nothing from the store.
    deployment.store_links[1].set_partitioned(true);
    let is_done = AtomicBool::new(false);
    thread::scope(|scope| {
        let (deployment, is_done) = (&deployment, &is_done);
        let callers = (0..6).map(|caller| {
            scope.spawn(move || {
                let mut statuses = Vec::new();
                for index in 0..10_000 {
                    if is_done.load(Ordering::Relaxed) {
                        break;
                    }
                    // More than the workers can run at once, so that tasks wait at the agents.
                    let id = format!("c{caller}n{index}");
                    statuses.push(deployment.submit(caller % 2, &id, 6, 100));
                }
                statuses
            })
        });
        let callers: Vec<_> = callers.collect();
        deployment.wait_for(|deployment| starts(deployment) > 20);
        deployment.store.publish(RECORD, "{}".to_owned());
        thread::sleep(BOUND);
        let before = starts(deployment);
        thread::sleep(Duration::from_millis(1500));
        assert_eq!(starts(deployment), before);
        is_done.store(true, Ordering::Relaxed);
        for caller in callers {
            let statuses = caller.join().expect("the thread did not panic");
            let is_answered = |status: &Option<u16>| matches!(status, Some(200 | 503));
            assert!(statuses.iter().all(is_answered), "{statuses:?}");
            assert_eq!(statuses.last(), Some(&Some(200)));
        }
    });
    let gauge = "leased_drained_data_centers";
    expect_that!(deployment.counter(1, gauge), eq(1));

    // What starts without the store learns of the drain from the others.
    deployment.store.set_fault(StoreFault::Unavailable);
    deployment.entries[0].restart();
    deployment.agents[1].restart();
    for entry in 0..2 {
        deployment.wait_for(|deployment| deployment.is_ready(entry));
    }
    let before = starts(&deployment);
    deployment.wait_for(|deployment| {
        let links = deployment.agents[1].logged_at("linked with an entry");
        links.len() >= 2
    });
    for index in 0..20 {
        let id = format!("r{index}");
        expect_that!(deployment.submit(index % 2, &id, 4, 5), some(eq(200)));
    }
    expect_that!(starts(&deployment), eq(before));

    // With all data centers drained, jobs are refused at once.
    deployment.store.set_fault(StoreFault::None);
    deployment.store.publish("evacuate/here", "{}".to_owned());
    deployment.wait_for(|deployment| deployment.submit(1, "all", 1, 5) == Some(503));
    expect_that!(deployment.is_ready(1), eq(true));
    deployment.store.publish("evacuate/here", String::new());
    deployment.store.publish(RECORD, String::new());
    deployment.wait_for(|deployment| {
        deployment.submit(1, "end", 24, 20);
        starts(deployment) > before
    });
    expect_that!(deployment.violations(), is_empty());
}

/// Guards against a changed behavior where the setting is not given.
#[gtest]
fn drains_are_ignored_without_the_setting() {
    let deployment = Deployment::start("drains-off", 1, 1);
    deployment.store.publish("evacuate/here", "{}".to_owned());
    thread::sleep(Duration::from_millis(1500));
    expect_that!(deployment.submit(0, "off", 2, 5), some(eq(200)));
}
