//! Reads patched entries from JSON and finds every fault, each with its path.
//!
//! A derived `Deserialize` stops at the first fault. Here each field is read separately, so that
//! an operator sees all faults of a patch at once.

use serde::de::DeserializeOwned;
use serde_json::{Map, Value};

use snipemast_core::prelude::*;

use crate::check::{Fault, FaultKind};
use crate::document::{
    Group, GroupWeights, Limits, Model, Operator, Role, Server, ServerRole, Service, Workspace,
};
use crate::secret::KeyHash;

/// A type that can be read from a JSON value and reports every fault.
pub(crate) trait ReadValue: Sized {
    /// Reads the value at a path, or adds its faults.
    fn read(path: &str, value: Value, faults: &mut Vec<Fault>) -> Option<Self>;
}

/// The fields of an entry that have not been read yet.
struct Fields<'a> {
    path: &'a str,
    fields: Map<String, Value>,
    faults: &'a mut Vec<Fault>,
}

impl<'a> Fields<'a> {
    /// Starts to read an entry, which must be an object.
    fn open(path: &'a str, value: Value, faults: &'a mut Vec<Fault>) -> Option<Self> {
        match value {
            Value::Object(fields) => Some(Self {
                path,
                fields,
                faults,
            }),
            other => {
                faults.push(mismatch(path, "an object", &other));
                None
            }
        }
    }

    /// Reads a required field.
    fn required<T: ReadValue>(&mut self, name: &str) -> Option<T> {
        let path = format!("{}.{name}", self.path);
        match self.fields.remove(name) {
            Some(value) => T::read(&path, value, self.faults),
            None => {
                self.faults.push(Fault::new(path, FaultKind::Missing));
                None
            }
        }
    }

    /// Reads a field that has a default.
    fn optional<T: ReadValue>(&mut self, name: &str, default: T) -> Option<T> {
        match self.fields.remove(name) {
            Some(value) => T::read(&format!("{}.{name}", self.path), value, self.faults),
            None => Some(default),
        }
    }

    /// Adds a fault for every field that was not read.
    fn finish(self) {
        for name in self.fields.keys() {
            let path = format!("{}.{name}", self.path);
            self.faults.push(Fault::new(path, FaultKind::Unknown));
        }
    }
}

/// Returns the fault of a value of the wrong JSON type.
fn mismatch(path: &str, expected: &str, found: &Value) -> Fault {
    let found = match found {
        Value::Null => "null",
        Value::Bool(_) => "a boolean",
        Value::Number(_) => "a number",
        Value::String(_) => "a string",
        Value::Array(_) => "an array",
        Value::Object(_) => "an object",
    };
    let why = format!("expected {expected}, found {found}");
    Fault::new(path, FaultKind::Malformed(why))
}

/// Reads a value that has at most one fault by its own `Deserialize`.
fn read_leaf<T: DeserializeOwned>(path: &str, value: Value, faults: &mut Vec<Fault>) -> Option<T> {
    let read = serde_json::from_value(value);
    let report = |e: serde_json::Error| {
        faults.push(Fault::new(path, FaultKind::Malformed(e.to_string())));
    };
    read.map_err(report).ok()
}

macro_rules! impl_read_value {
    ($($name:ty),+ $(,)?) => {
        $(
            impl ReadValue for $name {
                fn read(path: &str, value: Value, faults: &mut Vec<Fault>) -> Option<Self> {
                    read_leaf(path, value, faults)
                }
            }
        )+
    };
}

impl_read_value!(
    bool, u32, String, KeyHash, Rate, RegionId, HostId, ModelId, AdapterId, ServerId, Role,
    ServerRole,
);

impl<T: ReadValue> ReadValue for Option<T> {
    fn read(path: &str, value: Value, faults: &mut Vec<Fault>) -> Option<Self> {
        if value.is_null() {
            return Some(None);
        }
        T::read(path, value, faults).map(Some)
    }
}

impl<T: ReadValue> ReadValue for Vec<T> {
    fn read(path: &str, value: Value, faults: &mut Vec<Fault>) -> Option<Self> {
        let Value::Array(items) = value else {
            faults.push(mismatch(path, "an array", &value));
            return None;
        };
        let mut read = Vec::with_capacity(items.len());
        let mut complete = true;
        for (n, item) in items.into_iter().enumerate() {
            match T::read(&format!("{path}.{n}"), item, faults) {
                Some(item) => read.push(item),
                None => complete = false,
            }
        }
        complete.then_some(read)
    }
}

impl<T: ReadValue> ReadValue for [T; 3] {
    fn read(path: &str, value: Value, faults: &mut Vec<Fault>) -> Option<Self> {
        let items = Vec::read(path, value, faults)?;
        let count = items.len();
        let read = items.try_into();
        if read.is_err() {
            let why = format!("expected 3 items, found {count}");
            faults.push(Fault::new(path, FaultKind::Malformed(why)));
        }
        read.ok()
    }
}

impl ReadValue for Operator {
    fn read(path: &str, value: Value, faults: &mut Vec<Fault>) -> Option<Self> {
        let mut fields = Fields::open(path, value, faults)?;
        let (key, role) = (fields.required("key"), fields.required("role"));
        fields.finish();
        Some(Self {
            key: key?,
            role: role?,
        })
    }
}

impl ReadValue for Workspace {
    fn read(path: &str, value: Value, faults: &mut Vec<Fault>) -> Option<Self> {
        let mut fields = Fields::open(path, value, faults)?;
        let keys = fields.required("keys");
        let weight = fields.optional("weight", crate::document::one());
        let limits = fields.optional("limits", Limits::default());
        let home = fields.optional("home", None);
        fields.finish();
        Some(Self {
            keys: keys?,
            weight: weight?,
            limits: limits?,
            home: home?,
        })
    }
}

impl ReadValue for Limits {
    fn read(path: &str, value: Value, faults: &mut Vec<Fault>) -> Option<Self> {
        let mut fields = Fields::open(path, value, faults)?;
        let requests = fields.optional("requests", None);
        let tokens = fields.optional("tokens", None);
        let concurrency = fields.optional("concurrency", None);
        fields.finish();
        Some(Self {
            requests: requests?,
            tokens: tokens?,
            concurrency: concurrency?,
        })
    }
}

impl ReadValue for Service {
    fn read(path: &str, value: Value, faults: &mut Vec<Fault>) -> Option<Self> {
        let mut fields = Fields::open(path, value, faults)?;
        let kind: String = fields.required("kind")?;
        match kind.as_str() {
            "model" => model_service(fields),
            "plain" => {
                let idempotent = fields.optional("idempotent", Vec::new());
                fields.finish();
                Some(Self::Plain {
                    idempotent: idempotent?,
                })
            }
            _ => {
                let why = FaultKind::Malformed(format!("{kind:?} is neither model nor plain"));
                faults.push(Fault::new(format!("{path}.kind"), why));
                None
            }
        }
    }
}

fn model_service(mut fields: Fields<'_>) -> Option<Service> {
    let model = fields.required("model");
    let adapter = fields.optional("adapter", None);
    let idempotent = fields.optional("idempotent", crate::document::yes());
    fields.finish();
    Some(Service::Model {
        model: model?,
        adapter: adapter?,
        idempotent: idempotent?,
    })
}

impl ReadValue for Model {
    fn read(path: &str, value: Value, faults: &mut Vec<Fault>) -> Option<Self> {
        let mut fields = Fields::open(path, value, faults)?;
        let version = fields.required("version");
        let adapters = fields.optional("adapters", Vec::new());
        fields.finish();
        Some(Self {
            version: version?,
            adapters: adapters?,
        })
    }
}

impl ReadValue for Group {
    fn read(path: &str, value: Value, faults: &mut Vec<Fault>) -> Option<Self> {
        let mut fields = Fields::open(path, value, faults)?;
        let model = fields.required("model");
        let ranks = fields.required("ranks");
        let weights = fields.optional("weights", GroupWeights::default());
        let frozen = fields.optional("frozen", false);
        fields.finish();
        Some(Self {
            model: model?,
            ranks: ranks?,
            weights: weights?,
            frozen: frozen?,
        })
    }
}

impl ReadValue for GroupWeights {
    fn read(path: &str, value: Value, faults: &mut Vec<Fault>) -> Option<Self> {
        let mut fields = Fields::open(path, value, faults)?;
        let skew = fields.required("skew");
        let disturbance = fields.required("disturbance");
        fields.finish();
        Some(Self {
            skew: skew?,
            disturbance: disturbance?,
        })
    }
}

impl ReadValue for Server {
    fn read(path: &str, value: Value, faults: &mut Vec<Fault>) -> Option<Self> {
        let mut fields = Fields::open(path, value, faults)?;
        let fencing = fields.optional("fencing", None);
        let role = fields.optional("role", None);
        let models = fields.optional("models", Vec::new());
        fields.finish();
        Some(Self {
            fencing: fencing?,
            role: role?,
            models: models?,
        })
    }
}
