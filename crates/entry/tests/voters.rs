//! Tests of voters with real HTTP, disks and clocks over loopback.

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
use snipemast_entry::voter::{LogStorage, SubmitError, Voter, VoterOptions};
use snipemast_wire::{listen, spawn, ServerHandle};

const SUBMIT_TIMEOUT: Span = Span::from_secs(10);

/// The slot for a host's voter, which is empty while the voter doesn't run.
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

/// A control host, whose address and disk outlive its voter.
struct Host {
    slot: Slot,
    options: VoterOptions,
    /// The accepted patches by version, as the host's state machine has them.
    history: Arc<Mutex<BTreeMap<Version, Option<PatchId>>>>,
    _listening: ServerHandle,
}

impl Host {
    async fn new(number: u64, root: &std::path::Path) -> Self {
        let slot = Slot::default();
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let listening = listen(any, slot.clone()).await.unwrap();
        let location = Location {
            host: format!("host-{number}").parse().unwrap(),
            zone: format!("zone-{}", number % 3).parse().unwrap(),
            address: listening.address(),
        };
        let options = VoterOptions {
            log: LogStorage::Folder(root.join(location.host.as_str())),
            location,
            voters: Vec::new(),
            timing: timing(),
            unique_id: number,
        };
        Self {
            slot,
            options,
            history: Arc::default(),
            _listening: listening,
        }
    }

    /// Starts the voter as soon as its data folder is free.
    async fn start(&self) {
        loop {
            let history = Arc::clone(&self.history);
            let watch = move |machine: &ConfigMachine| {
                let entries = machine.history().entries();
                *history.lock() = entries.map(|e| (e.version, e.patch.clone())).collect();
            };
            let journal = journal(&self.options.location.host);
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
        let voters: Vec<_> = hosts.iter().map(|h| h.options.location.address).collect();
        for host in &mut hosts {
            host.options.voters = voters.clone();
            host.start().await;
        }
        Self { hosts, root }
    }

    /// Waits until a host leads and returns it.
    async fn leader(&self) -> &Host {
        loop {
            let leads = |h: &&Host| h.slot.voter().is_some_and(|v| v.is_leader());
            if let Some(leader) = self.hosts.iter().find(leads) {
                return leader;
            }
            pause(5).await;
        }
    }

    /// Waits until all hosts have applied the same version.
    async fn wait_for_equal_versions(&self) {
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

/// Returns timeouts that are short enough for many elections in one test.
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
    let keys = [KeyHash::from_key(id)];
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
    let reply = voter.submit(patch(id, base), SUBMIT_TIMEOUT).await?;
    match Reply::from_bytes(&reply) {
        Reply::Verdict(verdict) => Ok(verdict),
        other => panic!("a patch got {other:?}"),
    }
}

/// Submits patches until `stop`, each against the last known version and through any host, and
/// returns those that were accepted.
///
/// A patch without an answer is resent with the same id.
async fn run_operator(
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

// Guards against accepted patches that are lost or applied twice: operators submit patches at the
// same time and resend those without an answer, while the leader is killed repeatedly. Each patch
// reported as accepted must be in the history once, under the reported version.
#[test]
fn leaders_killed() {
    smol::block_on(async {
        let cluster = Cluster::start("leaders-killed", 5).await;
        let stop = Arc::new(AtomicBool::new(false));
        let slots: Vec<_> = cluster.hosts.iter().map(|h| h.slot.clone()).collect();
        let operator = |n| {
            spawn(run_operator(
                format!("op-{n}"),
                slots.clone(),
                Arc::clone(&stop),
            ))
        };
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
        cluster.wait_for_equal_versions().await;
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

// Guards against versions lost in a replacement: a host's disk is wiped, and it returns under
// another id as a learner. The operator removes the old id and promotes the new one, and then a
// second host is lost. No accepted version may be missing.
#[test]
fn host_replaced() {
    smol::block_on(async {
        let mut cluster = Cluster::start("host-replaced", 3).await;
        let leader = cluster.leader().await.options.location.host.clone();
        let place_of_leader = |c: &Cluster| {
            c.hosts
                .iter()
                .position(|h| h.options.location.host == leader)
                .unwrap()
        };
        let leader_index = place_of_leader(&cluster);
        let lost_index = (leader_index + 1) % 3;
        let voter = cluster.hosts[leader_index].slot.voter().unwrap();
        submit(&voter, "before", Version::default()).await.unwrap();
        let old_id = cluster.hosts[lost_index]
            .slot
            .voter()
            .unwrap()
            .status()
            .voter;
        cluster.hosts[lost_index].kill();
        let LogStorage::Folder(folder) = cluster.hosts[lost_index].options.log.clone() else {
            panic!("it has a folder");
        };
        while std::fs::remove_dir_all(&folder).is_err() {
            pause(10).await;
        }
        cluster.hosts[lost_index].options.unique_id = 77;
        cluster.hosts[lost_index].start().await;
        let id = snipemast_control::VoterId(77);
        let location = cluster.hosts[lost_index].options.location.clone();
        voter
            .change(VoterChange::Learn { id, location }, SUBMIT_TIMEOUT)
            .await
            .unwrap();
        voter
            .change(VoterChange::Remove { id: old_id }, SUBMIT_TIMEOUT)
            .await
            .unwrap();
        while let Err(e) = voter
            .change(VoterChange::Promote { id }, SUBMIT_TIMEOUT)
            .await
        {
            assert!(matches!(e, SubmitError::Change(_)), "{e}");
            pause(20).await;
        }
        cluster.hosts[leader_index].kill();
        drop(voter);
        let next = cluster.leader().await;
        let voter = next.slot.voter().unwrap();
        let resent = submit(&voter, "before", Version::default()).await.unwrap();
        assert_eq!(
            resent,
            Verdict::Accepted {
                version: Version(1)
            }
        );
        submit(&voter, "after", Version(1)).await.unwrap();
    });
}

// Guards against a patch accepted by a minority: two of three control hosts are down. The operator
// gets an error and nothing is accepted; once the hosts are back, the patch is accepted.
#[test]
fn minority_refuses() {
    smol::block_on(async {
        let cluster = Cluster::start("minority-told", 3).await;
        cluster.leader().await;
        for host in &cluster.hosts[1..] {
            host.kill();
        }
        let voter = cluster.hosts[0].slot.voter().unwrap();
        let refusal = loop {
            match submit(&voter, "lost", Version::default()).await {
                Err(SubmitError::Unknown) => pause(10).await,
                other => break other,
            }
        };
        assert_eq!(refusal, Err(SubmitError::NoQuorum));
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
fn single_host_restart() {
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
