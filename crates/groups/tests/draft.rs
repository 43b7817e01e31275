//! Maps that are told as their difference from one that ranks know.

use std::sync::Arc;

use quickcheck::quickcheck;

use snipemast_control::SplitMix64;
use snipemast_core::prelude::*;
use snipemast_groups::draft::{Base, Draft, Told};
use snipemast_groups::executor::{Action, Executor, OrderSeq};
use snipemast_groups::map::ExpertMap;
use snipemast_groups::order::{Order, Outcome, RankState};
use snipemast_groups::switch::Switch;

const EPOCH: GroupIncarnation = GroupIncarnation(1);
const DEALT: Base = Base::RoundRobin {
    layers: 3,
    ranks: 8,
    slots: 3,
    experts: 16,
};

fn dealt() -> ExpertMap {
    ExpertMap::round_robin(3, 8, 3, 16)
}

/// A map with some slots that hold other experts.
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
    /// Whoever knows the base reads the map that was meant, one switch after another.
    fn map_read(seed: u64) -> bool {
        let mut chance = SplitMix64::new(seed);
        let (mut told, mut base, mut from) = (Told::default(), DEALT, Arc::new(dealt()));
        (1..6).map(MapVersion).all(|version| {
            let map = changed(&from, &mut chance);
            let draft = Draft::new(base, &from, &map);
            let read = told.read(EPOCH, version, &draft);
            (base, from) = (Base::Known(version), Arc::clone(&map));
            read == Some(map)
        })
    }
}

/// A user sees wrong words in an answer: two ranks take different maps for one. A lead of another incarnation gave
/// the number of the base to another map; or a process knows the base with its experts in other slots.
#[test]
fn other_base_unread() {
    let mut chance = SplitMix64::new(3);
    let mut told = Told::default();
    let version = MapVersion(1);
    let first = changed(&dealt(), &mut chance);
    assert!(told
        .read(EPOCH, version, &Draft::Whole(Arc::clone(&first)))
        .is_some());
    let second = changed(&first, &mut chance);
    let draft = Draft::new(Base::Known(version), &first, &second);
    assert!(told
        .clone()
        .read(GroupIncarnation(2), MapVersion(2), &draft)
        .is_none());
    assert!(told.clone().read(EPOCH, MapVersion(2), &draft).is_some());
    let other = changed(&dealt(), &mut chance);
    told.read(EPOCH, version, &Draft::Whole(other));
    assert!(told.read(EPOCH, MapVersion(2), &draft).is_none());
}

/// A user sees every answer come late: a rank's process started anew, can't read the new map, and the group keeps
/// its old one. That rank is told the map whole.
#[test]
fn unread_map_told_whole() {
    let (from, epoch) = (Arc::new(dealt()), EPOCH);
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
    let whole = Draft::Whole(map);
    assert_eq!(
        again.order,
        Order::Prepare {
            version,
            draft: whole
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
