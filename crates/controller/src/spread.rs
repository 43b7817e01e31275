//! What gateways and other controllers poll, and what this controller learns by polling.

use std::net::SocketAddr;
use std::sync::Arc;

use snipemast_core::prelude::*;
use snipemast_feed::Sink;
use snipemast_net::exec::pause;
use snipemast_registry::news::RawDocument;
use snipemast_registry::{Cursor, News, Poll, PollerKind};

use crate::state::State;

/// How long a poll of another controller waits for news; with it come the times at which servers
/// were heard there, so it is below the pause between two heartbeats.
const PEER_WAIT: Span = Span::from_millis(800);

/// Answers a poll, as soon as there is news or its wait is over.
pub(crate) async fn answer(state: &State, poll: Poll) -> News {
    if state.pollers.lock().record(state.clock.now(), &poll) {
        state.announce();
    }
    state.take_limits(&poll.host, &poll.demands);
    state.take_leaving(&poll.host, &poll.leaving);
    state.wait(poll.wait, |s| has_news(s, &poll)).await;
    let now = state.clock.now();
    let cursor = state.cursor();
    let after = match (poll.kind, poll.cursor.epoch == state.epoch) {
        (PollerKind::Gateway | PollerKind::Sidecar, true) => poll.cursor.revision,
        // Controllers learn of every heartbeat, so that none takes a server for silent.
        _ => 0,
    };
    let version = state.voter.version();
    let document = (poll.wants_document && version > poll.version)
        .then(|| state.voter.document())
        .flatten();
    let grants = match poll.kind {
        PollerKind::Gateway => state.grant(&poll.demands),
        PollerKind::Controller | PollerKind::Sidecar => None,
    };
    let pollers = state.pollers.lock();
    let (flying, age) = match poll.kind {
        PollerKind::Gateway => pollers.in_flight(now, &poll.host),
        PollerKind::Controller | PollerKind::Sidecar => Default::default(),
    };
    News {
        cursor,
        entries: state.table.lock().since(after, now),
        version,
        document: document.map(|d| RawDocument(d.text)),
        zone: state.settings.zone.clone(),
        controllers: state.controllers(),
        leader: state.voter.leader().map(|(address, _)| address),
        gateways: pollers.gateway_count(now),
        slow: pollers.slow_servers(now),
        silent: pollers.silent_servers(now),
        grants,
        in_flight: flying,
        age,
    }
}

fn has_news(state: &State, poll: &Poll) -> bool {
    let cursor = state.cursor();
    let version = state.voter.version();
    poll.cursor.epoch != cursor.epoch
        || poll.cursor.revision < cursor.revision
        || version > poll.told
        || (poll.wants_document && version > poll.version)
}

/// Learns from the other controllers.
#[derive(Debug)]
pub(crate) struct Peers {
    state: Arc<State>,
    cursors: parking_lot::Mutex<std::collections::HashMap<SocketAddr, Cursor>>,
}

impl Peers {
    pub(crate) fn new(state: Arc<State>) -> Arc<Self> {
        Arc::new(Self {
            state,
            cursors: Default::default(),
        })
    }
}

impl Sink for Peers {
    fn poll(&self, controller: SocketAddr) -> Poll {
        let cursor = self.cursors.lock().get(&controller).copied();
        Poll {
            version: Version(u64::MAX),
            told: Version(u64::MAX),
            cursor: cursor.unwrap_or_default(),
            wait: PEER_WAIT,
            ..Poll::new(self.state.settings.host.clone(), PollerKind::Controller)
        }
    }

    fn take(&self, controller: SocketAddr, news: News) {
        self.cursors.lock().insert(controller, news.cursor);
        let now = self.state.clock.now();
        self.state.change(|table| {
            let place = table.revision();
            for entry in news.entries {
                let (id, standing) = (entry.announcement.id.clone(), entry.standing);
                if table.merge_standing(now, entry) {
                    self.state.journal.record(
                        Event::MemberJoined,
                        id,
                        format_args!("{standing:?}, by {controller}"),
                    );
                }
            }
            table.revision() > place
        });
    }

    async fn settle(&self, _: SocketAddr) {
        /// Two tables that differ tell each other every change; this bounds how fast.
        const PACE: Span = Span::from_millis(20);
        pause(PACE).await;
    }
}
