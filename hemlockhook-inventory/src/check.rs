//! Checks of a document as a whole.

use std::fmt::{self, Display, Formatter};

use serde::{Deserialize, Serialize};

use crate::model::Inventory;

/// Largest document that is accepted, in bytes.
pub const MAX_DOCUMENT_BYTES: usize = 1 << 20;

/// One fault of a document.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Problem {
    /// Line, from 1; 0 when the fault is in no one place.
    pub line: u64,
    /// Column, from 1; 0 when the fault is in no one place.
    pub column: u64,
    /// Path of the key, such as `upstreams[3].worker`.
    pub key: String,
    /// What is wrong.
    pub message: String,
    /// What was probably meant.
    pub suggestion: Option<String>,
}

impl Display for Problem {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: ", self.line, self.column)?;
        if !self.key.is_empty() {
            write!(f, "{}: ", self.key)?;
        }
        write!(f, "{}", self.message)?;
        match &self.suggestion {
            Some(suggestion) => write!(f, "; did you mean `{suggestion}`?"),
            None => Ok(()),
        }
    }
}

/// Parses and checks a YAML document.
///
/// # Errors
///
/// Returns every problem found, in the order of the document.
pub fn check(text: &str) -> Result<Inventory, Vec<Problem>> {
    serde_saphyr::from_str(text).map_err(|e| {
        vec![Problem {
            line: 0,
            column: 0,
            key: String::new(),
            message: e.to_string(),
            suggestion: None,
        }]
    })
}
