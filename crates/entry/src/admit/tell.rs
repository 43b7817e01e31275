//! Tells the other entries this one's demands by membership's exchange, and takes theirs.

use std::sync::Arc;

use snipemast_core::prelude::*;
use snipemast_membership as gossip;
use snipemast_routing::Summary;
use snipemast_wire::codec::{decode, encode};

use crate::shared::Shared;

/// How often demands are told in a small fleet.
const PACE: Span = Span::from_secs(1);
/// How much longer that takes for each entry: the exchange has a budget of bytes.
const PACE_EACH: Span = Span::from_millis(50);
/// How many times the pace a told demand lives.
const LIFE: u64 = 4;
/// How often others' demands are looked at between two tellings.
const HEARINGS: u64 = 4;

/// Tells the other entries this one's demands, and takes theirs, again and again.
pub async fn tell_forever(shared: Arc<Shared>) {
    let admission = &shared.admission;
    loop {
        let entries = shared
            .gossip
            .look(|_, node| node.table().rows().len())
            .unwrap_or_default();
        let pace = pace(entries as u64);
        admission.set_pace(pace);
        let summary = encode(&admission.summary());
        shared
            .gossip
            .publish(&shared, gossip::Topic::Demand, summary, pace.times(LIFE));
        for _ in 0..HEARINGS {
            let part = Span::from_micros(pace.as_micros() / HEARINGS);
            smol::Timer::after(part.as_duration()).await;
            hear(&shared);
        }
    }
}

fn hear(shared: &Shared) {
    for (_, value) in shared.gossip.values(gossip::Topic::Demand) {
        // A value of a later release that can't be read is an entry that says nothing.
        if let Ok(summary) = decode::<Summary>(&value) {
            shared.admission.merge(&summary);
        }
    }
    // Only a zone buries its own entries: one that is merely cut off keeps its part.
    let buried = |_, node: &gossip::Node| node.table().tombstones().keys().cloned().collect();
    let gone: Vec<HostId> = shared.gossip.look(buried).unwrap_or_default();
    for host in gone {
        shared.admission.forget(&host);
    }
}

fn pace(entries: u64) -> Span {
    Span::from_micros(PACE.as_micros() + PACE_EACH.times(entries).as_micros())
}
