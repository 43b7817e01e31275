//! The command `explain --summary`: counts the requests that were refused, late, failed or queued, by
//! cause and by time.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use crate::explain::Line;

/// The time that one row covers, in microseconds. An outage or an uneven map lasts some seconds.
const ROW_MICROS: i128 = 2_000_000;

/// The upper bounds by which the longest pauses of late answers are grouped, in milliseconds.
const PAUSE_BOUNDS_MS: [u64; 5] = [120, 160, 240, 500, 1_000];

/// How long a refused request has waited at least to count as held, in microseconds.
const HELD_MICROS: u64 = 100_000;

/// Counts of the requests that were not answered well.
#[derive(Debug, Default)]
pub(crate) struct Summary {
    /// The number of requests per cause, by row.
    rows: BTreeMap<i128, BTreeMap<String, u64>>,
    /// The number of answers that were late because of a pause, by the bound that their longest pause is
    /// below.
    pauses: BTreeMap<u64, u64>,
    /// What processes reported about lines that they left out of their logs.
    left_out: Vec<String>,
}

impl Summary {
    /// Counts the requests that these lines report.
    pub(crate) fn new(lines: &[Line]) -> Self {
        let mut summary = Self::default();
        let start = lines.iter().filter_map(Line::micros).min().unwrap_or(0);
        for line in lines {
            if line.msg == "LinesLeftOut" {
                let left_out = format!("{}: {}", line.process, line.detail);
                summary.left_out.push(left_out);
            }
            let Some(cause) = cause(line) else { continue };
            let row = (line.micros().unwrap_or(start) - start) / ROW_MICROS;
            *summary
                .rows
                .entry(row)
                .or_default()
                .entry(cause)
                .or_default() += 1;
            if let Some(pause) = longest_pause(line) {
                let bound = PAUSE_BOUNDS_MS.into_iter().find(|b| pause < b * 1_000);
                *summary.pauses.entry(bound.unwrap_or(u64::MAX)).or_default() += 1;
            }
        }
        summary
    }
}

/// Returns why a request was not answered well, or `None` if the line reports no such request.
fn cause(line: &Line) -> Option<String> {
    let first = line.detail.split([',', ':']).next().unwrap_or("").trim();
    match line.msg.as_str() {
        "AnswerLate" => {
            let late = line.detail.rsplit("late: ").next().unwrap_or("");
            Some(format!("late: {late}"))
        }
        "RequestRefused" => {
            let again = line.detail.contains(", a return");
            let again = if again { ", a return" } else { "" };
            let held = waited_micros(line).is_some_and(|waited| waited >= HELD_MICROS);
            let held = if held { ", after a wait" } else { "" };
            Some(format!("refused: {first}{again}{held}"))
        }
        "RequestQueued" => Some(format!("waited: {first}")),
        "RequestRetried" if line.detail.ends_with("false") => Some("repeat not granted".into()),
        "AnswerFailed" => {
            let kinds = [
                "silent",
                "broken off",
                "inside an event",
                "no connection",
                "not run",
            ];
            let kind = kinds.into_iter().find(|kind| line.detail.contains(kind));
            Some(format!("failed: {}", kind.unwrap_or("otherwise")))
        }
        "StreamResumed" => Some("resumed".into()),
        "CallerGone" => Some("caller gone".into()),
        _ => None,
    }
}

/// Returns how long a request had waited when it was refused, in microseconds.
fn waited_micros(line: &Line) -> Option<u64> {
    let (before, _) = line.detail.split_once(" after its arrival")?;
    let span = before.rsplit(' ').next()?;
    let digits = span.find(|c: char| !c.is_ascii_digit())?;
    let (number, unit) = span.split_at(digits);
    let number: u64 = number.parse().ok()?;
    match unit {
        "us" => Some(number),
        "ms" => Some(number * 1_000),
        "s" => Some(number * 1_000_000),
        _ => None,
    }
}

/// Returns the longest pause of an answer that was late because of a pause, in microseconds.
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
            let cells: Vec<String> = counts.iter().map(|(c, n)| format!("{n} {c}")).collect();
            writeln!(
                f,
                "{:>6}  {}",
                row * ROW_MICROS / 1_000_000,
                cells.join(", ")
            )?;
        }
        for left_out in &self.left_out {
            writeln!(f, "not in the log: {left_out}")?;
        }
        Ok(())
    }
}
