//! The job queue, and the placement of queued tasks.

use std::sync::Arc;
use std::time::{Duration, Instant};

use super::capacity::add_queued;
use super::{Action, DISPATCH_OVERHEAD, Dispatcher, Order};
use crate::agent::RunOrder;
use crate::entry::admission::Load;
use crate::entry::agents::SentOrder;
use crate::entry::job::{Job, Rank, Task};
use crate::entry::offers::{Offer, Offers};
use crate::entry::placement::{Candidate, choose_upstream};
use crate::entry::{AgentKey, JobKey, PlacementRule, Refusal};
use crate::{TaskId, TaskRef};

/// Class of jobs that can still meet their objective, or that have begun.
const CLASS_ON_TIME: u32 = 0;

/// Class of jobs that are late and have not begun.
const CLASS_LATE: u32 = 1;

/// Number of jobs that wait for their claims after which a placement round ends.
const MAX_UNCLAIMED: usize = 256;

/// Number of priority levels that delay a job; those beyond count as the last one.
const MAX_PRIORITY_LEVELS: u32 = 4;

/// Factor on the remaining run time of a job in the latest start by which the queue is ordered: its
/// tasks may be placed on a slow upstream.
const SLOW_UPSTREAM_FACTOR: f64 = 1.8;

impl Dispatcher {
    /// Returns the rank of a job in the queue.
    ///
    /// At peak load more work is due than can be completed. Jobs that have begun are finished
    /// before any late job is begun, so that completed work is not wasted.
    pub(super) fn rank(&self, now: Instant, job: &Job, key: JobKey) -> Rank {
        let latest_start = job.due.checked_sub(job.remaining_run_time()).unwrap_or(now);
        let safe_start = job
            .due
            .checked_sub(job.remaining_run_time().mul_f64(SLOW_UPSTREAM_FACTOR));
        let class = match latest_start >= now || job.has_begun {
            true => CLASS_ON_TIME,
            false => CLASS_LATE,
        };
        Rank {
            class,
            start_by: safe_start.unwrap_or(latest_start) + self.priority_delay(job),
            job: key,
        }
    }

    /// Returns the time by which a job is delayed in the queue because of its priority.
    ///
    /// In a flood of jobs with long objectives, hundreds of them wait for longer than a short job
    /// may take. So the delay is a part of the objective.
    fn priority_delay(&self, job: &Job) -> Duration {
        let levels = f64::from(job.queue_config.priority.min(MAX_PRIORITY_LEVELS));
        job.objective.mul_f64(self.policy.priority_delay * levels)
    }

    pub(super) fn enqueue(&mut self, now: Instant, key: JobKey) {
        let rank = self.rank(now, &self.jobs[key], key);
        let job = &mut self.jobs[key];
        if let Some(old) = job.rank.take() {
            self.queue.remove(&old);
        }
        if !job.queued.is_empty() {
            job.rank = Some(rank);
            self.queue.insert(rank);
        }
    }

    /// Places queued tasks in queue order, as far as agents can accept them.
    pub(super) fn place_queued(&mut self, now: Instant) {
        if self.is_leaving {
            self.refuse_unbegun(now);
        }
        if !self.is_placement_due() {
            self.note_placement(now, false);
            return;
        }
        self.place_round(now);
        let is_saturated = self.is_placement_due();
        self.note_placement(now, is_saturated);
        if is_saturated {
            self.wake_standby_agents(now);
        }
    }

    /// Returns whether a queued job is claimed, so that its tasks may be placed.
    fn is_placement_due(&self) -> bool {
        let mut queued = self.queue.iter().take(MAX_UNCLAIMED);
        queued.any(|rank| self.jobs[rank.job].claims.is_held)
    }

    fn place_round(&mut self, now: Instant) {
        let mut offers = Offers::new(&self.agents, now, self.policy.agent_timeout);
        let mut blocked = 0;
        let mut unclaimed = 0;
        let mut after: Option<Rank> = None;
        while blocked < self.policy.look_ahead && unclaimed < MAX_UNCLAIMED {
            let next = match after {
                None => self.queue.first(),
                Some(rank) => self.queue.range(rank..).find(|&&next| next > rank),
            };
            let Some(&rank) = next else {
                return;
            };
            after = Some(rank);
            let key = rank.job;
            if self.rank(now, &self.jobs[key], key).class != rank.class {
                // The job can no longer be in time, and is moved behind those that can.
                self.enqueue(now, key);
                continue;
            }
            if !self.jobs[key].claims.is_held {
                unclaimed += 1;
                continue;
            }
            if !self.is_caller_known(now, &self.jobs[key]) {
                self.actions.push(Action::CheckCaller(key));
                blocked += 1;
                continue;
            }
            while let Some(&position) = self.jobs[key].queued.last() {
                let Some(agent) = self.find_agent(now, &mut offers, key, position) else {
                    blocked += 1;
                    break;
                };
                self.jobs[key].queued.pop();
                self.place_task(now, key, position, agent);
                let job = &self.jobs[key];
                let step = position.0 as usize;
                let cores = job.spec.steps[step].need.cpu as f64 / 1000.0;
                let work = cores * job.steps[step].expected.as_secs_f64();
                let service = job.queue_config.service.clone();
                self.note_started(&service, work);
                offers.ordered(agent, &self.agents[agent]);
            }
            if self.jobs[key].queued.is_empty() {
                self.jobs[key].rank = None;
                self.queue.remove(&rank);
            }
        }
    }

    fn find_agent(
        &mut self,
        now: Instant,
        offers: &mut Offers,
        key: JobKey,
        (step, index): (u32, u32),
    ) -> Option<AgentKey> {
        let job = &self.jobs[key];
        let spec = &job.spec.steps[step as usize];
        let state = &job.steps[step as usize];
        let task = &state.tasks[index as usize];
        if offers.is_full(&job.queue_config.service, &spec.need) {
            return None;
        }
        let mut candidates = Vec::new();
        for offer in offers.iter() {
            self.evaluated_candidates += 1;
            let agent_key = offer.key;
            let agent = &self.agents[agent_key];
            let Some(upstream) = &agent.state else {
                continue;
            };
            let has = |label: &Arc<str>| upstream.labels.contains(label);
            let count = || {
                let is_here = |task: &&Task| task.at == Some(agent_key);
                state.tasks.iter().filter(is_here).count() as u32
            };
            let is_fit = upstream.service == job.queue_config.service
                && spec.required_label.as_ref().is_none_or(has)
                && spec.max_per_upstream.is_none_or(|max| count() < max)
                && spec.need.fits(&upstream.capacity);
            if !is_fit {
                continue;
            }
            let is_far = spec
                .preferred_label
                .as_ref()
                .is_some_and(|label| !has(label));
            let distance = if is_far {
                self.policy.distance_factor
            } else {
                1.0
            };
            let run_time = state.expected.mul_f64(upstream.pace * distance);
            let slots = (upstream.capacity.cpu / spec.need.cpu.max(1)).max(1) as usize;
            let Offer { free, waiting, .. } = *offer;
            let wait = match spec.need.fits(&free) && waiting == 0 {
                true => Duration::ZERO,
                false if waiting >= (slots * self.policy.waiting_percent / 100).max(1) => continue,
                false => run_time.mul_f64((waiting + 1) as f64 / slots as f64),
            };
            candidates.push(Candidate {
                key: agent_key,
                run_time,
                wait,
                is_far,
                is_near: agent.data_center == self.policy.data_center,
                free_fraction: free.cpu as f64 / upstream.capacity.cpu.max(1) as f64,
            });
        }
        let is_bound = spec.required_label.is_some() || spec.max_per_upstream.is_some();
        if candidates.is_empty() && !is_bound {
            offers.set_full(&job.queue_config.service, spec.need);
        }
        // Agents at which the task failed or was lost before are used only if there is no other.
        if candidates
            .iter()
            .any(|other| !task.avoid.contains(&other.key))
        {
            candidates.retain(|other| !task.avoid.contains(&other.key));
        }
        let slack = job.due.saturating_duration_since(now + DISPATCH_OVERHEAD);
        let chosen = match self.policy.placement {
            PlacementRule::ByMean => choose_upstream(&candidates, slack, state.tasks.len()),
            PlacementRule::ByRunTimes => self.choose_timely(now, job, step, &candidates),
        }?;
        Some(self.least_disturbed(key, &candidates, chosen))
    }

    fn place_task(&mut self, now: Instant, key: JobKey, position: (u32, u32), agent_key: AgentKey) {
        let rank = self.rank(now, &self.jobs[key], key);
        let distance = self.learned_distance(key, position.0, agent_key);
        let kind = self.task_kind(key);
        self.note_demand(key, position.0);
        let job = &mut self.jobs[key];
        let task = job.task(position).expect("a queued task exists");
        assert!(
            task.at.is_none(),
            "a task must not be at two agents at once"
        );
        assert!(!task.is_done, "a task that succeeded must not be run again");
        self.attempts += 1;
        let attempt = self.attempts;
        task.attempt = attempt;
        task.at = Some(agent_key);
        job.placed += 1;
        job.has_begun = true;

        let spec = &job.spec.steps[position.0 as usize];
        let expected = job.steps[position.0 as usize].expected.mul_f64(distance);
        let wait = job.useful_until.saturating_duration_since(now);
        let due_ms = match rank.start_by.checked_duration_since(now) {
            Some(left) => saturating_millis(left),
            None => -saturating_millis(now.saturating_duration_since(rank.start_by)),
        };
        let agent = &mut self.agents[agent_key];
        let state = agent.state.as_ref();
        let run = RunOrder {
            description: state.map(|state| state.description).filter(|&it| it != 0),
            task: TaskRef {
                task: TaskId {
                    job: job.spec.id.clone(),
                    occurrence: 0,
                    step: position.0,
                    index: position.1,
                },
                attempt,
            },
            payload: job.spec.payload.clone(),
            need: spec.need,
            expected,
            class: rank.class,
            due_ms,
            wait,
            kind,
        };
        let seq = agent.seq + 1;
        agent.placed.insert((key, position.0, position.1), seq);
        agent.unacknowledged.push_back(SentOrder {
            seq,
            need: run.need,
            kind,
            payload: run.payload.len(),
        });
        self.actions.push(Action::Run(Order {
            agent: agent_key,
            seq,
            run,
        }));
    }

    /// Refuses queued jobs that have not begun and that, by the work ahead of them, can't be
    /// answered while the answer is useful. Jobs that have begun continue until their deadline.
    ///
    /// A burst can last longer than expected when the jobs were admitted. Their callers are told as
    /// soon as this is known, not at the deadline.
    pub(super) fn refuse_late_jobs(&mut self, now: Instant) {
        if self.is_gathering_agents(now) {
            return;
        }
        let mut loads: Vec<(Arc<str>, Load)> = Vec::new();
        let mut too_late = Vec::new();
        for rank in &self.queue {
            let job = &self.jobs[rank.job];
            let service = &job.queue_config.service;
            let known = loads.iter().position(|(known, _)| known == service);
            let index = known.unwrap_or_else(|| {
                loads.push((service.clone(), self.capacity_for(now, job)));
                loads.len() - 1
            });
            let load = &mut loads[index].1;
            // Without usable agents, jobs stay queued for agents that may link.
            let wait = match load.rate > 0.0 {
                true => load.wait(),
                false => Duration::ZERO,
            };
            let left = job.useful_until.saturating_duration_since(now);
            // Estimates are rough: what can start as soon as it is claimed is not refused for them.
            let starts_at_once = !job.claims.is_held && wait.is_zero();
            let is_too_late = !job.has_begun
                && !starts_at_once
                && wait.saturating_add(job.remaining_run_time()) > left;
            match is_too_late {
                true => too_late.push((rank.job, wait)),
                false => add_queued(load, job),
            }
        }
        for (key, wait) in too_late {
            let retry_after = match self.policy.is_admission_by_class {
                true => self.book_late_return(now, key),
                false => self.policy.retry_after(wait),
            };
            let answer = self.unbegun_answer(key, Refusal::Overload { retry_after });
            self.answer(now, key, answer);
        }
    }
}

fn saturating_millis(duration: Duration) -> i32 {
    i32::try_from(duration.as_millis()).unwrap_or(i32::MAX)
}
