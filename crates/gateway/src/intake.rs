//! Reads no more of new connections than this process gets done.

use std::net::SocketAddr;
use std::sync::Arc;

use snipemast_core::prelude::*;
use snipemast_net::{CutAnswer, Gate, IdleLimits, SocketTimeouts};
use snipemast_placement::intake::{Admission, Intake};

use crate::metrics::ConnectionEnd;
use crate::state::State;

/// The part of the process's files and sockets that callers' connections may use. The rest is for servers.
const CALLER_FILES: f64 = 0.6;

/// The shortest limit on how long a caller may take no byte of an answer that waits for it. The limit is longer where the
/// timeout of some route is.
const MIN_STALL_LIMIT: Span = Span::from_secs(10);

/// The number of unanswered probes, one a second, after which a silent caller is gone.
const CALLER_PROBES: u32 = 9;

/// The part of the limit on idle connections after which one is closed. Callers use a connection that has been idle for
/// four fifths of it.
const IDLE_SHARE: f64 = 0.9;

/// The gate of the listener for callers.
#[derive(Debug)]
pub(crate) struct CallerGate {
    state: Arc<State>,
    intake: Intake,
    /// Whether it was logged that connections are closed.
    closing: bool,
}

impl CallerGate {
    pub(crate) fn new(state: Arc<State>) -> Self {
        let max_connections = f64::from(state.settings.max_files) * CALLER_FILES;
        Self {
            state,
            intake: Intake::new(max_connections as usize),
            closing: false,
        }
    }

    /// Logs when connections begin to be closed, and when all are read again.
    fn log(&mut self, admission: Admission, open: usize) {
        let closed = admission != Admission::Read;
        if closed == self.closing || !closed && self.intake.is_overloaded() {
            return;
        }
        self.closing = closed;
        let event = match closed {
            true => Event::IntakeClosed,
            false => Event::IntakeOpened,
        };
        let detail = format_args!("{admission:?}, beside {open} open connections");
        self.state.journal.record(event, "callers", detail);
    }
}

impl Gate for CallerGate {
    fn needs_measure(&self) -> bool {
        self.intake.needs_measure(self.state.clock.now())
    }

    fn record_turn(&mut self, delay: Span) {
        self.intake.record_turn(self.state.clock.now(), delay);
        self.state.set_shedding(self.intake.sheds_kept());
    }

    fn timeouts(&self) -> SocketTimeouts {
        SocketTimeouts::without_ack(CALLER_PROBES)
    }

    fn cut_handler(&self) -> impl Fn(SocketAddr, &CutAnswer) + Send + 'static {
        let journal = self.state.journal.clone();
        move |caller, cut| journal.record(Event::AnswerCut, caller, cut)
    }

    fn admits(&mut self, open: usize) -> bool {
        let admission = self.intake.decide(self.state.clock.now(), open);
        self.log(admission, open);
        self.state.set_full(self.intake.is_full());
        self.state.metrics.count_connection(match admission {
            Admission::Read => ConnectionEnd::Read,
            Admission::Overloaded(_) => ConnectionEnd::Overloaded,
            Admission::Full => ConnectionEnd::Full,
        });
        admission == Admission::Read
    }

    fn is_full(&self, open: usize) -> bool {
        self.intake.has_most(open)
    }

    fn checks_idle(&self) -> bool {
        true
    }

    fn idle_limits(&mut self, busy: usize) -> Option<IdleLimits> {
        self.intake.record_busy(busy);
        self.state.set_full(self.intake.is_full());
        let routes = self.state.routes()?;
        let limits = routes.limits();
        Some(IdleLimits {
            idle: Span::from_micros((limits.idle.as_micros() as f64 * IDLE_SHARE) as u64),
            header: limits.header_time,
            stall: routes.longest_timeout().max(MIN_STALL_LIMIT),
        })
    }
}
