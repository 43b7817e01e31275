//! Prefix affinity and cache hints.

mod common;

use std::collections::BTreeSet;

use common::{facts, host, router, service, workspace, CALM};
use snipemast_core::prelude::*;
use snipemast_routing::{Prefix, Query, Router, ServerIndex};

fn pool(count: usize) -> Router {
    let mut router = router();
    for n in 0..count {
        router.upsert(CALM, facts(n, "a"), false);
    }
    router
}

fn choose(router: &mut Router, prefix: Prefix) -> ServerIndex {
    let wanted = service("a");
    let query = Query::new(&wanted).with_prefix(Some(prefix));
    router
        .choose(CALM, &query)
        .expect("a server is there")
        .server
}

fn at(router: &Router, slot: ServerIndex) -> HostId {
    router.agent(slot).expect("it has an agent").host.clone()
}

#[test]
fn same_server() {
    // Two entries that never speak to each other send one prefix to the same server.
    let mut here = pool(16);
    let mut there = pool(16);
    for n in 0..50 {
        let (a, b) = (choose(&mut here, Prefix(n)), choose(&mut there, Prefix(n)));
        assert_eq!(at(&here, a), at(&there, b));
    }
}

#[test]
fn shared_prompt() {
    // Many workspaces begin with the same long prompt of an application. Were the prompt alone
    // the key, all of them would crowd one server.
    let mut router = pool(16);
    let servers: BTreeSet<_> = (0..64)
        .map(|n| {
            Prefix::new(
                &workspace(&format!("w-{n}")),
                b"You are a reader of bordereaux.",
            )
        })
        .map(|prefix| choose(&mut router, prefix))
        .collect();
    assert!(servers.len() > 10, "{}", servers.len());
}

#[test]
fn load_bound() {
    // One workspace's prompt is so popular that its server can't keep up. Requests must go
    // elsewhere while others have room, or they wait for a cache that saves less than the wait.
    let mut router = pool(8);
    let mut counts = vec![0; 8];
    for _ in 0..200 {
        let slot = choose(&mut router, Prefix(1));
        router.record_sent(CALM, slot);
        let n: usize = at(&router, slot).as_str()[5..].parse().expect("a number");
        counts[n] += 1;
    }
    assert!(counts.iter().all(|&c| c <= 32), "{counts:?}");
}

#[test]
fn hint_followed() {
    let mut router = pool(8);
    router.record_cache_event(&host(3), 1, Prefix(9), true);
    let slot = choose(&mut router, Prefix(9));
    assert_eq!(at(&router, slot), host(3));
    router.record_cache_event(&host(3), 2, Prefix(9), false);
    let elsewhere = choose(&mut pool(8), Prefix(9));
    assert_eq!(choose(&mut router, Prefix(9)), elsewhere);
}

#[test]
fn gap_drops_hints() {
    // Cache events are lost, the eviction of a prefix among them. Trusted on, the hint would send
    // the prefix to a server that computes it anew each time.
    let mut router = pool(8);
    let usual = choose(&mut router, Prefix(9));
    let other = if at(&router, usual) == host(3) { 4 } else { 3 };
    router.record_cache_event(&host(other), 1, Prefix(9), true);
    let hinted = choose(&mut router, Prefix(9));
    assert_eq!(at(&router, hinted), host(other));
    router.record_cache_event(&host(other), 5, Prefix(77), true);
    assert_eq!(choose(&mut router, Prefix(9)), usual);
}

#[test]
fn late_event() {
    // An event that was overtaken says that a prefix is held which has been evicted since.
    let mut router = pool(8);
    let usual = choose(&mut router, Prefix(9));
    let other = if at(&router, usual) == host(3) { 4 } else { 3 };
    router.record_cache_event(&host(other), 2, Prefix(9), false);
    router.record_cache_event(&host(other), 1, Prefix(9), true);
    assert_eq!(choose(&mut router, Prefix(9)), usual);
}

#[test]
fn answer_reconciles() {
    // An answer shows that nothing was cached, whatever the events said.
    let mut router = pool(8);
    let usual = choose(&mut router, Prefix(9));
    let other = if at(&router, usual) == host(3) { 4 } else { 3 };
    router.record_cache_event(&host(other), 1, Prefix(9), true);
    let hinted = choose(&mut router, Prefix(9));
    router.reconcile(hinted, Prefix(9), false);
    assert_eq!(choose(&mut router, Prefix(9)), usual);
}

#[test]
fn restart_forgets() {
    // An engine came up again with an empty cache.
    let mut router = pool(8);
    let usual = choose(&mut router, Prefix(9));
    let other = if at(&router, usual) == host(3) { 4 } else { 3 };
    router.record_cache_event(&host(other), 1, Prefix(9), true);
    let back = LoadReport {
        restarts: 1,
        ..LoadReport::default()
    };
    router.record_load(CALM, &host(other), &back);
    assert_eq!(choose(&mut router, Prefix(9)), usual);
}
