//! A settings text as a tree of values with their lines.

use toml::de::{DeTable, DeValue};
use toml::Spanned;

/// A value and its line.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Node {
    pub(crate) line: usize,
    pub(crate) value: Value,
}

/// A value of a settings text.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum Value {
    Text(String),
    Integer(i64),
    Float(f64),
    Boolean(bool),
    /// A date or a number out of range, which is valid for no setting.
    Unsupported(String),
    List(Vec<Node>),
    Table(Vec<(String, Node)>),
}

/// A step from a table or list to one of its values.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Step {
    Key(String),
    Index(usize),
}

/// The steps from the root of the tree to a value.
pub(crate) type Path = Vec<Step>;

/// Returns a path as it is written in settings files.
pub(crate) fn format_path(path: &[Step]) -> String {
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

impl Node {
    /// Creates the tree of a parsed text.
    pub(crate) fn root(text: &str, table: &DeTable<'_>) -> Self {
        Self {
            line: 1,
            value: Value::Table(table_entries(text, table)),
        }
    }

    /// Returns the value at a path.
    pub(crate) fn lookup(&self, path: &[Step]) -> Option<&Node> {
        let Some((first, rest)) = path.split_first() else {
            return Some(self);
        };
        match (first, &self.value) {
            (Step::Key(key), Value::Table(entries)) => {
                entries.iter().find(|(k, _)| k == key)?.1.lookup(rest)
            }
            (Step::Index(index), Value::List(items)) => items.get(*index)?.lookup(rest),
            _ => None,
        }
    }

    /// Returns the paths of all values that hold no others, in the order of the text.
    pub(crate) fn leaves(&self) -> Vec<Path> {
        let mut paths = Vec::new();
        self.collect_leaves(&mut Vec::new(), &mut paths);
        paths
    }

    fn collect_leaves(&self, here: &mut Path, paths: &mut Vec<Path>) {
        match &self.value {
            Value::Table(entries) if !entries.is_empty() => {
                for (key, node) in entries {
                    here.push(Step::Key(key.clone()));
                    node.collect_leaves(here, paths);
                    here.pop();
                }
            }
            Value::List(items) if !items.is_empty() => {
                for (index, node) in items.iter().enumerate() {
                    here.push(Step::Index(index));
                    node.collect_leaves(here, paths);
                    here.pop();
                }
            }
            _ => paths.push(here.clone()),
        }
    }

    /// Returns the part of the tree on a path, without all other values.
    pub(crate) fn restricted_to(&self, path: &[Step]) -> Node {
        let Some((first, rest)) = path.split_first() else {
            return self.clone();
        };
        let value = match (first, &self.value) {
            (Step::Key(key), Value::Table(entries)) => {
                let kept = entries.iter().filter(|(k, _)| k == key);
                Value::Table(
                    kept.map(|(k, n)| (k.clone(), n.restricted_to(rest)))
                        .collect(),
                )
            }
            (Step::Index(index), Value::List(items)) => Value::List(
                items
                    .get(*index)
                    .map(|n| n.restricted_to(rest))
                    .into_iter()
                    .collect(),
            ),
            (_, other) => other.clone(),
        };
        Node {
            line: self.line,
            value,
        }
    }

    /// Removes the value at a path.
    pub(crate) fn remove(&mut self, path: &[Step]) {
        let Some((last, above)) = path.split_last() else {
            return;
        };
        match (last, self.lookup_mut(above).map(|n| &mut n.value)) {
            (Step::Key(key), Some(Value::Table(entries))) => entries.retain(|(k, _)| k != key),
            (Step::Index(index), Some(Value::List(items))) if *index < items.len() => {
                items.remove(*index);
            }
            _ => {}
        }
    }

    /// Inserts a value under a key of the table at a path.
    pub(crate) fn insert(&mut self, path: &[Step], key: &str, node: Node) {
        if let Some(Value::Table(entries)) = self.lookup_mut(path).map(|n| &mut n.value) {
            entries.push((key.to_string(), node));
        }
    }

    fn lookup_mut(&mut self, path: &[Step]) -> Option<&mut Node> {
        let Some((first, rest)) = path.split_first() else {
            return Some(self);
        };
        match (first, &mut self.value) {
            (Step::Key(key), Value::Table(entries)) => entries
                .iter_mut()
                .find(|(k, _)| k == key)?
                .1
                .lookup_mut(rest),
            (Step::Index(index), Value::List(items)) => items.get_mut(*index)?.lookup_mut(rest),
            _ => None,
        }
    }
}

/// Returns the line of a byte of the text, counted from 1.
pub(crate) fn line_at(text: &str, byte: usize) -> usize {
    let end = byte.min(text.len());
    1 + text.as_bytes()[..end]
        .iter()
        .filter(|b| **b == b'\n')
        .count()
}

/// Converts a table, and sorts its entries by their lines.
fn table_entries(text: &str, table: &DeTable<'_>) -> Vec<(String, Node)> {
    let mut entries: Vec<_> = table
        .iter()
        .map(|(key, value)| {
            let line = line_at(text, key.span().start);
            (
                key.get_ref().to_string(),
                Node {
                    line,
                    value: convert_value(text, value),
                },
            )
        })
        .collect();
    entries.sort_by_key(|(_, node)| node.line);
    entries
}

fn convert_value(text: &str, value: &Spanned<DeValue<'_>>) -> Value {
    match value.get_ref() {
        DeValue::String(s) => Value::Text(s.to_string()),
        DeValue::Integer(n) => i64::from_str_radix(&n.as_str().replace('_', ""), n.radix())
            .map_or_else(|_| Value::Unsupported(n.to_string()), Value::Integer),
        DeValue::Float(n) => n
            .as_str()
            .parse()
            .map_or_else(|_| Value::Unsupported(n.to_string()), Value::Float),
        DeValue::Boolean(b) => Value::Boolean(*b),
        DeValue::Datetime(d) => Value::Unsupported(d.to_string()),
        DeValue::Array(items) => {
            let node = |item: &Spanned<DeValue<'_>>| Node {
                line: line_at(text, item.span().start),
                value: convert_value(text, item),
            };
            Value::List(items.iter().map(node).collect())
        }
        DeValue::Table(table) => Value::Table(table_entries(text, table)),
    }
}
