//! Which of several servers a request is given to.

use quickcheck::quickcheck;

use snipemast_core::prelude::*;
use snipemast_placement::pick::{Candidate, Expected, Freshness, Least, Pick, Sampled};

const FRESH: Freshness = Freshness {
    age: Span::from_millis(0),
    usual: Span::from_millis(1_600),
};

const OLD: Freshness = Freshness {
    age: Span::from_millis(300),
    ..FRESH
};

fn candidate(own: u32, others: u32, near: bool) -> Candidate {
    Candidate {
        own,
        others,
        slots: 10,
        near,
    }
}

/// How often each candidate is picked, of a thousand times.
fn shares(pick: impl Pick, candidates: &[Candidate], fresh: Freshness) -> Vec<u32> {
    let mut shares = vec![0; candidates.len()];
    for chance in 0..1_000 {
        let picked = pick.pick(candidates, fresh, chance);
        shares[picked.expect("there are candidates")] += 1;
    }
    shares
}

/// A user waits a second for a first token while other servers stand idle: twenty gateways hold the same counts, one
/// server is free in them, and all send it their requests before the next counts show that. With old counts the
/// requests are spread over the servers that have places; the least loaded one alone gets them with counts
/// that nobody else acts on.
#[test]
fn old_counts_spread() {
    let mut loads = vec![candidate(0, 6, true); 20];
    loads[3] = candidate(0, 1, true);
    assert_eq!(shares(Least, &loads, OLD)[3], 1_000);
    let sampled = shares(Sampled, &loads, OLD);
    let expected = shares(Expected, &loads, OLD);
    for shares in [sampled, expected] {
        assert!(shares[3] < 400, "{shares:?}");
        assert!(shares.iter().all(|s| *s < 400), "{shares:?}");
    }
    let alone = vec![candidate(6, 0, true), candidate(1, 0, true)];
    assert_eq!(shares(Expected, &alone, FRESH), vec![0, 1_000]);
}

/// Requests stay in their zone while one of its servers has a free slot, and go to others after that.
#[test]
fn own_zone_while_free() {
    let free = [candidate(2, 5, true), candidate(0, 0, false)];
    assert_eq!(shares(Sampled, &free, OLD)[1], 0);
    let full = [candidate(2, 8, true), candidate(0, 0, false)];
    let picked = shares(Sampled, &full, OLD)[1];
    assert!(picked > 600, "{picked}");
    assert_eq!(shares(Expected, &full, FRESH)[1], 1_000);
}

/// Two users' streams go to the one server of two that stands still, and neither shows that the other server goes on: two
/// different servers are drawn, so of two the less loaded one is always picked.
#[test]
fn two_servers_shared() {
    let busy = [candidate(1, 0, true), candidate(0, 0, true)];
    assert_eq!(shares(Sampled, &busy, FRESH), vec![0, 1_000]);
    let alike = [candidate(0, 0, true), candidate(0, 0, true)];
    assert!((400..600).contains(&shares(Sampled, &alike, FRESH)[0]));
    let alone = [candidate(9, 0, true)];
    assert_eq!(shares(Sampled, &alone, FRESH), vec![1_000]);
}

quickcheck! {
    /// Whatever the loads and the age of counts, somebody is picked who is there, and nobody out of nobody.
    fn picked_is_there(loads: Vec<(u8, u8, u8, bool)>, age: u16, chance: u64) -> bool {
        let candidates: Vec<Candidate> = loads
            .iter()
            .map(|(own, others, slots, near)| Candidate {
                own: u32::from(*own),
                others: u32::from(*others),
                slots: u32::from(*slots),
                near: *near,
            })
            .collect();
        let fresh = Freshness { age: Span::from_millis(u64::from(age)), ..FRESH };
        let picks = [
            Least.pick(&candidates, fresh, chance),
            Sampled.pick(&candidates, fresh, chance),
            Expected.pick(&candidates, fresh, chance),
        ];
        picks.iter().all(|picked| match picked {
            Some(place) => *place < candidates.len(),
            None => candidates.is_empty(),
        })
    }
}
