//! Queueing jobs at an entry and placing their tasks on grants.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::{Duration, Instant};

use hemlockhook_types::{Incarnation, Reason, ServiceName, TaskIndex, TeamName};
use slotmap::SlotMap;

use crate::spec::{
    Demand, Intervention, JobId, JobSpec, Placement, Policy, Rejection, Snapshot, TaskSpec,
    TeamSnapshot, UpstreamHealth, UpstreamSnapshot, UpstreamSpec,
};

/// Queues the jobs of one entry and places their tasks on the grants that it holds.
#[derive(Debug)]
pub struct Dispatcher {
    policy: Policy,
    data_center: Arc<str>,
    upstreams: BTreeMap<Incarnation, Upstream>,
    jobs: SlotMap<JobId, JobState>,
    queues: HashMap<ServiceName, BTreeSet<(u64, JobId)>>,
    deadlines: BTreeSet<(Instant, JobId)>,
    running: HashMap<(JobId, TaskIndex), Incarnation>,
    queued: usize,
    next_order: u64,
}

#[derive(Debug)]
struct Upstream {
    spec: UpstreamSpec,
    grants: u32,
    running: u32,
    leaving: bool,
    told: Demand,
}

#[derive(Debug)]
struct JobState {
    spec: JobSpec,
    order: u64,
    queued: Vec<TaskSpec>,
}

impl Dispatcher {
    /// Creates the dispatcher of an entry in `data_center`.
    pub fn new(policy: Policy, data_center: &str) -> Self {
        Self {
            policy,
            data_center: data_center.into(),
            upstreams: BTreeMap::new(),
            jobs: SlotMap::with_key(),
            queues: HashMap::new(),
            deadlines: BTreeSet::new(),
            running: HashMap::new(),
            queued: 0,
            next_order: 0,
        }
    }

    /// Puts other rules in force. What is queued stays queued.
    pub fn set_policy(&mut self, _now: Instant, policy: Policy) {
        self.policy = policy;
    }

    /// Adds an upstream whose agent is linked; no grants are held for it yet.
    pub fn upstream_up(&mut self, _now: Instant, agent: Incarnation, spec: UpstreamSpec) {
        let upstream = Upstream {
            spec,
            grants: 0,
            running: 0,
            leaving: false,
            told: Demand::default(),
        };
        self.upstreams.insert(agent, upstream);
    }

    /// Removes an upstream whose link is lost, with the grants held for it.
    pub fn upstream_down(&mut self, _now: Instant, agent: Incarnation) {
        self.upstreams.remove(&agent);
    }

    /// Sets whether an upstream is leaving: it is given nothing more.
    pub fn upstream_leaving(&mut self, _now: Instant, agent: Incarnation, leaving: bool) {
        if let Some(upstream) = self.upstreams.get_mut(&agent) {
            upstream.leaving = leaving;
        }
    }

    /// Takes a job into the queue.
    pub fn submit(&mut self, now: Instant, spec: JobSpec) -> Result<JobId, Rejection> {
        self.check(now, &spec)?;
        let order = self.next_order;
        self.next_order += 1;
        let queued: Vec<TaskSpec> = spec.tasks.iter().rev().cloned().collect();
        let (service, deadline) = (spec.service.clone(), spec.deadline);
        self.queued += queued.len();
        let empty = queued.is_empty();
        let job = self.jobs.insert(JobState {
            spec,
            order,
            queued,
        });
        if !empty {
            self.queues.entry(service).or_default().insert((order, job));
            self.deadlines.insert((deadline, job));
        }
        Ok(job)
    }

    /// Drops what is queued of a job. Tasks that run end through `ended`.
    pub fn cancel(&mut self, _now: Instant, job: JobId) {
        self.drop_queued(job);
    }

    /// Takes grants from an agent.
    pub fn granted(&mut self, _now: Instant, agent: Incarnation, count: u32) {
        if let Some(upstream) = self.upstreams.get_mut(&agent) {
            upstream.grants += count;
        }
    }

    /// Gives up grants that an agent asks back, and returns how many.
    pub fn recalled(&mut self, _now: Instant, agent: Incarnation, count: u32) -> u32 {
        let Some(upstream) = self.upstreams.get_mut(&agent) else {
            return 0;
        };
        let count = count.min(upstream.grants);
        upstream.grants -= count;
        count
    }

    /// Places the next task, if a grant suits one. Call until it returns `None`.
    pub fn next(&mut self, _now: Instant) -> Option<Placement> {
        let (agent, job) = self.choose()?;
        let upstream = self
            .upstreams
            .get_mut(&agent)
            .expect("the upstream was just chosen");
        upstream.grants -= 1;
        upstream.running += 1;
        let state = &mut self.jobs[job];
        let task = state.queued.pop().expect("a job in the queue has a task");
        self.queued -= 1;
        self.running.insert((job, task.index), agent);
        if state.queued.is_empty() {
            self.drop_queued(job);
        }
        let long = task
            .declared
            .is_some_and(|declared| declared >= self.policy.long_threshold);
        Some(Placement {
            agent,
            job,
            index: task.index,
            long,
        })
    }

    /// Takes the grants that are to be handed back now.
    pub fn unused(&mut self, _now: Instant) -> Vec<(Incarnation, u32)> {
        let leaving = self
            .upstreams
            .iter_mut()
            .filter(|(_, u)| u.leaving && u.grants > 0);
        leaving
            .map(|(agent, u)| (*agent, std::mem::take(&mut u.grants)))
            .collect()
    }

    /// Notes the end of a task that was placed.
    pub fn ended(
        &mut self,
        _now: Instant,
        agent: Incarnation,
        job: JobId,
        index: TaskIndex,
        _run_time: Duration,
        _ok: bool,
    ) {
        self.forget_running(agent, job, index);
    }

    /// Puts a task that the agent refused to start back into the queue.
    pub fn refused(&mut self, _now: Instant, agent: Incarnation, job: JobId, index: TaskIndex) {
        self.forget_running(agent, job, index);
        let Some(state) = self.jobs.get_mut(job) else {
            return;
        };
        let Some(task) = state.spec.tasks.iter().find(|task| task.index == index) else {
            return;
        };
        state.queued.push(task.clone());
        self.queued += 1;
        let service = state.spec.service.clone();
        self.queues
            .entry(service)
            .or_default()
            .insert((state.order, job));
        self.deadlines.insert((state.spec.deadline, job));
    }

    /// Forgets a job that was answered. Tasks that still run end through `ended`.
    pub fn finish_job(&mut self, job: JobId) {
        self.drop_queued(job);
        self.jobs.remove(job);
    }

    /// Returns the jobs whose deadline passed while something of them is still queued.
    pub fn expired(&mut self, now: Instant) -> Vec<JobId> {
        self.deadlines
            .iter()
            .take_while(|(at, _)| *at <= now)
            .map(|(_, job)| *job)
            .collect()
    }

    /// Returns the backlogs that changed enough to be told.
    pub fn demands(&mut self, _now: Instant) -> Vec<(Incarnation, Demand)> {
        let mut changed = Vec::new();
        for (agent, upstream) in &mut self.upstreams {
            let mut demand = Demand::default();
            let queues = upstream
                .spec
                .services
                .iter()
                .filter_map(|s| self.queues.get(s));
            for (order, job) in queues.flatten() {
                demand.queued += self.jobs[*job].queued.len() as u32;
                demand.head_urgency = demand.head_urgency.min(*order);
            }
            if demand != upstream.told {
                upstream.told = demand;
                changed.push((*agent, demand));
            }
        }
        changed
    }

    /// Returns when something is due, if no event comes first.
    pub fn next_wakeup(&self) -> Option<Instant> {
        self.deadlines.first().map(|(at, _)| *at)
    }

    /// Returns running tasks that the platform should throttle or checkpoint.
    pub fn interventions(&mut self, _now: Instant) -> Vec<Intervention> {
        Vec::new()
    }

    /// Takes a peer entry's report of a team's work, for the fair shares.
    pub fn set_peer_usage(
        &mut self,
        _peer: Incarnation,
        _team: &TeamName,
        _running: u32,
        _queued: u32,
    ) {
    }

    /// Returns the state for status reports.
    pub fn snapshot(&self) -> Snapshot {
        let mut teams: BTreeMap<TeamName, (u32, u32)> = BTreeMap::new();
        let mut services: BTreeMap<ServiceName, u32> = BTreeMap::new();
        for state in self.jobs.values() {
            let queued = state.queued.len() as u32;
            teams.entry(state.spec.team.clone()).or_default().0 += queued;
            *services.entry(state.spec.service.clone()).or_default() += queued;
        }
        for (job, _) in self.running.keys() {
            if let Some(state) = self.jobs.get(*job) {
                teams.entry(state.spec.team.clone()).or_default().1 += 1;
            }
        }
        let teams = teams.into_iter();
        Snapshot {
            services: services.into_iter().collect(),
            teams: teams
                .map(|(team, (queued, running))| TeamSnapshot {
                    team,
                    queued,
                    running,
                })
                .collect(),
            upstreams: self
                .upstreams
                .iter()
                .map(|(agent, u)| u.snapshot(*agent))
                .collect(),
        }
    }

    fn check(&self, now: Instant, spec: &JobSpec) -> Result<(), Rejection> {
        let reject = |reason, detail: String| {
            Err(Rejection {
                reason,
                detail,
                retry_after: None,
            })
        };
        let Policy {
            teams,
            services,
            max_queued,
            ..
        } = &self.policy;
        match () {
            () if !teams.is_empty() && !teams.iter().any(|(team, _)| *team == spec.team) => reject(
                Reason::NoSuchTeam,
                format!("the inventory has no team {}", spec.team),
            ),
            () if !services.is_empty() && !services.contains(&spec.service) => reject(
                Reason::NoSuchService,
                format!("the inventory has no service {}", spec.service),
            ),
            () if !self
                .upstreams
                .values()
                .any(|u| u.spec.services.contains(&spec.service)) =>
            {
                reject(
                    Reason::NoUpstream,
                    format!("no upstream runs the service {}", spec.service),
                )
            }
            () if spec.deadline <= now => {
                reject(Reason::Deadline, "the deadline has passed".into())
            }
            () if self.queued + spec.tasks.len() > *max_queued => reject(
                Reason::Overloaded,
                format!("{} tasks are queued", self.queued),
            ),
            () => Ok(()),
        }
    }

    fn choose(&self) -> Option<(Incarnation, JobId)> {
        let heads = self
            .queues
            .iter()
            .filter_map(|(s, queue)| queue.first().map(|(o, j)| (o, s, j)));
        let mut heads: Vec<_> = heads.collect();
        heads.sort_unstable();
        heads.into_iter().find_map(|(_, service, job)| {
            let free = self.upstreams.iter().filter(|(_, u)| u.can_run(service));
            let best =
                free.max_by_key(|(_, u)| (u.grants, u.spec.data_center == self.data_center))?;
            Some((*best.0, *job))
        })
    }

    fn drop_queued(&mut self, job: JobId) {
        let Some(state) = self.jobs.get_mut(job) else {
            return;
        };
        self.queued -= state.queued.len();
        state.queued.clear();
        self.deadlines.remove(&(state.spec.deadline, job));
        if let Some(queue) = self.queues.get_mut(&state.spec.service) {
            queue.remove(&(state.order, job));
        }
    }

    fn forget_running(&mut self, agent: Incarnation, job: JobId, index: TaskIndex) {
        let known = self.running.remove(&(job, index)).is_some();
        match self.upstreams.get_mut(&agent) {
            Some(upstream) if known => upstream.running = upstream.running.saturating_sub(1),
            _ => {}
        }
    }
}

impl Upstream {
    fn can_run(&self, service: &ServiceName) -> bool {
        self.grants > 0 && !self.leaving && self.spec.services.contains(service)
    }

    fn snapshot(&self, agent: Incarnation) -> UpstreamSnapshot {
        UpstreamSnapshot {
            agent,
            name: self.spec.name.clone(),
            health: if self.leaving {
                UpstreamHealth::Leaving
            } else {
                UpstreamHealth::Healthy
            },
            speed: 1.0,
            grants: self.grants,
            running: self.running,
        }
    }
}
