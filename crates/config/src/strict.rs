//! A JSON parser that refuses duplicate fields.
//!
//! A patch can set one workspace twice by mistake. A lenient parser would silently keep only the
//! last one, and the operator would see the patch accepted although half of it is not in force.
//! This parser refuses the text, and names each duplicate field with its path.

use std::cell::RefCell;
use std::fmt;

use serde::de::{DeserializeSeed, MapAccess, SeqAccess, Visitor};
use serde::Deserializer;
use serde_json::{Map, Number, Value};

use crate::check::{Fault, FaultKind};

/// Parses a JSON text. Each duplicate field is a fault, as is a text that is not JSON.
pub fn parse(text: &[u8]) -> Result<Value, Vec<Fault>> {
    let faults = RefCell::new(Vec::new());
    let seed = StrictReader {
        path: String::new(),
        faults: &faults,
    };
    let mut reader = serde_json::Deserializer::from_slice(text);
    let value = seed.deserialize(&mut reader).and_then(|value| {
        reader.end()?;
        Ok(value)
    });
    match value {
        Ok(value) if faults.borrow().is_empty() => Ok(value),
        Ok(_) => Err(faults.into_inner()),
        Err(e) => {
            let fault = Fault::new("", FaultKind::Malformed(e.to_string()));
            Err(vec![fault])
        }
    }
}

/// Reads the value at a path, and collects its duplicate fields.
struct StrictReader<'a> {
    path: String,
    faults: &'a RefCell<Vec<Fault>>,
}

impl StrictReader<'_> {
    /// Returns the reader of a field or item of this value.
    fn child(&self, step: impl fmt::Display) -> Self {
        let path = match self.path.as_str() {
            "" => step.to_string(),
            path => format!("{path}.{step}"),
        };
        Self {
            path,
            faults: self.faults,
        }
    }
}

impl<'de> DeserializeSeed<'de> for StrictReader<'_> {
    type Value = Value;

    fn deserialize<D: Deserializer<'de>>(self, deserializer: D) -> Result<Value, D::Error> {
        deserializer.deserialize_any(self)
    }
}

impl<'de> Visitor<'de> for StrictReader<'_> {
    type Value = Value;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a JSON value")
    }

    fn visit_unit<E>(self) -> Result<Value, E> {
        Ok(Value::Null)
    }

    fn visit_bool<E>(self, value: bool) -> Result<Value, E> {
        Ok(Value::Bool(value))
    }

    fn visit_u64<E>(self, value: u64) -> Result<Value, E> {
        Ok(value.into())
    }

    fn visit_i64<E>(self, value: i64) -> Result<Value, E> {
        Ok(value.into())
    }

    fn visit_f64<E>(self, value: f64) -> Result<Value, E> {
        Ok(Number::from_f64(value).map_or(Value::Null, Value::Number))
    }

    fn visit_str<E>(self, value: &str) -> Result<Value, E> {
        Ok(Value::String(value.into()))
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut items: A) -> Result<Value, A::Error> {
        let mut read = Vec::new();
        while let Some(item) = items.next_element_seed(self.child(read.len()))? {
            read.push(item);
        }
        Ok(Value::Array(read))
    }

    fn visit_map<A: MapAccess<'de>>(self, mut fields: A) -> Result<Value, A::Error> {
        let mut read = Map::new();
        while let Some(name) = fields.next_key::<String>()? {
            let child = self.child(&name);
            if read.contains_key(&name) {
                let kind = FaultKind::Doubled(child.path.clone());
                self.faults
                    .borrow_mut()
                    .push(Fault::new(child.path.clone(), kind));
            }
            let value = fields.next_value_seed(child)?;
            read.insert(name, value);
        }
        Ok(Value::Object(read))
    }
}
