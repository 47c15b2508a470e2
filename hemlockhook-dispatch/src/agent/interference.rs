//! Slowdown of runs by others beside them on the same upstream.
//!
//! For each kind of tasks, the logarithm of the ratio of run time to expected run time is modelled as
//! a constant plus a part for each other kind, times the fraction of the run during which a task of
//! that kind ran beside it. The parts are estimated together by least squares, so that a kind that
//! only happens to run when a harmful one does is not blamed.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use slotmap::SecondaryMap;

use crate::agent::{OrderKey, Supervisor};

/// Identifies the tasks of a queue: a hash of its name. 0 stands for an unknown queue.
pub type TaskKind = u32;

/// Maximum number of kinds that are distinguished. There are at most as many pairs as its square.
pub const MAX_KINDS: usize = 8;

/// Number of coefficients of a kind: the constant, and one for each kind beside it.
const COEFFICIENTS: usize = MAX_KINDS + 1;

/// Factor on the weight of a kind's runs with each further one.
const FORGETTING: f64 = 0.998;

/// Minimum weight of the runs with and of those without another kind beside them.
const MIN_EVIDENCE: f64 = 10.0;

/// Part of a run's expected time during which the tasks beside it are observed. Tasks are placed where
/// few others run. Over their whole time, long runs would have more beside them than short ones, which
/// end before others begin.
const OBSERVED_PART: f64 = 0.6;

/// Weight of the assumption that a coefficient is 0; it keeps the equations solvable.
const RIDGE: f64 = 1.0;

/// Maximum distance of a logarithm from the mean; more is clamped. Some runs take 7 times as long as
/// others for reasons of their own.
const MAX_DEVIATION: f64 = 1.0;

/// Weight of a run in the mean that deviations are clamped around.
const MEAN_WEIGHT: f64 = 0.02;

/// Time without tasks of a kind after which another one may take its place.
const KIND_RETENTION: Duration = Duration::from_secs(60);

/// Minimum time between changes of what is reported.
const REPORT_INTERVAL: Duration = Duration::from_secs(5);

/// Slowdown of the tasks of a kind by those of another one.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PairSlowdown {
    /// Kind of the tasks that are slowed down.
    pub kind: TaskKind,
    /// Kind of the tasks beside them.
    pub other: TaskKind,
    /// Logarithm of the factor on the run time.
    pub log_factor: f64,
    /// Inverse of the variance of `log_factor`.
    pub weight: f64,
}

/// What is learned about the runs on one upstream.
#[derive(Debug, Default)]
pub struct Interference {
    kinds: Vec<Kind>,
    runs: SecondaryMap<OrderKey, Run>,
    clocks_read: Option<Instant>,
    reported: Vec<PairSlowdown>,
    reported_at: Option<Instant>,
    /// Incremented with each change of `reported`.
    version: u64,
}

#[derive(Debug)]
struct Kind {
    kind: TaskKind,
    last_run: Instant,
    running: u32,
    /// Total time, in seconds, with a task of the kind running, and with two or more.
    clocks: [f64; 2],
    model: Model,
}

#[derive(Debug)]
struct Run {
    kind: usize,
    started: Instant,
    /// Readings of the clocks of all kinds at the start.
    clocks: [f64; MAX_KINDS],
    /// End of the part of the run during which the tasks beside it are observed.
    observed_until: Instant,
    /// Readings at `observed_until`, once it has passed.
    observed: Option<[f64; MAX_KINDS]>,
}

impl Interference {
    /// Records that the run of an order has begun, which is expected to take `expected` on this upstream.
    pub fn began(&mut self, now: Instant, key: OrderKey, kind: TaskKind, expected: Duration) {
        if kind == 0 || self.runs.contains_key(key) {
            return;
        }
        self.read_clocks(now);
        let Some(index) = self.slot(now, kind) else {
            return;
        };
        self.kinds[index].running += 1;
        self.kinds[index].last_run = now;
        let run = Run {
            kind: index,
            started: now,
            clocks: self.clocks_for(index, 0.0),
            observed_until: now + expected.mul_f64(OBSERVED_PART),
            observed: None,
        };
        self.runs.insert(key, run);
    }

    /// Records that the run of an order has succeeded. [`Interference::ended`] is to follow.
    pub fn succeeded(&mut self, now: Instant, key: OrderKey, ratio: f64) {
        self.read_clocks(now);
        let Some(run) = self.runs.get(key) else {
            return;
        };
        let (until, clocks) = match run.observed {
            Some(clocks) => (run.observed_until, clocks),
            None => (now, self.clocks_for(run.kind, 0.0)),
        };
        let time = until.saturating_duration_since(run.started).as_secs_f64();
        if time <= 0.0 || ratio <= 0.0 {
            return;
        }
        let mut beside = [0.0; COEFFICIENTS];
        beside[0] = 1.0;
        for (index, (end, start)) in clocks.iter().zip(run.clocks).enumerate() {
            beside[index + 1] = ((end - start) / time).clamp(0.0, 1.0);
        }
        self.kinds[run.kind].model.learn(&beside, ratio.ln());
    }

    /// Records that the run of an order has ended in any way.
    pub fn ended(&mut self, now: Instant, key: OrderKey) {
        self.read_clocks(now);
        if let Some(run) = self.runs.remove(key) {
            self.kinds[run.kind].running -= 1;
        }
    }

    /// Updates the pairs that are reported, at most once each `REPORT_INTERVAL`. Returns whether they
    /// have changed.
    pub fn update(&mut self, now: Instant) -> bool {
        let is_due = |at: Instant| now.saturating_duration_since(at) >= REPORT_INTERVAL;
        if !self.reported_at.is_none_or(is_due) {
            return false;
        }
        self.reported_at = Some(now);
        let pairs = self.estimate();
        let is_changed = pairs != self.reported;
        if is_changed {
            self.reported = pairs;
            self.version += 1;
        }
        is_changed
    }

    /// Returns the pairs with enough evidence.
    pub fn pairs(&self) -> &[PairSlowdown] {
        &self.reported
    }

    /// Returns a number that rises with each change of the pairs.
    pub fn version(&self) -> u64 {
        self.version
    }

    fn estimate(&self) -> Vec<PairSlowdown> {
        let mut pairs = Vec::new();
        for kind in &self.kinds {
            for (index, other) in self.kinds.iter().enumerate() {
                if let Some((log_factor, weight)) = kind.model.estimate(index + 1) {
                    pairs.push(PairSlowdown {
                        kind: kind.kind,
                        other: other.kind,
                        log_factor,
                        weight,
                    });
                }
            }
        }
        pairs
    }

    fn read_clocks(&mut self, now: Instant) {
        let since = self.clocks_read.replace(now).unwrap_or(now);
        let passed = now.saturating_duration_since(since).as_secs_f64();
        let is_due = |run: &Run| run.observed.is_none() && run.observed_until <= now;
        let due = self.runs.iter().filter(|(_, run)| is_due(run));
        let observed: Vec<_> = due
            .map(|(key, run)| {
                let passed = run.observed_until.saturating_duration_since(since);
                (key, self.clocks_for(run.kind, passed.as_secs_f64()))
            })
            .collect();
        for (key, clocks) in observed {
            self.runs[key].observed = Some(clocks);
        }
        for kind in &mut self.kinds {
            if kind.running >= 1 {
                kind.clocks[0] += passed;
            }
            if kind.running >= 2 {
                kind.clocks[1] += passed;
            }
        }
    }

    /// Returns the clocks that a run of a kind is compared with, `passed` seconds after they were last
    /// read: its own kind counts as beside it if there are two.
    fn clocks_for(&self, index: usize, passed: f64) -> [f64; MAX_KINDS] {
        let mut clocks = [0.0; MAX_KINDS];
        for (other, kind) in self.kinds.iter().enumerate() {
            let is_same = other == index;
            let advance = match kind.running > u32::from(is_same) {
                true => passed,
                false => 0.0,
            };
            clocks[other] = kind.clocks[usize::from(is_same)] + advance;
        }
        clocks
    }

    /// Returns the index of a kind; `None` if there are too many.
    fn slot(&mut self, now: Instant, kind: TaskKind) -> Option<usize> {
        if let Some(known) = self.kinds.iter().position(|known| known.kind == kind) {
            return Some(known);
        }
        let new = Kind {
            kind,
            last_run: now,
            running: 0,
            clocks: [0.0; 2],
            model: Model::default(),
        };
        if self.kinds.len() < MAX_KINDS {
            self.kinds.push(new);
            return Some(self.kinds.len() - 1);
        }
        let is_old = |known: &Kind| {
            known.running == 0 && now.saturating_duration_since(known.last_run) >= KIND_RETENTION
        };
        let index = self.kinds.iter().position(is_old)?;
        self.kinds[index] = new;
        for known in &mut self.kinds {
            known.model.forget(index + 1);
        }
        // Runs that began beside the old kind are not compared with the new one.
        for run in self.runs.values_mut() {
            run.clocks[index] = 0.0;
            if let Some(observed) = &mut run.observed {
                observed[index] = 0.0;
            }
        }
        Some(index)
    }
}

/// Weighted sums of the least squares of one kind.
#[derive(Debug, Default)]
struct Model {
    products: [[f64; COEFFICIENTS]; COEFFICIENTS],
    moments: [f64; COEFFICIENTS],
    squares: f64,
    /// Mean that deviations are clamped around.
    mean: Option<f64>,
}

impl Model {
    fn learn(&mut self, beside: &[f64; COEFFICIENTS], log_ratio: f64) {
        let mean = *self.mean.get_or_insert(log_ratio.clamp(-1.0, 1.0));
        let log_ratio = log_ratio.clamp(mean - MAX_DEVIATION, mean + MAX_DEVIATION);
        self.mean = Some(mean + MEAN_WEIGHT * (log_ratio - mean));
        for (row, &a) in beside.iter().enumerate() {
            for (column, &b) in beside.iter().enumerate() {
                let sum = &mut self.products[row][column];
                *sum = *sum * FORGETTING + a * b;
            }
            self.moments[row] = self.moments[row] * FORGETTING + a * log_ratio;
        }
        self.squares = self.squares * FORGETTING + log_ratio * log_ratio;
    }

    /// Clears what is known of the kind with a coefficient.
    fn forget(&mut self, index: usize) {
        for row in 0..COEFFICIENTS {
            self.products[row][index] = 0.0;
            self.products[index][row] = 0.0;
        }
        self.moments[index] = 0.0;
    }

    /// Returns a coefficient and the inverse of its variance; `None` without enough evidence.
    fn estimate(&self, index: usize) -> Option<(f64, f64)> {
        let total = self.products[0][0];
        let with = self.products[0][index];
        if with < MIN_EVIDENCE || total - with < MIN_EVIDENCE {
            return None;
        }
        let mut matrix = self.products;
        for (row, line) in matrix.iter_mut().enumerate().skip(1) {
            line[row] += RIDGE;
        }
        let coefficients = solve(matrix, self.moments)?;
        let mut unit = [0.0; COEFFICIENTS];
        unit[index] = 1.0;
        let variance_factor = solve(matrix, unit)?[index];
        let explained: f64 = coefficients
            .iter()
            .zip(self.moments)
            .map(|(c, m)| c * m)
            .sum();
        let noise = ((self.squares - explained) / total).max(1e-4);
        let weight = 1.0 / (noise * variance_factor).max(1e-9);
        // Rounded, so that the reports of an upstream whose estimate is stable do not change.
        let log_factor = (coefficients[index] * 100.0).round() / 100.0;
        Some((log_factor, weight.log2().round().exp2()))
    }
}

/// Solves a symmetric, positive definite system of equations.
fn solve(
    mut matrix: [[f64; COEFFICIENTS]; COEFFICIENTS],
    mut values: [f64; COEFFICIENTS],
) -> Option<[f64; COEFFICIENTS]> {
    for pivot in 0..COEFFICIENTS {
        let line = matrix[pivot];
        if line[pivot] < 1e-9 {
            return None;
        }
        for row in (0..COEFFICIENTS).filter(|&row| row != pivot) {
            let factor = matrix[row][pivot] / line[pivot];
            for (target, source) in matrix[row].iter_mut().zip(line) {
                *target -= factor * source;
            }
            values[row] -= factor * values[pivot];
        }
    }
    for (row, value) in values.iter_mut().enumerate() {
        *value /= matrix[row][row];
    }
    Some(values)
}

impl Supervisor {
    /// Records that the run of an order is known to have begun.
    pub(super) fn run_began(&mut self, now: Instant, key: OrderKey) {
        let order = &self.orders[key];
        if let Some(interference) = &mut self.interference
            && order.started_at.is_some()
        {
            let expected = order.order.expected.mul_f64(self.health.pace());
            interference.began(now, key, order.order.kind, expected);
        }
    }

    /// Records that the run of an order has succeeded.
    pub(super) fn run_succeeded(
        &mut self,
        now: Instant,
        key: OrderKey,
        run_time: Duration,
        expected: Duration,
    ) {
        if let Some(interference) = &mut self.interference {
            let ratio = run_time.as_secs_f64() / expected.as_secs_f64().max(0.001);
            interference.succeeded(now, key, ratio);
        }
    }

    pub(super) fn update_interference(&mut self, now: Instant) {
        if let Some(interference) = &mut self.interference
            && interference.update(now)
        {
            self.links.state_changed();
        }
    }

    /// Returns how many tasks of each kind take room at the upstream, if interference is learned.
    pub(super) fn running_kinds(&self) -> BTreeMap<TaskKind, u32> {
        let mut running = BTreeMap::new();
        if self.interference.is_none() {
            return running;
        }
        let holding = self.orders.values().filter(|order| order.holds_room());
        let kinds = holding.map(|order| order.order.kind);
        for kind in kinds.filter(|&kind| kind != 0) {
            if running.len() < MAX_KINDS || running.contains_key(&kind) {
                *running.entry(kind).or_default() += 1;
            }
        }
        running
    }
}
