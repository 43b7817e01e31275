//! Structured logs: JSON lines, each with one numbered event, bounded in number, and never waited for.

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

/// How many lines may wait to be written; more are dropped and counted, and nothing waits for them.
const QUEUE: usize = 4_096;

/// How long the end of a process waits for its last lines: a reader that has stopped must not hold it up.
const FLUSH: Span = Span::from_millis(300);

data! {
    /// How much a process logs; its ring keeps every event all the same.
    #[derive(Copy, Default)]
    #[serde(rename_all = "lowercase")]
    pub enum LogLevel {
        /// Everything but the events of single requests.
        #[default]
        Info,
        /// The events of single requests too.
        Debug,
    }
}

/// Where lines go.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogOutput {
    /// Standard output: what a platform collects of a process.
    Stdout,
    /// Standard error, where standard output is for results.
    Stderr,
}

/// Writes events both to the log and to the process's ring.
#[derive(Clone, Debug)]
pub struct Journal {
    log: Logger,
    ring: Arc<Ring>,
    budget: Arc<Mutex<LogBudget>>,
    start: Instant,
}

/// Writes what waits to be written when it is dropped, within a bound.
pub struct LogGuard(Option<AsyncGuard>);

impl fmt::Debug for LogGuard {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("LogGuard")
    }
}

impl Drop for LogGuard {
    /// Failure guarded against: a process ends in the middle of its last line, or, where nobody reads its
    /// output any more, never.
    fn drop(&mut self) {
        let Some(guard) = self.0.take() else { return };
        let (sender, receiver) = channel();
        let started = thread::Builder::new().spawn(move || {
            drop(guard);
            // Nobody waits any more after the bound.
            let _ = sender.send(());
        });
        if started.is_ok() {
            // Beyond the bound the lines are lost.
            let _ = receiver.recv_timeout(FLUSH.as_duration());
        }
    }
}

impl Journal {
    /// A journal that logs JSON lines of at least this level, and what writes its last lines.
    pub fn new(ring: Arc<Ring>, level: LogLevel, output: LogOutput) -> (Self, LogGuard) {
        let (drain, guard) = match output {
            LogOutput::Stdout => queued(io::stdout()),
            LogOutput::Stderr => queued(io::stderr()),
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

    /// A journal that keeps its ring and logs nothing, for tests and demonstrations.
    pub fn silent(ring: Arc<Ring>) -> Self {
        Self::with_log(Logger::root(slog::Discard, o!()), ring)
    }

    /// The ring behind the journal.
    pub fn ring(&self) -> &Arc<Ring> {
        &self.ring
    }

    /// Records an event; what speaks of a single request is logged at debug level.
    pub fn record(&self, event: Event, subject: impl fmt::Display, detail: impl fmt::Display) {
        self.record_routine(event, subject, detail);
    }

    /// Records an event that happens to every request; false where the log has too many lines of its
    /// kind already.
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

    /// Logs an event that was recorded and left out of the log, because what it led to is a trouble.
    pub fn log_deferred(
        &self,
        event: Event,
        subject: impl fmt::Display,
        detail: impl fmt::Display,
    ) {
        self.log(event, &subject, &detail, true);
    }

    fn log(
        &self,
        event: Event,
        subject: &impl fmt::Display,
        detail: &impl fmt::Display,
        kept: bool,
    ) -> bool {
        let now = Moment::ZERO + Span::from(self.start.elapsed());
        let taken = self.budget.lock().take(now, event, kept);
        if let Some(left_out) = taken.left_out {
            self.write(Event::LinesLeftOut, &"log", &left_out);
        }
        if taken.written {
            self.write(event, subject, detail);
        }
        taken.written
    }

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

/// Writes JSON lines on a thread of their own.
fn queued(output: impl io::Write + Send + 'static) -> (slog_async::Async, AsyncGuard) {
    let json = slog_json::Json::default(output).fuse();
    slog_async::Async::new(json)
        .chan_size(QUEUE)
        .build_with_guard()
}
