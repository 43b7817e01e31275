//! When requests come back whose servers all name limits, or rest.

use snipemast_core::prelude::*;
use snipemast_placement::outage::Waiting;
use snipemast_placement::returns::{Held, Returns};

const NOW: Moment = Moment::from_millis(50_000);

fn service() -> ServiceId {
    ServiceId::new("lector").unwrap()
}

/// A request that has just come, with three seconds left; nine gateways before servers that take so many a second.
fn held(limit: u64) -> Held {
    Held {
        waited: Span::default(),
        objective: Span::from_millis(400),
        left: Span::from_secs(3),
        opens: NOW,
        limit: Rate::per_second(limit),
        gateways: 9,
    }
}

/// All callers of a service in need are told to come back at the same time, and all but one come in vain.
#[test]
fn returns_are_spread() {
    let mut returns = Returns::default();
    let turns: Vec<Waiting> = (0..6)
        .map(|_| returns.turn(NOW, &service(), held(45)))
        .collect();
    let expected = [200, 400, 600, 800, 1_000, 1_000].map(Span::from_millis);
    let waits = expected[..2].iter().map(|span| Waiting::Queue(*span));
    let backs = expected[2..].iter().map(|span| Waiting::RetryLater(*span));
    assert_eq!(turns, waits.chain(backs).collect::<Vec<_>>());
}

/// A user who could be answered on time is sent back, or one who can't is held here.
#[test]
fn waits_only_on_time() {
    let mut returns = Returns::default();
    let late = Held {
        waited: Span::from_millis(300),
        ..held(45)
    };
    let turn = returns.turn(NOW, &service(), late);
    assert_eq!(turn, Waiting::RetryLater(Span::from_millis(200)));
}

/// The line of an hour ago holds nobody up, and a limit of nothing ends nobody's wait in a fault.
#[test]
fn line_moves_on() {
    let mut returns = Returns::default();
    for _ in 0..9 {
        returns.turn(NOW, &service(), held(45));
    }
    let later = NOW + Span::from_secs(2);
    let turn = returns.turn(later, &service(), held(45));
    assert_eq!(turn, Waiting::Queue(Span::from_millis(200)));
    let turn = returns.turn(later, &service(), held(0));
    assert_eq!(turn, Waiting::RetryLater(Span::from_secs(1)));
}

/// All callers of a service whose servers rest are told to come back before the first rest is over.
#[test]
fn returns_after_rest() {
    let mut returns = Returns::default();
    let mut turn = |opens: u64| {
        let opens = NOW + Span::from_millis(opens);
        returns.turn(NOW, &service(), Held { opens, ..held(45) })
    };
    assert_eq!(turn(100), Waiting::Queue(Span::from_millis(300)));
    assert_eq!(turn(100), Waiting::RetryLater(Span::from_millis(500)));
    assert_eq!(turn(60_000), Waiting::RetryLater(Span::from_secs(1)));
}
