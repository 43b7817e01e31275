//! Evacuated availability zones: none of their servers is chosen.

mod common;

use common::{announced, at, choose, has_free_slot, id};
use quickcheck::{quickcheck, Arbitrary, Gen};
use snipemast_core::prelude::*;
use snipemast_placement::choice::{AnnouncedServer, Unplaced};
use snipemast_placement::{Outages, Pool, ServerFault, Servers};

fn zone(name: &str) -> ZoneId {
    ZoneId::new(name).unwrap()
}

/// Returns a server in zone `a` or `b`, in a group of its zone.
fn server(number: usize) -> AnnouncedServer {
    let name = ["a", "b"][number % 2];
    AnnouncedServer {
        zone: zone(name),
        pool: Pool {
            group: Some(GroupId::new(format!("group-{name}")).unwrap()),
            ..announced(number).pool
        },
        ..announced(number)
    }
}

fn gateway() -> Servers {
    let mut servers = Servers::new(zone("a"));
    servers.set_announced(at(0), (1..=4).map(server).collect());
    servers
}

/// A change that a gateway learns of.
#[derive(Debug, Clone)]
enum Change {
    Evacuated(Vec<bool>),
    Announced(u8),
    Failed(u8),
    Reachable(u8),
    Chosen,
}

impl Arbitrary for Change {
    fn arbitrary(g: &mut Gen) -> Self {
        let number = u8::arbitrary(g) % 4 + 1;
        match u8::arbitrary(g) % 8 {
            0 => Self::Evacuated(vec![bool::arbitrary(g), bool::arbitrary(g)]),
            1 => Self::Announced(number),
            2 => Self::Failed(number),
            3 => Self::Reachable(number),
            _ => Self::Chosen,
        }
    }
}

quickcheck! {
    /// Whatever else a gateway learns, it never chooses a server of an evacuated zone.
    fn evacuated_never_chosen(changes: Vec<Change>) -> bool {
        let mut servers = gateway();
        let mut evacuated = Vec::new();
        changes.into_iter().enumerate().all(|(step, change)| {
            let now = at(step as u64 * 100);
            match change {
                Change::Evacuated(zones) => {
                    let named = [zone("a"), zone("b")].into_iter().zip(zones);
                    evacuated = named.filter(|(_, out)| *out).map(|(zone, _)| zone).collect();
                    servers.set_evacuated(now, evacuated.iter().cloned().collect());
                }
                Change::Announced(count) => {
                    servers.set_announced(now, (1..=usize::from(count)).map(server).collect());
                }
                Change::Failed(number) => {
                    let failed = id(number.into());
                    servers.record_fault(now, &failed, Incarnation(1), ServerFault::Unreachable);
                }
                Change::Reachable(number) => servers.mark_reachable(now, &id(number.into())),
                Change::Chosen => {}
            }
            match choose(&mut servers, now) {
                Ok(choice) => !evacuated.contains(&server(number_of(&choice.server)).zone),
                Err(_) => true,
            }
        })
    }
}

/// Returns the number in a server's id.
fn number_of(id: &ServerId) -> usize {
    id.as_str().trim_start_matches("i-").parse().unwrap()
}

/// Guards against requests that wait for their servers although all of these are evacuated, and that are refused for
/// another reason.
#[test]
fn all_evacuated() {
    let mut servers = gateway();
    servers.set_evacuated(at(1), [zone("a"), zone("b")].into());
    assert_eq!(
        choose(&mut servers, at(2)).unwrap_err(),
        Unplaced::Evacuated
    );
    assert!(!has_free_slot(&servers, at(2)));
    servers.set_evacuated(at(3), [zone("a")].into());
    assert!(choose(&mut servers, at(4)).is_ok());
}

/// Guards against requests that wait for a slot of an evacuated zone: where the others are full, they are what the
/// request waits for.
#[test]
fn rest_is_full() {
    let mut servers = gateway();
    servers.set_evacuated(at(1), [zone("a")].into());
    while choose(&mut servers, at(2)).is_ok() {}
    assert_eq!(choose(&mut servers, at(2)).unwrap_err(), Unplaced::AllFull);
}

/// Guards against a request that is used to probe a group whose servers are all evacuated: it finds no server there
/// and is refused, although another group is open.
#[test]
fn evacuated_group_not_probed() {
    let mut servers = gateway();
    let mut outages = Outages::new();
    let service = server(1).pool.service;
    let group = server(2).pool;
    assert_eq!(server(2).zone, zone("a"));
    outages.mark_out(at(1), &group);
    servers.set_evacuated(at(2), [zone("a")].into());
    for millis in (0..20_000).step_by(500) {
        let allowed = outages.allowed_pools(at(millis), servers.pools(&service));
        assert!(allowed.allows(&server(1).pool), "after {millis} ms");
    }
}

/// Guards against the leader's grants being spent on a server that is evacuated.
#[test]
fn no_demand_for_evacuated() {
    let mut servers = gateway();
    let rate = Rate::per_second(1);
    servers.set_limits(at(1), (1..=4).map(|number| (id(number), rate)).collect());
    assert_eq!(
        choose(&mut servers, at(2)).unwrap_err(),
        Unplaced::AllLimited
    );
    assert!(servers.demand(at(3), &id(2)) > 0);
    servers.set_evacuated(at(4), [zone("a")].into());
    assert_eq!(
        choose(&mut servers, at(5)).unwrap_err(),
        Unplaced::AllLimited
    );
    assert_eq!(servers.demand(at(6), &id(2)), 0);
    assert!(servers.demand(at(6), &id(1)) > 0);
}
