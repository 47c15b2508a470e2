//! Estimates of task run times, learned for each service and class.

use std::collections::HashMap;
use std::sync::Arc;

use hemlockhook_types::ServiceName;

/// Prior run time of a class without observations.
const PRIOR_RUN_SECS: f64 = 0.4;

/// Prior variance of the logarithm of the run time of a class.
const PRIOR_VARIANCE: f64 = 2.0;

/// Largest error, in the logarithm, at which a declared run time counts as accurate.
const MAX_ACCURATE_ERROR: f64 = 0.45;

/// Prior variance of the error of accurate declarations, in the logarithm.
const ACCURATE_VARIANCE: f64 = 0.05;

/// Prior variance of the error of inaccurate declarations, in the logarithm.
const INACCURATE_VARIANCE: f64 = 2.0;

/// Prior share of accurate declarations.
const ACCURATE_SHARE: f64 = 0.3;

/// Number of observations that the prior variances count as.
const PRIOR_WEIGHT: f64 = 5.0;

/// Minimum weight of a new observation.
const MIN_GAIN: f64 = 0.01;

/// Observations that deviate by more than this many standard deviations are clamped to it.
const MAX_DEVIATIONS: f64 = 3.0;

const MIN_SECS: f64 = 1e-4;

/// Estimates of the work in a task, which is its run time, in seconds, on an upstream of mean
/// speed.
#[derive(Debug, Default)]
pub struct Estimates {
    classes: HashMap<ServiceName, HashMap<Arc<str>, ClassStats>>,
}

/// Statistics of one class, in natural logarithms of seconds.
#[derive(Debug)]
struct ClassStats {
    work: Moments,
    declaration_errors: DeclarationErrors,
}

/// Errors of declared run times, as a mixture of accurate and inaccurate declarations.
#[derive(Debug)]
struct DeclarationErrors {
    accurate_share: Moments,
    accurate: Moments,
    inaccurate: Moments,
}

/// Mean and variance with exponential forgetting.
#[derive(Debug)]
struct Moments {
    count: f64,
    mean: f64,
    variance: f64,
}

impl Estimates {
    /// Returns the expected work of a task. A declared run time is weighted by how accurate the
    /// declarations of the class were so far, and counts less if it is far from the observed run
    /// times.
    pub fn expected_work_secs(
        &self,
        service: &ServiceName,
        class: &Arc<str>,
        declared: Option<f64>,
    ) -> f64 {
        let stats = self
            .classes
            .get(service)
            .and_then(|classes| classes.get(class));
        let unknown = ClassStats::default();
        let ClassStats {
            work,
            declaration_errors,
        } = stats.unwrap_or(&unknown);
        match declared {
            Some(declared) => declaration_errors
                .combined_mean(work, declared.max(MIN_SECS).ln())
                .exp(),
            None => work.mean.exp(),
        }
    }

    /// Returns the number of observations of a class, up to the inverse of the minimum weight.
    pub fn observations(&self, service: &ServiceName, class: &Arc<str>) -> f64 {
        let stats = self
            .classes
            .get(service)
            .and_then(|classes| classes.get(class));
        stats.map_or(0.0, |stats| stats.work.count)
    }

    /// Records the observed work of a task.
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
                .declaration_errors
                .observe(declared.max(MIN_SECS).ln() - work);
        }
    }
}

impl Default for ClassStats {
    fn default() -> Self {
        Self {
            work: Moments::new(PRIOR_RUN_SECS.ln(), PRIOR_VARIANCE),
            declaration_errors: DeclarationErrors {
                accurate_share: Moments::new(ACCURATE_SHARE, 0.25),
                accurate: Moments::new(0.0, ACCURATE_VARIANCE),
                inaccurate: Moments::new(0.0, INACCURATE_VARIANCE),
            },
        }
    }
}

impl DeclarationErrors {
    fn observe(&mut self, error: f64) {
        let accurate = error.abs() <= MAX_ACCURATE_ERROR;
        self.accurate_share
            .observe(if accurate { 1.0 } else { 0.0 });
        match accurate {
            true => self.accurate.observe(error),
            false => self.inaccurate.observe(error),
        }
    }

    /// Returns the mean work, with accurate and inaccurate declarations weighted by how likely each
    /// makes the declared value.
    fn combined_mean(&self, work: &Moments, declared: f64) -> f64 {
        let share = self.accurate_share.mean.clamp(0.01, 0.99);
        let accurate = share * work.likelihood(declared, &self.accurate);
        let inaccurate = (1.0 - share) * work.likelihood(declared, &self.inaccurate);
        let weight = accurate / (accurate + inaccurate).max(f64::MIN_POSITIVE);
        weight * work.posterior_mean(declared, &self.accurate)
            + (1.0 - weight) * work.posterior_mean(declared, &self.inaccurate)
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

    /// Returns the likelihood of a declared value, up to a constant factor, given the distribution
    /// of declaration errors.
    fn likelihood(&self, declared: f64, error: &Moments) -> f64 {
        let variance = self.variance + error.variance;
        let deviation = declared - self.mean - error.mean;
        (-deviation * deviation / (2.0 * variance)).exp() / variance.sqrt()
    }

    /// Returns the posterior mean given a declared value and the distribution of declaration
    /// errors.
    fn posterior_mean(&self, declared: f64, error: &Moments) -> f64 {
        let gain = self.variance / (self.variance + error.variance);
        self.mean + gain * (declared - error.mean - self.mean)
    }

    fn observe(&mut self, value: f64) {
        let max_deviation = MAX_DEVIATIONS * self.variance.sqrt();
        let deviation = (value - self.mean).clamp(-max_deviation, max_deviation);
        self.count = (self.count + 1.0).min(1.0 / MIN_GAIN);
        self.mean += deviation / self.count;
        let gain = 1.0 / (self.count + PRIOR_WEIGHT);
        self.variance += gain * (deviation * deviation - self.variance);
    }
}
