//! A document as a tree of values that know their line and column.

use std::fmt::{self, Formatter};

use serde::de::{Deserialize, Deserializer, MapAccess, SeqAccess, Visitor};
use serde_saphyr::{Error, Location, Spanned};

/// A line and a column, both from 1.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Place {
    pub(super) line: u64,
    pub(super) column: u64,
}

/// A value and where it begins.
#[derive(Clone, Debug)]
pub(super) struct Node {
    pub(super) place: Place,
    pub(super) value: Value,
}

/// A value of the document.
#[derive(Clone, Debug)]
pub(super) enum Value {
    Null,
    Bool(bool),
    Int(i64),
    Uint(u64),
    Float(f64),
    Str(String),
    Seq(Vec<Node>),
    Map(Vec<Entry>),
}

/// A key of a mapping, where it begins, and its value.
#[derive(Clone, Debug)]
pub(super) struct Entry {
    pub(super) key: String,
    pub(super) place: Place,
    pub(super) node: Node,
}

/// One step from a value to one inside it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) enum Step {
    Key(String),
    Index(usize),
}

impl Node {
    pub(super) fn parse(text: &str) -> Result<Self, Error> {
        serde_saphyr::from_str::<Spanned<Value>>(text).map(Self::from)
    }

    /// Returns the value at a path.
    pub(super) fn get(&self, path: &[Step]) -> Option<&Node> {
        let Some((first, rest)) = path.split_first() else {
            return Some(self);
        };
        match (first, &self.value) {
            (Step::Key(key), Value::Map(entries)) => {
                let entry = entries.iter().find(|entry| entry.key == *key)?;
                entry.node.get(rest)
            }
            (Step::Index(index), Value::Seq(nodes)) => nodes.get(*index)?.get(rest),
            _ => None,
        }
    }

    /// Returns where a key stands, or what it would stand in.
    pub(super) fn place_of(&self, path: &[Step]) -> Place {
        let Some((last, parents)) = path.split_last() else {
            return self.place;
        };
        match (last, self.get(parents).map(|parent| &parent.value)) {
            (Step::Key(key), Some(Value::Map(entries))) => entries
                .iter()
                .find(|entry| entry.key == *key)
                .map_or_else(|| self.place_of(parents), |entry| entry.place),
            _ => self
                .get(path)
                .map_or_else(|| self.place_of(parents), |node| node.place),
        }
    }

    /// Sets the value at a path, of which the last step may be a new key; takes it out for `None`.
    pub(super) fn set(&mut self, path: &[Step], value: Option<Value>) {
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
            ([Step::Index(index), rest @ ..], Value::Seq(nodes)) => {
                if let Some(node) = nodes.get_mut(*index) {
                    node.set(rest, value);
                }
            }
            _ => {}
        }
    }
}

/// Writes a path as in `upstreams[0].speed`.
pub(super) fn path_text(path: &[Step]) -> String {
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
pub(super) fn parse_path(text: &str) -> Vec<Step> {
    text.split(['.', '['])
        .filter(|part| !part.is_empty())
        .map(|part| match part.strip_suffix(']').map(str::parse) {
            Some(Ok(index)) => Step::Index(index),
            _ => Step::Key(part.to_owned()),
        })
        .collect()
}

impl From<Spanned<Value>> for Node {
    fn from(spanned: Spanned<Value>) -> Self {
        Self {
            place: spanned.referenced.into(),
            value: spanned.value,
        }
    }
}

impl From<Location> for Place {
    fn from(location: Location) -> Self {
        Self {
            line: location.line(),
            column: location.column(),
        }
    }
}

impl<'de> Deserialize<'de> for Value {
    fn deserialize<D>(deserializer: D) -> Result<Self, D::Error>
    where
        D: Deserializer<'de>,
    {
        deserializer.deserialize_any(ValueVisitor)
    }
}

struct ValueVisitor;

impl<'de> Visitor<'de> for ValueVisitor {
    type Value = Value;

    fn expecting(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str("a value")
    }

    fn visit_unit<E>(self) -> Result<Value, E> {
        Ok(Value::Null)
    }

    fn visit_bool<E>(self, value: bool) -> Result<Value, E> {
        Ok(Value::Bool(value))
    }

    fn visit_i64<E>(self, value: i64) -> Result<Value, E> {
        Ok(Value::Int(value))
    }

    fn visit_u64<E>(self, value: u64) -> Result<Value, E> {
        Ok(Value::Uint(value))
    }

    fn visit_f64<E>(self, value: f64) -> Result<Value, E> {
        Ok(Value::Float(value))
    }

    fn visit_str<E>(self, value: &str) -> Result<Value, E> {
        Ok(Value::Str(value.to_owned()))
    }

    fn visit_seq<A>(self, mut seq: A) -> Result<Value, A::Error>
    where
        A: SeqAccess<'de>,
    {
        let mut nodes = Vec::new();
        while let Some(node) = seq.next_element::<Spanned<Value>>()? {
            nodes.push(node.into());
        }
        Ok(Value::Seq(nodes))
    }

    fn visit_map<A>(self, mut map: A) -> Result<Value, A::Error>
    where
        A: MapAccess<'de>,
    {
        let mut entries = Vec::new();
        while let Some(key) = map.next_key::<Spanned<String>>()? {
            entries.push(Entry {
                place: key.referenced.into(),
                key: key.value,
                node: map.next_value::<Spanned<Value>>()?.into(),
            });
        }
        Ok(Value::Map(entries))
    }
}
