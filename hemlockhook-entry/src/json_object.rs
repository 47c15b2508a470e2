//! Deserialization of structs from JSON objects only.

use std::fmt;
use std::marker::PhantomData;

use serde::de::value::MapAccessDeserializer;
use serde::de::{MapAccess, Visitor};
use serde::{Deserialize, Deserializer};

/// A struct that is deserialized from an object. Serde's derived implementation also accepts an
/// array of its fields.
pub struct JsonObject<T>(pub T);

impl<'de, T> Deserialize<'de> for JsonObject<T>
where
    T: Deserialize<'de>,
{
    fn deserialize<D>(deserializer: D) -> Result<Self, D::Error>
    where
        D: Deserializer<'de>,
    {
        deserializer.deserialize_map(JsonObjectVisitor(PhantomData))
    }
}

struct JsonObjectVisitor<T>(PhantomData<T>);

impl<'de, T> Visitor<'de> for JsonObjectVisitor<T>
where
    T: Deserialize<'de>,
{
    type Value = JsonObject<T>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("an object")
    }

    fn visit_map<A>(self, map: A) -> Result<Self::Value, A::Error>
    where
        A: MapAccess<'de>,
    {
        T::deserialize(MapAccessDeserializer::new(map)).map(JsonObject)
    }
}
