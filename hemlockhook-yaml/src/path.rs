//! Paths to nested values.

use crate::{Entry, Node, Position, Value};

/// A segment of a path to a nested value.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum PathSegment {
    /// Key of a mapping.
    Key(String),
    /// Index in a sequence.
    Index(usize),
}

impl Node {
    /// Returns the value at a path, if there is one.
    pub fn get_at(&self, path: &[PathSegment]) -> Option<&Node> {
        let Some((first, rest)) = path.split_first() else {
            return Some(self);
        };
        match (first, &self.value) {
            (PathSegment::Key(key), Value::Mapping(entries)) => {
                let entry = entries.iter().find(|entry| entry.key == *key)?;
                entry.node.get_at(rest)
            }
            (PathSegment::Index(index), Value::Sequence(nodes)) => nodes.get(*index)?.get_at(rest),
            _ => None,
        }
    }

    /// Returns the position of the key or element at a path. If it is missing, returns the position
    /// of its closest ancestor in the document.
    pub fn position_of(&self, path: &[PathSegment]) -> Position {
        let Some((last, parents)) = path.split_last() else {
            return self.position;
        };
        match (last, self.get_at(parents).map(|parent| &parent.value)) {
            (PathSegment::Key(key), Some(Value::Mapping(entries))) => entries
                .iter()
                .find(|entry| entry.key == *key)
                .map_or_else(|| self.position_of(parents), |entry| entry.position),
            _ => self
                .get_at(path)
                .map_or_else(|| self.position_of(parents), |node| node.position),
        }
    }

    /// Sets the value at a path, or removes its key if `value` is `None`. The last segment may be a
    /// new key; the other segments must exist.
    pub fn set_at(&mut self, path: &[PathSegment], value: Option<Value>) {
        let position = self.position;
        match (path, &mut self.value) {
            ([], current) => *current = value.unwrap_or(Value::Null),
            ([PathSegment::Key(key)], Value::Mapping(entries)) => {
                entries.retain(|entry| entry.key != *key);
                entries.extend(value.map(|value| Entry {
                    key: key.clone(),
                    position,
                    node: Node { position, value },
                }));
            }
            ([PathSegment::Key(key), rest @ ..], Value::Mapping(entries)) => {
                let found = entries.iter_mut().find(|entry| entry.key == *key);
                if let Some(entry) = found {
                    entry.node.set_at(rest, value);
                }
            }
            ([PathSegment::Index(index), rest @ ..], Value::Sequence(nodes)) => {
                if let Some(node) = nodes.get_mut(*index) {
                    node.set_at(rest, value);
                }
            }
            _ => {}
        }
    }
}

/// Formats a path, as in `upstreams[0].speed`.
pub fn format_path(path: &[PathSegment]) -> String {
    let mut text = String::new();
    for segment in path {
        match segment {
            PathSegment::Key(key) if text.is_empty() => text.push_str(key),
            PathSegment::Key(key) => {
                text.push('.');
                text.push_str(key);
            }
            PathSegment::Index(index) => text.push_str(&format!("[{index}]")),
        }
    }
    text
}

/// Parses a path such as `upstreams[0].speed`.
pub fn parse_path(text: &str) -> Vec<PathSegment> {
    text.split(['.', '['])
        .filter(|part| !part.is_empty())
        .map(|part| match part.strip_suffix(']').map(str::parse) {
            Some(Ok(index)) => PathSegment::Index(index),
            _ => PathSegment::Key(part.to_owned()),
        })
        .collect()
}
