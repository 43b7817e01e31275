//! Idempotency keys and suspected requests: this entry's keeper, and its claims at other keepers.

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

/// The most claims that one keeper holds.
const MAX_CLAIMS: usize = 100_000;
/// How long another entry may take to answer.
const ANSWER_TIMEOUT: Span = Span::from_millis(500);
/// The interval at which the table of keepers is checked and missing shards are copied.
const CHECK_INTERVAL: Span = Span::from_millis(200);
/// The number of checks from one fetch of another entry's suspicions to the next.
const CHECKS_PER_QUERY: u32 = 10;
/// The most connection pools that are kept; beyond it all are dropped and opened as needed.
const MAX_PEERS: usize = 1_024;

/// The outcome of a claim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimOutcome {
    /// The result.
    pub claimed: ClaimResult,
    /// The value that was chosen.
    pub value: Option<ClaimValue>,
    /// The number of the key's attempt.
    pub attempt: u64,
}

/// An entry's keeper of claims and its suspicions.
#[derive(Debug)]
pub struct Keys {
    keeper: Mutex<Keeper>,
    suspicions: RwLock<Suspicions>,
    peers: Mutex<HashMap<SocketAddr, Arc<Peer>>>,
}

impl Keys {
    /// Creates an empty state in a process whose clock starts now.
    ///
    /// `hold` is longer than any deadline, so that a key outlives every attempt that was made for
    /// it.
    pub fn new(process: &ProcessId, hold: Span) -> Self {
        let keeper = Keeper::new(process.clone(), Moment::ZERO, hold, MAX_CLAIMS);
        Self {
            keeper: Mutex::new(keeper),
            suspicions: RwLock::new(Suspicions::new(process.clone(), hold)),
            peers: Mutex::default(),
        }
    }

    /// Answers an ask from a claimer or another keeper.
    pub fn answer_ask(&self, shared: &Shared, ask: KeeperAsk) -> KeeperAnswer {
        let config = shared.config();
        let now = shared.clock.now();
        let mut keeper = self.keeper.lock();
        keeper.apply_table(now, &config.keepers);
        keeper.handle(now, ask)
    }

    /// Returns whether this entry votes in every shard that it keeps.
    pub fn is_ready(&self, shared: &Shared) -> bool {
        let (config, now) = (shared.config(), shared.clock.now());
        let mut keeper = self.keeper.lock();
        keeper.apply_table(now, &config.keepers);
        keeper.is_ready(now)
    }

    /// Returns the number of claims that this entry holds as a keeper.
    pub fn claim_count(&self) -> usize {
        self.keeper.lock().len()
    }

    /// Returns whether a request is clear, suspected or quarantined.
    pub fn suspicion_state(&self, now: Moment, fingerprint: Fingerprint) -> SuspicionState {
        let suspicions = self.suspicions.read();
        if suspicions.is_empty() {
            return SuspicionState::Clear;
        }
        suspicions.state(now, fingerprint)
    }

    /// Returns every suspected request with the number of its crashes.
    pub fn suspects(&self, now: Moment) -> Vec<(Fingerprint, usize)> {
        let list = self.suspicions.read().list(now);
        list.into_iter().map(|(f, c)| (f, c.len())).collect()
    }

    /// Clears a request that completed.
    pub fn record_completion(&self, now: Moment, fingerprint: Fingerprint) {
        if !self.suspicions.read().is_empty() {
            self.suspicions.write().record_completion(now, fingerprint);
        }
    }

    /// Clears a request at an operator's request, and tells the other entries.
    pub async fn lift(&self, shared: &Shared, fingerprint: Fingerprint) -> bool {
        let lifted = self
            .suspicions
            .write()
            .lift(shared.clock.now(), fingerprint);
        if lifted {
            self.broadcast_suspicions(shared).await;
        }
        lifted
    }

    /// Records a crash, and tells the other entries before it returns.
    ///
    /// Failure guarded against: a caller resends a crashing request to many entries at once, and
    /// one server is lost for each entry. A caller can resend only after it was answered, and it is
    /// answered after the reachable entries know of the crash.
    pub async fn record_crash(&self, shared: &Shared, fingerprint: Fingerprint, crash: Crash) {
        let now = shared.clock.now();
        self.suspicions
            .write()
            .record_crash(now, fingerprint, crash);
        self.broadcast_suspicions(shared).await;
    }

    async fn broadcast_suspicions(&self, shared: &Shared) {
        let delta = self
            .suspicions
            .read()
            .delta(shared.clock.now(), &KnownFacts::default());
        let message = Suspected {
            known: KnownFacts::default(),
            delta,
        };
        let send = |address| {
            let (peer, message) = (self.peer_at(address), message.clone());
            spawn(async move {
                let sent = peer
                    .call::<_, Suspected>(path::SUSPECTED, &message, ANSWER_TIMEOUT)
                    .await;
                if sent.is_err() {
                    peer.retire();
                }
            })
        };
        let tasks: Vec<_> = other_entries(shared).into_values().map(send).collect();
        for task in tasks {
            task.await;
        }
    }

    /// Merges another entry's suspicions, and returns those that it lacks.
    pub fn exchange_suspicions(&self, shared: &Shared, message: Suspected) -> Suspected {
        let now = shared.clock.now();
        self.merge(now, message.delta);
        let suspicions = self.suspicions.read();
        Suspected {
            known: suspicions.known_facts(),
            delta: suspicions.delta(now, &message.known),
        }
    }

    /// Returns the suspicions that an entry with these known facts lacks.
    pub fn delta(&self, now: Moment, known: &KnownFacts) -> Vec<SuspicionEntry> {
        self.suspicions.read().delta(now, known)
    }

    /// Merges the suspicions of other entries.
    pub fn merge(&self, now: Moment, delta: Vec<SuspicionEntry>) {
        if !delta.is_empty() {
            self.suspicions.write().merge(now, delta);
        }
    }

    /// Claims an attempt of a key at the key's keepers.
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
                        self.ask_keeper(shared, &hosts[keeper], ask.clone(), {
                            let (sender, round) = (sender.clone(), round.clone());
                            move |answer| {
                                // A claim that is decided no longer receives answers.
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

    /// Asks one keeper in the background; `on_answer` gets `None` if it doesn't answer in time.
    fn ask_keeper(
        &self,
        shared: &Shared,
        host: &HostId,
        ask: KeeperAsk,
        on_answer: impl FnOnce(Option<KeeperAnswer>) + Send + 'static,
    ) {
        if *host == shared.process.host {
            return on_answer(Some(self.answer_ask(shared, ask)));
        }
        let address = other_entries(shared).remove(host);
        let Some(address) = address else {
            return on_answer(None);
        };
        let peer = self.peer_at(address);
        spawn(async move {
            let answer = peer
                .call::<_, KeeperAnswer>(path::KEEPER, &ask, ANSWER_TIMEOUT)
                .await;
            if answer.is_err() {
                peer.retire();
            }
            on_answer(answer.ok());
        })
        .detach();
    }

    fn peer_at(&self, address: SocketAddr) -> Arc<Peer> {
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
            let Some(address) = other_entries(shared).remove(&host) else {
                continue;
            };
            let to = shared.process.clone();
            let ask = KeeperAsk::Copy { shard, to };
            let answer = self
                .peer_at(address)
                .call_fresh::<_, KeeperAnswer>(path::KEEPER, &ask, ANSWER_TIMEOUT)
                .await;
            if let Ok(KeeperAnswer::Copied { claims }) = answer {
                let now = shared.clock.now();
                self.keeper.lock().merge_copy(now, shard, &host, claims);
            }
        }
    }

    /// Fetches the suspicions that this entry lacks from one other entry.
    ///
    /// A restarted entry learns the suspicions in this way.
    async fn fetch_suspicions(&self, shared: &Shared, pass: u32) {
        let others: Vec<_> = other_entries(shared).into_values().collect();
        if others.is_empty() {
            return;
        }
        let peer = self.peer_at(others[pass as usize % others.len()]);
        let known = self.suspicions.read().known_facts();
        let message = Suspected {
            known,
            delta: Vec::new(),
        };
        let answer = peer
            .call::<_, Suspected>(path::SUSPECTED, &message, ANSWER_TIMEOUT)
            .await;
        if let Ok(answer) = answer {
            self.merge(shared.clock.now(), answer.delta);
        }
    }
}

/// Returns the addresses of the other entries by host.
fn other_entries(shared: &Shared) -> HashMap<HostId, SocketAddr> {
    let own = &shared.process.host;
    let read = |_, node: &snipemast_membership::Node| {
        let rows = node.table().rows().iter();
        let others = rows.filter(|(host, _)| *host != own);
        others
            .map(|(host, row)| (host.clone(), row.card.address))
            .collect()
    };
    shared.gossip.with_node(read).unwrap_or_default()
}

/// Applies the table of keepers, copies missing shards and drops what has expired, at a fixed
/// interval.
pub async fn maintain_keys_forever(shared: Arc<Shared>) {
    let mut pass = 0u32;
    loop {
        let config = shared.config();
        let now = shared.clock.now();
        {
            let mut keeper = shared.keys.keeper.lock();
            keeper.apply_table(now, &config.keepers);
            keeper.expire(now);
        }
        shared.keys.copy_missing(&shared).await;
        if pass.is_multiple_of(CHECKS_PER_QUERY) {
            shared.keys.suspicions.write().expire(now);
            shared
                .keys
                .fetch_suspicions(&shared, pass / CHECKS_PER_QUERY)
                .await;
        }
        pass = pass.wrapping_add(1);
        smol::Timer::after(CHECK_INTERVAL.as_duration()).await;
    }
}
