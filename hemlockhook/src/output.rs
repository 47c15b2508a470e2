//! Output and exit codes of the command.

use std::fmt::{Arguments, Display};
use std::io::{self, Write};
use std::process::ExitCode;
use std::str::FromStr;

use serde::Serialize;
use thiserror::Error;

/// Prints formatted text to standard output, ignoring write errors.
macro_rules! out {
    ($($arg:tt)*) => { $crate::output::write_text(format_args!($($arg)*)) };
}

/// Prints a formatted line to standard output, ignoring write errors.
macro_rules! outln {
    ($($arg:tt)*) => { $crate::output::write_text(format_args!("{}\n", format_args!($($arg)*))) };
}

pub(crate) use {out, outln};

/// Output format of results.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Format {
    /// Human-readable tables.
    #[default]
    Text,
    /// Machine-readable JSON.
    Json,
}

/// Exit codes of the command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    /// The command completed with a positive result.
    Ok = 0,
    /// The command completed with a negative result: a document with problems, a refused change, a
    /// job that is not complete, or processes with different versions.
    Negative = 1,
    /// An argument, or a file that it names, is invalid.
    Usage = 2,
    /// The log or the entries could not be reached, and nothing was changed.
    Unreachable = 3,
    /// The outcome is unknown: a change may or may not have been made.
    Unsettled = 4,
}

/// An error with the exit code of the command.
#[derive(Debug, Error)]
#[error("{message}")]
pub struct Failure {
    exit: Exit,
    message: String,
}

impl From<bool> for Exit {
    /// Returns [`Exit::Ok`] for a positive result and [`Exit::Negative`] otherwise.
    fn from(is_positive: bool) -> Self {
        if is_positive {
            Self::Ok
        } else {
            Self::Negative
        }
    }
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit as u8)
    }
}

impl FromStr for Format {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "text" => Ok(Self::Text),
            "json" => Ok(Self::Json),
            _ => Err("expected `text` or `json`".to_owned()),
        }
    }
}

impl Display for Format {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Self::Text => "text",
            Self::Json => "json",
        })
    }
}

/// Returns an error with [`Exit::Usage`].
pub fn usage_error<M>(message: M) -> eyre::Report
where
    M: Into<String>,
{
    failure(Exit::Usage, message)
}

/// Returns an error with an exit code.
pub fn failure<M>(exit: Exit, message: M) -> eyre::Report
where
    M: Into<String>,
{
    let message = message.into();
    Failure { exit, message }.into()
}

/// Returns the exit code of an error, which is [`Exit::Usage`] if it has none.
pub fn exit_code_of(report: &eyre::Report) -> Exit {
    report
        .downcast_ref::<Failure>()
        .map_or(Exit::Usage, |failure| failure.exit)
}

/// Writes to standard output. A reader that closes the pipe early, such as `head`, is not an error.
pub fn write_text(text: Arguments<'_>) {
    let _ = io::stdout().write_fmt(text);
}

/// Prints a value as JSON.
pub fn print_json<T>(value: &T) -> eyre::Result<()>
where
    T: Serialize,
{
    outln!("{}", serde_json::to_string_pretty(value)?);
    Ok(())
}

/// A table with column headings.
#[derive(Clone, Debug)]
pub struct Table {
    headings: Vec<&'static str>,
    rows: Vec<Vec<String>>,
}

impl Table {
    /// Creates a table without rows.
    pub fn new(headings: &[&'static str]) -> Self {
        Self {
            headings: headings.to_vec(),
            rows: Vec::new(),
        }
    }

    /// Adds a row, which must have a cell for each heading.
    pub fn push_row<I>(&mut self, cells: I)
    where
        I: IntoIterator<Item = String>,
    {
        let cells: Vec<String> = cells.into_iter().collect();
        assert_eq!(
            cells.len(),
            self.headings.len(),
            "a row needs one cell for each heading"
        );
        self.rows.push(cells);
    }

    /// Prints the table under a title, or `none` if it has no rows.
    pub fn print(&self, title: &str) {
        outln!("{title}");
        if self.rows.is_empty() {
            outln!("  none");
            return;
        }
        let headings = self.headings.iter().map(|h| (*h).to_owned()).collect();
        let rows = std::iter::once(&headings).chain(&self.rows);
        for row in rows {
            outln!("  {}", self.align(row));
        }
    }

    fn align(&self, cells: &[String]) -> String {
        let padded: Vec<String> = cells
            .iter()
            .enumerate()
            .map(|(i, cell)| format!("{cell:width$}", width = self.width(i)))
            .collect();
        padded.join("  ").trim_end().to_owned()
    }

    fn width(&self, column: usize) -> usize {
        let cells = self.rows.iter().map(|row| row[column].chars().count());
        cells.max().unwrap_or(0).max(self.headings[column].len())
    }
}

/// Formats a duration in milliseconds with a unit that suits its length.
pub fn format_ms(ms: u64) -> String {
    match ms {
        0..1_000 => format!("{ms} ms"),
        1_000..120_000 => format!("{:.1} s", ms as f64 / 1_000.0),
        120_000..7_200_000 => format!("{} min", ms / 60_000),
        _ => format!("{} h", ms / 3_600_000),
    }
}

/// Formats an optional duration in milliseconds.
pub fn format_optional_ms(ms: Option<u64>) -> String {
    ms.map_or_else(empty_cell, format_ms)
}

/// Returns the text of a table cell without a value.
pub fn empty_cell() -> String {
    "-".to_owned()
}
