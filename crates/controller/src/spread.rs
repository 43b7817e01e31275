//! Answers to the polls of gateways and other controllers, and this controller's own polls.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use parking_lot::Mutex;

use snipemast_core::prelude::*;
use snipemast_feed::FeedHandler;
use snipemast_net::exec::pause;
use snipemast_registry::crashes::{answer_crash_poll, has_crash_update};
use snipemast_registry::last_seen::LAST_SEEN_INTERVAL;
use snipemast_registry::relays::Coverage;
use snipemast_registry::updates::controllers_digest;
use snipemast_registry::{Cursor, Entry, Poll, PollerKind, SeenServer, Update};

use crate::state::State;

/// How long a poll of another controller waits for changes.
const PEER_WAIT: Span = Span::from_millis(800);

/// Answers a poll as soon as there are changes or its wait is over.
pub(crate) async fn answer_poll(state: &State, poll: Poll) -> Update {
    if state.pollers.lock().record(state.clock.now(), &poll) {
        state.notify_waiters();
    }
    state.merge_limits(&poll.host, &poll.demands);
    state.merge_leaving_servers(&poll.host, &poll.leaving);
    if let Some(update) = &poll.crashes {
        state.merge_crashes(&poll.host, update);
    }
    state.wait_until(poll.wait, |s| has_changes(s, &poll)).await;
    let now = state.clock.now();
    let changes = table_changes(state, &poll, now);
    let version = state.voter.version();
    let evacuations = has_newer_evacuations(state, &poll).then(|| state.voter.evacuations());
    let grants = match poll.kind {
        PollerKind::Gateway => state.grant(&poll.demands),
        PollerKind::Controller | PollerKind::Sidecar => None,
    };
    let suspects = match poll.kind {
        PollerKind::Gateway => state.suspects(now),
        PollerKind::Controller | PollerKind::Sidecar => Vec::new(),
    };
    let crashes = match poll.kind {
        PollerKind::Gateway => {
            let table = state.crashes.lock();
            answer_crash_poll(now, state.epoch, &table, poll.crashes.as_ref())
        }
        PollerKind::Controller | PollerKind::Sidecar => None,
    };
    let pollers = state.pollers.lock();
    let (in_flight, age) = match poll.kind {
        PollerKind::Gateway => pollers.in_flight(now, &poll.host),
        PollerKind::Controller | PollerKind::Sidecar => Default::default(),
    };
    Update {
        cursor: changes.cursor,
        entries: changes.entries,
        covered: changes.covered,
        last_seen: changes.last_seen,
        version,
        evacuations,
        zone: state.settings.zone.clone(),
        controllers: unknown_controllers(state, &poll),
        leader: state.voter.leader().map(|(address, _)| address),
        gateways: pollers.gateway_count(now),
        local_gateways: poll
            .zone
            .map_or(0, |zone| pollers.local_gateway_count(now, &zone)),
        slow: pollers.slow_servers(now),
        silent: pollers.silent_servers(now),
        suspects,
        grants,
        crashes,
        in_flight,
        age,
    }
}

/// What a poller lacks of the table.
struct TableChanges {
    cursor: Cursor,
    entries: Vec<Entry>,
    covered: Vec<Coverage>,
    last_seen: Vec<SeenServer>,
}

/// Returns what a poller lacks of the table.
///
/// Position and coverage are read before the entries, which then include at least that much.
fn table_changes(state: &State, poll: &Poll, now: Moment) -> TableChanges {
    let is_local = poll.zone.as_ref() == Some(&state.settings.zone);
    let covered = (is_local && !poll.without_entries).then(|| state.coverage());
    let cursor = state.cursor();
    let table = state.table.lock();
    let after = poll.after(state.epoch);
    let entries = (!poll.without_entries).then(|| table.since(after, now));
    let last_seen = poll.wants_last_seen.then(|| table.recent_servers(now));
    TableChanges {
        cursor,
        entries: entries.unwrap_or_default(),
        covered: covered.unwrap_or_default(),
        last_seen: last_seen.unwrap_or_default(),
    }
}

/// Returns the addresses of all controllers, or none if the poller knows them.
fn unknown_controllers(state: &State, poll: &Poll) -> Vec<SocketAddr> {
    let controllers = state.controllers();
    if controllers_digest(controllers.iter().copied()) == poll.controllers_digest {
        return Vec::new();
    }
    controllers
}

fn has_changes(state: &State, poll: &Poll) -> bool {
    let cursor = state.cursor();
    let version = state.voter.version();
    let revision = if poll.without_entries {
        state.table.lock().awaited_revision()
    } else {
        cursor.revision
    };
    poll.cursor.epoch != cursor.epoch
        || poll.cursor.revision < revision
        || version > poll.announced
        || has_newer_evacuations(state, poll)
        || has_newer_crashes(state, poll)
}

fn has_newer_crashes(state: &State, poll: &Poll) -> bool {
    let is_gateway = poll.kind == PollerKind::Gateway;
    is_gateway && has_crash_update(state.epoch, &state.crashes.lock(), poll.crashes.as_ref())
}

fn has_newer_evacuations(state: &State, poll: &Poll) -> bool {
    let newest = state.voter.evacuation_revision();
    poll.evacuations.is_some_and(|revision| revision < newest)
}

/// Merges the updates of the other controllers.
#[derive(Debug)]
pub(crate) struct Peers {
    state: Arc<State>,
    known: Mutex<HashMap<SocketAddr, Peer>>,
}

/// When another controller last listed the servers with recent heartbeats.
#[derive(Debug, Default)]
struct Peer {
    /// When it last listed the servers with recent heartbeats.
    listed: Option<Moment>,
    /// Whether the last poll asked it for that.
    asked: bool,
}

impl Peers {
    pub(crate) fn new(state: Arc<State>) -> Arc<Self> {
        Arc::new(Self {
            state,
            known: Mutex::default(),
        })
    }

    /// Merges a controller's entries and last heartbeats. Returns whether the table has
    /// all of these now.
    fn merge(&self, controller: SocketAddr, now: Moment, update: Update) -> bool {
        let mut complete = true;
        self.state.update_table(|table| {
            let revision = table.revision();
            for entry in update.entries {
                let (id, standing) = (entry.announcement.id.clone(), entry.standing);
                if table.merge_standing(now, entry) {
                    self.state.journal.record(
                        Event::MemberJoined,
                        id,
                        format_args!("{standing:?}, by {controller}"),
                    );
                }
            }
            complete = table.merge_last_seen(now, &update.last_seen);
            table.revision() > revision
        });
        complete
    }
}

impl FeedHandler for Peers {
    fn next_poll(&self, controller: SocketAddr) -> Poll {
        let now = self.state.clock.now();
        let cursor = self.state.covered.lock().get(&controller).copied();
        let mut known = self.known.lock();
        let peer = known.entry(controller).or_default();
        peer.asked = peer
            .listed
            .is_none_or(|listed| now >= listed + LAST_SEEN_INTERVAL);
        Poll {
            version: Version(u64::MAX),
            announced: Version(u64::MAX),
            cursor: cursor.unwrap_or_default(),
            incremental: true,
            wants_last_seen: peer.asked,
            wait: PEER_WAIT,
            ..Poll::new(self.state.settings.host.clone(), PollerKind::Controller)
        }
    }

    fn handle_update(&self, controller: SocketAddr, update: Update) {
        let now = self.state.clock.now();
        let cursor = update.cursor;
        let complete = self.merge(controller, now, update);
        let mut known = self.known.lock();
        let peer = known.entry(controller).or_default();
        if peer.asked {
            peer.listed = Some(now);
        }
        drop(known);
        // After a missed change the next poll asks for everything.
        let cursor = if complete { cursor } else { Cursor::default() };
        self.state.covered.lock().insert(controller, cursor);
    }

    async fn wait_after_update(&self, _: SocketAddr) {
        /// Two tables that differ send each other every change; this limits how often.
        const POLL_PAUSE: Span = Span::from_millis(20);
        pause(POLL_PAUSE).await;
    }
}
