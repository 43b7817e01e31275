//! Prefix affinity.

mod common;

use std::collections::BTreeSet;

use common::{facts, router, service, workspace, CALM};
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
    // Two entries that exchange nothing must send a prefix to the same server, or each server
    // would compute it again.
    let mut here = pool(16);
    let mut there = pool(16);
    for n in 0..50 {
        let (a, b) = (choose(&mut here, Prefix(n)), choose(&mut there, Prefix(n)));
        assert_eq!(at(&here, a), at(&there, b));
    }
}

#[test]
fn shared_prompt() {
    // Many workspaces begin with the same long prompt of an application. If the prompt alone were
    // the key, all of them would be sent to one server.
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
    // The prompt of one workspace is so frequent that its server can't keep up. Requests must go to
    // other servers that have room, or they wait longer than the cache saves.
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
