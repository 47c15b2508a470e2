//! Settings files in YAML, validated as a whole.
//!
//! Settings types derive serde's `Deserialize` with `deny_unknown_fields`, and garde's `Validate`.
//! All problems are reported at once, each with its line, column, key and allowed range. The unit of
//! a value is taken from the suffix of its key: `_ms`, `_s`, `_bytes` or `_percent`.

mod check;

use std::fmt::{self, Display, Formatter};
use std::path::{Path, PathBuf};
use std::{fs, io};

use garde::Validate;
use serde::de::DeserializeOwned;
use thiserror::Error;

/// An error from loading settings.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The file could not be read.
    #[error("{}: {source}", path.display())]
    Read {
        /// Path of the settings file, as passed to [`load`].
        path: PathBuf,
        /// The I/O error.
        source: io::Error,
    },
    /// The settings are invalid.
    #[error("{}", ProblemList { path, problems })]
    Invalid {
        /// Path of the settings file, as passed to [`load`].
        path: PathBuf,
        /// All problems, in the order of the file.
        problems: Vec<Problem>,
    },
}

/// A problem in a settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// Line number, from 1, or 0 if unknown.
    pub line: u64,
    /// Column number, from 1, or 0 if unknown.
    pub column: u64,
    /// Path of the key, such as `upstreams[0].speed`. Empty if the problem concerns the whole file.
    pub key: String,
    /// A description of the problem, with the allowed values.
    pub message: String,
}

/// Reads and validates a settings file.
pub fn load<T>(path: &Path) -> Result<T, SettingsError>
where
    T: DeserializeOwned + Validate<Context = ()>,
{
    let text = fs::read_to_string(path).map_err(|source| SettingsError::Read {
        path: path.to_owned(),
        source,
    })?;
    parse(&text).map_err(|problems| SettingsError::Invalid {
        path: path.to_owned(),
        problems,
    })
}

/// Parses and validates the text of a settings file.
pub fn parse<T>(text: &str) -> Result<T, Vec<Problem>>
where
    T: DeserializeOwned + Validate<Context = ()>,
{
    match serde_saphyr::from_str::<T>(text) {
        Ok(settings) if settings.validate().is_ok() => Ok(settings),
        Ok(_) => Err(check::problems::<T>(text, None)),
        Err(err) => Err(check::problems::<T>(text, Some(err))),
    }
}

/// Displays problems one per line, each prefixed with the path of the file.
struct ProblemList<'a> {
    path: &'a Path,
    problems: &'a [Problem],
}

impl Display for ProblemList<'_> {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        for (index, problem) in self.problems.iter().enumerate() {
            let start = if index == 0 { "" } else { "\n" };
            write!(f, "{start}{}:{problem}", self.path.display())?;
        }
        Ok(())
    }
}

impl Display for Problem {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: ", self.line, self.column)?;
        match self.key.as_str() {
            "" => f.write_str(&self.message),
            key => write!(f, "{key}: {}", self.message),
        }
    }
}
