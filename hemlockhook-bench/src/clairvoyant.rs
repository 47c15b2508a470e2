//! Clairvoyant reference scheduler: one central queue with exact knowledge of run times and speeds, and
//! no messages.
//!
//! Jobs are ordered by arrival time plus `patience` times their ideal response time; the tasks of a
//! job by run time, longest first. Each task in turn is assigned the slot on which it would finish
//! first. If that slot is still busy, the task reserves it, and a later task may take an idle slot
//! instead. Running tasks are not preempted. Of several values of `patience`, the one with the lowest
//! p99 during load peaks is used.

use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap};

use crate::trace::Trace;

/// Values of `patience` that are tried.
pub const PATIENCES: [f64; 5] = [0.0, 1.0, 4.0, 12.0, 40.0];

/// Limit on the queued tasks that are considered for the idle slots at one time.
const LOOK_AHEAD: usize = 64;

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    SlotFreed,
    Submit(usize),
    Cancel(usize),
}

struct CentralQueue<'a> {
    trace: &'a Trace,
    patience: f64,
    queue: BTreeSet<(u64, usize)>,
    /// For each job, the run times of its queued tasks, ascending.
    queued_tasks: Vec<Vec<u64>>,
    job_ends_us: Vec<u64>,
    /// For each slot of each upstream, the time at which it becomes free and the job that holds it.
    slots: Vec<Vec<(u64, usize)>>,
    events: BinaryHeap<Reverse<(u64, Event)>>,
}

/// Returns the response time of each job, or `None` for a job that its client cancels.
pub fn response_times_us(trace: &Trace, patience: f64) -> Vec<Option<u64>> {
    let upstreams = &trace.deployment.upstreams;
    let mut central = CentralQueue {
        trace,
        patience,
        queue: BTreeSet::new(),
        queued_tasks: vec![Vec::new(); trace.jobs.len()],
        job_ends_us: vec![0; trace.jobs.len()],
        slots: upstreams
            .iter()
            .map(|u| vec![(0, usize::MAX); u.slots as usize])
            .collect(),
        events: BinaryHeap::new(),
    };
    central.run();
    let network_us = 2 * (trace.deployment.client_us + trace.deployment.local_us);
    let response_time = |(job, end): (&crate::trace::Job, &u64)| {
        job.cancel_after_ms
            .is_none()
            .then(|| end - job.at_us + network_us)
    };
    trace
        .jobs
        .iter()
        .zip(&central.job_ends_us)
        .map(response_time)
        .collect()
}

impl CentralQueue<'_> {
    fn run(&mut self) {
        for (index, job) in self.trace.jobs.iter().enumerate() {
            self.events.push(Reverse((job.at_us, Event::Submit(index))));
            if let Some(after) = job.cancel_after_ms {
                self.events
                    .push(Reverse((job.at_us + after * 1000, Event::Cancel(index))));
            }
        }
        while let Some(Reverse((now_us, event))) = self.events.pop() {
            match event {
                Event::SlotFreed => {}
                Event::Submit(job) => self.submit(job),
                Event::Cancel(job) => self.cancel(now_us, job),
            }
            self.start_tasks(now_us);
        }
    }

    fn priority(&self, job: usize) -> u64 {
        let spec = &self.trace.jobs[job];
        spec.at_us + (self.patience * self.trace.deployment.ideal_response_us(spec) as f64) as u64
    }

    fn submit(&mut self, job: usize) {
        let mut sizes: Vec<u64> = self.trace.jobs[job]
            .tasks
            .iter()
            .map(|t| t.run_us)
            .collect();
        sizes.sort_unstable();
        self.queued_tasks[job] = sizes;
        self.queue.insert((self.priority(job), job));
    }

    fn cancel(&mut self, now_us: u64, job: usize) {
        self.queue.remove(&(self.priority(job), job));
        self.queued_tasks[job].clear();
        let held = self.slots.iter_mut().flatten();
        held.filter(|(free, by)| *by == job && *free > now_us)
            .for_each(|slot| slot.0 = now_us);
    }

    fn start_tasks(&mut self, now_us: u64) {
        let mut planned = self.slots.clone();
        let mut idle = planned
            .iter()
            .flatten()
            .filter(|(free, _)| *free <= now_us)
            .count();
        let mut started = Vec::new();
        'jobs: for (_, job) in &self.queue {
            for (nth, size) in self.queued_tasks[*job].iter().rev().enumerate() {
                if idle == 0 || started.len() + nth > LOOK_AHEAD {
                    break 'jobs;
                }
                let Some((upstream, slot, end)) =
                    self.earliest_finish(&planned, now_us, *job, *size)
                else {
                    continue;
                };
                let starts_now = planned[upstream][slot].0 <= now_us;
                planned[upstream][slot] = (end, *job);
                if starts_now {
                    idle -= 1;
                    started.push((*job, *size, upstream, slot, end));
                }
            }
        }
        for (job, size, upstream, slot, end) in started {
            self.slots[upstream][slot] = (end, job);
            self.job_ends_us[job] = self.job_ends_us[job].max(end);
            self.events.push(Reverse((end, Event::SlotFreed)));
            let position = self.queued_tasks[job].iter().rposition(|s| *s == size);
            self.queued_tasks[job].remove(position.expect("a started task was queued"));
            if self.queued_tasks[job].is_empty() {
                self.queue.remove(&(self.priority(job), job));
            }
        }
    }

    fn earliest_finish(
        &self,
        planned: &[Vec<(u64, usize)>],
        now_us: u64,
        job: usize,
        size: u64,
    ) -> Option<(usize, usize, u64)> {
        let service = &self.trace.jobs[job].service;
        let upstreams = self
            .trace
            .deployment
            .upstreams
            .iter()
            .zip(planned)
            .enumerate();
        let suitable = upstreams.filter(|(_, (u, _))| u.serves(service));
        let ends = suitable.filter_map(|(index, (u, slots))| {
            let (slot, (free, _)) = slots
                .iter()
                .enumerate()
                .min_by_key(|(_, (free, _))| *free)?;
            Some((
                index,
                slot,
                now_us.max(*free) + (size as f64 / u.speed) as u64,
            ))
        });
        ends.min_by_key(|(_, _, end)| *end)
    }
}
