//! Collects all problems of a settings file, where serde stops at the first error.
//!
//! After each error, the offending value is removed or replaced with one that is accepted, and the
//! document is deserialized again. Once that succeeds, the ranges of the values are checked.

use std::collections::HashMap;

use garde::Validate;
use serde::de::DeserializeOwned;
use serde_saphyr::Error;

use super::Problem;
use hemlockhook_yaml::de::{DeserializeError, ErrorKind};
use hemlockhook_yaml::path::{PathSegment, format_path, parse_path};
use hemlockhook_yaml::{DuplicateKeys, Node, Position, Value};

/// Maximum number of deserialization rounds; each finds one error or tries one replacement.
const MAX_ROUNDS: usize = 1000;

/// Maximum number of reported problems.
const MAX_PROBLEMS: usize = 100;

/// Returns all problems of a text that is not a valid `T`. `yaml_error` is the YAML library's error,
/// if there was one.
pub(super) fn problems<T>(text: &str, yaml_error: Option<Error>) -> Vec<Problem>
where
    T: DeserializeOwned + Validate<Context = ()>,
{
    let tree = match Node::parse(text, DuplicateKeys::Reject) {
        Ok(tree) => tree,
        Err(err) => return vec![syntax_problem(&err)],
    };

    let mut collector = ProblemCollector::new(tree);
    collector.run::<T>();
    let mut problems = collector.problems;
    if problems.is_empty() {
        // The library rejects documents that the tree accepts, such as those with duplicate keys.
        problems.extend(yaml_error.as_ref().map(syntax_problem));
    }
    if problems.is_empty() {
        problems.push(problem(Position::default(), String::new(), "not valid"));
    }
    problems.sort_by_key(|problem| (problem.line, problem.column));
    problems.truncate(MAX_PROBLEMS);
    problems
}

fn syntax_problem(err: &Error) -> Problem {
    let position = err.location().map(Position::from).unwrap_or_default();
    if let Error::DuplicateMappingKey { key: Some(key), .. } = err.without_snippet() {
        return problem(position, key.clone(), "duplicate key");
    }
    let message = err.without_snippet().to_string();
    let text = message.lines().next().unwrap_or("");
    let text = text.split_once(" at line ").map_or(text, |(text, _)| text);
    problem(position, String::new(), text)
}

fn problem(position: Position, key: String, message: &str) -> Problem {
    Problem {
        line: position.line,
        column: position.column,
        key,
        message: message.to_owned(),
    }
}

struct ProblemCollector {
    /// The document as it was written, to look up locations.
    original: Node,
    /// The document with the replacements so far.
    tree: Node,
    problems: Vec<Problem>,
    /// Number of replacements tried for each invalid value.
    replacements_tried: HashMap<Vec<PathSegment>, usize>,
}

impl ProblemCollector {
    fn new(tree: Node) -> Self {
        Self {
            original: tree.clone(),
            tree,
            problems: Vec::new(),
            replacements_tried: HashMap::new(),
        }
    }

    fn run<T>(&mut self)
    where
        T: DeserializeOwned + Validate<Context = ()>,
    {
        for _ in 0..MAX_ROUNDS {
            match T::deserialize(&self.tree) {
                Ok(value) => return self.check_ranges(&value),
                Err(err) if self.record_and_repair(&err) => {}
                Err(_) => return,
            }
        }
    }

    /// Records an error and changes the tree so that the next round finds the next one. Returns
    /// false once no replacement is left to try.
    fn record_and_repair(&mut self, err: &DeserializeError) -> bool {
        if let Some(path) = self.replaced_path(&err.path) {
            return self.replace(path);
        }

        self.record(&err.path, &err.message);
        match err.kind {
            ErrorKind::UnknownKey => {
                self.tree.set_at(&err.path, None);
                true
            }
            ErrorKind::MissingKey | ErrorKind::InvalidValue => self.replace(err.path.clone()),
        }
    }

    /// Returns the path of the replaced value that contains `path`, if there is one.
    fn replaced_path(&self, path: &[PathSegment]) -> Option<Vec<PathSegment>> {
        (0..=path.len())
            .map(|len| path[..len].to_vec())
            .find(|prefix| self.replacements_tried.contains_key(prefix))
    }

    /// Replaces a value with the next replacement.
    fn replace(&mut self, path: Vec<PathSegment>) -> bool {
        let replacements = replacements();
        let tried = self.replacements_tried.entry(path.clone()).or_default();
        let Some(value) = replacements.get(*tried) else {
            return false;
        };
        *tried += 1;
        self.tree.set_at(&path, value.clone());
        true
    }

    fn record(&mut self, path: &[PathSegment], message: &str) {
        let position = self.original.position_of(path);
        self.problems
            .push(problem(position, format_path(path), message));
    }

    fn check_ranges<T>(&mut self, value: &T)
    where
        T: DeserializeOwned + Validate<Context = ()>,
    {
        let Err(report) = value.validate() else {
            return;
        };
        for (path, err) in report.iter() {
            let key = path.to_string();
            let path = parse_path(&key);
            if self.replaced_path(&path).is_some() {
                continue;
            }
            let message = range_message::<T>(&self.tree, &path, err.message());
            self.record(&path, &message);
        }
    }
}

/// Returns the replacements for an invalid value, which are tried in this order until one is
/// accepted. `None` removes the value.
fn replacements() -> [Option<Value>; 7] {
    [
        None,
        Some(Value::Null),
        Some(Value::Uint(1)),
        Some(Value::Bool(true)),
        Some(Value::String("127.0.0.1:1".to_owned())),
        Some(Value::Sequence(Vec::new())),
        Some(Value::Mapping(Vec::new())),
    ]
}

/// Rewrites garde's range message, which has one bound, to state both. Returns other messages
/// unchanged.
fn range_message<T>(tree: &Node, path: &[PathSegment], message: &str) -> String
where
    T: DeserializeOwned + Validate<Context = ()>,
{
    let (low, high) = match (bound(message, LOWER), bound(message, GREATER)) {
        (Some(low), _) => (Some(low), other_bound::<T>(tree, path, GREATER)),
        (_, Some(high)) => (other_bound::<T>(tree, path, LOWER), Some(high)),
        _ => return message.to_owned(),
    };
    let given = tree
        .get_at(path)
        .map_or(String::new(), |node| value_text(&node.value));
    let unit = unit(path);
    match (low, high) {
        (Some(low), Some(high)) => format!("{given} is not from {low} to {high}{unit}"),
        (Some(low), None) => format!("{given} is not {low}{unit} or more"),
        (None, Some(high)) => format!("{given} is not {high}{unit} or less"),
        (None, None) => message.to_owned(),
    }
}

/// Prefixes of garde's range messages.
const LOWER: &str = "lower than ";
const GREATER: &str = "greater than ";

fn bound(message: &str, prefix: &str) -> Option<String> {
    message.strip_prefix(prefix).map(str::to_owned)
}

/// Finds the other bound of a range by validating an extreme value and reading garde's message.
fn other_bound<T>(tree: &Node, path: &[PathSegment], prefix: &str) -> Option<String>
where
    T: DeserializeOwned + Validate<Context = ()>,
{
    let extremes: &[Value] = match prefix {
        LOWER => &[Value::Int(i64::MIN), Value::Uint(0)],
        _ => &[
            Value::Uint(u64::MAX),
            Value::Int(i64::MAX),
            Value::Uint(u32::MAX as u64),
            Value::Uint(u16::MAX as u64),
            Value::Uint(u8::MAX as u64),
        ],
    };
    let mut probe = tree.clone();
    let accepted = extremes.iter().find_map(|extreme| {
        probe.set_at(path, Some(extreme.clone()));
        T::deserialize(&probe).ok()
    })?;
    let report = accepted.validate().err()?;
    report
        .iter()
        .filter(|(at, _)| parse_path(&at.to_string()) == path)
        .find_map(|(_, err)| bound(err.message(), prefix))
}

fn value_text(value: &Value) -> String {
    match value {
        Value::Int(value) => value.to_string(),
        Value::Uint(value) => value.to_string(),
        Value::Float(value) => value.to_string(),
        _ => "the value".to_owned(),
    }
}

/// Returns the unit that the suffix of a key stands for.
fn unit(path: &[PathSegment]) -> &'static str {
    let key = path.iter().rev().find_map(|segment| match segment {
        PathSegment::Key(key) => Some(key.as_str()),
        PathSegment::Index(_) => None,
    });
    match key.and_then(|key| key.rsplit('_').next()) {
        Some("ms") => " milliseconds",
        Some("s") => " seconds",
        Some("bytes") => " bytes",
        Some("percent") => " percent",
        _ => "",
    }
}
