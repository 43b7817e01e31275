//! Three control hosts and an entry behind them, each a whole process, over loopback.

use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};

use serde_json::json;

use snipemast_config::{Patch, Verdict};
use snipemast_control::machine::Submission;
use snipemast_core::prelude::*;
use snipemast_entry::control::{submit, ControlError};
use snipemast_entry::Entry;
use snipemast_settings::{ControlSettings, EntrySettings};
use snipemast_tests::{entry_settings, id, journal, pause};

/// The hosts of one test; each test has an address on loopback that nobody else binds.
struct Cluster {
    settings: Vec<EntrySettings>,
    hosts: Vec<Option<Entry>>,
    patches: u64,
}

impl Cluster {
    async fn start(test: u8) -> Self {
        let voters: Vec<SocketAddr> = (1..=3).map(|n| free_address(test, n)).collect();
        let folder = folder(&format!("control-hosts-{test}"));
        let settings: Vec<_> = (0..3)
            .map(|n| settings(n, &voters, &folder.join(n.to_string())))
            .collect();
        let mut hosts = Vec::new();
        for settings in &settings {
            hosts.push(Some(start(settings.clone(), 1).await));
        }
        Self {
            settings,
            hosts,
            patches: 0,
        }
    }

    fn live(&self) -> impl Iterator<Item = &Entry> {
        self.hosts.iter().flatten()
    }

    async fn stop(&mut self, host: usize) {
        if let Some(entry) = self.hosts[host].take() {
            entry.stop().await;
        }
    }

    async fn leader(&self) -> usize {
        loop {
            let leads = |host: &Option<Entry>| {
                let control = host.as_ref().and_then(|h| h.shared().control());
                control.is_some_and(|c| c.voter().is_leader())
            };
            if let Some(leader) = self.hosts.iter().position(leads) {
                return leader;
            }
            pause(20).await;
        }
    }

    /// A patch of its own service against a version.
    fn patch(&mut self, base: Version) -> Submission {
        self.patches += 1;
        let name = format!("s{}", self.patches);
        Submission::new(Patch {
            id: id(&format!("p{}", self.patches)),
            base,
            reason: String::new(),
            set: json!({ "services": { name: { "kind": "plain" } } }),
        })
    }
}

fn settings(n: usize, voters: &[SocketAddr], folder: &Path) -> EntrySettings {
    EntrySettings {
        own: voters[n],
        control: Some(ControlSettings {
            data: Some(folder.into()),
            forgetful: false,
            voters: voters.to_vec(),
            operator: None,
        }),
        ..entry_settings(&format!("control-{n}"))
    }
}

fn free_address(test: u8, host: u8) -> SocketAddr {
    let own = Ipv4Addr::new(127, 61, test, host);
    let listener = TcpListener::bind((IpAddr::V4(own), 0)).expect("loopback");
    listener.local_addr().expect("a bound address")
}

fn folder(name: &str) -> PathBuf {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    let _ = std::fs::remove_dir_all(&folder);
    folder
}

async fn start(settings: EntrySettings, incarnation: u64) -> Entry {
    let journal = journal(&settings.host);
    let entry = Entry::start(settings, Incarnation::new(incarnation), journal).await;
    entry.expect("an entry starts")
}

async fn reach(entry: &Entry, version: Version) {
    for _ in 0..3_000 {
        if entry.shared().config().version >= version {
            return;
        }
        pause(10).await;
    }
    let shared = entry.shared();
    panic!("{} stays at {}", shared.process, shared.config().version);
}

/// Submits until there is a verdict, as an operator does whose answers get lost.
async fn insist(entry: &Entry, submission: &Submission) -> Verdict {
    for _ in 0..20 {
        if let Ok(verdict) = submit(entry.shared(), submission).await {
            return verdict;
        }
    }
    panic!("no verdict on {}", submission.patch.id);
}

#[test]
fn any_host_takes_patches() {
    // Operators submit at each control host and at an entry that only follows one of them. One
    // history comes of it, and all processes have it.
    smol::block_on(async {
        let mut cluster = Cluster::start(1).await;
        let seeds = cluster.settings.iter().map(|s| s.own).collect();
        let edge = EntrySettings {
            seeds,
            control: None,
            ..entry_settings("edge-0")
        };
        let edge = start(edge, 1).await;
        for n in 0..12 {
            let submission = cluster.patch(Version::new(n));
            let host = match n % 4 {
                3 => &edge,
                host => cluster.hosts[host as usize].as_ref().expect("a live host"),
            };
            let version = Version::new(n + 1);
            assert_eq!(
                insist(host, &submission).await,
                Verdict::Accepted { version }
            );
            // The next host hears of the version before it patches against it.
            for host in cluster.live().chain([&edge]) {
                reach(host, version).await;
            }
        }
        assert_eq!(edge.shared().config().services.len(), 12);
    });
}

#[test]
fn leader_lost_and_back() {
    // The leader stops after it accepted patches; an operator resends its last patch to
    // another host and must hear the first verdict. The old leader comes back from its disk
    // and catches up.
    smol::block_on(async {
        let mut cluster = Cluster::start(2).await;
        let first = cluster.leader().await;
        let submission = cluster.patch(Version::new(0));
        let entry = cluster.hosts[first].as_ref().expect("a live host");
        let version = Version::new(1);
        let verdict = Verdict::Accepted { version };
        assert_eq!(insist(entry, &submission).await, verdict);
        cluster.stop(first).await;
        let other = (first + 1) % 3;
        let entry = cluster.hosts[other].as_ref().expect("a live host");
        assert_eq!(insist(entry, &submission).await, verdict);
        let next = cluster.patch(version);
        let entry = cluster.hosts[other].as_ref().expect("a live host");
        let version = Version::new(2);
        assert_eq!(insist(entry, &next).await, Verdict::Accepted { version });
        let again = start(cluster.settings[first].clone(), 2).await;
        reach(&again, version).await;
        assert_eq!(again.shared().config(), entry.shared().config());
    });
}

#[test]
fn minority_refuses() {
    // Two of three control hosts are gone. The third must not accept, and has to say so; it
    // serves on with the version in force.
    smol::block_on(async {
        let mut cluster = Cluster::start(3).await;
        let leader = cluster.leader().await;
        let submission = cluster.patch(Version::new(0));
        let entry = cluster.hosts[leader].as_ref().expect("a live host");
        let version = Version::new(1);
        assert_eq!(
            insist(entry, &submission).await,
            Verdict::Accepted { version }
        );
        let left = (leader + 1) % 3;
        reach(cluster.hosts[left].as_ref().expect("a live host"), version).await;
        cluster.stop(leader).await;
        cluster.stop((leader + 2) % 3).await;
        let late = cluster.patch(version);
        let entry = cluster.hosts[left].as_ref().expect("a live host");
        for _ in 0..2 {
            let refused = submit(entry.shared(), &late).await;
            assert!(
                matches!(refused, Err(ControlError::Minority | ControlError::Unknown)),
                "{refused:?}"
            );
        }
        assert_eq!(entry.shared().config().version, version);
    });
}
