//! A log sink that bounds the lines per second and never blocks.

use std::io::{self, Write};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use rustix::event::{PollFd, PollFlags, Timespec, poll};
use spdlog::formatter::{Formatter, FormatterContext};
use spdlog::sink::{GetSinkProp, Sink, SinkProp};
use spdlog::{Error, Record, StringBuf};

/// Maximum number of lines about single jobs per second.
const MAX_JOB_LINES: u32 = 400;

/// Maximum number of other lines per second. They have a limit of their own, so that lines about
/// jobs don't displace them under load.
const MAX_STATE_LINES: u32 = 100;

/// Key of the job in the lines that are about one.
const JOB_KEY: &str = "job";

/// Writes lines to stdout up to the limits and without blocking.
pub(crate) struct RateLimitedSink {
    prop: SinkProp,
    budget: Mutex<LineBudget>,
}

impl RateLimitedSink {
    pub(crate) fn new<F>(formatter: F) -> Self
    where
        F: Formatter + 'static,
    {
        let prop = SinkProp::default();
        prop.set_formatter(formatter);
        Self {
            prop,
            budget: Mutex::new(LineBudget::new(Instant::now())),
        }
    }
}

impl GetSinkProp for RateLimitedSink {
    fn prop(&self) -> &SinkProp {
        &self.prop
    }
}

impl Sink for RateLimitedSink {
    fn log(&self, record: &Record) -> spdlog::Result<()> {
        let is_job_line = record
            .key_values()
            .iter()
            .any(|(key, _)| key.as_str() == JOB_KEY);
        let kind = match is_job_line {
            true => LineKind::Job,
            false => LineKind::State,
        };
        let mut budget = self.budget.lock().unwrap_or_else(PoisonError::into_inner);
        if !budget.admit(Instant::now(), kind) {
            return Ok(());
        }
        if !is_stdout_writable() {
            budget.dropped += 1;
            return Ok(());
        }
        let mut line = StringBuf::new();
        self.prop
            .formatter()
            .format(record, &mut line, &mut FormatterContext::new())?;
        write_line(budget.take_dropped(), line.as_bytes()).map_err(Error::WriteRecord)
    }

    fn flush(&self) -> spdlog::Result<()> {
        io::stdout().lock().flush().map_err(Error::FlushBuffer)
    }
}

/// What a log line is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LineKind {
    /// One job.
    Job,
    /// The process, or what it believes.
    State,
}

/// Counts the lines of each second against the limits, and those that are dropped.
#[derive(Clone, Copy, Debug)]
pub struct LineBudget {
    window_start: Instant,
    job_lines: u32,
    state_lines: u32,
    dropped: u64,
}

impl LineBudget {
    /// Creates an unused budget, whose first second starts at `now`.
    pub fn new(now: Instant) -> Self {
        Self {
            window_start: now,
            job_lines: 0,
            state_lines: 0,
            dropped: 0,
        }
    }

    /// Returns whether a line is written; otherwise it counts as dropped.
    pub fn admit(&mut self, now: Instant, kind: LineKind) -> bool {
        if now.saturating_duration_since(self.window_start) >= Duration::from_secs(1) {
            self.window_start = now;
            self.job_lines = 0;
            self.state_lines = 0;
        }
        let (lines, max) = match kind {
            LineKind::Job => (&mut self.job_lines, MAX_JOB_LINES),
            LineKind::State => (&mut self.state_lines, MAX_STATE_LINES),
        };
        let is_admitted = *lines < max;
        match is_admitted {
            true => *lines += 1,
            false => self.dropped += 1,
        }
        is_admitted
    }

    /// Returns the number of lines dropped since the last call.
    pub fn take_dropped(&mut self) -> u64 {
        std::mem::take(&mut self.dropped)
    }
}

fn write_line(dropped: u64, line: &[u8]) -> io::Result<()> {
    let mut out = io::stdout().lock();
    if dropped > 0 {
        writeln!(out, "{{\"level\":\"warn\",\"dropped_lines\":{dropped}}}")?;
    }
    out.write_all(line)
}

/// Returns whether stdout accepts a write without blocking.
fn is_stdout_writable() -> bool {
    let out = io::stdout();
    let mut fds = [PollFd::new(&out, PollFlags::OUT)];
    let timeout = Timespec {
        tv_sec: 0,
        tv_nsec: 0,
    };
    // Error conditions on the pipe make it ready, and the write that follows reports them. A poll
    // that fails says nothing about the pipe; the line counts as dropped.
    poll(&mut fds, Some(&timeout)).is_ok_and(|ready| ready > 0)
}
