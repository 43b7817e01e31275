//! Orders of the control leader, and what control hosts tell of fencing numbers.

use std::sync::Arc;

use futures_lite::stream::{self, StreamExt};

use snipemast_config::wishes::{pending_actions, Action};
use snipemast_config::KeyHash;
use snipemast_core::prelude::*;
use snipemast_wire::order::{path, FenceAsk, FenceReport, Order, OrderAnswer, OrderId, Told};
use snipemast_wire::{spawn, Peer};

use crate::registry::Member;
use crate::shared::Shared;

/// How often the leader looks for servers that lack something.
const ROUND: Span = Span::from_secs(1);
/// How long an order may take.
const ORDER: Span = Span::from_secs(120);
/// How long another host may take to tell its fencing number.
const TIMEOUT: Span = Span::from_millis(800);

/// Orders, while this host leads, what servers lack.
pub async fn order_forever(shared: Arc<Shared>) {
    if shared.control().is_none() {
        return;
    }
    loop {
        smol::Timer::after(ROUND.as_duration()).await;
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
                        order(&shared, &member, config.version, action).await;
                    }
                })
            })
            .collect();
        for round in rounds {
            round.await;
        }
    }
}

/// Sends one order, with the fencing number that holds at this moment.
async fn order(shared: &Shared, member: &Member, version: Version, action: Action) {
    // Failure guarded against: a leader that lost its office while it went through the
    // servers. The number is asked for before each order, and there is none without a lease.
    let Some(fence) = shared.control().and_then(|c| c.voter().fence()) else {
        return;
    };
    let order = Order {
        id: order_id(member, version, &action),
        agent: member.announce.agent.clone(),
        fence,
        left: ORDER,
        action,
    };
    let answer = member
        .peer
        .call::<_, OrderAnswer>(path::ORDER, &order, ORDER)
        .await;
    if let Ok(OrderAnswer::Refused(refusal)) = answer {
        shared
            .journal
            .record(Event::OrderRefused, &order.id, refusal);
    }
}

/// The same order in the same version has the same id, whichever leader gives it.
fn order_id(member: &Member, version: Version, action: &Action) -> OrderId {
    let text = format!("{} {version} {action:?}", member.announce.agent);
    let hash = KeyHash::from_key(&text).to_string();
    format!("v{version}-{}", &hash[..16])
        .parse()
        .expect("digits and letters make a name")
}

/// What this host and those that it can reach know of fencing numbers.
pub async fn fences(shared: &Shared, ask: FenceAsk) -> FenceReport {
    let mut report = own_word(shared);
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
                peer.call::<_, FenceReport>(path::FENCES, &ask, TIMEOUT)
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

/// This host's own word, where it votes.
///
/// Failure guarded against: a host that has no vote counts towards a majority, and the highest
/// number is missed. A voter's term is told, since no leader of a lower term can be elected or
/// confirmed with its help any more.
fn own_word(shared: &Shared) -> FenceReport {
    let Some(control) = shared.control() else {
        return FenceReport::default();
    };
    let status = control.voter().status();
    if status.ended || !status.voters.is_voter(status.voter) {
        return FenceReport::default();
    }
    let told = Told {
        host: shared.settings.host.clone(),
        fence: status.fence.max(Fence(status.term.get())),
    };
    FenceReport {
        voters: status.voters.voters.len() as u32,
        told: vec![told],
    }
}
