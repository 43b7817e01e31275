//! Servers whose answers announce that they are leaving, whatever their heartbeats announce.

use snipemast_core::data;
use snipemast_core::prelude::*;
use snipemast_core::starts::StartMap;

/// How long a leaving start is kept after the table has dropped it, because a later update may
/// contain it again.
const RETENTION: Span = Span::from_secs(3_600);

/// The largest number of starts that are remembered.
const MAX_STARTS: usize = 4_096;

data! {
    /// A start of a server that is leaving, as a gateway reports it.
    pub struct LeavingServer {
        /// The server.
        pub server: ServerId,
        /// The start of the server.
        pub start: Incarnation,
        /// How long ago an answer of the server first announced it.
        pub age: Span,
    }
}

/// The starts of servers that are leaving. None of them ever becomes ready again.
#[derive(Debug, Clone, Default)]
pub(crate) struct LeavingServers {
    known: StartMap<Notice>,
}

/// What is known of a start that is leaving.
#[derive(Debug, Clone)]
struct Notice {
    /// When an answer of the start first announced it.
    first: Moment,
    /// Whether a controller has it.
    reported: bool,
}

impl LeavingServers {
    /// Records when a start announced that it is leaving; returns whether that changed anything.
    pub(crate) fn record(
        &mut self,
        first: Moment,
        server: &ServerId,
        start: Incarnation,
        reported: bool,
    ) -> bool {
        if let Some(notice) = self.known.get_mut(server, start) {
            notice.first = notice.first.min(first);
            notice.reported |= reported;
            return false;
        }
        self.known.insert(server, start, Notice { first, reported });
        self.known.evict_lowest(MAX_STARTS, |notice| notice.first);
        true
    }

    /// Returns when a start first announced that it is leaving, if it did.
    pub(crate) fn leaving_since(&self, server: &ServerId, start: Incarnation) -> Option<Moment> {
        self.known.get(server, start).map(|notice| notice.first)
    }

    /// Returns the starts that no controller is known to have.
    pub(crate) fn unreported(&self, now: Moment) -> impl Iterator<Item = LeavingServer> + '_ {
        let unreported = self.known.iter().filter(|(_, _, notice)| !notice.reported);
        unreported.map(move |(server, start, notice)| LeavingServer {
            server: server.clone(),
            start,
            age: now.since(notice.first),
        })
    }

    /// Forgets the starts that left long ago, except for those that `is_known` returns true for.
    pub(crate) fn forget(
        &mut self,
        now: Moment,
        is_known: impl Fn(&ServerId, Incarnation) -> bool,
    ) {
        let recent = |notice: &Notice| now < notice.first + RETENTION;
        self.known
            .retain(|server, start, notice| recent(notice) || is_known(server, start));
    }
}
