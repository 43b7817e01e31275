//! The arguments and figures of a bench, and how they are printed.

use std::collections::BTreeMap;

use serde_json::{Map, Number, Value};

/// The command-line arguments of a bench.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BenchArgs {
    /// Whether to print the figures as one last line of JSON instead of a table.
    pub json: bool,
    /// Whether the bench must end within 30 seconds.
    pub quick: bool,
}

impl BenchArgs {
    /// Reads the command line and ignores the arguments that cargo adds.
    pub fn parse() -> Self {
        let has = |flag: &str| std::env::args().skip(1).any(|arg| arg == flag);
        Self {
            json: has("--json"),
            quick: has("--quick"),
        }
    }
}

/// The figures of one run of a bench, by key.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Figures {
    values: BTreeMap<String, f64>,
}

impl Figures {
    /// Creates an empty set of figures.
    pub fn new() -> Self {
        Self::default()
    }

    /// Reads the JSON line that a bench printed; returns `None` if the text holds none.
    pub fn read(text: &str) -> Option<Self> {
        let line = text.lines().rfind(|line| line.starts_with('{'))?;
        let Value::Object(fields) = serde_json::from_str(line).ok()? else {
            return None;
        };
        let values = fields
            .iter()
            .filter_map(|(key, v)| Some((key.clone(), v.as_f64()?)));
        Some(Self {
            values: values.collect(),
        })
    }

    /// Adds a figure, unless it is infinite or not a number.
    pub fn add(&mut self, key: &str, value: f64) {
        if value.is_finite() {
            self.values.insert(key.to_string(), value);
        }
    }

    /// Returns a figure by its key.
    pub fn get(&self, key: &str) -> Option<f64> {
        self.values.get(key).copied()
    }

    /// Prints the figures as JSON or as a table, as the arguments say.
    pub fn print(&self, args: BenchArgs) {
        if args.json {
            println!("{}", self.to_json());
        } else {
            for (key, value) in &self.values {
                println!("{key:<34} {value:>14.4}");
            }
        }
    }

    fn to_json(&self) -> Value {
        let number = |value: &f64| Number::from_f64(*value).map_or(Value::Null, Value::Number);
        let fields: Map<String, Value> = self
            .values
            .iter()
            .map(|(key, value)| (key.clone(), number(value)))
            .collect();
        Value::Object(fields)
    }
}
