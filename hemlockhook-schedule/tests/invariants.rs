//! Property tests: random sequences of events for several dispatchers and slot tables, over links
//! that are lost and restored. Slots and grants must be conserved after every event, and every job
//! must finish in the end.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::{Duration, Instant};

use hemlockhook_schedule::{
    Demand, Dispatcher, JobId, JobSpec, Policy, SlotAction, SlotTable, TaskSpec, UpstreamSpec,
};
use hemlockhook_types::Incarnation;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const ENTRIES: usize = 3;
const AGENTS: usize = 3;
const SLOTS: u32 = 3;
const SERVICES: [&str; 2] = ["price", "stock"];
const TEAMS: [&str; 2] = ["farms", "sales"];

#[derive(Clone, Debug)]
enum Op {
    Submit {
        entry: usize,
        service: usize,
        team: usize,
        tasks: u32,
        declared_ms: u64,
    },
    Cancel {
        entry: usize,
        nth: usize,
    },
    ToAgent {
        entry: usize,
        agent: usize,
    },
    ToEntry {
        entry: usize,
        agent: usize,
    },
    End {
        agent: usize,
        nth: usize,
        ok: bool,
    },
    Unlink {
        entry: usize,
        agent: usize,
    },
    Link {
        entry: usize,
        agent: usize,
    },
    Leave {
        agent: usize,
        leaving: bool,
    },
    Wait {
        ms: u64,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Task {
    entry: usize,
    job: JobId,
    index: u32,
}

#[derive(Debug)]
enum ToAgent {
    Start { task: Task, long: bool },
    Demand(Demand),
    Returned(u32),
}

#[derive(Debug)]
enum ToEntry {
    Granted(u32),
    Recall(u32),
    Refused(Task),
    Ended { task: Task, ok: bool },
}

#[derive(Default)]
struct Link {
    up: bool,
    /// Number of times that the link was established; tells tasks started over the current link
    /// from those started over an earlier one.
    epoch: u32,
    to_agent: VecDeque<ToAgent>,
    to_entry: VecDeque<ToEntry>,
    /// Tasks that the entry considers to be running at the agent.
    open_tasks: BTreeSet<Task>,
}

struct Simulation {
    now: Instant,
    dispatchers: Vec<Dispatcher>,
    jobs: Vec<BTreeMap<JobId, u32>>,
    tables: Vec<SlotTable>,
    running: Vec<Vec<(Task, bool, u32)>>,
    links: BTreeMap<(usize, usize), Link>,
    started: BTreeSet<Task>,
}

fn entry_id(entry: usize) -> Incarnation {
    100 + entry as Incarnation
}

fn agent_id(agent: usize) -> Incarnation {
    1 + agent as Incarnation
}

impl Simulation {
    fn new() -> Self {
        let mut simulation = Self {
            now: Instant::now(),
            dispatchers: (0..ENTRIES)
                .map(|_| Dispatcher::new(Policy::default(), "dc0"))
                .collect(),
            jobs: vec![BTreeMap::new(); ENTRIES],
            tables: (0..AGENTS).map(|_| SlotTable::new(SLOTS)).collect(),
            running: vec![Vec::new(); AGENTS],
            links: BTreeMap::new(),
            started: BTreeSet::new(),
        };
        for (entry, agent) in pairs() {
            simulation.links.insert((entry, agent), Link::default());
            simulation.link(entry, agent);
        }
        simulation
    }

    fn apply(&mut self, op: &Op) {
        match *op {
            Op::Submit {
                entry,
                service,
                team,
                tasks,
                declared_ms,
            } => {
                self.submit(entry, service, team, tasks, declared_ms);
            }
            Op::Cancel { entry, nth } => {
                let job = self.jobs[entry].keys().nth(nth).copied();
                job.into_iter().for_each(|job| self.finish_job(entry, job));
            }
            Op::ToAgent { entry, agent } => self.deliver_to_agent(entry, agent),
            Op::ToEntry { entry, agent } => self.deliver_to_entry(entry, agent),
            Op::End { agent, nth, ok } => self.end(agent, nth, ok),
            Op::Unlink { entry, agent } => self.unlink(entry, agent),
            Op::Link { entry, agent } => self.link(entry, agent),
            Op::Leave { agent, leaving } => self.leave(agent, leaving),
            Op::Wait { ms } => self.now += Duration::from_millis(ms),
        }
        self.send_pending();
        self.check_invariants();
    }

    fn submit(&mut self, entry: usize, service: usize, team: usize, tasks: u32, declared_ms: u64) {
        let task = |index| TaskSpec {
            index,
            class: "".into(),
            declared_run_time: Some(Duration::from_millis(declared_ms)),
        };
        let spec = JobSpec {
            team: TEAMS[team].into(),
            service: SERVICES[service].into(),
            deadline: self.now + Duration::from_secs(1_000_000),
            tasks: (0..tasks).map(task).collect(),
        };
        if let Ok(job) = self.dispatchers[entry].submit(self.now, spec) {
            self.jobs[entry].insert(job, tasks);
        }
    }

    fn finish_job(&mut self, entry: usize, job: JobId) {
        self.jobs[entry].remove(&job);
        self.dispatchers[entry].cancel_queued(self.now, job);
        self.dispatchers[entry].finish_job(job);
    }

    fn deliver_to_agent(&mut self, entry: usize, agent: usize) {
        let link = self.links.get_mut(&(entry, agent)).unwrap();
        let Some(message) = link.to_agent.pop_front() else {
            return;
        };
        let epoch = link.epoch;
        let table = &mut self.tables[agent];
        match message {
            ToAgent::Start { task, long } => match table.use_grant(self.now, entry_id(entry), long)
            {
                true => {
                    assert!(self.started.insert(task), "a task was started twice");
                    self.running[agent].push((task, long, epoch));
                }
                false => link.to_entry.push_back(ToEntry::Refused(task)),
            },
            ToAgent::Demand(demand) => table.set_demand(self.now, entry_id(entry), demand),
            ToAgent::Returned(count) => table.return_grants(self.now, entry_id(entry), count),
        }
    }

    fn deliver_to_entry(&mut self, entry: usize, agent: usize) {
        let link = self.links.get_mut(&(entry, agent)).unwrap();
        let Some(message) = link.to_entry.pop_front() else {
            return;
        };
        let (now, dispatcher) = (self.now, &mut self.dispatchers[entry]);
        match message {
            ToEntry::Granted(count) => dispatcher.add_grants(now, agent_id(agent), count),
            ToEntry::Recall(count) => match dispatcher.return_grants(now, agent_id(agent), count) {
                0 => {}
                count => link.to_agent.push_back(ToAgent::Returned(count)),
            },
            ToEntry::Refused(task) => {
                link.open_tasks.remove(&task);
                dispatcher.requeue_task(now, agent_id(agent), task.job, task.index);
            }
            ToEntry::Ended { task, ok } => {
                link.open_tasks.remove(&task);
                self.task_ended(entry, agent, task, ok);
            }
        }
    }

    fn task_ended(&mut self, entry: usize, agent: usize, task: Task, ok: bool) {
        let ran = Duration::from_millis(50);
        self.dispatchers[entry].finish_task(
            self.now,
            agent_id(agent),
            task.job,
            task.index,
            ran,
            ok,
        );
        let left = self.jobs[entry].get_mut(&task.job).map(|left| {
            *left -= 1;
            *left
        });
        if left.is_some_and(|left| left == 0 || !ok) {
            self.finish_job(entry, task.job);
        }
    }

    fn end(&mut self, agent: usize, nth: usize, ok: bool) {
        if self.running[agent].is_empty() {
            return;
        }
        let nth = nth % self.running[agent].len();
        let (task, long, epoch) = self.running[agent].remove(nth);
        let link = self.links.get_mut(&(task.entry, agent)).unwrap();
        match link.up && link.epoch == epoch {
            true => {
                self.tables[agent].release_slot_for(self.now, entry_id(task.entry), long);
                link.to_entry.push_back(ToEntry::Ended { task, ok });
            }
            false => self.tables[agent].release_slot(self.now, long),
        }
    }

    fn unlink(&mut self, entry: usize, agent: usize) {
        let link = self.links.get_mut(&(entry, agent)).unwrap();
        if !link.up {
            return;
        }
        link.up = false;
        link.to_agent.clear();
        link.to_entry.clear();
        let lost = std::mem::take(&mut link.open_tasks);
        self.dispatchers[entry].remove_upstream(self.now, agent_id(agent));
        self.tables[agent].remove_entry(self.now, entry_id(entry));
        lost.into_iter()
            .for_each(|task| self.task_ended(entry, agent, task, false));
    }

    fn link(&mut self, entry: usize, agent: usize) {
        let link = self.links.get_mut(&(entry, agent)).unwrap();
        if link.up {
            return;
        }
        link.up = true;
        link.epoch += 1;
        self.tables[agent].add_entry(self.now, entry_id(entry));
        let services = &SERVICES[..if agent == 0 { 1 } else { 2 }];
        let spec = UpstreamSpec {
            name: format!("upstream-{agent}").into(),
            services: services.iter().map(|service| (*service).into()).collect(),
            worker: "worker".into(),
            rack: "rack".into(),
            data_center: "dc0".into(),
            slots: SLOTS,
        };
        self.dispatchers[entry].add_upstream(self.now, agent_id(agent), spec);
    }

    fn leave(&mut self, agent: usize, leaving: bool) {
        self.tables[agent].set_leaving(self.now, leaving);
        for entry in 0..ENTRIES {
            self.dispatchers[entry].set_upstream_leaving(self.now, agent_id(agent), leaving);
        }
    }

    fn send_pending(&mut self) {
        let now = self.now;
        for (agent, table) in self.tables.iter_mut().enumerate() {
            for action in table.take_actions(now) {
                let (entry, message) = match action {
                    SlotAction::Grant { entry, count } => (entry, ToEntry::Granted(count)),
                    SlotAction::Recall { entry, count } => (entry, ToEntry::Recall(count)),
                };
                let link = self.links.get_mut(&(entry as usize - 100, agent)).unwrap();
                assert!(link.up, "message for an entry without a link");
                link.to_entry.push_back(message);
            }
        }
        for (entry, dispatcher) in self.dispatchers.iter_mut().enumerate() {
            while let Some(placement) = dispatcher.place_next(now) {
                let task = Task {
                    entry,
                    job: placement.job,
                    index: placement.index,
                };
                let agent = placement.agent as usize - 1;
                let link = self.links.get_mut(&(entry, agent)).unwrap();
                link.open_tasks.insert(task);
                link.to_agent.push_back(ToAgent::Start {
                    task,
                    long: placement.long,
                });
            }
            for (agent, count) in dispatcher.take_unusable_grants(now) {
                let link = self.links.get_mut(&(entry, agent as usize - 1)).unwrap();
                link.to_agent.push_back(ToAgent::Returned(count));
            }
            for (agent, demand) in dispatcher.take_demands(now) {
                let link = self.links.get_mut(&(entry, agent as usize - 1)).unwrap();
                link.to_agent.push_back(ToAgent::Demand(demand));
            }
        }
    }

    fn check_invariants(&self) {
        for (agent, table) in self.tables.iter().enumerate() {
            let held: u32 = (0..ENTRIES)
                .map(|entry| table.outstanding_grants(entry_id(entry)))
                .sum();
            assert!(table.running() + held <= SLOTS, "slots are oversubscribed");
            assert_eq!(table.running() as usize, self.running[agent].len());
        }
        for (entry, agent) in pairs().filter(|pair| self.links[pair].up) {
            let link = &self.links[&(entry, agent)];
            let snapshot = self.dispatchers[entry].snapshot();
            let upstream = snapshot
                .upstreams
                .iter()
                .find(|u| u.agent == agent_id(agent))
                .unwrap();
            let to_entry = link.to_entry.iter().map(|message| match message {
                ToEntry::Granted(count) => *count,
                _ => 0,
            });
            let to_agent = link.to_agent.iter().map(|message| match message {
                ToAgent::Start { .. } => 1,
                ToAgent::Returned(count) => *count,
                ToAgent::Demand(_) => 0,
            });
            let counted = upstream.grants + to_entry.sum::<u32>() + to_agent.sum::<u32>();
            assert_eq!(
                self.tables[agent].outstanding_grants(entry_id(entry)),
                counted,
                "grants held at the agent differ from grants at the entry and in messages"
            );
        }
    }

    /// Restores every link, then delivers all messages and ends all tasks.
    fn run_to_completion(&mut self) {
        (0..AGENTS).for_each(|agent| self.leave(agent, false));
        pairs().for_each(|(entry, agent)| self.link(entry, agent));
        // Runs for longer than the maximum probe delay of a quarantined upstream.
        for _ in 0..400 {
            for (entry, agent) in pairs() {
                while !self.links[&(entry, agent)].to_agent.is_empty() {
                    self.apply(&Op::ToAgent { entry, agent });
                }
                while !self.links[&(entry, agent)].to_entry.is_empty() {
                    self.apply(&Op::ToEntry { entry, agent });
                }
            }
            (0..AGENTS).for_each(|agent| {
                self.apply(&Op::End {
                    agent,
                    nth: 0,
                    ok: true,
                })
            });
            self.apply(&Op::Wait { ms: 1000 });
        }
    }
}

fn pairs() -> impl Iterator<Item = (usize, usize)> {
    (0..ENTRIES).flat_map(|entry| (0..AGENTS).map(move |agent| (entry, agent)))
}

fn op() -> impl Strategy<Value = Op> {
    let (entry, agent) = (0..ENTRIES, 0..AGENTS);
    let link = (entry.clone(), agent.clone());
    prop_oneof![
        4 => (entry.clone(), 0..2usize, 0..2usize, 1..8u32, prop_oneof![1..900u64, 4_000..20_000u64])
            .prop_map(|(entry, service, team, tasks, declared_ms)| {
                Op::Submit { entry, service, team, tasks, declared_ms }
            }),
        1 => (entry, 0..4usize).prop_map(|(entry, nth)| Op::Cancel { entry, nth }),
        12 => link.clone().prop_map(|(entry, agent)| Op::ToAgent { entry, agent }),
        12 => link.clone().prop_map(|(entry, agent)| Op::ToEntry { entry, agent }),
        6 => (agent.clone(), 0..4usize, prop::bool::weighted(0.8))
            .prop_map(|(agent, nth, ok)| Op::End { agent, nth, ok }),
        1 => link.clone().prop_map(|(entry, agent)| Op::Unlink { entry, agent }),
        1 => link.prop_map(|(entry, agent)| Op::Link { entry, agent }),
        1 => (agent, any::<bool>()).prop_map(|(agent, leaving)| Op::Leave { agent, leaving }),
        3 => (1..100u64).prop_map(|ms| Op::Wait { ms }),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 256,
        rng_seed: RngSeed::Fixed(5),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn slots_and_grants_are_conserved_and_nothing_is_left(ops in prop::collection::vec(op(), 1..250)) {
        let mut simulation = Simulation::new();
        simulation.send_pending();
        ops.iter().for_each(|op| simulation.apply(op));
        simulation.run_to_completion();
        for (entry, dispatcher) in simulation.dispatchers.iter().enumerate() {
            let snapshot = dispatcher.snapshot();
            prop_assert!(simulation.jobs[entry].is_empty(), "jobs were left unfinished: {:?}", snapshot);
            prop_assert!(snapshot.services.is_empty() && snapshot.teams.is_empty(), "{:?}", snapshot);
            prop_assert!(snapshot.upstreams.iter().all(|u| u.running == 0), "{:?}", snapshot);
        }
    }
}
