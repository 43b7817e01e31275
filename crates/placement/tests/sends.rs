//! Tests of how often one attempt is sent.

use snipemast_placement::Sends;

/// A stream whose server's host froze is resumed after 1.75 s instead of 0.9 s: the route allows
/// two attempts, and the send under way was counted twice once its answer had begun.
#[test]
fn silent_stream_moves() {
    let mut sends = Sends::default();
    assert!(sends.is_empty() && sends.may_begin(2));
    sends.begin();
    assert!(sends.may_begin(2));
    sends.begin();
    assert!(!sends.may_begin(2));
}

/// A server that refuses an attempt as not run uses up the route's attempts, or an attempt is sent
/// more than three times.
#[test]
fn refused_sends_bounded() {
    let mut sends = Sends::default();
    for count in 1..=3 {
        assert!(sends.may_begin(1));
        sends.begin();
        assert_eq!(sends.count(), count);
        assert!(!sends.may_begin(1));
        sends.mark_not_run();
    }
    assert!(!sends.may_begin(1));
}
