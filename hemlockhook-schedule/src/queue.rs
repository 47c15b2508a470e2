//! The queue of an entry: jobs in the order of their urgency, by service, size and team.

use std::collections::{BTreeMap, BTreeSet};

use hemlockhook_types::{ServiceName, TeamName};

use crate::spec::JobId;

/// When a job should be served, in microseconds since the dispatcher's first event; lower first.
pub type Urgency = u64;

/// Jobs that have something queued.
#[derive(Debug, Default)]
pub struct Queue {
    lanes: BTreeMap<LaneKey, Lane>,
    tasks: usize,
}

/// Jobs that wait for the same slots under the same rules.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct LaneKey {
    /// Their service.
    pub service: ServiceName,
    /// Whether they hold long work.
    pub long: bool,
    /// Their team.
    pub team: TeamName,
}

/// The jobs of one lane.
#[derive(Debug, Default)]
pub struct Lane {
    jobs: BTreeSet<(Urgency, JobId)>,
    tasks: usize,
}

/// Work that is queued, by whether it is long and by the second in which it is due.
#[derive(Debug, Default)]
pub struct QueuedWork {
    due: BTreeMap<(bool, u64), Due>,
}

/// Queued work that is due in the same second. Microseconds, so that what is added can be taken away
/// exactly.
#[derive(Debug, Default)]
struct Due {
    work_us: u64,
    tasks: usize,
}

impl QueuedWork {
    /// Adds a task.
    pub fn add(&mut self, long: bool, urgency: Urgency, work_secs: f64) {
        let due = self.due.entry((long, urgency / 1_000_000)).or_default();
        due.work_us += (work_secs * 1e6) as u64;
        due.tasks += 1;
    }

    /// Takes a task away.
    pub fn remove(&mut self, long: bool, urgency: Urgency, work_secs: f64) {
        let key = (long, urgency / 1_000_000);
        let due = self.due.get_mut(&key).expect("queued work is counted");
        due.work_us -= (work_secs * 1e6) as u64;
        due.tasks -= 1;
        if due.tasks == 0 {
            self.due.remove(&key);
        }
    }

    /// Returns the seconds of work that go before a job.
    pub fn ahead_secs(&self, long: bool, urgency: Urgency) -> f64 {
        let ahead = self.due.range((long, 0)..(long, urgency / 1_000_000));
        ahead.map(|(_, due)| due.work_us).sum::<u64>() as f64 / 1e6
    }
}

impl Queue {
    /// Adds a job with a number of tasks.
    pub fn insert(&mut self, key: &LaneKey, urgency: Urgency, job: JobId, tasks: usize) {
        let lane = self.lanes.entry(key.clone()).or_default();
        lane.jobs.insert((urgency, job));
        lane.tasks += tasks;
        self.tasks += tasks;
    }

    /// Takes away a number of a job's tasks, and the job itself if it has none left.
    pub fn remove(
        &mut self,
        key: &LaneKey,
        urgency: Urgency,
        job: JobId,
        tasks: usize,
        last: bool,
    ) {
        let Some(lane) = self.lanes.get_mut(key) else {
            return;
        };
        lane.tasks -= tasks;
        self.tasks -= tasks;
        if last {
            lane.jobs.remove(&(urgency, job));
        }
        if lane.jobs.is_empty() {
            assert!(lane.tasks == 0, "a lane without jobs has no tasks");
            self.lanes.remove(key);
        }
    }

    /// Returns the lanes that have something queued.
    pub fn lanes(&self) -> impl Iterator<Item = (&LaneKey, &Lane)> {
        self.lanes.iter()
    }

    /// Returns the number of tasks queued.
    pub fn tasks(&self) -> usize {
        self.tasks
    }

    /// Returns whether short work is queued.
    pub fn has_short(&self) -> bool {
        self.lanes.keys().any(|key| !key.long)
    }
}

impl Lane {
    /// Returns the jobs in the order of their urgency.
    pub fn jobs(&self) -> impl Iterator<Item = (Urgency, JobId)> {
        self.jobs.iter().copied()
    }

    /// Returns the urgency of the first job.
    pub fn head(&self) -> Urgency {
        self.jobs
            .first()
            .map_or(Urgency::MAX, |(urgency, _)| *urgency)
    }

    /// Returns the number of tasks queued.
    pub fn tasks(&self) -> usize {
        self.tasks
    }
}
