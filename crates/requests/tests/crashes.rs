//! Requests whose servers ended: which are quarantined, and what processes that tell each other agree on.

use quickcheck::{Gen, QuickCheck, Testable};

use snipemast_core::prelude::*;
use snipemast_requests::crashes::{EndedRun, MAX_RECORDS, MAX_SHARED};
use snipemast_requests::{AttemptHash, Causes, CrashTable, CrashVerdict, Fingerprint};

fn request(number: u32) -> Fingerprint {
    Fingerprint::for_request("andes", "POST", "/x", &number.to_be_bytes())
}

fn at(millis: u64) -> Moment {
    Moment::from_millis(millis)
}

/// Records that a server ended under a request, both in ms.
fn end(table: &mut CrashTable, number: u32, server: u32, sent: u64, ended: u64) -> bool {
    let id = ServerId::new(format!("i-{server}")).expect("the id is valid");
    let run = EndedRun {
        start: Incarnation(1),
        attempt: AttemptHash::new("first"),
        arrived: at(sent),
        sent: at(sent),
        ended: at(ended),
        went_on: false,
    };
    let causes = Causes::new(request(number));
    let news = table.record_end(at(ended), &causes, &id, run);
    news.contains(&request(number))
}

/// Tells one table all that another one knows.
fn tell(now: Moment, from: &CrashTable, to: &mut CrashTable) {
    let mut after = 0;
    while after < from.revision() {
        let (records, reached) = from.since(now, after);
        assert!(records.len() <= MAX_SHARED);
        for record in records {
            to.merge(now, record);
        }
        after = reached;
    }
}

/// Guards against a request that ends one server after the other and is never recognized.
#[test]
fn crashing_quarantined() {
    let mut table = CrashTable::new();
    let mut verdicts = Vec::new();
    for number in 0..4 {
        let sent = 1_000 + u64::from(number) * 4_000;
        assert!(end(&mut table, 1, number, sent, sent + 70));
        verdicts.push(table.verdict(&request(1)));
    }
    let (clear, suspect, quarantined) = (
        CrashVerdict::Clear,
        CrashVerdict::Suspect,
        CrashVerdict::Quarantined,
    );
    assert_eq!(verdicts, [clear, suspect, quarantined, quarantined]);
    assert_eq!(table.verdict(&request(2)), clear, "another body");
}

/// Records that attempts at a request are under way, all of which arrived at a time in ms.
fn copies(table: &mut CrashTable, now: u64, number: u32, attempts: &[&str], arrived: u64) {
    for attempt in attempts {
        let attempt = AttemptHash::new(attempt);
        table.record_copy(at(now), &request(number), attempt, at(arrived));
    }
}

/// Two servers end under request 1, in succession.
fn two_ends() -> CrashTable {
    let mut table = CrashTable::new();
    end(&mut table, 1, 1, 1_000, 1_070);
    end(&mut table, 1, 2, 5_000, 5_070);
    table
}

/// Guards against a third outage under a request of which several copies wait for the reopening.
#[test]
fn copies_decide() {
    let mut table = two_ends();
    copies(&mut table, 5_100, 1, &["a"], 3_000);
    assert_eq!(table.verdict(&request(1)), CrashVerdict::Suspect);
    copies(&mut table, 5_100, 1, &["b"], 3_500);
    assert_eq!(table.verdict(&request(1)), CrashVerdict::Undecided);
    table.refresh(at(6_100));
    assert_eq!(table.verdict(&request(1)), CrashVerdict::Quarantined);
    let mut other = CrashTable::new();
    tell(at(6_200), &table, &mut other);
    assert_eq!(other.verdict(&request(1)), CrashVerdict::Quarantined);
}

/// Guards against a copy that isn't counted because its own server ended, so that nothing of it is left to count.
#[test]
fn broken_copy_counted() {
    let mut table = CrashTable::new();
    let run = EndedRun {
        start: Incarnation(1),
        attempt: AttemptHash::new("a"),
        arrived: at(8_000),
        sent: at(9_000),
        ended: at(9_070),
        went_on: false,
    };
    let (causes, id) = (Causes::new(request(2)), ServerId::new("i-7").unwrap());
    table.record_end(at(9_070), &causes, &id, run);
    end(&mut table, 2, 8, 13_000, 13_070);
    copies(&mut table, 9_100, 2, &["b"], 8_000);
    assert_eq!(table.verdict(&request(2)), CrashVerdict::Undecided);
}

/// Guards against a crashing request that is sent on because servers end later for another reason.
#[test]
fn later_ends_undo_nothing() {
    let mut table = two_ends();
    copies(&mut table, 5_100, 1, &["a", "b"], 3_000);
    for server in 3..9 {
        end(&mut table, server, server, 7_000, 7_500);
    }
    table.refresh(at(8_000));
    assert_eq!(table.verdict(&request(1)), CrashVerdict::Quarantined);
}

/// Guards against a request that is refused for a day, and one that is sent on and on, because two ends were decided on:
/// after ten minutes it is sent once each time it comes, until one more server ends.
#[test]
fn copies_tried_again() {
    let mut table = two_ends();
    copies(&mut table, 5_100, 1, &["a", "b"], 3_000);
    table.refresh(at(600_000));
    assert_eq!(table.verdict(&request(1)), CrashVerdict::Quarantined);
    for now in [606_000, 3_600_000] {
        table.forget(at(now));
        assert_eq!(table.verdict(&request(1)), CrashVerdict::Suspect);
    }
    end(&mut table, 1, 3, 3_601_000, 3_601_070);
    assert_eq!(table.verdict(&request(1)), CrashVerdict::Quarantined);
}

/// Guards against copies that aren't counted because the first ones came after the second end.
#[test]
fn later_copies_decide() {
    let mut table = two_ends();
    copies(&mut table, 7_200, 1, &["a"], 5_500);
    assert_eq!(table.verdict(&request(1)), CrashVerdict::Suspect);
    copies(&mut table, 7_500, 1, &["b"], 6_000);
    assert_eq!(table.verdict(&request(1)), CrashVerdict::Quarantined);
}

/// Guards against a record that is sent between all processes again for each of hundreds of gateways with copies.
#[test]
fn copies_shared_rarely() {
    let mut table = two_ends();
    let (before, mut changes) = (table.revision(), 0);
    for gateway in 0..431 {
        let mut other = two_ends();
        let attempts = [format!("{gateway}a"), format!("{gateway}b")];
        let attempts = attempts.each_ref().map(String::as_str);
        copies(&mut other, 5_100, 1, &attempts, 3_000);
        tell(at(5_200), &other, &mut table);
        changes = table.revision() - before;
    }
    assert!(changes <= 2, "{changes}");
    assert_eq!(table.verdict(&request(1)), CrashVerdict::Undecided);
}

/// Guards against callers that follow one another and count as copies.
#[test]
fn successive_tries_no_copies() {
    let mut table = two_ends();
    for (attempt, arrived, until) in [
        ("a", 3_000, 5_100),
        ("b", 5_150, 6_700),
        ("c", 6_750, 8_900),
    ] {
        copies(&mut table, until, 1, &[attempt], arrived);
    }
    assert_eq!(table.verdict(&request(1)), CrashVerdict::Suspect);
}

/// Guards against a single caller that is refused because it tried again at once after its first server had ended.
#[test]
fn next_try_no_copy() {
    let mut table = two_ends();
    copies(&mut table, 5_100, 1, &["a"], 3_000);
    copies(&mut table, 5_200, 1, &["b"], 5_000);
    assert_eq!(table.verdict(&request(1)), CrashVerdict::Suspect);
}

/// Guards against a sound request that comes in copies and is refused because it was at two ends: it completed at some
/// time, servers end without it too, or another one was there as well.
#[test]
fn sound_copies_spared() {
    let spared = |change: &dyn Fn(&mut CrashTable)| {
        let mut table = two_ends();
        change(&mut table);
        copies(&mut table, 5_100, 1, &["a", "b"], 3_000);
        table.refresh(at(9_000));
        assert_eq!(table.verdict(&request(1)), CrashVerdict::Suspect);
    };
    spared(&|table| {
        table.record_completion(at(500), request(1));
    });
    spared(&|table| {
        end(table, 2, 3, 4_000, 4_500);
    });
    spared(&|table| {
        end(table, 2, 1, 1_000, 1_070);
        end(table, 2, 2, 5_000, 5_070);
        copies(table, 5_100, 2, &["c", "d"], 3_000);
    });
}

/// Guards against copies of a crashing request that run at once and count as one, so that several rounds of them
/// pass.
#[test]
fn copies_counted() {
    let mut table = CrashTable::new();
    for server in 0..3 {
        end(&mut table, 1, server, 1_000, 1_070);
    }
    assert_eq!(table.verdict(&request(1)), CrashVerdict::Quarantined);
    // The same start, as another process saw it.
    assert!(!end(&mut table, 1, 0, 1_000, 1_071));
}

/// Guards against an innocent request that is sent often and refused because many servers end at one moment.
#[test]
fn frequent_spared() {
    let mut table = CrashTable::new();
    table.record_completion(at(500), request(1));
    for server in 0..5 {
        end(&mut table, 1, server, 1_000, 1_070 + u64::from(server));
    }
    assert_eq!(table.verdict(&request(1)), CrashVerdict::Suspect);
    assert!(table.record_completion(at(1_200), request(1)));
    assert_eq!(table.verdict(&request(1)), CrashVerdict::Clear);
}

/// Guards against innocent requests that are refused because a third of the servers crash twice beside a crashing
/// request.
#[test]
fn third_crashes_twice() {
    const SERVERS: u32 = 48;
    const SLOTS: u32 = 12;
    const CRASHING: u32 = 9_999;
    let mut table = CrashTable::new();
    // Each innocent request was sent again to another of the servers that crash the second time.
    for round in 0..2 {
        let (sent, ended) = (1_000 + round * 5_000, 2_000 + round * 5_000);
        for server in 0..SERVERS / 3 {
            let id = server + SERVERS * round as u32;
            for slot in 0..SLOTS {
                end(&mut table, server * SLOTS + slot, id, sent, ended);
            }
        }
        end(&mut table, CRASHING, SERVERS * round as u32, sent, ended);
    }
    end(&mut table, CRASHING, 999, 8_000, 8_070);
    assert_eq!(table.quarantined().count(), 1);
    assert_eq!(table.verdict(&request(CRASHING)), CrashVerdict::Quarantined);
}

/// Guards against a quarantined request that is sent again by a process that has just started: all that it learns
/// happened before its clock began.
#[test]
fn older_than_clock() {
    let mut old = CrashTable::new();
    old.record_completion(at(100), request(1));
    for server in 0..3 {
        let sent = 1_000 + u64::from(server) * 4_000;
        end(&mut old, 1, server, sent, sent + 70);
    }
    assert_eq!(old.verdict(&request(1)), CrashVerdict::Quarantined);
    let mut new = CrashTable::new();
    let (records, _) = old.since(at(60_000), 0);
    for record in records {
        new.merge(Moment::ZERO, record);
    }
    assert_eq!(new.verdict(&request(1)), CrashVerdict::Quarantined);
}

/// Guards against a flood of distinct requests that fills the memory, or pushes a quarantined one out.
#[test]
fn flood_bounded() {
    let mut table = CrashTable::new();
    for server in 0..3 {
        let sent = 1_000 + u64::from(server) * 4_000;
        end(&mut table, 0, server, sent, sent + 70);
    }
    for number in 1..=MAX_RECORDS as u32 + 100 {
        end(&mut table, number, 7, 20_000, 20_070);
    }
    assert_eq!(table.len(), MAX_RECORDS);
    assert_eq!(table.verdict(&request(0)), CrashVerdict::Quarantined);
}

/// Guards against a request that completed after many crashes around it, and whose own crashes are never counted
/// because no more of them are kept.
#[test]
fn later_ends_counted() {
    let mut table = CrashTable::new();
    for server in 0..20 {
        let sent = 1_000 + u64::from(server) * 4_000;
        end(&mut table, 1, server, sent, sent + 70);
        table.record_completion(at(sent + 1_000), request(1));
    }
    assert_eq!(table.verdict(&request(1)), CrashVerdict::Clear);
    for server in 20..23 {
        let sent = 1_000 + u64::from(server) * 4_000;
        assert!(end(&mut table, 1, server, sent, sent + 70));
    }
    assert_eq!(table.verdict(&request(1)), CrashVerdict::Quarantined);
}

/// Guards against innocent requests that are remembered for good, and a quarantined one that is forgotten soon.
#[test]
fn innocent_forgotten() {
    let mut table = CrashTable::new();
    for server in 0..3 {
        let sent = 1_000 + u64::from(server) * 4_000;
        end(&mut table, 0, server, sent, sent + 70);
    }
    end(&mut table, 1, 7, 1_000, 1_070);
    table.forget(at(3_600_000));
    assert_eq!(table.len(), 1);
    assert_eq!(table.verdict(&request(0)), CrashVerdict::Quarantined);
}

/// Guards against processes that disagree after they have told each other what they saw, in some order, also twice.
#[test]
fn any_order() {
    fn holds(seen: Vec<(u8, u8, u8, u16)>, told: Vec<(u8, u8)>) -> bool {
        let mut tables = [CrashTable::new(), CrashTable::new(), CrashTable::new()];
        for (table, number, server, time) in seen.into_iter().take(60) {
            let table = &mut tables[usize::from(table) % 3];
            let (number, server) = (u32::from(number) % 4, u32::from(server) % 6);
            if server == 0 {
                table.record_completion(at(time.into()), request(number));
            } else {
                // Each start ends once, under all that it runs.
                let ended = u64::from(server) * 10_000;
                end(table, number, server, ended.saturating_sub(5_000), ended);
            }
        }
        let all = (0..3).flat_map(|from| (0..3).map(move |to| (from, to)));
        let told = told.into_iter().map(|(from, to)| (from % 3, to % 3));
        for (from, to) in told.chain(all.clone()).chain(all) {
            if from == to {
                continue;
            }
            let mut other = std::mem::take(&mut tables[usize::from(to)]);
            tell(at(70_000), &tables[usize::from(from)], &mut other);
            tables[usize::from(to)] = other;
        }
        let verdicts = |t: &CrashTable| (0..4).map(|n| t.verdict(&request(n))).collect::<Vec<_>>();
        tables.iter().all(|t| verdicts(t) == verdicts(&tables[0]))
    }
    check(holds as fn(Vec<(u8, u8, u8, u16)>, Vec<(u8, u8)>) -> bool);
}

/// Checks a property over the same cases in every run.
fn check(property: impl Testable) {
    let gen = Gen::from_size_and_seed(100, 7);
    QuickCheck::new().rng(gen).tests(500).quickcheck(property);
}
