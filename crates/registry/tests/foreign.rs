//! Announcements of other writers under the id of a known server.

mod common;

use quickcheck::quickcheck;

use snipemast_core::prelude::*;
use snipemast_registry::table::SILENCE_TIMEOUT;
use snipemast_registry::{Announcement, Standing, Table};

use common::{announced, at};

/// Returns an announcement of a server's only start. Bits of `other` give it another service, zone or address.
fn announcement(sequence: u64, other: u8) -> Announcement {
    let name = |bit: u8, own: &'static str| if other & bit == 0 { own } else { "other" };
    let host = 1 + (other & 4);
    Announcement {
        service: ServiceId::new(name(1, "lector")).expect("a valid name"),
        address: ([10, 0, 0, host], 80).into(),
        zone: ZoneId::new(name(2, "a")).expect("a valid name"),
        sequence,
        ..announced(1_000)
    }
}

quickcheck! {
    /// Guards against a server without requests, because a heartbeat of another writer under its id counts as its own.
    fn other_writer_ignored(messages: Vec<(u16, u8)>) -> bool {
        let (mut table, mut alone) = (Table::new(), Table::new());
        for (sequence, (ahead, other)) in (1..).zip(messages) {
            let now = at(sequence * 1_200);
            for table in [&mut table, &mut alone] {
                table.record_heartbeat(now, announcement(sequence, 0));
            }
            if other & 7 != 0 {
                table.record_heartbeat(now, announcement(sequence + u64::from(ahead), other));
            }
        }
        let known = |table: &Table| table.iter().map(|k| (k.announcement.clone(), k.standing, k.last_seen)).next();
        known(&table) == known(&alone)
    }
}

/// Guards against a server that never gets requests because another writer named its id first.
#[test]
fn first_word_outlived() {
    let mut table = Table::new();
    table.record_heartbeat(at(0), announcement(900, 7));
    let end = SILENCE_TIMEOUT.as_millis() / 1_200 + 2;
    for sequence in 1..=end {
        table.record_heartbeat(at(sequence * 1_200), announcement(900 + sequence, 0));
    }
    let known = table.iter().next().expect("it is known");
    assert_eq!(known.announcement.service.as_str(), "lector");
    assert_eq!(known.standing, Standing::Ready);
}
