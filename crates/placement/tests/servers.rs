//! Tests of the server that a request is placed on.

use snipemast_core::prelude::*;
use snipemast_placement::allowances::GrantLease;
use snipemast_placement::choice::{AnnouncedServer, Constraints, Unplaced};
use snipemast_placement::outage::AllowedPools;
use snipemast_placement::pick::PickPolicy;
use snipemast_placement::servers::{ServerFault, Servers};
use snipemast_placement::{Pool, RequestPriority, Urgency};

const NOW: Moment = Moment::from_millis(50_000);

fn id(number: usize) -> ServerId {
    ServerId::new(format!("i-{number}")).unwrap()
}

fn constraints<'a>(
    service: &'a ServiceId,
    gate: &'a AllowedPools,
    but: &'a [ServerId],
) -> Constraints<'a> {
    Constraints {
        service,
        allowed: gate,
        excluded: but,
    }
}

fn all_pools() -> AllowedPools {
    AllowedPools::AllExcept(Vec::new())
}

fn pool() -> Pool {
    Pool {
        service: ServiceId::new("lector").unwrap(),
        group: None,
    }
}

fn announced(number: usize, zone: &str) -> AnnouncedServer {
    AnnouncedServer {
        server: id(number),
        start: Incarnation(0),
        pool: pool(),
        address: format!("10.0.0.{number}:80").parse().unwrap(),
        zone: ZoneId::new(zone).unwrap(),
        slots: 4,
        leaving_since: None,
        cold_until: Moment::ZERO,
    }
}

fn servers(zones: &[&str]) -> Servers {
    let mut servers = Servers::new(ZoneId::new("a").unwrap());
    let all = zones.iter().enumerate();
    servers.set_announced(
        Moment::ZERO,
        all.map(|(n, zone)| announced(n + 1, zone)).collect(),
    );
    servers
}

fn choose(servers: &mut Servers, chance: u64) -> Result<ServerId, Unplaced> {
    let choice = servers.choose(
        NOW,
        constraints(&pool().service, &all_pools(), &[]),
        Urgency::default(),
        chance,
    );
    choice.map(|c| c.server)
}

/// With the policy of the least load, a server with more requests in flight is chosen, because
/// another gateway sent them.
#[test]
fn least_loaded_chosen() {
    let mut servers = servers(&["a", "a", "a"]).with_pick(PickPolicy::Least);
    servers.set_other_counts(
        NOW,
        Span::default(),
        [(id(1), 3), (id(2), 1), (id(3), 2)].into_iter(),
    );
    assert_eq!(choose(&mut servers, 1), Ok(id(2)));
    assert_eq!(servers.in_flight().count(), 1);
}

/// With the policy of the least load, requests leave their zone although its servers have hardly
/// more in flight than others, or never leave it.
#[test]
fn own_zone_first() {
    let mut servers = servers(&["a", "b"]).with_pick(PickPolicy::Least);
    assert_eq!(choose(&mut servers, 1), Ok(id(1)));
    assert_eq!(choose(&mut servers, 2), Ok(id(1)));
    let third = (0..3)
        .map(|n| choose(&mut servers, n).unwrap())
        .collect::<Vec<_>>();
    assert!(third.contains(&id(2)), "{third:?}");
}

/// Old counts of other gateways, which may be gone by now, are still used.
#[test]
fn old_counts_ignored() {
    let mut servers = servers(&["a"]);
    servers.set_other_counts(NOW, Span::default(), [(id(1), 6)].into_iter());
    assert_eq!(choose(&mut servers, 1), Err(Unplaced::AllFull));
    let later = NOW + Span::from_secs(2);
    assert!(servers
        .choose(
            later,
            constraints(&pool().service, &all_pools(), &[]),
            Urgency::default(),
            1
        )
        .is_ok());
}

/// A request waits for a server that is gone. The server must be ejected after one failed
/// connection, and for longer each time.
#[test]
fn unreachable_ejected() {
    let mut servers = servers(&["a"]);
    let first = servers
        .record_fault(NOW, &id(1), Incarnation(0), ServerFault::Unreachable)
        .unwrap();
    let second = servers
        .record_fault(NOW, &id(1), Incarnation(0), ServerFault::Unreachable)
        .unwrap();
    assert!(second > first);
    assert_eq!(choose(&mut servers, 1), Err(Unplaced::AllOut));
    servers.mark_reachable(NOW, &id(1));
    assert!(choose(&mut servers, 1).is_ok());
}

/// Every stream of a group stutters while one of its servers is slow, because the group waits for
/// it. That server must get no requests, unless most of the service is slow.
#[test]
fn slow_server_excluded() {
    let mut servers = servers(&["b", "a", "b"]);
    servers.set_slow([(id(2), 500)].into_iter().collect());
    for chance in 0..10 {
        assert_ne!(choose(&mut servers, chance), Ok(id(2)));
    }
    servers.set_slow((1..=3).map(|n| (id(n), 500)).collect());
    assert_eq!(choose(&mut servers, 11), Ok(id(2)));
}

/// A request is refused although a server is idle: the server crashed with as many requests as it
/// could carry and started again under the same id. Its old requests, failures and pace must be
/// forgotten, and the end of an old request must not count.
#[test]
fn restart_resets() {
    let mut servers = servers(&["a"]);
    for chance in 0..6 {
        assert!(choose(&mut servers, chance).is_ok());
    }
    assert_eq!(choose(&mut servers, 7), Err(Unplaced::AllFull));
    let again = AnnouncedServer {
        start: Incarnation(1),
        ..announced(1, "a")
    };
    let left = servers.set_announced(Moment::ZERO, vec![again.clone()]);
    assert_eq!(left, vec![again.address]);
    for chance in 0..6 {
        assert!(choose(&mut servers, chance).is_ok());
    }
    servers.release(&id(1), Incarnation(0));
    assert_eq!(choose(&mut servers, 7), Err(Unplaced::AllFull));
    servers.release(&id(1), Incarnation(1));
    assert!(choose(&mut servers, 7).is_ok());
    assert_eq!(servers.set_announced(Moment::ZERO, vec![again]), Vec::new());
}

/// A request shows nothing and its caller gives up after two seconds: the host of one server is
/// frozen while its service runs elsewhere. This must be distinguished from a group that pauses as
/// a whole.
#[test]
fn lone_silence_detected() {
    let mut servers = servers(&["a", "a"]);
    let at = |millis| NOW + Span::from_millis(millis);
    let start = Incarnation(0);
    servers.record_piece(NOW, &id(1), start);
    servers.record_piece(NOW, &id(2), start);
    assert!(!servers.seems_frozen(at(900), &id(1), at(1)));
    servers.record_piece(at(800), &id(2), start);
    assert!(servers.seems_frozen(at(900), &id(1), at(1)));
    assert!(!servers.seems_frozen(at(900), &id(2), at(1)));
    servers.record_piece(at(850), &id(1), start);
    assert!(!servers.seems_frozen(at(900), &id(1), at(1)));
    assert!(!servers.seems_frozen(at(2_000), &id(1), at(900)));
}

/// Requests are sent to a frozen host again and again, because it accepts connections. The server
/// must be ejected until it shows something.
#[test]
fn frozen_server_ejected() {
    let mut servers = servers(&["a", "b"]);
    let start = Incarnation(0);
    let out = servers.record_fault(NOW, &id(1), start, ServerFault::Still);
    assert!(out.is_some_and(|out| out >= Span::from_secs(3)));
    assert_eq!(choose(&mut servers, 1), Ok(id(2)));
    servers.record_piece(NOW, &id(1), start);
    assert_eq!(choose(&mut servers, 2), Ok(id(1)));
}

/// A host is frozen for longer than a server is ejected after failures, and is sent requests again.
#[test]
fn frozen_until_answer() {
    let mut servers = servers(&["a", "a"]);
    let start = Incarnation(0);
    let later = NOW + Span::from_secs(3_600);
    let gone = [id(2)];
    let (service, allowed) = (pool().service, all_pools());
    let constraints = constraints(&service, &allowed, &gone);
    servers.record_fault(NOW, &id(1), start, ServerFault::Still);
    assert_eq!(servers.frozen().collect::<Vec<_>>(), [&id(1)]);
    assert!(!servers.has_free_slot(later, constraints));
    let chosen = servers.choose(later, constraints, Urgency::default(), 1);
    assert_eq!(chosen.unwrap_err(), Unplaced::AllOut);
    servers.mark_answering(later, &id(1), start);
    assert!(servers
        .choose(later, constraints, Urgency::default(), 1)
        .is_ok());
    assert_eq!(servers.frozen().count(), 0);
}

/// A stream waits at a frozen host until its caller gives up, because all other servers have
/// queues.
#[test]
fn frozen_left_for_queue() {
    let mut servers = servers(&["a", "a"]);
    let (service, allowed, gone) = (pool().service, all_pools(), [id(1)]);
    let constraints = constraints(&service, &allowed, &gone);
    let moves = |servers: &Servers| servers.may_move(NOW, &id(1), constraints, Urgency::Resumed);
    assert!(moves(&servers));
    let queued = |count| [(id(2), count)].into_iter();
    servers.set_other_counts(NOW, Span::default(), queued(4));
    assert!(!moves(&servers), "the request may be answered where it is");
    servers.record_fault(NOW, &id(1), Incarnation(0), ServerFault::Still);
    assert!(moves(&servers));
    assert!(!servers.may_move(
        NOW,
        &id(1),
        constraints,
        Urgency::Late(RequestPriority::default())
    ));
    servers.set_other_counts(NOW, Span::default(), queued(6));
    assert!(!moves(&servers), "the request would be refused there");
}

/// Another gateway's path to a server is cut, and a healthy server is ejected, or is checked for
/// each of its streams.
#[test]
fn reported_servers_checked() {
    let mut servers = servers(&["a", "a"]);
    let start = Incarnation(0);
    assert!(servers.begin_reported_check(NOW, &id(1)).is_some());
    assert!(
        servers.begin_reported_check(NOW, &id(1)).is_none(),
        "just checked"
    );
    servers.record_piece(NOW, &id(2), start);
    assert!(
        servers.begin_reported_check(NOW, &id(2)).is_none(),
        "it is running"
    );
    assert!(
        servers.begin_reported_check(NOW, &id(3)).is_none(),
        "unknown server"
    );
    assert!(choose(&mut servers, 1).is_ok());
}

/// A stream is given up at a healthy server with a long queue, and no other server can take it. It
/// must move only to a free slot, and a silent server is checked once at a time.
#[test]
fn moves_to_free_slots() {
    let mut servers = servers(&["a", "a"]);
    let free = |servers: &Servers| {
        servers.has_free_slot(NOW, constraints(&pool().service, &all_pools(), &[id(1)]))
    };
    assert!(free(&servers));
    let start = Incarnation(0);
    let others = [(id(2), 4)];
    servers.set_other_counts(NOW, Span::default(), others.into_iter());
    assert!(!free(&servers));
    servers.set_other_counts(NOW, Span::default(), std::iter::empty());
    servers.record_fault(NOW, &id(2), start, ServerFault::Full);
    assert!(!free(&servers));
    let later = NOW + Span::from_secs(5);
    assert!(servers.has_free_slot(later, constraints(&pool().service, &all_pools(), &[id(1)])));
    assert!(!servers.has_free_slot(
        later,
        constraints(&pool().service, &all_pools(), &[id(1), id(2)])
    ));
    assert!(servers.begin_check(later, &id(1)));
    assert!(!servers.begin_check(later, &id(1)));
    assert!(servers.begin_check(later + Span::from_secs(1), &id(1)));
}

fn grant(servers: &mut Servers, number: usize, due: bool) {
    let granted = GrantLease {
        count: 1,
        due,
        until: NOW + Span::from_secs(1),
    };
    servers.add_grants(NOW, [(id(number), granted)].into_iter());
}

/// A limited server is sent more than it takes, or a request is refused although another server is
/// free.
#[test]
fn limited_server_skipped() {
    let mut servers = servers(&["a", "a"]);
    servers.set_limits(NOW, vec![(id(1), Rate::per_second(1))]);
    for chance in 0..4 {
        assert_eq!(choose(&mut servers, chance), Ok(id(2)));
    }
    grant(&mut servers, 1, false);
    assert_eq!(choose(&mut servers, 4), Ok(id(1)));
    servers.set_limits(
        NOW,
        vec![(id(1), Rate::per_second(1)), (id(2), Rate::per_second(1))],
    );
    assert_eq!(choose(&mut servers, 5), Err(Unplaced::AllLimited));
}

/// A stream moves from a silent server to one that takes no more requests, and breaks off there.
#[test]
fn limited_not_free() {
    let mut servers = servers(&["a", "a"]);
    servers.set_limits(NOW, vec![(id(2), Rate::per_second(1))]);
    let free = |servers: &Servers| {
        servers.has_free_slot(NOW, constraints(&pool().service, &all_pools(), &[id(1)]))
    };
    assert!(!free(&servers));
    grant(&mut servers, 2, false);
    assert!(free(&servers));
}

/// A limit has ended, but the server can't say so, because the one gateway that may send to it
/// prefers other servers.
#[test]
fn due_server_first() {
    for chance in 0..20 {
        let mut servers = servers(&["a", "a", "b"]);
        servers.set_limits(NOW, vec![(id(3), Rate::per_second(1))]);
        grant(&mut servers, 3, true);
        assert_eq!(choose(&mut servers, chance), Ok(id(3)));
    }
}

/// Grants for a limited server go to gateways of other zones, which have free servers of their own.
#[test]
fn own_zone_asks_first() {
    let mut servers = servers(&["a", "b"]);
    servers.set_limits(NOW, vec![(id(2), Rate::per_second(1))]);
    assert_eq!(choose(&mut servers, 1), Ok(id(1)));
    assert_eq!(servers.demand(NOW, &id(2)), 0);
    for chance in 2..8 {
        let _ = choose(&mut servers, chance);
    }
    assert!(servers.demand(NOW, &id(2)) > 0);
}
