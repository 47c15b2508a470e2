//! Starting, ending, cancelling and withdrawing tasks, and fences.

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

/// A task that the upstream is running.
#[derive(Debug)]
pub(super) struct RunningTask {
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
        let had_grant = self.slots.use_grant(now, entry, start.long);
        let refusal = match self.gate.check_start(now, &order) {
            Err(cause) => {
                if cause == StartRefusal::NotJoined {
                    // The lease of the announcement has expired. Grants are given again once the
                    // next announcement is in the log.
                    self.slots.set_slots(now, 0);
                }
                Some(frames::refusal(&order, cause))
            }
            Ok(()) if !had_grant => {
                Some(frames::refusal_with_reason(&order, Reason::NoGrant, None))
            }
            Ok(()) if !self.serves(&order) => {
                Some(frames::refusal(&order, StartRefusal::NotJoined))
            }
            Ok(()) => None,
        };
        match refusal {
            Some(refusal) => {
                if had_grant {
                    self.slots.release_slot(now, start.long);
                }
                self.refuse(link, refusal);
            }
            None => self.start_task(now, &order, start),
        }
    }

    /// Returns a running task's job and index.
    pub fn task(&self, task: TaskId) -> Option<(&JobKey, TaskIndex)> {
        let running = self.tasks.get(task)?;
        Some((&running.key, running.index))
    }

    fn serves(&self, order: &StartOrder) -> bool {
        self.active_services().contains(&order.service)
    }

    fn refuse(&mut self, link: LinkId, refusal: v1::Refusal) {
        self.counters.refused += 1;
        if let Some(link) = self.links.get_mut(&link) {
            link.add_refusal(refusal);
        }
    }

    /// Marks the task as started, then calls the upstream.
    fn start_task(&mut self, now: Instant, order: &StartOrder, start: v1::Start) {
        let started = self.gate.try_start(now, order);
        assert!(
            started.is_ok(),
            "gate refused a start that it had just allowed"
        );
        let id = (order.key.clone(), order.index);
        assert!(
            !self.tasks_by_key.contains_key(&id),
            "gate allowed a second start of a running task"
        );

        let task = self.tasks.insert(RunningTask {
            key: order.key.clone(),
            index: order.index,
            shard: order.shard,
            long: start.long,
            started: now,
        });
        self.tasks_by_key.insert(id, task);
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

    pub(super) fn on_task_ended(&mut self, now: Instant, task: TaskId, result: TaskResult) {
        let Some(running) = self.tasks.remove(task) else {
            // The task was stopped while its result was in flight.
            self.counters.late_answers += 1;
            return;
        };
        self.tasks_by_key
            .remove(&(running.key.clone(), running.index));
        self.count_outcome(&result.outcome);

        let owner = self.gate.floor(running.shard).owner;
        let done = v1::TaskDone {
            key: running.key.to_string(),
            index: running.index,
            result: Some(result.clone().into()),
        };
        self.gate
            .finish_task(now, &running.key, running.index, result);
        match self.link_of(owner) {
            Some(link) => link.add_result(done),
            None => self.leaving.add_undelivered(running.shard),
        }
        self.slots.release_slot_for(now, owner, running.long);
    }

    pub(super) fn on_cancel(&mut self, now: Instant, entry: Incarnation, cancel: &v1::Cancel) {
        // An entry that lost the shard must not cancel tasks that the new owner continues.
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
                ids.filter_map(|id| self.tasks_by_key.get(&id).copied())
                    .collect()
            }
        };
        for task in stopped {
            self.stop_task(now, task, TaskOutcome::Cancelled);
        }
    }

    /// Aborts a running task, which then ends with `outcome`.
    pub(super) fn stop_task(&mut self, now: Instant, task: TaskId, outcome: TaskOutcome) {
        let Some(running) = self.tasks.get(task) else {
            return;
        };
        let run_time = now.saturating_duration_since(running.started);
        self.actions.push(Action::StopTask { task });
        self.on_task_ended(now, task, TaskResult { outcome, run_time });
    }

    /// Withdraws a job that has not started here, so that its owner may answer it as not run.
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
            link.add_withdrawal_reply(frames::withdrawal_reply(&withdrawal.key, outcome));
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
            self.leaving.clear_undelivered(*shard);
        }
        if let Some(link) = self.links.get_mut(&link) {
            link.add_fence_report(v1::FenceReport {
                takeover: fence.takeover,
                ..report.into()
            });
        }
    }

    fn count_outcome(&mut self, outcome: &TaskOutcome) {
        match outcome {
            TaskOutcome::Ok(_) => self.counters.ended_ok += 1,
            TaskOutcome::Failed(_) => self.counters.ended_failed += 1,
            TaskOutcome::Cancelled | TaskOutcome::Evicted => self.counters.ended_cancelled += 1,
        }
    }
}
