//! Tests of the estimated length of streams.

use snipemast_core::prelude::*;
use snipemast_placement::length::StreamLength;
use snipemast_placement::outage::DEFAULT_STREAM_TIME;

/// A long stream begins with two seconds left, runs for that time and fails, while other requests
/// wait for its slot, although its caller had said that it would be long. A short one can still end
/// in that time.
#[test]
fn long_streams_cannot_end() {
    let stream = |pieces| StreamLength {
        pieces: Some(pieces),
        pause: Some(Span::from_millis(90)),
        pause_target: Span::from_millis(120),
    };
    let left = Span::from_secs(2);
    assert!(stream(50).shortest() > left);
    assert!(stream(20).expected() < left);
    assert!(stream(30).shortest() < left && stream(30).expected() > left);
}

/// The caller gives no estimate, or no pause was seen yet: defaults are used, and nothing is
/// refused.
#[test]
fn unknown_length_sent() {
    let unknown = StreamLength {
        pieces: None,
        pause: None,
        pause_target: Span::from_millis(120),
    };
    assert_eq!(unknown.shortest(), Span::default());
    assert_eq!(unknown.expected(), DEFAULT_STREAM_TIME);
    let default_pause = StreamLength {
        pieces: Some(8),
        ..unknown
    };
    assert_eq!(default_pause.expected(), Span::from_millis(720));
}
