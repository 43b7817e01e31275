//! Finds the cluster, or forms it on the first start, and runs the voter for as long as it can.
//!
//! On the first start the seed with the lowest address forms the cluster, as soon as every seed
//! has said that it is new. Whoever starts with an empty disk later only learns.

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
use crate::peers::{path, Join, Joined};
use crate::voter::{boot, Folder, Voter};

/// The pause between two rounds of asking others.
const ROUND: Span = Span::from_millis(150);

/// How long another controller may take to say who it is.
const LIMIT: Span = Span::from_millis(600);

/// The pause before a folder that failed is opened again.
const REOPEN: Span = Span::from_millis(400);

/// Who this host is, as far as it knows.
#[derive(Debug, Default)]
pub(crate) struct Own {
    known: Mutex<Option<ControlHost>>,
}

impl Own {
    /// Who this host is; nothing while its folder is not open.
    pub(crate) fn known(&self) -> Option<ControlHost> {
        self.known.lock().clone()
    }
}

/// Opens the folder, finds the cluster and runs the voter, again and again.
///
/// Failure guarded against: the disk is full or faulty for a while. The voter stops, so that it
/// promises nothing that is not kept, and starts again from what the disk holds, as after a crash.
pub(crate) async fn keep_running(
    settings: Settings,
    voter: Arc<Voter>,
    own: Arc<Own>,
    journal: Journal,
) {
    let Some(folder) = settings.folder.clone() else {
        journal.record(
            Event::StorageRefused,
            &settings.host,
            "no data folder is set",
        );
        return;
    };
    loop {
        let fresh = VoterId(rand::random());
        let opened = disk::open(folder.clone(), voter.location().clone(), fresh).await;
        let reason = match opened {
            Ok((storage, opened)) => {
                let run = prepare(&settings, &voter, &own, storage, opened).await;
                match run {
                    Ok(folder) => voter.run(folder).await,
                    Err(reason) => reason,
                }
            }
            Err(reason) => reason,
        };
        journal.record(Event::StorageRefused, &settings.host, first_line(&reason));
        pause(REOPEN).await;
    }
}

fn first_line(text: &str) -> &str {
    text.lines().next().unwrap_or(text)
}

async fn prepare(
    settings: &Settings,
    voter: &Voter,
    own: &Own,
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
            let found = find(settings, &me).await;
            let joined = storage.join(found.0, found.1.clone());
            joined.map_err(|e| format!("{e:?}"))?;
            found
        }
    };
    if let Some(known) = own.known.lock().as_mut() {
        (known.cluster, known.first_voters) = (Some(cluster), first_voters.clone());
    }
    let (voter, start) = (identity.voter, identity.starts);
    let boot = boot(voter, start, cluster, first_voters, opened.stored);
    Ok(Folder { storage, boot })
}

/// Asks the seeds until there is a cluster to belong to.
async fn find(settings: &Settings, me: &ControlHost) -> (ClusterId, Voters) {
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
                .call::<_, ControlHost>(path::HELLO, &hello, LIMIT)
                .await
            {
                known.insert(*seed, answer);
            }
        }
        if let Some(found) = choose_cluster(settings.first, own, &seeds, &known) {
            return found;
        }
        pause(ROUND).await;
    }
}

/// The seeds that the settings file names now; it may change while this process runs.
fn current_seeds(settings: &Settings) -> Vec<SocketAddr> {
    let fresh = settings::reread();
    let mut seeds = fresh.map_or_else(|_| settings.internal_seeds(), |s| s.internal_seeds());
    seeds.sort_unstable();
    seeds.dedup();
    seeds
}

/// Asks the leader for a vote, for as long as this host has none or hears no leader.
pub(crate) async fn keep_joining(settings: Settings, voter: Arc<Voter>, own: Arc<Own>) {
    let mut clients: BTreeMap<SocketAddr, RpcClient> = BTreeMap::new();
    loop {
        pause(ROUND.times(2)).await;
        let Some(known) = own.known().filter(|_| voter.is_outside()) else {
            continue;
        };
        let mut asked = current_seeds(&settings);
        asked.extend(voter.addresses());
        asked.sort_unstable();
        asked.dedup();
        asked.retain(|a| *a != settings.internal_address());
        let join = Join {
            voter: known.voter,
            location: known.location,
        };
        let mut leader = None;
        for address in asked {
            let client = clients
                .entry(address)
                .or_insert_with(|| RpcClient::new(address));
            let joined = client.call::<_, Joined>(path::JOIN, &join, LIMIT).await;
            if let Ok(Joined { leader: Some(at) }) = joined {
                leader = Some(at);
                break;
            }
        }
        if let Some(address) = leader {
            let client = clients
                .entry(address)
                .or_insert_with(|| RpcClient::new(address));
            // Whoever was told wrong asks again in the next round.
            let _ = client.call::<_, Joined>(path::JOIN, &join, LIMIT).await;
        }
    }
}
