//! Controllers of a gateway's own availability zone that pass changes on to it: the number of entries that it is sent, and that it never
//! acknowledges what it doesn't have.

mod common;

use std::net::SocketAddr;

use quickcheck::quickcheck;

use snipemast_core::prelude::*;
use snipemast_registry::relays::{Coverage, RelayAnswer, Relays};
use snipemast_registry::{Announcement, Cursor, Standing, Table};

use common::{announced, at};

fn address(controller: usize) -> SocketAddr {
    ([10, 1, 0, controller as u8 + 1], 7_340).into()
}

fn id(number: usize) -> ServerId {
    ServerId::new(format!("i-{number}")).unwrap()
}

fn heartbeat(number: usize, sequence: u64, draining: bool) -> Announcement {
    Announcement {
        id: id(number),
        address: ([10, 0, 0, number as u8], 80).into(),
        draining,
        sequence,
        ..announced(1)
    }
}

/// A controller's table, and how much of the others' it covers.
struct Controller {
    table: Table,
    epoch: u64,
    covered: Vec<Cursor>,
}

/// Controllers that exchange their tables, and a gateway that polls them.
struct Fleet {
    controllers: Vec<Controller>,
    /// The number of controllers in the gateway's availability zone; these come first.
    local: usize,
    relays: Relays,
    table: Table,
    /// The number of entries that the gateway was sent.
    entries: usize,
}

impl Fleet {
    fn new(count: usize, local: usize) -> Self {
        let controller = |number: usize| Controller {
            table: Table::new(),
            epoch: number as u64 + 1,
            covered: vec![Cursor::default(); count],
        };
        Self {
            controllers: (0..count).map(controller).collect(),
            local,
            relays: Relays::default(),
            table: Table::new(),
            entries: 0,
        }
    }

    fn cursor(&self, controller: usize) -> Cursor {
        let known = &self.controllers[controller];
        Cursor {
            epoch: known.epoch,
            revision: known.table.revision(),
        }
    }

    /// Has a controller merge what another one has.
    fn exchange(&mut self, now: Moment, asker: usize, other: usize) {
        let cursor = self.cursor(other);
        let from = self.controllers[asker].covered[other];
        let after = if from.epoch == cursor.epoch {
            from.revision
        } else {
            0
        };
        let entries = self.controllers[other].table.since(after, now);
        let own = &mut self.controllers[asker];
        for entry in entries {
            own.table.merge(now, entry);
        }
        own.covered[other] = cursor;
    }

    /// Has the gateway poll a controller; the answer may be lost.
    fn poll(&mut self, now: Moment, controller: usize, lost: bool) {
        let (cursor, with_entries) = self.relays.prepare(address(controller));
        let known = &self.controllers[controller];
        let after = if cursor.epoch == known.epoch {
            cursor.revision
        } else {
            0
        };
        let entries = if with_entries {
            known.table.since(after, now)
        } else {
            Vec::new()
        };
        let covered = known
            .covered
            .iter()
            .enumerate()
            .map(|(other, cursor)| Coverage {
                controller: address(other),
                cursor: *cursor,
            });
        let answer = RelayAnswer {
            same_zone: controller < self.local,
            cursor: self.cursor(controller),
            has_entries: !entries.is_empty(),
            covered: covered.collect(),
        };
        if lost {
            return;
        }
        self.entries += entries.len();
        for entry in entries {
            self.table.merge(now, entry);
        }
        self.relays.record(address(controller), answer);
    }

    /// Has all controllers exchange their tables, and the gateway poll all of them, several times.
    fn settle(&mut self, now: Moment) {
        let count = self.controllers.len();
        for _ in 0..3 {
            for asker in 0..count {
                for other in (0..count).filter(|other| *other != asker) {
                    self.exchange(now, asker, other);
                }
            }
            for controller in 0..count {
                self.poll(now, controller, false);
            }
        }
    }

    /// Restarts a controller with an empty table.
    fn restart(&mut self, controller: usize) {
        let count = self.controllers.len();
        let known = &mut self.controllers[controller];
        known.table = Table::new();
        known.epoch += 1_000;
        known.covered = vec![Cursor::default(); count];
    }
}

/// Guards against changes that every controller sends to every gateway.
#[test]
fn changes_sent_by_zone() {
    const SERVERS: usize = 200;
    let mut fleet = Fleet::new(25, 5);
    fleet.settle(at(0));
    fleet.entries = 0;
    for number in 0..SERVERS {
        let controller = number % 25;
        let table = &mut fleet.controllers[controller].table;
        table.record_heartbeat(at(1), heartbeat(number, 1, false));
    }
    fleet.settle(at(2));
    assert_eq!(fleet.table.iter().count(), SERVERS);
    assert!(fleet.entries <= 5 * SERVERS, "{} entries", fleet.entries);
    for controller in 0..25 {
        let all = address(controller);
        assert!(!fleet.relays.lags(all), "controller {controller}");
        assert_eq!(fleet.relays.prepare(all).0, fleet.cursor(controller));
    }
}

/// Guards against a gateway that learns nothing because the controllers of its zone are cut off from the others.
#[test]
fn cut_off_relays_bypassed() {
    let mut fleet = Fleet::new(3, 1);
    fleet.settle(at(0));
    let table = &mut fleet.controllers[2].table;
    table.record_heartbeat(at(1), heartbeat(1, 1, false));
    fleet.poll(at(2), 0, false);
    fleet.poll(at(2), 2, false);
    assert!(fleet.relays.lags(address(2)));
    fleet.relays.request(address(2));
    fleet.poll(at(400), 2, false);
    assert!(!fleet.relays.lags(address(2)));
    assert!(fleet.table.get(&id(1)).is_some());
    // While the relay is cut off, the next change comes at once.
    let table = &mut fleet.controllers[2].table;
    table.record_heartbeat(at(500), heartbeat(2, 1, false));
    fleet.poll(at(501), 2, false);
    assert!(fleet.table.get(&id(2)).is_some());
    // Once the relay has caught up, it passes changes on again.
    fleet.settle(at(600));
    let table = &mut fleet.controllers[2].table;
    table.record_heartbeat(at(700), heartbeat(3, 1, false));
    fleet.poll(at(701), 2, false);
    assert!(fleet.table.get(&id(3)).is_none());
}

/// Guards against a gateway that is sent nothing because the only controller of its zone no longer answers.
#[test]
fn lost_relay_replaced() {
    let mut fleet = Fleet::new(3, 1);
    fleet.settle(at(0));
    fleet.relays.record_loss(address(0));
    let table = &mut fleet.controllers[2].table;
    table.record_heartbeat(at(1), heartbeat(1, 1, false));
    fleet.poll(at(2), 2, false);
    assert!(fleet.table.get(&id(1)).is_some());
}

/// Guards against a gateway that waits in vain for the only controller of its zone, which nobody polls any more.
#[test]
fn unpolled_relay_replaced() {
    let mut fleet = Fleet::new(3, 1);
    fleet.settle(at(0));
    fleet.relays.prepare(address(0));
    fleet.relays.retain_polled(|c| c != address(0));
    let late = RelayAnswer {
        same_zone: true,
        cursor: fleet.cursor(0),
        has_entries: false,
        covered: Vec::new(),
    };
    fleet.relays.record(address(0), late);
    let table = &mut fleet.controllers[2].table;
    table.record_heartbeat(at(1), heartbeat(1, 1, false));
    fleet.poll(at(2), 2, false);
    assert!(fleet.table.get(&id(1)).is_some());
    assert!(!fleet.relays.lags(address(2)));
    assert!(!fleet.relays.lags(address(0)));
}

/// Guards against an acknowledged drain that waits for gateways which are not woken for it.
#[test]
fn only_reported_drains_awaited() {
    let mut fleet = Fleet::new(2, 1);
    let table = &mut fleet.controllers[0].table;
    table.record_heartbeat(at(0), heartbeat(1, 1, false));
    table.record_heartbeat(at(0), heartbeat(2, 1, false));
    assert_eq!(table.awaited_revision(), 0);
    table.record_heartbeat(at(1), heartbeat(1, 2, true));
    let drained = table.revision();
    assert_eq!(table.awaited_revision(), drained);
    // The server repeats itself, here or where it reached only others.
    table.record_heartbeat(at(2), heartbeat(3, 1, false));
    table.record_heartbeat(at(3), heartbeat(1, 3, true));
    assert_eq!(table.awaited_revision(), table.revision());
    table.record_deregistration(at(4), &id(2));
    assert_eq!(table.awaited_revision(), table.revision());
    fleet.exchange(at(5), 1, 0);
    assert!(fleet.controllers[1].table.revision() > 0);
    assert_eq!(fleet.controllers[1].table.awaited_revision(), 0);
}

quickcheck! {
    /// Guards against a drain that is acknowledged although a gateway lacks it, in whatever order messages arrive.
    fn reports_what_it_has(steps: Vec<(u8, u8)>) -> bool {
        let mut fleet = Fleet::new(4, 2);
        let mut drained: Vec<(usize, Cursor, usize)> = Vec::new();
        let mut sequence = 1;
        for number in 0..8 {
            let table = &mut fleet.controllers[number % 4].table;
            table.record_heartbeat(at(0), heartbeat(number, 1, false));
        }
        steps.into_iter().enumerate().all(|(step, (kind, chance))| {
            let now = at(step as u64 * 50);
            let (one, other) = (usize::from(chance) % 4, usize::from(chance / 4) % 4);
            match kind % 16 {
                0 | 1 => {
                    let server = usize::from(chance / 16) % 8;
                    sequence += 1;
                    let table = &mut fleet.controllers[one].table;
                    table.record_heartbeat(now, heartbeat(server, sequence, true));
                    drained.push((one, fleet.cursor(one), server));
                }
                2 if chance % 8 == 0 => fleet.restart(one),
                3 => fleet.relays.request(address(one)),
                4 if chance % 4 == 0 => fleet.relays.record_loss(address(one)),
                5..=9 if one != other => fleet.exchange(now, one, other),
                10 => fleet.poll(now, one, true),
                _ => fleet.poll(now, one, false),
            }
            drained.iter().all(|(controller, cursor, server)| {
                let (has, _) = fleet.relays.prepare(address(*controller));
                let known = fleet.table.get(&id(*server));
                !has.reaches(*cursor) || known.is_some_and(|k| k.standing == Standing::Draining)
            })
        })
    }
}
