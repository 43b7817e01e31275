//! Structured logs: JSON lines with one numbered event each, limited in number.
//!
//! A separate thread writes the lines, so that no task waits for the output.

use std::fmt;
use std::io;
use std::sync::mpsc::channel;
use std::sync::Arc;
use std::thread;
use std::time::Instant;

use parking_lot::Mutex;
use slog::{o, Drain, Level, Logger};
use slog_async::AsyncGuard;

use crate as snipemast_core;
use crate::data;
use crate::events::{Event, Ring};
use crate::log_budget::LogBudget;
use crate::time::Moment;
use crate::units::Span;

/// How many lines may wait to be written; further lines are dropped and counted.
const QUEUE_LINES: usize = 4_096;

/// How long a process waits at its end for its last lines, so that a reader which has stopped does
/// not block it.
const FLUSH_TIMEOUT: Span = Span::from_millis(300);

data! {
    /// How much a process logs; its ring keeps every event at any level.
    #[derive(Copy, Default)]
    #[serde(rename_all = "lowercase")]
    pub enum LogLevel {
        /// All events except those of single requests.
        #[default]
        Info,
        /// All events.
        Debug,
    }
}

/// Where log lines are written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogOutput {
    /// Standard output, which a platform collects.
    Stdout,
    /// Standard error, if standard output is for results.
    Stderr,
}

/// Writes events to the log and to the ring of the process.
#[derive(Clone, Debug)]
pub struct Journal {
    log: Logger,
    ring: Arc<Ring>,
    budget: Arc<Mutex<LogBudget>>,
    start: Instant,
}

/// Writes the waiting log lines when it is dropped, within a time limit.
pub struct LogGuard(Option<AsyncGuard>);

impl fmt::Debug for LogGuard {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("LogGuard")
    }
}

impl Drop for LogGuard {
    /// Flushes the waiting lines, so that a process does not end in the middle of its last line. The
    /// time limit lets it end even if nobody reads its output any more.
    fn drop(&mut self) {
        let Some(guard) = self.0.take() else { return };
        let (sender, receiver) = channel();
        let started = thread::Builder::new().spawn(move || {
            drop(guard);
            // The receiver is gone if the time limit has passed.
            let _ = sender.send(());
        });
        if started.is_ok() {
            // After the time limit the remaining lines are lost.
            let _ = receiver.recv_timeout(FLUSH_TIMEOUT.as_duration());
        }
    }
}

impl Journal {
    /// Creates a journal that logs JSON lines of at least this level, and the guard that writes its
    /// last lines.
    pub fn new(ring: Arc<Ring>, level: LogLevel, output: LogOutput) -> (Self, LogGuard) {
        let (drain, guard) = match output {
            LogOutput::Stdout => async_drain(io::stdout()),
            LogOutput::Stderr => async_drain(io::stderr()),
        };
        let level = match level {
            LogLevel::Info => Level::Info,
            LogLevel::Debug => Level::Debug,
        };
        let drain = drain.fuse().filter_level(level).fuse();
        let log = Logger::root(drain, o!("process" => ring.process().to_string()));
        (Self::with_log(log, ring), LogGuard(Some(guard)))
    }

    fn with_log(log: Logger, ring: Arc<Ring>) -> Self {
        Self {
            log,
            ring,
            budget: Arc::default(),
            start: Instant::now(),
        }
    }

    /// Creates a journal that writes to its ring but logs nothing, for tests and demonstrations.
    pub fn silent(ring: Arc<Ring>) -> Self {
        Self::with_log(Logger::root(slog::Discard, o!()), ring)
    }

    /// Returns the ring that the journal writes to.
    pub fn ring(&self) -> &Arc<Ring> {
        &self.ring
    }

    /// Records an event; an event of a single request is logged at debug level.
    pub fn record(&self, event: Event, subject: impl fmt::Display, detail: impl fmt::Display) {
        self.record_routine(event, subject, detail);
    }

    /// Records an event of every request. Returns false if the log line was omitted because there
    /// were too many of its kind.
    pub fn record_routine(
        &self,
        event: Event,
        subject: impl fmt::Display,
        detail: impl fmt::Display,
    ) -> bool {
        let written = self.log(event, &subject, &detail, false);
        self.ring.record(event, subject, detail);
        written
    }

    /// Logs an event that was recorded earlier but omitted from the log, because it led to a problem.
    pub fn log_deferred(
        &self,
        event: Event,
        subject: impl fmt::Display,
        detail: impl fmt::Display,
    ) {
        self.log(event, &subject, &detail, true);
    }

    /// Logs an event if the budget allows it, and whatever was omitted before.
    fn log(
        &self,
        event: Event,
        subject: &impl fmt::Display,
        detail: &impl fmt::Display,
        problem: bool,
    ) -> bool {
        let now = Moment::ZERO + Span::from(self.start.elapsed());
        let admission = self.budget.lock().admit(now, event, problem);
        if let Some(omitted) = admission.omitted {
            self.write(Event::LinesLeftOut, &"log", &omitted);
        }
        if admission.written {
            self.write(event, subject, detail);
        }
        admission.written
    }

    /// Writes a line, at debug level if the event belongs to a single request.
    fn write(&self, event: Event, subject: &impl fmt::Display, detail: &impl fmt::Display) {
        let number = event.number();
        if (200..400).contains(&number) {
            slog::debug!(self.log, "{}", event.name(); "event" => number,
                "subject" => %subject, "detail" => %detail);
        } else {
            slog::info!(self.log, "{}", event.name(); "event" => number,
                "subject" => %subject, "detail" => %detail);
        }
    }
}

/// Creates a drain that writes JSON lines on a separate thread.
fn async_drain(output: impl io::Write + Send + 'static) -> (slog_async::Async, AsyncGuard) {
    let json = slog_json::Json::default(output).fuse();
    slog_async::Async::new(json)
        .chan_size(QUEUE_LINES)
        .build_with_guard()
}
