//! Open connections to servers.

use std::collections::HashMap;
use std::net::SocketAddr;

use parking_lot::Mutex;

use snipemast_core::prelude::*;
use snipemast_net::Connection;

/// How long a connection is kept where the server states no idle time.
const UNSTATED: Span = Span::from_millis(1_000);

/// How long before the server's idle time a connection is given up, so that none is closed
/// there while a request is on its way.
const MARGIN: Span = Span::from_millis(700);

/// The most idle connections that are kept to one server: a gateway's share of a server's slots.
const KEPT: usize = 12;

/// Idle connections, by server.
#[derive(Debug, Default)]
pub(crate) struct Connections {
    idle: Mutex<HashMap<SocketAddr, Vec<Idle>>>,
}

#[derive(Debug)]
struct Idle {
    connection: Connection,
    until: Moment,
}

impl Connections {
    /// A connection that can take a request now, the one that was used last first.
    pub(crate) fn take(&self, now: Moment, address: SocketAddr) -> Option<Connection> {
        let mut idle = self.idle.lock();
        let kept = idle.get_mut(&address)?;
        kept.retain(|i| now < i.until && i.connection.is_ready());
        kept.pop().map(|i| i.connection)
    }

    /// Keeps a connection whose last answer was read in whole.
    pub(crate) fn put(
        &self,
        now: Moment,
        address: SocketAddr,
        connection: Connection,
        idle: Option<Span>,
    ) {
        let span = idle.map_or(UNSTATED, |i| {
            Span::from_micros(i.as_micros().saturating_sub(MARGIN.as_micros()))
        });
        if span == Span::default() {
            return;
        }
        let mut pool = self.idle.lock();
        let kept = pool.entry(address).or_default();
        kept.retain(|i| now < i.until);
        if kept.len() < KEPT {
            kept.push(Idle {
                connection,
                until: now + span,
            });
        }
    }

    /// Closes what was idle for too long.
    pub(crate) fn expire(&self, now: Moment) {
        let mut idle = self.idle.lock();
        for kept in idle.values_mut() {
            kept.retain(|i| now < i.until && i.connection.is_ready());
        }
        idle.retain(|_, kept| !kept.is_empty());
    }

    /// Closes every idle connection to a server, one of which went silent or carried strange bytes.
    pub(crate) fn retire(&self, address: SocketAddr) {
        self.idle.lock().remove(&address);
    }
}
