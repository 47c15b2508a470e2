//! Replays with faults, each with a stated outcome.

use hemlockhook_schedule::Policy;
use strum::{Display, EnumIter, IntoEnumIterator};

use crate::replay::{ReplayOutcome, Scheduler, TaskWait, replay};
use crate::report::{response_ratios, response_times_us};
use crate::trace::{DeploymentName, Fault, FaultKind, Job, Task, Trace};

const DURATION_US: u64 = 120_000_000;

/// When the fault comes: in the middle of a crest.
const FAULT_US: u64 = 52_000_000;

const BURST_US: u64 = 5_000_000;

/// Index of an upstream of the highest speed.
const FAULTY_UPSTREAM: usize = 0;

const FAULTY_RACK: usize = 1;

/// A fault that is replayed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumIter)]
#[strum(serialize_all = "snake_case")]
pub enum Scenario {
    /// A fast upstream fails every task within a millisecond, from the middle of a crest on.
    FailsEverything,
    /// A fast upstream runs at a tenth of its speed, from the middle of a crest on.
    TenthOfSpeed,
    /// The upstreams of a rack are lost in the middle of a crest.
    RackLost,
    /// Every declared run time is wrong by ten, half of them either way.
    DeclaredWrong,
    /// Ten thousand tasks are submitted at once and cancelled a second later.
    CancellationWave,
    /// One team submits ten times its share of the slots for five seconds.
    TeamBurst,
}

/// What a replay gave, and what is stated of it.
#[derive(Clone, Debug, PartialEq)]
pub struct ScenarioResult {
    /// The fault.
    pub scenario: Scenario,
    /// What was measured.
    pub measured: String,
    /// What has to hold.
    pub expected: &'static str,
    /// Whether it does.
    pub passed: bool,
}

/// Replays every scenario.
pub fn run_scenarios(seed: u64) -> Vec<ScenarioResult> {
    Scenario::iter()
        .map(|scenario| run_scenario(scenario, seed))
        .collect()
}

/// Prints every scenario. Fails if a stated outcome does not hold.
pub fn run(seed: u64) -> eyre::Result<()> {
    let results = run_scenarios(seed);
    for ScenarioResult {
        scenario,
        measured,
        expected,
        passed,
    } in &results
    {
        let word = if *passed { "holds" } else { "FAILS" };
        println!("{scenario}: {word}\n  stated:   {expected}\n  measured: {measured}");
    }
    match results.iter().all(|result| result.passed) {
        true => Ok(()),
        false => eyre::bail!("a stated outcome does not hold"),
    }
}

/// Replays one scenario and judges it.
pub fn run_scenario(scenario: Scenario, seed: u64) -> ScenarioResult {
    let calm = Trace::generate(DeploymentName::Tunelpokrov, seed, DURATION_US);
    let mut trace = calm.clone();
    scenario.apply(&mut trace);
    let run = |trace: &Trace| replay(trace, Scheduler::System(Box::<Policy>::default()));
    let (before, after) = (run(&calm), run(&trace));
    let figures = Figures::new(&calm, &before, &trace, &after);
    let (measured, expected, passed) = figures.evaluate(scenario);
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
            at_us: FAULT_US,
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
                    (0..100).map(|_| extra_job("wave", FAULT_US, 100, Some(1000))),
                );
            }
            Self::TeamBurst => {
                // Ten times a third of some 88 slots, in tasks of 250 ms.
                let every_us = 250_000 * 10 / (10 * 88 / 3);
                let times = (0..BURST_US / every_us).map(|n| FAULT_US + n * every_us);
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

/// What the scenarios are judged by.
struct Figures {
    /// p99 of response ÷ ideal after the fault's time, without and with the fault. Jobs that the
    /// scenario adds are left out.
    p99: (f64, f64),
    /// The same for the teams other than `sales`.
    p99_others: (f64, f64),
    failed_jobs: usize,
    unanswered: usize,
    /// Part of all tasks that started on the faulty upstream after the fault.
    exposure: f64,
    exposed_tasks: usize,
}

impl Figures {
    fn new(calm: &Trace, before: &ReplayOutcome, trace: &Trace, after: &ReplayOutcome) -> Self {
        let started_late = |wait: &&TaskWait| trace.jobs[wait.job].at_us + wait.wait_us >= FAULT_US;
        let faulty = after.waits.iter().filter(started_late);
        let exposed_tasks = faulty
            .filter(|wait| wait.upstream == FAULTY_UPSTREAM)
            .count();
        let unanswered = trace.jobs.iter().zip(&after.jobs).filter(|(job, outcome)| {
            let ended = outcome.answered_us.is_some() || outcome.failed || outcome.cancelled;
            !ended && job.cancel_after_ms.is_none()
        });
        Self {
            p99: (p99(calm, before, |_| true), p99(trace, after, |_| true)),
            p99_others: (
                p99(calm, before, |job| job.team != "sales"),
                p99(trace, after, |job| job.team != "sales"),
            ),
            failed_jobs: after.jobs.iter().filter(|job| job.failed).count(),
            unanswered: unanswered.count(),
            exposure: exposed_tasks as f64 / after.waits.len() as f64,
            exposed_tasks,
        }
    }

    fn evaluate(&self, scenario: Scenario) -> (String, &'static str, bool) {
        let Self {
            p99: (calm, fault),
            failed_jobs,
            unanswered,
            exposure,
            ..
        } = self;
        let p99 = format!("p99 {calm:.2} before, {fault:.2} with the fault");
        match scenario {
            Scenario::FailsEverything => (
                format!(
                    "{} tasks ({:.2}%), {failed_jobs} jobs failed, {p99}",
                    self.exposed_tasks,
                    exposure * 100.0
                ),
                "the upstream is given at most 1% of the tasks, and p99 at most doubles",
                *exposure <= 0.01 && *fault <= 2.0 * calm && *unanswered == 0,
            ),
            Scenario::TenthOfSpeed => (
                format!(
                    "{} tasks ({:.2}%), {p99}",
                    self.exposed_tasks,
                    exposure * 100.0
                ),
                "no job fails, the upstream is given at most 2% of the tasks, and p99 at most doubles",
                *failed_jobs == 0 && *exposure <= 0.02 && *fault <= 2.0 * calm && *unanswered == 0,
            ),
            Scenario::RackLost => (
                format!("{failed_jobs} jobs failed, {p99}"),
                "no more jobs fail than the rack has slots, and every other job is answered",
                *failed_jobs <= 24 && *unanswered == 0,
            ),
            Scenario::DeclaredWrong => (
                format!("{failed_jobs} jobs failed, {p99}"),
                "no job fails, and p99 is at most 1.5 times what it was",
                *failed_jobs == 0 && *fault <= 1.5 * calm && *unanswered == 0,
            ),
            Scenario::CancellationWave => (
                format!("{unanswered} jobs unanswered, {p99}"),
                "every other job is answered, and p99 is at most 1.5 times what it was",
                *failed_jobs == 0 && *fault <= 1.5 * calm && *unanswered == 0,
            ),
            Scenario::TeamBurst => {
                let (calm, fault) = self.p99_others;
                (
                    format!("the other teams' p99 {calm:.2} before, {fault:.2} with the burst"),
                    "the other teams' p99 at most doubles",
                    *failed_jobs == 0 && fault <= 2.0 * calm,
                )
            }
        }
    }
}

/// Returns p99 of response ÷ ideal of the deployment's own jobs that arrive after the fault.
fn p99<F>(trace: &Trace, outcome: &ReplayOutcome, is_counted: F) -> f64
where
    F: Fn(&Job) -> bool,
{
    let ratios = response_ratios(trace, &response_times_us(trace, outcome));
    let jobs = trace.jobs.iter().zip(ratios);
    let counted = jobs.filter(|(job, _)| {
        job.at_us >= FAULT_US && job.tasks[0].class != "extra" && is_counted(job)
    });
    let mut ratios: Vec<f64> = counted.filter_map(|(_, ratio)| ratio).collect();
    ratios.sort_by(f64::total_cmp);
    ratios[ratios.len() * 99 / 100]
}
