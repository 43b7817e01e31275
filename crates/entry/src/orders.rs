//! Sends the control leader's orders, and collects the control hosts' fencing numbers.

use std::sync::Arc;

use futures_lite::stream::{self, StreamExt};

use snipemast_config::wishes::{pending_actions, Action};
use snipemast_config::KeyHash;
use snipemast_core::prelude::*;
use snipemast_wire::order::{path, FenceAsk, FenceReport, Order, OrderAnswer, OrderId, VoterFence};
use snipemast_wire::{spawn, Peer};

use crate::registry::Member;
use crate::shared::Shared;

/// The interval at which the leader checks what servers lack.
const ROUND_INTERVAL: Span = Span::from_secs(1);
/// How long an order may take.
const ORDER_TIMEOUT: Span = Span::from_secs(120);
/// How long another host may take to report its fencing number.
const FENCE_TIMEOUT: Span = Span::from_millis(800);

/// Orders what servers lack, at a fixed interval while this host leads.
pub async fn send_orders_forever(shared: Arc<Shared>) {
    if shared.control().is_none() {
        return;
    }
    loop {
        smol::Timer::after(ROUND_INTERVAL.as_duration()).await;
        let config = shared.config();
        if config.servers.is_empty() {
            continue;
        }
        let rounds: Vec<_> = shared
            .registry
            .members()
            .into_iter()
            .map(|member| {
                let (shared, config) = (Arc::clone(&shared), Arc::clone(&config));
                spawn(async move {
                    for action in pending_actions(&config, &member.announce.info) {
                        send_order(&shared, &member, config.version, action).await;
                    }
                })
            })
            .collect();
        for round in rounds {
            round.await;
        }
    }
}

/// Sends one order, with the fencing number that is valid at this moment.
async fn send_order(shared: &Shared, member: &Member, version: Version, action: Action) {
    // Failure guarded against: a leader loses its leadership while it goes through the servers,
    // and keeps ordering. The number is read before each order, and there is none without a
    // lease.
    let Some(fence) = shared.control().and_then(|c| c.voter().fence()) else {
        return;
    };
    let order = Order {
        id: order_id(member, version, &action),
        agent: member.announce.agent.clone(),
        fence,
        left: ORDER_TIMEOUT,
        action,
    };
    let answer = member
        .peer
        .call::<_, OrderAnswer>(path::ORDER, &order, ORDER_TIMEOUT)
        .await;
    if let Ok(OrderAnswer::Refused(refusal)) = answer {
        shared
            .journal
            .record(Event::OrderRefused, &order.id, refusal);
    }
}

/// Returns the id of an order, which is the same for the same order in the same version, whichever
/// leader sends it.
fn order_id(member: &Member, version: Version, action: &Action) -> OrderId {
    let text = format!("{} {version} {action:?}", member.announce.agent);
    let hash = KeyHash::from_key(&text).to_string();
    format!("v{version}-{}", &hash[..16])
        .parse()
        .expect("digits and letters make a name")
}

/// Returns the fencing numbers of this host and of the hosts that it can reach.
pub async fn collect_fences(shared: &Shared, ask: FenceAsk) -> FenceReport {
    let mut report = own_report(shared);
    let Some(hops) = ask.hops.checked_sub(1) else {
        return report;
    };
    let others = match shared.control() {
        Some(control) => {
            let status = control.voter().status();
            let others = status.voters.voters.into_iter();
            let others = others.filter(|(id, _)| *id != status.voter);
            others.map(|(_, seat)| seat.address).collect()
        }
        None => shared.settings.seeds.clone(),
    };
    let hops = if shared.control().is_some() { 0 } else { hops };
    let asked: Vec<_> = others
        .into_iter()
        .map(|address| {
            spawn(async move {
                let peer = Peer::new(address);
                let ask = FenceAsk { hops };
                peer.call::<_, FenceReport>(path::FENCES, &ask, FENCE_TIMEOUT)
                    .await
                    .ok()
            })
        })
        .collect();
    let mut answers = stream::iter(asked).then(|task| task);
    while let Some(answer) = answers.next().await {
        report.extend(answer.unwrap_or_default());
    }
    report
}

/// Returns this host's own fencing number, if it is a voter.
///
/// Failure guarded against: a host without a vote counts towards a majority, and the highest number
/// is missed. A voter reports at least its term, since it no longer helps to elect or confirm a
/// leader of a lower term.
fn own_report(shared: &Shared) -> FenceReport {
    let Some(control) = shared.control() else {
        return FenceReport::default();
    };
    let status = control.voter().status();
    if status.ended || !status.voters.is_voter(status.voter) {
        return FenceReport::default();
    }
    let told = VoterFence {
        host: shared.settings.host.clone(),
        fence: status.fence.max(Fence(status.term.get())),
    };
    FenceReport {
        voters: status.voters.voters.len() as u32,
        told: vec![told],
    }
}
