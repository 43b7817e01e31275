//! Tests of requests to servers that asked a gateway for rest.

mod common;

use quickcheck::quickcheck;

use snipemast_core::prelude::*;
use snipemast_placement::allowances::GrantLease;
use snipemast_placement::choice::{AnnouncedServer, Unplaced};
use snipemast_placement::{Rests, ServerFault, Servers};

use common::{announced, at, choose, has_free_slot, id};

const REST: Span = Span::from_secs(3);

/// The latest end of a rest of 3 s, in milliseconds.
const LATEST: u64 = 3_750;

/// How long an unanswered request keeps others away, in milliseconds.
const UNANSWERED_TIMEOUT: u64 = 500;

/// Returns a view of `count` servers, each at its first start.
fn servers(count: usize) -> Servers {
    let mut servers = Servers::new(ZoneId::new("a").unwrap());
    servers.set_announced(Moment::ZERO, (1..=count).map(announced).collect());
    servers
}

fn is_chosen(servers: &mut Servers, now: Moment) -> bool {
    choose(servers, now).is_ok()
}

fn rest(servers: &mut Servers, now: Moment, span: Span) {
    servers.record_rest(now, &id(1), Incarnation(1), span);
}

/// A resting server is sent requests, or a server that does not rest is skipped with it.
#[test]
fn rests_respected() {
    let mut servers = servers(2);
    rest(&mut servers, at(0), REST);
    for millis in [0, 60, 400, 2_999] {
        let choice = choose(&mut servers, at(millis)).unwrap();
        assert_eq!((choice.server, choice.skipped_resting), (id(2), 1));
        servers.release(&id(2), Incarnation(1));
    }
}

/// A gateway sends requests to the only server although it rests.
#[test]
fn sole_server_rests() {
    let mut servers = servers(1);
    rest(&mut servers, at(0), REST);
    let unplaced = choose(&mut servers, at(100)).unwrap_err();
    assert_eq!(unplaced, Unplaced::AllResting);
    let service = announced(1).pool.service;
    let next = servers.next_send(at(100), &service).unwrap();
    assert!(next >= at(3_000) && next <= at(LATEST), "{next}");
    assert!(is_chosen(&mut servers, next));
}

/// A request that was answered well, a shorter rest, or a refusal without one, ends a rest early.
#[test]
fn longest_end_holds() {
    let mut servers = servers(1);
    rest(&mut servers, at(0), REST);
    servers.record_accepted(at(0), &id(1), Incarnation(1));
    servers.record_success(&id(1), Incarnation(1));
    servers.record_fault(at(10), &id(1), Incarnation(1), ServerFault::Full);
    for span in [0, 1, 500] {
        rest(&mut servers, at(20), Span::from_millis(span));
    }
    servers.mark_reachable(at(30), &id(1));
    assert!(!is_chosen(&mut servers, at(2_999)));
}

/// A resting server that is missing from the news for a moment, or has moved, is sent requests.
#[test]
fn rest_outlives_news() {
    let mut servers = servers(1);
    rest(&mut servers, at(0), REST);
    servers.set_announced(Moment::ZERO, Vec::new());
    servers.set_announced(Moment::ZERO, vec![announced(1)]);
    assert!(!is_chosen(&mut servers, at(2_999)));
    let address = "10.0.0.9:80".parse().unwrap();
    let moved = AnnouncedServer {
        address,
        ..announced(1)
    };
    servers.set_announced(Moment::ZERO, vec![moved]);
    assert!(!is_chosen(&mut servers, at(2_999)));
}

/// A server that started again gets no requests because of the rest of its earlier start.
#[test]
fn new_start_unaffected() {
    let mut servers = servers(1);
    rest(&mut servers, at(0), REST);
    servers.set_announced(
        Moment::ZERO,
        vec![AnnouncedServer {
            start: Incarnation(2),
            ..announced(1)
        }],
    );
    assert!(is_chosen(&mut servers, at(10)));
    rest(&mut servers, at(20), REST);
    assert!(
        is_chosen(&mut servers, at(30)),
        "a rest of the earlier start was applied"
    );
}

/// All requests that were held back during a rest reach the server at its end.
#[test]
fn one_request_first() {
    let mut servers = servers(1);
    rest(&mut servers, at(0), REST);
    let now = at(LATEST);
    assert!(is_chosen(&mut servers, now));
    assert_eq!(choose(&mut servers, now).unwrap_err(), Unplaced::AllResting);
    assert!(servers.record_accepted(now, &id(1), Incarnation(1)));
    assert!(is_chosen(&mut servers, now));
    assert!(is_chosen(&mut servers, now));
    assert!(!is_chosen(&mut servers, now));
}

/// The one request after a rest is lost, and the server gets no requests ever after.
#[test]
fn lost_request_followed() {
    let mut servers = servers(1);
    rest(&mut servers, at(0), REST);
    for millis in [
        LATEST,
        LATEST + UNANSWERED_TIMEOUT,
        LATEST + 2 * UNANSWERED_TIMEOUT,
    ] {
        assert!(is_chosen(&mut servers, at(millis)));
        assert!(!is_chosen(
            &mut servers,
            at(millis + UNANSWERED_TIMEOUT - 1)
        ));
    }
}

/// A server accepts as many requests as it runs at once, and still gets only a few.
#[test]
fn rest_ends() {
    let mut rests = Rests::new(1);
    rests.record(at(0), &id(1), Incarnation(1), REST);
    for accepted in 0..4 {
        assert_eq!(rests.next_send(at(LATEST), &id(1), Incarnation(1)), None);
        rests.spend(at(LATEST), &id(1), Incarnation(1));
        let first = rests.record_accepted(at(LATEST), &id(1), Incarnation(1), 4);
        assert_eq!(first, accepted == 0);
    }
    for _ in 0..20 {
        rests.spend(at(LATEST), &id(1), Incarnation(1));
        assert_eq!(rests.next_send(at(LATEST), &id(1), Incarnation(1)), None);
    }
}

/// A server refuses a request again after a rest, without asking for another one, and still gets as
/// many requests as it accepted before.
#[test]
fn rejected_again() {
    let mut servers = servers(1);
    rest(&mut servers, at(0), REST);
    let now = at(LATEST);
    assert!(is_chosen(&mut servers, now));
    servers.record_accepted(now, &id(1), Incarnation(1));
    servers.record_fault(now, &id(1), Incarnation(1), ServerFault::Full);
    assert!(!is_chosen(
        &mut servers,
        at(LATEST + UNANSWERED_TIMEOUT - 1)
    ));
    assert!(is_chosen(&mut servers, at(LATEST + UNANSWERED_TIMEOUT)));
}

/// A gateway asks for grants for a resting server, or spends a grant there.
#[test]
fn grants_wait_for_rest() {
    let mut servers = servers(1);
    servers.set_limits(at(0), vec![(id(1), Rate::per_second(1))]);
    assert!(!is_chosen(&mut servers, at(0)));
    assert_eq!(servers.demand(at(10), &id(1)), 1);
    rest(&mut servers, at(20), REST);
    assert_eq!(servers.demand(at(30), &id(1)), 0);
    let granted = GrantLease {
        count: 1,
        due: true,
        until: at(9_000),
    };
    servers.add_grants(at(40), [(id(1), granted)].into_iter());
    assert!(!is_chosen(&mut servers, at(50)));
    assert!(is_chosen(&mut servers, at(LATEST)));
}

/// A stream moves to a resting server, or the health of a resting server is checked.
#[test]
fn resting_not_free() {
    let mut servers = servers(1);
    rest(&mut servers, at(0), REST);
    assert!(!has_free_slot(&servers, at(10)));
    assert!(!servers.begin_check(at(10), &id(1)));
}

/// An overloaded server refuses 149 gateways within a moment, and all of them come back within a
/// moment at the end of the rest.
#[test]
fn ends_are_spread() {
    let mut ends: Vec<Moment> = (0..149)
        .map(|seed| {
            let mut rests = Rests::new(seed);
            let now = at(seed % 10);
            rests.record(now, &id(1), Incarnation(1), REST);
            rests.next_send(now, &id(1), Incarnation(1)).unwrap()
        })
        .collect();
    ends.sort_unstable();
    assert!(ends[0] >= at(3_000));
    assert!(ends[148] <= at(LATEST + 10));
    let within = |first: &Moment| {
        let end = *first + Span::from_millis(100);
        ends.iter().filter(|at| *at >= first && **at < end).count()
    };
    let most = ends.iter().map(within).max().unwrap();
    assert!(most <= 149 / 3, "{most} in 100 ms");
}

/// Servers that ask for a day of rest and keep starting again fill the memory.
#[test]
fn memory_is_bounded() {
    const MOST: usize = 4_096;
    let mut rests = Rests::new(1);
    let day = Span::from_secs(86_400);
    for number in 0..2 * MOST {
        rests.record(at(number as u64), &id(number), Incarnation(1), day);
    }
    let now = at(2 * MOST as u64);
    let known = (0..2 * MOST).filter(|n| rests.is_resting(now, &id(*n), Incarnation(1)));
    assert_eq!(known.count(), MOST);
}

quickcheck! {
    /// Something between two rests makes the gateway send a request before the latest end that was
    /// asked for.
    fn never_sends_early(steps: Vec<(u16, u16, u8)>) -> bool {
        let mut servers = servers(1);
        let (mut now, mut until) = (at(0), Moment::ZERO);
        steps.into_iter().all(|(pause, span, step)| {
            now = now + Span::from_millis(u64::from(pause) % 400);
            let span = Span::from_millis(u64::from(span) % 4_000);
            match step % 6 {
                0 => {
                    rest(&mut servers, now, span);
                    until = until.max(now + span);
                }
                1 => servers.release(&id(1), Incarnation(1)),
                2 => drop(servers.record_accepted(now, &id(1), Incarnation(1))),
                3 => drop(servers.record_fault(now, &id(1), Incarnation(1), ServerFault::Full)),
                4 => drop(servers.set_announced(Moment::ZERO, Vec::new())),
                _ => drop(servers.set_announced(Moment::ZERO, vec![announced(1)])),
            }
            let chosen = is_chosen(&mut servers, now);
            !chosen || now >= until
        })
    }
}
