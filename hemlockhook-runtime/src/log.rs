//! Logging in JSON lines.

use std::backtrace::{Backtrace, BacktraceStatus};
use std::io::{self, Write};
use std::panic::{self, PanicHookInfo};
use std::process;
use std::sync::Arc;

use spdlog::formatter::JsonFormatter;
use spdlog::sink::{Sink, WriteSink};
use spdlog::{Level, LevelFilter, Logger};
use thiserror::Error;

use hemlockhook_types::TaskIndex;

use crate::rate_limit::RateLimitedSink;
pub use crate::rate_limit::{LineBudget, LineKind};

/// Exit status of a process that is stopped by a panic.
const PANIC_STATUS: i32 = 70;

/// An error from setting up logging.
#[derive(Debug, Error)]
pub enum LogError {
    /// The name of the level is unknown.
    #[error("`{0}` is no log level: use trace, debug, info, warn, error, critical or off")]
    UnknownLevel(String),
    /// The logger could not be built.
    #[error("logging could not be set up: {0}")]
    Setup(#[from] spdlog::Error),
}

/// Sets up a daemon's logging: JSON lines on stderr, for messages of `level` and above.
///
/// A panic on any thread is logged and stops the process. A panic means that an invariant is
/// broken, and a process that continued without one of its tasks would appear healthy but would not
/// work.
pub fn init(level: &str) -> Result<(), LogError> {
    init_with_writer(level, io::stderr())?;
    stop_on_panic();
    Ok(())
}

/// Like [`init`], but on stdout, rate-limited and non-blocking: lines above the limits per second,
/// and lines that the reader of a full pipe would delay, are dropped and counted.
pub fn init_rate_limited(level: &str) -> Result<(), LogError> {
    init_with_sink(level, Arc::new(RateLimitedSink::new(JsonFormatter::new())))?;
    stop_on_panic();
    Ok(())
}

/// Sets up logging in JSON lines on `writer`, for messages of `level` and above.
pub fn init_with_writer<W>(level: &str, writer: W) -> Result<(), LogError>
where
    W: Write + Send + 'static,
{
    let sink = WriteSink::builder()
        .target(writer)
        .formatter(JsonFormatter::new())
        .build()?;
    init_with_sink(level, Arc::new(sink))
}

fn init_with_sink(level: &str, sink: Arc<dyn Sink>) -> Result<(), LogError> {
    let filter = parse_level(level)?;
    let logger = Logger::builder().sink(sink).level_filter(filter).build()?;
    spdlog::set_default_logger(Arc::new(logger));
    Ok(())
}

/// Validates the name of a log level in settings: `#[garde(custom(log::check_level))]`.
pub fn check_level(level: &str, _: &()) -> garde::Result {
    match parse_level(level) {
        Ok(_) => Ok(()),
        Err(err) => Err(garde::Error::new(err)),
    }
}

fn parse_level(level: &str) -> Result<LevelFilter, LogError> {
    match level.parse::<Level>() {
        Ok(level) => Ok(LevelFilter::MoreSevereEqual(level)),
        Err(_) if level == "off" => Ok(LevelFilter::Off),
        Err(_) => Err(LogError::UnknownLevel(level.to_owned())),
    }
}

fn stop_on_panic() {
    panic::set_hook(Box::new(|info| {
        log_panic(info);
        process::exit(PANIC_STATUS);
    }));
}

fn log_panic(info: &PanicHookInfo<'_>) {
    let message = info.payload_as_str().unwrap_or("no message");
    let location = info.location().map(ToString::to_string);
    let location = location.as_deref().unwrap_or("unknown");
    let backtrace = Backtrace::capture();
    let backtrace = match backtrace.status() {
        BacktraceStatus::Captured => backtrace.to_string(),
        _ => String::new(),
    };
    let backtrace = backtrace.as_str();
    spdlog::critical!("an invariant is broken: {message}", kv: { place = location, backtrace });
}

/// A logger that adds a job's key, and a task's index if there is one, to every line.
#[derive(Clone, Copy, Debug)]
pub struct JobLog<'a> {
    job: &'a str,
    task: Option<TaskIndex>,
}

/// Returns a logger for lines about a job.
pub fn job(key: &str) -> JobLog<'_> {
    JobLog {
        job: key,
        task: None,
    }
}

/// Returns a logger for lines about one task of a job.
pub fn task(key: &str, index: TaskIndex) -> JobLog<'_> {
    JobLog {
        job: key,
        task: Some(index),
    }
}

impl JobLog<'_> {
    /// Writes a line at debug level.
    pub fn debug(&self, text: &str) {
        self.write(Level::Debug, text);
    }

    /// Writes a line at info level.
    pub fn info(&self, text: &str) {
        self.write(Level::Info, text);
    }

    /// Writes a line at warn level.
    pub fn warn(&self, text: &str) {
        self.write(Level::Warn, text);
    }

    /// Writes a line at error level.
    pub fn error(&self, text: &str) {
        self.write(Level::Error, text);
    }

    fn write(&self, level: Level, text: &str) {
        let job = self.job;
        match self.task {
            Some(task) => spdlog::log!(level, "{text}", kv: { job, task }),
            None => spdlog::log!(level, "{text}", kv: { job }),
        }
    }
}
