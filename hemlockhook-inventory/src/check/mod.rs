//! Validation of a document: its syntax, each value on its own, and the values in relation to each
//! other.

pub mod consistency;
pub mod suggestion;
pub mod values;

use std::fmt::{self, Display, Formatter};

use serde::{Deserialize, Serialize};

use crate::check::consistency::check_consistency;
use crate::check::values::check_values;
use crate::model::Inventory;
use hemlockhook_yaml::{DuplicateKeys, Error, Node, Position};

pub use crate::check::values::schema;

/// Maximum size of a document, in bytes.
pub const MAX_DOCUMENT_BYTES: usize = 1 << 20;

/// A problem found in a document.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Problem {
    /// Line number, starting at 1; 0 if the problem has no single position.
    pub line: u64,
    /// Column number, starting at 1; 0 if the problem has no single position.
    pub column: u64,
    /// Path of the key, such as `upstreams[3].worker`.
    pub key: String,
    /// Description of the problem.
    pub message: String,
    /// The value or key that was probably intended.
    pub suggestion: Option<String>,
}

impl Problem {
    /// Creates a problem without a suggestion.
    pub fn new<M>(position: Position, key: &str, message: M) -> Self
    where
        M: Into<String>,
    {
        Self {
            line: position.line,
            column: position.column,
            key: key.to_owned(),
            message: message.into(),
            suggestion: None,
        }
    }

    /// Sets the suggestion.
    pub fn with_suggestion(self, suggestion: Option<String>) -> Self {
        Self { suggestion, ..self }
    }

    /// Appends to the message the line of the first value that this one conflicts with.
    pub fn with_first_occurrence(mut self, position: Position) -> Self {
        self.message += &format!(" (first on line {})", position.line);
        self
    }
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
/// Returns all problems in document order, but only the first syntax error.
pub fn check(text: &str) -> Result<Inventory, Vec<Problem>> {
    if text.len() > MAX_DOCUMENT_BYTES {
        let message = format!(
            "the document has {} bytes, more than the maximum of {MAX_DOCUMENT_BYTES}",
            text.len()
        );
        return Err(vec![Problem::new(Position::default(), "", message)]);
    }
    let root = Node::parse(text, DuplicateKeys::Keep).map_err(|e| vec![syntax_problem(&e)])?;

    let mut problems = check_values(&root);
    problems.extend(check_consistency(&root));
    problems.sort();
    if !problems.is_empty() {
        return Err(problems);
    }
    serde_saphyr::from_str(text).map_err(|e| vec![syntax_problem(&e)])
}

/// Converts an error of the YAML library into a problem.
fn syntax_problem(error: &Error) -> Problem {
    let position = error.location().map(Position::from).unwrap_or_default();
    let text = error.without_snippet().to_string();
    Problem::new(position, "", text.lines().next().unwrap_or_default())
}
