//! The size of orders on the links of a large group's hosts.

use std::sync::Arc;

use quickcheck::quickcheck;

use snipemast_core::prelude::*;
use snipemast_groups::delivery::{plan_deliveries, Delivery};
use snipemast_groups::draft::{Base, Draft};
use snipemast_groups::map::ExpertMap;
use snipemast_groups::order::{Order, RankOrder};
use snipemast_groups::switch::Switch;

/// What the narrowest link carries in a tenth of a second, in bytes. An order that delays a group
/// may take no longer to leave a host.
const MAX_BYTES: usize = 75_000;

/// The size of a call without its order, in bytes.
const CALL_BYTES: usize = 300;

/// The size of the address of a rank that a call is relayed to, in bytes.
const ADDRESS_BYTES: usize = 24;

fn bytes(order: &Order) -> usize {
    rmp_serde::to_vec_named(order)
        .expect("an order can be serialized")
        .len()
}

/// Returns one order for each of this many ranks.
fn to_all(ranks: usize, order: &Order) -> Vec<RankOrder> {
    let mut switch = Switch::new(ranks, Ballot(1));
    let now = Moment::from_millis(0);
    let map = Arc::new(ExpertMap::default());
    let draft = Draft::Whole(Arc::clone(&map));
    let sends = switch.begin(now, GroupIncarnation(1), MapVersion(1), draft, map);
    let sends = sends.into_iter();
    sends
        .map(|send| RankOrder {
            order: order.clone(),
            ..send
        })
        .collect()
}

/// Failure guarded against: every stream stands still for seconds, because the group is held while
/// orders to disarm, each with a full map, leave one host. Orders for a held group must leave a
/// host within a tenth of a second, at any size of the group.
#[test]
fn short_orders() {
    let (version, step) = (MapVersion(u64::MAX), Step(u64::MAX));
    let orders = [
        Order::Arm { version, step },
        Order::Disarm { unused: version },
        Order::Go { step },
        Order::Pledge { step },
        Order::Settle { step },
    ];
    for order in orders {
        for ranks in [4, 16, 72, 192, 355, 1_000] {
            let sent = sent_bytes(ranks, &order);
            assert!(sent <= MAX_BYTES, "{ranks} ranks, {order:?}: {sent} bytes");
        }
    }
}

/// Returns what one host sends for this many ranks to get an order, in bytes.
fn sent_bytes(ranks: usize, order: &Order) -> usize {
    let deliveries = plan_deliveries(to_all(ranks, order), 0).into_iter();
    let sizes = deliveries.map(|delivery| match delivery {
        Delivery::Direct(send) => CALL_BYTES + bytes(&send.order),
        Delivery::Relayed { orders, .. } => {
            assert!(orders.len() <= ranks.isqrt());
            CALL_BYTES + bytes(order) + ADDRESS_BYTES * orders.len()
        }
    });
    sizes.sum()
}

/// Failure guarded against: answers are late for half a second more after each shift of the demand,
/// because the full map of 17 kB leaves the lead's host 15 times and each relay's 13 times. A draft
/// with two copies per rank must leave a host within a tenth of a second.
#[test]
fn short_drafts() {
    for (ranks, sets, slots, experts) in [(72, 12, 3, 144), (192, 10, 3, 384)] {
        let base = Base::RoundRobin {
            layers: sets,
            ranks,
            slots,
            experts,
        };
        let old = ExpertMap::round_robin(usize::from(sets), ranks, slots, experts);
        let mut new = old.clone();
        for copy in 0..2 * ranks {
            let (layer, rank) = (copy % sets, copy * 7 % ranks);
            new.layers[usize::from(layer)].set(rank, slots - 1, copy % experts);
        }
        let draft = Draft::new(base, &old, &Arc::new(new));
        let version = MapVersion(1);
        let sent = sent_bytes(usize::from(ranks), &Order::Prepare { version, draft });
        assert!(sent <= MAX_BYTES, "{ranks} ranks: {sent} bytes");
    }
}

/// Every rank gets its order once, whichever rank relays it.
#[test]
fn each_rank_once() {
    let order = Order::Disarm {
        unused: MapVersion(1),
    };
    for (ranks, turn) in [(1, 0), (18, 3), (19, 5), (192, 7), (355, 11)] {
        let mut reached = Vec::new();
        for delivery in plan_deliveries(to_all(ranks, &order), turn) {
            match delivery {
                Delivery::Direct(send) => reached.push(send.rank),
                Delivery::Relayed { through, orders } => {
                    assert!(orders.iter().any(|s| s.rank == through));
                    reached.extend(orders.iter().map(|s| s.rank));
                }
            }
        }
        reached.sort_unstable();
        assert!(reached.into_iter().eq(0..ranks));
    }
}

/// A map that is prepared only to outdate an arming is complete, and has its rank copy nothing.
#[test]
fn held_map_complete() {
    for (rank, ranks, slots, experts) in [(0, 16, 5, 64), (191, 192, 3, 384), (3, 4, 2, 8)] {
        let dealt = ExpertMap::round_robin(3, ranks, slots, experts);
        let held: Vec<Vec<u16>> = dealt
            .layers
            .iter()
            .map(|layer| {
                let held = layer.rank_slots(rank).iter();
                held.copied().filter(|e| *e < experts).collect()
            })
            .collect();
        let kept = ExpertMap::from_rank(rank, &held, ranks, experts).expect("the experts fit");
        assert!(kept.is_whole(usize::from(experts)));
        for (layer, held) in kept.layers.iter().zip(&held) {
            assert!(held.iter().all(|e| layer.holds(rank, *e)));
            assert!(layer.slots() <= slots);
        }
    }
}

quickcheck! {
    /// Failure guarded against: a sidecar ends because its model server names a rank, a group size or experts that don't fit
    /// together.
    fn any_report_survived(rank: u16, held: Vec<Vec<u16>>, ranks: u8, experts: u16) -> bool {
        let (rank, ranks) = (rank % 300, u16::from(ranks));
        let map = ExpertMap::from_rank(rank, &held, ranks, experts);
        let known = held.iter().flatten().all(|e| *e < experts);
        map.is_none_or(|map| map.is_sound() && (!known || map.is_whole(usize::from(experts))))
    }

    /// Failure guarded against: a sidecar ends because an operator's configuration names more experts than a group has places
    /// for, or more places than a process can hold.
    fn any_configuration_survived(layers: u16, ranks: u16, slots: u8, experts: u16) -> bool {
        let slots = u16::from(slots);
        let map = ExpertMap::fitting_round_robin(layers, ranks, slots, experts);
        map.is_none_or(|map| map.is_sound() && map.is_whole(usize::from(experts)))
    }
}
