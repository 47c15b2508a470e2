//! What the command prints, and how it exits.

use std::fmt::{Arguments, Display};
use std::io::{self, Write};
use std::process::ExitCode;
use std::str::FromStr;

use serde::Serialize;
use thiserror::Error;

/// Prints formatted text to the standard output.
macro_rules! text {
    ($($arg:tt)*) => { $crate::output::write_text(format_args!($($arg)*)) };
}

/// Prints a formatted line to the standard output.
macro_rules! line {
    ($($arg:tt)*) => { $crate::output::write_text(format_args!("{}\n", format_args!($($arg)*))) };
}

pub(crate) use {line, text};

/// How results are printed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Format {
    /// Tables for people.
    #[default]
    Text,
    /// JSON for scripts.
    Json,
}

/// Exit codes of the command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    /// Done, and the answer is good.
    Ok = 0,
    /// Done, and the answer is not good: a document with problems, a publish that was refused, a
    /// job that is not complete, processes that differ.
    Negative = 1,
    /// The arguments, or a file that they name, can't be used.
    Usage = 2,
    /// The log or an entry could not be reached. Nothing was changed.
    Unreachable = 3,
    /// Whether something was changed could not be settled.
    Unsettled = 4,
}

/// An error that carries the exit code.
#[derive(Debug, Error)]
#[error("{message}")]
pub struct Failure {
    exit: Exit,
    message: String,
}

impl From<bool> for Exit {
    /// Turns whether an answer is good into the exit code that says so.
    fn from(is_good: bool) -> Self {
        if is_good { Self::Ok } else { Self::Negative }
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

/// Returns an error of usage.
pub fn usage<M>(message: M) -> eyre::Report
where
    M: Into<String>,
{
    failure(Exit::Usage, message)
}

/// Returns an error that ends the command with an exit code.
pub fn failure<M>(exit: Exit, message: M) -> eyre::Report
where
    M: Into<String>,
{
    let message = message.into();
    Failure { exit, message }.into()
}

/// Returns the exit code that an error carries.
pub fn exit_of(report: &eyre::Report) -> Exit {
    report
        .downcast_ref::<Failure>()
        .map_or(Exit::Usage, |failure| failure.exit)
}

/// Writes to the standard output. A reader that closed its end early, such as `head`, is no error.
pub fn write_text(text: Arguments<'_>) {
    let _ = io::stdout().write_fmt(text);
}

/// Prints a value as JSON.
pub fn print_json<T>(value: &T) -> eyre::Result<()>
where
    T: Serialize,
{
    line!("{}", serde_json::to_string_pretty(value)?);
    Ok(())
}

/// Rows of text under headings.
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

    /// Adds a row, with a cell for each heading.
    pub fn row<I>(&mut self, cells: I)
    where
        I: IntoIterator<Item = String>,
    {
        let cells: Vec<String> = cells.into_iter().collect();
        assert_eq!(cells.len(), self.headings.len(), "one cell a heading");
        self.rows.push(cells);
    }

    /// Prints the table under a title, or says that there is nothing.
    pub fn print(&self, title: &str) {
        line!("{title}");
        if self.rows.is_empty() {
            line!("  none");
            return;
        }
        let headings = self.headings.iter().map(|h| (*h).to_owned()).collect();
        let lines = std::iter::once(&headings).chain(&self.rows);
        for line in lines {
            line!("  {}", self.align(line));
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

/// Writes a time in milliseconds for people.
pub fn time(ms: u64) -> String {
    match ms {
        0..1_000 => format!("{ms} ms"),
        1_000..120_000 => format!("{:.1} s", ms as f64 / 1_000.0),
        120_000..7_200_000 => format!("{} min", ms / 60_000),
        _ => format!("{} h", ms / 3_600_000),
    }
}

/// Writes an optional time in milliseconds for people.
pub fn time_or_dash(ms: Option<u64>) -> String {
    ms.map_or_else(dash, time)
}

/// Stands for nothing in a table.
pub fn dash() -> String {
    "-".to_owned()
}
