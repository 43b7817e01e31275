//! A leader replaces lost disks on its own.

use std::collections::BTreeMap;

use snipemast_control::roster::{Health, Roster, LEARNER_SILENCE_LIMIT, SILENCE_LIMIT};
use snipemast_control::{Location, VoterChange, VoterId, Voters};
use snipemast_core::prelude::*;

const LEADER: VoterId = VoterId(1);

fn location(number: u8) -> Location {
    let zone = ["a", "b", "c"][usize::from(number - 1) % 3];
    Location {
        host: HostId::new(format!("core-{number}")).unwrap(),
        zone: ZoneId::new(zone).unwrap(),
        address: format!("10.0.{number}.1:7000").parse().unwrap(),
    }
}

fn three() -> Voters {
    Voters::new((1..=3).map(|n| (VoterId(n), location(n as u8))).collect())
}

fn health(silence: Span, caught_up: bool) -> Health {
    Health { silence, caught_up }
}

fn next(
    voters: &Voters,
    health: &[(u64, Health)],
    joining: &[(u64, Location)],
) -> Option<VoterChange> {
    let health = health.iter().map(|(id, h)| (VoterId(*id), *h)).collect();
    let joining: BTreeMap<VoterId, Location> = joining
        .iter()
        .map(|(id, s)| (VoterId(*id), s.clone()))
        .collect();
    let roster = Roster {
        leader: LEADER,
        target_size: 3,
        voters,
        health: &health,
        joining: &joining,
    };
    roster.next_change()
}

const HEARD: Span = Span::from_millis(50);

/// A new host joins as a learner, and the leader must not remove it as abandoned before its first
/// answer can have arrived. Otherwise it is added and removed again and again, and changes of the
/// configuration are refused long after one control host was replaced.
#[test]
fn new_learner_stays() {
    let mut voters = three();
    voters.learners.insert(VoterId(9), location(3));
    let lost = LEARNER_SILENCE_LIMIT.times(2);
    let heard = [
        (2, health(HEARD, true)),
        (3, health(lost, false)),
        (9, health(HEARD, false)),
    ];
    assert_eq!(next(&voters, &heard, &[]), None);
}

/// A host returns with an empty disk and a new id. It becomes a learner, then a voter once it has
/// caught up, and only then is the voter removed whose disk is gone.
#[test]
fn wiped_voter_replaced() {
    let mut voters = three();
    let silent = health(SILENCE_LIMIT, true);
    let healthy = health(HEARD, true);
    let joining = [(9, location(3))];
    let learn = next(&voters, &[(2, healthy), (3, silent)], &joining).unwrap();
    assert_eq!(
        learn,
        VoterChange::Learn {
            id: VoterId(9),
            location: location(3)
        }
    );
    voters = voters.with_change(&learn).unwrap();

    let behind = health(HEARD, false);
    assert_eq!(
        next(&voters, &[(2, healthy), (3, silent), (9, behind)], &[]),
        None
    );

    let promote = next(&voters, &[(2, healthy), (3, silent), (9, healthy)], &[]).unwrap();
    assert_eq!(promote, VoterChange::Promote { id: VoterId(9) });
    voters = voters.with_change(&promote).unwrap();

    let remove = next(&voters, &[(2, healthy), (3, silent), (9, healthy)], &[]).unwrap();
    assert_eq!(remove, VoterChange::Remove { id: VoterId(3) });
    voters = voters.with_change(&remove).unwrap();
    assert_eq!(next(&voters, &[(2, healthy), (9, healthy)], &[]), None);
}

/// A spare control host stays a learner while all voters are healthy, so that the quorum does not
/// grow.
#[test]
fn spare_learner_waits() {
    let mut voters = three();
    voters.learners.insert(VoterId(9), location(4));
    let healthy = health(HEARD, true);
    assert_eq!(
        next(&voters, &[(2, healthy), (3, healthy), (9, healthy)], &[]),
        None
    );
}

/// Three seeds formed a cluster that should survive two lost disks. Learners are promoted up to
/// five voters.
#[test]
fn short_cluster_grows() {
    let mut voters = three();
    voters.learners.insert(VoterId(9), location(4));
    let healthy = health(HEARD, true);
    let health = [(2, healthy), (3, healthy), (9, healthy)];
    let health = health.iter().map(|(id, h)| (VoterId(*id), *h)).collect();
    let roster = Roster {
        leader: LEADER,
        target_size: 5,
        voters: &voters,
        health: &health,
        joining: &BTreeMap::new(),
    };
    assert_eq!(
        roster.next_change(),
        Some(VoterChange::Promote { id: VoterId(9) })
    );
}

/// A learner that is gone for good is removed, so that it leaves the list of hosts that everyone
/// polls.
#[test]
fn abandoned_learner_leaves() {
    let mut voters = three();
    voters.learners.insert(VoterId(9), location(4));
    let healthy = health(HEARD, true);
    let heard = [
        (2, healthy),
        (3, healthy),
        (9, health(LEARNER_SILENCE_LIMIT, false)),
    ];
    assert_eq!(
        next(&voters, &heard, &[]),
        Some(VoterChange::Remove { id: VoterId(9) })
    );
}
