//! The distribution of the configuration: waiting polls and the events that wake them.

use std::sync::Arc;

use futures_lite::future::zip;

use snipemast_config::{Ask, Config, News};
use snipemast_core::prelude::*;
use snipemast_entry::spread::Distributor;

const POLL: Ask = Ask::Poll {
    after: Version::new(0),
    wait: Span::from_secs(30),
};

fn linked_distributor() -> Distributor {
    let distributor = Distributor::new(Arc::default());
    distributor.set_link(true, Some(Span::default()), Fence::new(3));
    distributor
}

#[test]
fn patch_wakes_polls() {
    smol::block_on(async {
        let distributor = linked_distributor();
        let next = Arc::new(Config {
            version: Version::new(1),
            ..Config::default()
        });
        let advance = async { distributor.advance(&next, None) };
        let (reply, advanced) = zip(distributor.answer(POLL), advance).await;
        assert!(advanced);
        assert!(matches!(reply.news, News::Delta(delta) if delta.to == Version::new(1)));
        assert_eq!((reply.linked, reply.fence), (true, Fence::new(3)));
    });
}

#[test]
fn lost_source_reported() {
    // Guards against polls that hang: a relay loses its own source while half its zone polls it.
    // The polls must be answered at once, so that they ask elsewhere.
    smol::block_on(async {
        let distributor = linked_distributor();
        let lose = async { distributor.set_link(false, None, Fence::default()) };
        let (reply, ()) = zip(distributor.answer(POLL), lose).await;
        assert_eq!(reply.news, News::Unchanged);
        assert!(!reply.linked);
        assert!(reply.held < Span::from_secs(30));
    });
}

#[test]
fn stopping_relay_reported() {
    // A relay is stopped gracefully. Its waiting polls must go elsewhere at once, and its own
    // source, which still answers, must not make it look linked again.
    smol::block_on(async {
        let distributor = linked_distributor();
        let close = async { distributor.close() };
        let (reply, ()) = zip(distributor.answer(POLL), close).await;
        assert!(!reply.linked);
        assert!(reply.held < Span::from_secs(30));
        distributor.set_link(true, Some(Span::default()), Fence::default());
        assert!(
            !distributor
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
fn older_version_ignored() {
    // Guards against a version that goes back: an earlier version arrives after a later one, from
    // another task.
    let distributor = linked_distributor();
    let config = |version| {
        Arc::new(Config {
            version: Version::new(version),
            ..Config::default()
        })
    };
    assert!(distributor.advance(&config(2), None));
    assert!(!distributor.advance(&config(1), None));
    assert_eq!(distributor.version(), Version::new(2));
}
