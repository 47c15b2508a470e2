//! Callers that wait for the answers to their jobs.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_channel::Sender;
use hemlockhook_dispatch::entry::{Answer, ClassLoad, JobKey, Refusal, Submission};
use hemlockhook_runtime::io::Peer;

use super::{Core, State};

pub(super) struct Waiters {
    callers: Vec<(Peer, Sender<Answer>)>,
    submitted: Instant,
    /// Time for which the first caller said that it would wait; 0 if it said none.
    wait_ms: u64,
    queue: Arc<str>,
    id: Arc<str>,
}

impl Core {
    /// Submits a job, or returns why it is refused. The answer to an admitted job is sent to `tx`.
    pub(crate) fn submit(
        &self,
        submission: Submission,
        peer: Peer,
        tx: Sender<Answer>,
    ) -> Result<JobKey, Refusal> {
        let now = self.clock.now();
        let queue = submission.queue_config.name.clone();
        let id = submission.spec.id.clone();
        let wait_ms = submission
            .caller_timeout
            .map_or(0, |wait| wait.as_millis() as u64);
        let mut state = self.lock();
        let submitted = state.dispatcher.submit(now, submission);
        match &submitted {
            Ok(key) => {
                let open = state.dispatcher.jobs();
                let waiters = state.waiters.entry(*key).or_insert(Waiters {
                    callers: Vec::new(),
                    submitted: now,
                    wait_ms,
                    queue,
                    id,
                });
                waiters.callers.push((peer, tx));
                let (job, queue) = (&*waiters.id, &*waiters.queue);
                let callers = waiters.callers.len();
                spdlog::info!("a job is admitted", kv: { job, queue, callers, open, wait_ms });
            }
            Err(refusal) => {
                let answer = Answer::NotRun(refusal.clone());
                self.metrics.record_answer(&queue, &answer, Duration::ZERO);
                let refused_class = state.dispatcher.refused_class();
                if let Some(class) = refused_class.filter(|_| is_overload(refusal)) {
                    let booked = state.dispatcher.booked_returns();
                    self.metrics.record_class_refusal(class, booked);
                }
                log_refusal(&state, now, &queue, &id, refusal);
            }
        }
        self.flush_to(now, &mut state, &[]);
        submitted
    }

    /// Handles the disconnection of a caller. The job is dropped if no other caller waits for it.
    pub(crate) fn abandon(&self, key: JobKey) {
        let now = self.clock.now();
        let mut state = self.lock();
        let Some(waiters) = state.waiters.get_mut(&key) else {
            return;
        };
        // A caller that disconnected has dropped its receiver.
        waiters.callers.retain(|(_, tx)| !tx.is_closed());
        if !waiters.callers.is_empty() {
            return;
        }
        self.remove_waiters(now, &mut state, key);
        state.dispatcher.abandon(now, key);
        self.flush_to(now, &mut state, &[]);
    }

    /// Removes the waiters of a job whose callers have all left.
    fn remove_waiters(&self, now: Instant, state: &mut State, key: JobKey) {
        let Some(waiters) = state.waiters.remove(&key) else {
            return;
        };
        let job = &*waiters.id;
        let queue = &*waiters.queue;
        let after_ms = now.saturating_duration_since(waiters.submitted).as_millis() as u64;
        // If the job was here for less, its request waited before it was read, or the caller gave up.
        let wait_ms = waiters.wait_ms;
        spdlog::info!("the caller disconnected; its job is dropped", kv: {
            job,
            queue,
            after_ms,
            wait_ms,
        });
        self.metrics.record_abandoned(queue);
    }

    /// Checks whether the callers of jobs are still connected. The tasks that handle their connections
    /// may not have run for long.
    pub(super) fn check_callers(&self, now: Instant, state: &mut State, keys: BTreeSet<JobKey>) {
        let mut connected = Vec::new();
        let mut left = Vec::new();
        for key in keys {
            let waiters = state.waiters.get_mut(&key);
            let is_connected = waiters.is_some_and(|waiters| {
                waiters.callers.retain(|(peer, _)| !peer.has_left());
                !waiters.callers.is_empty()
            });
            if is_connected {
                connected.push(key);
            } else {
                self.remove_waiters(now, state, key);
                left.push(key);
            }
        }
        state.dispatcher.callers_seen(now, &connected, &left);
    }

    pub(super) fn answer(&self, now: Instant, state: &mut State, job: JobKey, answer: Answer) {
        let Some(waiters) = state.waiters.remove(&job) else {
            return;
        };
        let duration = now.saturating_duration_since(waiters.submitted);
        self.metrics
            .record_answer(&waiters.queue, &answer, duration);
        let outcome: &str = (&answer).into();
        let id = &*waiters.id;
        let queue = &*waiters.queue;
        let took_ms = duration.as_millis() as u64;
        spdlog::info!("a job is answered", kv: { job = id, queue, outcome, took_ms });
        for (_, tx) in waiters.callers {
            // Sending fails only if the caller has disconnected.
            let _ = tx.try_send(answer.clone());
        }
    }
}

fn log_refusal(state: &State, now: Instant, queue: &str, id: &str, refusal: &Refusal) {
    let reason: &str = refusal.into();
    let retry_ms = refusal
        .retry_after()
        .map_or(0, |wait| wait.as_millis() as u64);
    let agents = state.dispatcher.usable_agents(now);
    let open = state.dispatcher.jobs();
    let version = state.configuration.version;
    let refused_class = state.dispatcher.refused_class();
    if let Some(class) = refused_class.filter(|_| is_overload(refusal)) {
        let band: &str = class.band.into();
        let (share, demand) = (millicores(class.share), millicores(class.demand));
        let backlog_ms = millicores(class.backlog);
        spdlog::info!("a job is refused", kv: {
            job = id,
            queue,
            reason,
            retry_ms,
            agents,
            open,
            version,
            band,
            share,
            demand,
            backlog_ms,
        });
        return;
    }
    spdlog::info!("a job is refused", kv: {
        job = id,
        queue,
        reason,
        retry_ms,
        agents,
        open,
        version,
    });
}

fn is_overload(refusal: &Refusal) -> bool {
    matches!(refusal, Refusal::Overload { .. })
}

/// Logs that a class went over its share of the entry's capacity, or is back within it.
pub(super) fn log_class_change(class: &ClassLoad) {
    let queue = &*class.queue;
    let band: &str = class.band.into();
    let (share, demand) = (millicores(class.share), millicores(class.demand));
    let backlog_ms = millicores(class.backlog);
    let is_over = class.is_over;
    spdlog::info!("a class went over its share, or is back within it", kv: {
        queue,
        band,
        is_over,
        share,
        demand,
        backlog_ms,
    });
}

/// Converts core-seconds per second to thousandths of a core, and core-seconds to milliseconds of a core.
fn millicores(cores: f64) -> u64 {
    (cores * 1000.0) as u64
}
