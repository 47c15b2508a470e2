//! Settings and faults of the upstream stand-in.

use std::net::SocketAddr;

use garde::Validate;
use serde::{Deserialize, Serialize};

/// Settings of one upstream stand-in.
#[derive(Clone, Debug, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct UpstreamSettings {
    /// Its name in the inventory.
    #[garde(length(min = 1))]
    pub name: String,
    /// Name of the platform's worker that it runs on; its own name if it is absent.
    #[serde(default)]
    #[garde(skip)]
    pub worker: Option<String>,
    /// Where it listens.
    #[garde(skip)]
    pub address: SocketAddr,
    /// How fast it is: a task takes its run time divided by this.
    #[serde(default = "default_speed")]
    #[garde(range(min = 0.01, max = 100.0))]
    pub speed: f64,
    /// Connections that it takes.
    #[serde(default = "default_max_connections")]
    #[garde(range(min = 1, max = 65_536))]
    pub max_connections: usize,
    /// Whether it counts the starts of each task, which takes memory for every task.
    #[serde(default = "default_count_starts")]
    #[garde(skip)]
    pub count_starts: bool,
    /// Faults from the start on.
    #[serde(default)]
    #[garde(dive)]
    pub faults: UpstreamFaults,
}

impl UpstreamSettings {
    /// Returns the settings with every default.
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

/// How an upstream stand-in fails: shares of the tasks, from 0 to 1, that are drawn for each fault
/// in the order given here.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields, default)]
pub struct UpstreamFaults {
    /// Factor on every run time.
    #[garde(range(min = 0.001, max = 100_000.0))]
    pub slow_factor: f64,
    /// Tasks that run for ever.
    #[garde(range(min = 0.0, max = 1.0))]
    pub hang: f64,
    /// Tasks that fail at once, with status 500.
    #[garde(range(min = 0.0, max = 1.0))]
    pub fail: f64,
    /// Tasks that run and whose answer is sent twice.
    #[garde(range(min = 0.0, max = 1.0))]
    pub answer_twice: f64,
    /// Tasks that run and get the answer of another task.
    #[garde(range(min = 0.0, max = 1.0))]
    pub answer_other: f64,
    /// Tasks that run and of whose answer half is sent before the connection is closed.
    #[garde(range(min = 0.0, max = 1.0))]
    pub half_answer: f64,
    /// Tasks that run and after which the connection is closed without an answer.
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

/// The fault that a task was drawn for.
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
    /// Draws the fault of one task.
    pub(crate) fn draw(&self) -> Option<Fault> {
        let shares = [
            (self.hang, Fault::Hang),
            (self.fail, Fault::Fail),
            (self.answer_twice, Fault::AnswerTwice),
            (self.answer_other, Fault::AnswerOther),
            (self.half_answer, Fault::HalfAnswer),
            (self.close, Fault::Close),
        ];
        let drawn = |(share, _): &&(f64, Fault)| *share > 0.0 && fastrand::f64() < *share;
        shares.iter().find(drawn).map(|(_, fault)| *fault)
    }
}
