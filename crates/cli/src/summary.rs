//! `explain --summary`: the requests that came to grief, counted by cause and by time.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use crate::explain::Line;

/// The width of a row, in microseconds: an outage or an uneven map lasts some seconds.
const ROW: i128 = 2_000_000;

/// Upper bounds of the longest pauses that late answers are sorted by, in milliseconds.
const PAUSES: [u64; 5] = [120, 160, 240, 500, 1_000];

/// What became of requests that were not answered well.
#[derive(Debug, Default)]
pub(crate) struct Summary {
    /// By row: how many by cause.
    rows: BTreeMap<i128, BTreeMap<String, u64>>,
    /// The longest pause of answers that were late for one, by the bound that it is below.
    pauses: BTreeMap<u64, u64>,
    /// Lines that processes left out of their logs, as they said.
    left_out: Vec<String>,
}

impl Summary {
    /// Counts lines.
    pub(crate) fn new(lines: &[Line]) -> Self {
        let mut summary = Self::default();
        let start = lines.iter().filter_map(Line::micros).min().unwrap_or(0);
        for line in lines {
            if line.msg == "LinesLeftOut" {
                let left_out = format!("{}: {}", line.process, line.detail);
                summary.left_out.push(left_out);
            }
            let Some(cause) = cause(line) else { continue };
            let row = (line.micros().unwrap_or(start) - start) / ROW;
            *summary
                .rows
                .entry(row)
                .or_default()
                .entry(cause)
                .or_default() += 1;
            if let Some(pause) = longest_pause(line) {
                let bound = PAUSES.into_iter().find(|b| pause < b * 1_000);
                *summary.pauses.entry(bound.unwrap_or(u64::MAX)).or_default() += 1;
            }
        }
        summary
    }
}

/// Why a request came to grief, if a line says that one did.
fn cause(line: &Line) -> Option<String> {
    let first = line.detail.split([',', ':']).next().unwrap_or("").trim();
    match line.msg.as_str() {
        "AnswerLate" => {
            let late = line.detail.rsplit("late: ").next().unwrap_or("");
            Some(format!("late: {late}"))
        }
        "RequestRefused" => Some(format!("refused: {first}")),
        "RequestQueued" => Some(format!("waited: {first}")),
        "RequestRetried" if line.detail.ends_with("false") => Some("repeat not granted".into()),
        "AnswerFailed" => {
            let how = [
                "silent",
                "broken off",
                "inside an event",
                "no connection",
                "not run",
            ];
            let how = how.into_iter().find(|how| line.detail.contains(how));
            Some(format!("failed: {}", how.unwrap_or("otherwise")))
        }
        "StreamResumed" => Some("resumed".into()),
        "CallerGone" => Some("caller gone".into()),
        _ => None,
    }
}

/// The longest pause of a late answer, in microseconds.
fn longest_pause(line: &Line) -> Option<u64> {
    let late = line.msg == "AnswerLate" && line.detail.ends_with("pause");
    let rest = line
        .detail
        .split("longest pause ")
        .nth(1)
        .filter(|_| late)?;
    rest.split("us").next()?.parse().ok()
}

impl fmt::Display for Summary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let causes: BTreeSet<&String> = self.rows.values().flat_map(BTreeMap::keys).collect();
        for cause in &causes {
            let counts = self.rows.values().filter_map(|row| row.get(*cause));
            writeln!(f, "{:>6}  {cause}", counts.sum::<u64>())?;
        }
        writeln!(f, "\nlongest pauses of answers late for one:")?;
        for (bound, count) in &self.pauses {
            match *bound {
                u64::MAX => writeln!(f, "{count:>6}  longer")?,
                bound => writeln!(f, "{count:>6}  below {bound} ms")?,
            }
        }
        writeln!(f, "\nby time, in seconds since the first line:")?;
        for (row, counts) in &self.rows {
            let told: Vec<String> = counts.iter().map(|(c, n)| format!("{n} {c}")).collect();
            writeln!(f, "{:>6}  {}", row * ROW / 1_000_000, told.join(", "))?;
        }
        for left_out in &self.left_out {
            writeln!(f, "not in the log: {left_out}")?;
        }
        Ok(())
    }
}
