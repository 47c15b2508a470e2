//! The simulated system of the randomised tests: owners, agents, clients, the log and the network,
//! with checks of the protocol's invariants.

mod faults;
pub mod heal;
pub mod log;
pub mod net;
pub mod procs;
pub mod steps;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

use hemlockhook_ownership::{
    Admission, FenceReport, OwnerAction, Record, Rules, StartOrder, StartRefusal, Withdrawal,
};
use hemlockhook_types::{
    Answer, Ballot, Incarnation, Job, JobKey, Reason, ShardId, Stamp, Task, TaskIndex, TaskResult,
    shard_of,
};

use procs::{AgentProc, EntryProc};

pub const ENTRIES: usize = 3;
pub const AGENTS: usize = 3;
pub const WINDOW: Duration = Duration::from_secs(4);
pub const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(1500);
pub const LEASE: Duration = Duration::from_secs(6);
pub const FENCE_TIMEOUT: Duration = Duration::from_millis(500);
const LOG_RETENTION: Duration = Duration::from_secs(16);
/// The shards that the tests use.
pub const SHARDS: [ShardId; 2] = [0, 1];

/// A message from an entry to an agent.
#[derive(Clone, Debug)]
pub enum ToAgent {
    Start(StartOrder),
    Fence(u64, Vec<ShardId>, Ballot),
    Withdraw(Ballot, Withdrawal),
}

/// A message from an agent to an entry.
#[derive(Clone, Debug)]
pub enum ToEntry {
    Refusal(JobKey, TaskIndex, StartRefusal),
    Done(JobKey, TaskIndex, TaskResult),
    Report(u64, FenceReport),
    Withdrawn(JobKey, Result<(), StartRefusal>),
}

/// One stream between an entry and an agent.
#[derive(Debug)]
pub struct Link {
    pub entry: Incarnation,
    pub agent: Incarnation,
    pub to_agent: VecDeque<ToAgent>,
    pub to_entry: VecDeque<ToEntry>,
}

/// An append that was sent and has not reached the log.
#[derive(Debug)]
pub struct Append {
    pub from: Incarnation,
    pub takeover: u64,
    pub record: Record,
    pub sent: Instant,
}

/// A client's state of a job that it submitted.
#[derive(Clone, Debug)]
pub struct Submission {
    pub job: Job,
    pub stamp: Option<Stamp>,
    pub submitted_at: Instant,
}

/// The whole simulated system, with the history that the checks need.
pub struct World {
    pub rules: Rules,
    pub began: Instant,
    pub now: Instant,
    pub entries: Vec<EntryProc>,
    pub agents: Vec<AgentProc>,
    /// The current links, by the indexes of the entry and the agent.
    pub links: BTreeMap<(usize, usize), Link>,
    /// Links that broke or were superseded, with their undelivered messages.
    pub old_links: Vec<Link>,
    pub log: Vec<(Instant, Record)>,
    pub first_retained: usize,
    pub log_up: bool,
    /// Bit sets of the entries and agents that are partitioned, together, from the log and from the
    /// others.
    pub partitioned: (usize, usize),
    pub appends: Vec<Append>,
    pub submissions: Vec<Submission>,
    /// Stamps that owners issued.
    pub stamps: Vec<(ShardId, Stamp)>,
    pub gossip: Vec<(usize, ShardId, Ballot)>,
    /// Incarnations of agents that have ended.
    pub ended: Vec<Incarnation>,
    starts: BTreeMap<(JobKey, TaskIndex), u32>,
    not_run: BTreeSet<JobKey>,
    pub answer_counts: BTreeMap<&'static str, u32>,
    next_incarnation: Incarnation,
}

impl World {
    pub fn new(rules: Rules) -> Self {
        let began = Instant::now();
        let mut world = Self {
            rules,
            began,
            now: began,
            entries: Vec::new(),
            agents: Vec::new(),
            links: BTreeMap::new(),
            old_links: Vec::new(),
            log: Vec::new(),
            first_retained: 0,
            log_up: true,
            partitioned: (0, 0),
            appends: Vec::new(),
            submissions: Vec::new(),
            stamps: Vec::new(),
            gossip: Vec::new(),
            ended: Vec::new(),
            starts: BTreeMap::new(),
            not_run: BTreeSet::new(),
            answer_counts: BTreeMap::new(),
            next_incarnation: 1,
        };
        for _ in 0..ENTRIES {
            let incarnation = world.new_incarnation();
            world.entries.push(EntryProc::new(rules, incarnation));
        }
        for agent_index in 0..AGENTS {
            let incarnation = world.new_incarnation();
            world
                .agents
                .push(AgentProc::new(rules, incarnation, agent_index));
        }
        world.connect_all();
        world.advance(ANNOUNCE_INTERVAL);
        world.deliver_all();
        for (entry, shards) in [(0, 1), (1, 2)] {
            world.take_over(entry, shards);
            world.deliver_all();
        }
        world
    }

    /// Returns a new incarnation. Like random ones, incarnations are not ordered by age.
    pub fn new_incarnation(&mut self) -> Incarnation {
        self.next_incarnation += 1;
        self.next_incarnation.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1
    }

    /// Creates a job of a client, with one of the stamps that owners issued or without one, and
    /// returns its number.
    pub fn new_job(&mut self, stamp_choice: usize, tasks: usize) -> usize {
        let number = self.submissions.len();
        let shard = SHARDS[number % SHARDS.len()];
        let key: JobKey = (0..)
            .map(|salt| format!("farm/{number}-{salt}"))
            .find(|key| shard_of(key) == shard)
            .expect("some key belongs to the shard")
            .into();
        let held: Vec<_> = self.stamps.iter().filter(|(of, _)| *of == shard).collect();
        let stamp = match stamp_choice {
            0 => None,
            age => held
                .iter()
                .rev()
                .nth((age - 1) / 4)
                .map(|(_, stamp)| *stamp),
        };
        let task = Task {
            payload: Arc::from(&b""[..]),
            declared_run_time: None,
            class: "".into(),
        };
        let job = Job {
            key,
            fingerprint: number as u64,
            team: "farm".into(),
            service: ["quote", "hold"][number / 2 % 2].into(),
            idempotent: false,
            deadline: Duration::from_secs(5),
            tasks: vec![task; tasks],
        };
        let submitted_at = self.now;
        self.submissions.push(Submission {
            job,
            stamp,
            submitted_at,
        });
        number
    }

    /// Submits a job to an entry. A client without a stamp submits only inside the window.
    pub fn submit(&mut self, entry: usize, number: usize) {
        let Submission {
            job,
            stamp,
            submitted_at,
        } = self.submissions[number].clone();
        if stamp.is_none() && self.now > submitted_at + WINDOW {
            return;
        }
        let now = self.now;
        let proc = &mut self.entries[entry];
        if proc.paused {
            proc.inbox.push(number);
            return;
        }
        match proc.owner.admit(now, &job, stamp) {
            Admission::Run(indexes) => {
                let tasks = indexes.into_iter().map(|index| (job.key.clone(), index));
                proc.queue.extend(tasks);
            }
            Admission::Answered(answer) => self.check_answer(&job.key, &answer),
            Admission::Fencing => proc.waiting.push(number),
            Admission::Pending | Admission::NotOwner => {}
            Admission::KeyReused => panic!("keys are never reused"),
        }
        self.run_actions(entry);
    }

    /// Carries out the actions of an owner.
    pub fn run_actions(&mut self, entry: usize) {
        let actions = self.entries[entry].owner.take_actions();
        for action in actions {
            match action {
                OwnerAction::Fence {
                    agent,
                    takeover,
                    shards,
                    ballot,
                } => self.send_to_agent(entry, agent, ToAgent::Fence(takeover, shards, ballot)),
                OwnerAction::Withdraw {
                    agent,
                    ballot,
                    withdrawal,
                } => self.send_to_agent(entry, agent, ToAgent::Withdraw(ballot, withdrawal)),
                OwnerAction::Append { takeover, record } => self.appends.push(Append {
                    from: self.entries[entry].owner.incarnation(),
                    takeover,
                    record,
                    sent: self.now,
                }),
                OwnerAction::ReadToEnd { takeover } => {
                    self.entries[entry].reading.push(takeover);
                }
                OwnerAction::Ready { .. } => {
                    let waiting = std::mem::take(&mut self.entries[entry].waiting);
                    self.entries[entry].inbox.extend(waiting);
                }
                OwnerAction::StepDown { shard, .. } => {
                    let queue = &mut self.entries[entry].queue;
                    queue.retain(|(key, _)| shard_of(key) != shard);
                }
                OwnerAction::Settled { key, answer } => {
                    self.entries[entry]
                        .queue
                        .retain(|(queued, _)| *queued != key);
                    self.check_answer(&key, &answer);
                }
                OwnerAction::Requeue { key, index, .. } => {
                    self.entries[entry].queue.push((key, index));
                }
            }
        }
    }

    pub fn send_to_agent(&mut self, entry: usize, agent: Incarnation, message: ToAgent) {
        for ((linked, _), link) in &mut self.links {
            if *linked == entry && link.agent == agent {
                link.to_agent.push_back(message.clone());
            }
        }
    }

    /// Checks that a start is the first of its task, and that its job was not answered as not run.
    pub fn check_start(&mut self, order: &StartOrder) {
        let count = self
            .starts
            .entry((order.key.clone(), order.index))
            .or_default();
        *count += 1;
        assert!(
            *count == 1,
            "task {}/{} started twice",
            order.key,
            order.index
        );
        assert!(
            !self.not_run.contains(&order.key),
            "{} was answered as not run and started",
            order.key
        );
    }

    /// Checks that an answer is consistent with the starts so far.
    fn check_answer(&mut self, key: &JobKey, answer: &Answer) {
        *self.answer_counts.entry(answer.kind().into()).or_default() += 1;
        match answer {
            Answer::Complete(results) => {
                for (index, body) in (0..).zip(results) {
                    assert_eq!(
                        body[..],
                        body_of(key, index)[..],
                        "the result belongs to another task"
                    );
                    assert!(self.starts.contains_key(&(key.clone(), index)));
                }
                let job = &self.submission(key).job;
                assert_eq!(results.len(), job.tasks.len(), "the answer is partial");
            }
            Answer::NotRun { .. } => {
                let started = self.starts.keys().any(|(started, _)| started == key);
                assert!(!started, "{key} was started and answered as not run");
                self.not_run.insert(key.clone());
            }
            Answer::Failed { reason, .. } => {
                let started = self.starts.keys().any(|(started, _)| started == key);
                let by_task = matches!(reason, Reason::UpstreamFailed | Reason::ResultEvicted);
                assert!(started || !by_task, "{key} failed without a start");
            }
            Answer::Unknown { .. } => {}
        }
    }

    fn submission(&self, key: &JobKey) -> &Submission {
        let found = self
            .submissions
            .iter()
            .find(|submission| submission.job.key == *key);
        found.expect("the job was submitted")
    }

    /// Returns whether an entry is partitioned from the log.
    pub fn entry_is_partitioned(&self, entry: usize) -> bool {
        self.partitioned.0 >> entry & 1 == 1
    }

    /// Returns whether an agent is partitioned from the log.
    pub fn agent_is_partitioned(&self, agent: usize) -> bool {
        self.partitioned.1 >> agent & 1 == 1
    }

    /// Drops records that are older than the log's retention time.
    pub fn expire_log(&mut self) {
        let now = self.now;
        let expired = |(written, _): &&(Instant, Record)| now > *written + LOG_RETENTION;
        let gone = self.log.iter().take_while(expired).count();
        self.first_retained = gone.max(self.first_retained);
    }
}

/// Returns the body with which the upstream answers a task.
pub fn body_of(key: &JobKey, index: TaskIndex) -> Vec<u8> {
    format!("{key}/{index}").into_bytes()
}
