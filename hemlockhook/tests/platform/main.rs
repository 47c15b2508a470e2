//! End-to-end tests over the platform's protocol: the daemons as processes, with stand-ins for the
//! store and the workers.

mod campaign;
mod configurations;
mod daemon;
mod departed_callers;
mod deployment;
mod drains;
mod late_callers;
mod malformed;
#[path = "../support/relay.rs"]
mod relay;
mod replaced_upstreams;
mod reset_links;
mod silent_upstreams;
mod soak;
mod store;
mod worker;

use std::thread;

use googletest::prelude::*;
use http::Method;

use deployment::{Deployment, configuration, job};
use store::StoreFault;
use strum::IntoEnumIterator;

#[gtest]
fn a_job_is_answered_when_all_its_tasks_have_ended() {
    let deployment = Deployment::start("whole", 2, 2);
    for (entry, id) in [(0, "00000000000000a1"), (1, "00000000000000a2")] {
        let answer = deployment.send_request(
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
    let starts = deployment
        .observations
        .lock()
        .expect("no thread panicked with the lock")
        .starts
        .len();
    expect_that!(starts, eq(12));
    expect_that!(deployment.violations(), is_empty());
}

#[gtest]
fn unsupported_requests_are_refused_at_once() {
    let deployment = Deployment::start("refusals", 1, 1);
    let not_best_effort = job(1, "20", 20).replace("\"bestEffort\":true", "\"bestEffort\":false");
    let gang = job(2, "20", 20).replace("\"count\"", "\"gang\":true,\"count\"");
    let large = job(1, "20", 20).replace("\"cpu\":1000", "\"cpu\":99000");
    for (id, body) in [("b1", not_best_effort), ("b2", gang), ("b3", large)] {
        let answer = deployment.send_request(0, Method::POST, &format!("/desk/{id}"), body);
        expect_that!(answer.map(|(status, _, _)| status), some(eq(503)));
    }
    expect_that!(
        deployment
            .send_request(0, Method::POST, "/none/b4", job(1, "1", 1))
            .map(|a| a.0),
        some(eq(404))
    );
    expect_that!(
        deployment
            .send_request(0, Method::GET, "/desk/b1", String::new())
            .map(|a| a.0),
        some(eq(410))
    );
    expect_that!(
        deployment
            .send_request(0, Method::DELETE, "/desk/b1", String::new())
            .map(|a| a.0),
        some(eq(410))
    );
    let waiting = deployment.send_request(0, Method::GET, "/desk/", String::new());
    expect_that!(
        waiting,
        some(eq(&(200, None, "{\"waiting\":0}".to_owned())))
    );
    expect_that!(deployment.workers[0].starts(), eq(0));
}

#[gtest]
fn a_task_that_uses_up_its_attempts_fails_its_job() {
    let deployment = Deployment::start("failing", 1, 2);
    let answer = deployment.send_request(0, Method::POST, "/desk/c1", job(1, "fail", 10));
    expect_that!(
        answer,
        some(eq(&(200, None, "{\"state\":\"failed\"}".to_owned())))
    );
    let starts = deployment
        .observations
        .lock()
        .expect("no thread panicked with the lock")
        .starts
        .clone();
    expect_that!(starts.get("c1.0.0.0"), some(eq(&2)));
}

#[gtest]
fn a_start_without_a_response_is_settled_before_the_task_runs_again() {
    let deployment = Deployment::start("lost", 2, 2);
    for worker in &deployment.workers {
        worker.lose_responses(3);
    }
    thread::scope(|scope| {
        for caller in 0..8 {
            let deployment = &deployment;
            scope.spawn(move || {
                for index in 0..5 {
                    let id = format!("d{caller}{index}");
                    assert_eq!(
                        submit_until_accepted(deployment, caller % 2, &id),
                        Some(200)
                    );
                }
            });
        }
    });
    expect_that!(deployment.violations(), is_empty());
}

/// Submits a job again until it is no longer refused.
fn submit_until_accepted(deployment: &Deployment, entry: usize, id: &str) -> Option<u16> {
    loop {
        match deployment.submit(entry, id, 3, 60) {
            Some(503) => thread::sleep(std::time::Duration::from_millis(100)),
            answer => return answer,
        }
    }
}

#[gtest]
fn a_draining_upstream_gets_no_new_tasks() {
    let deployment = Deployment::start("draining", 1, 2);
    expect_that!(deployment.submit(0, "e0", 8, 20), some(eq(200)));
    deployment.workers[0].drain();
    // The entry knows that the upstream is draining once it starts a job on the other one only.
    deployment.wait_for(|deployment| {
        let before = deployment.workers[0].starts();
        deployment.submit(0, "e1", 1, 5) == Some(200) && deployment.workers[0].starts() == before
    });
    thread::sleep(std::time::Duration::from_millis(400));
    let before = deployment.workers[0].starts();
    for index in 0..20 {
        expect_that!(
            deployment.submit(0, &format!("e2{index}"), 4, 5),
            some(eq(200))
        );
    }
    expect_that!(deployment.workers[0].starts(), eq(before));
}

#[gtest]
fn an_upstream_that_has_left_gets_no_tasks_after_a_restart_of_its_agent() {
    let mut deployment = Deployment::start("left", 1, 2);
    expect_that!(deployment.submit(0, "l0", 8, 20), some(eq(200)));
    deployment.wait_for(|deployment| {
        let record = deployment.store.newest_value("keyed.upstreams", "agent-0");
        record.is_some()
    });
    // It announces itself no more, but still answers calls.
    deployment.workers[0].leave();
    let path = format!(
        "/hemlockhook/Instances.Leave/{}",
        deployment.workers[0].id()
    );
    expect_that!(deployment.announce(0, &path, Vec::new()), some(eq(200)));
    let is_stored = |deployment: &Deployment| {
        let record = deployment.store.newest_value("keyed.upstreams", "agent-0");
        record.is_some_and(|value| String::from_utf8_lossy(&value).contains("\"is_leaving\":true"))
    };
    deployment.wait_for(is_stored);
    let before = deployment.workers[0].starts();
    deployment.agents[0].restart();
    deployment.wait_for(|deployment| {
        let agent = &deployment.agents[0];
        !agent.logged_at("linked with an entry").is_empty()
            && !agent.logged_at("restored the upstream").is_empty()
    });
    for index in 0..20 {
        let id = format!("l1{index}");
        expect_that!(deployment.submit(0, &id, 4, 5), some(eq(200)));
    }
    expect_that!(deployment.workers[0].starts(), eq(before));
}

#[gtest]
fn a_job_resubmitted_after_its_entry_was_killed_runs_once_at_a_time() {
    let mut deployment = Deployment::start("killed", 2, 2);
    thread::scope(|scope| {
        let deployment = &deployment;
        let first = scope.spawn(move || deployment.submit(0, "f1", 6, 3000));
        deployment
            .wait_for(|deployment| deployment.workers.iter().any(|worker| worker.starts() > 0));
        deployment.entries[0].send_kill();
        assert_eq!(first.join().expect("the thread did not panic"), None);
    });
    thread::sleep(std::time::Duration::from_millis(1300));
    expect_that!(deployment.submit(1, "f1", 6, 50), some(eq(200)));
    expect_that!(deployment.violations(), is_empty());
    deployment.entries[0].restart();
    deployment.wait_for(|deployment| deployment.is_ready(0));
}

#[gtest]
fn a_configuration_stays_in_force_during_a_store_outage() {
    let mut deployment = Deployment::start("configuration", 2, 2);
    deployment
        .store
        .publish("config", configuration(7, "desk", &["added"]));
    for entry in 0..2 {
        deployment.wait_for(|deployment| {
            deployment
                .send_request(entry, Method::GET, "/added/", String::new())
                .map(|a| a.0)
                == Some(200)
        });
    }
    // An older version that is written later is ignored.
    deployment
        .store
        .publish("config", configuration(3, "desk", &[]));
    deployment.store.compact();
    deployment.store.set_fault(StoreFault::Unavailable);
    deployment.entries[1].restart();
    // An entry that starts during the outage gets the configuration from the agents.
    deployment.wait_for(|deployment| deployment.is_ready(1));
    for entry in 0..2 {
        let answer = deployment.send_request(entry, Method::GET, "/added/", String::new());
        expect_that!(answer.map(|a| a.0), some(eq(200)));
    }
    expect_that!(deployment.submit(1, "g1", 2, 10), some(eq(200)));
}

#[gtest]
fn jobs_run_during_any_store_fault_and_updates_arrive_afterwards() {
    let mut deployment = Deployment::start("store-faults", 2, 2);
    let mut version = 10;
    for (index, fault) in StoreFault::iter().enumerate() {
        deployment.store.set_fault(fault);
        version += 1;
        let added = format!("added{index}");
        deployment
            .store
            .publish("config", configuration(version, "desk", &[&added]));
        // An entry that starts during the fault gets what it needs from the other processes.
        deployment.entries[1].restart();
        deployment.wait_for(|deployment| deployment.is_ready(1));
        for entry in 0..2 {
            let id = format!("f{index}e{entry}");
            expect_that!(
                deployment.submit(entry, &id, 2, 10),
                some(eq(200)),
                "{fault:?}"
            );
        }
        deployment.store.set_fault(StoreFault::None);
        for entry in 0..2 {
            let path = format!("/{added}/");
            deployment.wait_for(|deployment| {
                let answer = deployment.send_request(entry, Method::GET, &path, String::new());
                answer.is_some_and(|(status, ..)| status == 200)
            });
        }
    }
    expect_that!(deployment.violations(), is_empty());
}

#[gtest]
fn a_shutdown_interrupts_no_job() {
    let mut deployment = Deployment::start("shutdown", 1, 1);
    thread::scope(|scope| {
        let deployment = &deployment;
        let caller = scope.spawn(move || deployment.submit(0, "h1", 2, 1500));
        deployment.wait_for(|deployment| deployment.workers[0].starts() > 0);
        deployment.entries[0].terminate();
        assert_eq!(caller.join().expect("the thread did not panic"), Some(200));
        deployment.wait_for(|deployment| !deployment.is_ready(0));
    });
    expect_that!(deployment.entries[0].wait(), eq(true));
    expect_that!(deployment.violations(), is_empty());
}

#[gtest]
fn an_entry_that_starts_is_linked_without_a_pause() {
    const AGENTS: usize = 6;
    // Stated for the time from the start of an entry until it is linked.
    const LIMIT_MS: u64 = 100;
    let mut deployment = Deployment::start("linked", 1, AGENTS);
    // A busy machine can delay some of the starts, but not all.
    let delay = |_| {
        deployment.entries[0].kill();
        // The pauses between attempts have grown to their maximum by then.
        thread::sleep(std::time::Duration::from_millis(1500));
        deployment.entries[0].restart();
        deployment.wait_for(|deployment| {
            let entry = &deployment.entries[0];
            entry.logged_at("an agent has linked").len() >= AGENTS
        });
        let started = deployment.entries[0].logged_at("starting the entry");
        let linked = deployment.entries[0].logged_at("an agent has linked");
        linked[AGENTS - 1] - started[0]
    };
    let delays: Vec<_> = (0..5).map(delay).collect();
    expect_that!(delays.iter().min(), some(lt(&LIMIT_MS)), "{delays:?}");
}

#[gtest]
fn jobs_run_again_after_all_processes_were_killed() {
    let mut deployment = Deployment::start("all", 2, 2);
    expect_that!(deployment.submit(0, "i1", 4, 20), some(eq(200)));
    for daemon in deployment
        .entries
        .iter_mut()
        .chain(deployment.agents.iter_mut())
    {
        daemon.kill();
    }
    for daemon in deployment
        .entries
        .iter_mut()
        .chain(deployment.agents.iter_mut())
    {
        daemon.restart();
    }
    for entry in 0..2 {
        deployment.wait_for(|deployment| deployment.is_ready(entry));
        expect_that!(
            deployment.submit(entry, &format!("i2{entry}"), 4, 20),
            some(eq(200))
        );
    }
    expect_that!(deployment.violations(), is_empty());
}
