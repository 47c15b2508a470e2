//! Admission of jobs by the shares of their classes, and the return of refused callers.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use super::{DISPATCH_OVERHEAD, Dispatcher};
use crate::entry::agents::Agent;
use crate::entry::classes::{ClassLoad, Classes};
use crate::entry::job::{Backlog, Job, Task};
use crate::entry::returns::{Outlook, RefusedJob, Returns};
use crate::entry::throughput::Throughput;
use crate::entry::{JobKey, Refusal};

/// Factor on the expected run time of a job that is admitted: its slowest task, and the wait at an
/// upstream, make it longer. In trials of the replayed peak in tests/dispatcher/overload.rs a small entry
/// served 52, 53 and 50% of the callers in time with 1.2, 1.3 and 1.4, and a large one 55, 56 and 58%.
const RUN_TIME_FACTOR: f64 = 1.3;

/// Time in which the capacity of a class serves what it was admitted beyond it, at which no more of its
/// jobs are queued. Up to it, the wait that they are admitted with falls in proportion, so that a
/// flood leaves the queue short for the other classes. With 0.2 s instead of 0.5 s, fewer short jobs
/// are answered in time at a peak (44% and 48%), but more of the others in a flood of short ones (70%
/// and 59%).
const MAX_EXCESS: Duration = Duration::from_millis(400);

/// Multiple of the time for which its answer is useful that the work of a job may take on all upstreams.
/// Expected run times are off by up to a half.
const MAX_WORK_FACTOR: f64 = 1.5;

/// Part of its objective that a job may wait even if its run time takes up all of it.
const MIN_WAIT_PART: f64 = 0.1;

/// The classes and the returning callers of each service.
#[derive(Debug, Default)]
pub(super) struct Overload {
    services: BTreeMap<Arc<str>, ServiceOverload>,
    /// Class of the job that was refused last.
    refused: Option<ClassLoad>,
}

#[derive(Debug, Default)]
struct ServiceOverload {
    classes: Classes,
    returns: Returns,
    /// Nominal rate, in core-seconds per second.
    rate: f64,
    throughput: Throughput,
}

/// Free capacity for the first tasks of a job, in thousandths of a core.
#[derive(Clone, Copy, Debug, Default)]
struct FreeRoom {
    /// At agents to which tasks can be sent now.
    now: u64,
    /// At agents whose orders are paused for some milliseconds, or that have to be woken.
    soon: u64,
}

impl Dispatcher {
    /// Returns the load of the class of the job that was refused last for overload.
    pub fn refused_class(&self) -> Option<&ClassLoad> {
        self.overload.refused.as_ref()
    }

    /// Takes the classes that went over their share, or are back within it.
    pub fn take_class_changes(&mut self) -> Vec<ClassLoad> {
        let services = self.overload.services.values_mut();
        services
            .flat_map(|service| service.classes.take_changes())
            .collect()
    }

    /// Returns the work of refused jobs that is expected to return, in core-seconds.
    pub fn booked_returns(&self) -> f64 {
        let services = self.overload.services.values();
        services.map(|service| service.returns.total()).sum()
    }

    /// Refuses a job whose work all upstreams together can't do while its answer is useful. It does not
    /// count as demand of its class, whose share it would use up without ever being answered.
    pub(super) fn check_work(&self, now: Instant, job: &Job) -> Result<(), Refusal> {
        let timeout = self.policy.agent_timeout;
        let states = self.agents.values();
        let states = states.filter_map(|agent| agent.usable(now, timeout));
        let states = states.filter(|state| state.service == job.queue_config.service);
        let rate: f64 = states
            .map(|state| state.capacity.cpu as f64 / 1000.0 / state.pace)
            .sum();
        let useful_for = job.useful_until.saturating_duration_since(now);
        let limit = rate * useful_for.as_secs_f64() * MAX_WORK_FACTOR;
        match work_of(job, |step| job.steps[step].expected) > limit {
            true => Err(Refusal::TooMuchWork {
                retry_after: self.policy.max_retry_after,
            }),
            false => Ok(()),
        }
    }

    /// Refuses a job that can't be expected to be answered in time by the backlog and the share of its
    /// class, unless it can start at once.
    pub(super) fn check_class(
        &mut self,
        now: Instant,
        job: &mut Job,
        run_time: Duration,
    ) -> Result<(), Refusal> {
        let free = self.free_room(now, job);
        let mut load = self.load(now, job);
        let start_by = self.rank(now, job, JobKey::default()).start_by;
        let offset = match start_by.checked_duration_since(now) {
            Some(left) => left.as_secs_f64(),
            None => -now.saturating_duration_since(start_by).as_secs_f64(),
        };
        let can_start = self.can_start(job, free);
        let work = work_of(job, |step| job.steps[step].expected);
        let declared = work_of(job, |step| job.spec.steps[step].declared_run_time);
        let name = &job.queue_config.service;
        let service = self.overload.services.entry(name.clone()).or_default();
        let rate = service.throughput.rate(load.rate);
        load.rate = rate;
        service.rate = rate;
        let queue = &job.queue_config.name;
        let class = service.classes.arrived(now, queue, declared, work, rate);
        let wait = load.wait();
        let wait = service
            .classes
            .wait_with_arrivals(now, &class, wait, offset);

        let run_time = run_time.mul_f64(RUN_TIME_FACTOR) + DISPATCH_OVERHEAD;
        let min_slack = job.objective.mul_f64(MIN_WAIT_PART);
        let slack = job.objective.saturating_sub(run_time).max(min_slack);
        let excess = service.classes.excess(now, &class);
        let used = excess.as_secs_f64() / MAX_EXCESS.as_secs_f64();
        let limit = slack.mul_f64((1.0 - used).clamp(0.0, 1.0));
        if can_start || wait <= limit {
            let cores: u64 = first_needs(job).sum();
            let waiting = cores.saturating_sub(free.now + free.soon) as f64 / cores.max(1) as f64;
            let queued = work * waiting;
            service.classes.admitted(now, &class, work, queued);
            job.backlog = Some(Backlog {
                class,
                work: queued,
            });
            return Ok(());
        }
        self.overload.refused = service.classes.load(now, &class);
        let refused = self.refused_job(now, job);
        let retry_after = self.book(now, name, refused);
        Err(Refusal::Overload { retry_after })
    }

    /// Takes the work of a job whose callers have left out of the backlog of its class, as far as it was not
    /// placed. Else others of the class would be refused for work that is not done.
    pub(super) fn withdraw_backlog(&mut self, key: JobKey) {
        let Some(job) = self.jobs.get(key) else {
            return;
        };
        let Some(backlog) = &job.backlog else {
            return;
        };
        let is_left = |task: &&Task| !task.is_done && task.at.is_none();
        let left = job.spec.steps.iter().zip(&job.steps).map(|(spec, step)| {
            let tasks = step.tasks.iter().filter(is_left).count() as f64;
            tasks * spec.need.cpu as f64 / 1000.0 * step.expected.as_secs_f64()
        });
        let work = backlog.work.min(left.sum());
        if let Some(service) = self.overload.services.get_mut(&job.queue_config.service) {
            service.classes.withdrawn(&backlog.class, work);
        }
    }

    /// Records whether claimed work is still queued after a placement round.
    pub(super) fn note_placement(&mut self, now: Instant, is_saturated: bool) {
        for service in self.overload.services.values_mut() {
            service.throughput.placed(now, is_saturated);
        }
    }

    /// Counts the work of a task that was placed.
    pub(super) fn note_started(&mut self, service: &str, work: f64) {
        if let Some(service) = self.overload.services.get_mut(service) {
            service.throughput.started(work);
        }
    }

    fn refused_job(&self, now: Instant, job: &Job) -> RefusedJob {
        let run_time = job.remaining_run_time().mul_f64(RUN_TIME_FACTOR);
        let useful_for = job.useful_until.saturating_duration_since(now);
        // A caller that leaves before its answer is not served.
        let left = job.deadline.saturating_duration_since(now);
        let latest = left.saturating_sub(run_time * 2);
        let (min, max) = (self.policy.min_retry_after, self.policy.max_retry_after);
        RefusedJob {
            work: work_of(job, |step| job.steps[step].expected),
            useful_for: useful_for.saturating_sub(run_time),
            limits: (min, max.min(latest)),
        }
    }

    /// Books the return of a refused job, and returns its retry delay.
    fn book(&mut self, now: Instant, service: &Arc<str>, refused: RefusedJob) -> Duration {
        let service = self.overload.services.entry(service.clone()).or_default();
        let (demand, present_demand) = service.classes.total_demand(now);
        let outlook = Outlook {
            rate: service.rate,
            demand,
            present_demand,
        };
        service.returns.book(now, refused, outlook)
    }

    /// Books the return of an admitted job that is refused because it can't be answered in time, and
    /// returns its retry delay.
    pub(super) fn book_late_return(&mut self, now: Instant, key: JobKey) -> Duration {
        let Some(job) = self.jobs.get(key) else {
            return self.policy.min_retry_after;
        };
        let refused = self.refused_job(now, job);
        self.book(now, &job.queue_config.service.clone(), refused)
    }

    /// Adapts the backlogs of the classes to the work that is queued.
    pub(super) fn settle_classes(&mut self, now: Instant) {
        if !self.policy.is_admission_by_class {
            return;
        }
        let queue = self.queue.iter();
        let queued: BTreeSet<_> = queue
            .map(|rank| &self.jobs[rank.job].queue_config.service)
            .collect();
        for (name, service) in &mut self.overload.services {
            service.classes.settle(now, !queued.contains(name));
        }
    }

    /// Returns whether free capacity is left for a job beside those that are queued.
    fn can_start(&self, job: &Job, free: FreeRoom) -> bool {
        if free.now + free.soon == 0 {
            return false;
        }
        // What is claimed and still queued has found no room at the agents that accept tasks now.
        let mut unclaimed = 0;
        let mut queued = 0;
        for rank in &self.queue {
            let other = &self.jobs[rank.job];
            if other.queue_config.service != job.queue_config.service {
                continue;
            }
            let needs = other.queued.iter();
            let cores: u64 = needs
                .map(|&(step, _)| other.spec.steps[step as usize].need.cpu)
                .sum();
            queued += cores;
            if !other.claims.is_held {
                unclaimed += cores;
            }
            if unclaimed >= free.now && queued >= free.now + free.soon {
                return false;
            }
        }
        true
    }

    /// Returns the free capacity of the upstreams that have room for a first task of a job.
    fn free_room(&self, now: Instant, job: &Job) -> FreeRoom {
        let timeout = self.policy.agent_timeout;
        let mut room = FreeRoom::default();
        for agent in self.agents.values() {
            let free = agent.free();
            let percent = self.policy.waiting_percent;
            if !can_run_first(agent, job, percent) {
                continue;
            }
            match agent.usable(now, timeout) {
                Some(_) if !agent.is_paused(now) => room.now += free.cpu,
                Some(_) => room.soon += free.cpu,
                None if agent.is_standing_by(now, timeout) => room.soon += free.cpu,
                None => {}
            }
        }
        room
    }
}

/// Returns whether the last known free capacity of an agent's upstream is enough for a first task of a
/// job, and the agent accepts orders. While more orders wait there than it accepts, the room is kept for
/// the first of them.
fn can_run_first(agent: &Agent, job: &Job, waiting_percent: usize) -> bool {
    let Some(state) = agent.state.as_ref().filter(|state| state.is_usable) else {
        return false;
    };
    let free = agent.free();
    let waiting = agent.waiting();
    let mut first = job.spec.steps.iter().zip(&job.steps);
    state.service == job.queue_config.service
        && first.any(|(spec, step)| {
            let has = |label: &Arc<str>| state.labels.contains(label);
            let slots = (state.capacity.cpu / spec.need.cpu.max(1)).max(1) as usize;
            step.is_open
                && spec.need.fits(&free)
                && waiting < (slots * waiting_percent / 100).max(1)
                && spec.required_label.as_ref().is_none_or(has)
        })
}

/// Returns the processor requirements of the tasks that are ready, in thousandths of a core.
fn first_needs(job: &Job) -> impl Iterator<Item = u64> {
    let needs = job.queued.iter();
    needs.map(|&(step, _)| job.spec.steps[step as usize].need.cpu)
}

/// Returns the work of a job in core-seconds, with the given run times of its steps' tasks.
fn work_of(job: &Job, run_time: impl Fn(usize) -> Duration) -> f64 {
    let steps = job.spec.steps.iter().enumerate();
    let work = steps.map(|(index, step)| {
        let cores = step.need.cpu as f64 / 1000.0;
        f64::from(step.tasks) * cores * run_time(index).as_secs_f64()
    });
    work.sum()
}
