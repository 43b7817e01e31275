//! Calls of a group's lead to the processes beside its ranks.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use async_channel::{unbounded, Receiver, Sender};
use smol::Task;

use snipemast_core::prelude::*;
use snipemast_groups::switch::{Outcome, Phase, Send};
use snipemast_net::exec::{pause, spawn};
use snipemast_net::RpcClient;

use crate::peers::{path, Execute, Executed, RankReport, StateQuery};

/// How long a rank may take to say how it is.
const LOOK: Span = Span::from_millis(500);

/// How long a rank may take to carry out an order: its tries, with their limits.
const CARRY: Span = Span::from_millis(1_800);

/// The pause after an order that reached nobody: a rank's process may be back soon.
const AGAIN: Span = Span::from_millis(100);

/// Calls to the ranks of a group.
pub(crate) struct Calls {
    clients: HashMap<SocketAddr, Arc<RpcClient>>,
    lead: Ballot,
    /// Counts the orders given.
    number: u64,
    outcomes: (Sender<OrderOutcome>, Receiver<OrderOutcome>),
    orders: Vec<Task<()>>,
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
            clients: HashMap::new(),
            lead: Ballot(0),
            number: 0,
            outcomes: unbounded(),
            orders: Vec::new(),
        }
    }

    /// Gives orders as a lead above another one from now on.
    pub(crate) fn lead_above(&mut self, other: Ballot) -> Ballot {
        self.lead = other.max(self.lead).next();
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
                let client = self.client(address);
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
        for send in sends {
            let client = self.client(addresses[send.rank]);
            self.number += 1;
            let order = Execute {
                lead: self.lead,
                number: self.number,
                epoch: send.epoch,
                order: send.order,
            };
            let sender = self.outcomes.0.clone();
            let (rank, phase) = (send.rank, send.phase);
            self.orders.push(spawn(async move {
                let executed = client.call::<_, Executed>(path::ORDER, &order, CARRY).await;
                let outcome = match executed {
                    Ok(executed) => executed.outcome,
                    Err(_) => {
                        pause(AGAIN).await;
                        Outcome::Unsure
                    }
                };
                let told = OrderOutcome {
                    rank,
                    phase,
                    outcome,
                };
                // The lead has ended where nobody receives.
                let _ = sender.send(told).await;
            }));
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

    fn client(&mut self, address: SocketAddr) -> Arc<RpcClient> {
        let client = self.clients.entry(address);
        Arc::clone(client.or_insert_with(|| Arc::new(RpcClient::new(address))))
    }
}
