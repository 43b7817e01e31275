//! Control voters with real HTTP and disks, over loopback.
//!
//! - [`VoterHost`]: a control host, whose address and disk outlive its voter.
//! - [`Cluster`]: several control hosts, each behind a relay that counts bytes.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;

use futures_lite::{AsyncReadExt, AsyncWriteExt};
use parking_lot::Mutex;
use serde_json::json;
use smol::net::{TcpListener, TcpStream};
use trillium::{async_trait, Conn, Handler, Status};

use snipemast_config::{KeyHash, Patch, Verdict};
use snipemast_control::machine::{Command, Reply, Submission};
use snipemast_control::{ConfigMachine, Location, Timing};
use snipemast_core::prelude::*;
use snipemast_entry::voter::{LogStorage, SubmitError, Voter, VoterOptions};
use snipemast_wire::{listen, spawn, ServerHandle};

/// Timeout of a submission.
const SUBMIT_TIMEOUT: Span = Span::from_secs(10);

/// Holds a host's voter while it runs; answers 503 otherwise.
#[derive(Clone, Default)]
struct Slot(Arc<Mutex<Option<Arc<Voter>>>>);

#[async_trait]
impl Handler for Slot {
    async fn run(&self, conn: Conn) -> Conn {
        let voter = self.0.lock().clone();
        match voter {
            Some(voter) => voter.answer(conn).await,
            None => conn.with_status(Status::ServiceUnavailable).halt(),
        }
    }
}

/// A control host, whose address and disk outlive its voter.
pub struct VoterHost {
    slot: Slot,
    options: VoterOptions,
    version: Arc<AtomicU64>,
    bytes: Arc<AtomicU64>,
    _listening: ServerHandle,
}

impl VoterHost {
    async fn new(number: u64, root: &Path, timing: Timing) -> Self {
        let slot = Slot::default();
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let listening = listen(any, slot.clone()).await.expect("port 0 binds");
        let bytes = Arc::new(AtomicU64::new(0));
        let address = relay(listening.address(), Arc::clone(&bytes)).await;
        let seat = Location {
            host: format!("host-{number}").parse().expect("a valid name"),
            zone: format!("zone-{}", number % 3)
                .parse()
                .expect("a valid name"),
            address,
        };
        let options = VoterOptions {
            log: LogStorage::Folder(root.join(seat.host.as_str())),
            location: seat,
            voters: Vec::new(),
            timing,
            unique_id: number,
        };
        Self {
            slot,
            options,
            version: Arc::default(),
            bytes,
            _listening: listening,
        }
    }

    /// Starts the voter once its data folder is free.
    pub async fn start(&self) {
        loop {
            let version = Arc::clone(&self.version);
            let watch = move |machine: &ConfigMachine| {
                version.store(machine.config().version.get(), Ordering::Release);
            };
            let machine = ConfigMachine::default();
            let journal = journal(&self.options.location.host);
            if let Ok(voter) = Voter::start(self.options.clone(), machine, journal, watch) {
                *self.slot.0.lock() = Some(Arc::new(voter));
                return;
            }
            pause(2).await;
        }
    }

    /// Stops the voter as a crash would.
    pub fn kill(&self) {
        if let Some(voter) = self.slot.0.lock().take() {
            voter.kill();
        }
    }

    /// Returns the voter, if it runs.
    pub fn voter(&self) -> Option<Arc<Voter>> {
        self.slot.0.lock().clone()
    }

    /// Returns the configuration version of the state machine.
    pub fn version(&self) -> u64 {
        self.version.load(Ordering::Acquire)
    }

    /// Returns the bytes of connections to the host, in both directions.
    pub fn bytes(&self) -> u64 {
        self.bytes.load(Ordering::Relaxed)
    }
}

/// Several control hosts with a leader.
pub struct Cluster {
    /// The hosts.
    pub hosts: Vec<VoterHost>,
    root: PathBuf,
    patches: AtomicU64,
}

impl Cluster {
    /// Starts `count` voters and waits for a leader.
    pub async fn start(count: u64, timing: Timing) -> Self {
        let root = folder("cluster");
        let mut hosts = Vec::new();
        for number in 1..=count {
            hosts.push(VoterHost::new(number, &root, timing).await);
        }
        let voters: Vec<_> = hosts.iter().map(|h| h.options.location.address).collect();
        for host in &mut hosts {
            host.options.voters = voters.clone();
            host.start().await;
        }
        let cluster = Self {
            hosts,
            root,
            patches: AtomicU64::new(0),
        };
        cluster.leader().await;
        cluster
    }

    /// Waits until a host leads and returns its index.
    pub async fn leader(&self) -> usize {
        loop {
            let leads = |h: &VoterHost| h.voter().is_some_and(|v| v.is_leader());
            if let Some(index) = self.hosts.iter().position(leads) {
                return index;
            }
            pause(2).await;
        }
    }

    /// Submits a patch through a host, and retries against the host's newest version until it is accepted.
    pub async fn patch(&self, index: usize) {
        let number = self.patches.fetch_add(1, Ordering::Relaxed);
        let mut attempt = 0;
        loop {
            let base = Version(self.hosts[index].version());
            let id = format!("patch-{number}-{attempt}");
            let Some(voter) = self.hosts[index].voter() else {
                return;
            };
            match submit(&voter, &id, base).await {
                Ok(Verdict::Accepted { .. }) => return,
                Ok(Verdict::Refused { .. }) => attempt += 1,
                Err(_) => pause(2).await,
            }
        }
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        for host in &self.hosts {
            host.kill();
        }
        // A folder that can't be removed stays in the system's temporary folder and does no harm.
        let _ = std::fs::remove_dir_all(&self.root);
    }
}

/// Returns the path of a temporary folder of this process, and removes what an earlier run left there.
pub fn folder(name: &str) -> PathBuf {
    let name = format!("snipemast-bench-{name}-{}", std::process::id());
    let path = std::env::temp_dir().join(name);
    let _ = std::fs::remove_dir_all(&path);
    path
}

/// Returns the command of a small patch, which sets one workspace's weight.
pub fn command(id: &str, base: Version) -> Vec<u8> {
    let keys = [KeyHash::from_key("bench")];
    let weight = base.get() % 7 + 1;
    let patch = Patch {
        id: id.parse().expect("a valid name"),
        base,
        reason: String::new(),
        set: json!({ "workspaces": { "w-1": { "keys": keys, "weight": weight } } }),
    };
    Command::Submit(Submission::new(patch)).to_bytes()
}

async fn submit(voter: &Voter, id: &str, base: Version) -> Result<Verdict, SubmitError> {
    let reply = voter.submit(command(id, base), SUBMIT_TIMEOUT).await?;
    match Reply::from_bytes(&reply) {
        Reply::Verdict(verdict) => Ok(verdict),
        _ => Err(SubmitError::Unknown),
    }
}

fn journal(host: &HostId) -> Journal {
    let process = ProcessId::new(host.clone(), Incarnation::new(1));
    Journal::silent(Arc::new(Ring::new(process, 256)))
}

/// Waits for a number of milliseconds.
pub async fn pause(millis: u64) {
    smol::Timer::after(Span::from_millis(millis).as_duration()).await;
}

/// Starts a relay that forwards connections to an address and counts their bytes; returns its address.
async fn relay(to: SocketAddr, bytes: Arc<AtomicU64>) -> SocketAddr {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let listener = TcpListener::bind(any).await.expect("port 0 binds");
    let address = listener.local_addr().expect("the listener is bound");
    spawn(async move {
        while let Ok((near, _)) = listener.accept().await {
            let Ok(far) = TcpStream::connect(to).await else {
                continue;
            };
            let _ = (near.set_nodelay(true), far.set_nodelay(true));
            spawn(forward_bytes(near.clone(), far.clone(), Arc::clone(&bytes))).detach();
            spawn(forward_bytes(far, near, Arc::clone(&bytes))).detach();
        }
    })
    .detach();
    address
}

async fn forward_bytes(mut from: TcpStream, mut to: TcpStream, bytes: Arc<AtomicU64>) {
    let mut buffer = vec![0; 16 << 10];
    loop {
        match from.read(&mut buffer).await {
            Ok(n) if n > 0 => {
                bytes.fetch_add(n as u64, Ordering::Relaxed);
                if to.write_all(&buffer[..n]).await.is_err() {
                    return;
                }
            }
            _ => {
                let _ = to.shutdown(std::net::Shutdown::Both);
                return;
            }
        }
    }
}
