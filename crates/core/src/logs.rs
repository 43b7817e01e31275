//! Structured logs: JSON lines on standard error, each with one numbered event.

use std::io;
use std::sync::Arc;

use slog::{o, Drain, Logger};

use crate::events::{Event, Ring};

/// Writes events both to the log and to the process's ring.
#[derive(Clone, Debug)]
pub struct Journal {
    log: Logger,
    ring: Arc<Ring>,
}

impl Journal {
    /// A journal that logs JSON lines to standard error.
    pub fn new(ring: Arc<Ring>) -> Self {
        let json = slog_json::Json::default(io::stderr()).fuse();
        let drain = slog_async::Async::new(json).chan_size(4_096).build().fuse();
        let log = Logger::root(drain, o!("process" => ring.process().to_string()));
        Self { log, ring }
    }

    /// A journal that keeps its ring and logs nothing, for tests and demonstrations.
    pub fn silent(ring: Arc<Ring>) -> Self {
        Self {
            log: Logger::root(slog::Discard, o!()),
            ring,
        }
    }

    /// The ring behind the journal.
    pub fn ring(&self) -> &Arc<Ring> {
        &self.ring
    }

    /// Records an event; what speaks of a single request is logged at debug level.
    pub fn record(
        &self,
        event: Event,
        subject: impl std::fmt::Display,
        detail: impl std::fmt::Display,
    ) {
        let number = event.number();
        if (200..400).contains(&number) {
            slog::debug!(self.log, "{}", event.name(); "event" => number,
                "subject" => %subject, "detail" => %detail);
        } else {
            slog::info!(self.log, "{}", event.name(); "event" => number,
                "subject" => %subject, "detail" => %detail);
        }
        self.ring.record(event, subject, detail);
    }
}
