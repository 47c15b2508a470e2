//! Avoidance of co-location interference.

use std::sync::Arc;
use std::time::Instant;

use super::Dispatcher;
use crate::agent::TaskKind;
use crate::entry::interference::PairChange;
use crate::entry::placement::{Candidate, speed_class};
use crate::entry::{AgentKey, JobKey};

/// Minimum difference of the sums of logarithms for which another upstream is preferred.
const MIN_HARM_DIFFERENCE: f64 = 0.02;

/// Maximum number of changes that are kept until they are taken.
const MAX_CHANGES: usize = 64;

impl Dispatcher {
    /// Takes the pairs of queues that were found to slow each other down, and those withdrawn.
    pub fn take_pair_changes(&mut self) -> Vec<PairChange> {
        std::mem::take(&mut self.pair_changes)
    }

    /// Returns the pairs of queues of which the first is slowed down by the second.
    pub fn interfering_pairs(&self) -> Vec<(Arc<str>, Arc<str>)> {
        self.interfering.found()
    }

    /// Returns the kind of a job's tasks for the agents; 0 if they are not to learn from them.
    pub(super) fn task_kind(&mut self, key: JobKey) -> TaskKind {
        match self.policy.avoids_interference {
            true => self.interfering.kind(&self.jobs[key].queue_config.name),
            false => 0,
        }
    }

    pub(super) fn judge_interference(&mut self, now: Instant) {
        if !self.policy.avoids_interference {
            return;
        }
        let linked = self.agents.values().filter(|agent| agent.is_linked);
        let reports = linked.flat_map(|agent| agent.pairs.iter());
        let changes = self.interfering.judge(now, reports);
        self.pair_changes.extend(changes);
        self.pair_changes.truncate(MAX_CHANGES);
    }

    /// Returns the upstream at which a task of a job does and suffers the least harm, among those equal
    /// to the chosen one: without a wait, as fast, and as close to the data.
    pub(super) fn least_disturbed(
        &mut self,
        key: JobKey,
        candidates: &[Candidate<AgentKey>],
        chosen: AgentKey,
    ) -> AgentKey {
        let best = candidates.iter().find(|c| c.key == chosen);
        let Some(best) = best.filter(|c| c.wait.is_zero() && !self.interfering.is_empty()) else {
            return chosen;
        };
        let kind = self.task_kind(key);
        let harm =
            |c: &Candidate<AgentKey>| self.interfering.harm(kind, &self.agents[c.key].running());
        let is_equal = |c: &&Candidate<AgentKey>| {
            c.wait.is_zero()
                && c.is_far == best.is_far
                && speed_class(c.run_time) == speed_class(best.run_time)
        };
        let limit = harm(best) - MIN_HARM_DIFFERENCE;
        let equal = candidates.iter().filter(is_equal);
        let harms = equal
            .map(|c| (harm(c), c))
            .filter(|&(harm, _)| harm <= limit);
        let least = harms.min_by(|(a, x), (b, y)| {
            let order = a.total_cmp(b);
            order.then(y.free_fraction.total_cmp(&x.free_fraction))
        });
        least.map_or(chosen, |(_, c)| c.key)
    }
}
