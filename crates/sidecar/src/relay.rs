//! Forwards one order to several ranks, for a lead whose link is too narrow to send it to all of them.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use parking_lot::Mutex;

use snipemast_core::prelude::*;
use snipemast_groups::switch::Outcome;
use snipemast_net::exec::spawn;
use snipemast_net::RpcClient;

use crate::peers::{path, Execute, Executed, Relay, Relayed};

/// How long a rank may take to carry out an order: all of its attempts with their timeouts.
pub(crate) const EXECUTE_TIMEOUT: Span = Span::from_millis(1_800);

/// How long a process beside a rank may leave bytes unacknowledged before its connection counts as broken: two
/// retransmissions. Where a host loses power while the group is held, the group stays held until the connection
/// is closed and another one is opened.
const UNACKED_TIMEOUT: Span = Span::from_millis(500);

/// Connections to the processes beside other ranks.
#[derive(Debug, Default)]
pub(crate) struct Clients(Mutex<HashMap<SocketAddr, Arc<RpcClient>>>);

impl Clients {
    /// Returns the client for an address, and creates it at first use.
    pub(crate) fn get(&self, address: SocketAddr) -> Arc<RpcClient> {
        let mut clients = self.0.lock();
        let client = clients.entry(address);
        let new = || Arc::new(RpcClient::new(address).with_ack_timeout(UNACKED_TIMEOUT));
        Arc::clone(client.or_insert_with(new))
    }
}

/// Sends an order to several ranks at once, and returns its outcome at each.
pub(crate) async fn forward_order(clients: &Clients, relay: Relay) -> Relayed {
    let order = Arc::new(relay.order);
    let sent: Vec<_> = relay
        .to
        .into_iter()
        .map(|address| {
            let (client, order) = (clients.get(address), Arc::clone(&order));
            spawn(async move { send_order(&client, &order).await })
        })
        .collect();
    let mut outcomes = Vec::with_capacity(sent.len());
    for sent in sent {
        outcomes.push(sent.await.unwrap_or(Outcome::Unsure));
    }
    Relayed { outcomes }
}

/// Sends an order to the process beside a rank; returns nothing where its outcome is unknown.
pub(crate) async fn send_order(client: &RpcClient, order: &Execute) -> Option<Outcome> {
    let executed = client
        .call::<_, Executed>(path::ORDER, order, EXECUTE_TIMEOUT)
        .await;
    executed.ok().map(|executed| executed.outcome)
}
