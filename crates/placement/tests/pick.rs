//! Tests of the policies that pick a server.

use quickcheck::quickcheck;

use snipemast_core::prelude::*;
use snipemast_placement::pick::{Candidate, Expected, Freshness, Least, Pick, Sampled};

const FRESH: Freshness = Freshness {
    age: Span::from_millis(0),
    usual_duration: Span::from_millis(1_600),
};

const OLD: Freshness = Freshness {
    age: Span::from_millis(300),
    ..FRESH
};

fn candidate(own: u32, others: u32, same_zone: bool) -> Candidate {
    Candidate {
        own,
        others,
        slots: 10,
        same_zone,
    }
}

/// Returns how often each candidate is picked in a thousand draws.
fn shares(pick: impl Pick, candidates: &[Candidate], freshness: Freshness) -> Vec<u32> {
    let mut shares = vec![0; candidates.len()];
    for chance in 0..1_000 {
        let picked = pick.pick(candidates, freshness, chance);
        shares[picked.expect("there are candidates")] += 1;
    }
    shares
}

/// Twenty gateways have the same counts, one server is free in them, and all gateways send it their
/// requests before the next counts show that: requests wait a second for a first token while other
/// servers are idle. With old counts, requests must spread over the servers with free slots. With
/// counts that no other gateway acts on, the least loaded server gets them all.
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

/// Requests leave their zone while one of its servers has a free slot, or stay there after that.
#[test]
fn own_zone_while_free() {
    let free = [candidate(2, 5, true), candidate(0, 0, false)];
    assert_eq!(shares(Sampled, &free, OLD)[1], 0);
    let full = [candidate(2, 8, true), candidate(0, 0, false)];
    let picked = shares(Sampled, &full, OLD)[1];
    assert!(picked > 600, "{picked}");
    assert_eq!(shares(Expected, &full, FRESH)[1], 1_000);
}

/// Two streams go to the frozen one of two servers, and none shows that the other server is
/// running. Two different servers are drawn, so the less loaded one of two is always picked.
#[test]
fn two_servers_compared() {
    let busy = [candidate(1, 0, true), candidate(0, 0, true)];
    assert_eq!(shares(Sampled, &busy, FRESH), vec![0, 1_000]);
    let alike = [candidate(0, 0, true), candidate(0, 0, true)];
    assert!((400..600).contains(&shares(Sampled, &alike, FRESH)[0]));
    let alone = [candidate(9, 0, true)];
    assert_eq!(shares(Sampled, &alone, FRESH), vec![1_000]);
}

quickcheck! {
    /// With any loads and any age of the counts, a policy picks a candidate that doesn't exist, or
    /// none although there is one.
    fn picked_exists(loads: Vec<(u8, u8, u8, bool)>, age: u16, chance: u64) -> bool {
        let candidates: Vec<Candidate> = loads
            .iter()
            .map(|(own, others, slots, same_zone)| Candidate {
                own: u32::from(*own),
                others: u32::from(*others),
                slots: u32::from(*slots),
                same_zone: *same_zone,
            })
            .collect();
        let freshness = Freshness { age: Span::from_millis(u64::from(age)), ..FRESH };
        let picks = [
            Least.pick(&candidates, freshness, chance),
            Sampled.pick(&candidates, freshness, chance),
            Expected.pick(&candidates, freshness, chance),
        ];
        picks.iter().all(|picked| match picked {
            Some(index) => *index < candidates.len(),
            None => candidates.is_empty(),
        })
    }
}
