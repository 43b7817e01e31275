//! Maps that are encoded as their difference from one that ranks know.

use std::sync::Arc;

use quickcheck::quickcheck;

use snipemast_control::SplitMix64;
use snipemast_core::prelude::*;
use snipemast_groups::draft::{Base, Draft, KnownMaps};
use snipemast_groups::executor::{Action, Executor, OrderSeq};
use snipemast_groups::map::ExpertMap;
use snipemast_groups::order::{Order, Outcome, RankState};
use snipemast_groups::switch::Switch;

const EPOCH: GroupIncarnation = GroupIncarnation(1);
const ROUND_ROBIN: Base = Base::RoundRobin {
    layers: 3,
    ranks: 8,
    slots: 3,
    experts: 16,
};

fn first_map() -> ExpertMap {
    ExpertMap::round_robin(3, 8, 3, 16)
}

/// Returns the map with other experts in some slots.
fn changed(map: &ExpertMap, chance: &mut SplitMix64) -> Arc<ExpertMap> {
    let mut next = map.clone();
    for _ in 0..chance.below(20) {
        let layer = &mut next.layers[chance.below(3) as usize];
        let (rank, slot) = (chance.below(8) as u16, chance.below(3) as u16);
        layer.set(rank, slot, chance.below(16) as u16);
    }
    Arc::new(next)
}

quickcheck! {
    /// A rank that knows the base decodes the intended map, one switch after another.
    fn map_decoded(seed: u64) -> bool {
        let mut chance = SplitMix64::new(seed);
        let (mut known, mut base, mut from) = (KnownMaps::default(), ROUND_ROBIN, Arc::new(first_map()));
        (1..6).map(MapVersion).all(|version| {
            let map = changed(&from, &mut chance);
            let draft = Draft::new(base, &from, &map);
            let decoded = known.decode(EPOCH, version, &draft);
            (base, from) = (Base::Known(version), Arc::clone(&map));
            decoded == Some(map)
        })
    }
}

/// Failure guarded against: two ranks decode one draft to different maps. A lead of another
/// incarnation used the number of the base for another map, or a sidecar knows the base with its
/// experts in other slots.
#[test]
fn other_base_rejected() {
    let mut chance = SplitMix64::new(3);
    let mut known = KnownMaps::default();
    let version = MapVersion(1);
    let first = changed(&first_map(), &mut chance);
    assert!(known
        .decode(EPOCH, version, &Draft::Whole(Arc::clone(&first)))
        .is_some());
    let second = changed(&first, &mut chance);
    let draft = Draft::new(Base::Known(version), &first, &second);
    assert!(known
        .clone()
        .decode(GroupIncarnation(2), MapVersion(2), &draft)
        .is_none());
    assert!(known.clone().decode(EPOCH, MapVersion(2), &draft).is_some());
    let other = changed(&first_map(), &mut chance);
    known.decode(EPOCH, version, &Draft::Whole(other));
    assert!(known.decode(EPOCH, MapVersion(2), &draft).is_none());
}

/// Failure guarded against: the group keeps its old map and answers are late, because a restarted
/// sidecar can't decode the new map. That rank must be sent the full map.
#[test]
fn full_map_sent() {
    let (from, epoch) = (Arc::new(first_map()), EPOCH);
    let map = changed(&from, &mut SplitMix64::new(5));
    let draft = Draft::new(Base::Known(MapVersion(7)), &from, &map);
    let mut switch = Switch::new(2, Ballot(1));
    let now = Moment::from_millis(0);
    let sends = switch.begin(now, epoch, MapVersion(8), draft, Arc::clone(&map));
    let state = RankState {
        epoch,
        open: true,
        step: Step(0),
        map: MapVersion(7),
        prepared: None,
        armed: None,
        held: None,
    };
    let (mut executor, lead) = (Executor::new(), Ballot(1));
    let first = OrderSeq { lead, number: 1 };
    let mut task = executor
        .accept(first, sends[1].order.clone(), epoch)
        .unwrap();
    assert_eq!(
        executor.next_action(&mut task, &state),
        Action::Settled(Outcome::Untold)
    );
    let again = switch.handle_outcome(now, 1, sends[1].phase, Outcome::Untold);
    let [again] = again.as_slice() else {
        panic!("{again:?}");
    };
    let version = MapVersion(8);
    let full = Draft::Whole(map);
    assert_eq!(
        again.order,
        Order::Prepare {
            version,
            draft: full
        }
    );
    assert_eq!(again.rank, 1);
    let second = OrderSeq { lead, number: 2 };
    let mut task = executor.accept(second, again.order.clone(), epoch).unwrap();
    assert!(matches!(
        executor.next_action(&mut task, &state),
        Action::Give(_)
    ));
}
