//! How many steps ahead a group is held.

use snipemast_core::prelude::*;
use snipemast_groups::ahead::Ahead;

/// A group of 192 ranks that takes so long for a step and for an arming, in ms.
fn ahead(step: u64, arming: u64) -> u64 {
    let mut ahead = Ahead::new(192);
    for number in 0..40 {
        ahead.saw(Moment::from_millis(number * step), Step(number));
    }
    for _ in 0..5 {
        ahead.armed(Span::from_millis(arming));
    }
    ahead.steps()
}

/// A user's answer is late for one more pause after each shift: the ranks of a large group are armed in 60 ms, and
/// the group takes a whole uneven step of 150 ms besides, for fear of standing 12 ms.
#[test]
fn long_steps_held_next() {
    assert_eq!(ahead(150, 60), 1);
    assert_eq!(ahead(150, 30), 1);
}

/// A user sees streams pause at each new map: arming takes several short steps, and the group stands meanwhile.
#[test]
fn slow_armings_held_later() {
    assert_eq!(ahead(50, 60), 3);
    assert!(ahead(40, 300) >= 8);
}
