//! What clients, workers and the operator have seen.

use std::sync::Mutex;
use std::time::Instant;

/// A run of a task on a worker, in seconds since the start of the case.
#[derive(Clone, Debug)]
pub struct Run {
    pub task: String,
    pub run: u64,
    pub worker: String,
    pub labels: Vec<String>,
    pub began: f64,
    pub ended: Option<f64>,
    pub how: &'static str,
}

pub struct Trace {
    start: Instant,
    lines: Mutex<Vec<String>>,
    runs: Mutex<Vec<Run>>,
}

impl Trace {
    pub fn new() -> Self {
        Self {
            start: Instant::now(),
            lines: Mutex::default(),
            runs: Mutex::default(),
        }
    }

    pub fn seconds(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    pub fn note(&self, line: String) {
        let line = format!("{:8.3} s  {line}", self.seconds());
        self.lines.lock().unwrap().push(line);
    }

    pub fn began(&self, run: Run) -> usize {
        let mut runs = self.runs.lock().unwrap();
        runs.push(run);
        runs.len() - 1
    }

    pub fn ended(&self, record: usize, how: &'static str) {
        let now = self.seconds();
        let run = &mut self.runs.lock().unwrap()[record];
        run.ended = Some(now);
        run.how = how;
    }

    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().unwrap().clone()
    }

    /// Writes what was sent and answered, and all runs.
    pub fn text(&self) -> String {
        let mut text = self.lines.lock().unwrap().join("\n");
        text.push_str(
            "\n\nruns: task, run, worker, labels, from and to in seconds, how it ended\n",
        );
        for run in self.runs() {
            let ended = run.ended.map_or("-".to_owned(), |at| format!("{at:.3}"));
            text += &format!(
                "{} {} {} {} {:.3} {ended} {}\n",
                run.task,
                run.run,
                run.worker,
                run.labels.join("+"),
                run.began,
                run.how
            );
        }
        text
    }
}
