//! The state machine: first verdicts and history.

use serde_json::{json, Value};

use snipemast_config::{Patch, Refusal, Verdict, WallTime};
use snipemast_control::machine::{Command, ConfigMachine, Reply, Submission};
use snipemast_control::StateMachine;
use snipemast_core::prelude::*;

fn id<T: std::str::FromStr<Err = snipemast_core::ids::IdError>>(text: &str) -> T {
    text.parse().expect("a name")
}

fn submission(name: &str, author: &str, base: u64, set: Value) -> Submission {
    let patch = Patch {
        id: id(name),
        base: Version::new(base),
        reason: format!("for {name}"),
        set,
    };
    Submission::new(patch)
        .with_author(id(author))
        .with_time(WallTime::from_millis(1_800_000_000_000))
}

fn service(name: &str) -> Value {
    json!({ "services": { name: { "kind": "plain" } } })
}

fn run(machine: &mut ConfigMachine, command: &Command) -> Reply {
    Reply::from_bytes(&machine.apply(Index::new(1), &command.to_bytes()))
}

fn submit(machine: &mut ConfigMachine, submission: &Submission) -> Verdict {
    match run(machine, &Command::Submit(submission.clone())) {
        Reply::Verdict(verdict) => verdict,
        other => panic!("not a verdict: {other:?}"),
    }
}

fn filled(count: u64) -> ConfigMachine {
    let mut machine = ConfigMachine::default();
    for n in 0..count {
        let patch = submission(&format!("p{n}"), "ana", n, service(&format!("s{}", n % 7)));
        let set = json!({ "services": { format!("s{}", n % 7): {
            "kind": "plain", "idempotent": [format!("/{n}")] } } });
        let mut patch = patch;
        patch.patch.set = set;
        let version = Version::new(n + 1);
        assert_eq!(submit(&mut machine, &patch), Verdict::Accepted { version });
    }
    machine
}

#[test]
fn resend_same_verdict() {
    // An operator's answer is lost and the patch is sent again. Between the two, another
    // operator's patch was accepted, so that a second evaluation would be a conflict.
    let mut machine = ConfigMachine::default();
    let first = submission("p1", "ana", 0, service("a"));
    let verdict = submit(&mut machine, &first);
    submit(&mut machine, &submission("p2", "bea", 1, service("b")));
    let mut again = first.clone();
    again.time = WallTime::from_millis(1_800_000_009_000);
    assert_eq!(submit(&mut machine, &again), verdict);
    assert_eq!(machine.config().version, Version::new(2));
}

#[test]
fn resend_after_restore() {
    // The leader that accepted a patch dies; its follower restored a snapshot and knows the
    // patch from there only.
    let mut machine = ConfigMachine::default();
    let first = submission("p1", "ana", 0, service("a"));
    let verdict = submit(&mut machine, &first);
    let refused = submission("p2", "bea", 0, service("b"));
    let conflict = submit(&mut machine, &refused);
    let mut other = ConfigMachine::default();
    other.restore(&machine.snapshot()).expect("a snapshot");
    assert_eq!(submit(&mut other, &first), verdict);
    assert_eq!(submit(&mut other, &refused), conflict);
    assert_eq!(other.snapshot(), machine.snapshot());
}

#[test]
fn shared_id_refused() {
    // Two operators name their patches "friday". The second is told "accepted", and its change
    // is nowhere.
    let mut machine = ConfigMachine::default();
    submit(&mut machine, &submission("friday", "ana", 0, service("a")));
    let other = submission("friday", "bea", 1, service("b"));
    let refusal = Refusal::Reused;
    assert_eq!(submit(&mut machine, &other), Verdict::Refused { refusal });
}

#[test]
fn race_one_wins() {
    // Two operators patch the same version at once; both are accepted, and the first one's
    // change is silently overwritten.
    let mut machine = ConfigMachine::default();
    submit(&mut machine, &submission("p1", "ana", 0, service("a")));
    let current = Version::new(1);
    let refusal = Refusal::Conflict { current };
    let late = submission("p2", "bea", 0, service("a"));
    assert_eq!(submit(&mut machine, &late), Verdict::Refused { refusal });
}

#[test]
fn every_version_shown() {
    let machine = filled(300);
    let history = machine.history();
    for n in 1..=300 {
        let config = history.config_at(Version::new(n)).expect("kept");
        assert_eq!(config.version, Version::new(n));
        let name = id(&format!("s{}", (n - 1) % 7));
        let text = serde_json::to_value(config.services.get(&name)).expect("plain data");
        assert_eq!(text["idempotent"][0], format!("/{}", n - 1));
    }
    let delta = history
        .diff(Version::new(10), Version::new(12))
        .expect("kept");
    assert_eq!(delta.services.set.len(), 2);
    let delta = history.since(Version::new(0)).expect("kept");
    let base = history.config_at(Version::new(0)).expect("kept");
    assert_eq!(delta.apply(&base).as_ref(), Ok(machine.config().as_ref()));
}

#[test]
fn history_bounded() {
    let machine = filled(1_500);
    let kept = machine.history().entries().count();
    assert!((1_024..=1_088).contains(&kept), "{kept} entries");
    assert!(machine.history().config_at(Version::new(1)).is_err());
    assert!(machine.history().config_at(Version::new(1_000)).is_ok());
    assert!(machine.history().since(Version::new(1)).is_none());
    let mut other = ConfigMachine::default();
    other.restore(&machine.snapshot()).expect("a snapshot");
    assert_eq!(other.config(), machine.config());
    assert!(other.history().config_at(Version::new(1_000)).is_ok());
}

#[test]
fn author_and_reason() {
    let machine = filled(1);
    let entry = machine.history().entries().next().expect("an entry");
    assert_eq!(entry.author, Some(id("ana")));
    assert_eq!(entry.reason, "for p0");
    assert_eq!(entry.time.to_string(), "2027-01-15T08:00:00Z");
}

#[test]
fn replaced_majority() {
    // A majority is lost with its last accepted versions, which some entry has in force. The
    // next patch must not give their numbers out again.
    let mut machine = filled(3);
    machine.majority_replaced(Index::new(4));
    assert!(machine.config().version > Version::new(900));
    let base = machine.config().version.get();
    let next = submission("after", "ana", base, service("a"));
    let version = Version::new(base + 1);
    assert_eq!(submit(&mut machine, &next), Verdict::Accepted { version });
}

#[test]
fn unknown_command() {
    let mut machine = ConfigMachine::default();
    let reply = machine.apply(Index::new(1), b"\xc1");
    assert_eq!(Reply::from_bytes(&reply), Reply::Unknown);
    assert_eq!(machine.config().version, Version::new(0));
}
