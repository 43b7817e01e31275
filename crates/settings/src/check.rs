//! Finds every fault of a settings text.
//!
//! A derived `Deserialize` stops at the first fault. The search therefore reads each value on its
//! own first. It then removes the faulty values, fills in what is missing from a sample, and checks
//! the remaining values against each other.

use serde::de::DeserializeOwned;
use toml::de::DeTable;

use crate::fault::{Fault, FaultKind};
use crate::node::{format_path, line_at, Node, Path, Step};
use crate::probe::{read, Hindered};

/// Settings that can be checked.
pub trait Settings: DeserializeOwned {
    /// A text without faults that has all required keys.
    ///
    /// What a faulty text lacks is filled in from it, so that the search can go on.
    const SAMPLE: &'static str;

    /// Returns the faults between values that are valid by themselves. Their lines are not known
    /// yet.
    fn conflicts(&self) -> Vec<Fault>;
}

/// Reads settings, or returns every fault of the text.
pub fn check<T: Settings>(text: &str) -> Result<T, Vec<Fault>> {
    let (table, errors) = DeTable::parse_recoverable(text);
    if !errors.is_empty() {
        return Err(errors.iter().map(|e| syntax_fault(text, e)).collect());
    }
    Search::<T>::new(Node::root(text, table.get_ref())).run()
}

/// Returns the fault of a syntax error.
fn syntax_fault(text: &str, error: &toml::de::Error) -> Fault {
    let line = line_at(text, error.span().map_or(0, |span| span.start));
    let kind = FaultKind::Syntax(error.message().into());
    Fault {
        line,
        ..Fault::new("", kind)
    }
}

/// A search for faults. It works on a copy of the text's tree, which loses its faulty values and
/// gets the missing ones.
struct Search<T> {
    text: Node,
    tree: Node,
    faults: Vec<Fault>,
    replaced: Vec<String>,
    sample: Node,
    marker: std::marker::PhantomData<T>,
}

impl<T: Settings> Search<T> {
    fn new(text: Node) -> Self {
        let sample = DeTable::parse(T::SAMPLE).expect("the sample is TOML");
        Self {
            tree: text.clone(),
            text,
            faults: Vec::new(),
            replaced: Vec::new(),
            sample: Node::root(T::SAMPLE, sample.get_ref()),
            marker: std::marker::PhantomData,
        }
    }

    fn run(mut self) -> Result<T, Vec<Fault>> {
        let mut invalid: Vec<Path> = Vec::new();
        for leaf in self.text.leaves() {
            if let Some(path) = self.check_leaf(&leaf) {
                if !invalid.contains(&path) {
                    invalid.push(path);
                }
            }
        }
        // Later items are removed first, so that the earlier ones keep their indexes.
        for path in invalid.iter().rev() {
            self.replaced.push(format_path(path));
            self.tree.remove(path);
        }
        let settings = self.fill_missing();
        if let Some(settings) = &settings {
            self.check_conflicts(settings);
        }
        match settings {
            Some(settings) if self.faults.is_empty() => Ok(settings),
            _ => {
                self.faults.sort_by_key(|fault| fault.line);
                Err(self.faults)
            }
        }
    }

    /// Reads a single value, and returns the path of the faulty key or value if there is one.
    fn check_leaf(&mut self, leaf: &Path) -> Option<Path> {
        let error = read::<T>(&self.text.restricted_to(leaf)).err()?;
        let mut path = full_path(error.path(), leaf);
        let kind = match error.kind {
            // Other keys are missing because only this one was kept.
            Hindered::Missing(_) => return None,
            Hindered::Unknown { key, expected } => {
                path.push(Step::Key(key));
                FaultKind::Unknown(expected)
            }
            Hindered::Wrong(why) => FaultKind::Invalid(explain(why)),
        };
        let fault = self.fault(&path, kind);
        if !self.faults.contains(&fault) {
            self.faults.push(fault);
        }
        Some(path)
    }

    /// Reads the settings. Each missing key becomes a fault and is filled in from the sample.
    fn fill_missing(&mut self) -> Option<T> {
        loop {
            let error = match read::<T>(&self.tree) {
                Ok(settings) => return Some(settings),
                Err(error) => error,
            };
            let Hindered::Missing(key) = error.kind else {
                return None;
            };
            let above = error.path();
            let mut path = above.clone();
            path.push(Step::Key(key.into()));
            if self.text.lookup(&path).is_none() {
                let fault = self.fault(&path, FaultKind::Missing);
                self.faults.push(fault);
            }
            self.replaced.push(format_path(&path));
            let filled = self.sample.lookup(&path)?.clone();
            self.tree.insert(&above, key, filled);
        }
    }

    /// Adds the conflicts between values, except those with values that were filled in or removed.
    fn check_conflicts(&mut self, settings: &T) {
        for fault in settings.conflicts() {
            let path = parse_path(&fault.key);
            let replaced = self
                .replaced
                .iter()
                .any(|r| fault.key.starts_with(r.as_str()));
            let in_replaced = |other: &String| self.replaced.contains(other);
            let duplicate =
                matches!(&fault.kind, FaultKind::Duplicate(other) if in_replaced(other));
            if !replaced && !duplicate {
                let fault = self.fault(&path, fault.kind);
                self.faults.push(fault);
            }
        }
    }

    /// Creates a fault with the line of its value, or of the innermost table around it.
    fn fault(&self, path: &[Step], kind: FaultKind) -> Fault {
        let nearest = (0..=path.len())
            .rev()
            .find_map(|n| self.text.lookup(&path[..n]));
        Fault {
            key: format_path(path),
            line: nearest.map_or(1, |node| node.line),
            kind,
        }
    }
}

/// Returns the path in the whole text.
///
/// The path in a tree with a single value differs, because the value's index in a list is 0.
fn full_path(path: Path, leaf: &Path) -> Path {
    leaf.iter().take(path.len()).cloned().collect()
}

/// Returns a reason with what is expected, if the reason alone doesn't say it.
fn explain(why: String) -> String {
    if why.contains("invalid socket address") {
        format!("{why}; expected an IP number and a port, like \"10.0.0.1:7001\"")
    } else {
        why
    }
}

/// Parses a path that is written with dots and indexes.
fn parse_path(key: &str) -> Path {
    let mut path = Vec::new();
    for part in key.split('.') {
        let (name, suffix) = part.split_once('[').unwrap_or((part, ""));
        path.push(Step::Key(name.into()));
        if let Ok(index) = suffix.trim_end_matches(']').parse() {
            path.push(Step::Index(index));
        }
    }
    path
}
