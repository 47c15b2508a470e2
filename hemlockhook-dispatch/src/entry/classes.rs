//! Fair shares of an entry's capacity for the classes of its jobs.
//!
//! A class is a queue and a size band within it. The work that is admitted is followed in a model in
//! which each class with a backlog is served in proportion to its demand over tens of seconds
//! (generalized processor sharing). A job is admitted if it ends in time in that model. A queue that
//! is ordered by deadlines meets the deadlines that the model meets, since no other order meets
//! more. So the queue need not know of classes.

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

/// Quantiles of the declared work that separate the bands of a queue.
const BAND_QUANTILES: [f64; 2] = [0.7, 0.9];

/// Step by which a job moves the boundary of a band, as a difference of logarithms. Boundaries settle
/// within some hundred jobs.
const BAND_STEP: f64 = 0.05;

/// Maximum number of queues with classes; the least used one is forgotten beyond that.
const MAX_QUEUES: usize = 64;

/// Part of a class's share by which its present demand has to fall below it again before the class
/// counts as within its share.
const BACK_WITHIN: f64 = 0.9;

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
    /// Admitted work that has not been served yet, in core-seconds.
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
    /// Admitted work that is not yet served in the model, in core-seconds.
    backlog: f64,
    is_over: bool,
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
        let class = self.classes.entry(key.clone()).or_default();
        class.demand.add(now, work, DEMAND_TIME);
        class.present_demand.add(now, work, PRESENT_DEMAND_TIME);
        self.note_change(now, &key);
        key
    }

    /// Returns the time after which a job of a class that arrives now would be served.
    pub(super) fn wait(&self, now: Instant, key: &ClassKey) -> Duration {
        let backlog = self.classes.get(key).map_or(0.0, |class| class.backlog);
        if backlog <= 0.0 {
            return Duration::ZERO;
        }
        let is_active = |(other, class): &(&ClassKey, &Class)| *other == key || class.backlog > 0.0;
        let active = self.classes.iter().filter(is_active);
        let total: f64 = active.map(|(_, class)| self.weight(now, class)).sum();
        let rate = self.rate * self.weight(now, &self.classes[key]) / total;
        Duration::try_from_secs_f64(backlog / rate).unwrap_or(Duration::MAX)
    }

    /// Adds the work of a job that was admitted and can't start at once.
    pub(super) fn admitted(&mut self, key: &ClassKey, work: f64) {
        if let Some(class) = self.classes.get_mut(key) {
            class.backlog += work;
        }
    }

    /// Brings the backlogs up to date, and scales them to the work that is actually queued, in
    /// core-seconds: the upstreams may be faster or slower than expected.
    pub(super) fn settle(&mut self, now: Instant, queued: f64) {
        self.advance(now);
        let total: f64 = self.classes.values().map(|class| class.backlog).sum();
        if total > 0.0 {
            for class in self.classes.values_mut() {
                class.backlog *= queued / total;
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

    /// Serves the backlogs in the model up to `now`.
    fn advance(&mut self, now: Instant) {
        let since = self.advanced.replace(now).unwrap_or(now);
        let mut left = now.saturating_duration_since(since).as_secs_f64();
        while left > 0.0 && self.rate > 0.0 {
            let weight_of = |class: &Class| match class.backlog > 0.0 {
                true => self.weight(now, class),
                false => 0.0,
            };
            let weights: Vec<_> = self.classes.values().map(weight_of).collect();
            let total: f64 = weights.iter().sum();
            if total <= 0.0 {
                return;
            }
            // Once a class is without backlog, the others share its part.
            let emptied = |(class, weight): (&Class, &f64)| match *weight > 0.0 {
                true => class.backlog * total / (self.rate * weight),
                false => f64::INFINITY,
            };
            let first = self.classes.values().zip(&weights).map(emptied);
            let step = first.fold(left, f64::min);
            for (class, weight) in self.classes.values_mut().zip(&weights) {
                class.backlog -= self.rate * weight / total * step;
                if class.backlog < 1e-9 {
                    class.backlog = 0.0;
                }
            }
            left -= step.max(1e-6);
        }
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

    fn note_change(&mut self, now: Instant, key: &ClassKey) {
        let class = &self.classes[key];
        let share = self.share(now, class);
        let demand = class.present_demand.at(now, PRESENT_DEMAND_TIME);
        let is_over = match class.is_over {
            true => demand > share * BACK_WITHIN,
            // What is lent does no harm while nothing waits.
            false => demand > share && class.backlog > 0.0,
        };
        if is_over != class.is_over {
            self.classes.get_mut(key).expect("found above").is_over = is_over;
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
