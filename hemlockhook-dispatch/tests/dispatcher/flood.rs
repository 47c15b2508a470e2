//! A flood of jobs of one kind, while callers of another kind go on.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::{Duration, Instant};

use googletest::prelude::*;
use hemlockhook_dispatch::entry::{
    Action, AgentKey, AgentReport, Answer, DispatchPolicy, Dispatcher, JobKey, Order, Submission,
};
use hemlockhook_dispatch::{Amounts, AttemptEnd, Outcome};

use crate::fixture::{CORE, hello, job, queue_config, state, take_granted};

const AGENTS: u64 = 11;

/// Cores of an upstream. A task needs one.
const CORES: u64 = 10;

/// An entry with upstreams that run each task for as long as its job declares.
struct Replay {
    now: Instant,
    dispatcher: Dispatcher,
    free: BTreeMap<AgentKey, u64>,
    seqs: BTreeMap<AgentKey, u64>,
    /// Runs by the time of their end.
    runs: BinaryHeap<Reverse<(Instant, usize)>>,
    orders: Vec<Order>,
    submitted: BTreeMap<JobKey, (u32, Instant)>,
    /// Answers, with the priority and the response time of their jobs.
    answers: Vec<(u32, Duration, Answer)>,
    refused: BTreeMap<u32, usize>,
}

impl Replay {
    fn new() -> Self {
        let now = Instant::now();
        let mut dispatcher = Dispatcher::new(DispatchPolicy::default());
        let mut free = BTreeMap::new();
        for incarnation in 1..=AGENTS {
            let key = dispatcher
                .linked(now, hello(incarnation, 0))
                .expect("the link is not refused");
            free.insert(key, CORES);
        }
        let mut replay = Self {
            now,
            dispatcher,
            free,
            seqs: BTreeMap::new(),
            runs: BinaryHeap::new(),
            orders: Vec::new(),
            submitted: BTreeMap::new(),
            answers: Vec::new(),
            refused: BTreeMap::new(),
        };
        for key in replay.free.keys().copied().collect::<Vec<_>>() {
            replay.report(key, Vec::new());
        }
        replay
    }

    fn report(&mut self, key: AgentKey, ends: Vec<AttemptEnd>) {
        let report = AgentReport {
            orders_seen: self.seqs.get(&key).copied().unwrap_or_default(),
            state: Some(state(1.0, CORES, self.free[&key])),
            ends,
            held: None,
        };
        self.dispatcher.reported(self.now, key, report);
        self.carry_out();
    }

    fn submit(&mut self, id: &str, tasks: u32, millis: u64, priority: u32) {
        let submission = Submission {
            spec: job(id, tasks, millis),
            queue_config: queue_config(priority),
            caller_timeout: Some(Duration::from_secs(10)),
            caller_seen: Some(self.now),
        };
        match self.dispatcher.submit(self.now, submission) {
            Ok(key) => drop(self.submitted.insert(key, (priority, self.now))),
            Err(_) => *self.refused.entry(priority).or_default() += 1,
        }
        self.carry_out();
    }

    /// Starts what is ordered, and returns what has no room.
    fn carry_out(&mut self) {
        let mut connected = Vec::new();
        for action in take_granted(&mut self.dispatcher, self.now) {
            match action {
                Action::Run(order) => self.start(order),
                Action::Answer(key, answer) => {
                    let (priority, at) = self.submitted[&key];
                    self.answers.push((priority, self.now - at, answer));
                }
                Action::CheckCaller(job) => connected.push(job),
                Action::Cancel(..) | Action::Claim(..) | Action::Wake(_) => {}
            }
        }
        if !connected.is_empty() {
            self.dispatcher.callers_seen(self.now, &connected, &[]);
            self.carry_out();
        }
    }

    fn start(&mut self, order: Order) {
        let key = order.agent;
        let seq = self.dispatcher.next_seq(key);
        self.seqs.insert(key, seq);
        let free = self.free.get_mut(&key).expect("a known agent");
        if *free == 0 {
            let end = end_of(&order, Outcome::NotStarted);
            return self.report(key, vec![end]);
        }
        *free -= 1;
        let ends = self.now + order.run.expected;
        self.runs.push(Reverse((ends, self.orders.len())));
        self.orders.push(order);
    }

    fn advance(&mut self, millis: u64) {
        let until = self.now + Duration::from_millis(millis);
        while let Some(&Reverse((at, index))) = self.runs.peek()
            && at <= until
        {
            self.runs.pop();
            self.now = at;
            let order = self.orders[index].clone();
            *self.free.get_mut(&order.agent).expect("a known agent") += 1;
            let end = end_of(&order, Outcome::Done);
            self.report(order.agent, vec![end]);
        }
        self.now = until;
        for key in self.free.keys().copied().collect::<Vec<_>>() {
            self.report(key, Vec::new());
        }
        self.dispatcher.tick(self.now);
        self.carry_out();
    }
}

fn end_of(order: &Order, outcome: Outcome) -> AttemptEnd {
    AttemptEnd {
        task: order.run.task.clone(),
        outcome,
        run_ms: order.run.expected.as_millis() as u32,
    }
}

/// In the spring rush, parks staff confirm large orders at three times the capacity, while gardeners
/// look prices up.
#[gtest]
fn short_lookups_are_served_while_large_confirmations_flood() {
    let mut replay = Replay::new();
    let mut lookups = 0;
    for step in 0..400_u64 {
        // 110 cores: 100 confirmations of 3.6 core-seconds a second are 360 cores.
        replay.submit(&format!("confirm-{step}"), 4, 900, 2);
        if step % 2 == 0 {
            replay.submit(&format!("lookup-{step}"), 2, 200, 0);
            lookups += 1;
        }
        replay.advance(10);
    }
    replay.advance(5000);
    // The objective of a lookup is 380 ms, and up to three times that is late.
    let useful = Duration::from_millis(3 * 380);
    let is_served = |&&(priority, time, ref answer): &&(u32, Duration, Answer)| {
        priority == 0 && *answer == Answer::Completed && time <= useful
    };
    let served = replay.answers.iter().filter(is_served).count();
    expect_that!(served * 10, ge(lookups * 9));
    // What does not fit is refused, not held.
    let confirmations = replay
        .answers
        .iter()
        .filter(|(priority, ..)| *priority == 2);
    let held = confirmations.filter(|(_, _, answer)| *answer == Answer::TimedOut);
    expect_that!(held.count(), eq(0));
    expect_that!(replay.refused.get(&2).copied(), some(gt(0)));
    let cpu: u64 = replay.free.values().sum();
    expect_that!(cpu, eq(AGENTS * CORES));
    let need = Amounts {
        cpu: CORE,
        memory_mb: 1,
        gpus: 0,
    };
    expect_true!(replay.orders.iter().all(|order| order.run.need == need));
}
