//! How the first voters become a cluster, once.
//!
//! The host with the lowest address forms the cluster, as soon as every listed host has said
//! that it is new; the others take the cluster over from any host that has it. A host that
//! is not among the first voters joins as a learner, and has no vote until it is promoted.

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
use super::{disk, task, thread, Result, VoterError, VoterOptions, VoterShared};

/// The pause between two rounds of asking the other hosts.
const PAUSE: Span = Span::from_millis(200);
/// How long a host may take to say who it is.
const DEADLINE: Span = Span::from_millis(1_000);

/// A storage that remembers its cluster.
pub(super) trait Joins: Storage {
    /// Keeps the cluster for good.
    fn join(
        &mut self,
        cluster: ClusterId,
        formed: Voters,
    ) -> snipemast_control::storage::Result<()>;
}

impl Joins for MemoryStorage {
    fn join(&mut self, _: ClusterId, _: Voters) -> snipemast_control::storage::Result<()> {
        Ok(())
    }
}

impl Joins for DiskStorage {
    fn join(
        &mut self,
        cluster: ClusterId,
        formed: Voters,
    ) -> snipemast_control::storage::Result<()> {
        DiskStorage::join(self, cluster, formed)
    }
}

/// What a storage held when it was opened.
pub(super) struct Start {
    pub(super) voter: VoterId,
    pub(super) cluster: Option<ClusterId>,
    pub(super) formed: Voters,
    start: u64,
    stored: StoredState,
}

impl Start {
    pub(super) fn in_memory(options: &VoterOptions) -> Self {
        Self {
            voter: VoterId(options.fresh),
            cluster: None,
            formed: Voters::default(),
            start: 1,
            stored: StoredState::default(),
        }
    }

    pub(super) fn on_disk(identity: &Identity, opened: Recovery) -> Self {
        Self {
            voter: identity.voter,
            cluster: identity.cluster,
            formed: identity.first_voters.clone(),
            start: identity.starts,
            stored: opened.stored,
        }
    }

    /// What is known before the voter runs.
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
            voters: self.formed.clone(),
            ended: false,
        }
    }
}

/// Starts the voter, at once if its cluster is known, else as soon as that is formed.
pub(super) fn begin<M, S, F>(
    options: VoterOptions,
    mut start: Start,
    mut storage: S,
    machine: M,
    engine: Engine<F>,
) -> Result<Option<Task<()>>>
where
    M: StateMachine + Send + 'static,
    S: Joins,
    F: FnMut(&M) + Send + 'static,
{
    let own = options.seat.address;
    let alone = options.voters.iter().all(|a| *a == own);
    if start.cluster.is_none() && alone {
        let formed = Voters::new([(start.voter, options.seat.clone())].into());
        (start.cluster, start.formed) = (Some(ClusterId(start.voter.get())), formed.clone());
        let joined = storage.join(ClusterId(start.voter.get()), formed);
        joined.map_err(|e| e.change_context(VoterError::Storage(Default::default())))?;
    }
    if start.cluster.is_some() {
        launch(&options, start, storage, machine, engine)?;
        return Ok(None);
    }
    let shared = Arc::clone(&engine.shared);
    let work = async move {
        let (cluster, formed) = form(&options, &shared).await;
        let journal = shared.journal.clone();
        (start.cluster, start.formed) = (Some(cluster), formed.clone());
        let joined = storage.join(cluster, formed).map_err(|e| e.to_string());
        let launched = joined.and_then(|()| {
            launch(&options, start, storage, machine, engine).map_err(|e| e.to_string())
        });
        if let Err(reason) = launched {
            journal.record(Event::StorageRefused, options.seat.host, reason);
        }
    };
    Ok(Some(task(work)))
}

/// Starts the threads of a voter whose cluster is known.
fn launch<M, S, F>(
    options: &VoterOptions,
    start: Start,
    storage: S,
    machine: M,
    engine: Engine<F>,
) -> Result<()>
where
    M: StateMachine + Send + 'static,
    S: Joins,
    F: FnMut(&M) + Send + 'static,
{
    let shared = Arc::clone(&engine.shared);
    let boot = NodeParams {
        id: start.voter,
        start: start.start,
        cluster: start.cluster.unwrap_or_default(),
        first_voters: start.formed.clone(),
        stored: start.stored,
        timing: options.timing,
        seed: options.fresh,
    };
    {
        let mut known = shared.known.lock();
        (known.cluster, known.first_voters) = (start.cluster, start.formed);
    }
    let node = Node::new(boot, machine, shared.clock.now());
    let node = node.map_err(|e| {
        shared.journal.record(Event::StorageRefused, "snapshot", &e);
        error_stack::Report::new(e).change_context(VoterError::Storage(Default::default()))
    })?;
    let state = Arc::new(DiskState::default());
    let (writes, to_write) = channel();
    let of_disk = (Arc::clone(&state), Arc::clone(&shared));
    thread("control-disk", move || {
        disk::run(storage, &to_write, &of_disk.0, &of_disk.1)
    })?;
    thread("control-voter", move || engine.run(node, &state, &writes))
}

/// Asks the other hosts until there is a cluster to belong to.
async fn form(options: &VoterOptions, shared: &VoterShared) -> (ClusterId, Voters) {
    let own = options.seat.address;
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
        let mut known = BTreeMap::from([(own, shared.known.lock().clone())]);
        for peer in &others {
            let hello = Hello {
                voter: known[&own].voter,
            };
            match peer
                .call::<_, ControlHost>(path::HELLO, &hello, DEADLINE)
                .await
            {
                Ok(answer) => drop(known.insert(peer.address(), answer)),
                Err(_) => peer.retire(),
            }
        }
        if let Some(found) = choose_cluster(true, own, &addresses, &known) {
            return found;
        }
        smol::Timer::after(PAUSE.as_duration()).await;
    }
}
