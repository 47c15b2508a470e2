//! Starts, ends, cancellations and fences.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;

use hemlockhook_ownership::{StartOrder, StartRefusal, Withdrawal};
use hemlockhook_proto::v1;
use hemlockhook_proto::v1::refusal::Reason;
use hemlockhook_types::{
    Ballot, Incarnation, JobKey, ShardId, TaskIndex, TaskOutcome, TaskResult, shard_of,
};

use super::frames;
use super::{Action, Call, Engine, LinkId, TaskId};

/// A task that the upstream works on.
#[derive(Debug)]
pub(super) struct Running {
    key: JobKey,
    index: TaskIndex,
    shard: ShardId,
    long: bool,
    started: Instant,
}

impl Engine {
    pub(super) fn on_start(
        &mut self,
        now: Instant,
        link: LinkId,
        entry: Incarnation,
        start: v1::Start,
    ) {
        let order = start.to_order(entry);
        let granted = self.slots.use_grant(now, entry, start.long);
        let refusal = match self.gate.check_start(now, &order) {
            Err(why) => {
                if why == StartRefusal::NotJoined {
                    // The announcement has lapsed: grants come again with the next one.
                    self.slots.set_slots(now, 0);
                }
                Some(frames::refusal(&order, why))
            }
            Ok(()) if !granted => Some(frames::refusal_for(&order, Reason::NoGrant, None)),
            Ok(()) if !self.serves(&order) => {
                Some(frames::refusal(&order, StartRefusal::NotJoined))
            }
            Ok(()) => None,
        };
        match refusal {
            Some(refusal) => {
                if granted {
                    self.slots.release_slot(now, start.long);
                }
                self.refuse(link, refusal);
            }
            None => self.run(now, &order, start),
        }
    }

    /// Returns a running task's job and index.
    pub fn task(&self, task: TaskId) -> Option<(&JobKey, TaskIndex)> {
        let running = self.tasks.get(task)?;
        Some((&running.key, running.index))
    }

    fn serves(&self, order: &StartOrder) -> bool {
        self.services_in_force().contains(&order.service)
    }

    fn refuse(&mut self, link: LinkId, refusal: v1::Refusal) {
        self.counters.refused += 1;
        if let Some(link) = self.links.get_mut(&link) {
            link.refuse(refusal);
        }
    }

    /// Records the start, then acts on it.
    fn run(&mut self, now: Instant, order: &StartOrder, start: v1::Start) {
        let recorded = self.gate.try_start(now, order);
        assert!(recorded.is_ok(), "a start that was checked is recorded");
        let id = (order.key.clone(), order.index);
        assert!(!self.by_key.contains_key(&id), "a task started twice");

        let task = self.tasks.insert(Running {
            key: order.key.clone(),
            index: order.index,
            shard: order.shard,
            long: start.long,
            started: now,
        });
        self.by_key.insert(id, task);
        self.counters.started += 1;
        self.actions.push(Action::RunTask {
            task,
            call: Call {
                key: order.key.clone(),
                index: order.index,
                service: order.service.clone(),
                payload: Bytes::from(start.payload),
                timeout: match start.timeout_ms {
                    0 => None,
                    ms => Some(Duration::from_millis(u64::from(ms))),
                },
            },
        });
    }

    pub(super) fn on_ended(&mut self, now: Instant, task: TaskId, result: TaskResult) {
        let Some(running) = self.tasks.remove(task) else {
            // It was stopped while its answer was on the way.
            self.counters.late_answers += 1;
            return;
        };
        self.by_key.remove(&(running.key.clone(), running.index));
        self.count_end(&result.outcome);

        let owner = self.gate.floor(running.shard).owner;
        let done = v1::TaskDone {
            key: running.key.to_string(),
            index: running.index,
            result: Some(result.clone().into()),
        };
        self.gate
            .finish_task(now, &running.key, running.index, result);
        match self.link_of(owner) {
            Some(link) => link.done(done),
            None => self.leaving.owe(running.shard),
        }
        self.slots.release_slot_for(now, owner, running.long);
    }

    pub(super) fn on_cancel(&mut self, now: Instant, entry: Incarnation, cancel: &v1::Cancel) {
        // An entry that lost the shard has no say over what its new owner carries on.
        if self.gate.floor(shard_of(&cancel.key)).owner != entry {
            return;
        }
        let key: JobKey = Arc::from(cancel.key.as_str());
        let stopped: Vec<TaskId> = match cancel.indexes.as_slice() {
            [] => {
                let of_job = self.tasks.iter().filter(|(_, running)| running.key == key);
                of_job.map(|(task, _)| task).collect()
            }
            indexes => {
                let ids = indexes.iter().map(|index| (key.clone(), *index));
                ids.filter_map(|id| self.by_key.get(&id).copied()).collect()
            }
        };
        for task in stopped {
            self.stop_task(now, task, TaskOutcome::Cancelled);
        }
    }

    /// Stops a running task, which then ends in `end`.
    pub(super) fn stop_task(&mut self, now: Instant, task: TaskId, outcome: TaskOutcome) {
        let Some(running) = self.tasks.get(task) else {
            return;
        };
        let run_time = now.saturating_duration_since(running.started);
        self.actions.push(Action::StopTask { task });
        self.on_ended(now, task, TaskResult { outcome, run_time });
    }

    /// Marks a job as not run, so that its owner may refuse it.
    pub(super) fn on_withdraw(
        &mut self,
        now: Instant,
        link: LinkId,
        entry: Incarnation,
        withdraw: v1::Withdraw,
    ) {
        let ballot = Ballot {
            counter: withdraw.ballot,
            owner: entry,
        };
        let withdrawal: Withdrawal = withdraw.job.unwrap_or_default().into();
        let outcome = self.gate.withdraw(now, ballot, &withdrawal);
        if let Some(link) = self.links.get_mut(&link) {
            link.withdrawn(frames::withdrawn(&withdrawal.key, outcome));
        }
    }

    pub(super) fn on_fence(&mut self, now: Instant, link: LinkId, fence: &v1::Fence) {
        let Some(ballot) = fence.ballot.map(Into::into) else {
            return;
        };
        let shards: Vec<ShardId> = fence.shards.iter().map(|shard| *shard as ShardId).collect();
        let report = self.gate.fence(now, &shards, ballot);
        self.counters.fences += 1;
        for shard in &shards {
            self.leaving.settle(*shard);
        }
        if let Some(link) = self.links.get_mut(&link) {
            link.report(v1::FenceReport {
                takeover: fence.takeover,
                ..report.into()
            });
        }
    }

    fn count_end(&mut self, outcome: &TaskOutcome) {
        match outcome {
            TaskOutcome::Ok(_) => self.counters.ended_ok += 1,
            TaskOutcome::Failed(_) => self.counters.ended_failed += 1,
            TaskOutcome::Cancelled | TaskOutcome::Evicted => self.counters.ended_cancelled += 1,
        }
    }
}
