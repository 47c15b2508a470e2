//! Settings in YAML, checked as a whole.

use std::path::{Path, PathBuf};
use std::{fs, io};

use garde::Validate;
use serde::de::DeserializeOwned;
use thiserror::Error;

/// Why settings were refused.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The file could not be read.
    #[error("{path}: {source}")]
    Read {
        /// The file.
        path: PathBuf,
        /// Why.
        source: io::Error,
    },
    /// The file is no YAML, or has unknown, missing or mistyped keys.
    #[error("{path}: {message}")]
    Parse {
        /// The file.
        path: PathBuf,
        /// Line, column and what is wrong there.
        message: String,
    },
    /// Values are out of their ranges.
    #[error("{path}: {report}")]
    Check {
        /// The file.
        path: PathBuf,
        /// One line a value.
        report: garde::Report,
    },
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
    let settings: T = serde_saphyr::from_str(&text).map_err(|err| SettingsError::Parse {
        path: path.to_owned(),
        message: err.to_string(),
    })?;
    match settings.validate() {
        Ok(()) => Ok(settings),
        Err(report) => Err(SettingsError::Check {
            path: path.to_owned(),
            report,
        }),
    }
}
