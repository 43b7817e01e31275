//! Answers to the polls of gateways and other controllers, and this controller's own polls.

use std::net::SocketAddr;
use std::sync::Arc;

use snipemast_core::prelude::*;
use snipemast_feed::FeedHandler;
use snipemast_net::exec::pause;
use snipemast_registry::news::RawDocument;
use snipemast_registry::{Cursor, News, Poll, PollerKind};

use crate::state::State;

/// How long a poll of another controller waits for news. The answer also tells when servers were
/// last heard there, so this is below the interval between two heartbeats.
const PEER_WAIT: Span = Span::from_millis(800);

/// Answers a poll as soon as there is news or its wait is over.
pub(crate) async fn answer_poll(state: &State, poll: Poll) -> News {
    if state.pollers.lock().record(state.clock.now(), &poll) {
        state.notify_waiters();
    }
    state.merge_limits(&poll.host, &poll.demands);
    state.merge_leaving_servers(&poll.host, &poll.leaving);
    state.wait_until(poll.wait, |s| has_news(s, &poll)).await;
    let now = state.clock.now();
    let cursor = state.cursor();
    let after = match (poll.kind, poll.cursor.epoch == state.epoch) {
        (PollerKind::Gateway | PollerKind::Sidecar, true) => poll.cursor.revision,
        // Controllers learn of every heartbeat, so that none considers a server silent.
        _ => 0,
    };
    let version = state.voter.version();
    let document = (poll.wants_document && version > poll.version)
        .then(|| state.voter.document())
        .flatten();
    let evacuations = has_newer_evacuations(state, &poll).then(|| state.voter.evacuations());
    let grants = match poll.kind {
        PollerKind::Gateway => state.grant(&poll.demands),
        PollerKind::Controller | PollerKind::Sidecar => None,
    };
    let pollers = state.pollers.lock();
    let (in_flight, age) = match poll.kind {
        PollerKind::Gateway => pollers.in_flight(now, &poll.host),
        PollerKind::Controller | PollerKind::Sidecar => Default::default(),
    };
    News {
        cursor,
        entries: state.table.lock().since(after, now),
        version,
        document: document.map(|d| RawDocument(d.text)),
        evacuations,
        zone: state.settings.zone.clone(),
        controllers: state.controllers(),
        leader: state.voter.leader().map(|(address, _)| address),
        gateways: pollers.gateway_count(now),
        local_gateways: poll
            .zone
            .map_or(0, |zone| pollers.local_gateway_count(now, &zone)),
        slow: pollers.slow_servers(now),
        silent: pollers.silent_servers(now),
        grants,
        in_flight,
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
        || has_newer_evacuations(state, poll)
}

fn has_newer_evacuations(state: &State, poll: &Poll) -> bool {
    let newest = state.voter.evacuation_revision();
    poll.evacuations.is_some_and(|revision| revision < newest)
}

/// Merges the news of the other controllers.
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

impl FeedHandler for Peers {
    fn next_poll(&self, controller: SocketAddr) -> Poll {
        let cursor = self.cursors.lock().get(&controller).copied();
        Poll {
            version: Version(u64::MAX),
            told: Version(u64::MAX),
            cursor: cursor.unwrap_or_default(),
            wait: PEER_WAIT,
            ..Poll::new(self.state.settings.host.clone(), PollerKind::Controller)
        }
    }

    fn handle_news(&self, controller: SocketAddr, news: News) {
        self.cursors.lock().insert(controller, news.cursor);
        let now = self.state.clock.now();
        self.state.update_table(|table| {
            let revision = table.revision();
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
            table.revision() > revision
        });
    }

    async fn wait_after_news(&self, _: SocketAddr) {
        /// Two tables that differ send each other every change; this limits how often.
        const POLL_PAUSE: Span = Span::from_millis(20);
        pause(POLL_PAUSE).await;
    }
}
