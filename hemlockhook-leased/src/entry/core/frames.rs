//! Frames to agents: the dispatcher's actions, signs of life, and what is passed on beside them.

use std::collections::{BTreeSet, HashMap};
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use hemlockhook_dispatch::TaskRef;
use hemlockhook_dispatch::entry::{Action, AgentKey, CancelCause};
use hemlockhook_proto::v1;

use super::{Core, State};
use crate::convert::{write_claim, write_order, write_task};

/// Maximum number of frames queued for a slow agent. If the queue is full, the link is closed.
const OUTGOING_QUEUE_CAPACITY: usize = 512;

/// Minimum time between the last frame to an agent and one that only echoes its report.
const MIN_ECHO_INTERVAL: Duration = Duration::from_millis(40);

impl Core {
    pub(super) fn flush_to_all(&self, now: Instant, state: &mut State) {
        let keys: Vec<_> = state.links.keys().copied().collect();
        self.flush_to(now, state, &keys);
    }

    /// Performs the dispatcher's pending actions, with at most one frame for each agent. Agents in
    /// `others` are also sent a frame if an echo, the configuration or their first frame is due.
    pub(super) fn flush_to(&self, now: Instant, state: &mut State, others: &[AgentKey]) {
        let mut frames: HashMap<AgentKey, v1::EntryOrders> = HashMap::new();
        loop {
            let mut checks = BTreeSet::new();
            for action in state.dispatcher.take_actions() {
                match action {
                    Action::Run(order) => {
                        let frame = frames.entry(order.agent).or_default();
                        frame.runs.push(write_order(&order.run));
                    }
                    Action::Cancel(agent, task, cause) => {
                        log_cancel(&task, cause);
                        let frame = frames.entry(agent).or_default();
                        let task = write_task(&task);
                        // Agents handle cancels before orders.
                        frame.runs.retain(|run| run.task.as_ref() != Some(&task));
                        frame.cancels.push(task);
                    }
                    Action::Claim(agent, claim) => {
                        let frame = frames.entry(agent).or_default();
                        frame.claims.push(write_claim(&claim));
                    }
                    Action::Wake(agent) => frames.entry(agent).or_default().wants_state = true,
                    Action::CheckCaller(job) => _ = checks.insert(job),
                    Action::Answer(job, answer) => self.answer(now, state, job, answer),
                }
            }
            if checks.is_empty() {
                break;
            }
            self.check_callers(now, state, checks);
        }
        let version = state.configuration.version;
        let is_alive = state.dispatcher.are_callers_checked(now);
        let mut keys: Vec<_> = frames.keys().chain(others).copied().collect();
        keys.sort_unstable();
        keys.dedup();
        for key in keys {
            let frame = frames.remove(&key);
            let Some(link) = state.links.get_mut(&key) else {
                if let Some(frame) = frame {
                    log_unsent(&frame);
                }
                continue;
            };
            let is_quiet = link
                .sent_at
                .is_none_or(|at| now.saturating_duration_since(at) >= MIN_ECHO_INTERVAL);
            let is_echo_due = is_alive && link.received_ms > link.echoed_ms && is_quiet;
            let is_sharing_due = link.is_configuration_due || link.is_request_due;
            let is_first = is_alive && link.sent_at.is_none();
            let are_drains_due =
                state.drains.is_frame_due(&link.drains) && (is_alive || link.sent_at.is_some());
            let is_sharing_due = is_sharing_due || are_drains_due;
            if frame.is_none() && !is_echo_due && !is_sharing_due && !is_first {
                continue;
            }
            // The first frame answers the agent's hello, and counts as a sign of life.
            if let Some(frame) = frame
                .as_ref()
                .filter(|_| link.sent_at.is_none() && !is_alive)
            {
                log_unsent(frame);
                continue;
            }
            let mut frame = frame.unwrap_or_default();
            frame.wants_config = std::mem::take(&mut link.is_request_due);
            if std::mem::take(&mut link.is_configuration_due) {
                frame.config = Some(v1::SharedConfig {
                    version,
                    document: state.config_document.to_vec(),
                });
            }
            if link.sent_entries != state.entries.len() {
                link.sent_entries = state.entries.len();
                frame.entries = state.entries.iter().cloned().collect();
            }
            frame.drains = state.drains.to_send(&mut link.drains);
            frame.incarnation = self.incarnation;
            frame.state_interval_ms = state.dispatcher.state_interval().as_millis() as u32;
            if is_alive {
                link.echoed_ms = link.received_ms;
            }
            frame.echo_ms = link.echoed_ms;
            frame.demand_milli = state.dispatcher.take_demand(key);
            frame.seq = state.dispatcher.next_seq(key);
            link.sent_at = Some(now);
            if link.tx.try_send(frame).is_err() {
                // The agent does not keep up with its frames. Closing the queue ends the link, and
                // the agent opens a new one.
                link.tx.close();
            }
        }
    }
}

/// Creates the queue of frames to an agent.
pub(crate) fn outgoing_queue() -> (Sender<v1::EntryOrders>, Receiver<v1::EntryOrders>) {
    async_channel::bounded(OUTGOING_QUEUE_CAPACITY)
}

fn log_cancel(task: &TaskRef, cause: CancelCause) {
    let job = &*task.task.job;
    let index = task.task.index;
    let attempt = task.attempt;
    let cause: &str = cause.into();
    spdlog::info!("cancelling an attempt", kv: { job, task = index, attempt, cause });
}

/// Logs a frame that is dropped since its agent has no link, or no sign of life may be given on it yet.
/// The first report on a link is compared with what the entry has.
fn log_unsent(frame: &v1::EntryOrders) {
    let (runs, cancels) = (frame.runs.len(), frame.cancels.len());
    let claims = frame.claims.len();
    spdlog::info!("a frame to an agent was dropped", kv: {
        runs,
        cancels,
        claims,
    });
}
