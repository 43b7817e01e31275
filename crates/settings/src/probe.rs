//! Reads a tree into a type, and reports the kind and path of an error.
//!
//! This uses the type's own `Deserialize`, so that a new field needs no second description.

use std::fmt;

use serde::de::value::StrDeserializer;
use serde::de::{
    DeserializeOwned, DeserializeSeed, IntoDeserializer, MapAccess, SeqAccess, Visitor,
};
use serde::{forward_to_deserialize_any, Deserializer};

use crate::node::{Node, Path, Step, Value};

/// Reads a tree, or returns the first error.
pub(crate) fn read<T: DeserializeOwned>(node: &Node) -> Result<T, ReadError> {
    T::deserialize(NodeDeserializer { node })
}

/// An error and its path.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct ReadError {
    /// The steps to the value, the innermost first, as each level adds its own to the end.
    steps: Path,
    pub(crate) kind: Hindered,
}

/// The kind of an error.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Hindered {
    /// There is no such key.
    Unknown { key: String, expected: Vec<String> },
    /// A required key is missing.
    Missing(&'static str),
    /// The value is not valid for its key.
    Wrong(String),
}

impl ReadError {
    /// Returns the path from the root to the value or table with the error.
    pub(crate) fn path(&self) -> Path {
        self.steps.iter().rev().cloned().collect()
    }

    fn new(kind: Hindered) -> Self {
        Self {
            steps: Vec::new(),
            kind,
        }
    }

    /// Adds a step outside of the current path.
    fn within(mut self, step: Step) -> Self {
        self.steps.push(step);
        self
    }
}

impl fmt::Display for ReadError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?}", self.kind)
    }
}

impl std::error::Error for ReadError {}

impl serde::de::Error for ReadError {
    fn custom<T: fmt::Display>(why: T) -> Self {
        Self::new(Hindered::Wrong(why.to_string()))
    }

    fn unknown_field(key: &str, expected: &'static [&'static str]) -> Self {
        let expected = expected.iter().map(|e| e.to_string()).collect();
        Self::new(Hindered::Unknown {
            key: key.into(),
            expected,
        })
    }

    fn missing_field(key: &'static str) -> Self {
        Self::new(Hindered::Missing(key))
    }
}

/// A deserializer of a node.
struct NodeDeserializer<'a> {
    node: &'a Node,
}

impl<'a, 'de> Deserializer<'de> for NodeDeserializer<'a> {
    type Error = ReadError;

    fn deserialize_any<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, ReadError> {
        match &self.node.value {
            Value::Text(text) => visitor.visit_str(text),
            Value::Integer(n) => visitor.visit_i64(*n),
            Value::Float(n) => visitor.visit_f64(*n),
            Value::Boolean(b) => visitor.visit_bool(*b),
            Value::Unsupported(text) => Err(ReadError::new(Hindered::Wrong(format!(
                "{text} is valid for no setting"
            )))),
            Value::List(items) => visitor.visit_seq(ListAccess { items, next: 0 }),
            Value::Table(entries) => visitor.visit_map(TableAccess { entries, next: 0 }),
        }
    }

    fn deserialize_option<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, ReadError> {
        visitor.visit_some(self)
    }

    fn deserialize_newtype_struct<V: Visitor<'de>>(
        self,
        _name: &'static str,
        visitor: V,
    ) -> Result<V::Value, ReadError> {
        visitor.visit_newtype_struct(self)
    }

    fn deserialize_enum<V: Visitor<'de>>(
        self,
        name: &'static str,
        variants: &'static [&'static str],
        visitor: V,
    ) -> Result<V::Value, ReadError> {
        match &self.node.value {
            Value::Text(text) => {
                let text: StrDeserializer<'_, ReadError> = text.as_str().into_deserializer();
                text.deserialize_enum(name, variants, visitor)
            }
            _ => self.deserialize_any(visitor),
        }
    }

    forward_to_deserialize_any! {
        bool i8 i16 i32 i64 i128 u8 u16 u32 u64 u128 f32 f64 char str string bytes byte_buf unit
        unit_struct seq tuple tuple_struct map struct identifier ignored_any
    }
}

/// The remaining items of a list.
struct ListAccess<'a> {
    items: &'a [Node],
    next: usize,
}

impl<'a, 'de> SeqAccess<'de> for ListAccess<'a> {
    type Error = ReadError;

    fn next_element_seed<T: DeserializeSeed<'de>>(
        &mut self,
        seed: T,
    ) -> Result<Option<T::Value>, ReadError> {
        let Some(node) = self.items.get(self.next) else {
            return Ok(None);
        };
        let step = Step::Index(self.next);
        self.next += 1;
        seed.deserialize(NodeDeserializer { node })
            .map(Some)
            .map_err(|e| e.within(step))
    }
}

/// The remaining entries of a table.
struct TableAccess<'a> {
    entries: &'a [(String, Node)],
    next: usize,
}

impl<'a, 'de> MapAccess<'de> for TableAccess<'a> {
    type Error = ReadError;

    fn next_key_seed<K: DeserializeSeed<'de>>(
        &mut self,
        seed: K,
    ) -> Result<Option<K::Value>, ReadError> {
        let Some((key, _)) = self.entries.get(self.next) else {
            return Ok(None);
        };
        let key: StrDeserializer<'_, ReadError> = key.as_str().into_deserializer();
        seed.deserialize(key).map(Some)
    }

    fn next_value_seed<V: DeserializeSeed<'de>>(&mut self, seed: V) -> Result<V::Value, ReadError> {
        let (key, node) = &self.entries[self.next];
        self.next += 1;
        seed.deserialize(NodeDeserializer { node })
            .map_err(|e| e.within(Step::Key(key.clone())))
    }
}
