//! Maps that are encoded as their difference from one that ranks know.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;

use quickcheck::quickcheck;
use serde::{Deserialize, Serialize};

use snipemast_control::SplitMix64;
use snipemast_core::prelude::*;
use snipemast_groups::draft::{checksum, Base, Change, Draft, KnownMaps};
use snipemast_groups::executor::{Action, Executor, OrderSeq};
use snipemast_groups::map::{ExpertMap, Layer};
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

/// Failure guarded against: a process that was built with another toolchain rejects every draft, because the standard
/// library's hash of a map differs there, and a group whose sidecars are replaced one by one keeps its old map.
#[test]
fn other_toolchain_decodes() {
    let from = first_map();
    let map = changed(&from, &mut SplitMix64::new(9));
    let mut draft = Draft::new(ROUND_ROBIN, &from, &map);
    let Draft::Changed { digest, .. } = &mut draft else {
        panic!("{draft:?}");
    };
    *digest ^= 1;
    let decoded = KnownMaps::default().decode(EPOCH, MapVersion(1), &draft);
    assert_eq!(decoded, Some(map));
}

/// Failure guarded against: the checksum of a map changes with a release, and the processes of two releases reject each
/// other's drafts.
#[test]
fn checksum_fixed() {
    assert_eq!(checksum(&first_map()), 0xaabf_f740_ec03_3fb5);
    assert_eq!(checksum(&ExpertMap::default()), 0x2d06_8005_38d3_94c2);
}

/// A draft as an earlier release sends and reads it.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
enum EarlierDraft {
    Changed {
        base: Base,
        changes: Vec<Change>,
        digest: u64,
    },
}

fn earlier_digest(map: &ExpertMap) -> u64 {
    let mut hasher = DefaultHasher::new();
    map.hash(&mut hasher);
    hasher.finish()
}

/// Failure guarded against: a group whose sidecars are replaced one by one keeps its old map, because those of the earlier
/// release reject the drafts of the later one, or the other way round.
#[test]
fn mixed_releases_go_on() {
    let from = first_map();
    let map = changed(&from, &mut SplitMix64::new(11));
    let draft = Draft::new(ROUND_ROBIN, &from, &map);
    let bytes = rmp_serde::to_vec_named(&draft).unwrap();
    let earlier: EarlierDraft = rmp_serde::from_slice(&bytes).unwrap();
    let EarlierDraft::Changed { digest, .. } = &earlier;
    assert_eq!(*digest, earlier_digest(&map));
    let bytes = rmp_serde::to_vec_named(&earlier).unwrap();
    let received: Draft = rmp_serde::from_slice(&bytes).unwrap();
    let mut known = KnownMaps::default();
    assert_eq!(known.decode(EPOCH, MapVersion(1), &received), Some(map));
    let mut damaged = received;
    let Draft::Changed { digest, .. } = &mut damaged else {
        panic!("{damaged:?}");
    };
    *digest ^= 1;
    assert_eq!(known.decode(EPOCH, MapVersion(2), &damaged), None);
}

/// Failure guarded against: a map that was changed on its way is put into force, because only the hash of an earlier
/// release was compared.
#[test]
fn wrong_checksum_rejected() {
    let from = first_map();
    let map = changed(&from, &mut SplitMix64::new(13));
    let mut draft = Draft::new(ROUND_ROBIN, &from, &map);
    let Draft::Changed { checksum, .. } = &mut draft else {
        panic!("{draft:?}");
    };
    *checksum = checksum.map(|sum| sum ^ 1);
    let decoded = KnownMaps::default().decode(EPOCH, MapVersion(1), &draft);
    assert_eq!(decoded, None);
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

/// Returns a draft in MessagePack, as a peer sends it.
fn sample_bytes(kind: u8) -> Vec<u8> {
    let from = first_map();
    let map = changed(&from, &mut SplitMix64::new(17));
    let draft = match kind % 3 {
        0 => Draft::Whole(map),
        1 => Draft::new(ROUND_ROBIN, &from, &map),
        _ => Draft::new(Base::Known(MapVersion(1)), &from, &map),
    };
    rmp_serde::to_vec_named(&draft).unwrap()
}

/// Reads every slot of a map, as a rank does that copies its experts.
fn read_slots(map: &ExpertMap) -> usize {
    let ranks = |layer: &Layer| {
        (0..layer.ranks())
            .map(|rank| layer.rank_slots(rank).len())
            .sum::<usize>()
    };
    map.layers.iter().map(ranks).sum()
}

quickcheck! {
    /// Failure guarded against: a sidecar ends because a peer sends it a map whose layers have fewer slots than they say, or
    /// a base that no process has the memory for.
    fn any_draft_survived(kind: u8, changes: Vec<(u16, u8)>) -> bool {
        let mut bytes = sample_bytes(kind);
        let length = bytes.len();
        for (at, byte) in changes {
            bytes[usize::from(at) % length] = byte;
        }
        let Ok(draft) = rmp_serde::from_slice::<Draft>(&bytes) else {
            return true;
        };
        let decoded = KnownMaps::default().decode(EPOCH, MapVersion(1), &draft);
        decoded.is_none_or(|map| read_slots(&map) == map.slots().count())
    }

    /// Failure guarded against: as before, by a base of any shape.
    fn any_base_survived(layers: u16, ranks: u16, slots: u16, experts: u16) -> bool {
        let base = Base::RoundRobin { layers, ranks, slots, experts };
        let draft = Draft::Changed { base, changes: Vec::new(), digest: 0, checksum: None };
        KnownMaps::default().decode(EPOCH, MapVersion(1), &draft).is_none()
    }
}

/// Failure guarded against: as before, by layers that say another number of slots than they have.
#[test]
fn unsound_layers_rejected() {
    let named = rmp_serde::to_vec_named(&Draft::Whole(Arc::new(first_map()))).unwrap();
    let at = named
        .windows(5)
        .position(|w| w == b"ranks")
        .expect("a layer names its ranks");
    let mut bytes = named;
    bytes[at + 5] = 100;
    let draft: Draft = rmp_serde::from_slice(&bytes).unwrap();
    let decoded = KnownMaps::default().decode(EPOCH, MapVersion(1), &draft);
    assert_eq!(decoded, None);
    let layers = u16::MAX;
    let base = Base::RoundRobin {
        layers,
        ranks: u16::MAX,
        slots: 8,
        experts: 9,
    };
    let draft = Draft::Changed {
        base,
        changes: Vec::new(),
        digest: 0,
        checksum: Some(0),
    };
    let decoded = KnownMaps::default().decode(EPOCH, MapVersion(1), &draft);
    assert_eq!(decoded, None);
}
