//! The command `explain`: prints the log lines that concern one request, from the logs of several
//! processes.

use std::fmt;
use std::fs::File;
use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use serde::Deserialize;
use time::format_description::well_known::Rfc3339;
use time::OffsetDateTime;

use crate::args::ExplainArgs;
use crate::exit;
use crate::summary::Summary;

/// How long before and after a request's own lines the lines about its servers and processes are
/// included, in microseconds. An outage of a group lasts some seconds.
const CONTEXT_MICROS: i128 = 2_000_000;

/// Events that affect every request of a process or service.
const CONTEXT_EVENTS: [&str; 15] = [
    "ProcessStarted",
    "DrainBegun",
    "ProcessEnded",
    "DrainExpired",
    "LinesLeftOut",
    "VersionApplied",
    "MemberJoined",
    "MemberDraining",
    "MemberRemoved",
    "MemberUnreachable",
    "ServerEjected",
    "ServerReturned",
    "ServiceOut",
    "ServiceReopened",
    "GroupRestarted",
];

/// Events whose effect on a process lasts until the next one, however long ago they were.
const LASTING_EVENTS: [&str; 1] = ["ZoneEvacuated"];

/// The error when a log can't be read.
#[derive(Debug)]
pub(crate) struct LogError {
    path: PathBuf,
    cause: std::io::Error,
}

impl fmt::Display for LogError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.path.display(), self.cause)
    }
}

/// One line of a log.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub(crate) struct Line {
    /// The time in the format of RFC 3339.
    pub(crate) ts: String,
    /// The process: its host and its incarnation.
    pub(crate) process: String,
    /// The name of the event.
    pub(crate) msg: String,
    /// The id of what the event is about.
    pub(crate) subject: String,
    /// The details of the event.
    pub(crate) detail: String,
}

/// Prints the lines that concern a request, or with `--summary` the counts of all failed requests.
pub(crate) fn explain(args: &ExplainArgs) -> ExitCode {
    let (request, files) = match (args.summary, args.words.split_first()) {
        (true, _) => (None, args.words.as_slice()),
        (false, Some((request, files))) => (Some(request.to_string_lossy()), files),
        (false, None) => {
            eprintln!("snipemast: explain needs the id of a request, or --summary");
            return ExitCode::from(exit::USAGE);
        }
    };
    let (lines, skipped) = match read_all(files) {
        Ok(read) => read,
        Err(e) => {
            eprintln!("snipemast: {e}");
            return ExitCode::from(exit::USAGE);
        }
    };
    let told = match &request {
        Some(request) => format_lines(&request_lines(request, lines)),
        None => Summary::new(&lines).to_string(),
    };
    print!("{told}");
    if skipped > 0 {
        println!("{skipped} lines are not events and were skipped");
    }
    match request.filter(|_| told.is_empty()) {
        Some(request) => {
            println!("no line mentions {request}");
            ExitCode::from(exit::REFUSED)
        }
        None => ExitCode::SUCCESS,
    }
}

/// Returns the lines of several logs, and the number of lines that can't be parsed.
fn read_all(files: &[PathBuf]) -> Result<(Vec<Line>, usize), LogError> {
    let mut lines = Vec::new();
    let mut skipped = 0;
    for path in files {
        let (read, unparsed) = read_file(path)?;
        lines.extend(read);
        skipped += unparsed;
    }
    Ok((lines, skipped))
}

/// Returns the lines of a log, and the number of lines that can't be parsed. A process that is killed
/// leaves its last line incomplete.
fn read_file(path: &Path) -> Result<(Vec<Line>, usize), LogError> {
    let failed = |cause| LogError {
        path: path.into(),
        cause,
    };
    let mut lines = Vec::new();
    let mut skipped = 0;
    for line in BufReader::new(File::open(path).map_err(failed)?).lines() {
        let line = line.map_err(failed)?;
        match serde_json::from_str::<Line>(&line) {
            Ok(read) if read.micros().is_some() => lines.push(read),
            _ if line.trim().is_empty() => {}
            _ => skipped += 1,
        }
    }
    Ok((lines, skipped))
}

/// Returns the lines about a request and those about its servers and processes around that time, in order
/// of time.
pub(crate) fn request_lines(request: &str, mut lines: Vec<Line>) -> Vec<Line> {
    lines.sort_by_key(Line::micros);
    let own_lines: Vec<&Line> = lines.iter().filter(|l| l.is_about(request)).collect();
    let (Some(first), Some(last)) = (own_lines.first(), own_lines.last()) else {
        return Vec::new();
    };
    let from = first.micros().unwrap_or(0) - CONTEXT_MICROS;
    let until = last.micros().unwrap_or(0) + CONTEXT_MICROS;
    let processes: Vec<&str> = own_lines.iter().map(|l| l.process.as_str()).collect();
    let words: Vec<&str> = own_lines
        .iter()
        .flat_map(|l| split_words(&l.detail))
        .collect();
    let chosen = lines.iter().filter(|line| {
        let before = line.micros().is_some_and(|at| at <= until);
        let near = before && line.micros().is_some_and(|at| from <= at);
        let context = CONTEXT_EVENTS.contains(&line.msg.as_str());
        let own_process = processes.contains(&line.process.as_str());
        let is_related = own_process || words.contains(&line.subject.as_str());
        let lasting = LASTING_EVENTS.contains(&line.msg.as_str()) && own_process;
        line.is_about(request) || (near && context && is_related) || (before && lasting)
    });
    chosen.cloned().collect()
}

/// Returns the lines as a table, with the seconds since the first line.
pub(crate) fn format_lines(lines: &[Line]) -> String {
    let start = lines.first().and_then(Line::micros).unwrap_or(0);
    let line = |line: &Line| {
        let seconds = (line.micros().unwrap_or(start) - start) as f64 / 1e6;
        let host = line.process.split(':').next().unwrap_or("");
        let Line {
            msg,
            subject,
            detail,
            ..
        } = line;
        format!("{seconds:>9.4}  {host:<20}  {msg:<16}  {subject}  {detail}\n")
    };
    lines.iter().map(line).collect()
}

impl Line {
    /// Whether the line is about a request or mentions it in its detail.
    fn is_about(&self, request: &str) -> bool {
        self.subject == request || split_words(&self.detail).any(|word| word == request)
    }

    /// Returns the time in microseconds since 1970, or `None` if it can't be parsed.
    pub(crate) fn micros(&self) -> Option<i128> {
        let at = OffsetDateTime::parse(&self.ts, &Rfc3339).ok()?;
        Some(at.unix_timestamp_nanos() / 1_000)
    }
}

/// Returns the words of a detail.
fn split_words(detail: &str) -> impl Iterator<Item = &str> {
    detail.split([' ', ',', ';', ':', '(', ')'])
}
