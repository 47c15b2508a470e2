//! Tasks at agents: starting, finishing, refusals and cancellation.

use std::time::Instant;

use hemlockhook_ownership::{RefusalOutcome, StartOrder};
use hemlockhook_proto::starts::decode_refusal;
use hemlockhook_proto::v1;
use hemlockhook_runtime::log;
use hemlockhook_schedule::{Intervention, Placement};
use hemlockhook_types::{
    Incarnation, JobKey, ShardId, TaskIndex, TaskOutcome, TaskResult, shard_of,
};

use super::Engine;
use crate::event::Action;

impl Engine {
    /// Starts the tasks that the dispatcher places, and returns unusable grants.
    pub(super) fn place_tasks(&mut self, now: Instant) {
        while let Some(placement) = self.dispatcher.place_next(now) {
            self.place_task(now, placement);
        }
        for (agent, count) in self.dispatcher.take_unusable_grants(now) {
            self.outgoing_frame(agent).returned_grants += count;
        }
    }

    fn place_task(&mut self, now: Instant, placement: Placement) {
        let Placement {
            agent,
            job,
            index,
            long,
        } = placement;
        let key = self.scheduled_jobs.get(&job).cloned();
        let order = key
            .as_ref()
            .and_then(|key| self.owner.start_task(now, key, index, agent));
        let (Some(key), Some(order)) = (key, order) else {
            // The job was settled while the task was queued, so the grant is returned.
            self.dispatcher.discard_task(now, agent, job, index);
            self.outgoing_frame(agent).returned_grants += 1;
            return;
        };

        let pending = self.pending_jobs.get(&key);
        let pending = pending.expect("every scheduled job is pending");
        let task = &pending.job().tasks[index as usize];
        let start = v1::Start {
            payload: task.payload.to_vec(),
            timeout_ms: self.task_timeout_ms(&order, pending.deadline(), now),
            long,
            ..v1::Start::from(&order)
        };
        self.placed_tasks.insert((key, index), (agent, job));
        self.counters.starts += 1;
        self.outgoing_frame(agent).starts.push(start);
    }

    /// Returns the longest time that a task may take, in milliseconds.
    fn task_timeout_ms(&self, order: &StartOrder, deadline: Instant, now: Instant) -> u32 {
        let left = deadline.saturating_duration_since(now);
        let allowed = self
            .inventory
            .as_ref()
            .and_then(|inventory| inventory.service(&order.service))
            .map_or(left, |service| service.max_task_time.min(left));
        allowed.as_millis().clamp(1, u128::from(u32::MAX)) as u32
    }

    pub(super) fn on_task_done(&mut self, now: Instant, agent: Incarnation, done: v1::TaskDone) {
        let key = JobKey::from(done.key);
        let result: TaskResult = done.result.unwrap_or_default().into();
        if let Some((_, job)) = self.placed_tasks.remove(&(key.clone(), done.index)) {
            match result.outcome {
                TaskOutcome::Cancelled => self.dispatcher.discard_task(now, agent, job, done.index),
                _ => {
                    let ok = matches!(result.outcome, TaskOutcome::Ok(_));
                    let run_time = result.run_time;
                    self.dispatcher
                        .finish_task(now, agent, job, done.index, run_time, ok);
                }
            }
        }
        self.owner
            .on_task_ended(now, agent, &key, done.index, result);
    }

    pub(super) fn on_refusal(&mut self, now: Instant, agent: Incarnation, refusal: v1::Refusal) {
        let reason = decode_refusal(refusal.reason(), refusal.floor);
        let key = JobKey::from(refusal.key);
        let outcome = self
            .owner
            .on_start_refused(now, agent, &key, refusal.index, reason);
        let Some((_, job)) = self.placed_tasks.remove(&(key.clone(), refusal.index)) else {
            return;
        };
        log::task(&key, refusal.index).debug(&format!("agent refused to start the task: {reason}"));
        match outcome {
            RefusalOutcome::Requeue => self.dispatcher.requeue_task(now, agent, job, refusal.index),
            RefusalOutcome::Ignore => self.dispatcher.discard_task(now, agent, job, refusal.index),
        }
    }

    pub(super) fn on_withdrawn(
        &mut self,
        now: Instant,
        agent: Incarnation,
        withdrawn: v1::Withdrawn,
    ) {
        let outcome = match withdrawn.refusal {
            None => Ok(()),
            Some(_) => Err(decode_refusal(withdrawn.refusal(), withdrawn.floor)),
        };
        self.owner
            .on_withdrawn(now, agent, &withdrawn.key.into(), outcome);
    }

    /// Forgets the running tasks of a lost shard, whose results go to its new owner.
    pub(super) fn forget_tasks(&mut self, now: Instant, shard: ShardId) {
        let placed_tasks = self
            .placed_tasks
            .extract_if(|(key, _), _| shard_of(key) == shard);
        for ((_, index), (agent, job)) in placed_tasks {
            self.dispatcher.discard_task(now, agent, job, index);
        }
    }

    /// Cancels a task that an agent runs or is about to run.
    pub(super) fn cancel_task(&mut self, agent: Incarnation, key: &JobKey, index: TaskIndex) {
        let frame = self.outgoing_frame(agent);
        match frame.cancels.last_mut() {
            Some(cancel) if cancel.key == **key => cancel.indexes.push(index),
            _ => frame.cancels.push(v1::Cancel {
                key: key.to_string(),
                indexes: vec![index],
            }),
        }
    }

    /// Requests that the platform throttle or checkpoint long tasks that were declared short, while
    /// short ones wait.
    pub(super) fn intervene(&mut self, now: Instant) {
        for Intervention {
            agent,
            job,
            index,
            kind,
        } in self.dispatcher.take_interventions(now)
        {
            let (Some(link), Some(key)) = (self.links.get(&agent), self.scheduled_jobs.get(&job))
            else {
                continue;
            };
            let worker = link.hello.worker.clone();
            let task = format!("{key}/{index}");
            log::task(key, index).info(&format!("asking the platform to {kind} the task"));
            self.actions.push(Action::Intervene { worker, task, kind });
        }
    }
}
