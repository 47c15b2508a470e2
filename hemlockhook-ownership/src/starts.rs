//! The start markers and results that an agent holds.

use std::collections::{HashMap, VecDeque};
use std::time::Instant;

use hemlockhook_types::{JobKey, ServiceName, ShardId, TaskEnd, TaskIndex, TaskResult};

use crate::messages::{StartOrder, StartRecord};

/// Start markers by job, with the results that are still kept.
#[derive(Debug, Default)]
pub struct Starts {
    jobs: HashMap<JobKey, JobStarts>,
    /// Ends in order, for expiry.
    ended: VecDeque<Ended>,
    /// Results in order of their end, for eviction.
    kept: VecDeque<(JobKey, TaskIndex)>,
    count: usize,
    running: usize,
    result_bytes: usize,
}

impl Starts {
    /// Returns the number of markers held.
    pub fn count(&self) -> usize {
        self.count
    }

    /// Returns the number of tasks that run.
    pub fn running(&self) -> usize {
        self.running
    }

    /// Returns whether any task of a job has a marker.
    pub fn has_job(&self, key: &JobKey) -> bool {
        self.jobs.contains_key(key)
    }

    /// Returns whether a task has a marker.
    pub fn has(&self, key: &JobKey, index: TaskIndex) -> bool {
        self.jobs
            .get(key)
            .is_some_and(|job| job.markers.iter().any(|marker| marker.index == index))
    }

    /// Returns what is held of all jobs whose shard passes the filter.
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

    /// Takes in the end of a task. A second end of the same task is ignored.
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
        self.ended.push_back(Ended {
            at: now,
            key: key.clone(),
            index,
        });
        if bytes > 0 {
            self.result_bytes += bytes;
            self.kept.push_back((key.clone(), index));
        }
    }

    /// Drops the oldest results until the rest fits a bound. Their markers stay.
    pub fn evict(&mut self, max_bytes: usize) {
        while self.result_bytes > max_bytes {
            let Some((key, index)) = self.kept.pop_front() else {
                return;
            };
            let Some(marker) = self.marker_mut(&key, index) else {
                continue;
            };
            let Some(result) = &mut marker.result else {
                continue;
            };
            let bytes = result_bytes(result);
            result.end = TaskEnd::Evicted;
            self.result_bytes -= bytes;
        }
    }

    /// Forgets the tasks whose end passes the filter, oldest first.
    pub fn expire<F>(&mut self, is_due: F)
    where
        F: Fn(Instant) -> bool,
    {
        while let Some(ended) = self.ended.pop_front_if(|ended| is_due(ended.at)) {
            self.forget(&ended.key, ended.index);
        }
        while let Some((key, index)) = self.kept.pop_front() {
            if self.has(&key, index) {
                self.kept.push_front((key, index));
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

/// The starts of one job at this agent.
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
struct Ended {
    at: Instant,
    key: JobKey,
    index: TaskIndex,
}

fn result_bytes(result: &TaskResult) -> usize {
    match &result.end {
        TaskEnd::Ok(body) => body.len(),
        TaskEnd::Failed(detail) => detail.len(),
        TaskEnd::Cancelled | TaskEnd::Evicted => 0,
    }
}
