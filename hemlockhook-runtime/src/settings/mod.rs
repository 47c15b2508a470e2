//! Settings in YAML, checked as a whole.
//!
//! Types derive serde's `Deserialize` with `deny_unknown_fields`, and garde's `Validate`. What is
//! wrong is told at once, each with its line, column, key and the range allowed. The unit is told by
//! the end of a key: `_ms`, `_s`, `_bytes` or `_percent`.

mod check;

use std::fmt::{self, Display, Formatter};
use std::path::{Path, PathBuf};
use std::{fs, io};

use garde::Validate;
use serde::de::DeserializeOwned;
use thiserror::Error;

/// Why settings were refused.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The file could not be read.
    #[error("{}: {source}", path.display())]
    Read {
        /// The file.
        path: PathBuf,
        /// Why.
        source: io::Error,
    },
    /// The settings are wrong.
    #[error("{}", Listing { path, problems })]
    Invalid {
        /// The file.
        path: PathBuf,
        /// Everything that is wrong, in the order of the file.
        problems: Vec<Problem>,
    },
}

/// One thing that is wrong in settings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// Line, from 1; 0 if it is not known.
    pub line: u64,
    /// Column, from 1; 0 if it is not known.
    pub column: u64,
    /// The key, from the top of the file: `upstreams[0].speed`. Empty for the file as a whole.
    pub key: String,
    /// What is wrong, and what is allowed.
    pub message: String,
}

/// Reads settings and checks them.
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

/// Checks the text of settings.
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

/// Problems, one a line, each with its file.
struct Listing<'a> {
    path: &'a Path,
    problems: &'a [Problem],
}

impl Display for Listing<'_> {
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
