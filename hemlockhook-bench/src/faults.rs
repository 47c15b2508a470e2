//! Replays with injected faults, each checked against stated limits.

use hemlockhook_schedule::Policy;
use strum::{Display, EnumIter, IntoEnumIterator};

use crate::replay::{ReplayOutcome, Scheduler, TaskWait, replay};
use crate::report::{response_ratios, response_times_us};
use crate::trace::{DeploymentName, Fault, FaultKind, Job, Task, Trace};

const DURATION_US: u64 = 120_000_000;

/// Time of the fault, in the middle of a load peak.
const FAULT_AT_US: u64 = 52_000_000;

const BURST_DURATION_US: u64 = 5_000_000;

/// Index of one of the fastest upstreams.
const FAULTY_UPSTREAM: usize = 0;

const FAULTY_RACK: usize = 1;

/// A fault scenario.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumIter)]
#[strum(serialize_all = "snake_case")]
pub enum Scenario {
    /// A fast upstream fails every task after a millisecond, from the middle of a load peak on.
    FailsEverything,
    /// A fast upstream runs at a tenth of its speed, from the middle of a load peak on.
    TenthOfSpeed,
    /// The upstreams of a rack are lost in the middle of a load peak.
    RackLost,
    /// Every declared run time is wrong by a factor of 10, half of them too high and half too low.
    DeclaredWrong,
    /// Ten thousand tasks are submitted at once and cancelled a second later.
    CancellationWave,
    /// One team submits ten times its share of the slots for five seconds.
    TeamBurst,
}

/// Result of a scenario, with its stated limits.
#[derive(Clone, Debug, PartialEq)]
pub struct ScenarioResult {
    /// Scenario that was run.
    pub scenario: Scenario,
    /// The measured values, as text for the output.
    pub measured: String,
    /// The limits that the measured values must meet.
    pub expected: &'static str,
    /// Whether the limits are met.
    pub passed: bool,
}

/// Runs every scenario.
pub fn run_scenarios(seed: u64) -> Vec<ScenarioResult> {
    Scenario::iter()
        .map(|scenario| run_scenario(scenario, seed))
        .collect()
}

/// Runs every scenario and prints the results. Returns an error if a scenario misses its limits.
pub fn run(seed: u64) -> eyre::Result<()> {
    let results = run_scenarios(seed);
    for ScenarioResult {
        scenario,
        measured,
        expected,
        passed,
    } in &results
    {
        let status = if *passed { "holds" } else { "FAILS" };
        println!("{scenario}: {status}\n  stated:   {expected}\n  measured: {measured}");
    }
    match results.iter().all(|result| result.passed) {
        true => Ok(()),
        false => eyre::bail!("at least one scenario misses its stated limits"),
    }
}

/// Replays the trace with and without the fault and checks the limits of the scenario.
pub fn run_scenario(scenario: Scenario, seed: u64) -> ScenarioResult {
    let fault_free = Trace::generate(DeploymentName::Tunelpokrov, seed, DURATION_US);
    let mut faulty = fault_free.clone();
    scenario.apply(&mut faulty);
    let run = |trace: &Trace| replay(trace, Scheduler::System(Box::<Policy>::default()));
    let (before, after) = (run(&fault_free), run(&faulty));
    let metrics = ScenarioMetrics::new(&fault_free, &before, &faulty, &after);
    let (measured, expected, passed) = metrics.evaluate(scenario);
    ScenarioResult {
        scenario,
        measured,
        expected,
        passed,
    }
}

impl Scenario {
    fn apply(self, trace: &mut Trace) {
        let fault = |upstream, kind| Fault {
            at_us: FAULT_AT_US,
            upstream,
            kind,
        };
        let faults = &mut trace.deployment.faults;
        match self {
            Self::FailsEverything => faults.push(fault(FAULTY_UPSTREAM, FaultKind::FailFast)),
            Self::TenthOfSpeed => faults.push(fault(FAULTY_UPSTREAM, FaultKind::Speed(0.1))),
            Self::RackLost => {
                let upstreams = trace.deployment.upstreams.iter().enumerate();
                let rack = upstreams.filter(|(_, upstream)| upstream.rack == FAULTY_RACK);
                faults.extend(rack.map(|(index, _)| fault(index, FaultKind::Lost)));
            }
            Self::DeclaredWrong => {
                let tasks = trace
                    .jobs
                    .iter_mut()
                    .flat_map(|job| &mut job.tasks)
                    .enumerate();
                tasks.for_each(|(n, task)| {
                    let wrong = if n % 2 == 0 {
                        task.run_us * 10
                    } else {
                        task.run_us / 10
                    };
                    task.declared_us = Some(wrong);
                });
            }
            Self::CancellationWave => {
                add_jobs(
                    trace,
                    (0..100).map(|_| extra_job("wave", FAULT_AT_US, 100, Some(1000))),
                );
            }
            Self::TeamBurst => {
                // Ten times the share of the team, which is a third of about 88 slots, in tasks of 250 ms.
                let every_us = 250_000 * 10 / (10 * 88 / 3);
                let times = (0..BURST_DURATION_US / every_us).map(|n| FAULT_AT_US + n * every_us);
                add_jobs(
                    trace,
                    times.map(|at_us| extra_job("sales", at_us, 10, None)),
                );
            }
        }
    }
}

fn add_jobs<I>(trace: &mut Trace, jobs: I)
where
    I: Iterator<Item = Job>,
{
    trace.jobs.extend(jobs);
    trace.jobs.sort_by_key(|job| job.at_us);
}

fn extra_job(team: &str, at_us: u64, tasks: usize, cancel_after_ms: Option<u64>) -> Job {
    let task = Task {
        run_us: 250_000,
        declared_us: Some(250_000),
        class: "extra".into(),
    };
    Job {
        at_us,
        team: team.into(),
        service: "price".into(),
        deadline_ms: 60_000,
        cancel_after_ms,
        tasks: vec![task; tasks],
    }
}

/// Metrics that the limits of the scenarios refer to.
struct ScenarioMetrics {
    /// p99 of response ÷ ideal of the jobs that arrive after the time of the fault, without and with
    /// the fault. Jobs that the scenario adds are excluded.
    p99: (f64, f64),
    /// The same, over the teams other than `sales`.
    p99_others: (f64, f64),
    failed_jobs: usize,
    unanswered: usize,
    /// Share of all started tasks that started on the faulty upstream after the fault.
    faulty_upstream_share: f64,
    faulty_upstream_tasks: usize,
}

impl ScenarioMetrics {
    fn new(
        fault_free: &Trace,
        before: &ReplayOutcome,
        faulty: &Trace,
        after: &ReplayOutcome,
    ) -> Self {
        let started_after_fault =
            |wait: &&TaskWait| faulty.jobs[wait.job].at_us + wait.wait_us >= FAULT_AT_US;
        let after_fault = after.waits.iter().filter(started_after_fault);
        let faulty_upstream_tasks = after_fault
            .filter(|wait| wait.upstream == FAULTY_UPSTREAM)
            .count();
        let unanswered = faulty
            .jobs
            .iter()
            .zip(&after.jobs)
            .filter(|(job, outcome)| {
                let ended = outcome.answered_us.is_some() || outcome.failed || outcome.cancelled;
                !ended && job.cancel_after_ms.is_none()
            });
        Self {
            p99: (
                p99_after_fault(fault_free, before, |_| true),
                p99_after_fault(faulty, after, |_| true),
            ),
            p99_others: (
                p99_after_fault(fault_free, before, |job| job.team != "sales"),
                p99_after_fault(faulty, after, |job| job.team != "sales"),
            ),
            failed_jobs: after.jobs.iter().filter(|job| job.failed).count(),
            unanswered: unanswered.count(),
            faulty_upstream_share: faulty_upstream_tasks as f64 / after.waits.len() as f64,
            faulty_upstream_tasks,
        }
    }

    fn evaluate(&self, scenario: Scenario) -> (String, &'static str, bool) {
        let Self {
            p99: (fault_free, with_fault),
            failed_jobs,
            unanswered,
            faulty_upstream_share,
            ..
        } = self;
        let p99 = format!("p99 {fault_free:.2} before, {with_fault:.2} with the fault");
        match scenario {
            Scenario::FailsEverything => (
                format!(
                    "{} tasks ({:.2}%), {failed_jobs} jobs failed, {p99}",
                    self.faulty_upstream_tasks,
                    faulty_upstream_share * 100.0
                ),
                "the upstream is given at most 1% of the tasks, and p99 at most doubles",
                *faulty_upstream_share <= 0.01
                    && *with_fault <= 2.0 * fault_free
                    && *unanswered == 0,
            ),
            Scenario::TenthOfSpeed => (
                format!(
                    "{} tasks ({:.2}%), {p99}",
                    self.faulty_upstream_tasks,
                    faulty_upstream_share * 100.0
                ),
                "no job fails, the upstream is given at most 2% of the tasks, and p99 at most doubles",
                *failed_jobs == 0
                    && *faulty_upstream_share <= 0.02
                    && *with_fault <= 2.0 * fault_free
                    && *unanswered == 0,
            ),
            Scenario::RackLost => (
                format!("{failed_jobs} jobs failed, {p99}"),
                "no more jobs fail than the rack has slots, and every other job is answered",
                *failed_jobs <= 24 && *unanswered == 0,
            ),
            Scenario::DeclaredWrong => (
                format!("{failed_jobs} jobs failed, {p99}"),
                "no job fails, and p99 is at most 1.5 times what it was",
                *failed_jobs == 0 && *with_fault <= 1.5 * fault_free && *unanswered == 0,
            ),
            Scenario::CancellationWave => (
                format!("{unanswered} jobs unanswered, {p99}"),
                "every other job is answered, and p99 is at most 1.5 times what it was",
                *failed_jobs == 0 && *with_fault <= 1.5 * fault_free && *unanswered == 0,
            ),
            Scenario::TeamBurst => {
                let (fault_free, with_fault) = self.p99_others;
                (
                    format!(
                        "the other teams' p99 {fault_free:.2} before, {with_fault:.2} with the burst"
                    ),
                    "the other teams' p99 at most doubles",
                    *failed_jobs == 0 && with_fault <= 2.0 * fault_free,
                )
            }
        }
    }
}

/// Returns the p99 of response ÷ ideal of the jobs that arrive after the fault, except those that a
/// scenario adds.
fn p99_after_fault<F>(trace: &Trace, outcome: &ReplayOutcome, is_counted: F) -> f64
where
    F: Fn(&Job) -> bool,
{
    let ratios = response_ratios(trace, &response_times_us(trace, outcome));
    let jobs = trace.jobs.iter().zip(ratios);
    let counted = jobs.filter(|(job, _)| {
        job.at_us >= FAULT_AT_US && job.tasks[0].class != "extra" && is_counted(job)
    });
    let mut ratios: Vec<f64> = counted.filter_map(|(_, ratio)| ratio).collect();
    ratios.sort_by(f64::total_cmp);
    ratios[ratios.len() * 99 / 100]
}
