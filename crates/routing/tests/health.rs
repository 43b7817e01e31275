//! Ejection, slow start and stalls of servers.

mod common;

use common::{facts, host, router, service, CALM};
use snipemast_core::prelude::*;
use snipemast_routing::{EjectionCause, Notice, Query, RequestEnd, Router, ServerIndex};

const COUNT: usize = 6;

fn pool() -> (Router, Vec<ServerIndex>) {
    let mut router = router();
    let servers = (0..COUNT)
        .map(|n| router.upsert(CALM, facts(n, "a"), false))
        .collect();
    (router, servers)
}

fn fail(router: &mut Router, now: Moment, server: ServerIndex, times: usize) {
    let agent = router.agent(server).expect("it has an agent").clone();
    for _ in 0..times {
        router.record_sent(now, server);
        router.record_end(now, server, &agent, RequestEnd::Failed);
    }
}

/// Returns how many of 200 choices fall on a server, while no request is sent.
fn count_choices(router: &mut Router, now: Moment, server: ServerIndex) -> usize {
    let wanted = service("a");
    let choices = (0..200).filter_map(|_| router.choose(now, &Query::new(&wanted)).ok());
    choices.filter(|c| c.server == server).count()
}

#[test]
fn failures_eject() {
    // A server fails each request at once. It has nothing in flight, looks like the least loaded
    // one, and attracts more and more requests, which all fail.
    let (mut router, servers) = pool();
    fail(&mut router, CALM, servers[0], 5);
    assert_eq!(count_choices(&mut router, CALM, servers[0]), 0);
    let ejected = Notice::Ejected("server-0".parse().expect("a name"), EjectionCause::Failures);
    assert!(router.take_notices().contains(&ejected));
    let later = CALM + Span::from_secs(8);
    assert!(count_choices(&mut router, later, servers[0]) > 0);
}

#[test]
fn share_kept() {
    // Requests fail at every server for a reason common to all. If all servers were ejected, none
    // would be left to answer when the cause is gone.
    let (mut router, servers) = pool();
    for &server in &servers {
        fail(&mut router, CALM, server, 20);
    }
    assert_eq!(router.ejected(CALM).len(), 2);
}

#[test]
fn stall_ejects() {
    // A server answers its health checks and reports a short queue, but its engine makes no step.
    // Each request that is sent there waits until its deadline.
    let (mut router, servers) = pool();
    for &server in &servers {
        router.record_first(CALM, server, Span::from_millis(100));
        router.record_sent(CALM, server);
    }
    let later = CALM + Span::from_millis(1_100);
    for &server in &servers[1..] {
        router.record_progress(later, server);
    }
    router.record_load(later, &host(0), &LoadReport::default());
    count_choices(&mut router, later, servers[0]);
    assert_eq!(count_choices(&mut router, later, servers[0]), 0);
    assert_eq!(router.ejected(later).len(), 1);
}

#[test]
fn slow_is_not_stalled() {
    // The answers of a pool usually take seconds to begin. A fixed bound on the time would eject
    // every busy server.
    let (mut router, servers) = pool();
    for &server in &servers {
        router.record_first(CALM, server, Span::from_secs(3));
        router.record_sent(CALM, server);
    }
    let later = CALM + Span::from_secs(4);
    count_choices(&mut router, later, servers[0]);
    assert!(router.ejected(later).is_empty());
}

#[test]
fn slow_start() {
    // A server comes back from a restart with nothing in flight and a cold cache. As the least
    // loaded one it would get every request at once.
    let (mut router, servers) = pool();
    let busy = LoadReport {
        running: 8,
        ..LoadReport::default()
    };
    for n in 1..COUNT {
        router.record_load(CALM, &host(n), &busy);
    }
    let back = LoadReport {
        restarts: 1,
        ..LoadReport::default()
    };
    router.record_load(CALM, &host(0), &back);
    assert_eq!(count_choices(&mut router, CALM, servers[0]), 0);
    let later = CALM + Span::from_secs(5);
    assert!(count_choices(&mut router, later, servers[0]) > 20);
}

#[test]
fn restart_wave() {
    // In a wave of restarts most servers are cold for some time. If they got hardly any requests,
    // the few warm ones would fill up until requests wait there.
    let (mut router, servers) = pool();
    let full = LoadReport {
        running: 31,
        ..LoadReport::default()
    };
    router.record_load(CALM, &host(0), &full);
    for n in 1..COUNT {
        let back = LoadReport {
            restarts: 1,
            running: 10,
            ..LoadReport::default()
        };
        router.record_load(CALM, &host(n), &back);
    }
    assert_eq!(count_choices(&mut router, CALM, servers[0]), 0);
}

#[test]
fn reused_slot() {
    // A server leaves while requests run there, and another one gets its index in the table. The
    // late failures of the first must not count against the second.
    let (mut router, servers) = pool();
    let gone = facts(0, "a").agent;
    router.record_sent(CALM, servers[0]);
    router.remove(&host(0));
    let server = router.upsert(CALM, facts(9, "a"), false);
    assert_eq!(server, servers[0]);
    for _ in 0..10 {
        router.record_end(CALM, server, &gone, RequestEnd::Failed);
    }
    assert!(router.ejected(CALM).is_empty());
}
