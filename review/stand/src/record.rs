//! The record of what was sent, answered and run.

use std::fs;
use std::path::PathBuf;
use std::sync::Mutex;
use std::time::Instant;

/// Lines with the seconds since the case began.
pub struct Record {
    begun: Instant,
    lines: Mutex<Vec<(f64, String)>>,
    path: PathBuf,
}

impl Record {
    /// Creates the record of the case in a folder.
    pub fn new(folder: &str) -> Self {
        Self {
            begun: Instant::now(),
            lines: Mutex::default(),
            path: PathBuf::from(folder).join("record.txt"),
        }
    }

    /// Returns the seconds since the case began.
    pub fn now(&self) -> f64 {
        self.begun.elapsed().as_secs_f64()
    }

    /// Adds a line.
    pub fn add(&self, line: impl Into<String>) {
        self.lines.lock().unwrap().push((self.now(), line.into()));
    }

    /// Adds a line and prints it.
    pub fn say(&self, line: impl Into<String>) {
        let line = line.into();
        println!("{:8.3} {line}", self.now());
        self.add(line);
    }

    /// Writes the lines to the record's file.
    pub fn write(&self) {
        let mut lines = self.lines.lock().unwrap().clone();
        lines.sort_by(|a, b| a.0.total_cmp(&b.0));
        let text: String = lines.iter().map(|(at, l)| format!("{at:8.3} {l}\n")).collect();
        if let Err(e) = fs::write(&self.path, text) {
            eprintln!("{} can't be written: {e}", self.path.display());
        }
    }
}
