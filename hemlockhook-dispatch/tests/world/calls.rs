//! Calls to simulated upstreams.

use hemlockhook_dispatch::agent::{
    Action, HoldCall, HoldResult, StartCall, StartResult, StopCall, StopResult,
};
use std::time::Instant;

use super::{Answered, Event, STOP_ATTEMPTS, World};

impl World {
    pub(super) fn call(&mut self, agent: usize, call: Action, late_since: Option<Instant>) {
        let is_answered = late_since.is_none();
        let incarnation = self.agents[agent].incarnation;
        let now = self.now;
        let upstream = &mut self.upstreams[agent];
        if let Some(delay) = upstream.suspended_ms(now) {
            let event = Event::Call {
                agent,
                call,
                late_since,
            };
            return self.push(delay, event);
        }
        // An upstream that no agent has called yet can't refuse late calls that were meant for an
        // earlier incarnation of the same name. docs/QUESTIONS.md asks whether they are carried out;
        // this simulation drops them.
        if !is_answered && !upstream.was_called() {
            return;
        }
        // For some late start calls, the lease is counted from their arrival. If the upstream answered
        // no call since the agent began to stop the run, the design does not cover the case; see
        // docs/design/platform.md.
        let is_stoppable =
            late_since.is_some_and(|sent| self.answered_at[agent] > sent + STOP_ATTEMPTS);
        let is_extended = self.faults.extends_unstoppable_leases || is_stoppable;
        let extends_lease = !is_answered && self.rng.bool() && is_extended;
        let (answer, delay) = match call {
            Action::Start(StartCall {
                key,
                task,
                run,
                payload,
                until_ms,
                fence,
                instance,
                life,
                ..
            }) => {
                let until_ms = match extends_lease {
                    true => upstream.clock_ms(now) + 450,
                    false => until_ms,
                };
                let result =
                    upstream.start(now, &instance, fence, task.clone(), run, &payload, until_ms);
                if matches!(result, StartResult::Started { .. }) {
                    let job: usize = task.job["job-".len()..].parse().expect("a job's name");
                    self.jobs[job].began = true;
                    let required = &self.jobs[job].spec.steps[0].required_label;
                    let has_label = required.is_none() || *required == upstream.kind;
                    if upstream.service != self.queue_config.service || !has_label {
                        let (service, kind) = (&upstream.service, &upstream.kind);
                        let violation = format!(
                            "started on another kind or service: job-{job} on {service}, {kind:?}"
                        );
                        self.summary.violations.insert(violation);
                    }
                    if self.jobs[job].rejected {
                        let violation = format!("started after its refusal: job-{job}");
                        self.summary.violations.insert(violation);
                    }
                }
                (Answered::Start(key, life, result), 1)
            }
            Action::Stop(StopCall {
                task,
                run,
                fence,
                instance,
                life,
                ..
            }) => {
                let result = upstream.stop(now, &instance, fence, &task.task, run);
                (Answered::Stop(task, life, result), 1)
            }
            Action::Hold(HoldCall {
                until_ms,
                last_seen,
                wait,
                fence,
                instance,
                life,
            }) => {
                let result = upstream.hold(now, &instance, fence, until_ms, last_seen);
                let delay = match &result {
                    Some(HoldResult::Lists { ended, .. }) if ended.is_empty() => {
                        (wait.as_millis() as u64).min(30) + 1
                    }
                    _ => 1,
                };
                (Answered::Hold(now, life, wait, result), delay)
            }
        };
        // A call to another instance tells the upstream nothing of the agent's fencing token.
        let is_carried_out = !matches!(
            answer,
            Answered::Start(_, _, StartResult::OtherInstance)
                | Answered::Stop(_, _, StopResult::Unsettled)
                | Answered::Hold(_, _, _, Some(HoldResult::OtherInstance))
        );
        if is_answered && is_carried_out {
            self.answered_at[agent] = now;
        }
        if is_answered {
            self.push(
                delay,
                Event::Answered {
                    agent,
                    incarnation,
                    answer,
                },
            );
        }
    }
}
