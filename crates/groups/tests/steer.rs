//! The load of groups as routing needs it.

use snipemast_core::prelude::*;
use snipemast_groups::steer::{choose_group, GroupLoad};

fn group(skew: u32, requests: u32) -> GroupLoad {
    GroupLoad {
        step: Span::from_millis(5),
        skew,
        requests,
        slots: 64,
        straggles: false,
    }
}

/// Of two equally full groups, the one with less skew is chosen.
#[test]
fn skew_counts() {
    let groups = [("even", group(80, 32)), ("skewed", group(900, 32))];
    let chosen = choose_group(groups.iter().map(|(name, load)| (name, *load)));
    assert_eq!(chosen, Some(&"even"));
}

#[test]
fn fill_counts() {
    let groups = [("full", group(80, 60)), ("skewed", group(300, 10))];
    let chosen = choose_group(groups.iter().map(|(name, load)| (name, *load)));
    assert_eq!(chosen, Some(&"skewed"));
}

#[test]
fn straggler_defers() {
    let straggling = GroupLoad {
        straggles: true,
        ..group(80, 10)
    };
    assert!(straggling.defers(0, 9));
    assert!(!straggling.defers(9, 9));
    assert!(!group(80, 10).defers(0, 9));
}
