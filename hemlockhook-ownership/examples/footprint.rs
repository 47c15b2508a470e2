//! Prints the memory use of start markers and jobs, and the time of the steps that each task takes.
//! Memory is measured as the growth of the resident set (Linux), so it includes the allocator's
//! overhead.

use std::env;
use std::fs;
use std::sync::Arc;
use std::time::{Duration, Instant};

use hemlockhook_ownership::{
    Admission, Gate, GateConfig, Owner, OwnerAction, OwnerConfig, Record, StartOrder,
};
use hemlockhook_types::{Ballot, Job, SHARD_COUNT, Task, TaskOutcome, TaskResult, shard_of};

const MARKERS: usize = 200_000;
const TASKS_PER_JOB: usize = 10;
const PAGE_BYTES: usize = 4096;
const AGENT: u64 = 1;

fn main() {
    match env::args().nth(1).as_deref() {
        Some("gate") => measure_gate(),
        Some("owner") => measure_owner(),
        _ => println!("usage: footprint gate|owner"),
    }
}

/// Measures a gate that has one task of each job, as when jobs spread over many agents.
fn measure_gate() {
    let cfg = GateConfig {
        max_starts: MARKERS,
        max_result_bytes: 0,
        ..GateConfig::default()
    };
    let mut gate = Gate::new(cfg, AGENT);
    gate.join();
    let ballot = Ballot {
        counter: 1 << 16,
        owner: 2,
    };
    let before = resident_bytes();
    let began = Instant::now();
    for number in 0..MARKERS {
        let key: Arc<str> = format!("tunelpokrov/{number:032x}").into();
        let order = StartOrder {
            shard: shard_of(&key),
            key: key.clone(),
            index: 3,
            job_tasks: 10,
            fingerprint: number as u64,
            ballot,
            service: "quote".into(),
            idempotent: true,
        };
        gate.try_start(began, &order)
            .expect("the task was not started before");
        gate.finish_task(began, &key, 3, result());
    }
    let each = began.elapsed() / MARKERS as u32;
    let bytes = (resident_bytes() - before) / MARKERS;
    println!("gate: {bytes} bytes a marker, start and finish {each:?}");

    let shards: Vec<_> = (0..SHARD_COUNT).collect();
    let began = Instant::now();
    let report = gate.fence(began, &shards, ballot);
    let took = began.elapsed();
    println!("gate: fence with {} records {took:?}", report.records.len());
}

fn measure_owner() {
    let now = Instant::now();
    let cfg = OwnerConfig {
        max_result_bytes: 0,
        ..OwnerConfig::default()
    };
    let mut owner = Owner::new(cfg, 2);
    let record = Record::Agent {
        incarnation: AGENT,
        name: "u1".to_owned(),
        address: "127.0.0.1:1".to_owned(),
        services: vec!["quote".into()],
        data_center: "osijek".to_owned(),
    };
    owner.on_record(now, 0, Duration::ZERO, &record);
    owner.take_over(now, &(0..SHARD_COUNT).collect::<Vec<_>>());
    owner.tick(now + Duration::from_secs(1));
    owner.take_actions();

    let jobs = MARKERS / TASKS_PER_JOB;
    let before = resident_bytes();
    let began = Instant::now();
    for number in 0..jobs {
        let job = job(number);
        let stamp = owner.stamp(job.shard());
        let admission = owner.admit(now, &job, stamp);
        let Admission::Run(indexes) = admission else {
            panic!("a new job must be run, but got {admission:?}");
        };
        for index in indexes {
            owner.start_task(now, &job.key, index, AGENT);
            owner.on_task_ended(now, AGENT, &job.key, index, result());
        }
        let settled = owner.take_actions();
        assert!(matches!(settled[..], [OwnerAction::Settled { .. }]));
    }
    let each = began.elapsed() / MARKERS as u32;
    let bytes = (resident_bytes() - before) / jobs;
    println!("owner: {bytes} bytes an answered job without its results, {each:?} a task");
}

fn job(number: usize) -> Job {
    let task = Task {
        payload: Arc::from(&b""[..]),
        declared_run_time: None,
        class: "".into(),
    };
    Job {
        key: format!("tunelpokrov/{number:032x}").into(),
        fingerprint: number as u64,
        team: "tunelpokrov".into(),
        service: "quote".into(),
        idempotent: true,
        deadline: Duration::from_secs(5),
        tasks: vec![task; TASKS_PER_JOB],
    }
}

fn result() -> TaskResult {
    TaskResult {
        outcome: TaskOutcome::Ok(Arc::from(&b""[..])),
        run_time: Duration::from_millis(50),
    }
}

fn resident_bytes() -> usize {
    let text = fs::read_to_string("/proc/self/statm").expect("the system must be Linux");
    let pages = text.split(' ').nth(1).expect("statm has seven fields");
    pages.parse::<usize>().expect("the field is a number") * PAGE_BYTES
}
