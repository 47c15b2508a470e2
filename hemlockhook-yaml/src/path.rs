//! Paths from a value to one inside it.

use crate::{Entry, Node, Place, Value};

/// One step from a value to one inside it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Step {
    /// To the value under a key.
    Key(String),
    /// To an element of a list.
    Index(usize),
}

impl Node {
    /// Returns the value at a path.
    pub fn at(&self, path: &[Step]) -> Option<&Node> {
        let Some((first, rest)) = path.split_first() else {
            return Some(self);
        };
        match (first, &self.value) {
            (Step::Key(key), Value::Map(entries)) => {
                let entry = entries.iter().find(|entry| entry.key == *key)?;
                entry.node.at(rest)
            }
            (Step::Index(index), Value::List(nodes)) => nodes.get(*index)?.at(rest),
            _ => None,
        }
    }

    /// Returns where a key stands, or what it would stand in.
    pub fn place_of(&self, path: &[Step]) -> Place {
        let Some((last, parents)) = path.split_last() else {
            return self.place;
        };
        match (last, self.at(parents).map(|parent| &parent.value)) {
            (Step::Key(key), Some(Value::Map(entries))) => entries
                .iter()
                .find(|entry| entry.key == *key)
                .map_or_else(|| self.place_of(parents), |entry| entry.place),
            _ => self
                .at(path)
                .map_or_else(|| self.place_of(parents), |node| node.place),
        }
    }

    /// Sets the value at a path, of which the last step may be a new key; takes it out for `None`.
    pub fn set(&mut self, path: &[Step], value: Option<Value>) {
        let place = self.place;
        match (path, &mut self.value) {
            ([], current) => *current = value.unwrap_or(Value::Null),
            ([Step::Key(key)], Value::Map(entries)) => {
                entries.retain(|entry| entry.key != *key);
                entries.extend(value.map(|value| Entry {
                    key: key.clone(),
                    place,
                    node: Node { place, value },
                }));
            }
            ([Step::Key(key), rest @ ..], Value::Map(entries)) => {
                let found = entries.iter_mut().find(|entry| entry.key == *key);
                if let Some(entry) = found {
                    entry.node.set(rest, value);
                }
            }
            ([Step::Index(index), rest @ ..], Value::List(nodes)) => {
                if let Some(node) = nodes.get_mut(*index) {
                    node.set(rest, value);
                }
            }
            _ => {}
        }
    }
}

/// Writes a path as in `upstreams[0].speed`.
pub fn path_text(path: &[Step]) -> String {
    let mut text = String::new();
    for step in path {
        match step {
            Step::Key(key) if text.is_empty() => text.push_str(key),
            Step::Key(key) => {
                text.push('.');
                text.push_str(key);
            }
            Step::Index(index) => text.push_str(&format!("[{index}]")),
        }
    }
    text
}

/// Reads a path that is written as in `upstreams[0].speed`.
pub fn parse_path(text: &str) -> Vec<Step> {
    text.split(['.', '['])
        .filter(|part| !part.is_empty())
        .map(|part| match part.strip_suffix(']').map(str::parse) {
            Some(Ok(index)) => Step::Index(index),
            _ => Step::Key(part.to_owned()),
        })
        .collect()
}
