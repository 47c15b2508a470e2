//! Fair shares of an entry's capacity for the classes of its jobs.
//!
//! A class is a queue and a size band within it. Its share is its demand over tens of seconds, scaled
//! down if the shares together exceed the capacity. What other classes do not demand of theirs is lent
//! to those whose demand exceeds their share. The work that is queued for a class goes into a leaky
//! bucket that is emptied at the class's capacity, so that what a flood takes beyond it is known.
//!
//! What a class demands of its share is not lent even while its jobs are refused. Otherwise a flood of
//! jobs that come first in the queue would be lent the share of the classes that it displaces.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use strum::IntoStaticStr;

/// Time over which the demand of a class is averaged for its share. It is several times as long as
/// the bursts that must not raise the share, which last up to 6 s.
const DEMAND_TIME: Duration = Duration::from_secs(20);

/// Time over which the present demand is averaged.
const PRESENT_DEMAND_TIME: Duration = Duration::from_millis(700);

/// Share of a class without known demand, as a part of the capacity.
const MIN_SHARE: f64 = 0.01;

/// Time after the first job in which bursts count in full, since no demand is known yet.
const SETTLING_TIME: Duration = Duration::from_secs(4);

/// Factor on the demand over a longer time up to which present demand counts for the share.
const MAX_COUNTED_BURST: f64 = 1.5;

/// Quantiles of the declared work that separate the bands of a queue.
const BAND_QUANTILES: [f64; 2] = [0.7, 0.9];

/// Step by which a job moves the boundary of a band, as a difference of logarithms. Boundaries settle
/// within some hundred jobs.
const BAND_STEP: f64 = 0.05;

/// Weight of one job in the mean order of its class.
const ORDER_RATE: f64 = 0.05;

/// Number of rounds in which the wait is extended by the arrivals that it lasts for.
const ARRIVAL_ROUNDS: usize = 5;

/// Maximum number of queues with classes; the least used one is forgotten beyond that.
const MAX_QUEUES: usize = 64;

/// Part of a class's share by which its present demand has to fall below it again before the class
/// counts as within its share.
const BACK_WITHIN: f64 = 0.9;

/// Minimum time between changes of a class that are reported.
const MIN_CHANGE_INTERVAL: Duration = Duration::from_secs(1);

/// Size band of a job within its queue, by declared work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum SizeBand {
    /// The smallest seven tenths.
    Usual,
    /// The fifth below the largest tenth.
    Large,
    /// The largest tenth.
    Largest,
}

/// The load of a class when a job of it was refused, or when it went over or back within its share.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassLoad {
    /// Queue of the class.
    pub queue: Arc<str>,
    /// Size band of the class.
    pub band: SizeBand,
    /// Share of the entry's capacity, in core-seconds per second.
    pub share: f64,
    /// Present demand, in core-seconds per second.
    pub demand: f64,
    /// Work that was queued and that the class's capacity has not served yet, in core-seconds.
    pub backlog: f64,
    /// Whether the present demand exceeds the share.
    pub is_over: bool,
}

/// The classes of the jobs of one service.
#[derive(Debug, Default)]
pub(super) struct Classes {
    bands: BTreeMap<Arc<str>, Bands>,
    classes: BTreeMap<ClassKey, Class>,
    /// When the first job arrived.
    started: Option<Instant>,
    /// When the backlogs were last brought up to date.
    advanced: Option<Instant>,
    /// This entry's share of the upstreams' throughput, in core-seconds per second.
    rate: f64,
    changes: Vec<ClassLoad>,
}

/// A class: its queue and its size band.
pub(super) type ClassKey = (Arc<str>, SizeBand);

/// Boundaries of the bands of a queue, as logarithms of the declared work.
#[derive(Clone, Copy, Debug)]
struct Bands([f64; 2]);

#[derive(Debug, Default)]
struct Class {
    demand: Average,
    present_demand: Average,
    /// Rate at which work is admitted.
    admission: Average,
    /// Mean time from the arrival of a job to the start by which it is ordered in the queue, in
    /// seconds; negative for jobs that are ordered as if they were due before they arrive.
    order_offset: f64,
    /// Work that was queued and that the class's capacity has not served yet, in core-seconds.
    backlog: f64,
    is_over: bool,
    /// When it last went over its share, or back within it.
    changed: Option<Instant>,
}

/// Exponentially weighted rate of work, in core-seconds per second.
#[derive(Clone, Copy, Debug, Default)]
struct Average {
    rate: f64,
    updated: Option<Instant>,
}

impl Classes {
    /// Counts a job that arrives, and returns its class. `rate` is the entry's share of the upstreams'
    /// throughput, in core-seconds per second, and `work` that of the job, in core-seconds.
    pub(super) fn arrived(
        &mut self,
        now: Instant,
        queue: &Arc<str>,
        declared_work: f64,
        work: f64,
        rate: f64,
    ) -> ClassKey {
        self.started.get_or_insert(now);
        self.advance(now);
        self.rate = rate;
        if self.bands.len() >= MAX_QUEUES && !self.bands.contains_key(queue) {
            self.forget_least_used(now);
        }
        let log_work = declared_work.max(1e-6).ln();
        let bands = self.bands.entry(queue.clone());
        let bands = bands.or_insert(Bands([log_work; 2]));
        let key = (queue.clone(), bands.band_of(log_work));
        bands.learn(log_work);
        let counted = work * self.counted_part(now, &key);
        let class = self.classes.entry(key.clone()).or_default();
        class.demand.add(now, counted, DEMAND_TIME);
        class.present_demand.add(now, work, PRESENT_DEMAND_TIME);
        self.note_change(now, &key);
        key
    }

    /// Returns how far a class is ahead of its capacity: the time in which its own capacity serves what
    /// was admitted beyond it. A class is not held to the capacity of its band if that of its queue is
    /// enough.
    pub(super) fn excess(&self, now: Instant, key: &ClassKey) -> Duration {
        let Some(class) = self.classes.get(key) else {
            return Duration::ZERO;
        };
        let capacities = self.capacities(now);
        let own = |(other, _): &(&ClassKey, &Class)| other.0 == key.0;
        let queue = self.classes.iter().filter(own);
        let backlog: f64 = queue.map(|(_, class)| class.backlog).sum();
        let classes = self.classes.keys().zip(&capacities);
        let queue = classes.filter(|(other, _)| other.0 == key.0);
        let capacity: f64 = queue.map(|(_, capacity)| capacity).sum();
        let position = self.classes.keys().position(|other| other == key);
        let band_capacity = position.map_or(capacity, |index| capacities[index]);
        let least = (class.backlog / band_capacity).min(backlog / capacity);
        Duration::try_from_secs_f64(least).unwrap_or(Duration::MAX)
    }

    /// Counts the work of an admitted job, and the part of it that can't start at once.
    pub(super) fn admitted(&mut self, now: Instant, key: &ClassKey, work: f64, queued: f64) {
        if let Some(class) = self.classes.get_mut(key) {
            class.backlog += queued;
            class.admission.add(now, work, PRESENT_DEMAND_TIME);
        }
    }

    /// Takes work out of the backlog of a class that will not be done.
    pub(super) fn withdrawn(&mut self, key: &ClassKey, work: f64) {
        if let Some(class) = self.classes.get_mut(key) {
            class.backlog = (class.backlog - work).max(0.0);
        }
    }

    /// Returns the expected wait of a job with `wait` of work ahead in the queue, by the jobs that are
    /// expected to arrive in that time and to be ordered before it.
    pub(super) fn wait_with_arrivals(
        &mut self,
        now: Instant,
        key: &ClassKey,
        wait: Duration,
        offset: f64,
    ) -> Duration {
        if let Some(class) = self.classes.get_mut(key) {
            class.order_offset += ORDER_RATE * (offset - class.order_offset);
        }
        if wait.is_zero() || wait == Duration::MAX || self.rate <= 0.0 {
            return wait;
        }
        let others: Vec<_> = self
            .classes
            .values()
            .filter(|class| class.order_offset < offset)
            .map(|class| {
                let rate = class.admission.at(now, PRESENT_DEMAND_TIME);
                (offset - class.order_offset, rate / self.rate)
            })
            .collect();
        let first = wait.as_secs_f64();
        let mut total = first;
        for _ in 0..ARRIVAL_ROUNDS {
            let arrivals = others.iter().map(|&(time, part)| part * total.min(time));
            total = first + arrivals.sum::<f64>();
        }
        Duration::try_from_secs_f64(total).unwrap_or(Duration::MAX)
    }

    /// Brings the backlogs up to date. While nothing is queued, no class takes capacity from another.
    pub(super) fn settle(&mut self, now: Instant, is_queue_empty: bool) {
        self.advance(now);
        if is_queue_empty {
            for class in self.classes.values_mut() {
                class.backlog = 0.0;
            }
        }
        let over = self.classes.iter().filter(|(_, class)| class.is_over);
        for key in over.map(|(key, _)| key.clone()).collect::<Vec<_>>() {
            self.note_change(now, &key);
        }
    }

    /// Returns the demand of all classes, over a longer time and at present, in core-seconds per
    /// second.
    pub(super) fn total_demand(&self, now: Instant) -> (f64, f64) {
        let classes = self.classes.values();
        let long: f64 = classes.map(|class| self.long_demand(now, class)).sum();
        let classes = self.classes.values();
        let present = classes.map(|class| class.present_demand.at(now, PRESENT_DEMAND_TIME));
        (long, present.sum())
    }

    /// Returns the load of a class.
    pub(super) fn load(&self, now: Instant, key: &ClassKey) -> Option<ClassLoad> {
        let class = self.classes.get(key)?;
        Some(ClassLoad {
            queue: key.0.clone(),
            band: key.1,
            share: self.share(now, class),
            demand: class.present_demand.at(now, PRESENT_DEMAND_TIME),
            backlog: class.backlog,
            is_over: class.is_over,
        })
    }

    /// Takes the classes that went over their share or are back within it.
    pub(super) fn take_changes(&mut self) -> Vec<ClassLoad> {
        std::mem::take(&mut self.changes)
    }

    /// Serves the backlogs up to `now`.
    fn advance(&mut self, now: Instant) {
        let since = self.advanced.replace(now).unwrap_or(now);
        let passed = now.saturating_duration_since(since).as_secs_f64();
        if passed <= 0.0 || self.classes.values().all(|class| class.backlog <= 0.0) {
            return;
        }
        let capacities = self.capacities(now);
        for (class, capacity) in self.classes.values_mut().zip(capacities) {
            class.backlog = (class.backlog - capacity * passed).max(0.0);
        }
    }

    /// Returns the capacity of each class: its share, and for those whose demand exceeds it a part of
    /// what the others do not demand. What a class demands of its share is not lent, even if its jobs
    /// are refused at present.
    fn capacities(&self, now: Instant) -> Vec<f64> {
        let weights: Vec<f64> = self
            .classes
            .values()
            .map(|class| self.weight(now, class))
            .collect();
        let scale = (self.rate / weights.iter().sum::<f64>()).min(1.0);
        let demands: Vec<f64> = self
            .classes
            .values()
            .map(|class| class.present_demand.at(now, PRESENT_DEMAND_TIME))
            .collect();
        let shares = || weights.iter().map(|weight| weight * scale).zip(&demands);
        let used: f64 = shares().map(|(share, demand)| share.min(*demand)).sum();
        let lent = (self.rate - used).max(0.0);
        let over: f64 = shares()
            .filter(|(share, demand)| *demand > share)
            .map(|(share, _)| share)
            .sum();
        let capacity = |(share, demand): (f64, &f64)| match *demand > share {
            true => share + lent * share / over,
            false => share,
        };
        shares().map(capacity).collect()
    }

    /// Returns the capacity that no other class can take from a class.
    fn share(&self, now: Instant, class: &Class) -> f64 {
        let classes = self.classes.values();
        let total: f64 = classes.map(|class| self.weight(now, class)).sum();
        self.weight(now, class) * (self.rate / total).min(1.0)
    }

    fn weight(&self, now: Instant, class: &Class) -> f64 {
        let least = (self.rate * MIN_SHARE).max(1e-6);
        self.long_demand(now, class).max(least)
    }

    fn long_demand(&self, now: Instant, class: &Class) -> f64 {
        // Soon after the start the average covers only the time since.
        let age = self.started.map_or(Duration::ZERO, |started| now - started);
        let age = age.max(PRESENT_DEMAND_TIME).as_secs_f64();
        let covered = 1.0 - (-age / DEMAND_TIME.as_secs_f64()).exp();
        class.demand.at(now, DEMAND_TIME) / covered
    }

    /// Returns the part of the work of a class that counts for its share. In a burst it counts as if the
    /// demand were only somewhat above that over a longer time.
    fn counted_part(&self, now: Instant, key: &ClassKey) -> f64 {
        let Some(class) = self.classes.get(key) else {
            return 1.0;
        };
        let is_known = self.started.is_some_and(|at| now - at > SETTLING_TIME);
        let present = class.present_demand.at(now, PRESENT_DEMAND_TIME);
        let limit = self.weight(now, class) * MAX_COUNTED_BURST;
        match is_known && present > limit {
            true => limit / present,
            false => 1.0,
        }
    }

    fn note_change(&mut self, now: Instant, key: &ClassKey) {
        let class = &self.classes[key];
        let share = self.share(now, class);
        let demand = class.present_demand.at(now, PRESENT_DEMAND_TIME);
        let is_over = match class.is_over {
            true => demand > share * BACK_WITHIN,
            // What is lent does no harm while nothing waits.
            false => demand > share && class.backlog > 0.0,
        };
        let is_recent = |at| now.saturating_duration_since(at) < MIN_CHANGE_INTERVAL;
        if is_over != class.is_over && !class.changed.is_some_and(is_recent) {
            let class = self.classes.get_mut(key).expect("found above");
            class.is_over = is_over;
            class.changed = Some(now);
            let load = self.load(now, key);
            self.changes.extend(load);
        }
    }

    fn forget_least_used(&mut self, now: Instant) {
        let demand = |queue: &Arc<str>| -> f64 {
            let own = self.classes.iter().filter(|((name, _), _)| name == queue);
            own.map(|(_, class)| class.demand.at(now, DEMAND_TIME))
                .sum()
        };
        let least = self
            .bands
            .keys()
            .min_by(|a, b| demand(a).total_cmp(&demand(b)));
        if let Some(queue) = least.cloned() {
            self.bands.remove(&queue);
            self.classes.retain(|(name, _), _| *name != queue);
        }
    }
}

impl Bands {
    fn band_of(self, log_work: f64) -> SizeBand {
        let [large, largest] = self.0;
        match log_work {
            work if work > largest => SizeBand::Largest,
            work if work > large => SizeBand::Large,
            _ => SizeBand::Usual,
        }
    }

    /// Moves each boundary so that in the long run the quantile's part of the jobs lies below it.
    fn learn(&mut self, log_work: f64) {
        for (bound, quantile) in self.0.iter_mut().zip(BAND_QUANTILES) {
            *bound += match log_work > *bound {
                true => BAND_STEP * quantile,
                false => -BAND_STEP * (1.0 - quantile),
            };
        }
    }
}

impl Average {
    fn at(&self, now: Instant, time: Duration) -> f64 {
        let Some(updated) = self.updated else {
            return 0.0;
        };
        let age = now.saturating_duration_since(updated).as_secs_f64();
        self.rate * (-age / time.as_secs_f64()).exp()
    }

    fn add(&mut self, now: Instant, work: f64, time: Duration) {
        self.rate = self.at(now, time) + work / time.as_secs_f64();
        self.updated = Some(now);
    }
}
