//! Simulation of the entries in a replay.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use hemlockhook_schedule::{Demand, JobId, JobSpec, Placement, TaskSpec};
use hemlockhook_types::Incarnation;

use super::{
    Event, JobOutcome, JobProgress, Replay, Scheduler, StartRequest, WARM_UP_US, agent_id,
    entry_for_job,
};
use crate::baseline::Baseline;

impl Replay<'_> {
    pub(super) fn submit_job(&mut self, job: usize) {
        let entry = entry_for_job(job, self.entries.len());
        let service = self.service_index(job);
        let now_us = self.now_us;
        let spec = &self.trace.jobs[job];
        self.progress[job] = Some(JobProgress {
            job_id: None,
            arrived_us: now_us,
            remaining_tasks: spec.tasks.len(),
            settled: false,
            long_share_at_arrival: self.service_long_share[service].at(now_us),
            long_held_at_arrival: self.service_long_held[service].at(now_us),
            long_at_arrival_by_agent: match self.scheduler {
                Scheduler::System(_) => Vec::new(),
                Scheduler::Baseline(_) => {
                    let agents = self.agents.iter();
                    agents
                        .map(|a| (a.long_share.at(now_us), a.long_held.at(now_us)))
                        .collect()
                }
            },
        });
        match self.scheduler {
            Scheduler::System(_) => self.submit_to_dispatcher(job, entry),
            Scheduler::Baseline(baseline) => self.push_tasks(job, entry, baseline),
        }
    }

    fn submit_to_dispatcher(&mut self, job: usize, entry: usize) {
        let now = self.now();
        let spec = &self.trace.jobs[job];
        let deadline_us = spec.deadline_ms * 1000 - self.trace.deployment.client_us;
        let task = |(index, task): (usize, &crate::trace::Task)| TaskSpec {
            index: index as u32,
            class: task.class.as_str().into(),
            declared_run_time: task.declared_us.map(Duration::from_micros),
        };
        let spec = JobSpec {
            team: spec.team.as_str().into(),
            service: spec.service.as_str().into(),
            deadline: now + Duration::from_micros(deadline_us),
            tasks: spec.tasks.iter().enumerate().map(task).collect(),
        };
        let started = Instant::now();
        let result = self.entries[entry].dispatcher.submit(now, spec);
        self.outcome.decision_time += started.elapsed();
        match result {
            Ok(id) => {
                self.entries[entry].jobs.insert(id, job);
                self.progress_mut(job).job_id = Some(id);
                self.flush_entry(entry);
            }
            Err(_) => {
                self.progress_mut(job).settled = true;
                self.outcome.jobs[job].refused = true;
            }
        }
    }

    fn push_tasks(&mut self, job: usize, entry: usize, baseline: Baseline) {
        let service = &self.trace.jobs[job].service;
        let upstreams = self.trace.deployment.upstreams.iter().enumerate();
        let suitable = upstreams.filter(|(i, u)| u.serves(service) && !self.agents[*i].lost);
        let suitable: Vec<usize> = suitable.map(|(index, _)| index).collect();
        for task in 0..self.trace.jobs[job].tasks.len() {
            let agent = self.entries[entry]
                .loads
                .select(baseline, &suitable, &mut self.rng);
            self.outcome.messages.starts += 1;
            let start = StartRequest {
                job,
                job_id: JobId::default(),
                task,
                long: false,
            };
            self.send(
                agent,
                entry,
                Event::Start {
                    agent,
                    entry,
                    start,
                },
            );
        }
    }

    /// Sends the entry's pending decisions: starts, returned grants and demands. Returned grants and
    /// demands share a frame per link, which is a start's frame if there is one.
    pub(super) fn flush_entry(&mut self, entry: usize) {
        if let Scheduler::Baseline(_) = self.scheduler {
            return;
        }
        let now = self.now();
        let started = Instant::now();
        let dispatcher = &mut self.entries[entry].dispatcher;
        let expired = dispatcher.expired_jobs(now);
        let placements: Vec<Placement> =
            std::iter::from_fn(|| dispatcher.place_next(now)).collect();
        let unused = dispatcher.take_unusable_grants(now);
        let demands = dispatcher.take_demands(now);
        let wakeup = dispatcher.next_wakeup();
        self.outcome.decision_time += started.elapsed();
        let mut control: HashMap<Incarnation, (Option<Demand>, u32)> = HashMap::new();
        demands
            .into_iter()
            .for_each(|(agent, d)| control.entry(agent).or_default().0 = Some(d));
        unused
            .into_iter()
            .for_each(|(agent, n)| control.entry(agent).or_default().1 = n);
        let mut agents_with_start = Vec::new();
        for placement in placements {
            let agent = placement.agent as usize - 1;
            let job = self.entries[entry].jobs[&placement.job];
            let Placement {
                job: job_id,
                index,
                long,
                ..
            } = placement;
            let start = StartRequest {
                job,
                job_id,
                task: index as usize,
                long,
            };
            agents_with_start.push(placement.agent);
            self.outcome.messages.starts += 1;
            self.send(
                agent,
                entry,
                Event::Start {
                    agent,
                    entry,
                    start,
                },
            );
        }
        let mut control: Vec<_> = control.into_iter().collect();
        control.sort_unstable_by_key(|(agent, _)| *agent);
        for (incarnation, (demand, returned)) in control {
            let sent_alone = !agents_with_start.contains(&incarnation);
            self.outcome.messages.demands +=
                u64::from(sent_alone && demand.is_some() && returned == 0);
            self.outcome.messages.returns += u64::from(sent_alone && returned > 0);
            self.outcome.messages.unused_grants += u64::from(returned);
            let agent = incarnation as usize - 1;
            self.send(
                agent,
                entry,
                Event::Control {
                    agent,
                    entry,
                    demand,
                    returned,
                },
            );
        }
        for job_id in expired {
            let job = self.entries[entry].jobs[&job_id];
            self.settle_job(entry, job, JobOutcome::default());
        }
        if let Some(at) = wakeup {
            let at_us = (at.saturating_duration_since(self.epoch).as_micros() as u64 + 1)
                .max(self.now_us + 1);
            if self.entries[entry].wakeup_us.is_none_or(|set| at_us < set) {
                self.entries[entry].wakeup_us = Some(at_us);
                self.schedule(at_us, Event::WakeEntry(entry));
            }
        }
    }

    pub(super) fn handle_task_result(
        &mut self,
        agent: usize,
        entry: usize,
        start: StartRequest,
        ran_us: u64,
        ok: bool,
    ) {
        if let Scheduler::System(_) = self.scheduler {
            let now = self.now();
            let ran = Duration::from_micros(ran_us);
            let started = Instant::now();
            let dispatcher = &mut self.entries[entry].dispatcher;
            dispatcher.finish_task(
                now,
                agent_id(agent),
                start.job_id,
                start.task as u32,
                ran,
                ok,
            );
            self.outcome.decision_time += started.elapsed();
        }
        let progress = self.progress_mut(start.job);
        progress.remaining_tasks -= 1;
        let done = progress.remaining_tasks == 0;
        match ok {
            _ if progress.settled => {}
            true if done => {
                let answered_us = self.now_us + self.trace.deployment.client_us - WARM_UP_US;
                self.settle_job(
                    entry,
                    start.job,
                    JobOutcome {
                        answered_us: Some(answered_us),
                        ..Default::default()
                    },
                );
            }
            true => {}
            false => self.settle_job(
                entry,
                start.job,
                JobOutcome {
                    failed: true,
                    ..Default::default()
                },
            ),
        }
        self.flush_entry(entry);
    }

    pub(super) fn cancel_job(&mut self, job: usize) {
        let entry = entry_for_job(job, self.entries.len());
        if !self.progress_mut(job).settled {
            self.settle_job(
                entry,
                job,
                JobOutcome {
                    cancelled: true,
                    ..Default::default()
                },
            );
            self.flush_entry(entry);
        }
    }

    /// Records the outcome of a job, drops its queued tasks and cancels those that run.
    fn settle_job(&mut self, entry: usize, job: usize, outcome: JobOutcome) {
        let progress = self.progress_mut(job);
        progress.settled = true;
        let (job_id, remaining_tasks) = (progress.job_id, progress.remaining_tasks);
        self.outcome.jobs[job] = outcome;
        if let Some(job_id) = job_id {
            let now = self.now();
            let dispatcher = &mut self.entries[entry].dispatcher;
            dispatcher.cancel_queued(now, job_id);
            dispatcher.finish_job(job_id);
        }
        if remaining_tasks == 0 {
            return;
        }
        for agent in 0..self.agents.len() {
            let state = &self.agents[agent];
            let runs = state.running.values().any(|r| r.start.job == job);
            if runs || state.queue.iter().any(|(_, start)| start.job == job) {
                self.outcome.messages.cancels += 1;
                self.send(agent, entry, Event::CancelTasks { agent, job });
            }
        }
    }

    pub(super) fn update_grants(
        &mut self,
        agent: usize,
        entry: usize,
        granted: u32,
        recalled: u32,
    ) {
        let now = self.now();
        let dispatcher = &mut self.entries[entry].dispatcher;
        if granted > 0 {
            dispatcher.add_grants(now, agent_id(agent), granted);
        }
        self.flush_entry(entry);
        if recalled == 0 {
            return;
        }
        let returned = self.entries[entry]
            .dispatcher
            .return_grants(now, agent_id(agent), recalled);
        if returned > 0 {
            self.outcome.messages.returns += 1;
            self.outcome.messages.unused_grants += u64::from(returned);
            self.send(
                agent,
                entry,
                Event::Control {
                    agent,
                    entry,
                    demand: None,
                    returned,
                },
            );
        }
    }

    pub(super) fn handle_link_lost(&mut self, agent: usize, entry: usize, lost: &[StartRequest]) {
        let now = self.now();
        self.entries[entry]
            .dispatcher
            .remove_upstream(now, agent_id(agent));
        for start in lost {
            self.handle_task_result(agent, entry, *start, 0, false);
        }
        self.flush_entry(entry);
    }
}
