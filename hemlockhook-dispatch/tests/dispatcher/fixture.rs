//! An entry with agents, whose events a test delivers.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use hemlockhook_dispatch::agent::UpstreamState;
use hemlockhook_dispatch::entry::{
    Action, AgentHello, AgentKey, AgentReport, Answer, DispatchPolicy, Dispatcher, JobKey, Order,
    Refusal, Submission,
};
use hemlockhook_dispatch::{
    Amounts, AttemptEnd, ClaimAnswer, ClaimChange, ClaimStatus, JobSpec, Outcome, QueueConfig,
    StepSpec,
};

pub const CORE: u64 = 1000;

pub struct Fixture {
    pub now: Instant,
    pub dispatcher: Dispatcher,
    pub agents: Vec<AgentKey>,
    /// Sequence number of the last frame to each agent.
    pub sent_seqs: Vec<u64>,
}

/// Returns the hello of an agent, with a name of its own for each incarnation.
pub fn hello(incarnation: u64, sent_ms: u64) -> AgentHello {
    AgentHello {
        name: format!("agent-{incarnation}").into(),
        incarnation,
        data_center: "here".into(),
        sent_ms,
    }
}

impl Fixture {
    /// Creates an entry with one agent per given pace, each of whose upstreams has `cores` cores.
    pub fn new(paces: &[f64], cores: u64) -> Self {
        Self::with_policy(DispatchPolicy::default(), paces, cores)
    }

    pub fn with_policy(policy: DispatchPolicy, paces: &[f64], cores: u64) -> Self {
        let now = Instant::now();
        let mut dispatcher = Dispatcher::new(policy);
        let mut agents = Vec::new();
        for (index, pace) in paces.iter().enumerate() {
            let key = dispatcher
                .linked(now, hello(index as u64 + 1, 0))
                .expect("the link is not refused");
            let report = AgentReport {
                orders_seen: 0,
                state: Some(state(*pace, cores, cores)),
                ends: Vec::new(),
                held: None,
            };
            dispatcher.reported(now, key, report);
            agents.push(key);
        }
        let sent_seqs = vec![0; agents.len()];
        Self {
            now,
            dispatcher,
            agents,
            sent_seqs,
        }
    }

    pub fn submit(
        &mut self,
        job: JobSpec,
        queue_config: &Arc<QueueConfig>,
    ) -> std::result::Result<(), Refusal> {
        self.try_submit(job, queue_config).map(|_| ())
    }

    /// Submits a job that is admitted, and returns its key.
    pub fn submit_key(&mut self, job: JobSpec, queue_config: &Arc<QueueConfig>) -> JobKey {
        let submitted = self.try_submit(job, queue_config);
        submitted.expect("there is free capacity")
    }

    fn try_submit(
        &mut self,
        job: JobSpec,
        queue_config: &Arc<QueueConfig>,
    ) -> std::result::Result<JobKey, Refusal> {
        let submission = Submission {
            spec: job,
            queue_config: queue_config.clone(),
            caller_timeout: Some(Duration::from_secs(20)),
            caller_seen: Some(self.now),
        };
        self.dispatcher.submit(self.now, submission)
    }

    /// Takes the orders, and assigns sequence numbers to the frames that carry them.
    pub fn orders(&mut self) -> Vec<Order> {
        let mut orders = Vec::new();
        for action in self.take_actions() {
            if let Action::Run(order) = action {
                orders.push(order);
            }
        }
        let mut agents: Vec<_> = orders.iter().map(|order| order.agent).collect();
        agents.dedup();
        for agent in agents {
            let seq = self.dispatcher.next_seq(agent);
            let index = self.index(agent);
            self.sent_seqs[index] = seq;
        }
        orders
    }

    /// Takes the actions. The callers of all jobs are connected, and all claims are granted.
    pub fn take_actions(&mut self) -> Vec<Action> {
        let mut actions = Vec::new();
        loop {
            let mut connected = BTreeSet::new();
            for action in take_granted(&mut self.dispatcher, self.now) {
                match action {
                    Action::CheckCaller(job) => _ = connected.insert(job),
                    action => actions.push(action),
                }
            }
            if connected.is_empty() {
                return actions;
            }
            let connected: Vec<_> = connected.into_iter().collect();
            self.dispatcher.callers_seen(self.now, &connected, &[]);
        }
    }

    pub fn answers(&mut self) -> Vec<Answer> {
        let actions = self.take_actions().into_iter();
        let answer = |action| match action {
            Action::Answer(_, answer) => Some(answer),
            _ => None,
        };
        actions.filter_map(answer).collect()
    }

    pub fn end(&mut self, order: &Order, outcome: Outcome) {
        let index = self.index(order.agent);
        let report = AgentReport {
            orders_seen: self.sent_seqs[index],
            state: None,
            ends: vec![AttemptEnd {
                task: order.run.task.clone(),
                outcome,
                run_ms: 50,
            }],
            held: None,
        };
        self.dispatcher.reported(self.now, order.agent, report);
    }

    /// Delivers a report with the state of an agent's upstream.
    pub fn set_state(&mut self, index: usize, state: UpstreamState) {
        let report = AgentReport {
            orders_seen: 0,
            state: Some(state),
            ends: Vec::new(),
            held: None,
        };
        self.dispatcher
            .reported(self.now, self.agents[index], report);
    }

    /// Delivers an empty report of each agent.
    pub fn report_all(&mut self) {
        for &agent in &self.agents {
            let report = AgentReport {
                orders_seen: 0,
                state: None,
                ends: Vec::new(),
                held: None,
            };
            self.dispatcher.reported(self.now, agent, report);
        }
    }

    pub fn index(&self, agent: AgentKey) -> usize {
        let is_same = |known: &AgentKey| *known == agent;
        self.agents
            .iter()
            .position(is_same)
            .expect("the agent belongs to the test")
    }
}

/// Takes the actions of an entry all of whose claims are granted.
pub fn take_granted(dispatcher: &mut Dispatcher, now: Instant) -> Vec<Action> {
    let mut actions = Vec::new();
    loop {
        let taken = dispatcher.take_actions();
        if taken.is_empty() {
            return actions;
        }
        for action in taken {
            let Action::Claim(agent, claim) = action else {
                actions.push(action);
                continue;
            };
            if matches!(claim.change, ClaimChange::Made { .. }) {
                let answer = ClaimAnswer {
                    job: claim.job,
                    number: claim.number,
                    status: ClaimStatus::Granted,
                };
                dispatcher.claim_answered(now, agent, &answer);
            }
        }
    }
}

pub fn state(pace: f64, cores: u64, free: u64) -> UpstreamState {
    let amounts = |cores| Amounts {
        cpu: cores * CORE,
        memory_mb: 100_000,
        gpus: 0,
    };
    UpstreamState {
        is_usable: true,
        description: 1,
        service: "desk".into(),
        instance: "up".into(),
        capacity: amounts(cores),
        free: amounts(free),
        labels: Vec::new(),
        waiting: 0,
        pace,
        entries: 1,
        share: 1.0,
        running: BTreeMap::new(),
        pairs: None,
    }
}

pub fn queue_config(priority: u32) -> Arc<QueueConfig> {
    Arc::new(QueueConfig {
        name: format!("queue-{priority}").into(),
        host: "desk".into(),
        path_prefix: "/".into(),
        service: "desk".into(),
        priority,
        attempts: 2,
        stretch: 1.6,
        latency_target: Duration::from_millis(60),
        timeout: None,
        needs_recommendation: false,
    })
}

pub fn job(id: &str, tasks: u32, millis: u64) -> JobSpec {
    JobSpec {
        id: id.into(),
        payload: "".into(),
        steps: vec![StepSpec {
            tasks,
            need: Amounts {
                cpu: CORE,
                memory_mb: 1,
                gpus: 0,
            },
            declared_run_time: Duration::from_millis(millis),
            ..StepSpec::default()
        }],
        is_stored: false,
        repetitions: 0,
    }
}
