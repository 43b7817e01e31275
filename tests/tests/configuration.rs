//! The configuration on its way: several entry hosts over loopback.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;

use serde_json::{json, Value};

use snipemast_config::{Patch, Verdict};
use snipemast_core::prelude::*;
use snipemast_entry::{Entry, Shared};
use snipemast_settings::EntrySettings;
use snipemast_tests::{entry_settings, id, journal, pause};

/// Starts an entry that decides alone.
async fn control() -> Entry {
    start(entry_settings("control-0")).await
}

/// Starts an entry that follows these.
async fn follower(host: &str, seeds: &[SocketAddr]) -> Entry {
    start(following(host, seeds)).await
}

fn following(host: &str, seeds: &[SocketAddr]) -> EntrySettings {
    EntrySettings {
        seeds: seeds.to_vec(),
        control: None,
        ..entry_settings(host)
    }
}

async fn start(settings: EntrySettings) -> Entry {
    let journal = journal(&settings.host);
    let entry = Entry::start(settings, Incarnation::new(1), journal).await;
    entry.expect("an entry starts on port 0")
}

fn patch(name: &str, base: u64, set: Value) -> Patch {
    Patch {
        id: id(name),
        base: Version::new(base),
        reason: String::new(),
        set,
    }
}

fn submit(control: &Entry, n: u64) {
    let set = json!({ "services": { format!("s{}", n % 50): {
        "kind": "plain", "idempotent": [format!("/{n}")] } } });
    let verdict = control
        .shared()
        .submit(&patch(&format!("p{n}"), n - 1, set));
    let version = Version::new(n);
    assert_eq!(verdict, Some(Verdict::Accepted { version }));
}

/// Waits until a version is in force; a fault shows as a test that gives up.
async fn reach(shared: &Arc<Shared>, version: u64) {
    for _ in 0..3_000 {
        if shared.config().version >= Version::new(version) {
            return;
        }
        pause(10).await;
    }
    panic!("{} stays at {}", shared.process, shared.config().version);
}

fn folder(name: &str) -> PathBuf {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    let _ = std::fs::remove_dir_all(&folder);
    folder
}

#[test]
fn through_a_relay() {
    // An entry that knows only a relay of its zone gets each version, by deltas.
    smol::block_on(async {
        let control = control().await;
        let relay = follower("relay-0", &[control.own()]).await;
        let edge = follower("edge-0", &[relay.own()]).await;
        for n in 1..=20 {
            submit(&control, n);
        }
        reach(edge.shared(), 20).await;
        assert_eq!(edge.shared().config(), control.shared().config());
        assert_eq!(relay.shared().config(), control.shared().config());
    });
}

#[test]
fn cut_off_catches_up() {
    // An entry's only relay dies. The entry goes on with what it has, and after hundreds of
    // changes a relay is there again: the entry goes straight to the newest version.
    smol::block_on(async {
        let control = control().await;
        let mut settings = following("relay-0", &[control.own()]);
        let relay = start(settings.clone()).await;
        settings.own = relay.own();
        let edge = follower("edge-0", &[relay.own()]).await;
        submit(&control, 1);
        reach(edge.shared(), 1).await;
        relay.stop().await;
        for n in 2..=300 {
            submit(&control, n);
        }
        assert!(edge.shared().config().services.contains_key(&id("s1")));
        settings.host = id("relay-1");
        let _relay = start(settings).await;
        reach(edge.shared(), 300).await;
        assert_eq!(edge.shared().config(), control.shared().config());
    });
}

#[test]
fn starts_in_partition() {
    // A zone is cut off from control, and one of its processes restarts without a disk. It
    // must not refuse every caller: a peer of the zone hands it the copy it holds.
    smol::block_on(async {
        let control = control().await;
        let peer = follower("peer-0", &[control.own()]).await;
        submit(&control, 1);
        reach(peer.shared(), 1).await;
        let gone = control.own();
        control.stop().await;
        let fresh = follower("fresh-0", &[gone, peer.own()]).await;
        reach(fresh.shared(), 1).await;
        assert_eq!(fresh.shared().config(), peer.shared().config());
    });
}

#[test]
fn starts_from_disk() {
    // Power returns to a zone before the network: no other process can be reached, and the
    // local copy is all there is.
    smol::block_on(async {
        let data = folder("starts_from_disk");
        let control = control().await;
        let mut settings = following("edge-0", &[control.own()]);
        settings.data = Some(data.clone());
        let edge = start(settings.clone()).await;
        submit(&control, 1);
        reach(edge.shared(), 1).await;
        while !data.join("configuration").exists() {
            pause(10).await;
        }
        edge.stop().await;
        settings.seeds.clear();
        let again = start(settings).await;
        assert_eq!(again.shared().config(), control.shared().config());
    });
}

#[test]
fn damaged_copy_refused() {
    // A disk flips a bit of the copy. The process must not serve with it; it fetches the
    // configuration again and says what happened.
    smol::block_on(async {
        let data = folder("damaged_copy_refused");
        let control = control().await;
        submit(&control, 1);
        let copy = snipemast_entry::copy::Copy::new(&data);
        copy.write(&control.shared().config()).expect("a folder");
        let bytes = std::fs::read(copy.path()).expect("a file");
        for at in 0..bytes.len() {
            let mut flipped = bytes.clone();
            flipped[at] ^= 1;
            std::fs::write(copy.path(), &flipped).expect("a file");
            assert!(copy.read().is_err(), "byte {at} flipped");
            std::fs::write(copy.path(), &bytes[..at]).expect("a file");
            assert!(copy.read().is_err(), "cut at byte {at}");
        }
        let mut settings = following("edge-0", &[control.own()]);
        settings.data = Some(data);
        let edge = start(settings).await;
        reach(edge.shared(), 1).await;
        let records = edge.shared().journal.ring().since(Stamp::default());
        assert!(records.iter().any(|r| r.event == Event::StorageRefused));
    });
}

#[test]
fn laggards_named() {
    smol::block_on(async {
        let control = control().await;
        let relay = follower("relay-0", &[control.own()]).await;
        let edge = follower("edge-0", &[relay.own()]).await;
        submit(&control, 1);
        reach(edge.shared(), 1).await;
        let mut total = 0;
        for _ in 0..3_000 {
            let (standing, _) = snipemast_wire::ConfigSink::versions(control.shared().as_ref());
            total = control.shared().distributor.census(&standing).total();
            if total == 3 {
                return;
            }
            pause(10).await;
        }
        panic!("the census counts {total} of 3");
    });
}

#[test]
fn older_passed_over() {
    // Two tasks of a process bring versions, and the earlier one comes last. Requests would
    // be served by a version that was replaced.
    smol::block_on(async {
        let entry = follower("edge-0", &[]).await;
        let versions: Vec<_> = [2, 1]
            .into_iter()
            .map(|n| snipemast_config::Config {
                version: Version::new(n),
                ..Default::default()
            })
            .collect();
        for config in versions {
            entry.shared().apply(Arc::new(config));
        }
        assert_eq!(entry.shared().config().version, Version::new(2));
    });
}
