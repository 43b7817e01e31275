//! Exchanges demands with the other entries over membership's piggybacked values.

use std::sync::Arc;

use snipemast_core::prelude::*;
use snipemast_membership as gossip;
use snipemast_routing::Summary;
use snipemast_wire::codec::{decode, encode};

use crate::shared::Shared;

/// The interval between two summaries in a small fleet.
const BASE_INTERVAL: Span = Span::from_secs(1);
/// The addition to the interval for each entry, since the exchange has a budget of bytes.
const INTERVAL_PER_ENTRY: Span = Span::from_millis(50);
/// The lifetime of a published summary, in intervals.
const LIFE_INTERVALS: u64 = 4;
/// How often the others' summaries are read in one interval.
const READS_PER_INTERVAL: u64 = 4;

/// Publishes this entry's demands and merges those of the others, at a fixed interval.
pub async fn exchange_demands_forever(shared: Arc<Shared>) {
    let admission = &shared.admission;
    loop {
        let entries = shared
            .gossip
            .with_node(|_, node| node.table().rows().len())
            .unwrap_or_default();
        let interval = summary_interval(entries as u64);
        admission.set_summary_interval(interval);
        let summary = encode(&admission.summary());
        shared.gossip.publish(
            &shared,
            gossip::Topic::Demand,
            summary,
            interval.times(LIFE_INTERVALS),
        );
        for _ in 0..READS_PER_INTERVAL {
            let pause = Span::from_micros(interval.as_micros() / READS_PER_INTERVAL);
            smol::Timer::after(pause.as_duration()).await;
            merge_demands(&shared);
        }
    }
}

fn merge_demands(shared: &Shared) {
    for (_, value) in shared.gossip.values(gossip::Topic::Demand) {
        // An entry whose value can't be read, as from a later release, counts as silent.
        if let Ok(summary) = decode::<Summary>(&value) {
            shared.admission.merge(&summary);
        }
    }
    // Only the entry's own zone sets its tombstone, so an entry that is merely cut off keeps its share.
    let tombstones = |_, node: &gossip::Node| node.table().tombstones().keys().cloned().collect();
    let removed: Vec<HostId> = shared.gossip.with_node(tombstones).unwrap_or_default();
    for host in removed {
        shared.admission.forget(&host);
    }
}

fn summary_interval(entries: u64) -> Span {
    Span::from_micros(BASE_INTERVAL.as_micros() + INTERVAL_PER_ENTRY.times(entries).as_micros())
}
