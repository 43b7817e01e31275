//! The catalogue of events in the docs says what the code says.

use snipemast_core::events::Event;

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

#[test]
fn numbers_rise() {
    assert!(Event::ALL
        .windows(2)
        .all(|pair| pair[0].number() < pair[1].number()));
}

#[test]
fn numbers_return() {
    for event in Event::ALL {
        assert_eq!(Event::try_from(event.number()), Ok(*event));
    }
}
