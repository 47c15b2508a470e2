//! Learned run times of tasks, for each service and class.

use std::collections::HashMap;
use std::sync::Arc;

use hemlockhook_types::ServiceName;

/// Seconds that a task is taken to run of which nothing is known.
const UNKNOWN_SECS: f64 = 0.4;

/// Variance of the logarithm of a run time of which nothing is known.
const UNKNOWN_VARIANCE: f64 = 2.0;

/// Variance of the logarithm of a declared run time's error before any was observed.
const DECLARED_VARIANCE: f64 = 1.5;

/// Number of observations that the assumed variances count as.
const PRIOR_WEIGHT: f64 = 5.0;

/// Weight of the newest observation once many were made.
const MIN_GAIN: f64 = 0.01;

/// Observations further off than this many standard deviations are pulled in to it.
const MAX_DEVIATIONS: f64 = 3.0;

const MIN_SECS: f64 = 1e-4;

/// Estimates of the work in a task: its run time, in seconds, on an upstream of mean speed.
#[derive(Debug, Default)]
pub struct Estimates {
    classes: HashMap<ServiceName, HashMap<Arc<str>, ClassStats>>,
}

/// What was learned of one class; all in natural logarithms of seconds.
#[derive(Debug)]
struct ClassStats {
    work: Moments,
    declared_error: Moments,
}

/// Mean and variance that forget slowly.
#[derive(Debug)]
struct Moments {
    count: f64,
    mean: f64,
    variance: f64,
}

impl Estimates {
    /// Returns the work expected in a task. The declared run time counts as much as the declared run
    /// times of the class were right before.
    pub fn expect(&self, service: &ServiceName, class: &Arc<str>, declared: Option<f64>) -> f64 {
        let stats = self
            .classes
            .get(service)
            .and_then(|classes| classes.get(class));
        let (mean, variance) = match stats {
            Some(stats) => (stats.work.mean, stats.work.variance),
            None => (UNKNOWN_SECS.ln(), UNKNOWN_VARIANCE),
        };
        let Some(declared) = declared else {
            return mean.exp();
        };
        let (bias, error) = match stats {
            Some(stats) => (stats.declared_error.mean, stats.declared_error.variance),
            None => (0.0, DECLARED_VARIANCE),
        };
        let declared = declared.max(MIN_SECS).ln() - bias;
        let trust = variance / (variance + error);
        (mean + trust * (declared - mean)).exp()
    }

    /// Returns how often a class was observed, up to the weight that is remembered.
    pub fn observations(&self, service: &ServiceName, class: &Arc<str>) -> f64 {
        let stats = self
            .classes
            .get(service)
            .and_then(|classes| classes.get(class));
        stats.map_or(0.0, |stats| stats.work.count)
    }

    /// Learns the work that a task held.
    pub fn observe(
        &mut self,
        service: &ServiceName,
        class: &Arc<str>,
        declared: Option<f64>,
        work_secs: f64,
    ) {
        let classes = self.classes.entry(service.clone()).or_default();
        let stats = classes.entry(class.clone()).or_default();
        let work = work_secs.max(MIN_SECS).ln();
        stats.work.observe(work);
        if let Some(declared) = declared {
            stats
                .declared_error
                .observe(declared.max(MIN_SECS).ln() - work);
        }
    }
}

impl Default for ClassStats {
    fn default() -> Self {
        Self {
            work: Moments::new(UNKNOWN_SECS.ln(), UNKNOWN_VARIANCE),
            declared_error: Moments::new(0.0, DECLARED_VARIANCE),
        }
    }
}

impl Moments {
    fn new(mean: f64, variance: f64) -> Self {
        Self {
            count: 0.0,
            mean,
            variance,
        }
    }

    fn observe(&mut self, value: f64) {
        let reach = MAX_DEVIATIONS * self.variance.sqrt();
        let off = (value - self.mean).clamp(-reach, reach);
        self.count = (self.count + 1.0).min(1.0 / MIN_GAIN);
        self.mean += off / self.count;
        let gain = 1.0 / (self.count + PRIOR_WEIGHT);
        self.variance += gain * (off * off - self.variance);
    }
}
