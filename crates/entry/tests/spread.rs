//! Passing the configuration on: polls that wait, and what wakes them.

use std::sync::Arc;

use futures_lite::future::zip;

use snipemast_config::{Ask, Config, News};
use snipemast_core::prelude::*;
use snipemast_entry::spread::Distributor;

const POLL: Ask = Ask::Poll {
    after: Version::new(0),
    wait: Span::from_secs(30),
};

fn linked() -> Distributor {
    let spread = Distributor::new(Arc::default());
    spread.note(true, Some(Span::default()), Fence::new(3));
    spread
}

#[test]
fn patch_wakes_polls() {
    smol::block_on(async {
        let spread = linked();
        let next = Arc::new(Config {
            version: Version::new(1),
            ..Config::default()
        });
        let bring = async { spread.advance(&next, None) };
        let (reply, brought) = zip(spread.answer(POLL), bring).await;
        assert!(brought);
        assert!(matches!(reply.news, News::Delta(delta) if delta.to == Version::new(1)));
        assert_eq!((reply.linked, reply.fence), (true, Fence::new(3)));
    });
}

#[test]
fn lost_source_told() {
    // A relay loses its own source while half its zone waits at it. Whoever waits would hear
    // of nothing until its poll runs out; it is told at once and asks elsewhere.
    smol::block_on(async {
        let spread = linked();
        let lose = async { spread.note(false, None, Fence::default()) };
        let (reply, ()) = zip(spread.answer(POLL), lose).await;
        assert_eq!(reply.news, News::Unchanged);
        assert!(!reply.linked);
        assert!(reply.held < Span::from_secs(30));
    });
}

#[test]
fn leaving_told() {
    // A relay is stopped gracefully. Those that wait at it go elsewhere at once, and its own
    // source, which still answers, does not make it look well again.
    smol::block_on(async {
        let spread = linked();
        let close = async { spread.close() };
        let (reply, ()) = zip(spread.answer(POLL), close).await;
        assert!(!reply.linked);
        assert!(reply.held < Span::from_secs(30));
        spread.note(true, Some(Span::default()), Fence::default());
        assert!(
            !spread
                .answer(Ask::Piece {
                    version: Version::new(0),
                    offset: 0
                })
                .await
                .linked
        );
    });
}

#[test]
fn never_back() {
    // A later version is in force, and an earlier one arrives by another task.
    let spread = linked();
    let config = |version| {
        Arc::new(Config {
            version: Version::new(version),
            ..Config::default()
        })
    };
    assert!(spread.advance(&config(2), None));
    assert!(!spread.advance(&config(1), None));
    assert_eq!(spread.version(), Version::new(2));
}
