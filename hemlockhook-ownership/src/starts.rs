//! The start markers and results that an agent holds.

use std::collections::{HashMap, VecDeque};
use std::time::Instant;

use hemlockhook_types::{JobKey, ServiceName, ShardId, TaskIndex, TaskOutcome, TaskResult};

use crate::messages::{StartOrder, StartRecord};

/// Start markers grouped by job, with the results that have not been evicted.
#[derive(Debug, Default)]
pub struct StartMarkers {
    jobs: HashMap<JobKey, JobStarts>,
    /// Ended tasks, oldest first, for expiry.
    ended_tasks: VecDeque<EndedTask>,
    /// Tasks with a result, oldest first, for eviction.
    kept_results: VecDeque<(JobKey, TaskIndex)>,
    count: usize,
    running: usize,
    result_bytes: usize,
}

impl StartMarkers {
    /// Returns the number of markers held.
    pub fn count(&self) -> usize {
        self.count
    }

    /// Returns the number of running tasks.
    pub fn running(&self) -> usize {
        self.running
    }

    /// Returns whether any task of a job has a marker.
    pub fn contains_job(&self, key: &JobKey) -> bool {
        self.jobs.contains_key(key)
    }

    /// Returns whether a task has a marker.
    pub fn contains(&self, key: &JobKey, index: TaskIndex) -> bool {
        self.jobs
            .get(key)
            .is_some_and(|job| job.markers.iter().any(|marker| marker.index == index))
    }

    /// Returns the starts of all jobs whose shard passes the filter.
    pub fn records<F>(&self, is_wanted: F) -> Vec<StartRecord>
    where
        F: Fn(ShardId) -> bool,
    {
        self.jobs
            .iter()
            .filter(|(_, job)| is_wanted(job.shard))
            .flat_map(|(key, job)| job.records(key))
            .collect()
    }

    /// Marks a task as started.
    pub fn insert(&mut self, order: &StartOrder) {
        let job = self
            .jobs
            .entry(order.key.clone())
            .or_insert_with(|| JobStarts {
                shard: order.shard,
                fingerprint: order.fingerprint,
                job_tasks: order.job_tasks,
                service: order.service.clone(),
                idempotent: order.idempotent,
                markers: Vec::with_capacity(1),
            });
        job.markers.push(Marker {
            index: order.index,
            result: None,
        });
        self.count += 1;
        self.running += 1;
    }

    /// Stores the result of a task. A second result of the same task is ignored.
    pub fn finish(&mut self, now: Instant, key: &JobKey, index: TaskIndex, result: TaskResult) {
        let Some(marker) = self.marker_mut(key, index) else {
            return;
        };
        if marker.result.is_some() {
            return;
        }

        let bytes = result_bytes(&result);
        marker.result = Some(result);
        self.running -= 1;
        self.ended_tasks.push_back(EndedTask {
            at: now,
            key: key.clone(),
            index,
        });
        if bytes > 0 {
            self.result_bytes += bytes;
            self.kept_results.push_back((key.clone(), index));
        }
    }

    /// Evicts the oldest results until the rest fits into `max_bytes`. Their markers stay.
    pub fn evict(&mut self, max_bytes: usize) {
        while self.result_bytes > max_bytes {
            let Some((key, index)) = self.kept_results.pop_front() else {
                return;
            };
            let Some(marker) = self.marker_mut(&key, index) else {
                continue;
            };
            let Some(result) = &mut marker.result else {
                continue;
            };
            let bytes = result_bytes(result);
            result.outcome = TaskOutcome::Evicted;
            self.result_bytes -= bytes;
        }
    }

    /// Removes the markers of tasks whose end time passes the filter, oldest first.
    pub fn expire<F>(&mut self, is_due: F)
    where
        F: Fn(Instant) -> bool,
    {
        while let Some(ended) = self.ended_tasks.pop_front_if(|ended| is_due(ended.at)) {
            self.forget(&ended.key, ended.index);
        }
        while let Some((key, index)) = self.kept_results.pop_front() {
            if self.contains(&key, index) {
                self.kept_results.push_front((key, index));
                return;
            }
        }
    }

    fn marker_mut(&mut self, key: &JobKey, index: TaskIndex) -> Option<&mut Marker> {
        let job = self.jobs.get_mut(key)?;
        job.markers.iter_mut().find(|marker| marker.index == index)
    }

    fn forget(&mut self, key: &JobKey, index: TaskIndex) {
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        let Some(at) = job.markers.iter().position(|marker| marker.index == index) else {
            return;
        };
        let marker = job.markers.swap_remove(at);
        self.result_bytes -= marker.result.as_ref().map_or(0, result_bytes);
        self.count -= 1;
        if job.markers.is_empty() {
            self.jobs.remove(key);
        }
    }
}

/// The start markers of one job.
#[derive(Debug)]
struct JobStarts {
    shard: ShardId,
    fingerprint: u64,
    job_tasks: u32,
    service: ServiceName,
    idempotent: bool,
    markers: Vec<Marker>,
}

impl JobStarts {
    fn records(&self, key: &JobKey) -> impl Iterator<Item = StartRecord> {
        self.markers.iter().map(move |marker| StartRecord {
            key: key.clone(),
            index: marker.index,
            job_tasks: self.job_tasks,
            fingerprint: self.fingerprint,
            shard: self.shard,
            service: self.service.clone(),
            idempotent: self.idempotent,
            result: marker.result.clone(),
        })
    }
}

#[derive(Debug)]
struct Marker {
    index: TaskIndex,
    /// `None` while the task runs.
    result: Option<TaskResult>,
}

#[derive(Debug)]
struct EndedTask {
    at: Instant,
    key: JobKey,
    index: TaskIndex,
}

fn result_bytes(result: &TaskResult) -> usize {
    match &result.outcome {
        TaskOutcome::Ok(body) => body.len(),
        TaskOutcome::Failed(detail) => detail.len(),
        TaskOutcome::Cancelled | TaskOutcome::Evicted => 0,
    }
}
