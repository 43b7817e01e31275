//! Messages that arrive in parts.

use snipemast_core::prelude::*;
use snipemast_net::parts::{UploadId, Uploads};

fn received(uploads: &Uploads, at: u64, id: u64, offset: u64, bytes: &[u8]) -> Option<u64> {
    let ack = uploads.receive(Moment::from_millis(at), UploadId(id), offset, bytes);
    ack.map(|ack| ack.received)
}

/// Guards against a message that is joined wrongly from parts that are lost, repeated or mixed with those of another one.
#[test]
fn parts_joined() {
    let uploads = Uploads::new(100);
    assert_eq!(received(&uploads, 0, 1, 0, b"one "), Some(4));
    assert_eq!(received(&uploads, 0, 2, 0, b"another"), Some(7));
    assert_eq!(received(&uploads, 0, 1, 0, b"one "), Some(4));
    assert_eq!(received(&uploads, 0, 1, 8, b"late"), Some(4));
    assert_eq!(received(&uploads, 0, 1, 4, b"text"), Some(8));
    assert_eq!(uploads.take(UploadId(1)).as_deref(), Some(&b"one text"[..]));
    assert_eq!(uploads.take(UploadId(1)), None);
}

/// Guards against memory that is held for senders that are gone, and against a message without an end.
#[test]
fn memory_bounded() {
    let uploads = Uploads::new(100);
    for id in 0..50 {
        assert_eq!(received(&uploads, id, id, 0, &[0; 100]), Some(100));
    }
    let kept = (0..50).filter(|id| uploads.take(UploadId(*id)).is_some());
    assert_eq!(kept.count(), 8);
    assert_eq!(received(&uploads, 100, 60, 0, &[0; 101]), None);
    assert_eq!(received(&uploads, 100, 61, 0, &[0; 50]), Some(50));
    assert_eq!(received(&uploads, 20_000, 62, 0, &[0; 50]), Some(50));
    assert_eq!(uploads.take(UploadId(61)), None);
}
