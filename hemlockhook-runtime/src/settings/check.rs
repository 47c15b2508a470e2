//! Finds everything that is wrong in settings, where serde stops at the first error.
//!
//! After an error, the value that it is about is taken out or replaced by one that is accepted, and
//! the whole is read again. Once it is accepted, its ranges are checked.

use std::collections::HashMap;

use garde::Validate;
use serde::de::DeserializeOwned;
use serde_saphyr::Error;

use super::Problem;
use hemlockhook_yaml::de::{DeserializeError, ErrorKind};
use hemlockhook_yaml::path::{PathSegment, format_path, parse_path};
use hemlockhook_yaml::{DuplicateKeys, Node, Position, Value};

/// Most rounds of reading; each finds one error or tries one replacement.
const MAX_ROUNDS: usize = 1000;

/// Most problems that are told at once.
const MAX_PROBLEMS: usize = 100;

/// Returns all problems of a text that is no valid `T`. `first` is the YAML library's error, if it
/// had one.
pub(super) fn problems<T>(text: &str, first: Option<Error>) -> Vec<Problem>
where
    T: DeserializeOwned + Validate<Context = ()>,
{
    let tree = match Node::parse(text, DuplicateKeys::Reject) {
        Ok(tree) => tree,
        Err(err) => return vec![syntax_problem(&err)],
    };

    let mut search = Search::new(tree);
    search.run::<T>();
    let mut problems = search.problems;
    if problems.is_empty() {
        // The library refuses what the tree would accept, such as a key that stands twice.
        problems.extend(first.as_ref().map(syntax_problem));
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
        return problem(
            position,
            key.clone(),
            "the key stands here for the second time",
        );
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

struct Search {
    /// The document as it was written, for places.
    original: Node,
    /// The document with replacements.
    tree: Node,
    problems: Vec<Problem>,
    /// Replacements tried for each value that was wrong.
    tried: HashMap<Vec<PathSegment>, usize>,
}

impl Search {
    fn new(tree: Node) -> Self {
        Self {
            original: tree.clone(),
            tree,
            problems: Vec::new(),
            tried: HashMap::new(),
        }
    }

    fn run<T>(&mut self)
    where
        T: DeserializeOwned + Validate<Context = ()>,
    {
        for _ in 0..MAX_ROUNDS {
            match T::deserialize(&self.tree) {
                Ok(value) => return self.check_ranges(&value),
                Err(err) if self.step_over(&err) => {}
                Err(_) => return,
            }
        }
    }

    /// Records an error and changes the tree so that the next one is found. Returns false once
    /// nothing is left to try.
    fn step_over(&mut self, err: &DeserializeError) -> bool {
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

    /// Returns the replaced value that a path lies in.
    fn replaced_path(&self, path: &[PathSegment]) -> Option<Vec<PathSegment>> {
        (0..=path.len())
            .map(|len| path[..len].to_vec())
            .find(|prefix| self.tried.contains_key(prefix))
    }

    /// Puts the next replacement in the place of a value.
    fn replace(&mut self, path: Vec<PathSegment>) -> bool {
        let replacements = replacements();
        let tried = self.tried.entry(path.clone()).or_default();
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

/// What is tried in place of a wrong value, until one is accepted: nothing first.
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

/// Names both ends of a range, of which garde's message has one; other messages stay.
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
        .map_or(String::new(), |node| text(&node.value));
    let unit = unit(path);
    match (low, high) {
        (Some(low), Some(high)) => format!("{given} is not from {low} to {high}{unit}"),
        (Some(low), None) => format!("{given} is not {low}{unit} or more"),
        (None, Some(high)) => format!("{given} is not {high}{unit} or less"),
        (None, None) => message.to_owned(),
    }
}

/// How garde's messages on ranges begin.
const LOWER: &str = "lower than ";
const GREATER: &str = "greater than ";

fn bound(message: &str, start: &str) -> Option<String> {
    message.strip_prefix(start).map(str::to_owned)
}

/// Finds a bound by the check's message on a value that lies far beyond it.
fn other_bound<T>(tree: &Node, path: &[PathSegment], start: &str) -> Option<String>
where
    T: DeserializeOwned + Validate<Context = ()>,
{
    let extremes: &[Value] = match start {
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
        .find_map(|(_, err)| bound(err.message(), start))
}

fn text(value: &Value) -> String {
    match value {
        Value::Int(value) => value.to_string(),
        Value::Uint(value) => value.to_string(),
        Value::Float(value) => value.to_string(),
        _ => "the value".to_owned(),
    }
}

/// Returns the unit that a key's end tells.
fn unit(path: &[PathSegment]) -> &'static str {
    let key = path.iter().rev().find_map(|step| match step {
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
