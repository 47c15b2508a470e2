//! Randomised runs of a whole deployment under overlapping disruptions.
//!
//! All that is injected is drawn from the seed before anything starts. `HEMLOCKHOOK_CAMPAIGN_SEED`,
//! `_SECONDS`, `_SIZE` (entries x upstreams) and `_KINDS` (a list with commas) set a run.

use std::collections::BTreeMap;
use std::env;
use std::ops::Range;
use std::str::FromStr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use fastrand::Rng;
use googletest::prelude::*;
use hemlockhook_runtime::signal::wait_for_termination;
use http::Method;
use strum::{Display, EnumIter, EnumString, IntoEnumIterator};

use crate::daemon::Daemon;
use crate::deployment::Deployment;
use crate::relay::Direction;
use crate::silent_upstreams::foreign_heartbeat;
use crate::store::StoreFault;

/// Delay before a caller resubmits a job that was not answered.
const RESUBMIT_DELAY: Duration = Duration::from_millis(1300);

/// Time for which callers wait for an answer.
const PATIENCE: Duration = Duration::from_millis(1500);

/// Time after the last disruption after which callers are served again.
const RECOVERY: Duration = Duration::from_secs(12);

/// One in this many jobs requires an upstream of the kind that all have at the start.
const JOBS_PER_REQUIREMENT: u64 = 3;

/// Time by which a forwarder passes on closes later than the requests that it held, in milliseconds.
const END_LAG_MS: Range<u64> = 50..2000;

/// A kind of disruption.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Display, EnumIter, EnumString)]
#[strum(serialize_all = "snake_case")]
enum Kind {
    PauseEntry,
    PauseAgent,
    /// Pauses of an entry with slices of some milliseconds between.
    StarveEntry,
    StarveAgent,
    /// All entries are paused.
    PauseEntries,
    /// The links of an entry are reset, once or in series.
    ResetLinks,
    /// The links of an entry are silent, and reset.
    SilenceLinks,
    /// Nothing is forwarded on the links of an entry in one direction.
    CutLinksOneWay,
    DelayLinks,
    /// The connections of callers with an entry are reset.
    ResetCallers,
    /// What callers send an entry is held, and then passed on before their closes.
    HoldCallers,
    MuteUpstream,
    LateStarts,
    ForeignHeartbeats,
    /// An idle upstream's machine is suspended.
    Suspend,
    RestartUpstream,
    /// An upstream of another kind or service takes the place of one, announces itself late, and is replaced
    /// again.
    ReplaceUpstream,
    KillEntry,
    KillAgent,
    KillAll,
    TerminateEntry,
    Store,
    ForgetHistory,
}

/// A disruption of the plan.
#[derive(Clone, Copy, Debug)]
struct Step {
    /// Time since the end of the step before, on the same lane.
    after: Duration,
    kind: Kind,
    /// Which process, upstream or variant is hit, modulo their number.
    target: usize,
    length: Duration,
}

/// What a run injects: lanes of disruptions that overlap.
struct Plan {
    entries: usize,
    upstreams: usize,
    lanes: Vec<Vec<Step>>,
}

impl Plan {
    fn draw(seed: u64, seconds: u64, size: Option<(usize, usize)>, kinds: &[Kind]) -> Self {
        let mut rng = Rng::with_seed(seed);
        let drawn = (rng.usize(2..4), rng.usize(3..9));
        let (entries, upstreams) = size.unwrap_or(drawn);
        let mut lane = || {
            let mut steps = Vec::new();
            let mut end = Duration::ZERO;
            while end < Duration::from_secs(seconds) {
                let millis = match rng.bool() {
                    true => rng.u64(50..500),
                    false => rng.u64(400..5000),
                };
                let step = Step {
                    after: Duration::from_millis(rng.u64(20..900)),
                    kind: kinds[rng.usize(0..kinds.len())],
                    target: rng.usize(0..1000),
                    length: Duration::from_millis(millis),
                };
                end += step.after + step.length;
                steps.push(step);
            }
            steps
        };
        let lanes = (0..2 + seed % 3).map(|_| lane()).collect();
        Self {
            entries,
            upstreams,
            lanes,
        }
    }
}

/// A deployment whose daemons several lanes disrupt.
struct Target<'a> {
    deployment: &'a Deployment,
    entries: Vec<Mutex<Daemon>>,
    agents: Vec<Mutex<Daemon>>,
    /// Number of disruptions of each kind so far.
    injected: &'a Mutex<BTreeMap<String, usize>>,
}

impl Target<'_> {
    fn inject(&self, step: Step) {
        let mut injected = self
            .injected
            .lock()
            .expect("no thread panicked with the lock");
        *injected.entry(step.kind.to_string()).or_default() += 1;
        drop(injected);
        let Step { target, length, .. } = step;
        let entry = target % self.entries.len();
        let upstream = target % self.agents.len();
        let relay = &self.deployment.agent_links[entry];
        let worker = &self.deployment.workers[upstream];
        match step.kind {
            Kind::PauseEntry => pause(&lock(&self.entries[entry]), length),
            Kind::PauseAgent => pause(&lock(&self.agents[upstream]), length),
            Kind::StarveEntry => starve(&lock(&self.entries[entry]), target, length),
            Kind::StarveAgent => starve(&lock(&self.agents[upstream]), target, length),
            Kind::PauseEntries => {
                let entries: Vec<_> = self.entries.iter().map(lock).collect();
                entries.iter().for_each(|entry| entry.set_paused(true));
                thread::sleep(length);
                entries.iter().for_each(|entry| entry.set_paused(false));
            }
            Kind::ResetLinks => {
                for _ in 0..=target % 4 {
                    relay.reset();
                    thread::sleep(length / 8);
                }
            }
            Kind::SilenceLinks => {
                relay.set_partitioned(true);
                thread::sleep(length);
                relay.reset();
                relay.set_partitioned(false);
            }
            Kind::CutLinksOneWay => {
                let direction = match target % 2 {
                    0 => Direction::FromClients,
                    _ => Direction::FromTarget,
                };
                relay.set_cut(direction, true);
                thread::sleep(length);
                relay.set_cut(direction, false);
            }
            Kind::DelayLinks => {
                relay.set_delay(length / 10);
                thread::sleep(length);
                relay.set_delay(Duration::ZERO);
            }
            Kind::ResetCallers => self.deployment.caller_links[entry].reset(),
            Kind::HoldCallers => {
                let callers = &self.deployment.caller_links[entry];
                callers.set_requests_held(true);
                callers.set_ends_held(true);
                thread::sleep(length);
                callers.set_requests_held(false);
                let lag = Rng::with_seed(target as u64).u64(END_LAG_MS);
                thread::sleep(Duration::from_millis(lag));
                callers.set_ends_held(false);
            }
            Kind::MuteUpstream => {
                worker.set_mute(true);
                thread::sleep(length);
                worker.set_mute(false);
            }
            Kind::LateStarts => {
                worker.set_late(true);
                thread::sleep(length);
                worker.set_late(false);
            }
            Kind::ForeignHeartbeats => {
                let service = if target % 2 == 0 { "ledger" } else { "desk" };
                let body = foreign_heartbeat(service).to_string().into_bytes();
                let path = "/hemlockhook/Instances.Heartbeat/i-other";
                for _ in 0..4 {
                    // An agent that is down or paused does not get it.
                    let wait = Duration::from_millis(200);
                    _ = self
                        .deployment
                        .announce_for(upstream, path, body.clone(), wait);
                    thread::sleep(length / 4);
                }
            }
            Kind::Suspend => {
                let agent = lock(&self.agents[upstream]);
                agent.set_paused(true);
                thread::sleep(length);
                // A busy upstream counts as running on: its agent alone was paused.
                worker.discount_suspend(length);
                agent.set_paused(false);
            }
            Kind::RestartUpstream => worker.restart(target % 2 == 0),
            Kind::ReplaceUpstream => {
                let service = if target % 3 == 0 { "ledger" } else { "desk" };
                for (service, kind) in [(service, "b"), ("desk", "a")] {
                    worker.set_quiet(true);
                    worker.replace(service, kind);
                    thread::sleep(length / 4);
                    worker.set_quiet(false);
                    thread::sleep(length / 4);
                }
            }
            Kind::KillEntry => self.restart_entry(entry, length, false),
            Kind::KillAgent => {
                let mut agent = lock(&self.agents[upstream]);
                agent.kill();
                thread::sleep(length / 4);
                agent.restart();
            }
            Kind::KillAll => {
                let mut entries: Vec<_> = self.entries.iter().map(lock).collect();
                let mut agents: Vec<_> = self.agents.iter().map(lock).collect();
                let all = || entries.iter().chain(&agents);
                all().for_each(|daemon| daemon.send_kill());
                let all = entries.iter_mut().chain(&mut agents);
                all.for_each(|daemon| daemon.restart());
                for (relay, entry) in self.deployment.agent_links.iter().zip(&entries) {
                    relay.set_target(entry.wait_for_links_address());
                }
            }
            Kind::TerminateEntry => self.restart_entry(entry, length, true),
            Kind::Store => {
                let faults: Vec<_> = StoreFault::iter().collect();
                let store = &self.deployment.store;
                store.set_fault(faults[target % faults.len()]);
                thread::sleep(length);
                store.set_fault(StoreFault::None);
            }
            Kind::ForgetHistory => self.deployment.store.compact(),
        }
    }

    fn restart_entry(&self, entry: usize, length: Duration, is_graceful: bool) {
        let mut daemon = lock(&self.entries[entry]);
        match is_graceful {
            true => {
                daemon.terminate();
                assert!(daemon.wait(), "an entry ends without an error");
            }
            false => daemon.kill(),
        }
        thread::sleep(length / 4);
        daemon.restart();
        self.deployment.agent_links[entry].set_target(daemon.wait_for_links_address());
    }
}

fn lock(daemon: &Mutex<Daemon>) -> MutexGuard<'_, Daemon> {
    daemon.lock().expect("no thread panicked with the lock")
}

fn pause(daemon: &Daemon, length: Duration) {
    daemon.set_paused(true);
    thread::sleep(length);
    daemon.set_paused(false);
}

/// Pauses a process for 0.4 to 2 s at a time, with slices of 1 to 9 ms between.
fn starve(daemon: &Daemon, target: usize, length: Duration) {
    let mut rng = Rng::with_seed(target as u64);
    let end = Instant::now() + length * 3;
    while Instant::now() < end {
        pause(daemon, Duration::from_millis(rng.u64(400..2000)));
        thread::sleep(Duration::from_millis(rng.u64(1..10)));
    }
}

/// What callers were told.
#[derive(Debug, Default)]
struct Answers {
    submitted: AtomicUsize,
    served: AtomicUsize,
    refused: AtomicUsize,
    unanswered: AtomicUsize,
    cancelled: AtomicUsize,
}

/// Submits jobs one after the other, each at random entries until it is answered or refused.
fn submit_jobs(
    deployment: &Deployment,
    seed: u64,
    entries: usize,
    is_over: &AtomicBool,
    answers: &Answers,
) {
    let mut rng = Rng::with_seed(seed);
    let mut number: u64 = 0;
    while !is_over.load(Ordering::Relaxed) {
        number += 1;
        let id = format!("c{seed}n{number}");
        let tasks = rng.usize(1..4);
        let run_ms = match rng.u8(0..20) {
            0 => rng.u64(10_000..60_000),
            7..=10 => rng.u64(1000..10_000),
            1..=6 => rng.u64(300..1400),
            _ => rng.u64(10..300),
        };
        answers.submitted.fetch_add(1, Ordering::Relaxed);
        // Some callers give up before they are answered, and some cancel their job at any entry.
        let mut attempts = rng.u8(1..5);
        while attempts > 0 && !is_over.load(Ordering::Relaxed) {
            attempts -= 1;
            let entry = rng.usize(0..entries);
            let answer = match number % JOBS_PER_REQUIREMENT {
                0 => deployment.submit_requiring(entry, &id, "a", (tasks, run_ms), PATIENCE),
                _ => deployment.submit_with(entry, &id, (tasks, run_ms), PATIENCE),
            };
            match answer {
                Some((200, body)) if body.contains("completed") => {
                    answers.served.fetch_add(1, Ordering::Relaxed);
                    deployment.observe(|seen| seen.check_complete(&id, tasks));
                    break;
                }
                Some((429 | 503, _)) => {
                    answers.refused.fetch_add(1, Ordering::Relaxed);
                    deployment.observe(|seen| seen.refused(&id));
                    break;
                }
                _ => {
                    answers.unanswered.fetch_add(1, Ordering::Relaxed);
                    deployment.observe(|seen| _ = seen.unanswered_jobs.insert(id.clone()));
                    if rng.u8(0..8) == 0 {
                        let path = format!("/desk/{id}");
                        let entry = rng.usize(0..entries);
                        deployment.send_request(entry, Method::DELETE, &path, String::new());
                        answers.cancelled.fetch_add(1, Ordering::Relaxed);
                        break;
                    }
                    thread::sleep(RESUBMIT_DELAY);
                }
            }
        }
        thread::sleep(Duration::from_millis(rng.u64(0..150)));
    }
}

fn setting<T: FromStr>(name: &str) -> Option<T> {
    let text = env::var(format!("HEMLOCKHOOK_CAMPAIGN_{name}")).ok()?;
    let value = text.parse().ok();
    Some(value.unwrap_or_else(|| panic!("HEMLOCKHOOK_CAMPAIGN_{name}: `{text}` is not valid")))
}

fn size() -> Option<(usize, usize)> {
    let text: String = setting("SIZE")?;
    let size = text.split_once('x').and_then(|(entries, upstreams)| {
        let entries = entries.parse().ok().filter(|&count| count > 0)?;
        Some((entries, upstreams.parse().ok().filter(|&count| count > 0)?))
    });
    Some(size.unwrap_or_else(|| panic!("HEMLOCKHOOK_CAMPAIGN_SIZE: `{text}` is not like 3x8")))
}

fn kinds() -> Vec<Kind> {
    let Some(text) = setting::<String>("KINDS") else {
        return Kind::iter().collect();
    };
    let kind = |name: &str| {
        name.parse()
            .unwrap_or_else(|_| panic!("HEMLOCKHOOK_CAMPAIGN_KINDS: there is no kind `{name}`"))
    };
    text.split(',').map(kind).collect()
}

#[gtest]
fn no_rule_is_broken_under_overlapping_disruptions() {
    let seed = setting("SEED").unwrap_or(1);
    let seconds = setting("SECONDS").unwrap_or(25);
    let plan = Plan::draw(seed, seconds, size(), &kinds());
    let name = format!("campaign-{seed}");
    let mut deployment = Deployment::start_relayed(&name, plan.entries, plan.upstreams);
    let entries = std::mem::take(&mut deployment.entries);
    let agents = std::mem::take(&mut deployment.agents);
    let answers = Answers::default();
    let injected = Mutex::default();
    let is_over = AtomicBool::new(false);
    let is_interrupted = Arc::new(AtomicBool::new(false));
    if env::var_os("HEMLOCKHOOK_CAMPAIGN_SEED").is_some() {
        // A run by hand ends at once, reports what it has seen, and leaves no process behind.
        let is_interrupted = is_interrupted.clone();
        thread::spawn(move || {
            async_io::block_on(wait_for_termination());
            is_interrupted.store(true, Ordering::Relaxed);
        });
    }
    thread::scope(|scope| {
        let (deployment, is_over, answers, plan) = (&deployment, &is_over, &answers, &plan);
        let injected = &injected;
        let target = Target {
            deployment,
            entries: entries.into_iter().map(Mutex::new).collect(),
            agents: agents.into_iter().map(Mutex::new).collect(),
            injected,
        };
        for caller in 0..4 * plan.entries as u64 {
            let seed = seed * 1000 + caller;
            scope.spawn(move || submit_jobs(deployment, seed, plan.entries, is_over, answers));
        }
        thread::scope(|lanes| {
            for lane in &plan.lanes {
                let (target, is_interrupted) = (&target, &is_interrupted);
                lanes.spawn(move || {
                    for &step in lane {
                        thread::sleep(step.after);
                        if is_interrupted.load(Ordering::Relaxed) {
                            return;
                        }
                        target.inject(step);
                    }
                });
            }
        });
        is_over.store(true, Ordering::Relaxed);
        if is_interrupted.load(Ordering::Relaxed) {
            return;
        }
        thread::sleep(RECOVERY);
        for entry in 0..plan.entries {
            let served = |job| {
                let id = format!("r{entry}n{job}");
                deployment.submit_until(entry, &id, (1, 20), PATIENCE) == Some(200)
            };
            let served = (0..8).filter(|&job| served(job)).count();
            if served < 2 {
                let violation = format!("entry {entry} serves {served} of 8 jobs after a recovery");
                deployment.observe(|seen| seen.violations.push(violation));
            }
        }
    });
    println!(
        "seed {seed}: {} entries, {} upstreams",
        plan.entries, plan.upstreams
    );
    println!("injected: {injected:?}");
    println!("answers: {answers:?}");
    println!(
        "tasks started: {}",
        deployment.observe(|seen| seen.starts.len())
    );
    let violations = deployment.violations();
    if !violations.is_empty() {
        println!("lanes: {:#?}", plan.lanes);
    }
    expect_that!(violations, is_empty(), "seed {seed}");
}
