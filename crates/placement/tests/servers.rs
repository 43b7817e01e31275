//! Which server a request is placed on.

use snipemast_core::prelude::*;
use snipemast_placement::allowances::Granted;
use snipemast_placement::choice::{AnnouncedServer, Constraints, Unplaced};
use snipemast_placement::outage::AllowedPools;
use snipemast_placement::pick::PickPolicy;
use snipemast_placement::servers::{ServerFault, Servers};
use snipemast_placement::{Pool, Urgency};

const NOW: Moment = Moment::from_millis(50_000);

fn id(number: usize) -> ServerId {
    ServerId::new(format!("i-{number}")).unwrap()
}

fn wanted<'a>(
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

fn open() -> AllowedPools {
    AllowedPools::AllExcept(Vec::new())
}

fn pool() -> Pool {
    Pool {
        service: ServiceId::new("lector").unwrap(),
        group: None,
    }
}

fn offered(number: usize, zone: &str) -> AnnouncedServer {
    AnnouncedServer {
        server: id(number),
        start: Incarnation(0),
        pool: pool(),
        address: format!("10.0.0.{number}:80").parse().unwrap(),
        zone: ZoneId::new(zone).unwrap(),
        slots: 4,
        leaving_since: None,
    }
}

fn servers(zones: &[&str]) -> Servers {
    let mut servers = Servers::new(ZoneId::new("a").unwrap());
    let all = zones.iter().enumerate();
    servers.set_announced(all.map(|(n, zone)| offered(n + 1, zone)).collect());
    servers
}

fn place(servers: &mut Servers, chance: u64) -> Result<ServerId, Unplaced> {
    let choice = servers.choose(
        NOW,
        wanted(&pool().service, &open(), &[]),
        Urgency::InTime,
        chance,
    );
    choice.map(|c| c.server)
}

/// The server with the least in flight is chosen, whoever sent what is there, where a gateway is set to that.
#[test]
fn least_loaded_chosen() {
    let mut servers = servers(&["a", "a", "a"]).with_pick(PickPolicy::Least);
    servers.set_other_counts(
        NOW,
        Span::default(),
        [(id(1), 3), (id(2), 1), (id(3), 2)].into_iter(),
    );
    assert_eq!(place(&mut servers, 1), Ok(id(2)));
    assert_eq!(servers.in_flight().count(), 1);
}

/// Requests stay in their zone until its servers have some more in flight than others, where a gateway is set to
/// the least loaded one.
#[test]
fn own_zone_first() {
    let mut servers = servers(&["a", "b"]).with_pick(PickPolicy::Least);
    assert_eq!(place(&mut servers, 1), Ok(id(1)));
    assert_eq!(place(&mut servers, 2), Ok(id(1)));
    let third = (0..3)
        .map(|n| place(&mut servers, n).unwrap())
        .collect::<Vec<_>>();
    assert!(third.contains(&id(2)), "{third:?}");
}

/// Others' counts that are old are not believed: they may be of gateways that are gone.
#[test]
fn old_counts_fade() {
    let mut servers = servers(&["a"]);
    servers.set_other_counts(NOW, Span::default(), [(id(1), 6)].into_iter());
    assert_eq!(place(&mut servers, 1), Err(Unplaced::AllFull));
    let later = NOW + Span::from_secs(2);
    assert!(servers
        .choose(
            later,
            wanted(&pool().service, &open(), &[]),
            Urgency::InTime,
            1
        )
        .is_ok());
}

/// A user waits for a server that is gone: it is left out after one connection that failed, and for
/// longer each time.
#[test]
fn unreachable_left_out() {
    let mut servers = servers(&["a"]);
    let first = servers
        .record_fault(NOW, &id(1), Incarnation(0), ServerFault::Unreachable)
        .unwrap();
    let second = servers
        .record_fault(NOW, &id(1), Incarnation(0), ServerFault::Unreachable)
        .unwrap();
    assert!(second > first);
    assert_eq!(place(&mut servers, 1), Err(Unplaced::AllOut));
    servers.note_reachable(NOW, &id(1));
    assert!(place(&mut servers, 1).is_ok());
}

/// A user sees every stream stutter for as long as one server is slow, because its group waits for it:
/// no request is placed there, unless most of the service is slow.
#[test]
fn slow_server_shunned() {
    let mut servers = servers(&["b", "a", "b"]);
    servers.set_slow([(id(2), 500)].into_iter().collect());
    for chance in 0..10 {
        assert_ne!(place(&mut servers, chance), Ok(id(2)));
    }
    servers.set_slow((1..=3).map(|n| (id(n), 500)).collect());
    assert_eq!(place(&mut servers, 11), Ok(id(2)));
}

/// A user is refused although a server stands idle: it crashed with all it could carry and started again
/// under its id. What it had, its failures and its pace are forgotten, and an old request's end counts for
/// nothing.
#[test]
fn restart_forgets() {
    let mut servers = servers(&["a"]);
    for chance in 0..6 {
        assert!(place(&mut servers, chance).is_ok());
    }
    assert_eq!(place(&mut servers, 7), Err(Unplaced::AllFull));
    let again = AnnouncedServer {
        start: Incarnation(1),
        ..offered(1, "a")
    };
    let left = servers.set_announced(vec![again.clone()]);
    assert_eq!(left, vec![again.address]);
    for chance in 0..6 {
        assert!(place(&mut servers, chance).is_ok());
    }
    servers.release(&id(1), Incarnation(0));
    assert_eq!(place(&mut servers, 7), Err(Unplaced::AllFull));
    servers.release(&id(1), Incarnation(1));
    assert!(place(&mut servers, 7).is_ok());
    assert_eq!(servers.set_announced(vec![again]), Vec::new());
}

/// A user sees nothing of an answer and gives up after two seconds: the host of one server stands still while
/// its service goes on elsewhere. That is told from a group that pauses as a whole.
#[test]
fn lone_server_stands_still() {
    let mut servers = servers(&["a", "a"]);
    let at = |millis| NOW + Span::from_millis(millis);
    let start = Incarnation(0);
    servers.note_piece(NOW, &id(1), start);
    servers.note_piece(NOW, &id(2), start);
    assert!(!servers.stands_still(at(900), &id(1), at(1)));
    servers.note_piece(at(800), &id(2), start);
    assert!(servers.stands_still(at(900), &id(1), at(1)));
    assert!(!servers.stands_still(at(900), &id(2), at(1)));
    servers.note_piece(at(850), &id(1), start);
    assert!(!servers.stands_still(at(900), &id(1), at(1)));
    assert!(!servers.stands_still(at(2_000), &id(1), at(900)));
}

/// A user's request is sent to a host that stands still, again and again, because it takes connections: it is left
/// out until it shows something.
#[test]
fn still_server_left_out() {
    let mut servers = servers(&["a", "b"]);
    let start = Incarnation(0);
    let out = servers.record_fault(NOW, &id(1), start, ServerFault::Still);
    assert!(out.is_some_and(|out| out >= Span::from_secs(3)));
    assert_eq!(place(&mut servers, 1), Ok(id(2)));
    servers.note_piece(NOW, &id(1), start);
    assert_eq!(place(&mut servers, 2), Ok(id(1)));
}

/// A host stands still for longer than a server is left out after failures, and is sent requests again.
#[test]
fn still_until_it_answers() {
    let mut servers = servers(&["a", "a"]);
    let start = Incarnation(0);
    let later = NOW + Span::from_secs(3_600);
    let gone = [id(2)];
    let (service, gate) = (pool().service, open());
    let wanted = wanted(&service, &gate, &gone);
    servers.record_fault(NOW, &id(1), start, ServerFault::Still);
    assert_eq!(servers.still().collect::<Vec<_>>(), [&id(1)]);
    assert!(!servers.has_free(later, wanted));
    let chosen = servers.choose(later, wanted, Urgency::InTime, 1);
    assert_eq!(chosen.unwrap_err(), Unplaced::AllOut);
    servers.note_answering(later, &id(1), start);
    assert!(servers.choose(later, wanted, Urgency::InTime, 1).is_ok());
    assert_eq!(servers.still().count(), 0);
}

/// A stream waits at a host that stands still until its caller gives up, because all other servers have queues.
#[test]
fn leaves_frozen_for_a_queue() {
    let mut servers = servers(&["a", "a"]);
    let (service, gate, gone) = (pool().service, open(), [id(1)]);
    let wanted = wanted(&service, &gate, &gone);
    let moves = |servers: &Servers| servers.may_move(NOW, &id(1), wanted, Urgency::Resumed);
    assert!(moves(&servers));
    let queued = |count| [(id(2), count)].into_iter();
    servers.set_other_counts(NOW, Span::default(), queued(4));
    assert!(!moves(&servers), "it may be answered where it is");
    servers.record_fault(NOW, &id(1), Incarnation(0), ServerFault::Still);
    assert!(moves(&servers));
    assert!(!servers.may_move(NOW, &id(1), wanted, Urgency::Late));
    servers.set_other_counts(NOW, Span::default(), queued(6));
    assert!(!moves(&servers), "it would be refused there");
}

/// Another gateway's path to a server is cut, and a sound server is left out, or is asked by each of its streams.
#[test]
fn told_servers_are_asked() {
    let mut servers = servers(&["a", "a"]);
    let start = Incarnation(0);
    assert!(servers.asks_told(NOW, &id(1)).is_some());
    assert!(servers.asks_told(NOW, &id(1)).is_none(), "asked just now");
    servers.note_piece(NOW, &id(2), start);
    assert!(servers.asks_told(NOW, &id(2)).is_none(), "it goes on");
    assert!(servers.asks_told(NOW, &id(3)).is_none(), "nobody");
    assert!(place(&mut servers, 1).is_ok());
}

/// A user's stream is given up at a sound server with a long queue, and no other one can take it up: it moves only
/// to a free place, and a server that shows nothing is asked how it is once at a time.
#[test]
fn moves_to_free_places() {
    let mut servers = servers(&["a", "a"]);
    let free =
        |servers: &Servers| servers.has_free(NOW, wanted(&pool().service, &open(), &[id(1)]));
    assert!(free(&servers));
    let start = Incarnation(0);
    let others = [(id(2), 4)];
    servers.set_other_counts(NOW, Span::default(), others.into_iter());
    assert!(!free(&servers));
    servers.set_other_counts(NOW, Span::default(), std::iter::empty());
    servers.record_fault(NOW, &id(2), start, ServerFault::Full);
    assert!(!free(&servers));
    let later = NOW + Span::from_secs(5);
    assert!(servers.has_free(later, wanted(&pool().service, &open(), &[id(1)])));
    assert!(!servers.has_free(later, wanted(&pool().service, &open(), &[id(1), id(2)])));
    assert!(servers.asks(later, &id(1)));
    assert!(!servers.asks(later, &id(1)));
    assert!(servers.asks(later + Span::from_secs(1), &id(1)));
}

fn grant(servers: &mut Servers, number: usize, due: bool) {
    let granted = Granted {
        count: 1,
        due,
        until: NOW + Span::from_secs(1),
    };
    servers.set_grants(NOW, [(id(number), granted)].into_iter());
}

/// A server in need is sent more than it takes, or a user is refused although another server is free.
#[test]
fn limited_server_passed() {
    let mut servers = servers(&["a", "a"]);
    servers.set_limits(NOW, vec![(id(1), Rate::per_second(1))]);
    for chance in 0..4 {
        assert_eq!(place(&mut servers, chance), Ok(id(2)));
    }
    grant(&mut servers, 1, false);
    assert_eq!(place(&mut servers, 4), Ok(id(1)));
    servers.set_limits(
        NOW,
        vec![(id(1), Rate::per_second(1)), (id(2), Rate::per_second(1))],
    );
    assert_eq!(place(&mut servers, 5), Err(Unplaced::AllLimited));
}

/// A stream moves from a server that shows nothing to one that takes no more, and breaks off there.
#[test]
fn limited_server_is_not_free() {
    let mut servers = servers(&["a", "a"]);
    servers.set_limits(NOW, vec![(id(2), Rate::per_second(1))]);
    let free =
        |servers: &Servers| servers.has_free(NOW, wanted(&pool().service, &open(), &[id(1)]));
    assert!(!free(&servers));
    grant(&mut servers, 2, false);
    assert!(free(&servers));
}

/// A server's limit is over, but it can't say so, because the one gateway that may send to it prefers others.
#[test]
fn due_server_first() {
    for chance in 0..20 {
        let mut servers = servers(&["a", "a", "b"]);
        servers.set_limits(NOW, vec![(id(3), Rate::per_second(1))]);
        grant(&mut servers, 3, true);
        assert_eq!(place(&mut servers, chance), Ok(id(3)));
    }
}

/// What a server in need takes is granted to gateways of other zones, which have free servers of their own.
#[test]
fn own_zone_asks_first() {
    let mut servers = servers(&["a", "b"]);
    servers.set_limits(NOW, vec![(id(2), Rate::per_second(1))]);
    assert_eq!(place(&mut servers, 1), Ok(id(1)));
    assert_eq!(servers.demand(NOW, &id(2)), 0);
    for chance in 2..8 {
        let _ = place(&mut servers, chance);
    }
    assert!(servers.demand(NOW, &id(2)) > 0);
}
