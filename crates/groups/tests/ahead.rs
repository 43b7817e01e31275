//! How many steps ahead a group is held.

use snipemast_core::prelude::*;
use snipemast_groups::ahead::HoldDistance;

/// Returns how many steps ahead a group of 192 ranks is held, given the durations of a step and of
/// an arming in ms.
fn steps_ahead(step: u64, arming: u64) -> u64 {
    let mut distance = HoldDistance::new(192);
    for number in 0..40 {
        distance.observe_step(Moment::from_millis(number * step), Step(number));
    }
    for _ in 0..5 {
        distance.record_arming(Span::from_millis(arming));
    }
    distance.steps()
}

/// Failure guarded against: a new map is late by a whole unbalanced step of 150 ms, although arming
/// takes 60 ms. Holding the group at the next step makes it stand still for only 12 ms on average.
#[test]
fn long_steps_held_next() {
    assert_eq!(steps_ahead(150, 60), 1);
    assert_eq!(steps_ahead(150, 30), 1);
}

/// Failure guarded against: streams pause at each new map, because arming takes several short steps
/// and the group is held at the next one.
#[test]
fn slow_armings_held_later() {
    assert_eq!(steps_ahead(50, 60), 3);
    assert!(steps_ahead(40, 300) >= 8);
}
