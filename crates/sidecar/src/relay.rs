//! Passes one order on to several ranks, for a lead whose link is too narrow for all of them.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use parking_lot::Mutex;

use snipemast_core::prelude::*;
use snipemast_groups::switch::Outcome;
use snipemast_net::exec::spawn;
use snipemast_net::RpcClient;

use crate::peers::{path, Execute, Executed, Relay, Relayed};

/// How long a rank may take to carry out an order: its tries, with their limits.
pub(crate) const CARRY: Span = Span::from_millis(1_800);

/// How long a process beside a rank may leave bytes unacknowledged before it is taken for gone: two
/// retransmissions. One whose host loses power while the group is held keeps it held until its connection is
/// given up and another one is opened.
const UNACKED: Span = Span::from_millis(500);

/// Connections to the processes beside other ranks.
#[derive(Debug, Default)]
pub(crate) struct Clients(Mutex<HashMap<SocketAddr, Arc<RpcClient>>>);

impl Clients {
    /// The client for an address.
    pub(crate) fn get(&self, address: SocketAddr) -> Arc<RpcClient> {
        let mut clients = self.0.lock();
        let client = clients.entry(address);
        let new = || Arc::new(RpcClient::new(address).with_ack_timeout(UNACKED));
        Arc::clone(client.or_insert_with(new))
    }
}

/// Passes an order on to ranks, all at once, and tells what became of it at each.
pub(crate) async fn pass_on(clients: &Clients, relay: Relay) -> Relayed {
    let order = Arc::new(relay.order);
    let sent: Vec<_> = relay
        .to
        .into_iter()
        .map(|address| {
            let (client, order) = (clients.get(address), Arc::clone(&order));
            spawn(async move { give(&client, &order).await })
        })
        .collect();
    let mut outcomes = Vec::with_capacity(sent.len());
    for sent in sent {
        outcomes.push(sent.await.unwrap_or(Outcome::Unsure));
    }
    Relayed { outcomes }
}

/// Gives an order to the process beside a rank; nothing where it is not known what became of it.
pub(crate) async fn give(client: &RpcClient, order: &Execute) -> Option<Outcome> {
    let executed = client.call::<_, Executed>(path::ORDER, order, CARRY).await;
    executed.ok().map(|executed| executed.outcome)
}
