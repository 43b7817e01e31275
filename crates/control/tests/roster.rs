//! How a leader replaces lost disks by itself.

use std::collections::BTreeMap;

use snipemast_control::roster::{Health, Roster, ABANDONED, SILENT};
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

fn health(silent: Span, current: bool) -> Health {
    Health { silent, current }
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
        own: LEADER,
        target: 3,
        voters,
        health: &health,
        joining: &joining,
    };
    roster.next()
}

const HEARD: Span = Span::from_millis(50);

/// A user sees changes of the configuration refused long after one control host was replaced.
/// A new host asks to join; the leader lets it learn; before its first answer can have come the
/// leader takes it for abandoned, because it has never answered, and removes it, again and again.
#[test]
fn new_learner_stays() {
    let mut voters = three();
    voters.learners.insert(VoterId(9), location(3));
    let lost = ABANDONED.times(2);
    let heard = [
        (2, health(HEARD, true)),
        (3, health(lost, false)),
        (9, health(HEARD, false)),
    ];
    assert_eq!(next(&voters, &heard, &[]), None);
}

/// A host comes back with an empty disk under a new id: it learns, votes once it has caught up, and
/// only then does the voter leave whose disk is gone.
#[test]
fn wiped_voter_replaced() {
    let mut voters = three();
    let silent = health(SILENT, true);
    let well = health(HEARD, true);
    let joining = [(9, location(3))];
    let learn = next(&voters, &[(2, well), (3, silent)], &joining).unwrap();
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
        next(&voters, &[(2, well), (3, silent), (9, behind)], &[]),
        None
    );

    let promote = next(&voters, &[(2, well), (3, silent), (9, well)], &[]).unwrap();
    assert_eq!(promote, VoterChange::Promote { id: VoterId(9) });
    voters = voters.with_change(&promote).unwrap();

    let remove = next(&voters, &[(2, well), (3, silent), (9, well)], &[]).unwrap();
    assert_eq!(remove, VoterChange::Remove { id: VoterId(3) });
    voters = voters.with_change(&remove).unwrap();
    assert_eq!(next(&voters, &[(2, well), (9, well)], &[]), None);
}

/// A spare control host learns while all voters are well: it has no vote and costs no quorum.
#[test]
fn spare_learner_waits() {
    let mut voters = three();
    voters.learners.insert(VoterId(9), location(4));
    let well = health(HEARD, true);
    assert_eq!(next(&voters, &[(2, well), (3, well), (9, well)], &[]), None);
}

/// Three seeds formed a cluster that is to bear two lost disks: learners fill it up to five.
#[test]
fn short_cluster_grows() {
    let mut voters = three();
    voters.learners.insert(VoterId(9), location(4));
    let well = health(HEARD, true);
    let health = [(2, well), (3, well), (9, well)];
    let health = health.iter().map(|(id, h)| (VoterId(*id), *h)).collect();
    let roster = Roster {
        own: LEADER,
        target: 5,
        voters: &voters,
        health: &health,
        joining: &BTreeMap::new(),
    };
    assert_eq!(roster.next(), Some(VoterChange::Promote { id: VoterId(9) }));
}

/// A learner that is gone for good does not stay on the list of hosts that everyone polls.
#[test]
fn abandoned_learner_leaves() {
    let mut voters = three();
    voters.learners.insert(VoterId(9), location(4));
    let well = health(HEARD, true);
    let heard = [(2, well), (3, well), (9, health(ABANDONED, false))];
    assert_eq!(
        next(&voters, &heard, &[]),
        Some(VoterChange::Remove { id: VoterId(9) })
    );
}
