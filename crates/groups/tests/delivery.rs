//! What orders take on the links of a large group's hosts.

use std::sync::Arc;

use snipemast_core::prelude::*;
use snipemast_groups::delivery::{plan_deliveries, Delivery};
use snipemast_groups::draft::{Base, Draft};
use snipemast_groups::map::ExpertMap;
use snipemast_groups::order::{Order, RankOrder};
use snipemast_groups::switch::Switch;

/// What the narrowest links carry in a tenth of a second, in bytes: an order that holds a group up may take no longer
/// to leave a host.
const TENTH: usize = 75_000;

/// What a call takes besides its order, and the address of a rank that it is passed on to.
const CALL: usize = 300;
const ADDRESS: usize = 24;

fn bytes(order: &Order) -> usize {
    rmp_serde::to_vec_named(order)
        .expect("an order can be written")
        .len()
}

/// One order to each of so many ranks.
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

/// A user sees every stream stand still for seconds: the group is held while orders to disarm, each with a whole
/// map in it, leave one host for all others. An order for a group that is held takes no more than a tenth of a
/// second to leave, at any size.
#[test]
fn held_orders_short() {
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
            let sent = sent(ranks, &order);
            assert!(sent <= TENTH, "{ranks} ranks, {order:?}: {sent} bytes");
        }
    }
}

/// What one host sends so that so many ranks get an order, in bytes.
fn sent(ranks: usize, order: &Order) -> usize {
    let deliveries = plan_deliveries(to_all(ranks, order), 0).into_iter();
    let sizes = deliveries.map(|delivery| match delivery {
        Delivery::Direct(send) => CALL + bytes(&send.order),
        Delivery::Relayed { orders, .. } => {
            assert!(orders.len() <= ranks.isqrt());
            CALL + bytes(order) + ADDRESS * orders.len()
        }
    });
    sizes.sum()
}

/// A user sees late answers for half a second more after each shift of the demand: the new map, 17 kB, leaves the
/// lead's host 15 times and each relay's 13 times. Told by what changes, two copies a rank, it takes no more than
/// a tenth of a second to leave.
#[test]
fn maps_short() {
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
        let sent = sent(usize::from(ranks), &Order::Prepare { version, draft });
        assert!(sent <= TENTH, "{ranks} ranks: {sent} bytes");
    }
}

/// Every rank gets its order once, whoever passes it on.
#[test]
fn each_rank_once() {
    let order = Order::Disarm {
        unused: MapVersion(1),
    };
    for (ranks, turn) in [(1, 0), (18, 3), (19, 5), (192, 7), (355, 11)] {
        let mut ranked = Vec::new();
        for delivery in plan_deliveries(to_all(ranks, &order), turn) {
            match delivery {
                Delivery::Direct(send) => ranked.push(send.rank),
                Delivery::Relayed { through, orders } => {
                    assert!(orders.iter().any(|s| s.rank == through));
                    ranked.extend(orders.iter().map(|s| s.rank));
                }
            }
        }
        ranked.sort_unstable();
        assert!(ranked.into_iter().eq(0..ranks));
    }
}

/// A map that is prepared only to outdate an arming is whole, and copies nothing to its rank.
#[test]
fn kept_map_whole() {
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
        let kept = ExpertMap::from_rank(rank, &held, ranks, experts);
        assert!(kept.is_whole(usize::from(experts)));
        for (layer, held) in kept.layers.iter().zip(&held) {
            assert!(held.iter().all(|e| layer.holds(rank, *e)));
            assert!(layer.slots() <= slots);
        }
    }
}
