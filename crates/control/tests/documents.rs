//! The state machine of whole configurations and evacuations.

use quickcheck::quickcheck;

use snipemast_control::documents::{
    Amendment, Command, Documents, Submission, Verdict, MAX_EVACUATED_ZONES,
};
use snipemast_control::log_end::LogEnd;
use snipemast_control::StateMachine;
use snipemast_core::departures::{Departure, MAX_DEPARTURES};
use snipemast_core::prelude::*;
use snipemast_diff::Diff;

fn submit(machine: &mut Documents, version: u64, text: &str) -> Verdict {
    let submission = Submission {
        version: Version(version),
        text: text.as_bytes().to_vec(),
    };
    let command = rmp_serde::to_vec_named(&submission).unwrap();
    let verdict = machine.apply(Index(1), &command);
    rmp_serde::from_slice(&verdict).unwrap()
}

fn submission(version: u64, text: &str) -> Submission {
    Submission {
        version: Version(version),
        text: text.as_bytes().to_vec(),
    }
}

fn apply(machine: &mut Documents, command: &Command) -> Verdict {
    let verdict = machine.apply(Index(1), &rmp_serde::to_vec_named(command).unwrap());
    rmp_serde::from_slice(&verdict).unwrap()
}

/// Returns a change of one text into another.
fn amendment(base: u64, old: &str, to: u64, new: &str) -> Command {
    Command::Amend(Amendment {
        base: Version(base),
        to: Version(to),
        diff: Diff::between(old.as_bytes(), new.as_bytes()),
    })
}

fn evacuate(machine: &mut Documents, zone: &str, evacuated: bool) -> Verdict {
    let command = Command::Evacuate(EvacuationOrder {
        zone: ZoneId::new(zone).unwrap(),
        evacuated,
    });
    let verdict = machine.apply(Index(1), &rmp_serde::to_vec_named(&command).unwrap());
    rmp_serde::from_slice(&verdict).unwrap()
}

/// An acknowledgement is lost and the operator resends the same configuration, also after a later
/// one was accepted. It must be acknowledged again, and nothing may change.
#[test]
fn resend_is_held() {
    let mut machine = Documents::new();
    assert_eq!(submit(&mut machine, 3, "a"), Verdict::Accepted);
    assert_eq!(submit(&mut machine, 3, "a"), Verdict::Held);
    assert_eq!(submit(&mut machine, 8, "b"), Verdict::Accepted);
    assert_eq!(submit(&mut machine, 3, "a"), Verdict::Held);
    assert_eq!((machine.version(), machine.text()), (Version(8), &b"b"[..]));
}

/// Two operators send different content under one version. The second must be refused and never be
/// in force.
#[test]
fn same_number_conflicts() {
    let mut machine = Documents::new();
    submit(&mut machine, 3, "a");
    assert_eq!(submit(&mut machine, 3, "b"), Verdict::Conflict);
    assert_eq!(machine.text(), b"a");
}

/// An operator resends an order whose acknowledgement was lost. It must be acknowledged again, and only real
/// changes may be numbered, since each is news to all gateways.
#[test]
fn evacuation_resent() {
    let mut machine = Documents::new();
    assert_eq!(evacuate(&mut machine, "a", true), Verdict::Accepted);
    assert_eq!(evacuate(&mut machine, "a", true), Verdict::Held);
    assert_eq!(evacuate(&mut machine, "b", false), Verdict::Held);
    assert_eq!(machine.evacuations().revision, 1);
    assert_eq!(evacuate(&mut machine, "a", false), Verdict::Accepted);
    assert_eq!(machine.evacuations().revision, 2);
    assert!(machine.evacuations().zones.is_empty());
}

/// Orders for ever more zones must not let the state grow without bound; zones in it can still be taken back.
#[test]
fn evacuations_bounded() {
    let mut machine = Documents::new();
    for number in 0..MAX_EVACUATED_ZONES {
        let verdict = evacuate(&mut machine, &format!("z-{number}"), true);
        assert_eq!(verdict, Verdict::Accepted);
    }
    assert_eq!(evacuate(&mut machine, "more", true), Verdict::Full);
    assert_eq!(evacuate(&mut machine, "z-1", true), Verdict::Held);
    assert_eq!(evacuate(&mut machine, "z-1", false), Verdict::Accepted);
    assert_eq!(evacuate(&mut machine, "more", true), Verdict::Accepted);
}

/// A log and a snapshot of a release without evacuations must be readable, or the cluster does not start.
#[test]
fn earlier_release_read() {
    let mut machine = Documents::new();
    submit(&mut machine, 3, "a");
    evacuate(&mut machine, "a", true);
    let earlier = Submission {
        version: Version(5),
        text: b"old".to_vec(),
    };
    let snapshot = rmp_serde::to_vec_named(&earlier).unwrap();
    machine.restore(&snapshot).unwrap();
    assert_eq!(machine.version(), Version(5));
    assert_eq!(machine.evacuations(), &Evacuations::default());
}

/// When a lost majority is replaced, gateways may have evacuations in force that are gone. The next ones must count
/// as newer.
#[test]
fn lost_evacuations_outnumbered() {
    let mut machine = Documents::new();
    evacuate(&mut machine, "a", true);
    let mut gateway = machine.evacuations().clone();
    gateway.apply(&EvacuationOrder {
        zone: ZoneId::new("b").unwrap(),
        evacuated: true,
    });
    machine.majority_replaced(Index(9));
    assert_eq!(gateway.update(machine.evacuations().clone()).len(), 1);
    assert_eq!(&gateway, machine.evacuations());
}

/// Guards against a change that is applied to another configuration than the one that it was written against.
#[test]
fn change_of_other_base() {
    let mut machine = Documents::new();
    submit(&mut machine, 3, "a");
    let change = amendment(3, "a", 5, "ab");
    assert_eq!(apply(&mut machine, &change), Verdict::Accepted);
    assert_eq!(
        (machine.version(), machine.text()),
        (Version(5), &b"ab"[..])
    );
    assert_eq!(
        apply(&mut machine, &amendment(3, "a", 6, "ac")),
        Verdict::OtherBase
    );
    assert_eq!(
        apply(&mut machine, &amendment(5, "a", 6, "ac")),
        Verdict::OtherBase
    );
    assert_eq!(machine.text(), b"ab");
}

/// Guards against verdicts on changes that differ from those on whole configurations.
#[test]
fn change_judged_alike() {
    let mut machine = Documents::new();
    submit(&mut machine, 3, "a");
    assert_eq!(
        apply(&mut machine, &amendment(3, "a", 3, "a")),
        Verdict::Held
    );
    assert_eq!(
        apply(&mut machine, &amendment(3, "a", 3, "b")),
        Verdict::Conflict
    );
    assert_eq!(
        apply(&mut machine, &amendment(3, "a", 2, "b")),
        Verdict::Held
    );
    assert_eq!((machine.version(), machine.text()), (Version(3), &b"a"[..]));
}

/// Guards against changes submitted at once that are written against the same configuration, of which all but the first
/// would be refused.
#[test]
fn changes_at_once() {
    let mut machine = Documents::new();
    submit(&mut machine, 1, "text 1");
    let mut end = LogEnd::default();
    let mut commands = Vec::new();
    for (number, version) in [3, 2, 6, 6].into_iter().enumerate() {
        let draft = end.draft(
            Term(1),
            Some(&machine),
            submission(version, &format!("text {version}")),
        );
        end.record(Term(1), Index(number as u64 + 2), draft.end);
        commands.push(draft.command);
    }
    assert!(commands.iter().all(|c| matches!(c, Command::Amend(_))));
    let verdicts: Vec<Verdict> = commands.iter().map(|c| apply(&mut machine, c)).collect();
    let expected = [
        Verdict::Accepted,
        Verdict::Held,
        Verdict::Accepted,
        Verdict::Held,
    ];
    assert_eq!(verdicts, expected);
    assert_eq!(machine.text(), b"text 6");
}

/// Guards against a new leader that writes changes against what its state machine holds while entries of earlier terms are
/// not applied, or against what an earlier term's log ended with.
#[test]
fn unknown_end_sent_whole() {
    let mut machine = Documents::new();
    submit(&mut machine, 1, "text 1");
    let mut end = LogEnd::default();
    let draft = end.draft(Term(1), None, submission(2, "text 2"));
    assert!(matches!(draft.command, Command::Configure(_)));
    let draft = end.draft(Term(1), Some(&machine), submission(2, "text 2"));
    end.record(Term(1), Index(2), draft.end);
    let draft = end.draft(Term(2), Some(&machine), submission(3, "text 3"));
    assert!(matches!(draft.command, Command::Amend(a) if a.base == Version(1)));
    end.forget_applied(Term(1), Index(2));
    assert_eq!(end.text(Term(1), Version(2)), None);
}

/// Guards against departures that a voter forgets with its log, and against state that grows with each server that leaves.
#[test]
fn departures_kept() {
    let mut machine = Documents::new();
    let depart = |number: usize| Departure {
        server: ServerId::new(format!("i-{number}")).unwrap(),
        start: Some(Incarnation(1)),
    };
    for first in (0..2 * MAX_DEPARTURES).step_by(64) {
        let departures = (first..first + 64).map(depart).collect();
        assert_eq!(
            apply(&mut machine, &Command::Depart { departures }),
            Verdict::Accepted
        );
    }
    let mut restored = Documents::new();
    restored.restore(&machine.snapshot()).unwrap();
    assert_eq!(restored, machine);
    let all: Vec<Departure> = restored.departures().after(0).cloned().collect();
    assert_eq!(all.len(), MAX_DEPARTURES);
    assert_eq!(all.last(), Some(&depart(2 * MAX_DEPARTURES - 1)));
    let count = restored.departures().count();
    assert_eq!(restored.departures().after(count - 1).count(), 1);
    assert_eq!(restored.departures().after(count).count(), 0);
}

/// Guards against a controller that sends whole configurations to processes that are one or a few changes behind, and
/// against one that keeps changes that take more than the configuration.
#[test]
fn changes_kept() {
    let mut machine = Documents::new();
    let text = |version: u64| format!("{}, version {version}", "much of a text ".repeat(10));
    for version in 1..=400 {
        submit(&mut machine, version, &text(version));
    }
    let changes = machine.history().since(Version(350)).unwrap();
    let start = text(350).into_bytes();
    let end = changes
        .iter()
        .fold(start, |text, change| change.apply(&text).unwrap());
    assert_eq!(end, machine.text());
    for version in 401..=600 {
        let noise: String = (0..200)
            .map(|n| format!("{:x}", snipemast_core::hash::mix(version * 1_000 + n)))
            .collect();
        submit(&mut machine, version, &noise);
    }
    assert!(machine.history().since(Version(350)).is_none());
    assert!(machine.history().since(Version(599)).is_some());
    let mut restored = Documents::new();
    restored.restore(&machine.snapshot()).unwrap();
    assert_eq!(restored.history().since(Version(599)), None);
    assert_eq!(restored, machine);
}

quickcheck! {
    /// Whatever news reaches a gateway, in any order and any number of times, the newest is in force, and nothing older
    /// after it.
    fn newest_evacuations_hold(orders: Vec<(u8, bool)>, delivered: Vec<usize>) -> bool {
        let mut machine = Documents::new();
        let mut states = vec![machine.evacuations().clone()];
        for (zone, evacuated) in orders {
            evacuate(&mut machine, &format!("z-{}", zone % 4), evacuated);
            states.push(machine.evacuations().clone());
        }
        let mut gateway = Evacuations::default();
        let mut newest = 0;
        let rises = delivered.into_iter().all(|index| {
            let news = &states[index % states.len()];
            newest = newest.max(news.revision);
            gateway.update(news.clone());
            gateway.revision == newest
        });
        gateway.update(machine.evacuations().clone());
        rises && &gateway == machine.evacuations()
    }

    /// In any order, the highest version is in force, and none is in force after a higher one.
    fn highest_wins(versions: Vec<u8>) -> bool {
        let mut machine = Documents::new();
        let mut before = Version(0);
        let rises = versions.iter().all(|v| {
            submit(&mut machine, u64::from(*v), "x");
            let rises = machine.version() >= before;
            before = machine.version();
            rises
        });
        let highest = versions.iter().copied().max().unwrap_or(0);
        rises && machine.version() == Version(u64::from(highest))
    }

    /// A snapshot restores the same configuration and evacuations.
    fn snapshot_restores(version: u32, text: String, zones: Vec<u8>) -> bool {
        let mut machine = Documents::new();
        submit(&mut machine, u64::from(version), &text);
        for zone in zones {
            evacuate(&mut machine, &format!("z-{zone}"), zone % 3 > 0);
        }
        let mut other = Documents::new();
        other.restore(&machine.snapshot()).is_ok() && other == machine
    }
}
