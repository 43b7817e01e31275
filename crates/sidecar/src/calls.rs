//! Calls of a group's lead to the processes beside its ranks.

use std::iter::repeat;
use std::net::SocketAddr;
use std::sync::Arc;

use async_channel::{unbounded, Receiver, Sender};
use smol::Task;

use snipemast_core::prelude::*;
use snipemast_groups::delivery::{plan_deliveries, Delivery};
use snipemast_groups::switch::{Order, Outcome, Phase, RankOrder};
use snipemast_groups::takeover::{next_lead_ballot, LEAD_RANK};
use snipemast_net::exec::{pause, spawn};

use crate::engine::Engine;
use crate::peers::{path, Execute, RankReport, Relay, Relayed, StateQuery};
use crate::rank::Rank;
use crate::relay::{give, Clients};

/// How long a rank may take to say how it is.
const LOOK: Span = Span::from_millis(500);

/// How long an order may take that is passed on: the way to the relay besides.
const RELAYED: Span = Span::from_millis(2_300);

/// The pause after an order that reached nobody: a rank's process may be back soon.
const AGAIN: Span = Span::from_millis(100);

/// How often ranks are asked that don't answer: a process that was killed is back within half a second.
const ROUNDS: usize = 4;

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
    /// The first rank, where its process is gone and it is ordered from here.
    first: Option<Arc<Rank>>,
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
            first: None,
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
        let rank = Rank::told_by(Engine::new(server), teller, journal.clone());
        self.holder = Some(Arc::new(rank));
    }

    /// Orders the first rank from here, or through its process again.
    pub(crate) fn order_first(&mut self, first: Option<Rank>) {
        self.first = first.map(Arc::new);
    }

    /// The rank that an order is for, where it is ordered from here.
    fn ordered_here(&self, send: &RankOrder) -> Option<Arc<Rank>> {
        match send.order {
            Order::Hold { .. } => self.holder.clone(),
            _ if send.rank == LEAD_RANK => self.first.clone(),
            _ => None,
        }
    }

    /// Gives orders as a lead above another one from now on.
    pub(crate) fn lead_above(&mut self, other: Ballot) -> Ballot {
        self.lead = next_lead_ballot(other.max(self.lead));
        self.lead
    }

    /// Gives orders under this ballot from now on.
    pub(crate) fn give_as(&mut self, lead: Ballot) {
        self.lead = lead;
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

    /// Asks ranks how they are, and those that did not answer again, some times.
    ///
    /// Load answered: of 192 processes one is nearly always away, and a group can be taken up only once each
    /// of them has answered. Asking all of them anew for one that was missing takes a look of 0.3 s each time.
    pub(crate) async fn look_again(
        &mut self,
        mut asked: Vec<SocketAddr>,
        query: &StateQuery,
    ) -> Vec<(SocketAddr, RankReport)> {
        let mut seen = Vec::with_capacity(asked.len());
        for round in 0..ROUNDS {
            if round > 0 {
                pause(AGAIN).await;
            }
            let queries = asked.iter().map(|address| (*address, query.clone()));
            seen.extend(self.look(queries.collect()).await);
            asked.retain(|address| seen.iter().all(|(told, _)| told != address));
            if asked.is_empty() {
                break;
            }
        }
        seen
    }

    /// Sends orders; what becomes of each is told by [`outcome`](Self::outcome).
    pub(crate) fn execute(&mut self, sends: Vec<RankOrder>, addresses: &[SocketAddr]) {
        self.orders.retain(|t| !t.is_finished());
        let (here, others): (Vec<RankOrder>, Vec<RankOrder>) = sends
            .into_iter()
            .partition(|send| self.ordered_here(send).is_some());
        let mut all = plan_deliveries(others, self.number);
        all.extend(here.into_iter().map(Delivery::Direct));
        for delivery in all {
            // One number will do for orders alike: each rank compares only with those that it got itself.
            self.number += 1;
            match delivery {
                Delivery::Direct(send) => self.send(send, addresses),
                Delivery::Relayed { through, orders } => self.relay(through, orders, addresses),
            }
        }
    }

    fn send(&mut self, send: RankOrder, addresses: &[SocketAddr]) {
        let client = self.clients.get(addresses[send.rank]);
        let (rank, phase) = (send.rank, send.phase);
        let here = self.ordered_here(&send);
        let order = self.order(send);
        let sender = self.outcomes.0.clone();
        self.orders.push(spawn(async move {
            let outcome = match here {
                Some(rank) => Some(rank.execute(order).await.outcome),
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

    /// Lets a rank pass an order on to some.
    fn relay(&mut self, through: usize, sends: Vec<RankOrder>, addresses: &[SocketAddr]) {
        let Some(first) = sends.first().cloned() else {
            return;
        };
        let client = self.clients.get(addresses[through]);
        let ranks: Vec<usize> = sends.iter().map(|s| s.rank).collect();
        let (phase, sender) = (first.phase, self.outcomes.0.clone());
        let relay = Relay {
            order: self.order(first),
            to: ranks.iter().map(|rank| addresses[*rank]).collect(),
        };
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

    fn order(&self, send: RankOrder) -> Execute {
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

async fn tell(sender: &Sender<OrderOutcome>, rank: usize, phase: Phase, outcome: Outcome) {
    let told = OrderOutcome {
        rank,
        phase,
        outcome,
    };
    // The lead has ended where nobody receives.
    let _ = sender.send(told).await;
}
