//! Measures the time per scheduling decision.

use std::hint::black_box;
use std::time::{Duration, Instant};

use hemlockhook_schedule::{Dispatcher, JobId, JobSpec, Policy, TaskSpec, UpstreamSpec};

const TASKS_PER_JOB: u32 = 10;
const ROUNDS: u32 = 20_000;

/// Measures the nanoseconds per placement and per submission and prints them as a table.
pub fn run() -> eyre::Result<()> {
    println!(
        "{:>9} {:>12} {:>14} {:>14}",
        "upstreams", "queued tasks", "ns a placement", "ns a submission"
    );
    for upstreams in [11, 780] {
        for queued in [100, 100_000] {
            let (placement, submission) = measure(upstreams, queued);
            println!("{upstreams:>9} {queued:>12} {placement:>14} {submission:>14}");
        }
    }
    Ok(())
}

/// Returns the nanoseconds per placement, including the grant before it and the task's completion
/// after it, and per submitted task. The queue length stays constant.
fn measure(upstreams: u64, queued: u32) -> (u128, u128) {
    let mut now = Instant::now();
    let mut dispatcher = Dispatcher::new(Policy::default(), "dc0");
    (1..=upstreams).for_each(|agent| dispatcher.add_upstream(now, agent, upstream(agent)));
    let jobs = queued / TASKS_PER_JOB;
    (0..jobs).for_each(|n| _ = submit(&mut dispatcher, now, n));
    let (mut placing, mut submitting) = (Duration::ZERO, Duration::ZERO);
    for round in 0..ROUNDS {
        now += Duration::from_micros(30);
        let started = Instant::now();
        dispatcher.add_grants(now, 1 + u64::from(round) % upstreams, 1);
        let placement = dispatcher.place_next(now);
        black_box(dispatcher.take_demands(now));
        if let Some(p) = placement {
            dispatcher.finish_task(
                now,
                p.agent,
                p.job,
                p.index,
                Duration::from_millis(100),
                true,
            );
        }
        placing += started.elapsed();
        if round % TASKS_PER_JOB == 0 {
            let started = Instant::now();
            black_box(submit(&mut dispatcher, now, round));
            submitting += started.elapsed();
        }
    }
    (
        placing.as_nanos() / u128::from(ROUNDS),
        submitting.as_nanos() / u128::from(ROUNDS),
    )
}

fn submit(dispatcher: &mut Dispatcher, now: Instant, n: u32) -> Option<JobId> {
    let task = |index| TaskSpec {
        index,
        class: ["light", "plain", "heavy"][(n % 3) as usize].into(),
        declared_run_time: Some(Duration::from_millis(u64::from(50 + n % 400))),
    };
    let spec = JobSpec {
        team: ["farms", "agronomists", "sales"][(n % 3) as usize].into(),
        service: "price".into(),
        deadline: now + Duration::from_secs(3600),
        tasks: (0..TASKS_PER_JOB).map(task).collect(),
    };
    dispatcher.submit(now, spec).ok()
}

fn upstream(agent: u64) -> UpstreamSpec {
    UpstreamSpec {
        name: format!("upstream-{agent}").into(),
        services: vec!["price".into(), "stock".into()],
        worker: format!("worker-{agent}").into(),
        rack: format!("rack-{}", agent / 3).into(),
        data_center: format!("dc{}", agent % 3).into(),
        slots: 8,
    }
}
