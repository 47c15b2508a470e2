//! Tests of entries that share the slots of upstreams, over links without delay.

use std::time::{Duration, Instant};

use googletest::prelude::*;
use hemlockhook_schedule::{
    Dispatcher, JobSpec, Placement, Policy, SlotAction, SlotTable, TaskSpec, UpstreamSpec,
};
use hemlockhook_types::Incarnation;

const SLOTS: u32 = 4;
const AGENTS: u64 = 3;
const ENTRIES: u64 = 2;

struct Cluster {
    now: Instant,
    entries: Vec<Dispatcher>,
    agents: Vec<SlotTable>,
    running: Vec<(usize, Placement)>,
}

impl Cluster {
    fn new() -> Self {
        let now = Instant::now();
        let new = |_| Dispatcher::new(Policy::default(), "tema");
        let mut cluster = Self {
            now,
            entries: (0..ENTRIES).map(new).collect(),
            agents: (0..AGENTS).map(|_| SlotTable::new(SLOTS)).collect(),
            running: Vec::new(),
        };
        for (agent, entry) in (0..AGENTS).flat_map(|a| (0..ENTRIES).map(move |e| (a, e))) {
            cluster.agents[agent as usize].add_entry(now, entry);
            let spec = UpstreamSpec {
                name: format!("upstream-{agent}").into(),
                services: vec!["hold".into()],
                worker: "worker".into(),
                rack: "rack".into(),
                data_center: "tema".into(),
                slots: SLOTS,
            };
            cluster.entries[entry as usize].add_upstream(now, agent, spec);
        }
        cluster
    }

    fn submit(&mut self, entry: usize, tasks: u32, declared_run_time: Option<Duration>) {
        let task = |index| TaskSpec {
            index,
            class: "".into(),
            declared_run_time,
        };
        let spec = JobSpec {
            team: "merchants".into(),
            service: "hold".into(),
            deadline: self.now + Duration::from_secs(3600),
            tasks: (0..tasks).map(task).collect(),
        };
        self.entries[entry]
            .submit(self.now, spec)
            .expect("the job is accepted");
    }

    /// Delivers messages until neither side sends any.
    fn exchange(&mut self) {
        while self.deliver_agent_messages() | self.deliver_entry_messages() {}
    }

    fn deliver_agent_messages(&mut self) -> bool {
        let mut sent_any = false;
        for agent in 0..self.agents.len() {
            for action in self.agents[agent].take_actions(self.now) {
                sent_any = true;
                self.deliver_action(agent, action);
            }
        }
        sent_any
    }

    fn deliver_action(&mut self, agent: usize, action: SlotAction) {
        let (now, id) = (self.now, agent as Incarnation);
        match action {
            SlotAction::Grant { entry, count } => {
                self.entries[entry as usize].add_grants(now, id, count);
            }
            SlotAction::Recall { entry, count } => {
                let returned = self.entries[entry as usize].return_grants(now, id, count);
                self.agents[agent].return_grants(now, entry, returned);
            }
        }
    }

    fn deliver_entry_messages(&mut self) -> bool {
        let (now, mut sent_any) = (self.now, false);
        for (entry, dispatcher) in self.entries.iter_mut().enumerate() {
            while let Some(placement) = dispatcher.place_next(now) {
                let table = &mut self.agents[placement.agent as usize];
                assert!(table.use_grant(now, entry as Incarnation, placement.long));
                self.running.push((entry, placement));
                sent_any = true;
            }
            for (agent, count) in dispatcher.take_unusable_grants(now) {
                self.agents[agent as usize].return_grants(now, entry as Incarnation, count);
                sent_any = true;
            }
            for (agent, demand) in dispatcher.take_demands(now) {
                self.agents[agent as usize].set_demand(now, entry as Incarnation, demand);
                sent_any = true;
            }
        }
        sent_any
    }

    fn run_for(&mut self, seconds: u64) {
        for _ in 0..seconds * 100 {
            self.now += Duration::from_millis(10);
            self.exchange();
        }
    }

    fn slots_used(&self) -> u32 {
        self.agents.iter().map(SlotTable::running).sum()
    }
}

#[gtest]
fn slow_tasks_fill_every_slot_before_any_completes() {
    let mut cluster = Cluster::new();
    (0..ENTRIES as usize).for_each(|entry| cluster.submit(entry, 120, None));
    cluster.run_for(10);
    expect_that!(cluster.slots_used(), eq(SLOTS * AGENTS as u32));
}

#[gtest]
fn backlog_of_one_entry_fills_every_slot() {
    let mut cluster = Cluster::new();
    cluster.exchange();
    cluster.submit(0, 240, None);
    cluster.run_for(10);
    expect_that!(cluster.slots_used(), eq(SLOTS * AGENTS as u32));
}

#[gtest]
fn long_work_fills_every_slot_if_there_is_no_short_work() {
    let mut cluster = Cluster::new();
    let declared_run_time = Some(Duration::from_secs(60));
    (0..ENTRIES as usize).for_each(|entry| cluster.submit(entry, 120, declared_run_time));
    cluster.run_for(60);
    expect_that!(cluster.slots_used(), eq(SLOTS * AGENTS as u32));
}

#[gtest]
fn slots_left_by_long_work_go_to_short_work_of_another_entry() {
    let mut cluster = Cluster::new();
    cluster.submit(0, 120, Some(Duration::from_secs(60)));
    cluster.submit(0, 1, Some(Duration::from_millis(100)));
    cluster.run_for(1);
    let before = cluster
        .running
        .iter()
        .filter(|(entry, _)| *entry == 1)
        .count();
    cluster.submit(1, 2, Some(Duration::from_millis(100)));
    cluster.run_for(1);
    let after = cluster
        .running
        .iter()
        .filter(|(entry, _)| *entry == 1)
        .count();
    expect_that!(after - before, eq(2));
}
