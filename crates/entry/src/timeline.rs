//! Collects the events of every process that this one knows, for operators.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use trillium::{async_trait, Conn, Handler, KnownHeaderName, Method};

use snipemast_callers::ask::bearer;
use snipemast_callers::problem::{Problem, ProblemKind};
use snipemast_config::Role;
use snipemast_core::prelude::*;
use snipemast_membership::timeline::{Merge, Missing, Next, Page, PageRequest, MAX_PAGE_RECORDS};
use snipemast_membership::Node;
use snipemast_operators::authorize;
use snipemast_operators::timeline::{Asked, Timeline, PATH};
use snipemast_wire::gossip::{self, Packed};
use snipemast_wire::{spawn, Peer};

use crate::shared::Shared;

/// The most events that are brought together; a narrower question shows the rest.
const MAX_RECORDS: usize = 50_000;
/// How long a process may take to send its events.
const TIMEOUT: Span = Span::from_secs(2);

/// Serves the time line to operators, and leaves every other path to whoever comes next.
#[derive(Debug)]
pub struct TimelineHandler {
    shared: Arc<Shared>,
}

impl TimelineHandler {
    /// Serves it from this state.
    pub fn new(shared: Arc<Shared>) -> Self {
        Self { shared }
    }

    async fn answer(&self, conn: &Conn) -> Result<Timeline, Problem> {
        let key = bearer(conn)?;
        let control = self.shared.settings.control.as_ref();
        let first = control.and_then(|c| c.operator.as_ref());
        authorize(&self.shared.config(), first, &key, Role::Read)
            .map_err(|denied| Problem::new(ProblemKind::Unauthorized, denied))?;
        let asked =
            Asked::read(conn.querystring()).map_err(|e| Problem::new(ProblemKind::Malformed, e))?;
        Ok(collect(&self.shared, &asked).await)
    }
}

#[async_trait]
impl Handler for TimelineHandler {
    async fn run(&self, conn: Conn) -> Conn {
        if conn.path() != PATH || conn.method() != Method::Get {
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

/// Asks every known process for its events, page by page, and merges them by their causes.
pub async fn collect(shared: &Shared, asked: &Asked) -> Timeline {
    let since = asked.from(shared.journal.ring().clock().tick());
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
                let reached = feed(shared, &mut merge, &sources, asked, since).await;
                timeline.reached.extend(reached);
            }
            Next::End => break,
        }
    }
    timeline.more = timeline.records.len() == MAX_RECORDS;
    // A process that is known by two addresses answers twice.
    timeline.records.dedup();
    timeline.reached.sort();
    timeline.reached.dedup();
    timeline.unreachable = merge.missing().map(described).collect();
    timeline
}

/// A process that is unreachable, with what its peers saw of it last.
fn described(missing: &Missing) -> String {
    match missing.seen.last() {
        Some(seen) => format!("{} (last seen: {seen})", missing.process),
        None => missing.process.clone(),
    }
}

/// A process whose events are asked for.
struct Source {
    name: String,
    /// The way to it, or nothing for this process.
    peer: Option<Arc<Peer>>,
}

/// Fetches every page that the merge needs now, all at once.
async fn feed(
    shared: &Shared,
    merge: &mut Merge,
    sources: &[Source],
    asked: &Asked,
    since: Stamp,
) -> Vec<ProcessId> {
    let needed: Vec<_> = merge.needed().collect();
    let mut asking = Vec::new();
    for (place, after) in needed {
        let ask = PageRequest {
            after: after.max(since),
            limit: MAX_PAGE_RECORDS,
            about: asked.request.clone(),
        };
        match &sources[place].peer {
            Some(peer) => asking.push((place, spawn(fetch(Arc::clone(peer), ask)))),
            None => merge.feed(place, Page::answer(shared.journal.ring(), &ask)),
        }
    }
    let mut reached = vec![shared.process.clone()];
    for (place, task) in asking {
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

async fn fetch(peer: Arc<Peer>, ask: PageRequest) -> Option<Page> {
    let packed: Packed = peer
        .call_fresh(gossip::path::PAGE, &Packed::new(&ask), TIMEOUT)
        .await
        .ok()?;
    packed.unpack().ok()
}

/// This process, the agents that announced themselves, and the entry hosts of settings and gossip.
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
    for (address, process) in shared.gossip.look(rows).unwrap_or_default() {
        let peer = Arc::new(Peer::new(address));
        known.insert(address, (process.to_string(), peer));
    }
    for member in shared.registry.members() {
        let name = member.announce.agent.to_string();
        known.insert(member.peer.address(), (name, Arc::clone(&member.peer)));
    }
    known.remove(&settings.own);
    let itself = Source {
        name: shared.process.to_string(),
        peer: None,
    };
    let others = known.into_values().map(|(name, peer)| Source {
        name,
        peer: Some(peer),
    });
    std::iter::once(itself)
        .chain(others.filter(|source| source.name != shared.process.to_string()))
        .collect()
}
