//! Measures the tasks per second through one entry and the CPU time per task in each role.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::fs;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use async_io::Timer;
use bpaf::Bpaf;
use eyre::WrapErr;
use hemlockhook::local_deployment::{DeploymentConfig, DeploymentThreads, LocalDeployment};
use hemlockhook_runtime::executor::Threads;
use hemlockhook_runtime::http::HttpClient;
use hemlockhook_runtime::log;
use http::{Request, StatusCode};
use http_body_util::Full;

/// Time under load before the measurement begins.
const WARM_UP: Duration = Duration::from_secs(1);

/// Deadline and request timeout of a job.
const JOB_TIMEOUT: Duration = Duration::from_secs(60);

/// Largest accepted response body.
const MAX_RESPONSE_BYTES: usize = 16 << 20;

/// Clock ticks per second, the unit in which Linux reports the CPU time of threads.
const TICKS_PER_SECOND: f64 = 100.0;

/// Load and duration of the measurement.
#[derive(Clone, Debug, Bpaf)]
pub struct ThroughputArgs {
    /// Seconds to measure for
    #[bpaf(argument("SECONDS"), fallback(5), display_fallback)]
    seconds: u64,
    /// Number of upstreams, each with its agent
    #[bpaf(argument("N"), fallback(16), display_fallback)]
    upstreams: usize,
    /// Slots of each upstream
    #[bpaf(argument("N"), fallback(64), display_fallback)]
    slots: u32,
    /// Tasks per job
    #[bpaf(argument("N"), fallback(110), display_fallback)]
    tasks: usize,
    /// Jobs in flight
    #[bpaf(argument("N"), fallback(64), display_fallback)]
    jobs: usize,
    /// Run time of a task, in milliseconds
    #[bpaf(argument("MS"), fallback(5), display_fallback)]
    run_ms: u64,
    /// Traffic threads for each of the entry, the agents and the stand-ins
    #[bpaf(argument("N"), fallback(3), display_fallback)]
    threads: usize,
}

/// Runs the measurement and prints the results.
pub fn run(args: &ThroughputArgs) -> eyre::Result<()> {
    log::init("error")?;
    let entries = Threads::start("entry", args.threads);
    let agents = Threads::start("agent", args.threads);
    let standins = Threads::start("standin", args.threads);
    let callers = Threads::start("caller", 1);
    let threads = DeploymentThreads {
        entries: &entries,
        agents: &agents,
        standins: &standins,
    };
    async_io::block_on(measure(args, threads, &callers))
}

async fn measure(
    args: &ThroughputArgs,
    threads: DeploymentThreads<'_>,
    callers: &Threads,
) -> eyre::Result<()> {
    let cfg = DeploymentConfig {
        inventory: uniform_inventory(args),
        speeds: vec![1.0],
        entries: 1,
        count_starts: false,
    };
    let deployment = LocalDeployment::start(cfg, threads).await?;

    let ex = callers.traffic();
    let client = HttpClient::new(ex.clone(), deployment.caller_addresses()[0], args.jobs);
    let next_job = Arc::new(AtomicU64::new(0));
    let body = job_body(args);
    let submitters: Vec<_> = (0..args.jobs)
        .map(|_| {
            ex.spawn(submit_repeatedly(
                client.clone(),
                next_job.clone(),
                body.clone(),
            ))
        })
        .collect();
    Timer::after(WARM_UP).await;

    let (cpu, tasks) = (cpu_time_by_role()?, completed_tasks(&deployment).await);
    let started_at = Instant::now();
    Timer::after(Duration::from_secs(args.seconds)).await;
    let elapsed_seconds = started_at.elapsed().as_secs_f64();
    let tasks = completed_tasks(&deployment).await - tasks;
    print!(
        "{}",
        format_report(args, elapsed_seconds, tasks, &cpu, &cpu_time_by_role()?)
    );
    drop(submitters);
    deployment.stop().await;
    Ok(())
}

/// Submits jobs one after the other, until it is cancelled.
async fn submit_repeatedly(client: HttpClient, next_job: Arc<AtomicU64>, body: bytes::Bytes) {
    loop {
        let number = next_job.fetch_add(1, Ordering::Relaxed);
        let req = Request::post("/v1/jobs")
            .header("idempotency-key", format!("job-{number}"))
            .body(Full::new(body.clone()))
            .expect("method, path and header are valid");
        match client.send(req, MAX_RESPONSE_BYTES, JOB_TIMEOUT).await {
            Ok(response) if response.status() == StatusCode::OK => {}
            Ok(response) => eprintln!("{}: {:?}", response.status(), response.body()),
            Err(err) => eprintln!("{err}"),
        }
    }
}

async fn completed_tasks(deployment: &LocalDeployment) -> u64 {
    deployment
        .counters()
        .await
        .iter()
        .map(|counters| counters.results)
        .sum()
}

fn job_body(args: &ThroughputArgs) -> bytes::Bytes {
    let task = serde_json::json!({
        "payload": {"run_ms": args.run_ms, "echo": "0123456789abcdef"},
        "declared_ms": args.run_ms,
    });
    serde_json::json!({
        "team": "bench",
        "service": "bench",
        "deadline_ms": JOB_TIMEOUT.as_millis() as u64,
        "tasks": vec![task; args.tasks],
    })
    .to_string()
    .into()
}

/// Returns an inventory of identical upstreams, one per worker.
fn uniform_inventory(args: &ThroughputArgs) -> String {
    let mut text = String::from(
        "deployment: bench\n\
         data_centers:\n  - { name: dc, region: region }\n\
         services:\n  - { name: bench, deadline: 60s, max_task_time: 60s, \
         objective: { percent: 99, within: 10s } }\n\
         teams:\n  - { name: bench, share: 1 }\n",
    );
    let slots = args.slots;
    let mut workers = String::from("workers:\n");
    let mut upstreams = String::from("upstreams:\n");
    for n in 0..args.upstreams {
        let _ = writeln!(
            workers,
            "  - {{ name: w{n}, rack: r{}, data_center: dc, processors: 64, memory_gb: 128 }}",
            n / 3
        );
        let _ = writeln!(
            upstreams,
            "  - {{ name: u{n}, worker: w{n}, services: [bench], slots: {slots}, \
             connections: {slots} }}"
        );
    }
    text += &workers;
    text += &upstreams;
    text
}

/// Returns the CPU time of this process's threads in seconds, by the role that their names start
/// with.
pub fn cpu_time_by_role() -> eyre::Result<BTreeMap<String, f64>> {
    let mut times = BTreeMap::new();
    for task in fs::read_dir("/proc/self/task").wrap_err("/proc/self/task")? {
        let dir = task?.path();
        // The thread may have ended since the directory was listed.
        let (Ok(name), Ok(stat)) = (
            fs::read_to_string(dir.join("comm")),
            fs::read_to_string(dir.join("stat")),
        ) else {
            continue;
        };
        let name = name.trim();
        let role = match name.contains("control") {
            true => name.to_owned(),
            false => name
                .trim_end_matches(|c: char| c.is_ascii_digit() || c == '-')
                .to_owned(),
        };
        *times.entry(role).or_default() += thread_cpu_seconds(&stat);
    }
    Ok(times)
}

/// Returns the user and system time of a thread, fields 14 and 15 of its `stat` file, in seconds.
fn thread_cpu_seconds(stat: &str) -> f64 {
    let after_name = stat.rsplit(')').next().unwrap_or_default();
    let fields = after_name.split_whitespace().skip(11).take(2);
    fields
        .filter_map(|ticks| ticks.parse::<f64>().ok())
        .sum::<f64>()
        / TICKS_PER_SECOND
}

fn format_report(
    args: &ThroughputArgs,
    elapsed_seconds: f64,
    tasks: u64,
    before: &BTreeMap<String, f64>,
    after: &BTreeMap<String, f64>,
) -> String {
    let cores = std::thread::available_parallelism().map_or(0, usize::from);
    let mut text = format!(
        "{cores} cores, 1 entry, {} upstreams of {} slots, jobs of {} tasks of {} ms\n\
         {:.0} tasks/s over {elapsed_seconds:.1} s\n",
        args.upstreams,
        args.slots,
        args.tasks,
        args.run_ms,
        tasks as f64 / elapsed_seconds,
    );
    for (role, end) in after {
        let used = end - before.get(role).copied().unwrap_or_default();
        if used > 0.0 {
            let per_task = used * 1e6 / tasks.max(1) as f64;
            let _ = writeln!(
                text,
                "{role:<18} {:>5.2} cores  {per_task:>6.1} us of CPU a task",
                used / elapsed_seconds
            );
        }
    }
    text
}
