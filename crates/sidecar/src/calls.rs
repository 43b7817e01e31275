//! Queries and orders that a group's lead sends to the processes beside its ranks.

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
use crate::relay::{send_order, Clients};

/// How long a process may take to report the state of its rank.
const STATE_TIMEOUT: Span = Span::from_millis(500);

/// How long a relayed order may take: the time of a direct order plus the way to the relay.
const RELAY_TIMEOUT: Span = Span::from_millis(2_300);

/// The pause after an unanswered call: the process beside the rank may be back soon.
const RETRY_PAUSE: Span = Span::from_millis(100);

/// How often ranks that don't answer are queried: a process that was killed is back within half a second.
const STATE_ROUNDS: usize = 4;

/// Sends queries and orders to the ranks of a group.
pub(crate) struct Calls {
    clients: Arc<Clients>,
    lead: Ballot,
    /// The number of orders given so far.
    number: u64,
    outcomes: (Sender<OrderOutcome>, Receiver<OrderOutcome>),
    order_tasks: Vec<Task<()>>,
    /// The rank that holds the group, where this process orders it directly.
    holder: Option<Arc<Rank>>,
    /// The first rank, where its process is gone and this process orders it directly.
    first_rank: Option<Arc<Rank>>,
}

/// The outcome of an order.
pub(crate) struct OrderOutcome {
    /// The rank that the order was for.
    pub(crate) rank: usize,
    /// The phase of the switch that the order belongs to.
    pub(crate) phase: Phase,
    /// The outcome at the rank.
    pub(crate) outcome: Outcome,
}

impl Calls {
    /// Creates the calls of a lead that has sent none yet.
    pub(crate) fn new() -> Self {
        Self {
            clients: Arc::default(),
            lead: Ballot(0),
            number: 0,
            outcomes: unbounded(),
            order_tasks: Vec::new(),
            holder: None,
            first_rank: None,
        }
    }

    /// Sets the rank that holds the group from now on.
    ///
    /// Failure guarded against: the host on which the hold was ordered freezes together with the rank that holds
    /// the group. That rank takes no order then, and the group stands still as long as the host does. So the
    /// lead, on its own host, orders the hold at a rank on another host, whose process can release the group.
    pub(crate) fn set_holder(
        &mut self,
        server: SocketAddr,
        process: SocketAddr,
        journal: &Journal,
    ) {
        if self.holder.as_ref().is_some_and(|h| h.address() == server) {
            return;
        }
        let process_client = self.clients.get(process);
        let rank = Rank::with_peer(Engine::new(server), process_client, journal.clone());
        self.holder = Some(Arc::new(rank));
    }

    /// Orders the first rank directly, or through its process again where none is given.
    pub(crate) fn set_first_rank(&mut self, first: Option<Rank>) {
        self.first_rank = first.map(Arc::new);
    }

    /// Returns the rank that an order is for, where this process orders it directly.
    fn direct_rank(&self, rank_order: &RankOrder) -> Option<Arc<Rank>> {
        match rank_order.order {
            Order::Hold { .. } => self.holder.clone(),
            _ if rank_order.rank == LEAD_RANK => self.first_rank.clone(),
            _ => None,
        }
    }

    /// Raises the ballot of later orders above another lead's, and returns it.
    pub(crate) fn raise_lead(&mut self, other: Ballot) -> Ballot {
        self.lead = next_lead_ballot(other.max(self.lead));
        self.lead
    }

    /// Sets the ballot of later orders.
    pub(crate) fn set_lead(&mut self, lead: Ballot) {
        self.lead = lead;
    }

    /// Queries the state of ranks, all at once; returns nothing for those that don't answer.
    pub(crate) async fn query_states(
        &mut self,
        queries: Vec<(SocketAddr, StateQuery)>,
    ) -> Vec<(SocketAddr, RankReport)> {
        let tasks: Vec<_> = queries
            .into_iter()
            .map(|(address, query)| {
                let client = self.clients.get(address);
                spawn(async move {
                    let report = client
                        .call::<_, RankReport>(path::STATE, &query, STATE_TIMEOUT)
                        .await;
                    report.ok().map(|report| (address, report))
                })
            })
            .collect();
        let mut reports = Vec::with_capacity(tasks.len());
        for task in tasks {
            reports.extend(task.await);
        }
        reports
    }

    /// Queries the state of ranks, and queries those that didn't answer again, [`STATE_ROUNDS`] times in all.
    ///
    /// Of 192 processes one is nearly always away, and a lead can adopt a group only once each of them has
    /// answered. Querying all of them anew for one that is missing would take 0.3 s each time.
    pub(crate) async fn query_until_complete(
        &mut self,
        mut processes: Vec<SocketAddr>,
        query: &StateQuery,
    ) -> Vec<(SocketAddr, RankReport)> {
        let mut reports = Vec::with_capacity(processes.len());
        for round in 0..STATE_ROUNDS {
            if round > 0 {
                pause(RETRY_PAUSE).await;
            }
            let queries = processes.iter().map(|address| (*address, query.clone()));
            reports.extend(self.query_states(queries.collect()).await);
            processes.retain(|address| reports.iter().all(|(answered, _)| answered != address));
            if processes.is_empty() {
                break;
            }
        }
        reports
    }

    /// Sends orders; [`next_outcome`](Self::next_outcome) returns the outcome of each.
    pub(crate) fn send_orders(&mut self, rank_orders: Vec<RankOrder>, addresses: &[SocketAddr]) {
        self.order_tasks.retain(|t| !t.is_finished());
        let (here, others): (Vec<RankOrder>, Vec<RankOrder>) = rank_orders
            .into_iter()
            .partition(|rank_order| self.direct_rank(rank_order).is_some());
        let mut all = plan_deliveries(others, self.number);
        all.extend(here.into_iter().map(Delivery::Direct));
        for delivery in all {
            // Equal orders share a number: each rank compares it only with those of the orders that it got itself.
            self.number += 1;
            match delivery {
                Delivery::Direct(rank_order) => self.send_direct(rank_order, addresses),
                Delivery::Relayed { through, orders } => self.relay(through, orders, addresses),
            }
        }
    }

    /// Sends an order to the process beside its rank, or to the rank itself where it is ordered directly.
    fn send_direct(&mut self, rank_order: RankOrder, addresses: &[SocketAddr]) {
        let client = self.clients.get(addresses[rank_order.rank]);
        let (rank, phase) = (rank_order.rank, rank_order.phase);
        let here = self.direct_rank(&rank_order);
        let order = self.build_order(rank_order);
        let sender = self.outcomes.0.clone();
        self.order_tasks.push(spawn(async move {
            let outcome = match here {
                Some(rank) => Some(rank.execute(order).await.outcome),
                None => send_order(&client, &order).await,
            };
            let outcome = match outcome {
                Some(outcome) => outcome,
                None => {
                    pause(RETRY_PAUSE).await;
                    Outcome::Unsure
                }
            };
            report_outcome(&sender, rank, phase, outcome).await;
        }));
    }

    /// Sends an order to the process beside one rank, which forwards it to the others.
    fn relay(&mut self, through: usize, rank_orders: Vec<RankOrder>, addresses: &[SocketAddr]) {
        let Some(first) = rank_orders.first().cloned() else {
            return;
        };
        let client = self.clients.get(addresses[through]);
        let ranks: Vec<usize> = rank_orders.iter().map(|s| s.rank).collect();
        let (phase, sender) = (first.phase, self.outcomes.0.clone());
        let relay = Relay {
            order: self.build_order(first),
            to: ranks.iter().map(|rank| addresses[*rank]).collect(),
        };
        self.order_tasks.push(spawn(async move {
            let relayed = client
                .call::<_, Relayed>(path::RELAY, &relay, RELAY_TIMEOUT)
                .await;
            let outcomes = relayed.map_or_else(|_| Vec::new(), |r| r.outcomes);
            let outcomes = outcomes.into_iter().chain(repeat(Outcome::Unsure));
            for (rank, outcome) in ranks.into_iter().zip(outcomes) {
                report_outcome(&sender, rank, phase, outcome).await;
            }
        }));
    }

    /// Builds the message that gives an order.
    fn build_order(&self, rank_order: RankOrder) -> Execute {
        Execute {
            lead: self.lead,
            number: self.number,
            epoch: rank_order.epoch,
            order: rank_order.order,
        }
    }

    /// Returns the outcome of the next order that is settled, or nothing once the limit has passed.
    pub(crate) async fn next_outcome(&self, limit: Span) -> Option<OrderOutcome> {
        let receiver = self.outcomes.1.clone();
        let received = async { receiver.recv().await.ok() };
        let late = async {
            pause(limit).await;
            None
        };
        futures_lite::future::or(received, late).await
    }
}

/// Reports the outcome of an order to the lead.
async fn report_outcome(
    sender: &Sender<OrderOutcome>,
    rank: usize,
    phase: Phase,
    outcome: Outcome,
) {
    let report = OrderOutcome {
        rank,
        phase,
        outcome,
    };
    // The receiver is gone only where the lead has ended.
    let _ = sender.send(report).await;
}
