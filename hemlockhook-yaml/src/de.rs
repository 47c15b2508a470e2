//! Deserialization from a tree, with errors that contain the path of the invalid value.

use std::fmt::{self, Display, Formatter};

use serde::de::value::StrDeserializer;
use serde::de::{
    self, DeserializeSeed, Deserializer, EnumAccess, IntoDeserializer, MapAccess, SeqAccess,
    VariantAccess, Visitor,
};
use serde::forward_to_deserialize_any;

use crate::path::PathSegment;
use crate::{Entry, Node, Value};

/// A deserialization error.
#[derive(Clone, Debug)]
pub struct DeserializeError {
    /// Path of the value that caused the error.
    pub path: Vec<PathSegment>,
    /// Kind of error.
    pub kind: ErrorKind,
    /// Human-readable message.
    pub message: String,
}

/// Kind of a [`DeserializeError`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ErrorKind {
    /// The value has the wrong type or format.
    InvalidValue,
    /// The last key of the path is not a known key.
    UnknownKey,
    /// The last key of the path is required, but missing.
    MissingKey,
}

impl DeserializeError {
    /// Prepends a segment to the path, as the error is passed to the parent value.
    fn prepend_segment(mut self, segment: PathSegment) -> Self {
        self.path.insert(0, segment);
        self
    }
}

impl std::error::Error for DeserializeError {}

impl Display for DeserializeError {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(&self.message)
    }
}

impl de::Error for DeserializeError {
    fn custom<M>(message: M) -> Self
    where
        M: Display,
    {
        Self {
            path: Vec::new(),
            kind: ErrorKind::InvalidValue,
            message: message.to_string(),
        }
    }

    fn unknown_field(field: &str, expected: &'static [&'static str]) -> Self {
        Self {
            path: vec![PathSegment::Key(field.to_owned())],
            kind: ErrorKind::UnknownKey,
            message: format!("unknown key; expected one of {}", expected.join(", ")),
        }
    }

    fn missing_field(field: &'static str) -> Self {
        Self {
            path: vec![PathSegment::Key(field.to_owned())],
            kind: ErrorKind::MissingKey,
            message: "the key is missing".to_owned(),
        }
    }
}

impl<'de> Deserializer<'de> for &'de Node {
    type Error = DeserializeError;

    fn deserialize_any<V>(self, visitor: V) -> Result<V::Value, DeserializeError>
    where
        V: Visitor<'de>,
    {
        match &self.value {
            Value::Null => visitor.visit_unit(),
            Value::Bool(value) => visitor.visit_bool(*value),
            Value::Int(value) => visitor.visit_i64(*value),
            Value::Uint(value) => visitor.visit_u64(*value),
            Value::Float(value) => visitor.visit_f64(*value),
            Value::String(value) => visitor.visit_str(value),
            Value::Sequence(nodes) => visitor.visit_seq(Elements { nodes, index: 0 }),
            Value::Mapping(entries) => visitor.visit_map(Entries { entries, index: 0 }),
        }
    }

    fn deserialize_str<V>(self, visitor: V) -> Result<V::Value, DeserializeError>
    where
        V: Visitor<'de>,
    {
        // A plain scalar such as `true` or `1` is a valid string if the target type is a string.
        match &self.value {
            Value::Bool(value) => visitor.visit_string(value.to_string()),
            Value::Int(value) => visitor.visit_string(value.to_string()),
            Value::Uint(value) => visitor.visit_string(value.to_string()),
            Value::Float(value) => visitor.visit_string(value.to_string()),
            _ => self.deserialize_any(visitor),
        }
    }

    fn deserialize_string<V>(self, visitor: V) -> Result<V::Value, DeserializeError>
    where
        V: Visitor<'de>,
    {
        self.deserialize_str(visitor)
    }

    fn deserialize_option<V>(self, visitor: V) -> Result<V::Value, DeserializeError>
    where
        V: Visitor<'de>,
    {
        match self.value {
            Value::Null => visitor.visit_none(),
            _ => visitor.visit_some(self),
        }
    }

    fn deserialize_newtype_struct<V>(
        self,
        _: &'static str,
        visitor: V,
    ) -> Result<V::Value, DeserializeError>
    where
        V: Visitor<'de>,
    {
        visitor.visit_newtype_struct(self)
    }

    fn deserialize_struct<V>(
        self,
        _: &'static str,
        _: &'static [&'static str],
        visitor: V,
    ) -> Result<V::Value, DeserializeError>
    where
        V: Visitor<'de>,
    {
        match self.value {
            Value::Mapping(_) => self.deserialize_any(visitor),
            _ => Err(de::Error::custom("expected a mapping")),
        }
    }

    fn deserialize_enum<V>(
        self,
        _: &'static str,
        _: &'static [&'static str],
        visitor: V,
    ) -> Result<V::Value, DeserializeError>
    where
        V: Visitor<'de>,
    {
        match &self.value {
            Value::String(name) => {
                let name: StrDeserializer<'_, DeserializeError> = name.as_str().into_deserializer();
                visitor.visit_enum(name)
            }
            Value::Mapping(entries) if entries.len() == 1 => visitor.visit_enum(&entries[0]),
            _ => Err(de::Error::custom("expected the name of a variant")),
        }
    }

    forward_to_deserialize_any! {
        bool i8 i16 i32 i64 i128 u8 u16 u32 u64 u128 f32 f64 char bytes byte_buf unit unit_struct
        seq tuple tuple_struct map identifier ignored_any
    }
}

struct Elements<'de> {
    nodes: &'de [Node],
    index: usize,
}

impl<'de> SeqAccess<'de> for Elements<'de> {
    type Error = DeserializeError;

    fn next_element_seed<T>(&mut self, seed: T) -> Result<Option<T::Value>, DeserializeError>
    where
        T: DeserializeSeed<'de>,
    {
        let index = self.index;
        let Some(node) = self.nodes.get(index) else {
            return Ok(None);
        };
        self.index += 1;
        seed.deserialize(node)
            .map(Some)
            .map_err(|err| err.prepend_segment(PathSegment::Index(index)))
    }
}

struct Entries<'de> {
    entries: &'de [Entry],
    index: usize,
}

impl<'de> MapAccess<'de> for Entries<'de> {
    type Error = DeserializeError;

    fn next_key_seed<K>(&mut self, seed: K) -> Result<Option<K::Value>, DeserializeError>
    where
        K: DeserializeSeed<'de>,
    {
        let Some(entry) = self.entries.get(self.index) else {
            return Ok(None);
        };
        let key: StrDeserializer<'_, DeserializeError> = entry.key.as_str().into_deserializer();
        seed.deserialize(key).map(Some)
    }

    fn next_value_seed<T>(&mut self, seed: T) -> Result<T::Value, DeserializeError>
    where
        T: DeserializeSeed<'de>,
    {
        let entry = &self.entries[self.index];
        self.index += 1;
        seed.deserialize(&entry.node)
            .map_err(|err| err.prepend_segment(PathSegment::Key(entry.key.clone())))
    }
}

/// Deserializes an enum variant with a value, written as `name: value`.
impl<'de> EnumAccess<'de> for &'de Entry {
    type Error = DeserializeError;
    type Variant = Self;

    fn variant_seed<T>(self, seed: T) -> Result<(T::Value, Self), DeserializeError>
    where
        T: DeserializeSeed<'de>,
    {
        let name: StrDeserializer<'_, DeserializeError> = self.key.as_str().into_deserializer();
        Ok((seed.deserialize(name)?, self))
    }
}

impl<'de> VariantAccess<'de> for &'de Entry {
    type Error = DeserializeError;

    fn unit_variant(self) -> Result<(), DeserializeError> {
        Err(de::Error::custom(format!("{} takes no value", self.key)))
    }

    fn newtype_variant_seed<T>(self, seed: T) -> Result<T::Value, DeserializeError>
    where
        T: DeserializeSeed<'de>,
    {
        seed.deserialize(&self.node)
            .map_err(|err| err.prepend_segment(PathSegment::Key(self.key.clone())))
    }

    fn tuple_variant<V>(self, _: usize, visitor: V) -> Result<V::Value, DeserializeError>
    where
        V: Visitor<'de>,
    {
        self.node
            .deserialize_any(visitor)
            .map_err(|err| err.prepend_segment(PathSegment::Key(self.key.clone())))
    }

    fn struct_variant<V>(
        self,
        _: &'static [&'static str],
        visitor: V,
    ) -> Result<V::Value, DeserializeError>
    where
        V: Visitor<'de>,
    {
        self.tuple_variant(0, visitor)
    }
}
