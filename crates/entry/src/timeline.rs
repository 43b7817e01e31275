//! Collects the events of every known process, for operators.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use trillium::{async_trait, Conn, Handler, KnownHeaderName, Method};

use snipemast_callers::ask::read_bearer_key;
use snipemast_callers::problem::{Problem, ProblemKind};
use snipemast_config::Role;
use snipemast_core::prelude::*;
use snipemast_membership::timeline::{Merge, Missing, Next, Page, PageRequest, MAX_PAGE_RECORDS};
use snipemast_membership::Node;
use snipemast_operators::authorize;
use snipemast_operators::timeline::{Timeline, TimelineQuery, TIMELINE_PATH};
use snipemast_wire::gossip::{self, Packed};
use snipemast_wire::{spawn, Peer};

use crate::shared::Shared;

/// The most events in one timeline; a narrower query shows the others.
const MAX_RECORDS: usize = 50_000;
/// How long a process may take to send its events.
const PAGE_TIMEOUT: Span = Span::from_secs(2);

/// Serves the timeline to operators, and leaves every other path to the next handler.
#[derive(Debug)]
pub struct TimelineHandler {
    shared: Arc<Shared>,
}

impl TimelineHandler {
    /// Creates the handler over the shared state.
    pub fn new(shared: Arc<Shared>) -> Self {
        Self { shared }
    }

    async fn answer(&self, conn: &Conn) -> Result<Timeline, Problem> {
        let key = read_bearer_key(conn)?;
        let control = self.shared.settings.control.as_ref();
        let first = control.and_then(|c| c.operator.as_ref());
        authorize(&self.shared.config(), first, &key, Role::Read)
            .map_err(|error| Problem::new(ProblemKind::Unauthorized, error))?;
        let asked = TimelineQuery::read(conn.querystring())
            .map_err(|e| Problem::new(ProblemKind::Malformed, e))?;
        Ok(collect(&self.shared, &asked).await)
    }
}

#[async_trait]
impl Handler for TimelineHandler {
    async fn run(&self, conn: Conn) -> Conn {
        if conn.path() != TIMELINE_PATH || conn.method() != Method::Get {
            return conn;
        }
        match self.answer(&conn).await {
            Ok(timeline) => {
                let text = serde_json::to_string(&timeline).expect("records are plain data");
                conn.with_response_header(KnownHeaderName::ContentType, "application/json")
                    .ok(text)
            }
            Err(problem) => problem.answer(conn),
        }
    }
}

/// Fetches the events of every known process, page by page, and merges them in causal order.
pub async fn collect(shared: &Shared, asked: &TimelineQuery) -> Timeline {
    let since = asked.earliest_stamp(shared.journal.ring().clock().tick());
    let sources = sources(shared);
    let mut merge = Merge::new(sources.iter().map(|source| source.name.clone()));
    let mut timeline = Timeline {
        records: Vec::new(),
        reached: Vec::new(),
        unreachable: Vec::new(),
        more: false,
    };
    while timeline.records.len() < MAX_RECORDS {
        match merge.step() {
            Next::Record(record) => timeline.records.push(*record),
            Next::Need { .. } => {
                let reached = fetch_needed(shared, &mut merge, &sources, asked, since).await;
                timeline.reached.extend(reached);
            }
            Next::End => break,
        }
    }
    timeline.more = timeline.records.len() == MAX_RECORDS;
    // A process that is known under two addresses answers twice.
    timeline.records.dedup();
    timeline.reached.sort();
    timeline.reached.dedup();
    timeline.unreachable = merge.missing().map(describe_missing).collect();
    timeline
}

/// Describes an unreachable process, with the last that its peers saw of it.
fn describe_missing(missing: &Missing) -> String {
    match missing.seen.last() {
        Some(seen) => format!("{} (last seen: {seen})", missing.process),
        None => missing.process.clone(),
    }
}

/// A process whose events are fetched.
struct Source {
    name: String,
    /// The connections to the process, or `None` for this process.
    peer: Option<Arc<Peer>>,
}

/// Fetches all pages that the merge needs now in parallel, and returns the processes reached.
async fn fetch_needed(
    shared: &Shared,
    merge: &mut Merge,
    sources: &[Source],
    asked: &TimelineQuery,
    since: Stamp,
) -> Vec<ProcessId> {
    let needed: Vec<_> = merge.needed().collect();
    let mut pending = Vec::new();
    for (place, after) in needed {
        let ask = PageRequest {
            after: after.max(since),
            limit: MAX_PAGE_RECORDS,
            about: asked.request.clone(),
        };
        match &sources[place].peer {
            Some(peer) => pending.push((place, spawn(fetch_page(Arc::clone(peer), ask)))),
            None => merge.feed(place, Page::answer(shared.journal.ring(), &ask)),
        }
    }
    let mut reached = vec![shared.process.clone()];
    for (place, task) in pending {
        match task.await {
            Some(page) => {
                reached.push(page.process.clone());
                merge.feed(place, page);
            }
            None => merge.give_up(place),
        }
    }
    reached
}

async fn fetch_page(peer: Arc<Peer>, ask: PageRequest) -> Option<Page> {
    let packed: Packed = peer
        .call_fresh(gossip::path::PAGE, &Packed::new(&ask), PAGE_TIMEOUT)
        .await
        .ok()?;
    packed.unpack().ok()
}

/// Returns this process, the known agents, and the entry hosts of settings and membership.
fn sources(shared: &Shared) -> Vec<Source> {
    let settings = &shared.settings;
    let voters = settings.control.iter().flat_map(|c| &c.voters);
    let hosts = settings.seeds.iter().chain(voters);
    let mut known: BTreeMap<SocketAddr, (String, Arc<Peer>)> = hosts
        .map(|address| {
            (
                *address,
                (address.to_string(), Arc::new(Peer::new(*address))),
            )
        })
        .collect();
    let rows = |_, node: &Node| -> Vec<(SocketAddr, ProcessId)> {
        let cards = node.table().rows().values().map(|row| &row.card);
        cards
            .map(|card| (card.address, card.process.clone()))
            .collect()
    };
    for (address, process) in shared.gossip.with_node(rows).unwrap_or_default() {
        let peer = Arc::new(Peer::new(address));
        known.insert(address, (process.to_string(), peer));
    }
    for member in shared.registry.members() {
        let name = member.announce.agent.to_string();
        known.insert(member.peer.address(), (name, Arc::clone(&member.peer)));
    }
    known.remove(&settings.own);
    let own = Source {
        name: shared.process.to_string(),
        peer: None,
    };
    let others = known.into_values().map(|(name, peer)| Source {
        name,
        peer: Some(peer),
    });
    std::iter::once(own)
        .chain(others.filter(|source| source.name != shared.process.to_string()))
        .collect()
}
