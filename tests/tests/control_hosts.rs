//! Tests of three control hosts and an entry that follows them, over loopback.

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

/// The hosts of one test. Each test has its own range of loopback addresses, which no other test binds.
struct Cluster {
    settings: Vec<EntrySettings>,
    hosts: Vec<Option<Entry>>,
    patches: u64,
}

impl Cluster {
    async fn start(test: u8) -> Self {
        let voters: Vec<SocketAddr> = (1..=3).map(|n| free_address(test, n)).collect();
        let folder = new_folder(&format!("control-hosts-{test}"));
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

    /// Returns the hosts that run.
    fn running_hosts(&self) -> impl Iterator<Item = &Entry> {
        self.hosts.iter().flatten()
    }

    async fn stop(&mut self, host: usize) {
        if let Some(entry) = self.hosts[host].take() {
            entry.stop().await;
        }
    }

    /// Waits until a host leads, and returns its index.
    async fn find_leader(&self) -> usize {
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

    /// Returns a patch against a version that adds a new service.
    fn new_patch(&mut self, base: Version) -> Submission {
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

/// Returns an empty folder for a test.
fn new_folder(name: &str) -> PathBuf {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    let _ = std::fs::remove_dir_all(&folder);
    folder
}

async fn start(settings: EntrySettings, incarnation: u64) -> Entry {
    let journal = journal(&settings.host);
    let entry = Entry::start(settings, Incarnation::new(incarnation), journal).await;
    entry.expect("an entry starts")
}

/// Waits until a version is in force at a host, and panics after some time.
async fn wait_version(entry: &Entry, version: Version) {
    for _ in 0..3_000 {
        if entry.shared().config().version >= version {
            return;
        }
        pause(10).await;
    }
    let shared = entry.shared();
    panic!("{} stays at {}", shared.process, shared.config().version);
}

/// Submits a patch until there is a verdict, like an operator whose answers get lost.
async fn submit_until_verdict(entry: &Entry, submission: &Submission) -> Verdict {
    let mut last = None;
    for _ in 0..120 {
        match submit(entry.shared(), submission).await {
            Ok(verdict) => return verdict,
            Err(e) => last = Some(e),
        }
        // A refusal arrives at once, also while the first leader is being elected.
        pause(250).await;
    }
    panic!("no verdict on {}: {last:?}", submission.patch.id);
}

/// Guards against a patch that is lost or decided twice because operators submit it at any control host, or at
/// an entry that only follows one. All processes must end with the same configuration.
#[test]
fn any_host_takes_patches() {
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
            let submission = cluster.new_patch(Version::new(n));
            let host = match n % 4 {
                3 => &edge,
                host => cluster.hosts[host as usize]
                    .as_ref()
                    .expect("a running host"),
            };
            let version = Version::new(n + 1);
            assert_eq!(
                submit_until_verdict(host, &submission).await,
                Verdict::Accepted { version }
            );
            // The next host must know the version before it submits a patch against it.
            for host in cluster.running_hosts().chain([&edge]) {
                wait_version(host, version).await;
            }
        }
        assert_eq!(edge.shared().config().services.len(), 12);
    });
}

/// Guards against a changed verdict when an operator resends a patch to another host after the leader stopped,
/// and against an old leader that does not catch up after it restarts from its disk.
#[test]
fn leader_lost_and_back() {
    smol::block_on(async {
        let mut cluster = Cluster::start(2).await;
        let first = cluster.find_leader().await;
        let submission = cluster.new_patch(Version::new(0));
        let entry = cluster.hosts[first].as_ref().expect("a running host");
        let version = Version::new(1);
        let verdict = Verdict::Accepted { version };
        assert_eq!(submit_until_verdict(entry, &submission).await, verdict);
        cluster.stop(first).await;
        let other = (first + 1) % 3;
        let entry = cluster.hosts[other].as_ref().expect("a running host");
        assert_eq!(submit_until_verdict(entry, &submission).await, verdict);
        let next = cluster.new_patch(version);
        let entry = cluster.hosts[other].as_ref().expect("a running host");
        let version = Version::new(2);
        assert_eq!(
            submit_until_verdict(entry, &next).await,
            Verdict::Accepted { version }
        );
        let again = start(cluster.settings[first].clone(), 2).await;
        wait_version(&again, version).await;
        assert_eq!(again.shared().config(), entry.shared().config());
    });
}

/// Guards against a control host that accepts a patch while the two others are gone. It must refuse, and keep
/// serving with the version in force.
#[test]
fn minority_refuses() {
    smol::block_on(async {
        let mut cluster = Cluster::start(3).await;
        let leader = cluster.find_leader().await;
        let submission = cluster.new_patch(Version::new(0));
        let entry = cluster.hosts[leader].as_ref().expect("a running host");
        let version = Version::new(1);
        assert_eq!(
            submit_until_verdict(entry, &submission).await,
            Verdict::Accepted { version }
        );
        let left = (leader + 1) % 3;
        wait_version(
            cluster.hosts[left].as_ref().expect("a running host"),
            version,
        )
        .await;
        cluster.stop(leader).await;
        cluster.stop((leader + 2) % 3).await;
        let late = cluster.new_patch(version);
        let entry = cluster.hosts[left].as_ref().expect("a running host");
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
