//! Selects the next task to place and its upstream.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use hemlockhook_types::ServiceName;

use crate::dispatcher::{Assignment, Dispatcher, JobState};
use crate::pool::{Rank, UpstreamPool, bucket_speed};
use crate::queue::QueueKey;
use crate::spec::JobId;

/// Maximum number of jobs examined for one placement.
const MAX_JOBS_EXAMINED: usize = 32;

/// Decision about one job.
enum Decision {
    /// Place the task at this position in the job's queue on this upstream.
    Place(Rank, usize),
    /// Leave the free slots to other jobs, since a faster upstream is expected to be free soon.
    WaitForFaster,
}

impl Dispatcher {
    /// Returns the next task to place. Jobs are examined in order of virtual deadline.
    pub(crate) fn select_assignment(&self, now_us: u64) -> Option<Assignment> {
        if !self.upstreams.any_ready() {
            return None;
        }
        let long_allowed = self.running_long < self.long_ceiling();
        let mut sub_queues: Vec<_> = self.open_sub_queues(long_allowed).collect();
        let mut heap: BinaryHeap<_> = BinaryHeap::with_capacity(sub_queues.len());
        for (index, (_, jobs)) in sub_queues.iter_mut().enumerate() {
            heap.extend(
                jobs.next()
                    .map(|(virtual_deadline, job)| Reverse((virtual_deadline, job, index))),
            );
        }
        let mut tasks_ahead: Vec<(&ServiceName, usize)> = Vec::new();
        for _ in 0..MAX_JOBS_EXAMINED {
            let Reverse((_, job, index)) = heap.pop()?;
            let (key, jobs) = &mut sub_queues[index];
            let pool = self.upstreams.pool(&key.service)?;
            let state = &self.jobs[job];
            let waiting = tasks_ahead_mut(&mut tasks_ahead, &key.service);
            match decide(now_us, state, pool, *waiting) {
                Some(Decision::Place(rank, position)) => {
                    return Some(Assignment {
                        agent: rank.agent,
                        job,
                        position,
                    });
                }
                Some(Decision::WaitForFaster) => *waiting += state.queued.len(),
                None => continue,
            }
            heap.extend(
                jobs.next()
                    .map(|(virtual_deadline, job)| Reverse((virtual_deadline, job, index))),
            );
        }
        None
    }

    fn open_sub_queues(
        &self,
        long_allowed: bool,
    ) -> impl Iterator<Item = (&QueueKey, impl Iterator<Item = (u64, JobId)> + '_)> {
        let open = self.queue.sub_queues().filter(move |(key, _)| {
            let pool = self.upstreams.pool(&key.service);
            (long_allowed || !key.long) && pool.is_some_and(|pool| !pool.ready.is_empty())
        });
        open.map(|(key, sub_queue)| (key, sub_queue.jobs()))
    }
}

fn tasks_ahead_mut<'a, 'b>(
    ahead: &'a mut Vec<(&'b ServiceName, usize)>,
    service: &'b ServiceName,
) -> &'a mut usize {
    let position = ahead.iter().position(|(name, _)| *name == service);
    let position = position.unwrap_or_else(|| {
        ahead.push((service, 0));
        ahead.len() - 1
    });
    &mut ahead[position].1
}

/// Decides about one job, with `ahead` other tasks that wait for faster upstreams before it.
fn decide(now_us: u64, job: &JobState, pool: &UpstreamPool, ahead: usize) -> Option<Decision> {
    let best = *pool.ready.first()?;
    let last = job.queued.len().checked_sub(1)?;
    let slack_secs = job.expected_end_us.saturating_sub(now_us) as f64 / 1e6;
    let speed = bucket_speed(best.speed_bucket.0);
    let longest = job.queued[last].work_secs;
    let finish_now_secs = longest / speed;
    if finish_now_secs <= slack_secs {
        return Some(Decision::Place(
            slowest_within(pool, longest, slack_secs).unwrap_or(best),
            last,
        ));
    }
    let finish_later_secs = pool.finish_secs_on_faster(best.speed_bucket.0, ahead, longest);
    let Some(finish_later_secs) = finish_later_secs.filter(|later| *later < finish_now_secs) else {
        return Some(Decision::Place(best, last));
    };
    // A smaller task of the job may use the slot if that does not delay the end of the job.
    let target_secs = slack_secs.max(finish_later_secs);
    let fits = job
        .queued
        .partition_point(|task| task.work_secs / speed <= target_secs);
    match fits {
        0 => Some(Decision::WaitForFaster),
        fits => {
            let position = fits.min(last + 1) - 1;
            let work = job.queued[position].work_secs;
            Some(Decision::Place(
                slowest_within(pool, work, target_secs).unwrap_or(best),
                position,
            ))
        }
    }
}

/// Returns the slowest ready upstream that completes a task in time.
fn slowest_within(pool: &UpstreamPool, work_secs: f64, target_secs: f64) -> Option<Rank> {
    let slowest = (0..crate::upstream::SPEED_BUCKETS)
        .find(|b| work_secs / bucket_speed(*b) <= target_secs)?;
    let bound = Rank {
        speed_bucket: Reverse(slowest),
        remote: true,
        agent: u64::MAX,
    };
    let rank = *pool.ready.range(..=bound).next_back()?;
    // Prefer the nearest upstream of the same speed.
    let near = Rank {
        speed_bucket: rank.speed_bucket,
        remote: false,
        agent: 0,
    };
    pool.ready.range(near..).next().copied()
}
