//! Tests of limits and retention times, and of the JSON format of records.

use std::time::{Duration, Instant};

use googletest::prelude::*;
use hemlockhook_ownership::{
    Admission, Gate, GateConfig, Owner, OwnerConfig, Record, StartOrder, StartRefusal,
};
use hemlockhook_types::{Answer, Ballot, Job, Reason, Task, TaskOutcome, TaskResult, shard_of};

const WINDOW: Duration = Duration::from_secs(60);
const BALLOT: Ballot = Ballot {
    counter: 1 << 16,
    owner: 21,
};

fn order(key: &str) -> StartOrder {
    StartOrder {
        key: key.into(),
        index: 0,
        job_tasks: 1,
        fingerprint: 7,
        shard: shard_of(key),
        ballot: BALLOT,
        service: "quote".into(),
        idempotent: false,
    }
}

fn result(body: &[u8]) -> TaskResult {
    TaskResult {
        outcome: TaskOutcome::Ok(body.into()),
        run_time: Duration::from_millis(50),
    }
}

fn gate() -> Gate {
    let cfg = GateConfig {
        window: WINDOW,
        max_starts: 2,
        max_result_bytes: 8,
        ..GateConfig::default()
    };
    let mut gate = Gate::new(cfg, 11);
    gate.join();
    gate
}

#[gtest]
fn a_full_gate_refuses_starts_and_keeps_its_markers() {
    let now = Instant::now();
    let mut gate = gate();
    for key in ["farm/1", "farm/2"] {
        expect_that!(gate.try_start(now, &order(key)), ok(anything()));
        gate.finish_task(now, &key.into(), 0, result(b"123456"));
    }
    let late = now + WINDOW;
    gate.expire(late);
    expect_that!(
        gate.try_start(late, &order("farm/3")),
        err(eq(StartRefusal::Full))
    );
    expect_that!(
        gate.try_start(late, &order("farm/1")),
        err(eq(StartRefusal::AlreadyStarted))
    );

    let late = now + WINDOW * 2;
    gate.expire(late);
    expect_that!(gate.try_start(late, &order("farm/3")), ok(anything()));
}

#[gtest]
fn results_are_evicted_before_markers() {
    let now = Instant::now();
    let mut gate = gate();
    for key in ["farm/1", "farm/2"] {
        gate.try_start(now, &order(key)).unwrap();
        gate.finish_task(now, &key.into(), 0, result(b"123456"));
    }
    let shards = [shard_of("farm/1"), shard_of("farm/2")];
    let mut records = gate.fence(now, &shards, BALLOT).records;
    records.sort_by(|one, other| one.key.cmp(&other.key));
    insta::assert_debug_snapshot!(records);
}

#[gtest]
fn an_expired_lease_closes_the_gate_until_it_joins_again() {
    let now = Instant::now();
    let mut gate = gate();
    gate.on_announced(now);
    let late = now + GateConfig::default().lease + Duration::from_secs(1);
    let refused = err(eq(StartRefusal::NotJoined));
    expect_that!(gate.try_start(late, &order("farm/1")), refused);
    gate.on_announced(late);
    let refused = err(eq(StartRefusal::NotJoined));
    expect_that!(gate.try_start(late, &order("farm/1")), refused);
    gate.join();
    expect_that!(gate.try_start(late, &order("farm/1")), ok(anything()));
}

fn job(key: &str, fingerprint: u64) -> Job {
    Job {
        key: key.into(),
        fingerprint,
        team: "farm".into(),
        service: "quote".into(),
        idempotent: false,
        deadline: Duration::from_secs(5),
        tasks: vec![Task {
            payload: b"{}"[..].into(),
            declared_run_time: None,
            class: "".into(),
        }],
    }
}

#[gtest]
fn an_owner_refuses_reused_keys_and_old_ones() {
    let began = Instant::now();
    let cfg = OwnerConfig {
        window: WINDOW,
        ..OwnerConfig::default()
    };
    let fence_timeout = cfg.fence_timeout;
    let mut owner = Owner::new(cfg, 21);
    let job_one = job("farm/1", 1);
    owner.take_over(began, &[job_one.shard()]);
    let now = began + fence_timeout;
    owner.tick(now);
    let stamp = owner.stamp(job_one.shard());
    expect_that!(
        owner.admit(now, &job_one, stamp),
        eq(&Admission::Run(vec![0]))
    );
    expect_that!(
        owner.admit(now, &job("farm/1", 2), stamp),
        eq(&Admission::KeyReused)
    );
    owner.cancel(now, &job_one.key);

    let late = began + WINDOW * 3;
    owner.tick(late);
    let Admission::Answered(Answer::Unknown { reason, .. }) = owner.admit(late, &job_one, stamp)
    else {
        panic!("an old key must be answered as unknown");
    };
    expect_that!(reason, eq(Reason::KeyTooOld));
    let stamp = owner.stamp(job_one.shard());
    expect_that!(
        owner.admit(late, &job("farm/1", 3), stamp),
        eq(&Admission::Run(vec![0]))
    );
}

#[gtest]
fn records_keep_their_json_format() {
    let records = [
        Record::Entry {
            incarnation: 21,
            name: "entry-1".to_owned(),
            address: "10.0.0.1:7000".to_owned(),
            data_center: "osijek".to_owned(),
        },
        Record::Agent {
            incarnation: 11,
            name: "u1".to_owned(),
            address: "10.0.1.1:7001".to_owned(),
            services: vec!["quote".into()],
            data_center: "osijek".to_owned(),
        },
        Record::Takeover {
            shards: vec![0, 63],
            ballot: BALLOT,
        },
        Record::Left {
            incarnation: 11,
            custodian: Some(12),
        },
    ];
    insta::assert_json_snapshot!(records);
}

#[gtest]
fn an_agent_joins_only_if_the_log_reaches_back_far_enough() {
    let announcement = Record::Agent {
        incarnation: 11,
        name: "u1".to_owned(),
        address: "10.0.1.1:7001".to_owned(),
        services: vec!["quote".into()],
        data_center: "osijek".to_owned(),
    };
    let span = WINDOW + GateConfig::default().announce_interval;
    let written = Duration::from_secs(1_000_000);
    let may_join = |first_offset, first_written| {
        let mut gate = gate();
        let takeover = Record::Takeover {
            shards: vec![0],
            ballot: BALLOT,
        };
        gate.on_record(first_offset, first_written, &takeover);
        gate.on_record(first_offset + 1, written, &announcement);
        gate.may_join()
    };
    expect_that!(may_join(1, written), eq(true));
    expect_that!(may_join(90, written), eq(false));
    expect_that!(may_join(90, written - span), eq(true));
}

fn announcement(incarnation: u64) -> Record {
    Record::Agent {
        incarnation,
        name: "u1".to_owned(),
        address: "127.0.0.1:1".to_owned(),
        services: vec!["quote".into()],
        data_center: "osijek".to_owned(),
    }
}

#[gtest]
fn an_agent_that_left_is_forgotten_in_time_when_its_link_breaks_afterwards() {
    let now = Instant::now();
    let cfg = OwnerConfig {
        window: WINDOW,
        ..OwnerConfig::default()
    };
    let mut owner = Owner::new(cfg, 21);
    let left = Record::Left {
        incarnation: 11,
        custodian: None,
    };
    owner.on_record(now, 0, Duration::ZERO, &announcement(11));
    owner.on_agent_connected(now, 11, &["quote".into()]);
    owner.on_record(now, 1, Duration::ZERO, &left);
    owner.on_agent_lost(now, 11);

    let kept = WINDOW * 5 / 4;
    let second = Duration::from_secs(1);
    expect_that!(owner.unaccounted_agents(now + kept - second), eq(1));
    expect_that!(owner.unaccounted_agents(now + kept + second), eq(0));
}
