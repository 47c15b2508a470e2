//! Simulation of the agents and upstreams in a replay.

use std::time::Instant;

use hemlockhook_schedule::{Demand, SlotAction};

use super::{Event, Replay, RunningTask, Scheduler, StartRequest, TaskWait, entry_id};
use crate::trace::{FaultKind, LONG_TASK_MIN_US};

const FAST_FAILURE_US: u64 = 1_000;

impl Replay<'_> {
    /// Sends an agent's pending grants and recalls. Those for `piggyback_entry` travel in a frame that
    /// is sent anyway and don't count as messages.
    pub(super) fn flush_agent(&mut self, agent: usize, piggyback_entry: Option<usize>) {
        if let Scheduler::Baseline(_) = self.scheduler {
            return;
        }
        assert!(!self.agents[agent].lost, "a lost agent sends no messages");
        let now = self.now();
        let started = Instant::now();
        let actions = self.agents[agent].slots.take_actions(now);
        let wakeup = self.agents[agent].slots.next_wakeup();
        self.outcome.decision_time += started.elapsed();
        for action in actions {
            let (entry, granted, recalled) = match action {
                SlotAction::Grant { entry, count } => (entry as usize - 1000, count, 0),
                SlotAction::Recall { entry, count } => (entry as usize - 1000, 0, count),
            };
            if piggyback_entry != Some(entry) {
                self.outcome.messages.grants += u64::from(granted > 0);
                self.outcome.messages.recalls += u64::from(recalled > 0);
            }
            self.send(
                agent,
                entry,
                Event::Grants {
                    agent,
                    entry,
                    granted,
                    recalled,
                },
            );
        }
        if let Some(at) = wakeup {
            let at_us = (at.saturating_duration_since(self.epoch).as_micros() as u64 + 1)
                .max(self.now_us + 1);
            if self.agents[agent].wakeup_us.is_none_or(|set| at_us < set) {
                self.agents[agent].wakeup_us = Some(at_us);
                self.schedule(at_us, Event::WakeAgent(agent));
            }
        }
    }

    pub(super) fn handle_start(&mut self, agent: usize, entry: usize, start: StartRequest) {
        if self.agents[agent].lost {
            let result = Event::TaskResult {
                agent,
                start,
                entry,
                ran_us: 0,
                ok: false,
                load: 0,
            };
            return self.send(agent, entry, result);
        }
        let now = self.now();
        match self.scheduler {
            Scheduler::System(_)
                if !self.agents[agent]
                    .slots
                    .use_grant(now, entry_id(entry), start.long) =>
            {
                self.send(
                    agent,
                    entry,
                    Event::StartRefused {
                        agent,
                        entry,
                        start,
                    },
                );
            }
            Scheduler::System(_) => self.run_task(agent, entry, start),
            Scheduler::Baseline(_) => {
                self.agents[agent].queue.push_back((entry, start));
                self.start_queued(agent);
            }
        }
    }

    fn start_queued(&mut self, agent: usize) {
        let slots = self.trace.deployment.upstreams[agent].slots as usize;
        while self.agents[agent].running.len() < slots {
            let Some((entry, start)) = self.agents[agent].queue.pop_front() else {
                return;
            };
            self.run_task(agent, entry, start);
        }
    }

    fn run_task(&mut self, agent: usize, entry: usize, start: StartRequest) {
        let task = &self.trace.jobs[start.job].tasks[start.task];
        let state = &self.agents[agent];
        let ran_us = match state.failing {
            true => FAST_FAILURE_US,
            false => (task.run_us as f64 / state.speed) as u64,
        };
        self.record_wait(agent, start, ran_us);
        let actually_long = self.trace.jobs[start.job].tasks[start.task].run_us >= LONG_TASK_MIN_US;
        let run = self.next_run;
        self.next_run += 1;
        let running = RunningTask {
            entry,
            start,
            started_us: self.now_us,
            actually_long,
        };
        self.agents[agent].running.insert(run, running);
        self.update_long_integrals(agent, actually_long, 1);
        self.schedule(self.now_us + ran_us, Event::TaskFinished { agent, run });
    }

    fn record_wait(&mut self, agent: usize, start: StartRequest, ran_us: u64) {
        let service = self.service_index(start.job);
        let now_us = self.now_us;
        let progress = self.progress[start.job]
            .as_ref()
            .expect("the job was submitted");
        let (delay_due_to_long_us, wait_during_long_us) =
            match progress.long_at_arrival_by_agent.get(agent) {
                Some((share, held)) => {
                    let a = &self.agents[agent];
                    (
                        a.long_share.at(now_us) - share,
                        a.long_held.at(now_us) - held,
                    )
                }
                None => (
                    self.service_long_share[service].at(now_us) - progress.long_share_at_arrival,
                    self.service_long_held[service].at(now_us) - progress.long_held_at_arrival,
                ),
            };
        self.outcome.waits.push(TaskWait {
            job: start.job,
            run_us: self.trace.jobs[start.job].tasks[start.task].run_us,
            ran_us: ran_us as f64,
            wait_us: now_us - progress.arrived_us,
            delay_due_to_long_us,
            wait_during_long_us,
            upstream: agent,
        });
    }

    /// Updates the integrals of the slots held by long tasks.
    fn update_long_integrals(&mut self, agent: usize, actually_long: bool, change: i32) {
        if !actually_long {
            return;
        }
        let now_us = self.now_us;
        let slots = f64::from(self.trace.deployment.upstreams[agent].slots);
        let state = &mut self.agents[agent];
        state.running_long_tasks = state
            .running_long_tasks
            .checked_add_signed(change)
            .expect("a long task starts before it ends");
        let long = f64::from(state.running_long_tasks);
        state.long_share.set(now_us, long / slots);
        state
            .long_held
            .set(now_us, if long > 0.0 { 1.0 } else { 0.0 });
        for service in 0..self.service_names.len() {
            let upstreams = self.trace.deployment.upstreams.iter().zip(&self.agents);
            let suitable = upstreams.filter(|(u, _)| u.serves(&self.service_names[service]));
            let (long, slots) = suitable.fold((0, 0), |(l, s), (u, a)| {
                (l + a.running_long_tasks, s + u.slots)
            });
            self.service_long_share[service].set(now_us, f64::from(long) / f64::from(slots));
            self.service_long_held[service].set(now_us, if long > 0 { 1.0 } else { 0.0 });
        }
    }

    pub(super) fn finish_task(&mut self, agent: usize, run: u64, notify_entry: bool) {
        let Some(running) = self.agents[agent].running.remove(&run) else {
            return;
        };
        let RunningTask {
            entry,
            start,
            started_us,
            actually_long,
        } = running;
        self.update_long_integrals(agent, actually_long, -1);
        let now = self.now();
        let ok = !self.agents[agent].failing;
        let ran_us = self.now_us - started_us;
        let piggyback_entry = notify_entry.then_some(entry);
        if let Scheduler::System(_) = self.scheduler {
            match piggyback_entry {
                Some(entry) => {
                    self.agents[agent]
                        .slots
                        .release_slot_for(now, entry_id(entry), start.long)
                }
                None => self.agents[agent].slots.release_slot(now, start.long),
            }
        }
        self.start_queued(agent);
        let load = (self.agents[agent].running.len() + self.agents[agent].queue.len()) as u32;
        self.outcome.messages.ends += 1;
        self.outcome.messages.late_ends += u64::from(self.progress_mut(start.job).settled);
        self.send(
            agent,
            entry,
            Event::TaskResult {
                agent,
                start,
                entry,
                ran_us,
                ok,
                load,
            },
        );
        self.flush_agent(agent, piggyback_entry);
    }

    pub(super) fn cancel_tasks(&mut self, agent: usize, job: usize) {
        self.agents[agent]
            .queue
            .retain(|(_, start)| start.job != job);
        let state = &self.agents[agent];
        let runs = state.running.iter().filter(|(_, r)| r.start.job == job);
        let mut runs: Vec<u64> = runs.map(|(run, _)| *run).collect();
        runs.sort_unstable();
        runs.into_iter()
            .for_each(|run| self.finish_task(agent, run, true));
    }

    pub(super) fn handle_control(
        &mut self,
        agent: usize,
        entry: usize,
        demand: Option<Demand>,
        returned: u32,
    ) {
        if self.agents[agent].lost {
            return;
        }
        let now = self.now();
        let slots = &mut self.agents[agent].slots;
        if returned > 0 {
            slots.return_grants(now, entry_id(entry), returned);
        }
        if let Some(demand) = demand {
            slots.set_demand(now, entry_id(entry), demand);
        }
        self.flush_agent(agent, None);
    }

    pub(super) fn apply_fault(&mut self, index: usize) {
        let fault = self.trace.deployment.faults[index].clone();
        let agent = &mut self.agents[fault.upstream];
        match fault.kind {
            FaultKind::FailFast => agent.failing = true,
            FaultKind::Speed(factor) => agent.speed *= factor,
            FaultKind::Lost => self.lose_agent(fault.upstream),
        }
    }

    fn lose_agent(&mut self, agent: usize) {
        self.agents[agent].lost = true;
        let mut running: Vec<(u64, RunningTask)> = self.agents[agent].running.drain().collect();
        running.sort_unstable_by_key(|(run, _)| *run);
        for (_, run) in &running {
            self.update_long_integrals(agent, run.actually_long, -1);
        }
        let queued: Vec<_> = self.agents[agent].queue.drain(..).collect();
        for entry in 0..self.entries.len() {
            let lost = running
                .iter()
                .filter(|(_, r)| r.entry == entry)
                .map(|(_, r)| r.start);
            let queued = queued
                .iter()
                .filter(|(e, _)| *e == entry)
                .map(|(_, start)| *start);
            let lost = lost.chain(queued).collect();
            self.send(agent, entry, Event::LinkLost { agent, entry, lost });
        }
    }
}
