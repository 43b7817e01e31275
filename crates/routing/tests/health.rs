//! Ejection, slow start and stalls.

mod common;

use common::{facts, host, router, service, CALM};
use snipemast_core::prelude::*;
use snipemast_routing::{EjectionCause, Notice, Query, RequestEnd, Router, ServerIndex};

const COUNT: usize = 6;

fn pool() -> (Router, Vec<ServerIndex>) {
    let mut router = router();
    let slots = (0..COUNT)
        .map(|n| router.upsert(CALM, facts(n, "a"), false))
        .collect();
    (router, slots)
}

fn fail(router: &mut Router, now: Moment, slot: ServerIndex, times: usize) {
    let agent = router.agent(slot).expect("it has an agent").clone();
    for _ in 0..times {
        router.record_sent(now, slot);
        router.record_end(now, slot, &agent, RequestEnd::Failed);
    }
}

/// How many of some choices fall on a server, without anything sent.
fn drawn(router: &mut Router, now: Moment, slot: ServerIndex) -> usize {
    let wanted = service("a");
    let choices = (0..200).filter_map(|_| router.choose(now, &Query::new(&wanted)).ok());
    choices.filter(|c| c.server == slot).count()
}

#[test]
fn failures_eject() {
    // A server fails each request at once. It has nothing in flight, looks like the least loaded
    // of all, and draws more and more requests to their failure.
    let (mut router, slots) = pool();
    fail(&mut router, CALM, slots[0], 5);
    assert_eq!(drawn(&mut router, CALM, slots[0]), 0);
    let ejected = Notice::Ejected("server-0".parse().expect("a name"), EjectionCause::Failures);
    assert!(router.take_notices().contains(&ejected));
    let later = CALM + Span::from_secs(8);
    assert!(drawn(&mut router, later, slots[0]) > 0);
}

#[test]
fn share_kept() {
    // Something common to all servers breaks, and every one fails in a row. Were they all
    // ejected, nothing would be left to answer when it heals.
    let (mut router, slots) = pool();
    for &slot in &slots {
        fail(&mut router, CALM, slot, 20);
    }
    assert_eq!(router.ejected(CALM).len(), 2);
}

#[test]
fn stall_ejects() {
    // A server answers its health checks and reports a short queue, but makes no step: each
    // request that it draws waits until its deadline.
    let (mut router, slots) = pool();
    for &slot in &slots {
        router.record_first(CALM, slot, Span::from_millis(100));
        router.record_sent(CALM, slot);
    }
    let later = CALM + Span::from_millis(1_100);
    for &slot in &slots[1..] {
        router.record_progress(later, slot);
    }
    router.record_load(later, &host(0), &LoadReport::default());
    drawn(&mut router, later, slots[0]);
    assert_eq!(drawn(&mut router, later, slots[0]), 0);
    assert_eq!(router.ejected(later).len(), 1);
}

#[test]
fn slow_is_not_stalled() {
    // Answers of a pool usually take seconds to begin; a bound on the time alone would eject
    // every server that thinks.
    let (mut router, slots) = pool();
    for &slot in &slots {
        router.record_first(CALM, slot, Span::from_secs(3));
        router.record_sent(CALM, slot);
    }
    let later = CALM + Span::from_secs(4);
    drawn(&mut router, later, slots[0]);
    assert!(router.ejected(later).is_empty());
}

#[test]
fn slow_start() {
    // A server comes back from a restart with nothing in flight and a cold cache. As the least
    // loaded of all it would get every request at once.
    let (mut router, slots) = pool();
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
    assert_eq!(drawn(&mut router, CALM, slots[0]), 0);
    let later = CALM + Span::from_secs(5);
    assert!(drawn(&mut router, later, slots[0]) > 20);
}

#[test]
fn cold_wave() {
    // In a wave of restarts most servers are cold at some time. Sparing them at any price would
    // fill up the few warm ones until requests wait there.
    let (mut router, slots) = pool();
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
    assert_eq!(drawn(&mut router, CALM, slots[0]), 0);
}

#[test]
fn reused_slot() {
    // A server leaves while a request runs there, and another takes its slot in the table. The
    // late end of the first must not count against the second.
    let (mut router, slots) = pool();
    let gone = facts(0, "a").agent;
    router.record_sent(CALM, slots[0]);
    router.remove(&host(0));
    let slot = router.upsert(CALM, facts(9, "a"), false);
    assert_eq!(slot, slots[0]);
    for _ in 0..10 {
        router.record_end(CALM, slot, &gone, RequestEnd::Failed);
    }
    assert!(router.ejected(CALM).is_empty());
}
