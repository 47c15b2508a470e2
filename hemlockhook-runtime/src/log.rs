//! JSON-lines logs.

use std::backtrace::{Backtrace, BacktraceStatus};
use std::io::{self, Write};
use std::panic::{self, PanicHookInfo};
use std::process;
use std::sync::Arc;
use std::time::{Duration, Instant};

use rustix::event::{PollFd, PollFlags, Timespec, poll};
use spdlog::formatter::JsonFormatter;
use spdlog::sink::{Sink, WriteSink};
use spdlog::{Level, LevelFilter, Logger};
use thiserror::Error;

use hemlockhook_types::TaskIndex;

/// Exit status of a process that a panic stops.
const PANIC_STATUS: i32 = 70;

/// Why logging was not set up.
#[derive(Debug, Error)]
pub enum LogError {
    /// The level has no such name.
    #[error("`{0}` is no log level: use trace, debug, info, warn, error, critical or off")]
    UnknownLevel(String),
    /// The logger could not be built.
    #[error("logging could not be set up: {0}")]
    Setup(#[from] spdlog::Error),
}

/// Makes JSON lines on stderr the log of a daemon, from `level` up.
///
/// A panic on any thread is logged too, and stops the process: it says that an invariant is broken,
/// and a process that went on without one of its tasks would look alive and not be.
pub fn init(level: &str) -> Result<(), LogError> {
    init_daemon(level, io::stderr())
}

/// Like [`init`], on stdout, with at most a bounded number of lines a second, and without ever
/// waiting for whoever reads them: lines that can't be written are counted and dropped.
pub fn init_rate_limited(level: &str) -> Result<(), LogError> {
    init_daemon(level, BoundedOut::default())
}

fn init_daemon<W>(level: &str, writer: W) -> Result<(), LogError>
where
    W: Write + Send + 'static,
{
    init_with_writer(level, writer)?;
    panic::set_hook(Box::new(|info| {
        log_panic(info);
        process::exit(PANIC_STATUS);
    }));
    Ok(())
}

/// Lines written in a second at most; those beyond are dropped and counted.
const MAX_LINES_PER_SECOND: u32 = 500;

/// Writes to stdout what it takes at once.
#[derive(Debug)]
struct BoundedOut {
    second: Instant,
    lines: u32,
    dropped: u64,
}

impl Default for BoundedOut {
    fn default() -> Self {
        Self {
            second: Instant::now(),
            lines: 0,
            dropped: 0,
        }
    }
}

impl BoundedOut {
    fn has_room(&mut self) -> bool {
        if self.second.elapsed() >= Duration::from_secs(1) {
            self.second = Instant::now();
            self.lines = 0;
        }
        self.lines += 1;
        self.lines <= MAX_LINES_PER_SECOND && is_writable()
    }
}

impl Write for BoundedOut {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        if !self.has_room() {
            self.dropped += 1;
            return Ok(buf.len());
        }
        let mut out = io::stdout().lock();
        if self.dropped > 0 {
            writeln!(
                out,
                "{{\"level\":\"warn\",\"dropped_lines\":{}}}",
                self.dropped
            )?;
            self.dropped = 0;
        }
        out.write_all(buf)?;
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        io::stdout().lock().flush()
    }
}

/// Returns whether stdout takes a line at once.
fn is_writable() -> bool {
    let out = io::stdout();
    let mut fds = [PollFd::new(&out, PollFlags::OUT)];
    let timeout = Timespec {
        tv_sec: 0,
        tv_nsec: 0,
    };
    // An error says nothing of the pipe; the write that follows tells it.
    poll(&mut fds, Some(&timeout)).is_ok_and(|ready| ready > 0)
}

/// Makes JSON lines on `writer` the process's log, from `level` up.
pub fn init_with_writer<W>(level: &str, writer: W) -> Result<(), LogError>
where
    W: Write + Send + 'static,
{
    let filter = parse_level(level)?;
    let sink: Arc<dyn Sink> = Arc::new(
        WriteSink::builder()
            .target(writer)
            .formatter(JsonFormatter::new())
            .build()?,
    );
    let logger = Logger::builder().sink(sink).level_filter(filter).build()?;
    spdlog::set_default_logger(Arc::new(logger));
    Ok(())
}

/// Checks the name of a level in settings: `#[garde(custom(log::check_level))]`.
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

fn log_panic(info: &PanicHookInfo<'_>) {
    let message = info.payload_as_str().unwrap_or("no message");
    let place = info.location().map(ToString::to_string);
    let place = place.as_deref().unwrap_or("unknown");
    let backtrace = Backtrace::capture();
    let backtrace = match backtrace.status() {
        BacktraceStatus::Captured => backtrace.to_string(),
        _ => String::new(),
    };
    let backtrace = backtrace.as_str();
    spdlog::critical!("an invariant is broken: {message}", kv: { place, backtrace });
}

/// Writes lines about one job, which all carry its key and, where given, the task.
#[derive(Clone, Copy, Debug)]
pub struct JobLog<'a> {
    job: &'a str,
    task: Option<TaskIndex>,
}

/// Returns a log whose lines are about a job.
pub fn job(key: &str) -> JobLog<'_> {
    JobLog {
        job: key,
        task: None,
    }
}

/// Returns a log whose lines are about one task of a job.
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
