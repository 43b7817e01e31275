//! Which requests begin first.

use snipemast_core::prelude::*;
use snipemast_placement::urgency::{LoadLimits, Patience, Urgency};

const OBJECTIVE: Span = Span::from_millis(400);

fn at(millis: u64) -> Moment {
    Moment::from_millis(millis)
}

/// A user's request arrives a second after an outage and waits behind all that came back after it: those are late
/// whenever they begin. It begins first, and the others are told by the time that their callers have left.
#[test]
fn late_ones_wait() {
    let mut patience = Patience::default();
    let mut spent = |now, left| patience.spent(at(now), "read", Span::from_millis(left));
    assert_eq!(spent(0, 8_000), Span::default());
    let back = spent(5_000, 5_300);
    assert_eq!(back, Span::from_millis(2_700));
    assert_eq!(Urgency::new(back, OBJECTIVE), Urgency::Late);
    assert_eq!(
        Urgency::new(spent(5_000, 7_990), OBJECTIVE),
        Urgency::InTime
    );
    assert_eq!(
        Urgency::new(Span::from_millis(300), OBJECTIVE),
        Urgency::Late
    );
    let room = LoadLimits::default();
    assert!(room.bound(Urgency::Late) < room.bound(Urgency::InTime));
    assert_eq!(room.bound(Urgency::Resumed), room.full);
}

/// A route's callers wait for less time than they used to: none of them is taken for one that came back for good.
#[test]
fn shorter_patience_learned() {
    let mut patience = Patience::default();
    patience.spent(at(0), "read", Span::from_secs(8));
    let spent = patience.spent(at(1_000), "read", Span::from_secs(4));
    assert_eq!(spent, Span::from_secs(4));
    let spent = patience.spent(at(31_000), "read", Span::from_secs(4));
    assert_eq!(spent, Span::default());
    assert_eq!(
        patience.spent(at(31_000), "write", Span::from_secs(1)),
        Span::default()
    );
}
