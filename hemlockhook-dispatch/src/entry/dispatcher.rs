//! The dispatcher: jobs, their queue, and the orders to agents.

mod callers;
mod cancels;
mod capacity;
mod claims;
mod demands;
mod drains;
mod ends;
mod interference;
mod labels;
mod leaving;
mod overload;
mod queue;
mod run_times;
mod standby;

use std::collections::{BTreeMap, BTreeSet, HashSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use slotmap::SlotMap;
use strum::IntoStaticStr;

use self::claims::EndingJob;
pub(in crate::entry) use self::claims::JobClaims;
use self::overload::Overload;
use crate::agent::RunOrder;
use crate::cancelled::CancelledJobs;
use crate::drains::Drains;
use crate::entry::agents::Agent;
use crate::entry::demand::Demand;
use crate::entry::estimate::Estimates;
use crate::entry::fast_capacity::FastCapacity;
use crate::entry::interference::{InterferingPairs, PairChange};
use crate::entry::job::{Job, Rank, Step, Task};
use crate::entry::run_times::RunTimes;
use crate::entry::{
    AgentHello, AgentKey, AgentReport, Answer, DispatchPolicy, JobKey, LinkRefusal, Refusal,
};
use crate::{Claim, JobId, JobSpec, QueueConfig, TaskId, TaskRef};

/// Time to send a task to an agent and to receive its result.
const DISPATCH_OVERHEAD: Duration = Duration::from_millis(8);

/// Maximum time that a job may take, whatever its caller or the configuration of its queue allows.
const MAX_JOB_TIME: Duration = Duration::from_secs(24 * 60 * 60);

/// A job that a caller submits.
#[derive(Clone, Debug)]
pub struct Submission {
    /// Specification of the job.
    pub spec: JobSpec,
    /// Configuration of its queue.
    pub queue_config: Arc<QueueConfig>,
    /// Time for which the caller waits, if it states it.
    pub caller_timeout: Option<Duration>,
    /// When the caller was last known to be connected; `None` if it has left.
    pub caller_seen: Option<Instant>,
}

/// An order to an agent to run a task.
#[derive(Clone, Debug)]
pub struct Order {
    /// Agent that receives the order.
    pub agent: AgentKey,
    /// Sequence number of the frame that carries the order.
    pub seq: u64,
    /// The run that is ordered.
    pub run: RunOrder,
}

/// Reason for which an attempt is cancelled.
#[derive(Clone, Copy, Debug, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum CancelCause {
    /// The job was answered, or its caller has left.
    JobEnded,
    /// The agent holds it on a new link, and the entry no longer has it.
    UnknownOnLink,
}

/// An action that the entry has to carry out.
#[derive(Clone, Debug)]
pub enum Action {
    /// Send an order.
    Run(Order),
    /// Cancel an attempt at an agent.
    Cancel(AgentKey, TaskRef, CancelCause),
    /// Tell an agent of a claim to a job.
    Claim(AgentKey, Claim),
    /// Request the state of an agent that stands by.
    Wake(AgentKey),
    /// Check whether the caller of a job is still connected, and call [`Dispatcher::callers_seen`].
    CheckCaller(JobKey),
    /// Answer a job.
    Answer(JobKey, Answer),
}

/// Admits jobs, and places their tasks on agents.
#[derive(Debug)]
pub struct Dispatcher {
    policy: DispatchPolicy,
    agents: SlotMap<AgentKey, Agent>,
    jobs: SlotMap<JobKey, Job>,
    by_id: BTreeMap<JobId, JobKey>,
    /// Removed jobs whose cancelled attempts have yet to end.
    ending: BTreeMap<JobId, EndingJob>,
    /// Cancelled jobs, until their deadlines.
    cancelled: CancelledJobs,
    queue: BTreeSet<Rank>,
    estimates: Estimates,
    drains: Drains,
    demand: Demand,
    run_times: RunTimes,
    fast_capacity: FastCapacity,
    overload: Overload,
    interfering: InterferingPairs,
    pair_changes: Vec<PairChange>,
    is_leaving: bool,
    /// When the first tick was handled.
    started: Option<Instant>,
    /// When an agent last linked for the first time.
    last_new_agent: Option<Instant>,
    /// When the states of agents that stand by were last requested.
    last_wake: Option<Instant>,
    /// Minimum time between reports of an agent that carry only a changed state.
    state_interval: Duration,
    /// Number of the last attempt at any task. Attempts are numbered across jobs, so that a late
    /// report is never attributed to a later job with the same ID.
    attempts: u32,
    /// Number of the last claim.
    claims: u64,
    /// When enough agents for claims were last linked.
    last_arbiters: Option<Instant>,
    /// When claims without an answer were last looked for.
    claims_settled: Option<Instant>,
    /// Number of agents evaluated as candidates for a task.
    evaluated_candidates: u64,
    actions: Vec<Action>,
}

impl Dispatcher {
    /// Creates a dispatcher without agents.
    pub fn new(policy: DispatchPolicy) -> Self {
        Self {
            policy,
            agents: SlotMap::with_key(),
            jobs: SlotMap::with_key(),
            by_id: BTreeMap::new(),
            ending: BTreeMap::new(),
            cancelled: CancelledJobs::default(),
            queue: BTreeSet::new(),
            estimates: Estimates::default(),
            drains: Drains::default(),
            demand: Demand::default(),
            run_times: RunTimes::default(),
            fast_capacity: FastCapacity::default(),
            overload: Overload::default(),
            interfering: InterferingPairs::default(),
            pair_changes: Vec::new(),
            is_leaving: false,
            started: None,
            last_new_agent: None,
            last_wake: None,
            state_interval: Duration::ZERO,
            attempts: 0,
            claims: 0,
            last_arbiters: None,
            claims_settled: None,
            evaluated_candidates: 0,
            actions: Vec::new(),
        }
    }

    /// Takes the pending actions.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Returns the number of unanswered jobs.
    pub fn jobs(&self) -> usize {
        self.jobs.len()
    }

    /// Returns whether a job is admitted and not answered yet.
    pub fn has_job(&self, id: &str) -> bool {
        self.by_id.contains_key(id)
    }

    /// Returns the number of jobs of a queue of which no task has been started.
    pub fn waiting_jobs(&self, queue: &str) -> usize {
        let is_waiting = |job: &&Job| job.queue_config.name.as_ref() == queue && !job.has_begun;
        self.jobs.values().filter(is_waiting).count()
    }

    /// Returns how many times an agent was evaluated as a candidate for a task since the start.
    pub fn evaluated_candidates(&self) -> u64 {
        self.evaluated_candidates
    }

    /// Returns the number of agents that accept work.
    pub fn usable_agents(&self, now: Instant) -> usize {
        let timeout = self.policy.agent_timeout;
        let is_usable = |agent: &&Agent| agent.usable(now, timeout).is_some();
        self.agents.values().filter(is_usable).count()
    }

    /// Admits a job, or returns why it is refused. An admitted job is answered with an
    /// [`Action::Answer`]. Submitting an unanswered job again returns the key of the known job.
    pub fn submit(&mut self, now: Instant, submission: Submission) -> Result<JobKey, Refusal> {
        let Submission {
            spec,
            queue_config,
            caller_timeout,
            caller_seen,
        } = submission;
        let Some(caller_seen) = caller_seen else {
            // It may have submitted the job again, elsewhere.
            return Err(Refusal::CallerLeft);
        };
        if let Some(part) = spec.unsupported(&queue_config) {
            return Err(Refusal::Unsupported(part));
        }
        if let Some(&known) = self.by_id.get(&spec.id) {
            // The job runs once, and both callers are answered.
            self.jobs[known].caller_seen = caller_seen;
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
        let run_time: Duration = critical_path(&spec, &steps);
        let objective = latency_objective(run_time, &queue_config);
        // The timeout of the queue applies to callers that set none.
        let caller_timeout = caller_timeout.or(queue_config.timeout);
        let caller_timeout = caller_timeout.unwrap_or(Duration::from_secs(60));
        let deadline = now + caller_timeout.min(MAX_JOB_TIME);
        let mut job = Job {
            objective,
            due: now + objective,
            useful_until: (now + objective * self.policy.useful_factor).min(deadline),
            deadline,
            caller_seen,
            claims: JobClaims::default(),
            unfinished: steps.iter().map(|step| step.unfinished).sum(),
            steps,
            queued: Vec::new(),
            placed: 0,
            has_begun: false,
            rank: None,
            backlog: None,
            spec,
            queue_config,
        };
        job.open_steps();
        let id = job.spec.id.clone();
        if self.cancelled.contains(now, &id) {
            let key = self.jobs.insert(job);
            self.answer(now, key, Answer::Cancelled);
            return Ok(key);
        }
        let checked = self.check_capacity(now, &mut job, run_time);
        self.count_offered(now, &job, &checked);
        checked?;

        let key = self.jobs.insert(job);
        self.by_id.insert(id, key);
        self.enqueue(now, key);
        self.claim(now, key);
        self.place_queued(now);
        Ok(key)
    }

    /// Drops a job whose caller has disconnected, and cancels its attempts.
    pub fn abandon(&mut self, now: Instant, key: JobKey) {
        if self.jobs.contains_key(key) {
            self.withdraw_backlog(key);
            self.remove(now, key);
            self.place_queued(now);
        }
    }

    /// Registers a new link of an agent, or returns why it is refused.
    pub fn linked(&mut self, now: Instant, hello: AgentHello) -> Result<AgentKey, LinkRefusal> {
        let is_known = |agent: &Agent| agent.incarnation == hello.incarnation;
        let known = self.agents.iter_mut().find(|(_, agent)| is_known(agent));
        let key = match known {
            Some((_, agent)) if agent.name != hello.name => {
                return Err(LinkRefusal::DuplicateIncarnation);
            }
            Some((_, agent)) if hello.sent_ms < agent.hello_ms => {
                return Err(LinkRefusal::Outdated);
            }
            Some((key, agent)) => {
                agent.hello_ms = hello.sent_ms;
                agent.is_linked = true;
                agent.last_report = now;
                // Its first report tells what it holds and whether it accepts work.
                agent.awaits_first_report = true;
                agent.state = None;
                agent.described_after = 0;
                agent.unacknowledged.clear();
                agent.sent_demand = None;
                key
            }
            None => {
                self.last_new_agent = Some(now);
                self.agents.insert(Agent::new(now, hello))
            }
        };
        let agent = &mut self.agents[key];
        agent.is_drained = self.drains.contains(&agent.data_center);
        self.note_arbiters(now);
        self.claim_at_linked(now, key);
        Ok(key)
    }

    /// Handles the end of a link. Attempts at the agent count as running until it links again or is
    /// considered lost.
    pub fn unlinked(&mut self, now: Instant, key: AgentKey) {
        self.note_arbiters(now);
        if let Some(agent) = self.agents.get_mut(key) {
            agent.is_linked = false;
            self.claim_beside(now, key);
        }
    }

    /// Handles a report of an agent.
    pub fn reported(&mut self, now: Instant, key: AgentKey, report: AgentReport) {
        let Some(agent) = self.agents.get_mut(key) else {
            return;
        };
        agent.last_report = now;
        agent.is_claim_unanswered = false;
        agent.acknowledge_orders(report.orders_seen);
        let is_first = agent.awaits_first_report;
        agent.awaits_first_report &= report.held.is_none() && report.state.is_none();
        if let Some(state) = report.state {
            agent.set_state(now, state);
        }
        for ended in &report.ends {
            self.attempt_ended(now, key, ended);
        }
        if let Some(held) = report.held.filter(|_| is_first) {
            self.reconcile(now, key, &held);
        }
        self.place_queued(now);
    }

    /// Returns the sequence number of the next frame to an agent.
    pub fn next_seq(&mut self, key: AgentKey) -> u64 {
        let agent = &mut self.agents[key];
        agent.seq += 1;
        agent.seq
    }

    /// Handles timeouts and places queued tasks.
    pub fn tick(&mut self, now: Instant) {
        self.started.get_or_insert(now);
        self.update_state_interval(now);
        self.update_fast_capacity(now);
        self.judge_interference(now);
        self.settle_lost_agents(now);
        self.update_demand(now);
        self.time_out(now);
        self.refuse_late_jobs(now);
        if self.usable_agents(now) == 0 {
            self.refuse_drained_jobs(now);
        }
        self.refuse_unlabelled_jobs(now);
        self.replace_drained_agents(now);
        self.settle_classes(now);
        self.settle_claims(now);
        self.cancelled.sweep(now);
        self.check_callers(now);
        self.place_queued(now);
    }

    fn time_out(&mut self, now: Instant) {
        let is_expired =
            |(key, job): (JobKey, &Job)| (job.deadline <= now).then_some((key, job.has_begun));
        let expired: Vec<_> = self.jobs.iter().filter_map(is_expired).collect();
        for (key, has_begun) in expired {
            let answer = match has_begun {
                true => Answer::TimedOut,
                false => {
                    let retry_after = self.policy.min_retry_after;
                    self.unbegun_answer(key, Refusal::Overload { retry_after })
                }
            };
            self.answer(now, key, answer);
        }
    }

    /// Returns the answer to a job of which no task was placed and that is refused. If another entry has the
    /// job, it may run.
    fn unbegun_answer(&self, key: JobKey, refusal: Refusal) -> Answer {
        match self.jobs[key].claims.waits_at() {
            Some(_) => Answer::TimedOut,
            None => Answer::NotRun(refusal),
        }
    }

    fn answer(&mut self, now: Instant, key: JobKey, answer: Answer) {
        if let Answer::NotRun(_) = answer {
            assert!(
                !self.jobs[key].has_begun,
                "a job that has begun must not be answered as not run"
            );
        }
        self.remove(now, key);
        self.actions.push(Action::Answer(key, answer));
    }

    /// Removes a job, and cancels its attempts at agents.
    fn remove(&mut self, now: Instant, key: JobKey) {
        let Some(job) = self.jobs.remove(key) else {
            return;
        };
        if let Some(rank) = job.rank {
            self.queue.remove(&rank);
        }
        if self.by_id.get(&job.spec.id) == Some(&key) {
            self.by_id.remove(&job.spec.id);
        }
        let mut attempts = HashSet::new();
        for (step, state) in job.steps.iter().enumerate() {
            for (index, task) in state.tasks.iter().enumerate() {
                let Some(agent_key) = task.at else {
                    continue;
                };
                let placed = (key, step as u32, index as u32);
                if let Some(agent) = self.agents.get_mut(agent_key) {
                    agent.placed.remove(&placed);
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
                attempts.insert((agent_key, task.clone()));
                self.actions
                    .push(Action::Cancel(agent_key, task, CancelCause::JobEnded));
            }
        }
        let until = now + self.policy.agent_lost_after;
        let ending = EndingJob::new(&job.claims, attempts, until);
        self.end_claims(&job.spec.id, ending);
    }
}

/// Returns the time within which a job should be answered.
fn latency_objective(run_time: Duration, queue_config: &QueueConfig) -> Duration {
    let stretched = run_time.as_secs_f64() * queue_config.stretch.max(0.0);
    Duration::try_from_secs_f64(stretched)
        .unwrap_or(MAX_JOB_TIME)
        .saturating_add(queue_config.latency_target)
        .min(MAX_JOB_TIME)
}

/// Returns the expected run time of the longest chain of dependent steps.
fn critical_path(spec: &JobSpec, steps: &[Step]) -> Duration {
    let mut ends: Vec<Duration> = Vec::with_capacity(steps.len());
    for (step, state) in spec.steps.iter().zip(steps) {
        let start = step
            .depends_on
            .iter()
            .map(|&dependency| ends[dependency])
            .max();
        ends.push(start.unwrap_or_default() + state.expected);
    }
    ends.into_iter().max().unwrap_or_default()
}
