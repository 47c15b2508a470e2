//! Queued jobs of an entry in order of virtual deadline, grouped by service, size class and team.

use std::collections::{BTreeMap, BTreeSet};

use hemlockhook_types::{ServiceName, TeamName};

use crate::spec::JobId;

/// Virtual deadline of a job, in microseconds since the dispatcher's first event. Jobs with a lower
/// value are served first.
pub type VirtualDeadline = u64;

/// Jobs that have queued tasks.
#[derive(Debug, Default)]
pub struct Queue {
    sub_queues: BTreeMap<QueueKey, SubQueue>,
    tasks: usize,
}

/// Identifies a sub-queue: its jobs wait for the same slots under the same rules.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueueKey {
    /// Service of the jobs.
    pub service: ServiceName,
    /// Whether the jobs count as long work.
    pub long: bool,
    /// Team of the jobs.
    pub team: TeamName,
}

/// Jobs with the same [`QueueKey`].
#[derive(Debug, Default)]
pub struct SubQueue {
    jobs: BTreeSet<(VirtualDeadline, JobId)>,
    tasks: usize,
}

/// Amount of queued work, by whether it is long and by the second of its virtual deadline.
#[derive(Debug, Default)]
pub struct QueuedWork {
    by_due_second: BTreeMap<(bool, u64), DueWork>,
}

/// Queued work with a virtual deadline in the same second. Kept in whole microseconds, so that
/// removing a task subtracts exactly what was added for it.
#[derive(Debug, Default)]
struct DueWork {
    work_us: u64,
    tasks: usize,
}

impl QueuedWork {
    /// Adds a task.
    pub fn add(&mut self, long: bool, virtual_deadline: VirtualDeadline, work_secs: f64) {
        let due = self
            .by_due_second
            .entry((long, virtual_deadline / 1_000_000))
            .or_default();
        due.work_us += (work_secs * 1e6) as u64;
        due.tasks += 1;
    }

    /// Removes a task.
    pub fn remove(&mut self, long: bool, virtual_deadline: VirtualDeadline, work_secs: f64) {
        let key = (long, virtual_deadline / 1_000_000);
        let due = self
            .by_due_second
            .get_mut(&key)
            .expect("removed work was added before");
        due.work_us -= (work_secs * 1e6) as u64;
        due.tasks -= 1;
        if due.tasks == 0 {
            self.by_due_second.remove(&key);
        }
    }

    /// Returns the seconds of work that are served before a job.
    pub fn ahead_secs(&self, long: bool, virtual_deadline: VirtualDeadline) -> f64 {
        let ahead = self
            .by_due_second
            .range((long, 0)..(long, virtual_deadline / 1_000_000));
        ahead.map(|(_, due)| due.work_us).sum::<u64>() as f64 / 1e6
    }
}

impl Queue {
    /// Adds a job with a number of tasks.
    pub fn insert(
        &mut self,
        key: &QueueKey,
        virtual_deadline: VirtualDeadline,
        job: JobId,
        tasks: usize,
    ) {
        let sub_queue = self.sub_queues.entry(key.clone()).or_default();
        sub_queue.jobs.insert((virtual_deadline, job));
        sub_queue.tasks += tasks;
        self.tasks += tasks;
    }

    /// Removes a number of a job's tasks, and the job itself if `last` is set.
    pub fn remove(
        &mut self,
        key: &QueueKey,
        virtual_deadline: VirtualDeadline,
        job: JobId,
        tasks: usize,
        last: bool,
    ) {
        let Some(sub_queue) = self.sub_queues.get_mut(key) else {
            return;
        };
        sub_queue.tasks -= tasks;
        self.tasks -= tasks;
        if last {
            sub_queue.jobs.remove(&(virtual_deadline, job));
        }
        if sub_queue.jobs.is_empty() {
            assert!(sub_queue.tasks == 0, "a sub-queue without jobs has tasks");
            self.sub_queues.remove(key);
        }
    }

    /// Returns the sub-queues that have queued tasks.
    pub fn sub_queues(&self) -> impl Iterator<Item = (&QueueKey, &SubQueue)> {
        self.sub_queues.iter()
    }

    /// Returns the number of queued tasks.
    pub fn tasks(&self) -> usize {
        self.tasks
    }

    /// Returns whether short work is queued.
    pub fn has_short(&self) -> bool {
        self.sub_queues.keys().any(|key| !key.long)
    }
}

impl SubQueue {
    /// Returns the jobs in order of virtual deadline.
    pub fn jobs(&self) -> impl Iterator<Item = (VirtualDeadline, JobId)> {
        self.jobs.iter().copied()
    }

    /// Returns the virtual deadline of the first job.
    pub fn head(&self) -> VirtualDeadline {
        self.jobs
            .first()
            .map_or(VirtualDeadline::MAX, |(virtual_deadline, _)| {
                *virtual_deadline
            })
    }

    /// Returns the number of queued tasks.
    pub fn tasks(&self) -> usize {
        self.tasks
    }
}
