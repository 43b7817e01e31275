//! How often one attempt is sent.

use snipemast_placement::Sends;

/// A user's reading stops in the middle and goes on after 1.75 s instead of 0.9 s: its server's host has frozen, the
/// route allows two attempts, and the one under way was counted twice once its answer had begun.
#[test]
fn silent_stream_moves() {
    let mut sends = Sends::default();
    assert!(sends.is_empty() && sends.may_begin(2));
    sends.begin();
    assert!(sends.may_begin(2));
    sends.begin();
    assert!(!sends.may_begin(2));
}

/// A server that refused an attempt as not run leaves it its attempts, but not more than three sends.
#[test]
fn refused_sends_bounded() {
    let mut sends = Sends::default();
    for count in 1..=3 {
        assert!(sends.may_begin(1));
        sends.begin();
        assert_eq!(sends.count(), count);
        assert!(!sends.may_begin(1));
        sends.take_back();
    }
    assert!(!sends.may_begin(1));
}
