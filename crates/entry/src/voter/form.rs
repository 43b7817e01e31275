//! The forming of a cluster by its first voters, which happens once.
//!
//! The host with the lowest address forms the cluster as soon as every listed host has answered
//! that it is new. The others adopt the cluster from any host that has it. A host that is not among
//! the first voters joins as a learner, and has no vote until it is promoted.

use std::collections::BTreeMap;
use std::sync::mpsc::channel;
use std::sync::Arc;

use smol::Task;

use snipemast_control::forming::choose_cluster;
use snipemast_control::identity::Identity;
use snipemast_control::{
    ClusterId, DiskStorage, MemoryStorage, Node, NodeParams, Recovery, StateMachine, Storage,
    StoredState, VoterId, Voters,
};
use snipemast_core::prelude::*;
use snipemast_wire::control::{path, ControlHost, Hello, VoterStatus};
use snipemast_wire::Peer;

use super::engine::{DiskState, Engine};
use super::{
    disk, spawn_task, spawn_thread, LogStorage, Result, VoterError, VoterOptions, VoterShared,
};

/// The pause between two rounds of asking the other hosts.
const ROUND_PAUSE: Span = Span::from_millis(200);
/// How long a host may take to answer the hello.
const HELLO_TIMEOUT: Span = Span::from_millis(1_000);

/// A storage that stores the cluster that it belongs to.
pub(super) trait JoinCluster: Storage {
    /// Stores the cluster and its first voters permanently.
    fn join(
        &mut self,
        cluster: ClusterId,
        first_voters: Voters,
    ) -> snipemast_control::storage::Result<()>;
}

impl JoinCluster for MemoryStorage {
    fn join(&mut self, _: ClusterId, _: Voters) -> snipemast_control::storage::Result<()> {
        Ok(())
    }
}

impl JoinCluster for DiskStorage {
    fn join(
        &mut self,
        cluster: ClusterId,
        first_voters: Voters,
    ) -> snipemast_control::storage::Result<()> {
        DiskStorage::join(self, cluster, first_voters)
    }
}

/// The state of a storage when it was opened.
pub(super) struct StartState {
    pub(super) voter: VoterId,
    pub(super) cluster: Option<ClusterId>,
    pub(super) first_voters: Voters,
    start: u64,
    stored: StoredState,
}

impl StartState {
    pub(super) fn in_memory(options: &VoterOptions) -> Self {
        Self {
            voter: VoterId(options.unique_id),
            cluster: None,
            first_voters: Voters::default(),
            start: 1,
            stored: StoredState::default(),
        }
    }

    pub(super) fn on_disk(identity: &Identity, opened: Recovery) -> Self {
        Self {
            voter: identity.voter,
            cluster: identity.cluster,
            first_voters: identity.first_voters.clone(),
            start: identity.starts,
            stored: opened.stored,
        }
    }

    /// Returns the status before the voter runs.
    pub(super) fn status(&self) -> VoterStatus {
        VoterStatus {
            voter: self.voter,
            term: self.stored.hard.term,
            leader: None,
            last: snipemast_control::force::last_index(&self.stored),
            durable: Index(0),
            commit: Index(0),
            applied: Index(0),
            fence: Fence(0),
            voters: self.first_voters.clone(),
            ended: false,
        }
    }
}

impl VoterOptions {
    /// Returns the error of a log that can't be used.
    fn storage_error(&self) -> VoterError {
        match &self.log {
            LogStorage::Folder(folder) => VoterError::Storage(folder.clone()),
            LogStorage::Memory => VoterError::Memory,
        }
    }
}

/// Starts the voter, at once if its cluster is known, else in a task once the cluster is found.
pub(super) fn start_voter<M, S, F>(
    options: VoterOptions,
    mut start: StartState,
    mut storage: S,
    machine: M,
    engine: Engine<F>,
) -> Result<Option<Task<()>>>
where
    M: StateMachine + Send + 'static,
    S: JoinCluster,
    F: FnMut(&M) + Send + 'static,
{
    let own = options.location.address;
    let alone = options.voters.iter().all(|a| *a == own);
    if start.cluster.is_none() && alone {
        let first_voters = Voters::new([(start.voter, options.location.clone())].into());
        (start.cluster, start.first_voters) =
            (Some(ClusterId(start.voter.get())), first_voters.clone());
        let joined = storage.join(ClusterId(start.voter.get()), first_voters);
        joined.map_err(|e| e.change_context(options.storage_error()))?;
    }
    if start.cluster.is_some() {
        launch(&options, start, storage, machine, engine)?;
        return Ok(None);
    }
    let shared = Arc::clone(&engine.shared);
    let forming = async move {
        let (cluster, first_voters) = find_cluster(&options, &shared).await;
        let journal = shared.journal.clone();
        (start.cluster, start.first_voters) = (Some(cluster), first_voters.clone());
        let joined = storage
            .join(cluster, first_voters)
            .map_err(|e| e.to_string());
        let launched = joined.and_then(|()| {
            launch(&options, start, storage, machine, engine).map_err(|e| e.to_string())
        });
        if let Err(reason) = launched {
            journal.record(Event::StorageRefused, options.location.host, reason);
        }
    };
    Ok(Some(spawn_task(forming)))
}

/// Starts the threads of a voter whose cluster is known.
fn launch<M, S, F>(
    options: &VoterOptions,
    start: StartState,
    storage: S,
    machine: M,
    engine: Engine<F>,
) -> Result<()>
where
    M: StateMachine + Send + 'static,
    S: JoinCluster,
    F: FnMut(&M) + Send + 'static,
{
    let shared = Arc::clone(&engine.shared);
    let params = NodeParams {
        id: start.voter,
        start: start.start,
        cluster: start.cluster.unwrap_or_default(),
        first_voters: start.first_voters.clone(),
        stored: start.stored,
        timing: options.timing,
        seed: options.unique_id,
    };
    {
        let mut control_host = shared.control_host.lock();
        (control_host.cluster, control_host.first_voters) = (start.cluster, start.first_voters);
    }
    let node = Node::new(params, machine, shared.clock.now());
    let node = node.map_err(|e| {
        shared.journal.record(Event::StorageRefused, "snapshot", &e);
        error_stack::Report::new(e).change_context(options.storage_error())
    })?;
    let state = Arc::new(DiskState::default());
    let (writes, pending) = channel();
    let disk_handles = (Arc::clone(&state), Arc::clone(&shared));
    spawn_thread("control-disk", move || {
        disk::run(storage, &pending, &disk_handles.0, &disk_handles.1)
    })?;
    spawn_thread("control-voter", move || engine.run(node, &state, &writes))
}

/// Asks the other hosts until a cluster is found or formed.
async fn find_cluster(options: &VoterOptions, shared: &VoterShared) -> (ClusterId, Voters) {
    let own = options.location.address;
    let mut addresses = options.voters.clone();
    addresses.push(own);
    addresses.sort_unstable();
    addresses.dedup();
    let others: Vec<Peer> = addresses
        .iter()
        .filter(|a| **a != own)
        .map(|a| Peer::new(*a))
        .collect();
    loop {
        let mut control_host = BTreeMap::from([(own, shared.control_host.lock().clone())]);
        for peer in &others {
            let hello = Hello {
                voter: control_host[&own].voter,
            };
            match peer
                .call::<_, ControlHost>(path::HELLO, &hello, HELLO_TIMEOUT)
                .await
            {
                Ok(answer) => drop(control_host.insert(peer.address(), answer)),
                Err(_) => peer.retire(),
            }
        }
        if let Some(found) = choose_cluster(true, own, &addresses, &control_host) {
            return found;
        }
        smol::Timer::after(ROUND_PAUSE.as_duration()).await;
    }
}
