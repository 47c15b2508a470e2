//! Choosing the next task and its upstream.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use hemlockhook_types::ServiceName;

use crate::dispatcher::{Choice, Dispatcher, JobState};
use crate::fleet::{Fleet, Rank, bucket_speed};
use crate::queue::LaneKey;
use crate::spec::JobId;

/// Jobs that are looked at for one choice.
const LOOK_AHEAD: usize = 32;

/// What is decided about one job.
enum Verdict {
    /// Place the task at this position among the queued ones.
    Place(Rank, usize),
    /// Leave the slots that are free to others: a faster one is expected soon.
    Hold,
}

impl Dispatcher {
    /// Returns the next task to be placed. Jobs are looked at in the order of their urgency.
    pub(crate) fn choose(&self, now_us: u64) -> Option<Choice> {
        if !self.upstreams.any_ready() {
            return None;
        }
        let long_allowed = self.running_long < self.long_ceiling();
        let mut lanes: Vec<_> = self.open_lanes(long_allowed).collect();
        let mut heap: BinaryHeap<_> = BinaryHeap::with_capacity(lanes.len());
        for (at, (_, jobs)) in lanes.iter_mut().enumerate() {
            heap.extend(
                jobs.next()
                    .map(|(urgency, job)| Reverse((urgency, job, at))),
            );
        }
        let mut ahead: Vec<(&ServiceName, usize)> = Vec::new();
        for _ in 0..LOOK_AHEAD {
            let Reverse((_, job, at)) = heap.pop()?;
            let (key, jobs) = &mut lanes[at];
            let fleet = self.upstreams.fleet(&key.service)?;
            let state = &self.jobs[job];
            let waiting = ahead_of(&mut ahead, &key.service);
            match judge(now_us, state, fleet, *waiting) {
                Some(Verdict::Place(rank, position)) => {
                    return Some(Choice {
                        agent: rank.agent,
                        job,
                        position,
                    });
                }
                Some(Verdict::Hold) => *waiting += state.queued.len(),
                None => continue,
            }
            heap.extend(
                jobs.next()
                    .map(|(urgency, job)| Reverse((urgency, job, at))),
            );
        }
        None
    }

    fn open_lanes(
        &self,
        long_allowed: bool,
    ) -> impl Iterator<Item = (&LaneKey, impl Iterator<Item = (u64, JobId)> + '_)> {
        let open = self.queue.lanes().filter(move |(key, _)| {
            let fleet = self.upstreams.fleet(&key.service);
            (long_allowed || !key.long) && fleet.is_some_and(|fleet| !fleet.ready.is_empty())
        });
        open.map(|(key, lane)| (key, lane.jobs()))
    }
}

fn ahead_of<'a, 'b>(
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

/// Decides about one job, behind `ahead` other tasks that wait for faster upstreams.
fn judge(now_us: u64, job: &JobState, fleet: &Fleet, ahead: usize) -> Option<Verdict> {
    let best = *fleet.ready.first()?;
    let last = job.queued.len().checked_sub(1)?;
    let slack_secs = job.expected_end.saturating_sub(now_us) as f64 / 1e6;
    let speed = bucket_speed(best.bucket.0);
    let longest = job.queued[last].work_secs;
    let finish_now = longest / speed;
    if finish_now <= slack_secs {
        return Some(Verdict::Place(
            slowest_within(fleet, longest, slack_secs).unwrap_or(best),
            last,
        ));
    }
    let finish_later = fleet.finish_on_faster(best.bucket.0, ahead, longest);
    let Some(finish_later) = finish_later.filter(|later| *later < finish_now) else {
        return Some(Verdict::Place(best, last));
    };
    // A smaller task of the job may take the slot if the job ends no later for it.
    let target_secs = slack_secs.max(finish_later);
    let fits = job
        .queued
        .partition_point(|task| task.work_secs / speed <= target_secs);
    match fits {
        0 => Some(Verdict::Hold),
        fits => {
            let position = fits.min(last + 1) - 1;
            let work = job.queued[position].work_secs;
            Some(Verdict::Place(
                slowest_within(fleet, work, target_secs).unwrap_or(best),
                position,
            ))
        }
    }
}

/// Returns the slowest upstream that is ready and ends a task in time.
fn slowest_within(fleet: &Fleet, work_secs: f64, target_secs: f64) -> Option<Rank> {
    let slowest =
        (0..crate::upstream::BUCKETS).find(|b| work_secs / bucket_speed(*b) <= target_secs)?;
    let bound = Rank {
        bucket: Reverse(slowest),
        far: true,
        agent: u64::MAX,
    };
    let rank = *fleet.ready.range(..=bound).next_back()?;
    // The nearest of the same speed.
    let near = Rank {
        bucket: rank.bucket,
        far: false,
        agent: 0,
    };
    fleet.ready.range(near..).next().copied()
}
