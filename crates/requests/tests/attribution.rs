//! Parts of prompts that crash servers: which of the parts that were at the ends are quarantined.

use snipemast_core::prelude::*;
use snipemast_requests::crashes::EndedRun;
use snipemast_requests::{AttemptHash, Causes, CrashTable, CrashVerdict, Fingerprint};

/// The pause between the deciding end and the verdict, in ms, and a little more.
const SETTLED: u64 = 1_100;

/// One process that sees all ends.
struct Scene {
    table: CrashTable,
    /// The number of the next request; no two are alike.
    next: u32,
}

fn part(name: &str) -> Fingerprint {
    let service = ServiceId::new("lector").unwrap();
    Fingerprint::for_part(&service, &PartId::new(name).unwrap())
}

fn at(millis: u64) -> Moment {
    Moment::from_millis(millis)
}

fn causes(number: u32, parts: &[&str]) -> Causes {
    let request = Fingerprint::for_request("andes", "POST", "/x", &number.to_be_bytes());
    Causes::new(request).with_parts(parts.iter().map(|name| part(name)).collect())
}

impl Scene {
    fn new() -> Self {
        Self {
            table: CrashTable::new(),
            next: 0,
        }
    }

    /// A server ends at a time in ms under requests with these parts, each sent 300 ms before.
    fn end(&mut self, server: u32, ended: u64, requests: &[&[&str]]) {
        for parts in requests {
            self.next += 1;
            self.end_under(self.next, server, ended, parts);
        }
    }

    /// A server ends under the request with this number.
    fn end_under(&mut self, number: u32, server: u32, ended: u64, parts: &[&str]) {
        let run = EndedRun {
            start: Incarnation(1),
            attempt: AttemptHash::new("a"),
            arrived: at(ended - 300),
            sent: at(ended - 300),
            ended: at(ended),
            went_on: false,
        };
        let id = ServerId::new(format!("i-{server}")).unwrap();
        let causes = causes(number, parts);
        self.table.record_end(at(ended), &causes, &id, run);
    }

    /// An answer to a request with these parts begins at a time in ms and goes on.
    fn survive(&mut self, begun: u64, parts: &[&str]) {
        self.next += 1;
        let causes = causes(self.next, parts);
        self.table
            .record_survival(at(begun + 250), &causes, at(begun));
    }

    /// Returns the verdict on a part some time after its deciding end.
    fn verdict(&mut self, now: u64, name: &str) -> CrashVerdict {
        self.table.refresh(at(now));
        self.table.verdict(&part(name))
    }

    fn is_quarantined(&mut self, now: u64, name: &str) -> bool {
        self.verdict(now, name) == CrashVerdict::Quarantined
    }
}

/// Guards against a part that ends one server after the other, and against its companions that are refused with it.
#[test]
fn two_ends_decide() {
    let mut scene = Scene::new();
    scene.survive(500, &["first", "other"]);
    scene.end(
        1,
        2_000,
        &[&["first", "dead"], &["first", "other"], &["first", "new"]],
    );
    assert_eq!(scene.verdict(4_000, "dead"), CrashVerdict::Clear);
    scene.survive(5_500, &["first", "other"]);
    scene.end(2, 6_000, &[&["first", "dead"], &["first", "other"]]);
    assert_eq!(scene.verdict(6_100, "dead"), CrashVerdict::Undecided);
    assert!(scene.is_quarantined(6_000 + SETTLED, "dead"));
    for sound in ["first", "other", "new"] {
        assert_eq!(scene.verdict(8_000, sound), CrashVerdict::Clear, "{sound}");
    }
}

/// Guards against a crashing part that is sent on because servers end later for another reason.
#[test]
fn later_ends_undo_nothing() {
    let mut scene = Scene::new();
    scene.end(1, 2_000, &[&["first", "dead"], &["first", "other"]]);
    scene.survive(5_500, &["first", "other"]);
    scene.end(2, 6_000, &[&["first", "dead"]]);
    assert!(scene.is_quarantined(6_000 + SETTLED, "dead"));
    for server in 3..6 {
        scene.end(server, 9_000, &[&["first", "new"]]);
    }
    assert!(scene.is_quarantined(10_500, "dead"));
}

/// Guards against a part that is refused because a request that crashes servers by itself has it.
#[test]
fn request_alone_blamed() {
    let mut scene = Scene::new();
    for round in 0..3 {
        let ended = 2_000 + round * 4_000;
        scene.end_under(900, round as u32, ended, &["shared"]);
        scene.end(round as u32, ended, &[&["shared"]]);
    }
    assert!(!scene.is_quarantined(20_000, "shared"));
    assert_eq!(scene.table.quarantined().count(), 1);
}

/// Guards against a sound part that was by chance at two ends with the one that crashes servers and is refused
/// in its place: the third end tells them apart.
#[test]
fn companion_spared() {
    let mut scene = Scene::new();
    for round in 0..2 {
        scene.end(
            round,
            2_000 + u64::from(round) * 4_000,
            &[&["dead"], &["sound"]],
        );
    }
    assert!(!scene.is_quarantined(9_000, "dead") && !scene.is_quarantined(9_000, "sound"));
    scene.end(3, 10_000, &[&["dead"]]);
    assert!(scene.is_quarantined(12_000, "dead"));
    assert!(!scene.is_quarantined(12_000, "sound"));
}

/// Guards against a part that never comes without a certain sound one, which hides it.
#[test]
fn inseparable_decided() {
    let mut scene = Scene::new();
    for round in 0..4 {
        scene.end(
            round,
            2_000 + u64::from(round) * 4_000,
            &[&["first", "sound", "dead"]],
        );
    }
    assert!(scene.is_quarantined(20_000, "dead"));
    assert!(!scene.is_quarantined(20_000, "first") && !scene.is_quarantined(20_000, "sound"));
}

/// Guards against a first part, which all requests have, that is refused although only another one crashes servers,
/// while nothing is seen to survive between the ends and a server ends for another reason too.
#[test]
fn first_part_spared() {
    let mut scene = Scene::new();
    for round in 0..4 {
        let ended = 2_000 + u64::from(round) * 4_000;
        let other = format!("x{round}");
        scene.end(round, ended, &[&["first", "dead"], &["first", &other]]);
    }
    scene.end(70, 19_000, &[&["first", "y"]]);
    assert!(scene.is_quarantined(22_000, "dead"));
    assert!(!scene.is_quarantined(22_000, "first"));
}

/// Guards against a first part that crashes servers and is never found, because narrower ones are blamed.
#[test]
fn first_part_found() {
    let mut scene = Scene::new();
    let narrow = ["a", "b", "c", "d"];
    for (round, name) in (0..).zip(narrow) {
        let ended = 2_000 + u64::from(round) * 4_000;
        scene.end(round, ended, &[&["first", name]]);
    }
    assert!(scene.is_quarantined(20_000, "first"));
}

/// Guards against two parts that crash servers by turns, so that neither was at all ends.
#[test]
fn two_at_once() {
    let mut scene = Scene::new();
    for round in 0..6 {
        let name = if round % 2 == 0 { "dead" } else { "deadly" };
        scene.survive(1_500 + u64::from(round) * 4_000, &["first"]);
        scene.end(
            round,
            2_000 + u64::from(round) * 4_000,
            &[&["first", name], &["first"]],
        );
    }
    assert!(scene.is_quarantined(30_000, "dead") && scene.is_quarantined(30_000, "deadly"));
    assert!(!scene.is_quarantined(30_000, "first"));
}

/// Guards against a part that was sound and begins to crash servers, as after a change of the model.
#[test]
fn turned_deadly() {
    let mut scene = Scene::new();
    scene.survive(500, &["dead"]);
    scene.end(0, 2_000, &[&["dead"]]);
    scene.end(1, 6_000, &[&["dead"]]);
    assert!(!scene.is_quarantined(8_000, "dead"));
    scene.end(2, 10_000, &[&["dead"]]);
    assert!(scene.is_quarantined(12_000, "dead"));
}

/// Guards against sound parts that are refused because a third of the servers crash twice at the same moments, each
/// time under some of their requests.
#[test]
fn third_crashes_twice() {
    let names: Vec<String> = (0..16).map(|n| format!("p{n}")).collect();
    let mut scene = Scene::new();
    for round in 0..2 {
        for server in 0..16_u32 {
            let moved = (server + round * 5) % 16;
            let (id, ended) = (server + round * 100, 2_000 + u64::from(round) * 5_000);
            scene.end(id, ended, &[&[names[moved as usize].as_str()]]);
        }
    }
    assert_eq!(scene.table.quarantined().count(), 0);
    scene.table.refresh(at(20_000));
    assert_eq!(scene.table.quarantined().count(), 0);
}

/// Guards against a part that ends five servers at one moment and goes on to others after it.
#[test]
fn five_at_one_moment() {
    let mut scene = Scene::new();
    scene.survive(500, &["first"]);
    for server in 0..5 {
        scene.end(
            server,
            2_000 + u64::from(server) * 8,
            &[&["first", "dead"], &["first"]],
        );
    }
    assert!(scene.is_quarantined(2_040 + SETTLED, "dead"));
    assert!(!scene.is_quarantined(4_000, "first"));
}

/// Guards against broken streams that are not resumed at other servers because several servers end at one moment, all
/// with requests that share their first part.
#[test]
fn popular_part_goes_on() {
    let mut scene = Scene::new();
    scene.survive(1_900, &["first"]);
    for server in 0..6 {
        scene.end(server, 2_000 + u64::from(server), &[&["first"]]);
    }
    assert_eq!(scene.verdict(2_100, "first"), CrashVerdict::Clear);
    scene.end(7, 6_000, &[&["first"]]);
    assert_eq!(scene.verdict(6_100, "first"), CrashVerdict::Suspect);
}

/// Guards against a part that is refused for good although another process saw it survive: that news comes later
/// than the ends.
#[test]
fn late_survival_counts() {
    let mut scene = Scene::new();
    scene.end(1, 2_000, &[&["sound"]]);
    scene.end(2, 6_000, &[&["sound"]]);
    assert!(scene.is_quarantined(8_000, "sound"));
    scene.survive(5_000, &["sound"]);
    assert!(!scene.is_quarantined(9_000, "sound"));
}

/// Guards against requests that had been writing for a while and count as a cause of the end.
#[test]
fn writers_not_blamed() {
    let mut scene = Scene::new();
    for round in 0..4_u32 {
        let ended = 2_000 + u64::from(round) * 4_000;
        let run = EndedRun {
            start: Incarnation(1),
            attempt: AttemptHash::new("a"),
            arrived: at(ended - 900),
            sent: at(ended - 900),
            ended: at(ended),
            went_on: true,
        };
        let id = ServerId::new(format!("i-{round}")).unwrap();
        scene
            .table
            .record_end(at(ended), &causes(round, &["sound"]), &id, run);
    }
    assert_eq!(scene.verdict(30_000, "sound"), CrashVerdict::Clear);
}
