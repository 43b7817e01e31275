//! JSON merge patches (RFC 7396): objects are merged by key, `null` removes, and any other value
//! replaces.

use serde_json::{Map, Value};

/// Merges a patch into a value.
pub fn merge(target: &mut Value, patch: &Value) {
    let Value::Object(changes) = patch else {
        *target = patch.clone();
        return;
    };
    if !target.is_object() {
        *target = Value::Object(Map::new());
    }
    let Value::Object(fields) = target else {
        return;
    };
    for (key, change) in changes {
        if change.is_null() {
            fields.remove(key);
        } else {
            merge(fields.entry(key.clone()).or_insert(Value::Null), change);
        }
    }
}

/// Returns the patch that leads from one value to another, or `None` if they are equal.
pub fn diff(old: &Value, new: &Value) -> Option<Value> {
    if old == new {
        return None;
    }
    let (Value::Object(before), Value::Object(after)) = (old, new) else {
        return Some(new.clone());
    };
    let mut changes = Map::new();
    for key in before.keys().filter(|k| !after.contains_key(*k)) {
        changes.insert(key.clone(), Value::Null);
    }
    for (key, value) in after {
        let change = match before.get(key) {
            Some(old) => diff(old, value),
            None => Some(value.clone()),
        };
        if let Some(change) = change {
            changes.insert(key.clone(), change);
        }
    }
    Some(Value::Object(changes))
}
