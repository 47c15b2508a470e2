//! Settings and injected faults of the upstream stand-in.

use std::net::SocketAddr;

use garde::Validate;
use serde::{Deserialize, Serialize};

/// Settings of one upstream stand-in.
#[derive(Clone, Debug, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct UpstreamSettings {
    /// Name of the upstream in the inventory.
    #[garde(length(min = 1))]
    pub name: String,
    /// Name of the platform's worker that it runs on. Defaults to the name of the upstream.
    #[serde(default)]
    #[garde(skip)]
    pub worker: Option<String>,
    /// Address to listen on.
    #[garde(skip)]
    pub address: SocketAddr,
    /// Speed of the upstream: a task takes its run time divided by this.
    #[serde(default = "default_speed")]
    #[garde(range(min = 0.01, max = 100.0))]
    pub speed: f64,
    /// Maximum number of open connections.
    #[serde(default = "default_max_connections")]
    #[garde(range(min = 1, max = 65_536))]
    pub max_connections: usize,
    /// Whether to count the starts of each task. The memory for this grows with the number of
    /// tasks.
    #[serde(default = "default_count_starts")]
    #[garde(skip)]
    pub count_starts: bool,
    /// Faults in force at startup.
    #[serde(default)]
    #[garde(dive)]
    pub faults: UpstreamFaults,
}

impl UpstreamSettings {
    /// Creates settings with the default values.
    pub fn new(name: &str, address: SocketAddr) -> Self {
        Self {
            name: name.to_owned(),
            worker: None,
            address,
            speed: default_speed(),
            max_connections: default_max_connections(),
            count_starts: default_count_starts(),
            faults: UpstreamFaults::default(),
        }
    }

    /// Returns the name of the worker that it runs on.
    pub fn worker_name(&self) -> &str {
        self.worker.as_deref().unwrap_or(&self.name)
    }
}

fn default_speed() -> f64 {
    1.0
}

fn default_max_connections() -> usize {
    64
}

fn default_count_starts() -> bool {
    true
}

/// Faults of an upstream stand-in. All but `slow_factor` are probabilities, from 0 to 1, and are
/// drawn for each task in the order of the fields until one hits.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields, default)]
pub struct UpstreamFaults {
    /// Factor by which the run time of every task is multiplied.
    #[garde(range(min = 0.001, max = 100_000.0))]
    pub slow_factor: f64,
    /// Probability that a task never ends.
    #[garde(range(min = 0.0, max = 1.0))]
    pub hang: f64,
    /// Probability that a task fails at once with status 500.
    #[garde(range(min = 0.0, max = 1.0))]
    pub fail: f64,
    /// Probability that a task runs and its answer is sent twice.
    #[garde(range(min = 0.0, max = 1.0))]
    pub answer_twice: f64,
    /// Probability that a task runs and its answer carries the attempt identifier of the last
    /// completed task.
    #[garde(range(min = 0.0, max = 1.0))]
    pub answer_other: f64,
    /// Probability that a task runs and the connection is closed after half of its answer.
    #[garde(range(min = 0.0, max = 1.0))]
    pub half_answer: f64,
    /// Probability that a task runs and the connection is closed without an answer.
    #[garde(range(min = 0.0, max = 1.0))]
    pub close: f64,
}

impl Default for UpstreamFaults {
    fn default() -> Self {
        Self {
            slow_factor: 1.0,
            hang: 0.0,
            fail: 0.0,
            answer_twice: 0.0,
            answer_other: 0.0,
            half_answer: 0.0,
            close: 0.0,
        }
    }
}

/// The fault drawn for a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fault {
    Hang,
    Fail,
    AnswerTwice,
    AnswerOther,
    HalfAnswer,
    Close,
}

impl UpstreamFaults {
    /// Draws the fault of one task, if any.
    pub(crate) fn draw(&self) -> Option<Fault> {
        let probabilities = [
            (self.hang, Fault::Hang),
            (self.fail, Fault::Fail),
            (self.answer_twice, Fault::AnswerTwice),
            (self.answer_other, Fault::AnswerOther),
            (self.half_answer, Fault::HalfAnswer),
            (self.close, Fault::Close),
        ];
        let is_hit =
            |(probability, _): &&(f64, Fault)| *probability > 0.0 && fastrand::f64() < *probability;
        probabilities.iter().find(is_hit).map(|(_, fault)| *fault)
    }
}
