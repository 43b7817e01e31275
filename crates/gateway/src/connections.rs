//! The pool of idle connections to servers.

use std::collections::HashMap;
use std::net::SocketAddr;

use parking_lot::Mutex;

use snipemast_core::prelude::*;
use snipemast_net::Connection;

/// How long an idle connection is kept if the server states no idle time.
const DEFAULT_IDLE_TIME: Span = Span::from_millis(1_000);

/// How long before the server's idle time a connection is closed, so that the server doesn't close
/// it while a request is on its way.
const IDLE_MARGIN: Span = Span::from_millis(700);

/// The most idle connections that are kept to one server: a gateway's share of a server's slots.
const MAX_IDLE_PER_SERVER: usize = 12;

/// Idle connections by server.
#[derive(Debug, Default)]
pub(crate) struct ConnectionPool {
    idle: Mutex<HashMap<SocketAddr, Vec<IdleConnection>>>,
}

#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    until: Moment,
}

impl ConnectionPool {
    /// Takes a connection that can carry a request now, the most recently used one first.
    pub(crate) fn take(&self, now: Moment, address: SocketAddr) -> Option<Connection> {
        let mut idle = self.idle.lock();
        let kept = idle.get_mut(&address)?;
        kept.retain(|i| now < i.until && i.connection.is_ready());
        kept.pop().map(|i| i.connection)
    }

    /// Keeps a connection whose last answer was read in full.
    pub(crate) fn put(
        &self,
        now: Moment,
        address: SocketAddr,
        connection: Connection,
        idle: Option<Span>,
    ) {
        let span = idle.map_or(DEFAULT_IDLE_TIME, |i| {
            Span::from_micros(i.as_micros().saturating_sub(IDLE_MARGIN.as_micros()))
        });
        if span == Span::default() {
            return;
        }
        let mut pool = self.idle.lock();
        let kept = pool.entry(address).or_default();
        kept.retain(|i| now < i.until);
        if kept.len() < MAX_IDLE_PER_SERVER {
            kept.push(IdleConnection {
                connection,
                until: now + span,
            });
        }
    }

    /// Closes connections that have been idle for too long.
    pub(crate) fn expire(&self, now: Moment) {
        let mut idle = self.idle.lock();
        for kept in idle.values_mut() {
            kept.retain(|i| now < i.until && i.connection.is_ready());
        }
        idle.retain(|_, kept| !kept.is_empty());
    }

    /// Closes all idle connections to a server after one of them fell silent or carried unexpected
    /// bytes.
    pub(crate) fn close_idle(&self, address: SocketAddr) {
        self.idle.lock().remove(&address);
    }
}
