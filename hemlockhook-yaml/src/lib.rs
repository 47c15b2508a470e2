//! YAML documents as trees of values with their line and column.
//!
//! Validation works on the tree, so that it can report every problem with its position.

pub mod de;
pub mod path;

use std::fmt::{self, Formatter};

use serde::de::{Deserialize, Deserializer, MapAccess, SeqAccess, Visitor};
pub use serde_saphyr::Error;
use serde_saphyr::options::DuplicateKeyPolicy;
use serde_saphyr::{Location, Spanned};

/// A position in the document; line and column are 1-based.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Position {
    /// Line, counted from 1.
    pub line: u64,
    /// Column, counted from 1.
    pub column: u64,
}

/// A value and its position.
#[derive(Clone, Debug)]
pub struct Node {
    /// Position at which the value starts.
    pub position: Position,
    /// The value without its position; nested nodes have positions of their own.
    pub value: Value,
}

/// A YAML value.
#[derive(Clone, Debug)]
pub enum Value {
    /// Null, or an absent value.
    Null,
    /// `true` or `false`.
    Bool(bool),
    /// An integer that fits an `i64`.
    Int(i64),
    /// An integer that is too large for [`Value::Int`].
    Uint(u64),
    /// A floating-point number.
    Float(f64),
    /// A string, quoted or not.
    String(String),
    /// A sequence, in document order.
    Sequence(Vec<Node>),
    /// A mapping, in document order.
    Mapping(Vec<Entry>),
}

/// A key of a mapping and its value.
#[derive(Clone, Debug)]
pub struct Entry {
    /// The key.
    pub key: String,
    /// Position at which the key starts.
    pub position: Position,
    /// The value under the key, with its position.
    pub node: Node,
}

/// Handling of duplicate keys in a mapping.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DuplicateKeys {
    /// Keeps both entries in the tree.
    Keep,
    /// Reports a syntax error.
    Reject,
}

impl Node {
    /// Parses a document.
    ///
    /// # Errors
    ///
    /// Returns the first syntax error.
    pub fn parse(text: &str, duplicate_keys: DuplicateKeys) -> Result<Self, Error> {
        let options = serde_saphyr::options! {
            duplicate_keys: match duplicate_keys {
                DuplicateKeys::Keep => DuplicateKeyPolicy::LastWins,
                DuplicateKeys::Reject => DuplicateKeyPolicy::Error,
            },
            strict_booleans: true,
        };
        serde_saphyr::from_str_with_options::<Spanned<Value>>(text, options).map(Self::from)
    }

    /// Returns the value of a key, or `None` if this is not a mapping or has no such key.
    pub fn get(&self, key: &str) -> Option<&Node> {
        self.entries()
            .iter()
            .find(|entry| entry.key == key)
            .map(|entry| &entry.node)
    }

    /// Returns the entries of a mapping, or an empty slice for any other value.
    pub fn entries(&self) -> &[Entry] {
        match &self.value {
            Value::Mapping(entries) => entries,
            _ => &[],
        }
    }

    /// Returns the elements of a sequence, or an empty slice for any other value.
    pub fn elements(&self) -> &[Node] {
        match &self.value {
            Value::Sequence(elements) => elements,
            _ => &[],
        }
    }

    /// Returns the elements of the sequence under a key, or an empty slice if there is none.
    pub fn get_elements(&self, key: &str) -> &[Node] {
        self.get(key).map_or(&[], Node::elements)
    }

    /// Returns the string, or `None` for any other value.
    pub fn as_str(&self) -> Option<&str> {
        match &self.value {
            Value::String(text) => Some(text),
            _ => None,
        }
    }

    /// Returns the string under a key, if there is one.
    pub fn get_str(&self, key: &str) -> Option<&str> {
        self.get(key).and_then(Node::as_str)
    }

    /// Returns the integer under a key, if there is one.
    pub fn get_i64(&self, key: &str) -> Option<i64> {
        match self.get(key).map(|node| &node.value) {
            Some(Value::Int(number)) => Some(*number),
            _ => None,
        }
    }
}

impl From<Spanned<Value>> for Node {
    fn from(spanned: Spanned<Value>) -> Self {
        Self {
            position: spanned.referenced.into(),
            value: spanned.value,
        }
    }
}

impl From<Location> for Position {
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
        f.write_str("a YAML value")
    }

    fn visit_unit<E>(self) -> Result<Value, E> {
        Ok(Value::Null)
    }

    fn visit_none<E>(self) -> Result<Value, E> {
        Ok(Value::Null)
    }

    fn visit_bool<E>(self, value: bool) -> Result<Value, E> {
        Ok(Value::Bool(value))
    }

    fn visit_i64<E>(self, value: i64) -> Result<Value, E> {
        Ok(Value::Int(value))
    }

    fn visit_u64<E>(self, value: u64) -> Result<Value, E> {
        Ok(i64::try_from(value).map_or(Value::Uint(value), Value::Int))
    }

    fn visit_f64<E>(self, value: f64) -> Result<Value, E> {
        Ok(Value::Float(value))
    }

    fn visit_str<E>(self, value: &str) -> Result<Value, E> {
        Ok(Value::String(value.to_owned()))
    }

    fn visit_seq<A>(self, mut seq: A) -> Result<Value, A::Error>
    where
        A: SeqAccess<'de>,
    {
        let mut elements = Vec::new();
        while let Some(element) = seq.next_element::<Spanned<Value>>()? {
            elements.push(element.into());
        }
        Ok(Value::Sequence(elements))
    }

    fn visit_map<A>(self, mut map: A) -> Result<Value, A::Error>
    where
        A: MapAccess<'de>,
    {
        let mut entries = Vec::new();
        while let Some(key) = map.next_key::<Spanned<String>>()? {
            entries.push(Entry {
                position: key.referenced.into(),
                key: key.value,
                node: map.next_value::<Spanned<Value>>()?.into(),
            });
        }
        Ok(Value::Mapping(entries))
    }
}
