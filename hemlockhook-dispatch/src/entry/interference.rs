//! Pairs of queues whose tasks slow each other down, as learned by the agents.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use xxhash_rust::xxh3::xxh3_64;

use crate::agent::{MAX_KINDS, PairSlowdown, TaskKind};

/// Minimum logarithm of the slowdown of a pair that is found. In a replay with run times that vary as
/// on the target deployments, significant estimates of pairs without a slowdown reached 0.153.
const MIN_LOG_FACTOR: f64 = 0.2;

/// Minimum ratio of the slowdown to its standard error for a pair to be found. In the same replay,
/// estimates of at least 0.2 for pairs without a slowdown had at most 3.3.
const MIN_SIGNIFICANCE: f64 = 5.0;

/// Number of standard errors by which the slowdown of a pair that was found has to be below the minimum
/// for the pair to be withdrawn.
const WITHDRAWAL_SIGNIFICANCE: f64 = 2.0;

/// Time after which a pair is withdrawn if nothing confirms it. Tasks that are kept apart give little
/// evidence, and would otherwise be mixed again at once.
const RETENTION: Duration = Duration::from_secs(300);

/// Time between judgements of the pairs.
const JUDGEMENT_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum number of pairs that are kept.
const MAX_PAIRS: usize = MAX_KINDS * MAX_KINDS;

/// A pair that was found or withdrawn.
#[derive(Clone, Debug, PartialEq)]
pub struct PairChange {
    /// Queue whose tasks are slowed down; empty if this entry has had no job of it.
    pub queue: Arc<str>,
    /// Queue of the tasks beside them; empty if this entry has had no job of it.
    pub other: Arc<str>,
    /// Factor on the run time.
    pub factor: f64,
    /// Whether the pair was found, rather than withdrawn.
    pub is_found: bool,
}

#[derive(Clone, Copy, Debug)]
struct Found {
    /// Logarithm of the factor on the run time.
    log_factor: f64,
    /// When it was last significant.
    confirmed_at: Instant,
}

/// Weighted sums of what the agents report of a pair.
#[derive(Debug, Default)]
struct Evidence {
    weight: f64,
    sum: f64,
    /// Sums with the squares of the weights.
    squared_weight: f64,
    squared_weight_sum: f64,
    squared_weight_squares: f64,
}

impl Evidence {
    fn add(&mut self, pair: &PairSlowdown) {
        let (value, weight) = (pair.log_factor, pair.weight);
        self.weight += weight;
        self.sum += weight * value;
        self.squared_weight += weight * weight;
        self.squared_weight_sum += weight * weight * value;
        self.squared_weight_squares += weight * weight * value * value;
    }

    /// Returns whether it shows a slowdown.
    fn is_significant(&self) -> bool {
        let mean = self.mean();
        mean >= MIN_LOG_FACTOR && mean >= self.error() * MIN_SIGNIFICANCE
    }

    /// Returns whether it shows that there is no slowdown.
    fn is_contrary(&self) -> bool {
        self.weight > 0.0 && self.mean() + self.error() * WITHDRAWAL_SIGNIFICANCE < MIN_LOG_FACTOR
    }

    fn mean(&self) -> f64 {
        self.sum / self.weight.max(f64::MIN_POSITIVE)
    }

    /// Returns the standard error of the mean: by the agents' own errors, or by how much their
    /// estimates differ if that is more. The errors of the tasks of one job are alike, which an agent
    /// does not account for.
    fn error(&self) -> f64 {
        let weight = self.weight.max(f64::MIN_POSITIVE);
        let mean = self.mean();
        let spread = self.squared_weight_squares - 2.0 * mean * self.squared_weight_sum
            + mean * mean * self.squared_weight;
        (1.0 / weight).max(spread / (weight * weight)).sqrt()
    }
}

/// The pairs that slow each other down.
#[derive(Debug, Default)]
pub(super) struct InterferingPairs {
    /// The pairs, by slowed-down kind and kind beside it.
    pairs: BTreeMap<(TaskKind, TaskKind), Found>,
    queues: BTreeMap<TaskKind, Arc<str>>,
    judged_at: Option<Instant>,
}

impl InterferingPairs {
    /// Returns the kind of a queue's tasks, and keeps the name for log lines.
    pub(super) fn kind(&mut self, queue: &Arc<str>) -> TaskKind {
        let kind = task_kind(queue);
        if self.queues.len() < MAX_PAIRS {
            self.queues.entry(kind).or_insert_with(|| queue.clone());
        }
        kind
    }

    pub(super) fn is_empty(&self) -> bool {
        self.pairs.is_empty()
    }

    /// Returns the pairs that were found, by the names of their queues.
    pub(super) fn found(&self) -> Vec<(Arc<str>, Arc<str>)> {
        let names = |&(kind, other)| (self.name(kind), self.name(other));
        self.pairs.keys().map(names).collect()
    }

    /// Combines what the agents have learned, weighted by evidence. Returns the changes.
    pub(super) fn judge<'a, I>(&mut self, now: Instant, reports: I) -> Vec<PairChange>
    where
        I: Iterator<Item = &'a PairSlowdown>,
    {
        let is_recent = |at| now.saturating_duration_since(at) < JUDGEMENT_INTERVAL;
        if self.judged_at.is_some_and(is_recent) {
            return Vec::new();
        }
        self.judged_at = Some(now);
        let mut sums: BTreeMap<(TaskKind, TaskKind), Evidence> = BTreeMap::new();
        for pair in reports {
            let key = (pair.kind, pair.other);
            if sums.len() >= MAX_PAIRS && !sums.contains_key(&key) {
                continue;
            }
            sums.entry(key).or_default().add(pair);
        }
        let mut changes = Vec::new();
        let nothing = Evidence::default();
        let keys: BTreeSet<_> = sums.keys().chain(self.pairs.keys()).copied().collect();
        for key in keys {
            let evidence = sums.get(&key).unwrap_or(&nothing);
            let known = self.pairs.get(&key).copied();
            let is_expired =
                |found: Found| now.saturating_duration_since(found.confirmed_at) >= RETENTION;
            match known {
                _ if evidence.is_significant() => {
                    let found = Found {
                        log_factor: evidence.mean(),
                        confirmed_at: now,
                    };
                    if self.pairs.insert(key, found).is_none() {
                        changes.push(self.change(key, found.log_factor, true));
                    }
                }
                Some(found) if evidence.is_contrary() || is_expired(found) => {
                    self.pairs.remove(&key);
                    changes.push(self.change(key, evidence.mean(), false));
                }
                _ => {}
            }
        }
        changes
    }

    /// Returns by how much a task slows down and is slowed down beside the tasks that run at an
    /// upstream, as the sum of the logarithms of the factors on the run times.
    pub(super) fn harm(&self, kind: TaskKind, running: &BTreeMap<TaskKind, u32>) -> f64 {
        let has_same_kind = running.contains_key(&kind);
        let factor = |key| self.pairs.get(&key).map_or(0.0, |found| found.log_factor);
        let harm = |(&other, &count): (&TaskKind, &u32)| {
            // Those beside a task of the kind are slowed down already.
            let added = match has_same_kind && other != kind {
                true => 0.0,
                false => factor((other, kind)) * f64::from(count),
            };
            factor((kind, other)) + added
        };
        running.iter().map(harm).sum()
    }

    fn name(&self, kind: TaskKind) -> Arc<str> {
        self.queues.get(&kind).cloned().unwrap_or_default()
    }

    fn change(&self, key: (TaskKind, TaskKind), log_factor: f64, is_found: bool) -> PairChange {
        PairChange {
            queue: self.name(key.0),
            other: self.name(key.1),
            factor: log_factor.exp(),
            is_found,
        }
    }
}

/// Returns the kind of a queue's tasks, which is the same at all entries and never 0.
fn task_kind(queue: &str) -> TaskKind {
    (xxh3_64(queue.as_bytes()) as TaskKind).max(1)
}
