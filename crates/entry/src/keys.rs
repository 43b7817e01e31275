//! Keys and suspicions of an entry: its own share as a keeper, and its claims at others.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use parking_lot::{Mutex, RwLock};

use snipemast_core::prelude::*;
use snipemast_requests::claim::Round;
use snipemast_requests::suspicion::{KnownFacts, SuspicionEntry, SuspicionState};
use snipemast_requests::{
    ClaimKey, ClaimResult, ClaimStep, ClaimValue, Claimer, Crash, Fingerprint, Keeper,
    KeeperAnswer, KeeperAsk, Suspicions,
};
use snipemast_wire::message::path;
use snipemast_wire::{spawn, Peer, Suspected};

use crate::shared::Shared;

/// The claims that one keeper holds at most.
const CLAIMS: usize = 100_000;
/// How long a keeper gets to answer.
const PATIENCE: Span = Span::from_millis(500);
/// How often the table is looked at and missing shards are copied.
const LOOK: Span = Span::from_millis(200);
/// How often another entry is asked for suspicions.
const ASK: u32 = 10;
/// The pools of connections that are kept.
const MAX_PEERS: usize = 1_024;

/// What a claim came to: the verdict, the value that was chosen, and which attempt it is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimOutcome {
    /// The verdict.
    pub claimed: ClaimResult,
    /// The value that was chosen.
    pub value: Option<ClaimValue>,
    /// The number of the key's attempt.
    pub attempt: u64,
}

/// An entry's share of the keys.
#[derive(Debug)]
pub struct Keys {
    keeper: Mutex<Keeper>,
    suspicions: RwLock<Suspicions>,
    peers: Mutex<HashMap<SocketAddr, Arc<Peer>>>,
}

impl Keys {
    /// A share that is empty, in a process whose clock starts now.
    ///
    /// Claims are held for longer than any deadline, so that a key outlives every attempt that
    /// was made for it.
    pub fn new(process: &ProcessId, hold: Span) -> Self {
        let keeper = Keeper::new(process.clone(), Moment::ZERO, hold, CLAIMS);
        Self {
            keeper: Mutex::new(keeper),
            suspicions: RwLock::new(Suspicions::new(process.clone(), hold)),
            peers: Mutex::default(),
        }
    }

    /// Answers a claimer or another keeper.
    pub fn keep(&self, shared: &Shared, ask: KeeperAsk) -> KeeperAnswer {
        let config = shared.config();
        let now = shared.clock.now();
        let mut keeper = self.keeper.lock();
        keeper.apply_table(now, &config.keepers);
        keeper.handle(now, ask)
    }

    /// Whether this entry has a say in every shard that it keeps.
    pub fn is_ready(&self, shared: &Shared) -> bool {
        let (config, now) = (shared.config(), shared.clock.now());
        let mut keeper = self.keeper.lock();
        keeper.apply_table(now, &config.keepers);
        keeper.is_ready(now)
    }

    /// How many claims this entry holds as a keeper.
    pub fn claims(&self) -> usize {
        self.keeper.lock().len()
    }

    /// What is known of a request.
    pub fn standing(&self, now: Moment, fingerprint: Fingerprint) -> SuspicionState {
        let suspicions = self.suspicions.read();
        if suspicions.is_empty() {
            return SuspicionState::Clear;
        }
        suspicions.state(now, fingerprint)
    }

    /// Every request under suspicion, with the number of its crashes.
    pub fn suspects(&self, now: Moment) -> Vec<(Fingerprint, usize)> {
        let list = self.suspicions.read().list(now);
        list.into_iter().map(|(f, c)| (f, c.len())).collect()
    }

    /// Clears a request that finished.
    pub fn finished(&self, now: Moment, fingerprint: Fingerprint) {
        if !self.suspicions.read().is_empty() {
            self.suspicions.write().record_completion(now, fingerprint);
        }
    }

    /// Clears a request by an operator's word, and tells the other entries.
    pub async fn lift(&self, shared: &Shared, fingerprint: Fingerprint) -> bool {
        let lifted = self
            .suspicions
            .write()
            .lift(shared.clock.now(), fingerprint);
        if lifted {
            self.tell(shared).await;
        }
        lifted
    }

    /// Takes note of a crash, and tells the other entries before anything else happens.
    ///
    /// Failure guarded against: a caller that sends a crashing request again to many entries at
    /// once. It shows as one server lost for each entry. A caller can send again only after it
    /// was answered, and it is answered after the entries that can be reached know.
    pub async fn crashed(&self, shared: &Shared, fingerprint: Fingerprint, crash: Crash) {
        let now = shared.clock.now();
        self.suspicions
            .write()
            .record_crash(now, fingerprint, crash);
        self.tell(shared).await;
    }

    async fn tell(&self, shared: &Shared) {
        let delta = self
            .suspicions
            .read()
            .delta(shared.clock.now(), &KnownFacts::default());
        let message = Suspected {
            known: KnownFacts::default(),
            delta,
        };
        let tell = |address| {
            let (peer, message) = (self.peer(address), message.clone());
            spawn(async move {
                let told = peer
                    .call::<_, Suspected>(path::SUSPECTED, &message, PATIENCE)
                    .await;
                if told.is_err() {
                    peer.retire();
                }
            })
        };
        let tasks: Vec<_> = others(shared).into_values().map(tell).collect();
        for task in tasks {
            task.await;
        }
    }

    /// Takes what another entry suspects, and answers with what it lacks.
    pub fn take(&self, shared: &Shared, message: Suspected) -> Suspected {
        let now = shared.clock.now();
        self.merge(now, message.delta);
        let suspicions = self.suspicions.read();
        Suspected {
            known: suspicions.known_facts(),
            delta: suspicions.delta(now, &message.known),
        }
    }

    /// What this entry suspects and another lacks, for whatever carries it.
    pub fn delta(&self, now: Moment, known: &KnownFacts) -> Vec<SuspicionEntry> {
        self.suspicions.read().delta(now, known)
    }

    /// Takes what other entries suspect.
    pub fn merge(&self, now: Moment, delta: Vec<SuspicionEntry>) {
        if !delta.is_empty() {
            self.suspicions.write().merge(now, delta);
        }
    }

    /// Claims an attempt of a key at its keepers.
    pub async fn claim(
        &self,
        shared: &Shared,
        key: ClaimKey,
        attempt: u64,
        value: ClaimValue,
    ) -> ClaimOutcome {
        let config = shared.config();
        let shard = key.shard(config.keepers.len());
        let Some(hosts) = config.keepers.get(shard) else {
            return ClaimOutcome {
                claimed: ClaimResult::Undecided,
                value: None,
                attempt,
            };
        };
        let mut claimer = Claimer::new(key, attempt, value, hosts, shared.settings.limits.hold);
        let (sender, answers) = async_channel::unbounded();
        let mut step = claimer.begin();
        loop {
            let round = claimer.round().clone();
            match step {
                ClaimStep::Ask(keepers, ask) => {
                    for keeper in keepers {
                        self.ask(shared, &hosts[keeper], ask.clone(), {
                            let (sender, round) = (sender.clone(), round.clone());
                            move |answer| {
                                // A claim that is decided waits for no more answers.
                                let _ = sender.try_send((round, keeper, answer));
                            }
                        });
                    }
                    step = ClaimStep::Wait;
                }
                ClaimStep::Pause(pause) => {
                    smol::Timer::after(pause.as_duration()).await;
                    step = claimer.begin();
                }
                ClaimStep::Wait => {
                    let (round, keeper, answer): (Round, usize, Option<KeeperAnswer>) =
                        answers.recv().await.expect("this function holds a sender");
                    step = claimer.handle(&round, keeper, answer);
                }
                ClaimStep::Done(claimed, value, attempt) => {
                    return ClaimOutcome {
                        claimed,
                        value,
                        attempt,
                    };
                }
            }
        }
    }

    /// Asks one keeper in the background; nothing comes back where it does not answer in time.
    fn ask(
        &self,
        shared: &Shared,
        host: &HostId,
        ask: KeeperAsk,
        done: impl FnOnce(Option<KeeperAnswer>) + Send + 'static,
    ) {
        if *host == shared.process.host {
            return done(Some(self.keep(shared, ask)));
        }
        let address = others(shared).remove(host);
        let Some(address) = address else {
            return done(None);
        };
        let peer = self.peer(address);
        spawn(async move {
            let answer = peer
                .call::<_, KeeperAnswer>(path::KEEPER, &ask, PATIENCE)
                .await;
            if answer.is_err() {
                peer.retire();
            }
            done(answer.ok());
        })
        .detach();
    }

    fn peer(&self, address: SocketAddr) -> Arc<Peer> {
        let mut peers = self.peers.lock();
        if peers.len() >= MAX_PEERS {
            peers.clear();
        }
        let peer = peers
            .entry(address)
            .or_insert_with(|| Arc::new(Peer::new(address)));
        Arc::clone(peer)
    }

    async fn copy_missing(&self, shared: &Shared) {
        let missing = self.keeper.lock().missing_copies();
        for (shard, host) in missing {
            let Some(address) = others(shared).remove(&host) else {
                continue;
            };
            let to = shared.process.clone();
            let ask = KeeperAsk::Copy { shard, to };
            let answer = self
                .peer(address)
                .call_fresh::<_, KeeperAnswer>(path::KEEPER, &ask, PATIENCE)
                .await;
            if let Ok(KeeperAnswer::Copied { claims }) = answer {
                let now = shared.clock.now();
                self.keeper.lock().merge_copy(now, shard, &host, claims);
            }
        }
    }

    /// Asks one other entry for what this one lacks: how a restarted entry learns suspicions.
    async fn ask_suspicions(&self, shared: &Shared, turn: u32) {
        let others: Vec<_> = others(shared).into_values().collect();
        if others.is_empty() {
            return;
        }
        let peer = self.peer(others[turn as usize % others.len()]);
        let known = self.suspicions.read().known_facts();
        let message = Suspected {
            known,
            delta: Vec::new(),
        };
        let answer = peer
            .call::<_, Suspected>(path::SUSPECTED, &message, PATIENCE)
            .await;
        if let Ok(answer) = answer {
            self.merge(shared.clock.now(), answer.delta);
        }
    }
}

/// Where the other entries listen, by host.
fn others(shared: &Shared) -> HashMap<HostId, SocketAddr> {
    let own = &shared.process.host;
    let read = |_, node: &snipemast_membership::Node| {
        let rows = node.table().rows().iter();
        let others = rows.filter(|(host, _)| *host != own);
        others
            .map(|(host, row)| (host.clone(), row.card.address))
            .collect()
    };
    shared.gossip.look(read).unwrap_or_default()
}

/// Keeps the share in step with the table, copies what is missing and forgets what has run out.
pub async fn keep_keys_forever(shared: Arc<Shared>) {
    let mut turn = 0u32;
    loop {
        let config = shared.config();
        let now = shared.clock.now();
        {
            let mut keeper = shared.keys.keeper.lock();
            keeper.apply_table(now, &config.keepers);
            keeper.expire(now);
        }
        shared.keys.copy_missing(&shared).await;
        if turn.is_multiple_of(ASK) {
            shared.keys.suspicions.write().expire(now);
            shared.keys.ask_suspicions(&shared, turn / ASK).await;
        }
        turn = turn.wrapping_add(1);
        smol::Timer::after(LOOK.as_duration()).await;
    }
}
