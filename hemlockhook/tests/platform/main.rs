//! The whole path on the platform's wire: real daemons, and stand-ins of the store and the workers.

mod site;
mod soak;
mod store;
mod worker;

use std::thread;

use googletest::prelude::*;
use http::Method;

use site::{Site, configuration, job};
use store::StoreFault;
use strum::IntoEnumIterator;

#[gtest]
fn a_job_is_answered_when_all_its_tasks_have_ended() {
    let site = Site::start("whole", 2, 2);
    for (entry, id) in [(0, "00000000000000a1"), (1, "00000000000000a2")] {
        let answer = site.call(
            entry,
            Method::POST,
            &format!("/desk/{id}"),
            job(6, "20", 20),
        );
        expect_that!(
            answer,
            some(eq(&(200, None, "{\"state\":\"completed\"}".to_owned())))
        );
    }
    let starts = site.witness.lock().expect("no test panics").starts.len();
    expect_that!(starts, eq(12));
    expect_that!(site.breaches(), is_empty());
}

#[gtest]
fn what_is_not_served_is_refused_at_once_and_truthfully() {
    let site = Site::start("refusals", 1, 1);
    let stored = job(1, "20", 20).replace("\"bestEffort\":true", "\"bestEffort\":false");
    let gang = job(2, "20", 20).replace("\"count\"", "\"gang\":true,\"count\"");
    let large = job(1, "20", 20).replace("\"cpu\":1000", "\"cpu\":99000");
    for (id, body) in [("b1", stored), ("b2", gang), ("b3", large)] {
        let answer = site.call(0, Method::POST, &format!("/desk/{id}"), body);
        expect_that!(answer.map(|(status, _, _)| status), some(eq(503)));
    }
    expect_that!(
        site.call(0, Method::POST, "/none/b4", job(1, "1", 1))
            .map(|a| a.0),
        some(eq(404))
    );
    expect_that!(
        site.call(0, Method::GET, "/desk/b1", String::new())
            .map(|a| a.0),
        some(eq(410))
    );
    expect_that!(
        site.call(0, Method::DELETE, "/desk/b1", String::new())
            .map(|a| a.0),
        some(eq(410))
    );
    let waiting = site.call(0, Method::GET, "/desk/", String::new());
    expect_that!(
        waiting,
        some(eq(&(200, None, "{\"waiting\":0}".to_owned())))
    );
    expect_that!(site.workers[0].starts(), eq(0));
}

#[gtest]
fn a_task_that_fails_as_often_as_allowed_fails_its_job() {
    let site = Site::start("failing", 1, 2);
    let answer = site.call(0, Method::POST, "/desk/c1", job(1, "fail", 10));
    expect_that!(
        answer,
        some(eq(&(200, None, "{\"state\":\"failed\"}".to_owned())))
    );
    let starts = site.witness.lock().expect("no test panics").starts.clone();
    expect_that!(starts.get("c1.0.0.0"), some(eq(&2)));
}

#[gtest]
fn starts_without_an_answer_are_settled_before_a_task_runs_again() {
    let site = Site::start("lost", 2, 2);
    for worker in &site.workers {
        worker.lose_answers(3);
    }
    thread::scope(|scope| {
        for caller in 0..8 {
            let site = &site;
            scope.spawn(move || {
                for index in 0..5 {
                    let id = format!("d{caller}{index}");
                    assert_eq!(submit_until_taken(site, caller % 2, &id), Some(200));
                }
            });
        }
    });
    expect_that!(site.breaches(), is_empty());
}

/// Submits a job, and comes back as long as it is refused.
fn submit_until_taken(site: &Site, entry: usize, id: &str) -> Option<u16> {
    loop {
        match site.submit(entry, id, 3, 60) {
            Some(503) => thread::sleep(std::time::Duration::from_millis(100)),
            answer => return answer,
        }
    }
}

#[gtest]
fn a_draining_upstream_gets_no_new_work() {
    let site = Site::start("draining", 1, 2);
    expect_that!(site.submit(0, "e0", 8, 20), some(eq(200)));
    site.workers[0].drain();
    // What an agent has acknowledged is in force at the entry once work goes to the other alone.
    site.wait_for(|site| {
        let before = site.workers[0].starts();
        site.submit(0, "e1", 1, 5) == Some(200) && site.workers[0].starts() == before
    });
    thread::sleep(std::time::Duration::from_millis(400));
    let before = site.workers[0].starts();
    for index in 0..20 {
        expect_that!(site.submit(0, &format!("e2{index}"), 4, 5), some(eq(200)));
    }
    expect_that!(site.workers[0].starts(), eq(before));
}

#[gtest]
fn a_job_that_comes_again_after_its_entry_was_killed_runs_once_at_a_time() {
    let mut site = Site::start("killed", 2, 2);
    thread::scope(|scope| {
        let site = &site;
        let first = scope.spawn(move || site.submit(0, "f1", 6, 3000));
        site.wait_for(|site| site.workers.iter().any(|worker| worker.starts() > 0));
        site.entries[0].kill_by_signal();
        assert_eq!(first.join().expect("no panic"), None);
    });
    thread::sleep(std::time::Duration::from_millis(1300));
    expect_that!(site.submit(1, "f1", 6, 50), some(eq(200)));
    expect_that!(site.breaches(), is_empty());
    site.entries[0].replace();
    site.wait_for(|site| site.is_ready(0));
}

#[gtest]
fn a_configuration_is_in_force_and_stays_with_the_store_away() {
    let mut site = Site::start("configuration", 2, 2);
    site.store
        .publish("config", configuration(7, "desk", &["added"]));
    for entry in 0..2 {
        site.wait_for(|site| {
            site.call(entry, Method::GET, "/added/", String::new())
                .map(|a| a.0)
                == Some(200)
        });
    }
    // An older one that is written later does not count.
    site.store.publish("config", configuration(3, "desk", &[]));
    site.store.compact();
    site.store.set_fault(StoreFault::Refuses);
    site.entries[1].replace();
    // The process that starts while the store is away has it from the agents.
    site.wait_for(|site| site.is_ready(1));
    for entry in 0..2 {
        let answer = site.call(entry, Method::GET, "/added/", String::new());
        expect_that!(answer.map(|a| a.0), some(eq(200)));
    }
    expect_that!(site.submit(1, "g1", 2, 10), some(eq(200)));
}

#[gtest]
fn however_the_store_fails_work_goes_on_and_it_is_followed_again() {
    let mut site = Site::start("store-faults", 2, 2);
    let mut version = 10;
    for (index, fault) in StoreFault::iter().enumerate() {
        site.store.set_fault(fault);
        version += 1;
        let added = format!("added{index}");
        site.store
            .publish("config", configuration(version, "desk", &[&added]));
        // A process that starts meanwhile has what it needs from the others.
        site.entries[1].replace();
        site.wait_for(|site| site.is_ready(1));
        for entry in 0..2 {
            let id = format!("f{index}e{entry}");
            expect_that!(site.submit(entry, &id, 2, 10), some(eq(200)), "{fault:?}");
        }
        site.store.set_fault(StoreFault::None);
        for entry in 0..2 {
            let path = format!("/{added}/");
            site.wait_for(|site| {
                let answer = site.call(entry, Method::GET, &path, String::new());
                answer.is_some_and(|(status, ..)| status == 200)
            });
        }
    }
    expect_that!(site.breaches(), is_empty());
}

#[gtest]
fn a_shutdown_cuts_nothing_off() {
    let mut site = Site::start("shutdown", 1, 1);
    thread::scope(|scope| {
        let site = &site;
        let caller = scope.spawn(move || site.submit(0, "h1", 2, 1500));
        site.wait_for(|site| site.workers[0].starts() > 0);
        site.entries[0].terminate();
        assert_eq!(caller.join().expect("no panic"), Some(200));
        site.wait_for(|site| !site.is_ready(0));
    });
    expect_that!(site.entries[0].wait(), eq(true));
    expect_that!(site.breaches(), is_empty());
}

#[gtest]
fn everything_serves_again_after_all_processes_were_killed() {
    let mut site = Site::start("all", 2, 2);
    expect_that!(site.submit(0, "i1", 4, 20), some(eq(200)));
    for daemon in site.entries.iter_mut().chain(site.agents.iter_mut()) {
        daemon.kill();
    }
    for daemon in site.entries.iter_mut().chain(site.agents.iter_mut()) {
        daemon.replace();
    }
    for entry in 0..2 {
        site.wait_for(|site| site.is_ready(entry));
        expect_that!(
            site.submit(entry, &format!("i2{entry}"), 4, 20),
            some(eq(200))
        );
    }
    expect_that!(site.breaches(), is_empty());
}
