//! Traces: the upstreams, jobs and faults that a replay simulates.
//!
//! A trace file is JSON Lines. The first line is the [`Deployment`]; each further line is a [`Job`],
//! in the order of `at_us`. The names of durations end in their unit.

use std::fs;
use std::path::Path;

use eyre::{Context, OptionExt};
use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};

/// Longest run time of a short task, on an upstream of speed 1.
pub const SHORT_TASK_MAX_US: u64 = 1_000_000;

/// Shortest run time of a long task, on an upstream of speed 1.
pub const LONG_TASK_MIN_US: u64 = 5_000_000;

const UPSTREAM_SPEEDS: [f64; 11] = [1.5, 1.5, 1.3, 1.2, 1.1, 1.0, 0.9, 0.8, 0.7, 0.5, 0.5];
const SLOTS_PER_UPSTREAM: u32 = 8;
const UPSTREAMS_PER_RACK: usize = 3;
const DATA_CENTERS: usize = 3;
/// Duration of a generated trace.
pub const TRACE_DURATION_US: u64 = 600_000_000;
const PEAK_INTERVAL_US: u64 = 20_000_000;
const PEAK_US: u64 = 4_000_000;
const MEAN_LOAD: f64 = 0.7;
const CANCEL_INTERVAL_US: u64 = 60_000_000;
const CANCEL_WINDOW_US: u64 = 2_000_000;

/// A deployment for which traces can be generated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum DeploymentName {
    /// Tunelpokrov d.o.o., three data centers in Slavonia.
    Tunelpokrov,
    /// Asante Magnetics, three data centers in Greater Accra.
    Asante,
}

/// The deployment that a trace runs on; the first line of a trace file.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Deployment {
    /// Name of the deployment.
    pub name: String,
    /// Number of entries; entry `i` is in data center `i % 3`.
    pub entries: usize,
    /// Upstreams of all data centers; [`Fault::upstream`] is an index into this list.
    pub upstreams: Vec<Upstream>,
    /// One-way latency within a data center.
    pub local_us: u64,
    /// One-way latency between data centers.
    pub remote_us: u64,
    /// One-way latency between a client and its entry.
    pub client_us: u64,
    /// Load peaks: time windows, as start and end, in which more work arrives than the upstreams can
    /// process.
    #[serde(rename = "crests_us")]
    pub peaks_us: Vec<(u64, u64)>,
    /// Faults to inject, in the order of their time.
    #[serde(default)]
    pub faults: Vec<Fault>,
}

/// An upstream instance of a deployment.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Upstream {
    /// Relative speed; a task's run time is its `run_us` divided by this.
    pub speed: f64,
    /// Number of tasks that it runs concurrently.
    pub slots: u32,
    /// Index of its rack.
    pub rack: usize,
    /// Index of its data center.
    pub data_center: usize,
    /// Services that it serves.
    pub services: Vec<String>,
}

/// A fault of an upstream.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Fault {
    /// Time of the fault.
    pub at_us: u64,
    /// Index of the upstream.
    pub upstream: usize,
    /// Kind of fault.
    pub kind: FaultKind,
}

/// Kind of fault of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// From now on every task that starts fails after a millisecond.
    FailFast,
    /// Multiplies the speed by this factor for tasks that start from now on.
    Speed(f64),
    /// The upstream and its agent are lost, along with the tasks that run there.
    Lost,
}

/// A job that a client submits.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Job {
    /// Time at which the client sends it.
    pub at_us: u64,
    /// Team that submits it.
    pub team: String,
    /// Service that it requests.
    pub service: String,
    /// Time from `at_us` until the deadline.
    pub deadline_ms: u64,
    /// Time from `at_us` until the client cancels it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cancel_after_ms: Option<u64>,
    /// Tasks of the job.
    pub tasks: Vec<Task>,
}

/// One task of a job.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Task {
    /// Run time on an upstream of speed 1.
    pub run_us: u64,
    /// Run time that the client declares, if any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub declared_us: Option<u64>,
    /// Task class that the client declares.
    pub class: String,
}

/// A deployment and the jobs that are submitted to it.
#[derive(Clone, Debug, PartialEq)]
pub struct Trace {
    /// The deployment that the jobs run on.
    pub deployment: Deployment,
    /// The jobs, in the order of `at_us`.
    pub jobs: Vec<Job>,
}

impl Trace {
    /// Reads a trace file.
    pub fn read(path: &Path) -> eyre::Result<Self> {
        let text = fs::read_to_string(path).wrap_err_with(|| path.display().to_string())?;
        let mut lines = text.lines().filter(|line| !line.is_empty());
        let deployment = serde_json::from_str(lines.next().ok_or_eyre("the trace file is empty")?)?;
        let jobs = lines.map(serde_json::from_str).collect::<Result<_, _>>()?;
        Ok(Self { deployment, jobs })
    }

    /// Writes the trace to a file.
    pub fn write(&self, path: &Path) -> eyre::Result<()> {
        let mut text = serde_json::to_string(&self.deployment)? + "\n";
        for job in &self.jobs {
            text += &(serde_json::to_string(job)? + "\n");
        }
        fs::write(path, text).wrap_err_with(|| path.display().to_string())
    }

    /// Generates the trace of a deployment. The same arguments give the same trace.
    pub fn generate(name: DeploymentName, seed: u64, duration_us: u64) -> Self {
        let deployment = deployment(name, duration_us);
        let workload = Workload::for_deployment(name);
        let mut rng = fastrand::Rng::with_seed(seed);
        let capacity: f64 = deployment
            .upstreams
            .iter()
            .map(|u| u.speed * f64::from(u.slots))
            .sum();
        let mut jobs = Vec::new();
        let mut at_us = 0.0;
        // Work arrives at a rate of `relative_load_at(t) * capacity`, with exponentially distributed
        // times between jobs.
        while at_us < duration_us as f64 {
            let job = workload.generate_job(&mut rng, at_us as u64);
            let rate = relative_load_at(at_us as u64, &deployment.peaks_us) * capacity;
            let gap = -(1.0 - rng.f64()).ln() * workload.mean_work_us / rate;
            at_us += gap;
            jobs.push(job);
        }
        add_cancellation_waves(&mut rng, &mut jobs);
        Self { deployment, jobs }
    }

    /// Returns the trace without the jobs that have long tasks.
    pub fn without_long_jobs(&self) -> Self {
        let short = |job: &&Job| job.tasks.iter().all(|task| task.run_us < LONG_TASK_MIN_US);
        let jobs = self.jobs.iter().filter(short).cloned().collect();
        Self {
            deployment: self.deployment.clone(),
            jobs,
        }
    }
}

impl Deployment {
    /// Returns whether a time lies in a load peak.
    pub fn is_peak(&self, at_us: u64) -> bool {
        self.peaks_us
            .iter()
            .any(|(from, until)| (*from..*until).contains(&at_us))
    }

    /// Returns the speed of the fastest upstream that serves a service.
    pub fn max_speed(&self, service: &str) -> f64 {
        let suitable = self.upstreams.iter().filter(|u| u.serves(service));
        suitable.map(|u| u.speed).fold(0.0, f64::max)
    }

    /// Returns the one-way latency between an entry and an upstream.
    pub fn latency_us(&self, entry: usize, upstream: usize) -> u64 {
        match self.upstreams[upstream].data_center == entry % DATA_CENTERS {
            true => self.local_us,
            false => self.remote_us,
        }
    }

    /// Returns the response time of a job whose tasks all start at once on the fastest upstreams.
    pub fn ideal_response_us(&self, job: &Job) -> u64 {
        let longest = job.tasks.iter().map(|task| task.run_us).max().unwrap_or(0);
        let run = longest as f64 / self.max_speed(&job.service);
        run as u64 + 2 * (self.client_us + self.local_us)
    }
}

impl Upstream {
    /// Returns whether the upstream serves a service.
    pub fn serves(&self, service: &str) -> bool {
        self.services.iter().any(|name| name == service)
    }
}

/// Distribution of the jobs that a deployment's clients send.
struct Workload {
    services: [&'static str; 3],
    teams: [&'static str; 3],
    /// Jobs out of 1,000 that consist of one task of 1 to 5 seconds.
    medium_per_mille: u32,
    /// Jobs out of 1,000 that consist of one task of 10 to 60 seconds.
    long_per_mille: u32,
    mean_work_us: f64,
}

impl Workload {
    fn for_deployment(name: DeploymentName) -> Self {
        let mut workload = match name {
            DeploymentName::Tunelpokrov => Self {
                services: Self::services(name),
                teams: ["farms", "agronomists", "sales"],
                medium_per_mille: 50,
                long_per_mille: 8,
                mean_work_us: 0.0,
            },
            DeploymentName::Asante => Self {
                services: Self::services(name),
                teams: ["merchants", "rewinders", "schools"],
                medium_per_mille: 50,
                long_per_mille: 12,
                mean_work_us: 0.0,
            },
        };
        let mut rng = fastrand::Rng::with_seed(1);
        let work = |rng: &mut _| {
            workload
                .generate_job(rng, 0)
                .tasks
                .iter()
                .map(|t| t.run_us)
                .sum::<u64>()
        };
        let total: u64 = (0..100_000).map(|_| work(&mut rng)).sum();
        workload.mean_work_us = total as f64 / 100_000.0;
        workload
    }

    fn generate_job(&self, rng: &mut fastrand::Rng, at_us: u64) -> Job {
        let service = rng.usize(..3);
        let kind = rng.u32(..1000);
        let (count, class, median_us, spread): (usize, &str, f64, f64) = match kind {
            k if k < self.long_per_mille => (1, "report", 24e6, 0.9),
            k if k < self.long_per_mille + self.medium_per_mille => (1, "batch", 2.2e6, 0.7),
            _ => {
                let class = rng.usize(..3);
                let median = [90e3, 250e3, 550e3][class];
                (
                    draw_task_count(rng),
                    ["light", "plain", "heavy"][class],
                    median,
                    0.5,
                )
            }
        };
        let (low, high) = match class {
            "report" => (10e6, 60e6),
            "batch" => (1e6, 5e6),
            _ => (50e3, 1e6),
        };
        // Half of the long tasks are declared with a class of short tasks.
        let declared_short = class == "report" && rng.bool();
        let declared_class = if declared_short { "plain" } else { class };
        let task = |_| {
            let run =
                (median_us * (spread * (rng.f64() + rng.f64() - 1.0) * 2.0).exp()).clamp(low, high);
            let declared = if declared_short { run / 60.0 } else { run };
            Task {
                run_us: run as u64,
                declared_us: declared_run_time(rng, declared),
                class: declared_class.into(),
            }
        };
        let tasks = (0..count).map(task).collect();
        Job {
            at_us,
            team: self.teams[rng.usize(..3)].into(),
            service: self.services[service].into(),
            deadline_ms: if class == "report" { 600_000 } else { 60_000 },
            cancel_after_ms: None,
            tasks,
        }
    }
}

/// Draws the number of tasks of a job of short tasks: mostly a few, at most 110.
fn draw_task_count(rng: &mut fastrand::Rng) -> usize {
    let size = -(1.0 - rng.f64()).ln() * 4.0;
    match rng.u32(..200) {
        0 => 110,
        _ => (1 + size as usize).min(110),
    }
}

/// Draws the run time that a client declares: none in a fifth of the cases, wrong by a factor of up to
/// 10 in either direction in three tenths, and within 30% otherwise.
fn declared_run_time(rng: &mut fastrand::Rng, run_us: f64) -> Option<u64> {
    match rng.u32(..10) {
        0..2 => None,
        2..5 => Some((run_us * 10f64.powf(rng.f64() * 2.0 - 1.0)) as u64),
        _ => Some((run_us * (0.7 + 0.6 * rng.f64())) as u64),
    }
}

/// Cancels two fifths of the jobs that arrive in the window before each cancellation wave, all at the
/// time of the wave.
fn add_cancellation_waves(rng: &mut fastrand::Rng, jobs: &mut [Job]) {
    for job in jobs {
        let since_wave = job.at_us % CANCEL_INTERVAL_US;
        let left = (CANCEL_INTERVAL_US - since_wave) / 1000;
        if left <= CANCEL_WINDOW_US / 1000 && rng.u32(..5) < 2 {
            job.cancel_after_ms = Some(left);
        }
    }
}

fn deployment(name: DeploymentName, duration_us: u64) -> Deployment {
    let services = Workload::services(name);
    let upstream = |(index, speed): (usize, &f64)| Upstream {
        speed: *speed,
        slots: SLOTS_PER_UPSTREAM,
        rack: index / UPSTREAMS_PER_RACK,
        data_center: (index / UPSTREAMS_PER_RACK) % DATA_CENTERS,
        // The third service is missing on every fourth upstream, as two workers lack what it requires.
        services: services[..if index % 4 == 3 { 2 } else { 3 }]
            .iter()
            .map(|s| s.to_string())
            .collect(),
    };
    // Distributes the speeds so that upstreams of one rack differ.
    let speeds: Vec<f64> = (0..UPSTREAM_SPEEDS.len())
        .map(|i| UPSTREAM_SPEEDS[i * 4 % UPSTREAM_SPEEDS.len()])
        .collect();
    let (remote_us, client_us) = match name {
        DeploymentName::Tunelpokrov => (1500, 1000),
        DeploymentName::Asante => (1000, 3000),
    };
    let starts =
        (0..duration_us / PEAK_INTERVAL_US).map(|n| n * PEAK_INTERVAL_US + PEAK_INTERVAL_US / 2);
    Deployment {
        name: name.to_string(),
        entries: 3,
        upstreams: speeds.iter().enumerate().map(upstream).collect(),
        local_us: 200,
        remote_us,
        client_us,
        peaks_us: starts.map(|from| (from, from + PEAK_US)).collect(),
        faults: Vec::new(),
    }
}

impl Workload {
    fn services(name: DeploymentName) -> [&'static str; 3] {
        match name {
            DeploymentName::Tunelpokrov => ["price", "stock", "booking"],
            DeploymentName::Asante => ["stock", "quotation", "hold"],
        }
    }
}

/// Returns the load at a time, relative to the capacity of the upstreams. Peaks reach 1.1 to 1.3.
fn relative_load_at(at_us: u64, peaks: &[(u64, u64)]) -> f64 {
    let share = PEAK_US as f64 / PEAK_INTERVAL_US as f64;
    let base = (MEAN_LOAD - 1.2 * share) / (1.0 - share);
    match peaks
        .iter()
        .position(|(from, until)| (*from..*until).contains(&at_us))
    {
        Some(n) => [1.1, 1.3, 1.2][n % 3],
        None => base,
    }
}
