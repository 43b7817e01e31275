//! Voters with real HTTP, disks and clocks over loopback.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

use parking_lot::Mutex;
use serde_json::json;
use smol::Timer;
use trillium::{async_trait, Conn, Handler, Status};

use snipemast_config::{KeyHash, Patch, Refusal, Verdict, WallTime};
use snipemast_control::machine::{Command, Reply, Submission};
use snipemast_control::{ConfigMachine, Location, Timing, VoterChange};
use snipemast_core::prelude::*;
use snipemast_entry::voter::{LogPlace, SubmitError, Voter, VoterOptions};
use snipemast_wire::{listen, spawn, Listening};

const PATIENCE: Span = Span::from_secs(10);

/// The slot in which a host's voter runs, if it does.
#[derive(Clone, Default)]
struct Slot(Arc<Mutex<Option<Arc<Voter>>>>);

impl Slot {
    fn voter(&self) -> Option<Arc<Voter>> {
        self.0.lock().clone()
    }
}

#[async_trait]
impl Handler for Slot {
    async fn run(&self, conn: Conn) -> Conn {
        match self.voter() {
            Some(voter) => voter.answer(conn).await,
            None => conn.with_status(Status::ServiceUnavailable).halt(),
        }
    }
}

/// A control host: its address and disk outlive its voter.
struct Host {
    slot: Slot,
    options: VoterOptions,
    /// The accepted patches by version, as its state machine has them.
    history: Arc<Mutex<BTreeMap<Version, Option<PatchId>>>>,
    _listening: Listening,
}

impl Host {
    async fn new(number: u64, root: &std::path::Path) -> Self {
        let slot = Slot::default();
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let listening = listen(any, slot.clone()).await.unwrap();
        let seat = Location {
            host: format!("host-{number}").parse().unwrap(),
            zone: format!("zone-{}", number % 3).parse().unwrap(),
            address: listening.address(),
        };
        let options = VoterOptions {
            place: LogPlace::Folder(root.join(seat.host.as_str())),
            seat,
            voters: Vec::new(),
            timing: timing(),
            fresh: number,
        };
        Self {
            slot,
            options,
            history: Arc::default(),
            _listening: listening,
        }
    }

    /// Starts the voter, as soon as its data folder is free.
    async fn start(&self) {
        loop {
            let history = Arc::clone(&self.history);
            let watch = move |machine: &ConfigMachine| {
                let entries = machine.history().entries();
                *history.lock() = entries.map(|e| (e.version, e.patch.clone())).collect();
            };
            let journal = journal(&self.options.seat.host);
            if let Ok(voter) = Voter::start(
                self.options.clone(),
                ConfigMachine::default(),
                journal,
                watch,
            ) {
                *self.slot.0.lock() = Some(Arc::new(voter));
                return;
            }
            pause(10).await;
        }
    }

    fn kill(&self) {
        if let Some(voter) = self.slot.0.lock().take() {
            voter.kill();
        }
    }

    fn version(&self) -> Version {
        self.history
            .lock()
            .keys()
            .next_back()
            .copied()
            .unwrap_or_default()
    }
}

struct Cluster {
    hosts: Vec<Host>,
    root: PathBuf,
}

impl Cluster {
    async fn start(name: &str, count: u64) -> Self {
        let root = std::env::temp_dir().join(format!("snipemast-{name}-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&root);
        let mut hosts = Vec::new();
        for number in 1..=count {
            hosts.push(Host::new(number, &root).await);
        }
        let voters: Vec<_> = hosts.iter().map(|h| h.options.seat.address).collect();
        for host in &mut hosts {
            host.options.voters = voters.clone();
            host.start().await;
        }
        Self { hosts, root }
    }

    /// The host that leads, once one does.
    async fn leader(&self) -> &Host {
        loop {
            let leads = |h: &&Host| h.slot.voter().is_some_and(|v| v.is_leader());
            if let Some(leader) = self.hosts.iter().find(leads) {
                return leader;
            }
            pause(5).await;
        }
    }

    /// Waits until every host has applied what the furthest has.
    async fn level(&self) {
        loop {
            let versions: BTreeSet<_> = self.hosts.iter().map(Host::version).collect();
            if versions.len() == 1 {
                return;
            }
            pause(10).await;
        }
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        for host in &self.hosts {
            host.kill();
        }
        let _ = std::fs::remove_dir_all(&self.root);
    }
}

/// Timeouts short enough for many elections in one test.
fn timing() -> Timing {
    Timing {
        heartbeat: Span::from_millis(50),
        election_timeout: Span::from_millis(250),
        election_jitter: Span::from_millis(150),
        lease: Span::from_millis(200),
        snapshot_entries: 20,
        retained_entries: 10,
        chunk_size: Size::from_bytes(4 << 10),
        max_waiting: 64,
    }
}

fn journal(host: &HostId) -> Journal {
    let process = ProcessId::new(host.clone(), Incarnation::new(1));
    Journal::silent(Arc::new(Ring::new(process, 256)))
}

async fn pause(millis: u64) {
    Timer::after(Span::from_millis(millis).as_duration()).await;
}

fn patch(id: &str, base: Version) -> Vec<u8> {
    let keys = [KeyHash::of(id)];
    let patch = Patch {
        id: id.parse().unwrap(),
        base,
        reason: String::new(),
        set: json!({ "workspaces": { id: { "keys": keys } } }),
    };
    let submission = Submission::new(patch).with_time(WallTime::default());
    Command::Submit(submission).to_bytes()
}

async fn submit(voter: &Voter, id: &str, base: Version) -> Result<Verdict, SubmitError> {
    let reply = voter.submit(patch(id, base), PATIENCE).await?;
    match Reply::from_bytes(&reply) {
        Reply::Verdict(verdict) => Ok(verdict),
        other => panic!("a patch got {other:?}"),
    }
}

/// An operator that patches again and again, against what it last saw, through any host; a
/// lost answer is asked for again under the same id. Returns what was accepted.
async fn operate(
    name: String,
    slots: Vec<Slot>,
    stop: Arc<AtomicBool>,
) -> BTreeMap<Version, PatchId> {
    let mut accepted = BTreeMap::new();
    let mut base = Version::default();
    let mut count = 0;
    while !stop.load(Ordering::Relaxed) {
        count += 1;
        let id = format!("{name}-{count}");
        let mut host = count;
        let verdict = loop {
            host += 1;
            let Some(voter) = slots[host % slots.len()].voter() else {
                pause(5).await;
                continue;
            };
            match submit(&voter, &id, base).await {
                Ok(verdict) => break verdict,
                Err(_) => pause(5).await,
            }
        };
        match verdict {
            Verdict::Accepted { version } => {
                assert!(accepted.insert(version, id.parse().unwrap()).is_none());
                base = version;
            }
            Verdict::Refused {
                refusal: Refusal::Conflict { current },
            } => base = current,
            Verdict::Refused { refusal } => panic!("{refusal}"),
        }
    }
    accepted
}

// Operators race each other with patches while the leader is killed again and again, and resend
// what got no answer. Whatever any of them was told is accepted must be there, once, under
// the version that it was told.
#[test]
fn leaders_killed() {
    smol::block_on(async {
        let cluster = Cluster::start("leaders-killed", 5).await;
        let stop = Arc::new(AtomicBool::new(false));
        let slots: Vec<_> = cluster.hosts.iter().map(|h| h.slot.clone()).collect();
        let operator = |n| spawn(operate(format!("op-{n}"), slots.clone(), Arc::clone(&stop)));
        let operators: Vec<_> = (0..3).map(operator).collect();
        for _ in 0..8 {
            let leader = cluster.leader().await;
            let before = leader.version();
            while leader.version().get() < before.get() + 5 && leader.slot.voter().is_some() {
                pause(5).await;
            }
            leader.kill();
            pause(100).await;
            leader.start().await;
        }
        cluster.leader().await;
        pause(200).await;
        stop.store(true, Ordering::Relaxed);
        let mut accepted = BTreeMap::new();
        for operator in operators {
            for (version, id) in operator.await {
                assert!(
                    accepted.insert(version, id).is_none(),
                    "one patch a version"
                );
            }
        }
        cluster.level().await;
        assert!(accepted.len() >= 40);
        let history = cluster.hosts[0].history.lock().clone();
        let ids: Vec<_> = history.values().flatten().collect();
        let distinct: BTreeSet<_> = ids.iter().collect();
        assert_eq!(distinct.len(), ids.len(), "each patch once");
        for (version, id) in accepted {
            assert_eq!(history.get(&version), Some(&Some(id)));
        }
        for host in &cluster.hosts {
            assert_eq!(*host.history.lock(), history);
        }
    });
}

// A host's disk is wiped. It comes back under another id and learns; the operator removes the
// old id and promotes the new one, and then a second host is lost. Nothing may be missing.
#[test]
fn host_replaced() {
    smol::block_on(async {
        let mut cluster = Cluster::start("host-replaced", 3).await;
        let leader = cluster.leader().await.options.seat.host.clone();
        let at = |c: &Cluster| {
            c.hosts
                .iter()
                .position(|h| h.options.seat.host == leader)
                .unwrap()
        };
        let lead = at(&cluster);
        let lost = (lead + 1) % 3;
        let voter = cluster.hosts[lead].slot.voter().unwrap();
        submit(&voter, "before", Version::default()).await.unwrap();
        let old = cluster.hosts[lost].slot.voter().unwrap().status().voter;
        cluster.hosts[lost].kill();
        let LogPlace::Folder(folder) = cluster.hosts[lost].options.place.clone() else {
            panic!("it has a folder");
        };
        while std::fs::remove_dir_all(&folder).is_err() {
            pause(10).await;
        }
        cluster.hosts[lost].options.fresh = 77;
        cluster.hosts[lost].start().await;
        let id = snipemast_control::VoterId(77);
        let seat = cluster.hosts[lost].options.seat.clone();
        voter
            .change(VoterChange::Learn { id, location: seat }, PATIENCE)
            .await
            .unwrap();
        voter
            .change(VoterChange::Remove { id: old }, PATIENCE)
            .await
            .unwrap();
        while let Err(e) = voter.change(VoterChange::Promote { id }, PATIENCE).await {
            assert!(matches!(e, SubmitError::Change(_)), "{e}");
            pause(20).await;
        }
        cluster.hosts[lead].kill();
        drop(voter);
        let next = cluster.leader().await;
        let voter = next.slot.voter().unwrap();
        let again = submit(&voter, "before", Version::default()).await.unwrap();
        assert_eq!(
            again,
            Verdict::Accepted {
                version: Version(1)
            }
        );
        submit(&voter, "after", Version(1)).await.unwrap();
    });
}

// Two of three control hosts are gone. An operator is told so, and nothing is accepted; when
// they are back the patch goes through.
#[test]
fn minority_told() {
    smol::block_on(async {
        let cluster = Cluster::start("minority-told", 3).await;
        cluster.leader().await;
        for host in &cluster.hosts[1..] {
            host.kill();
        }
        let voter = cluster.hosts[0].slot.voter().unwrap();
        let told = loop {
            match submit(&voter, "lost", Version::default()).await {
                Err(SubmitError::Unknown) => pause(10).await,
                other => break other,
            }
        };
        assert_eq!(told, Err(SubmitError::NoQuorum));
        for host in &cluster.hosts[1..] {
            host.start().await;
        }
        let verdict = loop {
            match submit(&voter, "lost", Version::default()).await {
                Ok(verdict) => break verdict,
                Err(_) => pause(10).await,
            }
        };
        assert_eq!(
            verdict,
            Verdict::Accepted {
                version: Version(1)
            }
        );
    });
}

#[test]
fn one_host() {
    smol::block_on(async {
        let cluster = Cluster::start("one-host", 1).await;
        let host = cluster.leader().await;
        let voter = host.slot.voter().unwrap();
        let verdict = submit(&voter, "first", Version::default()).await;
        assert_eq!(
            verdict,
            Ok(Verdict::Accepted {
                version: Version(1)
            })
        );
        host.kill();
        drop(voter);
        host.start().await;
        cluster.leader().await;
        assert_eq!(host.version(), Version(1));
    });
}
