//! Replays a trace in virtual time: an event heap, links with the deployment's latencies, and either
//! the dispatchers and slot tables of the system or a baseline.

mod agent;
mod entry;
mod outcome;

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};
use std::time::{Duration, Instant};

use hemlockhook_schedule::{Demand, Dispatcher, JobId, Policy, SlotTable, UpstreamSpec};
use hemlockhook_types::Incarnation;

use crate::baseline::{Baseline, LoadEstimates};
use crate::trace::Trace;

use self::outcome::Integral;
pub use self::outcome::{JobOutcome, MessageCounts, ReplayOutcome, TaskWait};

const SETTLE_US: u64 = 100_000;
const HEARTBEAT_US: u64 = 1_000_000;
const SERVICES: usize = 3;

/// How the replay chooses.
#[derive(Clone, Debug)]
pub enum Scheduler {
    /// The dispatcher and the slot tables of the system.
    System(Box<Policy>),
    /// A baseline, with a queue at each upstream.
    Baseline(Baseline),
}

#[derive(Debug)]
enum Event {
    Submit(usize),
    Cancel(usize),
    Fault(usize),
    Start {
        agent: usize,
        entry: usize,
        start: Start,
    },
    Cancelled {
        agent: usize,
        job: usize,
    },
    Control {
        agent: usize,
        entry: usize,
        demand: Option<Demand>,
        returned: u32,
    },
    Grants {
        agent: usize,
        entry: usize,
        granted: u32,
        recalled: u32,
    },
    End {
        agent: usize,
        run: u64,
    },
    Ended {
        agent: usize,
        start: Start,
        entry: usize,
        ran_us: u64,
        ok: bool,
        load: u32,
    },
    Refused {
        agent: usize,
        entry: usize,
        start: Start,
    },
    LinkLost {
        agent: usize,
        entry: usize,
        lost: Vec<Start>,
    },
    WakeEntry(usize),
    WakeAgent(usize),
    Heartbeat,
}

#[derive(Clone, Copy, Debug)]
struct Start {
    job: usize,
    id: JobId,
    task: usize,
    long: bool,
}

struct Entry {
    dispatcher: Dispatcher,
    jobs: HashMap<JobId, usize>,
    loads: LoadEstimates,
    wakeup: Option<u64>,
}

struct Agent {
    slots: SlotTable,
    running: HashMap<u64, Running>,
    queue: VecDeque<(usize, Start)>,
    speed: f64,
    failing: bool,
    lost: bool,
    wakeup: Option<u64>,
    /// Integral over time of the share of slots that long work holds.
    long_share: Integral,
    /// Integral over time of whether long work holds a slot.
    long_held: Integral,
    long_running: u32,
}

#[derive(Clone, Copy)]
struct Running {
    entry: usize,
    start: Start,
    started_us: u64,
    truly_long: bool,
}

struct JobProgress {
    id: Option<JobId>,
    arrived_us: u64,
    left: usize,
    settled: bool,
    long_share_at: f64,
    long_held_at: f64,
    per_agent: Vec<(f64, f64)>,
}

/// A replay under way.
pub struct Replay<'a> {
    trace: &'a Trace,
    scheduler: Scheduler,
    rng: fastrand::Rng,
    base: Instant,
    now_us: u64,
    heap: BinaryHeap<Reverse<(u64, u64, usize)>>,
    events: Vec<Option<Event>>,
    free_events: Vec<usize>,
    next_seq: u64,
    next_run: u64,
    entries: Vec<Entry>,
    agents: Vec<Agent>,
    progress: Vec<Option<JobProgress>>,
    /// For each service, over all suitable slots.
    service_share: [Integral; SERVICES],
    service_held: [Integral; SERVICES],
    service_names: Vec<String>,
    out: ReplayOutcome,
}

/// Replays a trace and returns what it gave.
pub fn replay(trace: &Trace, scheduler: Scheduler) -> ReplayOutcome {
    Replay::new(trace, scheduler).run()
}

impl<'a> Replay<'a> {
    fn new(trace: &'a Trace, scheduler: Scheduler) -> Self {
        let policy = match &scheduler {
            Scheduler::System(policy) => (**policy).clone(),
            Scheduler::Baseline(_) => Policy::default(),
        };
        let upstreams = &trace.deployment.upstreams;
        let mut service_names: Vec<String> = upstreams
            .iter()
            .flat_map(|u| u.services.iter().cloned())
            .collect();
        service_names.sort();
        service_names.dedup();
        assert!(
            service_names.len() <= SERVICES,
            "a trace has at most three services"
        );
        let entry = |index: usize| Entry {
            dispatcher: Dispatcher::new(policy.clone(), &format!("dc{}", index % 3)),
            jobs: HashMap::new(),
            loads: LoadEstimates::new(upstreams.len()),
            wakeup: None,
        };
        let agent = |u: &crate::trace::Upstream| Agent {
            slots: SlotTable::new(u.slots),
            running: HashMap::new(),
            queue: VecDeque::new(),
            speed: u.speed,
            failing: false,
            lost: false,
            wakeup: None,
            long_share: Integral::default(),
            long_held: Integral::default(),
            long_running: 0,
        };
        Self {
            scheduler,
            rng: fastrand::Rng::with_seed(7),
            base: Instant::now(),
            now_us: 0,
            heap: BinaryHeap::new(),
            events: Vec::new(),
            free_events: Vec::new(),
            next_seq: 0,
            next_run: 0,
            entries: (0..trace.deployment.entries).map(entry).collect(),
            agents: upstreams.iter().map(agent).collect(),
            progress: trace.jobs.iter().map(|_| None).collect(),
            service_share: Default::default(),
            service_held: Default::default(),
            service_names,
            out: ReplayOutcome {
                jobs: vec![JobOutcome::default(); trace.jobs.len()],
                ..ReplayOutcome::default()
            },
            trace,
        }
    }

    fn run(mut self) -> ReplayOutcome {
        self.link();
        if let Scheduler::System(_) = self.scheduler {
            self.push(HEARTBEAT_US, Event::Heartbeat);
        }
        let client_us = self.trace.deployment.client_us;
        for (index, job) in self.trace.jobs.iter().enumerate() {
            let at = SETTLE_US + job.at_us + client_us;
            self.push(at, Event::Submit(index));
            if let Some(after) = job.cancel_after_ms {
                self.push(at + after * 1000, Event::Cancel(index));
            }
        }
        for (index, fault) in self.trace.deployment.faults.iter().enumerate() {
            self.push(SETTLE_US + fault.at_us, Event::Fault(index));
        }
        while let Some(Reverse((at_us, _, slot))) = self.heap.pop() {
            assert!(at_us >= self.now_us, "time goes forward");
            self.now_us = at_us;
            let event = self.events[slot].take().expect("an event is taken once");
            self.free_events.push(slot);
            self.handle(event);
        }
        self.out
    }

    fn link(&mut self) {
        let now = self.now();
        let upstreams = self.trace.deployment.upstreams.iter().enumerate();
        let specs = upstreams.map(|(index, u)| UpstreamSpec {
            name: format!("upstream-{index}").into(),
            services: u.services.iter().map(|s| s.as_str().into()).collect(),
            worker: format!("worker-{index}").into(),
            rack: format!("rack-{}", u.rack).into(),
            data_center: format!("dc{}", u.data_center).into(),
            slots: u.slots,
        });
        for (agent, spec) in specs.enumerate() {
            for entry in 0..self.entries.len() {
                let dispatcher = &mut self.entries[entry].dispatcher;
                dispatcher.add_upstream(now, agent_id(agent), spec.clone());
                self.agents[agent].slots.add_entry(now, entry_id(entry));
            }
        }
        if let Scheduler::System(_) = self.scheduler {
            (0..self.agents.len()).for_each(|agent| self.flush_agent(agent, None));
        }
    }

    fn now(&self) -> Instant {
        self.base + Duration::from_micros(self.now_us)
    }

    fn push(&mut self, at_us: u64, event: Event) {
        let slot = self.free_events.pop().unwrap_or(self.events.len());
        match slot == self.events.len() {
            true => self.events.push(Some(event)),
            false => self.events[slot] = Some(event),
        }
        self.next_seq += 1;
        self.heap.push(Reverse((at_us, self.next_seq, slot)));
    }

    fn send(&mut self, agent: usize, entry: usize, event: Event) {
        let latency = self.trace.deployment.latency_us(entry, agent);
        self.push(self.now_us + latency, event);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Submit(job) => self.submit(job),
            Event::Cancel(job) => self.cancel(job),
            Event::Fault(index) => self.fault(index),
            Event::Start {
                agent,
                entry,
                start,
            } => self.start(agent, entry, start),
            Event::Cancelled { agent, job } => self.stop_tasks(agent, job),
            Event::Control {
                agent,
                entry,
                demand,
                returned,
            } => {
                self.control(agent, entry, demand, returned);
            }
            Event::Grants {
                agent,
                entry,
                granted,
                recalled,
            } => {
                self.take_grants(agent, entry, granted, recalled);
            }
            Event::End { agent, run } => self.end(agent, run, true),
            Event::Ended {
                agent,
                start,
                entry,
                ran_us,
                ok,
                load,
            } => {
                self.entries[entry].loads.record(agent, load);
                self.ended(agent, entry, start, ran_us, ok);
            }
            Event::Refused {
                agent,
                entry,
                start,
            } => {
                self.out.messages.refusals += 1;
                let now = self.now();
                let dispatcher = &mut self.entries[entry].dispatcher;
                dispatcher.requeue_task(now, agent_id(agent), start.id, start.task as u32);
                self.flush_entry(entry);
            }
            Event::LinkLost { agent, entry, lost } => self.link_lost(agent, entry, &lost),
            Event::Heartbeat => self.heartbeat(),
            Event::WakeEntry(entry) => {
                self.entries[entry].wakeup = None;
                self.flush_entry(entry);
            }
            Event::WakeAgent(agent) if self.agents[agent].lost => {}
            Event::WakeAgent(agent) => {
                self.agents[agent].wakeup = None;
                self.flush_agent(agent, None);
            }
        }
    }

    /// Exchanges the entries' reports of their teams' work.
    fn heartbeat(&mut self) {
        let reports: Vec<_> = self
            .entries
            .iter()
            .map(|e| e.dispatcher.snapshot().teams)
            .collect();
        for (from, report) in reports.iter().enumerate() {
            for (to, entry) in self.entries.iter_mut().enumerate() {
                let teams = report.iter().filter(|_| from != to);
                entry.dispatcher.remove_peer(entry_id(from));
                teams.for_each(|t| {
                    entry
                        .dispatcher
                        .set_peer_usage(entry_id(from), &t.team, t.running, t.queued)
                });
            }
        }
        if self.now_us < self.trace.jobs.last().map_or(0, |job| job.at_us) {
            self.push(self.now_us + HEARTBEAT_US, Event::Heartbeat);
        }
    }

    fn service(&self, job: usize) -> usize {
        let name = &self.trace.jobs[job].service;
        self.service_names
            .iter()
            .position(|s| s == name)
            .unwrap_or(0)
    }

    fn progress_mut(&mut self, job: usize) -> &mut JobProgress {
        self.progress[job].as_mut().expect("the job was submitted")
    }
}

fn agent_id(agent: usize) -> Incarnation {
    agent as Incarnation + 1
}

fn entry_id(entry: usize) -> Incarnation {
    entry as Incarnation + 1000
}

/// Spreads jobs over the entries as the shards of their keys would.
fn entry_of(job: usize, entries: usize) -> usize {
    let hash = (job as u64 + 1).wrapping_mul(0x9E37_79B9_7F4A_7C15);
    (hash >> 33) as usize % entries
}
