//! Tests of the distribution of the configuration among several entry hosts over loopback.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;

use serde_json::{json, Value};

use snipemast_config::{Patch, Verdict};
use snipemast_core::prelude::*;
use snipemast_entry::{Entry, Shared};
use snipemast_settings::EntrySettings;
use snipemast_tests::{entry_settings, id, journal, pause};

/// Starts an entry that decides on the configuration alone.
async fn start_control() -> Entry {
    start(entry_settings("control-0")).await
}

/// Starts an entry that follows the hosts at these addresses.
async fn start_follower(host: &str, seeds: &[SocketAddr]) -> Entry {
    start(follower_settings(host, seeds)).await
}

fn follower_settings(host: &str, seeds: &[SocketAddr]) -> EntrySettings {
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

/// Waits until a version is in force, and panics after some time.
async fn wait_version(shared: &Arc<Shared>, version: u64) {
    for _ in 0..3_000 {
        if shared.config().version >= Version::new(version) {
            return;
        }
        pause(10).await;
    }
    panic!("{} stays at {}", shared.process, shared.config().version);
}

/// Returns an empty folder for a test.
fn new_folder(name: &str) -> PathBuf {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    let _ = std::fs::remove_dir_all(&folder);
    folder
}

/// Guards against an entry that misses versions or deltas because it knows only a relay of its zone.
#[test]
fn through_a_relay() {
    smol::block_on(async {
        let control = start_control().await;
        let relay = start_follower("relay-0", &[control.own()]).await;
        let edge = start_follower("edge-0", &[relay.own()]).await;
        for n in 1..=20 {
            submit(&control, n);
        }
        wait_version(edge.shared(), 20).await;
        assert_eq!(edge.shared().config(), control.shared().config());
        assert_eq!(relay.shared().config(), control.shared().config());
    });
}

/// Guards against an entry that loses its configuration when its only relay dies, or that does not reach the
/// newest version once a relay is back after hundreds of changes.
#[test]
fn cut_off_catches_up() {
    smol::block_on(async {
        let control = start_control().await;
        let mut settings = follower_settings("relay-0", &[control.own()]);
        let relay = start(settings.clone()).await;
        settings.own = relay.own();
        let edge = start_follower("edge-0", &[relay.own()]).await;
        submit(&control, 1);
        wait_version(edge.shared(), 1).await;
        relay.stop().await;
        for n in 2..=300 {
            submit(&control, n);
        }
        assert!(edge.shared().config().services.contains_key(&id("s1")));
        settings.host = id("relay-1");
        let _relay = start(settings).await;
        wait_version(edge.shared(), 300).await;
        assert_eq!(edge.shared().config(), control.shared().config());
    });
}

/// Guards against an entry that refuses every caller after a restart without a disk while its zone is cut off
/// from control. It must get the configuration from a peer of the zone.
#[test]
fn starts_in_partition() {
    smol::block_on(async {
        let control = start_control().await;
        let peer = start_follower("peer-0", &[control.own()]).await;
        submit(&control, 1);
        wait_version(peer.shared(), 1).await;
        let gone = control.own();
        control.stop().await;
        let fresh = start_follower("fresh-0", &[gone, peer.own()]).await;
        wait_version(fresh.shared(), 1).await;
        assert_eq!(fresh.shared().config(), peer.shared().config());
    });
}

/// Guards against an entry that does not start after a power outage because no other process can be reached
/// yet. It must use its local copy.
#[test]
fn starts_from_disk() {
    smol::block_on(async {
        let data = new_folder("starts_from_disk");
        let control = start_control().await;
        let mut settings = follower_settings("edge-0", &[control.own()]);
        settings.data = Some(data.clone());
        let edge = start(settings.clone()).await;
        submit(&control, 1);
        wait_version(edge.shared(), 1).await;
        while !data.join("configuration").exists() {
            pause(10).await;
        }
        edge.stop().await;
        settings.seeds.clear();
        let again = start(settings).await;
        assert_eq!(again.shared().config(), control.shared().config());
    });
}

/// Guards against an entry that serves with a copy in which the disk has flipped a bit, or which is cut short.
/// It must fetch the configuration again and record the event.
#[test]
fn damaged_copy_refused() {
    smol::block_on(async {
        let data = new_folder("damaged_copy_refused");
        let control = start_control().await;
        submit(&control, 1);
        let copy = snipemast_entry::copy::Copy::new(&data);
        copy.write(&control.shared().config())
            .expect("a writable folder");
        let bytes = std::fs::read(copy.path()).expect("a file that can be read and written");
        for at in 0..bytes.len() {
            let mut flipped = bytes.clone();
            flipped[at] ^= 1;
            std::fs::write(copy.path(), &flipped).expect("a file that can be read and written");
            assert!(copy.read().is_err(), "byte {at} flipped");
            std::fs::write(copy.path(), &bytes[..at]).expect("a file that can be read and written");
            assert!(copy.read().is_err(), "cut at byte {at}");
        }
        let mut settings = follower_settings("edge-0", &[control.own()]);
        settings.data = Some(data);
        let edge = start(settings).await;
        wait_version(edge.shared(), 1).await;
        let records = edge.shared().journal.ring().since(Stamp::default());
        assert!(records.iter().any(|r| r.event == Event::StorageRefused));
    });
}

/// Guards against a census that misses processes which follow through a relay.
#[test]
fn census_complete() {
    smol::block_on(async {
        let control = start_control().await;
        let relay = start_follower("relay-0", &[control.own()]).await;
        let edge = start_follower("edge-0", &[relay.own()]).await;
        submit(&control, 1);
        wait_version(edge.shared(), 1).await;
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

/// Guards against an older version that replaces a newer one because two tasks of a process apply versions
/// out of order.
#[test]
fn older_version_ignored() {
    smol::block_on(async {
        let entry = start_follower("edge-0", &[]).await;
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
