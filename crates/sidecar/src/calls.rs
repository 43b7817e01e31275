//! Calls of a group's lead to the processes beside its ranks.

use std::iter::repeat;
use std::net::SocketAddr;
use std::sync::Arc;

use async_channel::{unbounded, Receiver, Sender};
use smol::Task;

use snipemast_core::prelude::*;
use snipemast_groups::switch::{Order, Outcome, Phase, Send};
use snipemast_net::exec::{pause, spawn};

use crate::engine::Engine;
use crate::peers::{path, Execute, RankReport, Relay, Relayed, StateQuery};
use crate::rank::Rank;
use crate::relay::{give, Clients};

/// How long a rank may take to say how it is.
const LOOK: Span = Span::from_millis(500);

/// How long an order may take that is passed on: the way to the relay besides.
const RELAYED: Span = Span::from_millis(2_300);

/// With more ranks than this an order that all get alike is passed on by some of them. A map of 72 ranks
/// and 12 sets takes 3 kB: from one host with 8 Mbit/s it was 0.3 s until all had it.
const DIRECT: usize = 18;

/// The pause after an order that reached nobody: a rank's process may be back soon.
const AGAIN: Span = Span::from_millis(100);

/// Calls to the ranks of a group.
pub(crate) struct Calls {
    clients: Arc<Clients>,
    lead: Ballot,
    /// Counts the orders given.
    number: u64,
    outcomes: (Sender<OrderOutcome>, Receiver<OrderOutcome>),
    orders: Vec<Task<()>>,
    /// The rank that holds the group, as it is held from here.
    holder: Option<Arc<Rank>>,
}

/// What became of an order.
pub(crate) struct OrderOutcome {
    /// The rank that it was for.
    pub(crate) rank: usize,
    /// The phase of the switch that it belongs to.
    pub(crate) phase: Phase,
    /// What became of it.
    pub(crate) outcome: Outcome,
}

impl Calls {
    /// No call is under way.
    pub(crate) fn new() -> Self {
        Self {
            clients: Arc::default(),
            lead: Ballot(0),
            number: 0,
            outcomes: unbounded(),
            orders: Vec::new(),
            holder: None,
        }
    }

    /// Holds a group at this rank from now on.
    ///
    /// Failure guarded against: the host that gave the hold stands still, with the rank on it, which takes no
    /// order then: the group stands as long as the host. So the lead gives it, on its host, to a rank on
    /// another one, whose process can let the group go on.
    pub(crate) fn hold_at(&mut self, server: SocketAddr, process: SocketAddr, journal: &Journal) {
        if self.holder.as_ref().is_some_and(|h| h.address() == server) {
            return;
        }
        let teller = self.clients.get(process);
        let rank = Rank::from_afar(Engine::new(server), teller, journal.clone());
        self.holder = Some(Arc::new(rank));
    }

    /// Gives orders as a lead above another one from now on; a lead's ballots are odd.
    pub(crate) fn lead_above(&mut self, other: Ballot) -> Ballot {
        let above = other.max(self.lead).next();
        self.lead = if above.get() % 2 == 1 {
            above
        } else {
            above.next()
        };
        self.lead
    }

    /// Asks ranks how they are, all at once; nothing from those that do not answer.
    pub(crate) async fn look(
        &mut self,
        asked: Vec<(SocketAddr, StateQuery)>,
    ) -> Vec<(SocketAddr, RankReport)> {
        let tasks: Vec<_> = asked
            .into_iter()
            .map(|(address, query)| {
                let client = self.clients.get(address);
                spawn(async move {
                    let seen = client
                        .call::<_, RankReport>(path::STATE, &query, LOOK)
                        .await;
                    seen.ok().map(|seen| (address, seen))
                })
            })
            .collect();
        let mut all = Vec::with_capacity(tasks.len());
        for task in tasks {
            all.extend(task.await);
        }
        all
    }

    /// Sends orders; what becomes of each is told by [`outcome`](Self::outcome).
    pub(crate) fn execute(&mut self, sends: Vec<Send>, addresses: &[SocketAddr]) {
        self.orders.retain(|t| !t.is_finished());
        let alike = |s: &Send| matches!(s.order, Order::Prepare { .. });
        if sends.len() <= DIRECT || !sends.iter().all(alike) {
            for send in sends {
                self.number += 1;
                self.send(send, addresses);
            }
            return;
        }
        // One number will do: each rank compares only with those that it got itself.
        self.number += 1;
        let size = sends.len().isqrt();
        for part in sends.chunks(size) {
            self.relay(part, addresses);
        }
    }

    fn send(&mut self, send: Send, addresses: &[SocketAddr]) {
        let client = self.clients.get(addresses[send.rank]);
        let (rank, phase) = (send.rank, send.phase);
        let holds = matches!(send.order, Order::Hold { .. });
        let holder = self.holder.clone().filter(|_| holds);
        let order = self.order(send);
        let sender = self.outcomes.0.clone();
        self.orders.push(spawn(async move {
            let outcome = match holder {
                Some(holder) => Some(holder.execute(order).await.outcome),
                None => give(&client, &order).await,
            };
            let outcome = match outcome {
                Some(outcome) => outcome,
                None => {
                    pause(AGAIN).await;
                    Outcome::Unsure
                }
            };
            tell(&sender, rank, phase, outcome).await;
        }));
    }

    /// Lets one of some ranks pass an order on to them; another one each time, so that one that does
    /// not answer is in the way once.
    fn relay(&mut self, part: &[Send], addresses: &[SocketAddr]) {
        let through = &part[self.number as usize % part.len()];
        let client = self.clients.get(addresses[through.rank]);
        let relay = Relay {
            order: self.order(through.clone()),
            to: part.iter().map(|s| addresses[s.rank]).collect(),
        };
        let ranks: Vec<usize> = part.iter().map(|s| s.rank).collect();
        let (phase, sender) = (through.phase, self.outcomes.0.clone());
        self.orders.push(spawn(async move {
            let relayed = client
                .call::<_, Relayed>(path::RELAY, &relay, RELAYED)
                .await;
            let outcomes = relayed.map_or_else(|_| Vec::new(), |r| r.outcomes);
            let outcomes = outcomes.into_iter().chain(repeat(Outcome::Unsure));
            for (rank, outcome) in ranks.into_iter().zip(outcomes) {
                tell(&sender, rank, phase, outcome).await;
            }
        }));
    }

    fn order(&self, send: Send) -> Execute {
        Execute {
            lead: self.lead,
            number: self.number,
            epoch: send.epoch,
            order: send.order,
        }
    }

    /// What became of the next order that is settled, within a limit.
    pub(crate) async fn outcome(&self, limit: Span) -> Option<OrderOutcome> {
        let receiver = self.outcomes.1.clone();
        let told = async { receiver.recv().await.ok() };
        let late = async {
            pause(limit).await;
            None
        };
        futures_lite::future::or(told, late).await
    }
}

/// The ballot of a process that takes over from a lead: even, so that a lead that comes back at the same time
/// has another one.
pub(crate) fn deputy_above(other: Ballot) -> Ballot {
    let above = other.next();
    if above.get().is_multiple_of(2) {
        above
    } else {
        above.next()
    }
}

async fn tell(sender: &Sender<OrderOutcome>, rank: usize, phase: Phase, outcome: Outcome) {
    let told = OrderOutcome {
        rank,
        phase,
        outcome,
    };
    // The lead has ended where nobody receives.
    let _ = sender.send(told).await;
}
