//! Jobs, their queue, and the orders to agents.

mod ends;
mod queue;
mod room;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use slotmap::SlotMap;

use crate::agent::RunOrder;
use crate::entry::agents::Agent;
use crate::entry::estimate::Estimates;
use crate::entry::job::{Job, Rank, Step, Task};
use crate::entry::{AgentKey, AgentReport, Answer, DispatchPolicy, JobKey, Refusal};
use crate::{Incarnation, JobId, JobSpec, QueueConfig, TaskId, TaskRef};

/// Time to get a task to an agent and its result back.
const OVERHEAD: Duration = Duration::from_millis(8);

/// A job that a caller submits.
#[derive(Clone, Debug)]
pub struct Submission {
    /// What is to be run.
    pub spec: JobSpec,
    /// The rules of its queue.
    pub queue_config: Arc<QueueConfig>,
    /// How long the caller waits.
    pub caller_timeout: Option<Duration>,
}

/// An order to an agent.
#[derive(Clone, Debug)]
pub struct Order {
    /// The agent.
    pub agent: AgentKey,
    /// Number of the frame that it is sent in.
    pub seq: u64,
    /// What is ordered.
    pub run: RunOrder,
}

/// What an entry has to do.
#[derive(Clone, Debug)]
pub enum Action {
    /// Send an order.
    Run(Order),
    /// Tell an agent that an attempt is no longer wanted.
    Cancel(AgentKey, TaskRef),
    /// Answer a job.
    Answer(JobKey, Answer),
}

/// Takes jobs, and places their tasks.
#[derive(Debug)]
pub struct Dispatcher {
    policy: DispatchPolicy,
    agents: SlotMap<AgentKey, Agent>,
    jobs: SlotMap<JobKey, Job>,
    by_id: BTreeMap<JobId, JobKey>,
    queue: BTreeSet<Rank>,
    estimates: Estimates,
    is_leaving: bool,
    /// When the first event came.
    started: Option<Instant>,
    /// Number of the last attempt at any task: an end that is told late is never taken for that of
    /// a later job of the same name.
    attempts: u32,
    /// Agents that were weighed for a task.
    evaluated_candidates: u64,
    actions: Vec<Action>,
}

impl Dispatcher {
    /// Creates a dispatcher that knows no agent.
    pub fn new(policy: DispatchPolicy) -> Self {
        Self {
            policy,
            agents: SlotMap::with_key(),
            jobs: SlotMap::with_key(),
            by_id: BTreeMap::new(),
            queue: BTreeSet::new(),
            estimates: Estimates::default(),
            is_leaving: false,
            started: None,
            attempts: 0,
            evaluated_candidates: 0,
            actions: Vec::new(),
        }
    }

    /// Returns what is to be done, and forgets it.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Returns the number of jobs that are not answered.
    pub fn jobs(&self) -> usize {
        self.jobs.len()
    }

    /// Returns the number of jobs of a queue of which no task has begun.
    pub fn waiting_jobs(&self, queue: &str) -> usize {
        let is_waiting = |job: &&Job| job.queue_config.name.as_ref() == queue && !job.has_begun;
        self.jobs.values().filter(is_waiting).count()
    }

    /// Returns how often an agent was weighed for a task, since the start.
    pub fn evaluated_candidates(&self) -> u64 {
        self.evaluated_candidates
    }

    /// Returns the number of agents that work can be sent to.
    pub fn usable_agents(&self, now: Instant) -> usize {
        let silence = self.policy.agent_timeout;
        let is_usable = |agent: &&Agent| agent.usable(now, silence).is_some();
        self.agents.values().filter(is_usable).count()
    }

    /// Takes a job, or returns why it is not run. It is answered by an [`Action::Answer`]. A job
    /// that is submitted again while it is not answered stays one job.
    pub fn submit(&mut self, now: Instant, job: Submission) -> Result<JobKey, Refusal> {
        let Submission {
            spec,
            queue_config,
            caller_timeout,
        } = job;
        if let Some(part) = spec.unsupported(&queue_config) {
            return Err(Refusal::Unsupported(part));
        }
        if let Some(&known) = self.by_id.get(&spec.id) {
            // It remains one job, and both callers are answered.
            return Ok(known);
        }

        let expect =
            |declared_run_time| self.estimates.expect(&queue_config.name, declared_run_time);
        let steps: Vec<_> = spec
            .steps
            .iter()
            .map(|step| Step {
                tasks: vec![Task::default(); step.tasks as usize],
                unfinished: step.tasks as usize,
                expected: expect(step.declared_run_time),
                is_open: false,
            })
            .collect();
        let chain: Duration = longest_chain(&spec, &steps);
        let objective = chain.mul_f64(queue_config.stretch) + queue_config.latency_target;
        // The queue's time is for callers that do not say how long they wait.
        let caller_timeout = caller_timeout.or(queue_config.timeout);
        let deadline = now + caller_timeout.unwrap_or(Duration::from_secs(60));
        let mut job = Job {
            due: now + objective,
            useful_until: (now + objective * self.policy.useful_factor).min(deadline),
            deadline,
            unfinished: steps.iter().map(|step| step.unfinished).sum(),
            steps,
            queued: Vec::new(),
            placed: 0,
            has_begun: false,
            rank: None,
            spec,
            queue_config,
        };
        job.open_steps();
        self.check_room(now, &job, chain)?;

        let id = job.spec.id.clone();
        let key = self.jobs.insert(job);
        self.by_id.insert(id, key);
        self.enqueue(now, key);
        self.pump(now);
        Ok(key)
    }

    /// Takes the news that a job's caller is gone: what runs for it is stopped.
    pub fn abandon(&mut self, now: Instant, key: JobKey) {
        if self.jobs.contains_key(key) {
            self.remove(key);
            self.pump(now);
        }
    }

    /// Cancels a job by its name. Returns false if it is not known.
    pub fn cancel(&mut self, now: Instant, id: &str) -> bool {
        let Some(&key) = self.by_id.get(id) else {
            return false;
        };
        self.answer(key, Answer::Cancelled);
        self.pump(now);
        true
    }

    /// Takes an agent's first report on a new link.
    pub fn linked(
        &mut self,
        now: Instant,
        incarnation: Incarnation,
        data_center: Arc<str>,
    ) -> AgentKey {
        let known =
            |(key, agent): (AgentKey, &Agent)| (agent.incarnation == incarnation).then_some(key);
        match self.agents.iter().find_map(known) {
            Some(key) => {
                let agent = &mut self.agents[key];
                agent.is_linked = true;
                agent.last_report = now;
                agent.seq = 0;
                agent.unseen.clear();
                agent.unsettled = agent.placed.clone();
                key
            }
            None => {
                let agent = Agent::new(now, incarnation, data_center);
                self.agents.insert(agent)
            }
        }
    }

    /// Takes the end of a link. What the agent runs may go on until it is surely over.
    pub fn unlinked(&mut self, key: AgentKey) {
        if let Some(agent) = self.agents.get_mut(key) {
            agent.is_linked = false;
        }
    }

    /// Takes what an agent reported.
    pub fn reported(&mut self, now: Instant, key: AgentKey, report: AgentReport) {
        let Some(agent) = self.agents.get_mut(key) else {
            return;
        };
        agent.last_report = now;
        agent.saw(report.orders_seen);
        if let Some(state) = report.state {
            agent.state = Some(state);
        }
        for ended in &report.ends {
            self.ended(now, key, ended);
        }
        if let Some(held) = report.held {
            self.reconcile(now, key, &held);
        }
        self.pump(now);
    }

    /// Returns the number of the next frame to an agent.
    pub fn next_seq(&mut self, key: AgentKey) -> u64 {
        let agent = &mut self.agents[key];
        agent.seq += 1;
        agent.seq
    }

    /// Stops taking jobs.
    pub fn leave(&mut self) {
        self.is_leaving = true;
    }

    /// Does what has come due.
    pub fn tick(&mut self, now: Instant) {
        self.started.get_or_insert(now);
        self.settle_lost_agents(now);
        self.time_out(now);
        self.give_up_queued(now);
        self.pump(now);
    }

    fn time_out(&mut self, now: Instant) {
        let is_over =
            |(key, job): (JobKey, &Job)| (job.deadline <= now).then_some((key, job.has_begun));
        let over: Vec<_> = self.jobs.iter().filter_map(is_over).collect();
        for (key, has_begun) in over {
            let answer = match has_begun {
                true => Answer::TimedOut,
                false => Answer::NotRun(Refusal::Overload {
                    retry_after: self.policy.min_retry_after,
                }),
            };
            self.answer(key, answer);
        }
    }

    fn answer(&mut self, key: JobKey, answer: Answer) {
        if let Answer::NotRun(_) = answer {
            assert!(
                !self.jobs[key].has_begun,
                "not run is said of what has not begun"
            );
        }
        self.remove(key);
        self.actions.push(Action::Answer(key, answer));
    }

    /// Forgets a job, and cancels what it has at agents.
    fn remove(&mut self, key: JobKey) {
        let Some(job) = self.jobs.remove(key) else {
            return;
        };
        if let Some(rank) = job.rank {
            self.queue.remove(&rank);
        }
        if self.by_id.get(&job.spec.id) == Some(&key) {
            self.by_id.remove(&job.spec.id);
        }
        for (step, state) in job.steps.iter().enumerate() {
            for (index, task) in state.tasks.iter().enumerate() {
                let Some(agent_key) = task.at else {
                    continue;
                };
                let place = (key, step as u32, index as u32);
                if let Some(agent) = self.agents.get_mut(agent_key) {
                    agent.placed.remove(&place);
                }
                let task = TaskRef {
                    task: TaskId {
                        job: job.spec.id.clone(),
                        occurrence: 0,
                        step: step as u32,
                        index: index as u32,
                    },
                    attempt: task.attempt,
                };
                self.actions.push(Action::Cancel(agent_key, task));
            }
        }
    }
}

/// Returns the longest run time from a first step to a last one.
fn longest_chain(spec: &JobSpec, steps: &[Step]) -> Duration {
    let mut ends: Vec<Duration> = Vec::with_capacity(steps.len());
    for (step, state) in spec.steps.iter().zip(steps) {
        let before = step.depends_on.iter().map(|&before| ends[before]).max();
        ends.push(before.unwrap_or_default() + state.expected);
    }
    ends.into_iter().max().unwrap_or_default()
}
