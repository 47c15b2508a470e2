//! The entries of a replay.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use hemlockhook_schedule::{Demand, JobId, JobSpec, Placement, TaskSpec};
use hemlockhook_types::Incarnation;

use super::{
    Event, JobOutcome, JobProgress, Replay, SETTLE_US, Scheduler, Start, agent_id, entry_of,
};
use crate::baseline::Baseline;

impl Replay<'_> {
    pub(super) fn submit(&mut self, job: usize) {
        let entry = entry_of(job, self.entries.len());
        let service = self.service(job);
        let now_us = self.now_us;
        let spec = &self.trace.jobs[job];
        self.progress[job] = Some(JobProgress {
            id: None,
            arrived_us: now_us,
            left: spec.tasks.len(),
            settled: false,
            long_share_at: self.service_share[service].at(now_us),
            long_held_at: self.service_held[service].at(now_us),
            per_agent: match self.scheduler {
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
        self.out.decision_time += started.elapsed();
        match result {
            Ok(id) => {
                self.entries[entry].jobs.insert(id, job);
                self.progress_mut(job).id = Some(id);
                self.flush_entry(entry);
            }
            Err(_) => {
                self.progress_mut(job).settled = true;
                self.out.jobs[job].refused = true;
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
                .choose(baseline, &suitable, &mut self.rng);
            self.out.messages.starts += 1;
            let start = Start {
                job,
                id: JobId::default(),
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

    /// Sends what an entry decides: starts, grants handed back and backlogs, one frame a link.
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
        self.out.decision_time += started.elapsed();
        let mut control: HashMap<Incarnation, (Option<Demand>, u32)> = HashMap::new();
        demands
            .into_iter()
            .for_each(|(agent, d)| control.entry(agent).or_default().0 = Some(d));
        unused
            .into_iter()
            .for_each(|(agent, n)| control.entry(agent).or_default().1 = n);
        let mut with_start = Vec::new();
        for placement in placements {
            let agent = placement.agent as usize - 1;
            let job = self.entries[entry].jobs[&placement.job];
            let Placement {
                job: id,
                index,
                long,
                ..
            } = placement;
            let start = Start {
                job,
                id,
                task: index as usize,
                long,
            };
            with_start.push(placement.agent);
            self.out.messages.starts += 1;
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
        for (id, (demand, returned)) in control {
            let alone = !with_start.contains(&id);
            self.out.messages.demands += u64::from(alone && demand.is_some() && returned == 0);
            self.out.messages.returns += u64::from(alone && returned > 0);
            self.out.messages.unused_grants += u64::from(returned);
            let agent = id as usize - 1;
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
        for id in expired {
            let job = self.entries[entry].jobs[&id];
            self.settle(entry, job, JobOutcome::default());
        }
        if let Some(at) = wakeup {
            let at_us = (at.saturating_duration_since(self.base).as_micros() as u64 + 1)
                .max(self.now_us + 1);
            if self.entries[entry].wakeup.is_none_or(|set| at_us < set) {
                self.entries[entry].wakeup = Some(at_us);
                self.push(at_us, Event::WakeEntry(entry));
            }
        }
    }

    pub(super) fn ended(
        &mut self,
        agent: usize,
        entry: usize,
        start: Start,
        ran_us: u64,
        ok: bool,
    ) {
        if let Scheduler::System(_) = self.scheduler {
            let now = self.now();
            let ran = Duration::from_micros(ran_us);
            let started = Instant::now();
            let dispatcher = &mut self.entries[entry].dispatcher;
            dispatcher.finish_task(now, agent_id(agent), start.id, start.task as u32, ran, ok);
            self.out.decision_time += started.elapsed();
        }
        let progress = self.progress_mut(start.job);
        progress.left -= 1;
        let done = progress.left == 0;
        match ok {
            _ if progress.settled => {}
            true if done => {
                let answered_us = self.now_us + self.trace.deployment.client_us - SETTLE_US;
                self.settle(
                    entry,
                    start.job,
                    JobOutcome {
                        answered_us: Some(answered_us),
                        ..Default::default()
                    },
                );
            }
            true => {}
            false => self.settle(
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

    pub(super) fn cancel(&mut self, job: usize) {
        let entry = entry_of(job, self.entries.len());
        if !self.progress_mut(job).settled {
            self.settle(
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

    /// Gives a job its answer, drops what is queued of it and stops what runs.
    fn settle(&mut self, entry: usize, job: usize, outcome: JobOutcome) {
        let progress = self.progress_mut(job);
        progress.settled = true;
        let (id, left) = (progress.id, progress.left);
        self.out.jobs[job] = outcome;
        if let Some(id) = id {
            let now = self.now();
            let dispatcher = &mut self.entries[entry].dispatcher;
            dispatcher.cancel_queued(now, id);
            dispatcher.finish_job(id);
        }
        if left == 0 {
            return;
        }
        for agent in 0..self.agents.len() {
            let state = &self.agents[agent];
            let runs = state.running.values().any(|r| r.start.job == job);
            if runs || state.queue.iter().any(|(_, start)| start.job == job) {
                self.out.messages.cancels += 1;
                self.send(agent, entry, Event::Cancelled { agent, job });
            }
        }
    }

    pub(super) fn take_grants(&mut self, agent: usize, entry: usize, granted: u32, recalled: u32) {
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
            self.out.messages.returns += 1;
            self.out.messages.unused_grants += u64::from(returned);
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

    pub(super) fn link_lost(&mut self, agent: usize, entry: usize, lost: &[Start]) {
        let now = self.now();
        self.entries[entry]
            .dispatcher
            .remove_upstream(now, agent_id(agent));
        for start in lost {
            self.ended(agent, entry, *start, 0, false);
        }
        self.flush_entry(entry);
    }
}
