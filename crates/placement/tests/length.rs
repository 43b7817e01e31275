//! How long a stream takes to its end.

use snipemast_core::prelude::*;
use snipemast_placement::length::Length;
use snipemast_placement::outage::SERVED;

/// A user's reading is begun with two seconds left, runs for those and fails, while others wait for its slot: its caller
/// had said that it would be long. A short one still ends in that time.
#[test]
fn long_streams_cannot_end() {
    let of = |pieces| Length {
        pieces: Some(pieces),
        pause: Some(Span::from_millis(90)),
        promised: Span::from_millis(120),
    };
    let left = Span::from_secs(2);
    assert!(of(50).least() > left);
    assert!(of(20).usual() < left);
    assert!(of(30).least() < left && of(30).usual() > left);
}

/// Where a caller estimates nothing, or no pause was seen yet, what is usual is believed, and nothing refused.
#[test]
fn unknown_length_sent() {
    let unknown = Length {
        pieces: None,
        pause: None,
        promised: Span::from_millis(120),
    };
    assert_eq!(unknown.least(), Span::default());
    assert_eq!(unknown.usual(), SERVED);
    let unseen = Length {
        pieces: Some(8),
        ..unknown
    };
    assert_eq!(unseen.usual(), Span::from_millis(720));
}
