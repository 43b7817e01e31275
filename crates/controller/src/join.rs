//! Finds the cluster, or forms it on the first start, and keeps the voter running.
//!
//! On the first start the seed with the lowest address forms the cluster, as soon as every seed
//! has answered that it is new. A host that starts with an empty disk later joins as a learner.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use parking_lot::Mutex;

use snipemast_control::forming::{choose_cluster, ControlHost, Hello};
use snipemast_control::{ClusterId, VoterId, Voters};
use snipemast_core::prelude::*;
use snipemast_net::exec::pause;
use snipemast_net::RpcClient;
use snipemast_platform::settings::{self, Settings};

use crate::disk;
use crate::peers::{path, JoinAnswer, JoinRequest};
use crate::voter::{node_params, Folder, Voter};

/// The pause between two rounds of calls to other controllers.
const ROUND_PAUSE: Span = Span::from_millis(150);

/// How long another controller may take to answer.
const CALL_TIMEOUT: Span = Span::from_millis(600);

/// The pause before a folder that failed is opened again.
const REOPEN_PAUSE: Span = Span::from_millis(400);

/// The identity of this host, as far as it is known.
#[derive(Debug, Default)]
pub(crate) struct OwnHost {
    known: Mutex<Option<ControlHost>>,
}

impl OwnHost {
    /// Returns the identity of this host, or `None` while its folder is not open.
    pub(crate) fn known(&self) -> Option<ControlHost> {
        self.known.lock().clone()
    }
}

/// Opens the folder, finds the cluster and runs the voter; starts over whenever that fails.
///
/// When the disk is full or faulty for a while, the voter stops, so that it promises nothing that
/// is not stored, and restarts from the state on the disk as after a crash.
pub(crate) async fn run_voter(
    settings: Settings,
    voter: Arc<Voter>,
    own: Arc<OwnHost>,
    journal: Journal,
) {
    let Some(folder) = settings.data_dir.clone() else {
        journal.record(
            Event::StorageRefused,
            &settings.host,
            "the settings name no data folder",
        );
        return;
    };
    loop {
        let new_id = VoterId(rand::random());
        let opened = disk::open(folder.clone(), voter.location().clone(), new_id).await;
        let reason = match opened {
            Ok((storage, opened)) => {
                let run = prepare_voter(&settings, &voter, &own, storage, opened).await;
                match run {
                    Ok(folder) => voter.run(folder).await,
                    Err(reason) => reason,
                }
            }
            Err(reason) => reason,
        };
        journal.record(Event::StorageRefused, &settings.host, first_line(&reason));
        pause(REOPEN_PAUSE).await;
    }
}

fn first_line(text: &str) -> &str {
    text.lines().next().unwrap_or(text)
}

/// Joins the cluster that this host belongs to, or finds it first, and returns the folder to run.
async fn prepare_voter(
    settings: &Settings,
    voter: &Voter,
    own: &OwnHost,
    mut storage: snipemast_control::DiskStorage,
    opened: snipemast_control::Recovery,
) -> Result<Folder, String> {
    let identity = storage.identity().clone();
    let me = ControlHost {
        voter: identity.voter,
        location: voter.location().clone(),
        cluster: identity.cluster,
        first_voters: identity.first_voters.clone(),
    };
    *own.known.lock() = Some(me.clone());
    let (cluster, first_voters) = match identity.cluster {
        Some(cluster) => (cluster, identity.first_voters.clone()),
        None => {
            let found = find_cluster(settings, &me).await;
            let joined = storage.join(found.0, found.1.clone());
            joined.map_err(|e| format!("{e:?}"))?;
            found
        }
    };
    if let Some(known) = own.known.lock().as_mut() {
        (known.cluster, known.first_voters) = (Some(cluster), first_voters.clone());
    }
    let (voter, start) = (identity.voter, identity.starts);
    let params = node_params(voter, start, cluster, first_voters, opened.stored);
    Ok(Folder { storage, params })
}

/// Asks the seeds until there is a cluster to join or form.
async fn find_cluster(settings: &Settings, me: &ControlHost) -> (ClusterId, Voters) {
    let own = settings.internal_address();
    let mut clients: BTreeMap<SocketAddr, RpcClient> = BTreeMap::new();
    loop {
        let mut known = BTreeMap::from([(own, me.clone())]);
        let seeds = current_seeds(settings);
        for seed in seeds.iter().filter(|s| **s != own) {
            let client = clients
                .entry(*seed)
                .or_insert_with(|| RpcClient::new(*seed));
            let hello = Hello { voter: me.voter };
            if let Ok(answer) = client
                .call::<_, ControlHost>(path::HELLO, &hello, CALL_TIMEOUT)
                .await
            {
                known.insert(*seed, answer);
            }
        }
        if let Some(found) = choose_cluster(settings.bootstrap, own, &seeds, &known) {
            return found;
        }
        pause(ROUND_PAUSE).await;
    }
}

/// Returns the seeds in the settings file, which may change while this process runs.
fn current_seeds(settings: &Settings) -> Vec<SocketAddr> {
    let current = settings::reread();
    let mut seeds = current.map_or_else(|_| settings.internal_seeds(), |s| s.internal_seeds());
    seeds.sort_unstable();
    seeds.dedup();
    seeds
}

/// Asks the leader to let this host join, as long as it has no vote or hears no leader.
pub(crate) async fn request_membership(settings: Settings, voter: Arc<Voter>, own: Arc<OwnHost>) {
    let mut clients: BTreeMap<SocketAddr, RpcClient> = BTreeMap::new();
    loop {
        pause(ROUND_PAUSE.times(2)).await;
        let Some(known) = own.known().filter(|_| voter.must_join()) else {
            continue;
        };
        let mut asked = current_seeds(&settings);
        asked.extend(voter.addresses());
        asked.sort_unstable();
        asked.dedup();
        asked.retain(|a| *a != settings.internal_address());
        let join = JoinRequest {
            voter: known.voter,
            location: known.location,
        };
        let mut leader = None;
        for address in asked {
            let client = clients
                .entry(address)
                .or_insert_with(|| RpcClient::new(address));
            let joined = client
                .call::<_, JoinAnswer>(path::JOIN, &join, CALL_TIMEOUT)
                .await;
            if let Ok(JoinAnswer { leader: Some(at) }) = joined {
                leader = Some(at);
                break;
            }
        }
        if let Some(address) = leader {
            let client = clients
                .entry(address)
                .or_insert_with(|| RpcClient::new(address));
            // If this was not the leader, the next round asks again.
            let _ = client
                .call::<_, JoinAnswer>(path::JOIN, &join, CALL_TIMEOUT)
                .await;
        }
    }
}
