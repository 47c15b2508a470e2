//! The status of a single job, for operators.

use std::time::Instant;

use hemlockhook_inventory::admin::{JobStatus, TaskState, TaskStatus};
use hemlockhook_ownership::LookupResult;
use hemlockhook_types::{Answer, JobKey, TaskIndex, shard_of};

use super::Engine;
use super::jobs::{JobRoute, PendingJob};
use super::report::millis_until;

impl Engine {
    /// Returns the status of a job, if this entry knows it.
    pub fn job_status(&self, now: Instant, key: &JobKey) -> Option<JobStatus> {
        let pending = self.pending_jobs.get(key);
        let answer = match self.owner.look_up(key) {
            LookupResult::Answered(answer) => Some(answer),
            _ if pending.is_none() => return None,
            _ => None,
        };
        let tasks = match (&answer, pending) {
            (Some(answer), _) => ended_tasks(answer),
            (None, Some(pending)) => self.task_statuses(key, pending),
            (None, None) => Vec::new(),
        };
        Some(JobStatus {
            key: key.to_string(),
            entry: self.identity.name.clone(),
            shard: shard_of(key),
            service: pending.map_or_else(String::new, |s| s.job().service.to_string()),
            answer: answer.as_ref().map(Answer::kind),
            reason: answer.as_ref().and_then(Answer::reason),
            detail: match &answer {
                Some(answer) => detail(answer),
                None => pending.map(|s| route_detail(s.route()).to_owned()),
            },
            age_ms: pending.map(|s| s.age(now).as_millis() as u64),
            deadline_in_ms: pending.map(|s| millis_until(now, s.deadline())),
            tasks,
        })
    }

    /// Returns the tasks of an unanswered job that this entry handles itself.
    fn task_statuses(&self, key: &JobKey, pending: &PendingJob) -> Vec<TaskStatus> {
        if !matches!(pending.route(), JobRoute::Local(_)) {
            return Vec::new();
        }
        let running = self.owner.running_tasks(key);
        let not_started = self.owner.unstarted_tasks(key);
        let count = pending.job().tasks.len() as TaskIndex;
        (0..count)
            .map(|index| {
                let agent = running.iter().find(|(_, running)| *running == index);
                let (state, detail) = match agent {
                    Some(_) => (TaskState::Running, None),
                    None if not_started.contains(&index) => {
                        (TaskState::Queued, Some("it waits for a slot"))
                    }
                    None => (TaskState::Ok, None),
                };
                TaskStatus {
                    index,
                    state,
                    upstream: agent
                        .and_then(|(agent, _)| self.links.get(agent))
                        .map(|link| link.name.clone()),
                    for_ms: None,
                    detail: detail.map(str::to_owned),
                }
            })
            .collect()
    }
}

/// Returns the tasks of a complete job. Other answers don't keep the outcomes of single tasks.
fn ended_tasks(answer: &Answer) -> Vec<TaskStatus> {
    let Answer::Complete(results) = answer else {
        return Vec::new();
    };
    (0..)
        .zip(results)
        .map(|(index, _)| TaskStatus {
            index,
            state: TaskState::Ok,
            ..TaskStatus::default()
        })
        .collect()
}

fn detail(answer: &Answer) -> Option<String> {
    match answer {
        Answer::Complete(_) => None,
        Answer::Failed { detail, .. }
        | Answer::NotRun { detail, .. }
        | Answer::Unknown { detail, .. } => Some(detail.clone()),
    }
}

fn route_detail(route: JobRoute) -> &'static str {
    match route {
        JobRoute::Unrouted => "no entry that owns its shard is known",
        JobRoute::Local(_) => "it is dealt with at this entry",
        JobRoute::Forwarded(..) => "it is forwarded to the entry that owns its shard",
    }
}
