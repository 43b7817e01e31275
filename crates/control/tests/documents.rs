//! The state machine of whole configurations: the highest version is in force.

use quickcheck::quickcheck;

use snipemast_control::documents::{Documents, Submission, Verdict};
use snipemast_control::StateMachine;
use snipemast_core::prelude::*;

fn submit(machine: &mut Documents, version: u64, text: &str) -> Verdict {
    let submission = Submission {
        version: Version(version),
        text: text.as_bytes().to_vec(),
    };
    let command = rmp_serde::to_vec_named(&submission).unwrap();
    let verdict = machine.apply(Index(1), &command);
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

quickcheck! {
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

    /// A snapshot restores the same configuration.
    fn snapshot_restores(version: u32, text: String) -> bool {
        let mut machine = Documents::new();
        submit(&mut machine, u64::from(version), &text);
        let mut other = Documents::new();
        other.restore(&machine.snapshot()).is_ok() && other == machine
    }
}
