//! Jobs that require a label of their upstream.
//!
//! A job whose label no live upstream has is refused at once: it would otherwise wait for the next life of an
//! upstream, which may be of another kind, until its answer is too late.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Instant;

use super::Dispatcher;
use crate::entry::Refusal;
use crate::entry::agents::Agent;
use crate::entry::job::Job;
use crate::{Amounts, StepSpec};

/// Capacities of the live upstreams, by their service and label.
type LabelledCapacities<'a> = BTreeMap<(&'a str, &'a str), Vec<Amounts>>;

impl Dispatcher {
    /// Returns whether a task of a job requires a label that no live upstream of its service has together with
    /// the capacity for it.
    pub(super) fn lacks_label(&self, now: Instant, job: &Job) -> bool {
        if !job.spec.steps.iter().any(requires_label) || self.may_know_more_labels(now) {
            return false;
        }
        let services = [job.queue_config.service.as_ref()];
        lacks_labels(job, &self.labelled_capacities(now, &services))
    }

    /// Refuses the queued jobs that have not begun and that no live upstream has the label for. Jobs that
    /// have begun wait for another upstream until their deadline.
    pub(super) fn refuse_unlabelled_jobs(&mut self, now: Instant) {
        let queued = self
            .queue
            .iter()
            .map(|rank| (rank.job, &self.jobs[rank.job]));
        let is_concerned = |job: &Job| !job.has_begun && job.spec.steps.iter().any(requires_label);
        let concerned: Vec<_> = queued.filter(|(_, job)| is_concerned(job)).collect();
        if concerned.is_empty() || self.may_know_more_labels(now) {
            return;
        }
        let mut services: Vec<_> = concerned
            .iter()
            .map(|(_, job)| job.queue_config.service.as_ref())
            .collect();
        services.sort_unstable();
        services.dedup();
        let capacities = self.labelled_capacities(now, &services);
        let refused = concerned
            .iter()
            .filter(|(_, job)| lacks_labels(job, &capacities));
        let refused: Vec<_> = refused.map(|&(key, _)| key).collect();
        for key in refused {
            let retry_after = self.policy.min_retry_after;
            let answer = self.unbegun_answer(key, Refusal::MissingLabel { retry_after });
            self.answer(now, key, answer);
        }
    }

    /// Returns whether agents have yet to link, or to report their upstream's labels.
    fn may_know_more_labels(&self, now: Instant) -> bool {
        let timeout = self.policy.agent_timeout;
        let is_about_to_report = |agent: &Agent| agent.is_about_to_report(now, timeout);
        self.is_starting(now)
            || self.is_gathering_agents(now)
            || self.agents.values().any(is_about_to_report)
    }

    /// Returns the different capacities of the live upstreams of some services, by service and label.
    fn labelled_capacities(&self, now: Instant, services: &[&str]) -> LabelledCapacities<'_> {
        let mut capacities = LabelledCapacities::new();
        let states = self
            .agents
            .values()
            .filter_map(|agent| agent.live_state(now));
        for state in states.filter(|state| services.contains(&state.service.as_ref())) {
            for label in &state.labels {
                let known = capacities
                    .entry((state.service.as_ref(), label.as_ref()))
                    .or_default();
                if !known.contains(&state.capacity) {
                    known.push(state.capacity);
                }
            }
        }
        capacities
    }
}

fn requires_label(step: &StepSpec) -> bool {
    step.required_label.is_some()
}

/// Returns whether a step of a job requires a label that no upstream has together with the capacity for a task.
fn lacks_labels(job: &Job, capacities: &LabelledCapacities<'_>) -> bool {
    let service = job.queue_config.service.as_ref();
    let has_capacity = |step: &StepSpec, label: &Arc<str>| {
        let known = capacities.get(&(service, label.as_ref()));
        known.is_some_and(|known| known.iter().any(|capacity| step.need.fits(capacity)))
    };
    let lacks = |step: &StepSpec| {
        let label = step.required_label.as_ref();
        label.is_some_and(|label| !has_capacity(step, label))
    };
    job.spec.steps.iter().any(lacks)
}
