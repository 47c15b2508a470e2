//! Discrete-event simulation that replays a trace in virtual time. Links have the deployment's
//! latencies; tasks are placed by the system's dispatchers and slot tables, or by a baseline.

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

const WARM_UP_US: u64 = 100_000;
const HEARTBEAT_INTERVAL_US: u64 = 1_000_000;
const MAX_SERVICES: usize = 3;

/// What places the tasks in a replay.
#[derive(Clone, Debug)]
pub enum Scheduler {
    /// The dispatchers and slot tables of the system.
    System(Box<Policy>),
    /// A baseline policy, with a FIFO queue at each upstream.
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
        start: StartRequest,
    },
    CancelTasks {
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
    TaskFinished {
        agent: usize,
        run: u64,
    },
    TaskResult {
        agent: usize,
        start: StartRequest,
        entry: usize,
        ran_us: u64,
        ok: bool,
        load: u32,
    },
    StartRefused {
        agent: usize,
        entry: usize,
        start: StartRequest,
    },
    LinkLost {
        agent: usize,
        entry: usize,
        lost: Vec<StartRequest>,
    },
    WakeEntry(usize),
    WakeAgent(usize),
    Heartbeat,
}

#[derive(Clone, Copy, Debug)]
struct StartRequest {
    job: usize,
    job_id: JobId,
    task: usize,
    long: bool,
}

struct Entry {
    dispatcher: Dispatcher,
    jobs: HashMap<JobId, usize>,
    loads: LoadEstimates,
    wakeup_us: Option<u64>,
}

struct Agent {
    slots: SlotTable,
    running: HashMap<u64, RunningTask>,
    queue: VecDeque<(usize, StartRequest)>,
    speed: f64,
    failing: bool,
    lost: bool,
    wakeup_us: Option<u64>,
    /// Integral over time of the share of slots held by long tasks.
    long_share: Integral,
    /// Integral over time of 1 while a long task holds a slot, and of 0 otherwise.
    long_held: Integral,
    running_long_tasks: u32,
}

#[derive(Clone, Copy)]
struct RunningTask {
    entry: usize,
    start: StartRequest,
    started_us: u64,
    actually_long: bool,
}

struct JobProgress {
    job_id: Option<JobId>,
    arrived_us: u64,
    remaining_tasks: usize,
    settled: bool,
    long_share_at_arrival: f64,
    long_held_at_arrival: f64,
    long_at_arrival_by_agent: Vec<(f64, f64)>,
}

/// State of a replay.
pub struct Replay<'a> {
    trace: &'a Trace,
    scheduler: Scheduler,
    rng: fastrand::Rng,
    epoch: Instant,
    now_us: u64,
    event_queue: BinaryHeap<Reverse<(u64, u64, usize)>>,
    event_slots: Vec<Option<Event>>,
    free_event_slots: Vec<usize>,
    next_seq: u64,
    next_run: u64,
    entries: Vec<Entry>,
    agents: Vec<Agent>,
    progress: Vec<Option<JobProgress>>,
    /// For each service, over the slots of all upstreams that serve it.
    service_long_share: [Integral; MAX_SERVICES],
    service_long_held: [Integral; MAX_SERVICES],
    service_names: Vec<String>,
    outcome: ReplayOutcome,
}

/// Replays a trace and returns the result.
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
            service_names.len() <= MAX_SERVICES,
            "a trace has at most three services"
        );
        let entry = |index: usize| Entry {
            dispatcher: Dispatcher::new(policy.clone(), &format!("dc{}", index % 3)),
            jobs: HashMap::new(),
            loads: LoadEstimates::new(upstreams.len()),
            wakeup_us: None,
        };
        let agent = |u: &crate::trace::Upstream| Agent {
            slots: SlotTable::new(u.slots),
            running: HashMap::new(),
            queue: VecDeque::new(),
            speed: u.speed,
            failing: false,
            lost: false,
            wakeup_us: None,
            long_share: Integral::default(),
            long_held: Integral::default(),
            running_long_tasks: 0,
        };
        Self {
            scheduler,
            rng: fastrand::Rng::with_seed(7),
            epoch: Instant::now(),
            now_us: 0,
            event_queue: BinaryHeap::new(),
            event_slots: Vec::new(),
            free_event_slots: Vec::new(),
            next_seq: 0,
            next_run: 0,
            entries: (0..trace.deployment.entries).map(entry).collect(),
            agents: upstreams.iter().map(agent).collect(),
            progress: trace.jobs.iter().map(|_| None).collect(),
            service_long_share: Default::default(),
            service_long_held: Default::default(),
            service_names,
            outcome: ReplayOutcome {
                jobs: vec![JobOutcome::default(); trace.jobs.len()],
                ..ReplayOutcome::default()
            },
            trace,
        }
    }

    fn run(mut self) -> ReplayOutcome {
        self.connect_links();
        if let Scheduler::System(_) = self.scheduler {
            self.schedule(HEARTBEAT_INTERVAL_US, Event::Heartbeat);
        }
        let client_us = self.trace.deployment.client_us;
        for (index, job) in self.trace.jobs.iter().enumerate() {
            let at = WARM_UP_US + job.at_us + client_us;
            self.schedule(at, Event::Submit(index));
            if let Some(after) = job.cancel_after_ms {
                self.schedule(at + after * 1000, Event::Cancel(index));
            }
        }
        for (index, fault) in self.trace.deployment.faults.iter().enumerate() {
            self.schedule(WARM_UP_US + fault.at_us, Event::Fault(index));
        }
        while let Some(Reverse((at_us, _, slot))) = self.event_queue.pop() {
            assert!(at_us >= self.now_us, "virtual time is monotonic");
            self.now_us = at_us;
            let event = self.event_slots[slot]
                .take()
                .expect("a queued event occupies its slot");
            self.free_event_slots.push(slot);
            self.handle(event);
        }
        self.outcome
    }

    fn connect_links(&mut self) {
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
        self.epoch + Duration::from_micros(self.now_us)
    }

    fn schedule(&mut self, at_us: u64, event: Event) {
        let slot = self
            .free_event_slots
            .pop()
            .unwrap_or(self.event_slots.len());
        match slot == self.event_slots.len() {
            true => self.event_slots.push(Some(event)),
            false => self.event_slots[slot] = Some(event),
        }
        self.next_seq += 1;
        self.event_queue.push(Reverse((at_us, self.next_seq, slot)));
    }

    fn send(&mut self, agent: usize, entry: usize, event: Event) {
        let latency = self.trace.deployment.latency_us(entry, agent);
        self.schedule(self.now_us + latency, event);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Submit(job) => self.submit_job(job),
            Event::Cancel(job) => self.cancel_job(job),
            Event::Fault(index) => self.apply_fault(index),
            Event::Start {
                agent,
                entry,
                start,
            } => self.handle_start(agent, entry, start),
            Event::CancelTasks { agent, job } => self.cancel_tasks(agent, job),
            Event::Control {
                agent,
                entry,
                demand,
                returned,
            } => {
                self.handle_control(agent, entry, demand, returned);
            }
            Event::Grants {
                agent,
                entry,
                granted,
                recalled,
            } => {
                self.update_grants(agent, entry, granted, recalled);
            }
            Event::TaskFinished { agent, run } => self.finish_task(agent, run, true),
            Event::TaskResult {
                agent,
                start,
                entry,
                ran_us,
                ok,
                load,
            } => {
                self.entries[entry].loads.record(agent, load);
                self.handle_task_result(agent, entry, start, ran_us, ok);
            }
            Event::StartRefused {
                agent,
                entry,
                start,
            } => {
                self.outcome.messages.refusals += 1;
                let now = self.now();
                let dispatcher = &mut self.entries[entry].dispatcher;
                dispatcher.requeue_task(now, agent_id(agent), start.job_id, start.task as u32);
                self.flush_entry(entry);
            }
            Event::LinkLost { agent, entry, lost } => self.handle_link_lost(agent, entry, &lost),
            Event::Heartbeat => self.exchange_heartbeats(),
            Event::WakeEntry(entry) => {
                self.entries[entry].wakeup_us = None;
                self.flush_entry(entry);
            }
            Event::WakeAgent(agent) if self.agents[agent].lost => {}
            Event::WakeAgent(agent) => {
                self.agents[agent].wakeup_us = None;
                self.flush_agent(agent, None);
            }
        }
    }

    /// Exchanges the teams' running and queued tasks between the entries.
    fn exchange_heartbeats(&mut self) {
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
            self.schedule(self.now_us + HEARTBEAT_INTERVAL_US, Event::Heartbeat);
        }
    }

    fn service_index(&self, job: usize) -> usize {
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

/// Distributes jobs over the entries by a hash of their index, like the shards of their keys.
fn entry_for_job(job: usize, entries: usize) -> usize {
    let hash = (job as u64 + 1).wrapping_mul(0x9E37_79B9_7F4A_7C15);
    (hash >> 33) as usize % entries
}
