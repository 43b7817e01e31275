//! Tests that the events and their catalogue in the documentation agree.

use snipemast_core::events::Event;

/// Guards against a catalogue that differs from the code after an event was added or changed.
#[test]
fn catalogue_matches() {
    let text = include_str!("../../../docs/EVENTS.md");
    let listed: Vec<&str> = text
        .lines()
        .filter(|l| l.starts_with("| "))
        .skip(1)
        .collect();
    let coded: Vec<String> = Event::ALL
        .iter()
        .map(|e| format!("| {} | {} | {} |", e.number(), e.name(), e.meaning().trim()))
        .collect();
    assert_eq!(listed, coded);
}

/// Guards against events out of order, which the binary search of `Ring::record` would not find.
#[test]
fn numbers_ascend() {
    assert!(Event::ALL
        .windows(2)
        .all(|pair| pair[0].number() < pair[1].number()));
}

/// Guards against an event that a receiver cannot read: every number converts back to its event.
#[test]
fn numbers_round_trip() {
    for event in Event::ALL {
        assert_eq!(Event::try_from(event.number()), Ok(*event));
    }
}
