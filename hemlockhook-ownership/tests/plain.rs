//! Tests without faults.

use std::sync::Arc;
use std::time::{Duration, Instant};

use googletest::prelude::*;
use hemlockhook_ownership::{
    Admission, Gate, GateConfig, Owner, OwnerAction, OwnerConfig, Record, StartRefusal,
};
use hemlockhook_types::{Answer, Job, SHARD_COUNT, Task, TaskOutcome, TaskResult};

const AGENT: u64 = 11;
const ENTRY: u64 = 21;

fn job(key: &str, tasks: usize) -> Job {
    let task = Task {
        payload: Arc::from(&b"{}"[..]),
        declared_run_time: None,
        class: "".into(),
    };
    Job {
        key: key.into(),
        fingerprint: 7,
        team: "farm".into(),
        service: "quote".into(),
        idempotent: true,
        deadline: Duration::from_secs(5),
        tasks: vec![task; tasks],
    }
}

fn announcement() -> Record {
    Record::Agent {
        incarnation: AGENT,
        name: "u1".to_owned(),
        address: "127.0.0.1:1".to_owned(),
        services: vec!["quote".into()],
        data_center: "osijek".to_owned(),
    }
}

fn result(body: &[u8]) -> TaskResult {
    TaskResult {
        outcome: TaskOutcome::Ok(body.into()),
        run_time: Duration::from_millis(50),
    }
}

/// Returns an owner that has taken over all shards, and the gate of its only agent, which has
/// joined.
fn owner_with_agent(now: Instant) -> (Owner, Gate) {
    let mut owner = Owner::new(OwnerConfig::default(), ENTRY);
    let mut gate = Gate::new(GateConfig::default(), AGENT);
    gate.join();
    owner.on_record(now, 0, Duration::ZERO, &announcement());
    owner.on_agent_connected(now, AGENT, &["quote".into()]);
    owner.take_over(now, &(0..SHARD_COUNT).collect::<Vec<_>>());
    run_actions(&mut owner, &mut gate, now);
    (owner, gate)
}

fn run_actions(owner: &mut Owner, gate: &mut Gate, now: Instant) -> Vec<OwnerAction> {
    let mut rest = Vec::new();
    let mut offset = 1;
    loop {
        let actions = owner.take_actions();
        if actions.is_empty() {
            return rest;
        }
        for action in actions {
            match action {
                OwnerAction::Fence {
                    agent,
                    takeover,
                    shards,
                    ballot,
                } => {
                    let report = gate.fence(now, &shards, ballot);
                    owner.on_fence_report(now, agent, takeover, report);
                }
                OwnerAction::Append { takeover, record } => {
                    owner.on_appended(now, takeover);
                    owner.on_record(now, offset, Duration::ZERO, &record);
                    offset += 1;
                }
                OwnerAction::ReadToEnd { takeover } => owner.on_caught_up(now, takeover),
                OwnerAction::Withdraw {
                    agent,
                    ballot,
                    withdrawal,
                } => {
                    let outcome = gate.withdraw(now, ballot, &withdrawal);
                    owner.on_withdrawn(now, agent, &withdrawal.key, outcome);
                }
                other => rest.push(other),
            }
        }
    }
}

#[gtest]
fn a_job_runs_and_gets_a_complete_answer() {
    let now = Instant::now();
    let (mut owner, mut gate) = owner_with_agent(now);
    let job = job("farm/1", 2);
    let stamp = owner.stamp(job.shard());
    expect_that!(stamp, some(anything()));
    expect_that!(
        owner.admit(now, &job, stamp),
        eq(&Admission::Run(vec![0, 1]))
    );
    expect_that!(owner.admit(now, &job, stamp), eq(&Admission::Pending));

    for index in 0..2 {
        let order = owner.start_task(now, &job.key, index, AGENT).unwrap();
        expect_that!(gate.try_start(now, &order), ok(anything()));
        expect_that!(
            gate.try_start(now, &order),
            err(eq(StartRefusal::AlreadyStarted))
        );
        gate.finish_task(now, &job.key, index, result(&[index as u8]));
        owner.on_task_ended(now, AGENT, &job.key, index, result(&[index as u8]));
    }
    let answer = Answer::Complete(vec![Arc::from(&[0][..]), Arc::from(&[1][..])]);
    expect_that!(
        run_actions(&mut owner, &mut gate, now),
        elements_are![eq(&OwnerAction::Settled {
            key: job.key.clone(),
            answer: answer.clone(),
        })]
    );
    expect_that!(
        owner.admit(now, &job, stamp),
        eq(&Admission::Answered(answer))
    );
}

#[gtest]
fn a_new_owner_answers_from_the_kept_results() {
    let now = Instant::now();
    let (mut owner, mut gate) = owner_with_agent(now);
    let job = job("farm/1", 1);
    let stamp = owner.stamp(job.shard());
    owner.admit(now, &job, stamp);
    let order = owner.start_task(now, &job.key, 0, AGENT).unwrap();
    gate.try_start(now, &order).unwrap();
    gate.finish_task(now, &job.key, 0, result(b"price"));

    let mut next = Owner::new(OwnerConfig::default(), ENTRY + 1);
    next.on_record(now, 0, Duration::ZERO, &announcement());
    next.on_agent_connected(now, AGENT, &["quote".into()]);
    next.on_ballot(now, job.shard(), stamp.unwrap());
    next.take_over(now, &[job.shard()]);
    run_actions(&mut next, &mut gate, now);
    expect_that!(
        next.admit(now, &job, stamp),
        eq(&Admission::Answered(Answer::Complete(vec![Arc::from(
            &b"price"[..]
        )])))
    );
    expect_that!(
        owner.admit(now, &job, next.stamp(job.shard())),
        eq(&Admission::NotOwner)
    );
}
