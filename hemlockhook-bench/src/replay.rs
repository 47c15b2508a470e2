//! Replays a trace in virtual time: an event heap, links with the deployment's latencies, and either
//! the dispatchers and slot tables of the system or a baseline.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};
use std::time::{Duration, Instant};

use hemlockhook_schedule::{
    Demand, Dispatcher, JobId, JobSpec, Placement, Policy, SlotAction, SlotTable, TaskSpec,
    UpstreamSpec,
};
use hemlockhook_types::Incarnation;

use crate::baseline::{Baseline, Loads};
use crate::trace::{FaultKind, LONG_US, Trace};

const FAST_FAILURE_US: u64 = 1_000;
const SETTLE_US: u64 = 100_000;
const HEARTBEAT_US: u64 = 1_000_000;
const SERVICES: usize = 3;

/// How the replay chooses.
#[derive(Clone, Debug)]
pub enum Chooser {
    /// The dispatcher and the slot tables of the system.
    System(Box<Policy>),
    /// A baseline, with a queue at each upstream.
    Push(Baseline),
}

/// What happened to one job.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct JobOutcome {
    /// When the client had its answer; `None` if it was not completed.
    pub answered_us: Option<u64>,
    /// Whether its client cancelled it first.
    pub cancelled: bool,
    /// Whether it was refused before anything of it ran.
    pub refused: bool,
    /// Whether a task of it failed.
    pub failed: bool,
}

/// How long one task waited.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TaskWait {
    /// Index of the job in the trace.
    pub job: usize,
    /// Run time on an upstream of speed 1.
    pub run_us: u64,
    /// Time that it ran.
    pub ran_us: f64,
    /// Time between its arrival at the entry and its start.
    pub wait_us: u64,
    /// The part of the wait that is due to long work.
    pub due_to_long_us: f64,
    /// The part of the wait in which long work held a suitable slot.
    pub beside_long_us: f64,
    /// Where it ran.
    pub upstream: usize,
}

/// Messages between the processes, by kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Messages {
    /// Orders to start a task.
    pub starts: u64,
    /// Ends of tasks.
    pub ends: u64,
    /// Ends of tasks whose job was answered before.
    pub late_ends: u64,
    /// Refusals of starts.
    pub refusals: u64,
    /// Cancellations.
    pub cancels: u64,
    /// Backlogs told in a message of their own.
    pub demands: u64,
    /// Grants given in a message of their own.
    pub grants: u64,
    /// Recalls of grants in a message of their own.
    pub recalls: u64,
    /// Grants handed back in a message of their own.
    pub returns: u64,
    /// Grants that were handed back unused, however sent.
    pub unused_grants: u64,
}

/// What a replay gave.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// One for each job of the trace.
    pub jobs: Vec<JobOutcome>,
    /// One for each task that started.
    pub waits: Vec<TaskWait>,
    /// Messages sent.
    pub messages: Messages,
    /// Time that the decisions took on this machine.
    pub decision_time: Duration,
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
    loads: Loads,
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

#[derive(Clone, Copy, Default)]
struct Integral {
    value: f64,
    total: f64,
    at_us: u64,
}

impl Integral {
    fn at(&self, now_us: u64) -> f64 {
        self.total + self.value * (now_us - self.at_us) as f64
    }

    fn set(&mut self, now_us: u64, value: f64) {
        self.total = self.at(now_us);
        self.at_us = now_us;
        self.value = value;
    }
}

/// A replay under way.
pub struct Replay<'a> {
    trace: &'a Trace,
    chooser: Chooser,
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
    out: Outcome,
}

/// Replays a trace and returns what it gave.
pub fn replay(trace: &Trace, chooser: Chooser) -> Outcome {
    Replay::new(trace, chooser).run()
}

impl<'a> Replay<'a> {
    fn new(trace: &'a Trace, chooser: Chooser) -> Self {
        let policy = match &chooser {
            Chooser::System(policy) => (**policy).clone(),
            Chooser::Push(_) => Policy::default(),
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
            loads: Loads::new(upstreams.len()),
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
            chooser,
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
            out: Outcome {
                jobs: vec![JobOutcome::default(); trace.jobs.len()],
                ..Outcome::default()
            },
            trace,
        }
    }

    fn run(mut self) -> Outcome {
        self.link();
        if let Chooser::System(_) = self.chooser {
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
                dispatcher.upstream_up(now, agent_id(agent), spec.clone());
                self.agents[agent].slots.entry_up(now, entry_id(entry));
            }
        }
        if let Chooser::System(_) = self.chooser {
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
                self.entries[entry].loads.report(agent, load);
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
                dispatcher.refused(now, agent_id(agent), start.id, start.task as u32);
                self.flush_entry(entry);
            }
            Event::LinkLost { agent, entry, lost } => self.link_lost(agent, entry, &lost),
            Event::Heartbeat => self.heartbeat(),
            Event::WakeEntry(entry) => {
                self.entries[entry].wakeup = None;
                self.flush_entry(entry);
            }
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
                entry.dispatcher.forget_peer(entry_id(from));
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

    fn submit(&mut self, job: usize) {
        let entry = entry_of(job, self.entries.len());
        let service = self.service(job);
        let now_us = self.now_us;
        let spec = &self.trace.jobs[job];
        self.progress[job] = Some(JobProgress {
            id: None,
            arrived_us: now_us,
            left: spec.tasks.len(),
            settled: false,
            long_share_at: self.service_share[service].at(now_us),
            long_held_at: self.service_held[service].at(now_us),
            per_agent: match self.chooser {
                Chooser::System(_) => Vec::new(),
                Chooser::Push(_) => {
                    let agents = self.agents.iter();
                    agents
                        .map(|a| (a.long_share.at(now_us), a.long_held.at(now_us)))
                        .collect()
                }
            },
        });
        match self.chooser {
            Chooser::System(_) => self.submit_to_dispatcher(job, entry),
            Chooser::Push(baseline) => self.push_tasks(job, entry, baseline),
        }
    }

    fn submit_to_dispatcher(&mut self, job: usize, entry: usize) {
        let now = self.now();
        let spec = &self.trace.jobs[job];
        let deadline_us = spec.deadline_ms * 1000 - self.trace.deployment.client_us;
        let task = |(index, task): (usize, &crate::trace::Task)| TaskSpec {
            index: index as u32,
            class: task.class.as_str().into(),
            declared: task.declared_us.map(Duration::from_micros),
        };
        let spec = JobSpec {
            team: spec.team.as_str().into(),
            service: spec.service.as_str().into(),
            deadline: now + Duration::from_micros(deadline_us),
            tasks: spec.tasks.iter().enumerate().map(task).collect(),
        };
        let started = Instant::now();
        let result = self.entries[entry].dispatcher.submit(now, spec);
        self.out.decision_time += started.elapsed();
        match result {
            Ok(id) => {
                self.entries[entry].jobs.insert(id, job);
                self.progress_mut(job).id = Some(id);
                self.flush_entry(entry);
            }
            Err(_) => {
                self.progress_mut(job).settled = true;
                self.out.jobs[job].refused = true;
            }
        }
    }

    fn push_tasks(&mut self, job: usize, entry: usize, baseline: Baseline) {
        let service = &self.trace.jobs[job].service;
        let upstreams = self.trace.deployment.upstreams.iter().enumerate();
        let suitable = upstreams.filter(|(i, u)| u.runs(service) && !self.agents[*i].lost);
        let suitable: Vec<usize> = suitable.map(|(index, _)| index).collect();
        for task in 0..self.trace.jobs[job].tasks.len() {
            let agent = self.entries[entry]
                .loads
                .choose(baseline, &suitable, &mut self.rng);
            self.out.messages.starts += 1;
            let start = Start {
                job,
                id: JobId::default(),
                task,
                long: false,
            };
            self.send(
                agent,
                entry,
                Event::Start {
                    agent,
                    entry,
                    start,
                },
            );
        }
    }

    fn progress_mut(&mut self, job: usize) -> &mut JobProgress {
        self.progress[job].as_mut().expect("the job was submitted")
    }

    /// Sends what an entry decides: starts, grants handed back and backlogs, one frame a link.
    fn flush_entry(&mut self, entry: usize) {
        if let Chooser::Push(_) = self.chooser {
            return;
        }
        let now = self.now();
        let started = Instant::now();
        let dispatcher = &mut self.entries[entry].dispatcher;
        let expired = dispatcher.expired(now);
        let placements: Vec<Placement> = std::iter::from_fn(|| dispatcher.next(now)).collect();
        let unused = dispatcher.unused(now);
        let demands = dispatcher.demands(now);
        let wakeup = dispatcher.next_wakeup();
        self.out.decision_time += started.elapsed();
        let mut control: HashMap<Incarnation, (Option<Demand>, u32)> = HashMap::new();
        demands
            .into_iter()
            .for_each(|(agent, d)| control.entry(agent).or_default().0 = Some(d));
        unused
            .into_iter()
            .for_each(|(agent, n)| control.entry(agent).or_default().1 = n);
        let mut with_start = Vec::new();
        for placement in placements {
            let agent = placement.agent as usize - 1;
            let job = self.entries[entry].jobs[&placement.job];
            let Placement {
                job: id,
                index,
                long,
                ..
            } = placement;
            let start = Start {
                job,
                id,
                task: index as usize,
                long,
            };
            with_start.push(placement.agent);
            self.out.messages.starts += 1;
            self.send(
                agent,
                entry,
                Event::Start {
                    agent,
                    entry,
                    start,
                },
            );
        }
        let mut control: Vec<_> = control.into_iter().collect();
        control.sort_unstable_by_key(|(agent, _)| *agent);
        for (id, (demand, returned)) in control {
            let alone = !with_start.contains(&id);
            self.out.messages.demands += u64::from(alone && demand.is_some() && returned == 0);
            self.out.messages.returns += u64::from(alone && returned > 0);
            self.out.messages.unused_grants += u64::from(returned);
            let agent = id as usize - 1;
            self.send(
                agent,
                entry,
                Event::Control {
                    agent,
                    entry,
                    demand,
                    returned,
                },
            );
        }
        for id in expired {
            let job = self.entries[entry].jobs[&id];
            self.settle(entry, job, JobOutcome::default());
        }
        if let Some(at) = wakeup {
            let at_us = (at.saturating_duration_since(self.base).as_micros() as u64 + 1)
                .max(self.now_us + 1);
            if self.entries[entry].wakeup.is_none_or(|set| at_us < set) {
                self.entries[entry].wakeup = Some(at_us);
                self.push(at_us, Event::WakeEntry(entry));
            }
        }
    }

    /// Sends what an agent decides. `riding` names the entry that is sent a frame anyway.
    fn flush_agent(&mut self, agent: usize, riding: Option<usize>) {
        if let Chooser::Push(_) = self.chooser {
            return;
        }
        let now = self.now();
        let started = Instant::now();
        let actions = self.agents[agent].slots.actions(now);
        let wakeup = self.agents[agent].slots.next_wakeup();
        self.out.decision_time += started.elapsed();
        for action in actions {
            let (entry, granted, recalled) = match action {
                SlotAction::Grant { entry, count } => (entry as usize - 1000, count, 0),
                SlotAction::Recall { entry, count } => (entry as usize - 1000, 0, count),
            };
            if riding != Some(entry) {
                self.out.messages.grants += u64::from(granted > 0);
                self.out.messages.recalls += u64::from(recalled > 0);
            }
            self.send(
                agent,
                entry,
                Event::Grants {
                    agent,
                    entry,
                    granted,
                    recalled,
                },
            );
        }
        if let Some(at) = wakeup {
            let at_us = (at.saturating_duration_since(self.base).as_micros() as u64 + 1)
                .max(self.now_us + 1);
            if self.agents[agent].wakeup.is_none_or(|set| at_us < set) {
                self.agents[agent].wakeup = Some(at_us);
                self.push(at_us, Event::WakeAgent(agent));
            }
        }
    }

    fn start(&mut self, agent: usize, entry: usize, start: Start) {
        if self.agents[agent].lost {
            let ended = Event::Ended {
                agent,
                start,
                entry,
                ran_us: 0,
                ok: false,
                load: 0,
            };
            return self.send(agent, entry, ended);
        }
        let now = self.now();
        match self.chooser {
            Chooser::System(_)
                if !self.agents[agent]
                    .slots
                    .start(now, entry_id(entry), start.long) =>
            {
                self.send(
                    agent,
                    entry,
                    Event::Refused {
                        agent,
                        entry,
                        start,
                    },
                );
            }
            Chooser::System(_) => self.begin(agent, entry, start),
            Chooser::Push(_) => {
                self.agents[agent].queue.push_back((entry, start));
                self.start_queued(agent);
            }
        }
    }

    fn start_queued(&mut self, agent: usize) {
        let slots = self.trace.deployment.upstreams[agent].slots as usize;
        while self.agents[agent].running.len() < slots {
            let Some((entry, start)) = self.agents[agent].queue.pop_front() else {
                return;
            };
            self.begin(agent, entry, start);
        }
    }

    fn begin(&mut self, agent: usize, entry: usize, start: Start) {
        let task = &self.trace.jobs[start.job].tasks[start.task];
        let state = &self.agents[agent];
        let ran_us = match state.failing {
            true => FAST_FAILURE_US,
            false => (task.run_us as f64 / state.speed) as u64,
        };
        self.note_wait(agent, start, ran_us);
        let truly_long = self.trace.jobs[start.job].tasks[start.task].run_us >= LONG_US;
        let run = self.next_run;
        self.next_run += 1;
        let running = Running {
            entry,
            start,
            started_us: self.now_us,
            truly_long,
        };
        self.agents[agent].running.insert(run, running);
        self.count_long(agent, truly_long, 1);
        self.push(self.now_us + ran_us, Event::End { agent, run });
    }

    fn note_wait(&mut self, agent: usize, start: Start, ran_us: u64) {
        let service = self.service(start.job);
        let now_us = self.now_us;
        let progress = self.progress[start.job]
            .as_ref()
            .expect("the job was submitted");
        let (due, beside) = match progress.per_agent.get(agent) {
            Some((share, held)) => {
                let a = &self.agents[agent];
                (
                    a.long_share.at(now_us) - share,
                    a.long_held.at(now_us) - held,
                )
            }
            None => (
                self.service_share[service].at(now_us) - progress.long_share_at,
                self.service_held[service].at(now_us) - progress.long_held_at,
            ),
        };
        self.out.waits.push(TaskWait {
            job: start.job,
            run_us: self.trace.jobs[start.job].tasks[start.task].run_us,
            ran_us: ran_us as f64,
            wait_us: now_us - progress.arrived_us,
            due_to_long_us: due,
            beside_long_us: beside,
            upstream: agent,
        });
    }

    /// Updates the integrals of the slots that long work holds.
    fn count_long(&mut self, agent: usize, truly_long: bool, change: i32) {
        if !truly_long {
            return;
        }
        let now_us = self.now_us;
        let slots = f64::from(self.trace.deployment.upstreams[agent].slots);
        let state = &mut self.agents[agent];
        state.long_running = state
            .long_running
            .checked_add_signed(change)
            .expect("long work ended twice");
        let long = f64::from(state.long_running);
        state.long_share.set(now_us, long / slots);
        state
            .long_held
            .set(now_us, if long > 0.0 { 1.0 } else { 0.0 });
        for service in 0..self.service_names.len() {
            let upstreams = self.trace.deployment.upstreams.iter().zip(&self.agents);
            let suitable = upstreams.filter(|(u, _)| u.runs(&self.service_names[service]));
            let (long, slots) =
                suitable.fold((0, 0), |(l, s), (u, a)| (l + a.long_running, s + u.slots));
            self.service_share[service].set(now_us, f64::from(long) / f64::from(slots));
            self.service_held[service].set(now_us, if long > 0 { 1.0 } else { 0.0 });
        }
    }

    fn end(&mut self, agent: usize, run: u64, tell: bool) {
        let Some(running) = self.agents[agent].running.remove(&run) else {
            return;
        };
        let Running {
            entry,
            start,
            started_us,
            truly_long,
        } = running;
        self.count_long(agent, truly_long, -1);
        let now = self.now();
        let ok = !self.agents[agent].failing;
        let ran_us = self.now_us - started_us;
        let riding = tell.then_some(entry);
        if let Chooser::System(_) = self.chooser {
            match riding {
                Some(entry) => self.agents[agent]
                    .slots
                    .end_for(now, entry_id(entry), start.long),
                None => self.agents[agent].slots.end(now, start.long),
            }
        }
        self.start_queued(agent);
        let load = (self.agents[agent].running.len() + self.agents[agent].queue.len()) as u32;
        self.out.messages.ends += 1;
        self.out.messages.late_ends += u64::from(self.progress_mut(start.job).settled);
        self.send(
            agent,
            entry,
            Event::Ended {
                agent,
                start,
                entry,
                ran_us,
                ok,
                load,
            },
        );
        self.flush_agent(agent, riding);
    }

    fn ended(&mut self, agent: usize, entry: usize, start: Start, ran_us: u64, ok: bool) {
        if let Chooser::System(_) = self.chooser {
            let now = self.now();
            let ran = Duration::from_micros(ran_us);
            let started = Instant::now();
            let dispatcher = &mut self.entries[entry].dispatcher;
            dispatcher.ended(now, agent_id(agent), start.id, start.task as u32, ran, ok);
            self.out.decision_time += started.elapsed();
        }
        let progress = self.progress_mut(start.job);
        progress.left -= 1;
        let done = progress.left == 0;
        match ok {
            _ if progress.settled => {}
            true if done => {
                let answered_us = self.now_us + self.trace.deployment.client_us - SETTLE_US;
                self.settle(
                    entry,
                    start.job,
                    JobOutcome {
                        answered_us: Some(answered_us),
                        ..Default::default()
                    },
                );
            }
            true => {}
            false => self.settle(
                entry,
                start.job,
                JobOutcome {
                    failed: true,
                    ..Default::default()
                },
            ),
        }
        self.flush_entry(entry);
    }

    fn cancel(&mut self, job: usize) {
        let entry = entry_of(job, self.entries.len());
        if !self.progress_mut(job).settled {
            self.settle(
                entry,
                job,
                JobOutcome {
                    cancelled: true,
                    ..Default::default()
                },
            );
            self.flush_entry(entry);
        }
    }

    /// Gives a job its answer, drops what is queued of it and stops what runs.
    fn settle(&mut self, entry: usize, job: usize, outcome: JobOutcome) {
        let progress = self.progress_mut(job);
        progress.settled = true;
        let (id, left) = (progress.id, progress.left);
        self.out.jobs[job] = outcome;
        if let Some(id) = id {
            let now = self.now();
            let dispatcher = &mut self.entries[entry].dispatcher;
            dispatcher.cancel(now, id);
            dispatcher.finish_job(id);
        }
        if left == 0 {
            return;
        }
        for agent in 0..self.agents.len() {
            let state = &self.agents[agent];
            let runs = state.running.values().any(|r| r.start.job == job);
            if runs || state.queue.iter().any(|(_, start)| start.job == job) {
                self.out.messages.cancels += 1;
                self.send(agent, entry, Event::Cancelled { agent, job });
            }
        }
    }

    fn stop_tasks(&mut self, agent: usize, job: usize) {
        self.agents[agent]
            .queue
            .retain(|(_, start)| start.job != job);
        let state = &self.agents[agent];
        let runs = state.running.iter().filter(|(_, r)| r.start.job == job);
        let mut runs: Vec<u64> = runs.map(|(run, _)| *run).collect();
        runs.sort_unstable();
        runs.into_iter().for_each(|run| self.end(agent, run, true));
    }

    fn control(&mut self, agent: usize, entry: usize, demand: Option<Demand>, returned: u32) {
        if self.agents[agent].lost {
            return;
        }
        let now = self.now();
        let slots = &mut self.agents[agent].slots;
        if returned > 0 {
            slots.returned(now, entry_id(entry), returned);
        }
        if let Some(demand) = demand {
            slots.demand(now, entry_id(entry), demand);
        }
        self.flush_agent(agent, None);
    }

    fn take_grants(&mut self, agent: usize, entry: usize, granted: u32, recalled: u32) {
        let now = self.now();
        let dispatcher = &mut self.entries[entry].dispatcher;
        if granted > 0 {
            dispatcher.granted(now, agent_id(agent), granted);
        }
        self.flush_entry(entry);
        if recalled == 0 {
            return;
        }
        let returned = self.entries[entry]
            .dispatcher
            .recalled(now, agent_id(agent), recalled);
        if returned > 0 {
            self.out.messages.returns += 1;
            self.out.messages.unused_grants += u64::from(returned);
            self.send(
                agent,
                entry,
                Event::Control {
                    agent,
                    entry,
                    demand: None,
                    returned,
                },
            );
        }
    }

    fn fault(&mut self, index: usize) {
        let fault = self.trace.deployment.faults[index].clone();
        let agent = &mut self.agents[fault.upstream];
        match fault.kind {
            FaultKind::FailFast => agent.failing = true,
            FaultKind::Speed(factor) => agent.speed *= factor,
            FaultKind::Lost => self.lose(fault.upstream),
        }
    }

    fn lose(&mut self, agent: usize) {
        self.agents[agent].lost = true;
        let mut running: Vec<(u64, Running)> = self.agents[agent].running.drain().collect();
        running.sort_unstable_by_key(|(run, _)| *run);
        for (_, run) in &running {
            self.count_long(agent, run.truly_long, -1);
        }
        let queued: Vec<_> = self.agents[agent].queue.drain(..).collect();
        for entry in 0..self.entries.len() {
            let lost = running
                .iter()
                .filter(|(_, r)| r.entry == entry)
                .map(|(_, r)| r.start);
            let queued = queued
                .iter()
                .filter(|(e, _)| *e == entry)
                .map(|(_, start)| *start);
            let lost = lost.chain(queued).collect();
            self.send(agent, entry, Event::LinkLost { agent, entry, lost });
        }
    }

    fn link_lost(&mut self, agent: usize, entry: usize, lost: &[Start]) {
        let now = self.now();
        self.entries[entry]
            .dispatcher
            .upstream_down(now, agent_id(agent));
        for start in lost {
            self.ended(agent, entry, *start, 0, false);
        }
        self.flush_entry(entry);
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
