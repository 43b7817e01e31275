//! The exchange of servers' last heartbeats between controllers: its size, and that no live server counts as lost.

use quickcheck::{quickcheck, TestResult};

use snipemast_core::prelude::*;
use snipemast_registry::last_seen::LAST_SEEN_INTERVAL;
use snipemast_registry::table::{RETENTION, SILENCE_TIMEOUT};
use snipemast_registry::{
    Announcement, Cursor, GroupRank, Poll, PollerKind, RankUpdate, Standing, Table,
};

/// The interval between two heartbeats of a server.
const HEARTBEAT: Span = Span::from_millis(1_200);

fn at(millis: u64) -> Moment {
    Moment::from_millis(100_000 + millis)
}

fn id(number: usize) -> ServerId {
    ServerId::new(format!("i-{number:08}")).unwrap()
}

fn heartbeat(number: usize, sequence: u64) -> Announcement {
    Announcement {
        id: id(number),
        start: Incarnation(1_790_000_000_000),
        service: ServiceId::new("lector").unwrap(),
        address: ([10, 0, (number / 250) as u8, (number % 250) as u8], 80).into(),
        zone: ZoneId::new("pichincha").unwrap(),
        slots: 6,
        draining: false,
        cold_left: Span::default(),
        sequence,
    }
}

/// A controller's table, and what it has of the others'.
struct Controller {
    table: Table,
    cursors: Vec<Cursor>,
    last_seen: Vec<Option<Moment>>,
}

impl Controller {
    fn new(count: usize) -> Self {
        Self {
            table: Table::new(),
            cursors: vec![Cursor::default(); count],
            last_seen: vec![None; count],
        }
    }

    /// Returns the poll of another controller.
    fn poll(&self, now: Moment, other: usize) -> Poll {
        let host = HostId::new("core-1").unwrap();
        let last_seen = self.last_seen[other];
        Poll {
            cursor: self.cursors[other],
            incremental: true,
            wants_last_seen: last_seen
                .is_none_or(|last_seen| now >= last_seen + LAST_SEEN_INTERVAL),
            ..Poll::new(host, PollerKind::Controller)
        }
    }
}

/// Has a controller poll another one, and returns the bytes of the entries and last heartbeats in the answer.
fn exchange(all: &mut [Controller], now: Moment, asker: usize, other: usize) -> usize {
    let poll = all[asker].poll(now, other);
    let epoch = other as u64 + 1;
    let table = &all[other].table;
    let entries = table.since(poll.after(epoch), now);
    let last_seen = if poll.wants_last_seen {
        table.recent_servers(now)
    } else {
        Vec::new()
    };
    let cursor = Cursor {
        epoch,
        revision: table.revision(),
    };
    let bytes = rmp_serde::to_vec_named(&(&entries, &last_seen))
        .unwrap()
        .len();
    let own = &mut all[asker];
    for entry in entries {
        own.table.merge(now, entry);
    }
    let complete = own.table.merge_last_seen(now, &last_seen);
    own.cursors[other] = if complete { cursor } else { Cursor::default() };
    if poll.wants_last_seen {
        own.last_seen[other] = Some(now);
    }
    bytes
}

/// Guards against traffic between controllers that holds every server although nothing changes.
#[test]
fn idle_exchange_small() {
    const SERVERS: usize = 600;
    const POLL: u64 = 800;
    let mut all = [Controller::new(2), Controller::new(2)];
    let mut bytes = 0;
    for round in 0..75 {
        let now = at(round * POLL);
        for number in 0..SERVERS {
            let sequence = now.as_micros() / HEARTBEAT.as_micros();
            all[1]
                .table
                .record_heartbeat(now, heartbeat(number, sequence));
        }
        let sent = exchange(&mut all, now, 0, 1);
        if round > 0 {
            bytes += sent;
        }
    }
    let entries = all[1].table.since(0, at(60_000));
    let in_full = rmp_serde::to_vec_named(&entries).unwrap().len() * 74;
    assert!(
        bytes * 50 <= in_full,
        "{bytes} bytes in a minute, {in_full} in full"
    );
}

/// Guards against a server whose heartbeats reach another controller, and that is lost here because only changes are exchanged.
#[test]
fn seen_elsewhere_kept() {
    let mut all = [Controller::new(2), Controller::new(2)];
    for step in 0..400 {
        let now = at(step * 300);
        if step % 4 == 0 {
            all[1].table.record_heartbeat(now, heartbeat(1, step + 1));
        }
        exchange(&mut all, now, 0, 1);
        all[0].table.expire(now);
        let known = all[0].table.get(&id(1)).unwrap();
        assert_eq!(known.standing, Standing::Ready, "after {now}");
    }
}

/// Guards against a late heartbeat that counts as new because only changes were sent since: the server drained.
#[test]
fn late_heartbeat_outdated() {
    let mut all = [Controller::new(2), Controller::new(2)];
    all[1].table.record_heartbeat(at(0), heartbeat(1, 1));
    exchange(&mut all, at(0), 0, 1);
    all[1].table.record_heartbeat(at(9_000), heartbeat(1, 9));
    exchange(&mut all, at(9_000), 0, 1);
    assert!(!all[0].table.record_heartbeat(at(9_100), heartbeat(1, 7)));
    let known = all[0].table.get(&id(1)).unwrap();
    assert_eq!(known.announcement.sequence, 9);
}

/// Guards against a server that stays lost at a controller that was cut off, although others hear it.
#[test]
fn lost_server_found() {
    let mut all = [Controller::new(2), Controller::new(2)];
    all[1].table.record_heartbeat(at(0), heartbeat(1, 1));
    exchange(&mut all, at(0), 0, 1);
    let later = at(0) + SILENCE_TIMEOUT + Span::from_secs(1);
    all[0].table.expire(later);
    assert_eq!(all[0].table.get(&id(1)).unwrap().standing, Standing::Lost);
    all[1].table.record_heartbeat(later, heartbeat(1, 30));
    exchange(&mut all, later, 0, 1);
    exchange(&mut all, later, 0, 1);
    assert_eq!(all[0].table.get(&id(1)).unwrap().standing, Standing::Ready);
}

/// Guards against a group that falls apart into single servers once its ranks have not changed for a while.
#[test]
fn unchanged_rank_kept() {
    let mut table = Table::new();
    let rank = GroupRank {
        group: GroupId::new("g-0").unwrap(),
        epoch: GroupIncarnation(1),
        place: 3,
        size: 4,
        open: true,
    };
    table.record_heartbeat(at(0), heartbeat(1, 1));
    let update = RankUpdate {
        address: heartbeat(1, 1).address,
        start: heartbeat(1, 1).start,
        rank: Some(rank.clone()),
        sender: 7,
        number: 1,
    };
    assert!(table.record_rank(at(0), update));
    let later = at(0) + RETENTION + RETENTION;
    table.record_heartbeat(later, heartbeat(1, 200));
    table.forget(later);
    let known = table.get(&id(1)).unwrap();
    assert_eq!(table.rank(known), Some(&rank));
}

quickcheck! {
    /// Guards against a server that counts as lost, although one of the connected controllers receives its heartbeats.
    fn no_live_server_lost(cuts: Vec<u8>, hears: u8) -> TestResult {
        let mut all = [(); 3].map(|()| Controller::new(3));
        let hears = usize::from(hears) % 3;
        for step in 0..200u64 {
            let now = at(step * 400);
            if step % 3 == 0 {
                all[hears].table.record_heartbeat(now, heartbeat(1, step + 1));
            }
            // One pair is cut off from each other, for six seconds each.
            let cut = cuts.get(step as usize / 15).map(|pair| usize::from(*pair) % 3);
            for asker in 0..3 {
                for other in (0..3).filter(|other| *other != asker) {
                    let pair = 3 - asker - other;
                    if cut != Some(pair) {
                        exchange(&mut all, now, asker, other);
                    }
                }
            }
            for controller in &mut all {
                controller.table.expire(now);
                let known = controller.table.get(&id(1));
                if step > 15 && known.is_none_or(|k| k.standing != Standing::Ready) {
                    return TestResult::failed();
                }
            }
        }
        TestResult::passed()
    }
}
