//! `explain`: one request's story, out of the logs of several processes.

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

/// How long before and after a request's own lines those about its servers and processes are told, in
/// microseconds: an outage of a group lasts some seconds.
const AROUND: i128 = 2_000_000;

/// Lines that explain what happens to every request of a process or service.
const CONTEXT: [&str; 15] = [
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

/// A log that can't be read.
#[derive(Debug)]
pub(crate) struct Unreadable {
    path: PathBuf,
    cause: std::io::Error,
}

impl fmt::Display for Unreadable {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.path.display(), self.cause)
    }
}

/// One line of a log.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub(crate) struct Line {
    /// When, as text of RFC 3339.
    pub(crate) ts: String,
    /// The process: host and start.
    pub(crate) process: String,
    /// The event.
    pub(crate) msg: String,
    /// What it is about.
    pub(crate) subject: String,
    /// Further facts.
    pub(crate) detail: String,
}

/// Prints what became of a request, or of all that came to grief.
pub(crate) fn explain(args: &ExplainArgs) -> ExitCode {
    let (request, files) = match (args.summary, args.words.split_first()) {
        (true, _) => (None, args.words.as_slice()),
        (false, Some((request, files))) => (Some(request.to_string_lossy()), files),
        (false, None) => {
            eprintln!("snipemast: explain needs the id of a request, or --summary");
            return ExitCode::from(exit::USAGE);
        }
    };
    let (lines, torn) = match read_all(files) {
        Ok(read) => read,
        Err(unreadable) => {
            eprintln!("snipemast: {unreadable}");
            return ExitCode::from(exit::USAGE);
        }
    };
    let told = match &request {
        Some(request) => text(&story(request, lines)),
        None => Summary::new(&lines).to_string(),
    };
    print!("{told}");
    if torn > 0 {
        println!("{torn} lines are no events, and were left out");
    }
    match request.filter(|_| told.is_empty()) {
        Some(request) => {
            println!("no line names {request}");
            ExitCode::from(exit::REFUSED)
        }
        None => ExitCode::SUCCESS,
    }
}

/// The lines of several logs, and how many can't be read.
fn read_all(files: &[PathBuf]) -> Result<(Vec<Line>, usize), Unreadable> {
    let mut lines = Vec::new();
    let mut torn = 0;
    for path in files {
        let (read, broken) = read(path)?;
        lines.extend(read);
        torn += broken;
    }
    Ok((lines, torn))
}

/// The lines of a log, and how many of it can't be read: a process that is killed tears its last one.
fn read(path: &Path) -> Result<(Vec<Line>, usize), Unreadable> {
    let failed = |cause| Unreadable {
        path: path.into(),
        cause,
    };
    let mut lines = Vec::new();
    let mut torn = 0;
    for line in BufReader::new(File::open(path).map_err(failed)?).lines() {
        let line = line.map_err(failed)?;
        match serde_json::from_str::<Line>(&line) {
            Ok(read) if read.micros().is_some() => lines.push(read),
            _ if line.trim().is_empty() => {}
            _ => torn += 1,
        }
    }
    Ok((lines, torn))
}

/// The lines about a request, and those about its servers and processes around it, in order.
pub(crate) fn story(request: &str, mut lines: Vec<Line>) -> Vec<Line> {
    lines.sort_by_key(Line::micros);
    let own: Vec<&Line> = lines.iter().filter(|l| l.is_about(request)).collect();
    let (Some(first), Some(last)) = (own.first(), own.last()) else {
        return Vec::new();
    };
    let from = first.micros().unwrap_or(0) - AROUND;
    let until = last.micros().unwrap_or(0) + AROUND;
    let processes: Vec<&str> = own.iter().map(|l| l.process.as_str()).collect();
    let words: Vec<&str> = own.iter().flat_map(|l| split(&l.detail)).collect();
    let told = lines.iter().filter(|line| {
        let near = line.micros().is_some_and(|at| from <= at && at <= until);
        let context = CONTEXT.contains(&line.msg.as_str());
        let concerned =
            processes.contains(&line.process.as_str()) || words.contains(&line.subject.as_str());
        line.is_about(request) || (near && context && concerned)
    });
    told.cloned().collect()
}

/// The lines as a table, with the seconds since the first of them.
pub(crate) fn text(lines: &[Line]) -> String {
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
    fn is_about(&self, request: &str) -> bool {
        self.subject == request || split(&self.detail).any(|word| word == request)
    }

    /// Microseconds since 1970; nothing where the time can't be read.
    pub(crate) fn micros(&self) -> Option<i128> {
        let at = OffsetDateTime::parse(&self.ts, &Rfc3339).ok()?;
        Some(at.unix_timestamp_nanos() / 1_000)
    }
}

/// The words of a detail.
fn split(detail: &str) -> impl Iterator<Item = &str> {
    detail.split([' ', ',', ';', ':', '(', ')'])
}
