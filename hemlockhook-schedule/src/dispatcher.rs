//! Queues the jobs of an entry and places their tasks.

mod running;

use std::collections::{BTreeSet, HashMap};
use std::time::{Duration, Instant};

use hemlockhook_types::{Incarnation, ServiceName, TaskIndex, TeamName};
use slotmap::SlotMap;

use crate::demand::DemandReporter;
use crate::estimate::Estimates;
use crate::queue::{Queue, QueueKey, QueuedWork, VirtualDeadline};
use crate::share::FairShares;
use crate::spec::{
    Demand, Intervention, JobId, JobSpec, Placement, Policy, Rejection, Snapshot, TaskSpec,
    TeamSnapshot, UpstreamSpec,
};
use crate::upstreams::Upstreams;

/// Queues the jobs of one entry and places their tasks under the grants that it holds.
#[derive(Debug)]
pub struct Dispatcher {
    pub(crate) policy: Policy,
    pub(crate) upstreams: Upstreams,
    pub(crate) jobs: SlotMap<JobId, JobState>,
    pub(crate) queue: Queue,
    pub(crate) shares: FairShares,
    pub(crate) estimates: Estimates,
    pub(crate) queued_work: QueuedWork,
    pub(crate) running_long: u32,
    epoch: Option<Instant>,
    /// Time of the latest event, in microseconds since the first event.
    latest_us: u64,
    /// When short work was last submitted, in microseconds since the first event.
    last_short_work_us: u64,
    running: HashMap<(JobId, TaskIndex), RunningTask>,
    deadlines: BTreeSet<(Instant, JobId)>,
    run_time_checks: BTreeSet<(Instant, JobId, TaskIndex)>,
    interventions: Vec<Intervention>,
    demand_reporter: DemandReporter,
}

/// A job that has not been answered yet.
#[derive(Debug)]
pub(crate) struct JobState {
    pub queue_key: QueueKey,
    pub virtual_deadline: VirtualDeadline,
    /// When its last task is expected to end, in microseconds since the first event.
    pub expected_end_us: u64,
    /// Its queued tasks, sorted by expected work in ascending order.
    pub queued: Vec<QueuedTask>,
    deadline: Instant,
}

/// A task that waits to be placed.
#[derive(Clone, Debug)]
pub(crate) struct QueuedTask {
    pub work_secs: f64,
    pub spec: TaskSpec,
}

/// A task that was placed and has not ended.
#[derive(Debug)]
struct RunningTask {
    agent: Incarnation,
    queue_key: QueueKey,
    task: QueuedTask,
    placed_at: Instant,
    check_at: Instant,
    long: bool,
    overdue: bool,
    /// Amount that it adds to its upstream's completion rate.
    completion_rate: u64,
    /// Whether the link to its upstream was lost after the task was placed.
    detached: bool,
}

/// A queued task and the agent to place it at.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Assignment {
    pub agent: Incarnation,
    pub job: JobId,
    /// Position among the job's queued tasks.
    pub position: usize,
}

impl Dispatcher {
    /// Creates the dispatcher of an entry in `data_center`.
    pub fn new(policy: Policy, data_center: &str) -> Self {
        let mut shares = FairShares::default();
        shares.set_weights(&policy.teams);
        Self {
            policy,
            upstreams: Upstreams::new(data_center),
            jobs: SlotMap::with_key(),
            queue: Queue::default(),
            shares,
            estimates: Estimates::default(),
            queued_work: QueuedWork::default(),
            running_long: 0,
            epoch: None,
            latest_us: 0,
            last_short_work_us: 0,
            running: HashMap::new(),
            deadlines: BTreeSet::new(),
            run_time_checks: BTreeSet::new(),
            interventions: Vec::new(),
            demand_reporter: DemandReporter::default(),
        }
    }

    /// Replaces the policy. Queued jobs stay queued.
    pub fn set_policy(&mut self, _now: Instant, policy: Policy) {
        self.shares.set_weights(&policy.teams);
        self.policy = policy;
    }

    /// Adds a newly linked upstream, which has no grants yet, or updates one that is announced
    /// again.
    pub fn add_upstream(&mut self, now: Instant, agent: Incarnation, spec: UpstreamSpec) {
        self.upstreams.add(now, agent, spec);
    }

    /// Removes an upstream whose link is lost, and the grants held for it. The caller ends its
    /// running tasks with `finish_task`, or their jobs with `finish_job`.
    pub fn remove_upstream(&mut self, _now: Instant, agent: Incarnation) {
        self.upstreams.remove(agent);
        self.running
            .values_mut()
            .filter(|r| r.agent == agent)
            .for_each(|r| r.detached = true);
    }

    /// Sets whether an upstream is leaving. No further tasks are placed on a leaving upstream.
    pub fn set_upstream_leaving(&mut self, now: Instant, agent: Incarnation, leaving: bool) {
        self.upstreams
            .update(now, agent, |upstream| upstream.leaving = leaving);
    }

    /// Queues a job, or rejects it if it can't be served.
    pub fn submit(&mut self, now: Instant, spec: JobSpec) -> Result<JobId, Rejection> {
        let mut queued: Vec<QueuedTask> = spec
            .tasks
            .iter()
            .map(|t| self.estimate_task(&spec, t))
            .collect();
        queued.sort_by(|a, b| a.work_secs.total_cmp(&b.work_secs));
        let work_secs: f64 = queued.iter().map(|task| task.work_secs).sum();
        let longest = queued.last().map_or(0.0, |task| task.work_secs);
        let long = longest >= self.policy.long_threshold.as_secs_f64();
        let ideal_us = (longest / self.upstreams.fastest_speed(&spec.service) * 1e6) as u64;
        let slots = self.upstreams.slots();
        // The second term is the time that all upstreams together take for the whole job, so a job
        // of many tasks is due later.
        let span_us = ideal_us + (work_secs / f64::from(slots.max(1)) * 1e6) as u64;
        let now_us = self.micros_since_epoch(now);
        let virtual_start_us = self.shares.virtual_start_us(now_us, &spec.team);
        let virtual_deadline =
            virtual_start_us + span_us * u64::from(self.policy.ageing_percent) / 100;
        self.check_admission(now, &spec, &queued, virtual_deadline)?;
        let queue_key = QueueKey {
            service: spec.service,
            long,
            team: spec.team,
        };
        let charged_secs = if long { 0.0 } else { work_secs };
        if !long {
            self.last_short_work_us = now_us;
        }
        self.shares
            .charge(now_us, &queue_key.team, charged_secs, slots);
        let (tasks, deadline) = (queued.len(), spec.deadline);
        self.shares.count_queued(&queue_key.team, tasks as i64);
        queued
            .iter()
            .for_each(|task| self.queued_work.add(long, virtual_deadline, task.work_secs));
        let expected_end_us = now_us + ideal_us;
        let state = JobState {
            queue_key: queue_key.clone(),
            virtual_deadline,
            expected_end_us,
            queued,
            deadline,
        };
        let job = self.jobs.insert(state);
        if tasks > 0 {
            self.queue.insert(&queue_key, virtual_deadline, job, tasks);
            self.deadlines.insert((deadline, job));
        }
        Ok(job)
    }

    /// Removes the queued tasks of a job. Its running tasks end with `finish_task`.
    pub fn cancel_queued(&mut self, _now: Instant, job: JobId) {
        self.drop_queued(job);
    }

    /// Adds grants received from an agent.
    pub fn add_grants(&mut self, now: Instant, agent: Incarnation, count: u32) {
        self.upstreams.update(now, agent, |upstream| {
            upstream.grants += count;
            upstream.reported_demand.queued = upstream.reported_demand.queued.saturating_sub(count);
        });
    }

    /// Gives up grants that an agent recalls, and returns how many were given up.
    pub fn return_grants(&mut self, now: Instant, agent: Incarnation, count: u32) -> u32 {
        // After a recall the agent considers the reported demand withdrawn, so any that is left has
        // to be reported again.
        self.upstreams.update(now, agent, |upstream| {
            upstream.reported_demand = Demand::default()
        });
        self.upstreams.take_grants(now, agent, count)
    }

    /// Places the next task if there is a suitable grant. Call until it returns `None`.
    pub fn place_next(&mut self, now: Instant) -> Option<Placement> {
        self.check_run_times(now);
        self.upstreams.tick(now);
        let now_us = self.micros_since_epoch(now);
        let Assignment {
            agent,
            job,
            position,
        } = self.select_assignment(now_us)?;
        let state = &mut self.jobs[job];
        let task = state.queued.remove(position);
        let (queue_key, virtual_deadline, last) = (
            state.queue_key.clone(),
            state.virtual_deadline,
            state.queued.is_empty(),
        );
        let run_secs = task.work_secs / self.upstreams.speed(agent);
        state.expected_end_us = state.expected_end_us.max(now_us + (run_secs * 1e6) as u64);
        if last {
            self.deadlines.remove(&(state.deadline, job));
        }
        self.queue
            .remove(&queue_key, virtual_deadline, job, 1, last);
        self.shares.count_queued(&queue_key.team, -1);
        self.queued_work
            .remove(queue_key.long, virtual_deadline, task.work_secs);
        self.shares.count_running(&queue_key.team, 1);
        let index = task.spec.index;
        let long = self.start_running(now, agent, job, queue_key, task, run_secs);
        Some(Placement {
            agent,
            job,
            index,
            long,
        })
    }

    /// Gives up the grants that cannot be used, and returns their number for each agent.
    pub fn take_unusable_grants(&mut self, now: Instant) -> Vec<(Incarnation, u32)> {
        self.upstreams.take_unusable_grants(now)
    }

    /// Records the end of a placed task. A failure is not counted against the upstream if the job
    /// was already answered, since the task may have been stopped on purpose.
    pub fn finish_task(
        &mut self,
        now: Instant,
        agent: Incarnation,
        job: JobId,
        index: TaskIndex,
        run_time: Duration,
        ok: bool,
    ) {
        let Some(running) = self.remove_running(now, job, index) else {
            return;
        };
        let run_secs = run_time.as_secs_f64();
        let service = &running.queue_key.service;
        match ok {
            true => {
                let QueuedTask { work_secs, spec } = &running.task;
                let declared = spec
                    .declared_run_time
                    .map(|run_time| run_time.as_secs_f64());
                let observed_work_secs = run_secs * self.upstreams.speed(agent);
                let has_observations = self.estimates.observations(service, &spec.class) > 0.0;
                self.estimates
                    .observe(service, &spec.class, declared, observed_work_secs);
                self.upstreams.update(now, agent, |upstream| {
                    upstream.record_success(now);
                    if has_observations {
                        upstream.observe_speed(*work_secs, run_secs);
                    }
                });
            }
            false if self.jobs.contains_key(job) => {
                self.upstreams.record_failure(now, agent, service)
            }
            false => self
                .upstreams
                .update(now, agent, |upstream| upstream.discount_placement()),
        }
    }

    /// Removes a placed task whose end says nothing about its upstream: it was not started, or it
    /// was stopped.
    pub fn discard_task(&mut self, now: Instant, agent: Incarnation, job: JobId, index: TaskIndex) {
        if self.remove_running(now, job, index).is_some() {
            self.upstreams
                .update(now, agent, |upstream| upstream.discount_placement());
        }
    }

    /// Queues a task again that the agent refused to start.
    pub fn requeue_task(&mut self, now: Instant, agent: Incarnation, job: JobId, index: TaskIndex) {
        let Some(running) = self.remove_running(now, job, index) else {
            return;
        };
        self.upstreams
            .update(now, agent, |upstream| upstream.discount_placement());
        let Some(state) = self.jobs.get_mut(job) else {
            return;
        };
        let work_secs = running.task.work_secs;
        let position = state
            .queued
            .partition_point(|task| task.work_secs < work_secs);
        state.queued.insert(position, running.task);
        self.queue
            .insert(&state.queue_key, state.virtual_deadline, job, 1);
        self.shares.count_queued(&state.queue_key.team, 1);
        self.queued_work
            .add(state.queue_key.long, state.virtual_deadline, work_secs);
        self.deadlines.insert((state.deadline, job));
    }

    /// Removes a job that was answered. Tasks that still run end with `finish_task`.
    pub fn finish_job(&mut self, job: JobId) {
        self.drop_queued(job);
        self.jobs.remove(job);
    }

    /// Returns the jobs whose deadline has passed while some of their tasks are still queued.
    pub fn expired_jobs(&mut self, now: Instant) -> Vec<JobId> {
        self.deadlines
            .iter()
            .take_while(|(at, _)| *at <= now)
            .map(|(_, job)| *job)
            .collect()
    }

    /// Returns the demand to send: where it changed enough to be worth a message, and where it
    /// costs none because a start goes to the same agent.
    pub fn take_demands(&mut self, now: Instant) -> Vec<(Incarnation, Demand)> {
        let now_us = self.micros_since_epoch(now);
        self.demand_reporter
            .take_demands(now, now_us, &self.queue, &mut self.upstreams)
    }

    /// Returns when the dispatcher must be polled next, if no event comes first.
    pub fn next_wakeup(&self) -> Option<Instant> {
        let deadline = self.deadlines.first().map(|(at, _)| *at);
        let check = self.run_time_checks.first().map(|(at, _, _)| *at);
        [deadline, check, self.upstreams.next_wakeup()]
            .into_iter()
            .flatten()
            .min()
    }

    /// Returns the running tasks that the platform should throttle or checkpoint.
    pub fn take_interventions(&mut self, now: Instant) -> Vec<Intervention> {
        self.check_run_times(now);
        std::mem::take(&mut self.interventions)
    }

    /// Records a peer entry's report of a team's tasks, which counts towards the fair shares.
    pub fn set_peer_usage(
        &mut self,
        peer: Incarnation,
        team: &TeamName,
        running: u32,
        queued: u32,
    ) {
        self.shares.set_peer_usage(peer, team, running, queued);
    }

    /// Removes the reports of a peer entry that is gone.
    pub fn remove_peer(&mut self, peer: Incarnation) {
        self.shares.remove_peer(peer);
    }

    /// Returns the dispatcher's state for status reports.
    pub fn snapshot(&self) -> Snapshot {
        let mut services: Vec<(ServiceName, u32)> = Vec::new();
        for (key, sub_queue) in self.queue.sub_queues() {
            match services.last_mut() {
                Some((service, queued)) if *service == key.service => {
                    *queued += sub_queue.tasks() as u32
                }
                _ => services.push((key.service.clone(), sub_queue.tasks() as u32)),
            }
        }
        let local = self.shares.local_usage();
        let teams = local.map(|(team, running, queued)| TeamSnapshot {
            team: team.clone(),
            queued,
            running,
        });
        let mut teams: Vec<TeamSnapshot> = teams.collect();
        teams.sort_by(|a, b| a.team.cmp(&b.team));
        Snapshot {
            services,
            teams,
            upstreams: self.upstreams.snapshots(),
        }
    }

    fn micros_since_epoch(&mut self, now: Instant) -> u64 {
        let epoch = *self.epoch.get_or_insert(now);
        self.latest_us = now.saturating_duration_since(epoch).as_micros() as u64;
        self.latest_us
    }

    fn estimate_task(&self, spec: &JobSpec, task: &TaskSpec) -> QueuedTask {
        let declared = task
            .declared_run_time
            .map(|run_time| run_time.as_secs_f64());
        let work_secs = self
            .estimates
            .expected_work_secs(&spec.service, &task.class, declared);
        QueuedTask {
            work_secs,
            spec: task.clone(),
        }
    }

    fn drop_queued(&mut self, job: JobId) {
        let Some(state) = self
            .jobs
            .get_mut(job)
            .filter(|state| !state.queued.is_empty())
        else {
            return;
        };
        let dropped = std::mem::take(&mut state.queued);
        let work_secs = dropped.iter().map(|task| task.work_secs).sum();
        if !state.queue_key.long {
            self.shares
                .refund(&state.queue_key.team, work_secs, self.upstreams.slots());
        }
        let (queue_key, virtual_deadline) = (state.queue_key.clone(), state.virtual_deadline);
        self.deadlines.remove(&(state.deadline, job));
        self.queue
            .remove(&queue_key, virtual_deadline, job, dropped.len(), true);
        self.shares
            .count_queued(&queue_key.team, -(dropped.len() as i64));
        dropped.iter().for_each(|task| {
            self.queued_work
                .remove(queue_key.long, virtual_deadline, task.work_secs)
        });
    }
}
