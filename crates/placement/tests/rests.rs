//! What a gateway sends to servers that asked it for rest.

mod common;

use quickcheck::quickcheck;

use snipemast_core::prelude::*;
use snipemast_placement::allowances::Granted;
use snipemast_placement::choice::{AnnouncedServer, Unplaced};
use snipemast_placement::{Rests, ServerFault, Servers};

use common::{at, choose, has_free, id, offered};

const REST: Span = Span::from_secs(3);

/// The latest end of a rest of 3 s.
const LATEST: u64 = 3_750;

/// How long a request that nothing is seen of keeps others away.
const LOST: u64 = 500;

/// A gateway that knows so many servers, each of the first start.
fn servers(count: usize) -> Servers {
    let mut servers = Servers::new(ZoneId::new("a").unwrap());
    servers.set_announced((1..=count).map(offered).collect());
    servers
}

fn is_chosen(servers: &mut Servers, now: Moment) -> bool {
    choose(servers, now).is_ok()
}

fn rest(servers: &mut Servers, now: Moment, span: Span) {
    servers.note_rest(now, &id(1), Incarnation(1), span);
}

/// A server that wants nothing is sent requests, or one that does not rest is left out with it.
#[test]
fn rests_are_kept() {
    let mut servers = servers(2);
    rest(&mut servers, at(0), REST);
    for millis in [0, 60, 400, 2_999] {
        let choice = choose(&mut servers, at(millis)).unwrap();
        assert_eq!((choice.server, choice.rested), (id(2), 1));
        servers.release(&id(2), Incarnation(1));
    }
}

/// A gateway sends to the only server, which rests, rather than refuse.
#[test]
fn none_is_left() {
    let mut servers = servers(1);
    rest(&mut servers, at(0), REST);
    let unplaced = choose(&mut servers, at(100)).unwrap_err();
    assert_eq!(unplaced, Unplaced::AllResting);
    let service = offered(1).pool.service;
    let opens = servers.opens(at(100), &service).unwrap();
    assert!(opens >= at(3_000) && opens <= at(LATEST), "{opens}");
    assert!(is_chosen(&mut servers, opens));
}

/// A request that was answered well, a shorter rest, or none, ends a rest before its time.
#[test]
fn longest_end_holds() {
    let mut servers = servers(1);
    rest(&mut servers, at(0), REST);
    servers.note_taken(at(0), &id(1), Incarnation(1));
    servers.note_success(&id(1), Incarnation(1));
    servers.record_fault(at(10), &id(1), Incarnation(1), ServerFault::Full);
    for span in [0, 1, 500] {
        rest(&mut servers, at(20), Span::from_millis(span));
    }
    servers.note_reachable(at(30), &id(1));
    assert!(!is_chosen(&mut servers, at(2_999)));
}

/// A server that is off the news for a moment, or has moved, is sent requests in its rest.
#[test]
fn rest_outlives_news() {
    let mut servers = servers(1);
    rest(&mut servers, at(0), REST);
    servers.set_announced(Vec::new());
    servers.set_announced(vec![offered(1)]);
    assert!(!is_chosen(&mut servers, at(2_999)));
    let address = "10.0.0.9:80".parse().unwrap();
    let moved = AnnouncedServer {
        address,
        ..offered(1)
    };
    servers.set_announced(vec![moved]);
    assert!(!is_chosen(&mut servers, at(2_999)));
}

/// A server that started again is kept from requests by the rest of its earlier start.
#[test]
fn new_start_is_fresh() {
    let mut servers = servers(1);
    rest(&mut servers, at(0), REST);
    servers.set_announced(vec![AnnouncedServer {
        start: Incarnation(2),
        ..offered(1)
    }]);
    assert!(is_chosen(&mut servers, at(10)));
    rest(&mut servers, at(20), REST);
    assert!(is_chosen(&mut servers, at(30)), "its earlier start's word");
}

/// All that was held back in a rest reaches the server at its end.
#[test]
fn one_comes_first() {
    let mut servers = servers(1);
    rest(&mut servers, at(0), REST);
    let now = at(LATEST);
    assert!(is_chosen(&mut servers, now));
    assert_eq!(choose(&mut servers, now).unwrap_err(), Unplaced::AllResting);
    assert!(servers.note_taken(now, &id(1), Incarnation(1)));
    assert!(is_chosen(&mut servers, now));
    assert!(is_chosen(&mut servers, now));
    assert!(!is_chosen(&mut servers, now));
}

/// The one request after a rest is lost, and the server gets none for good.
#[test]
fn lost_one_followed() {
    let mut servers = servers(1);
    rest(&mut servers, at(0), REST);
    for millis in [LATEST, LATEST + LOST, LATEST + 2 * LOST] {
        assert!(is_chosen(&mut servers, at(millis)));
        assert!(!is_chosen(&mut servers, at(millis + LOST - 1)));
    }
}

/// A server takes as many as it runs at once again, and still gets a few only.
#[test]
fn rest_is_over() {
    let mut rests = Rests::new(1);
    rests.note(at(0), &id(1), Incarnation(1), REST);
    for taken in 0..4 {
        assert_eq!(rests.opens(at(LATEST), &id(1), Incarnation(1)), None);
        rests.spend(at(LATEST), &id(1), Incarnation(1));
        let first = rests.note_taken(at(LATEST), &id(1), Incarnation(1), 4);
        assert_eq!(first, taken == 0);
    }
    for _ in 0..20 {
        rests.spend(at(LATEST), &id(1), Incarnation(1));
        assert_eq!(rests.opens(at(LATEST), &id(1), Incarnation(1)), None);
    }
}

/// A server is turned away from again after a rest, without another one, and gets what it had shown to take.
#[test]
fn turned_away_again() {
    let mut servers = servers(1);
    rest(&mut servers, at(0), REST);
    let now = at(LATEST);
    assert!(is_chosen(&mut servers, now));
    servers.note_taken(now, &id(1), Incarnation(1));
    servers.record_fault(now, &id(1), Incarnation(1), ServerFault::Full);
    assert!(!is_chosen(&mut servers, at(LATEST + LOST - 1)));
    assert!(is_chosen(&mut servers, at(LATEST + LOST)));
}

/// A gateway asks for grants of a server that rests, or spends one there.
#[test]
fn grants_wait_for_rest() {
    let mut servers = servers(1);
    servers.set_limits(at(0), vec![(id(1), Rate::per_second(1))]);
    assert!(!is_chosen(&mut servers, at(0)));
    assert_eq!(servers.demand(at(10), &id(1)), 1);
    rest(&mut servers, at(20), REST);
    assert_eq!(servers.demand(at(30), &id(1)), 0);
    let granted = Granted {
        count: 1,
        due: true,
        until: at(9_000),
    };
    servers.set_grants(at(40), [(id(1), granted)].into_iter());
    assert!(!is_chosen(&mut servers, at(50)));
    assert!(is_chosen(&mut servers, at(LATEST)));
}

/// A stream moves to a server that rests, or one that rests is asked how it is.
#[test]
fn resting_is_no_place() {
    let mut servers = servers(1);
    rest(&mut servers, at(0), REST);
    assert!(!has_free(&servers, at(10)));
    assert!(!servers.asks(at(10), &id(1)));
}

/// Overload turns 149 gateways away within a moment, and all of them are back within a moment after it.
#[test]
fn gateways_come_apart() {
    let mut ends: Vec<Moment> = (0..149)
        .map(|seed| {
            let mut rests = Rests::new(seed);
            let now = at(seed % 10);
            rests.note(now, &id(1), Incarnation(1), REST);
            rests.opens(now, &id(1), Incarnation(1)).unwrap()
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

/// Servers that ask for a day of rest and start again without end fill the memory.
#[test]
fn memory_is_bounded() {
    const MOST: usize = 4_096;
    let mut rests = Rests::new(1);
    let day = Span::from_secs(86_400);
    for number in 0..2 * MOST {
        rests.note(at(number as u64), &id(number), Incarnation(1), day);
    }
    let now = at(2 * MOST as u64);
    let known = (0..2 * MOST).filter(|n| rests.is_resting(now, &id(*n), Incarnation(1)));
    assert_eq!(known.count(), MOST);
}

quickcheck! {
    /// Whatever comes in between, nothing is sent before the latest end that was asked for.
    fn never_too_soon(words: Vec<(u16, u16, u8)>) -> bool {
        let mut servers = servers(1);
        let (mut now, mut until) = (at(0), Moment::ZERO);
        words.into_iter().all(|(pause, span, word)| {
            now = now + Span::from_millis(u64::from(pause) % 400);
            let span = Span::from_millis(u64::from(span) % 4_000);
            match word % 6 {
                0 => {
                    rest(&mut servers, now, span);
                    until = until.max(now + span);
                }
                1 => servers.release(&id(1), Incarnation(1)),
                2 => drop(servers.note_taken(now, &id(1), Incarnation(1))),
                3 => drop(servers.record_fault(now, &id(1), Incarnation(1), ServerFault::Full)),
                4 => drop(servers.set_announced(Vec::new())),
                _ => drop(servers.set_announced(vec![offered(1)])),
            }
            let chosen = is_chosen(&mut servers, now);
            !chosen || now >= until
        })
    }
}
