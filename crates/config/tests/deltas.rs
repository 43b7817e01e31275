//! Deltas: between any two versions, composed, and never over a gap.

use quickcheck::{Gen, QuickCheck, TestResult};
use serde_json::{json, Value};

use snipemast_config::check::check;
use snipemast_config::{Config, Delta, DeltaError, KeyHash, Patch, Refusal};
use snipemast_core::prelude::*;

/// A patch that a byte string stands for: each byte sets or removes one small thing.
fn patch(config: &Config, choice: u8) -> Patch {
    let (kind, n, off) = (choice % 5, choice / 5 % 4, choice > 200);
    let value = |value: Value| if off { Value::Null } else { value };
    let key = KeyHash::from_key(&(choice % 23).to_string());
    let set = match kind {
        0 => json!({ "workspaces": { format!("w{n}"): value(json!({ "keys": [key] })) } }),
        1 => json!({ "models": { format!("m{n}"): value(json!({ "version": n.to_string() })) } }),
        2 => {
            let service = json!({ "kind": "model", "model": format!("m{n}") });
            json!({ "services": { format!("s{n}"): value(service) } })
        }
        3 => json!({ "servers": { format!("h{n}"): value(json!({ "fencing": choice > 99 })) } }),
        _ => {
            let group = json!({ "model": format!("m{n}"), "ranks": [format!("r{}", choice % 6)] });
            json!({ "groups": { format!("g{n}"): value(group) } })
        }
    };
    Patch {
        id: "p".parse().expect("a name"),
        base: config.version,
        reason: String::new(),
        set,
    }
}

/// Every version that the choices lead to; refused ones lead nowhere.
fn versions(choices: &[u8]) -> Vec<Config> {
    let mut versions = vec![Config::default()];
    for choice in choices {
        let last = versions.last().expect("never empty");
        // The index is filled as in a process that serves requests.
        let _ = last.workspace_of(&KeyHash::from_key("0"));
        if let Ok(next) = patch(last, *choice).apply(last) {
            versions.push(next);
        }
    }
    versions
}

fn prove<A: quickcheck::Testable>(property: A) {
    let mut tests = QuickCheck::new()
        .rng(Gen::from_size_and_seed(60, 6))
        .tests(200);
    tests.quickcheck(property);
}

#[test]
fn incremental_check() {
    // A check that looks only at what a patch touches lets a fault through that the check of
    // the whole document would find.
    fn property(choices: Vec<u8>) -> bool {
        versions(&choices).iter().all(|v| check(v).is_empty())
    }
    prove(property as fn(Vec<u8>) -> bool);
}

#[test]
fn refusals_agree() {
    fn property(choices: Vec<u8>, last: u8) -> TestResult {
        let versions = versions(&choices);
        let config = versions.last().expect("never empty");
        let patch = patch(config, last);
        let Err(Refusal::Faulty { faults }) = patch.apply(config) else {
            return TestResult::discard();
        };
        let mut document = serde_json::to_value(config).expect("plain data");
        snipemast_config::merge::merge(&mut document, &patch.set);
        let whole: Config = serde_json::from_value(document).expect("well formed");
        TestResult::from_bool(check(&whole).len() >= faults.len())
    }
    prove(property as fn(Vec<u8>, u8) -> TestResult);
}

#[test]
fn any_two_versions() {
    fn property(choices: Vec<u8>, a: usize, b: usize) -> TestResult {
        let versions = versions(&choices);
        let (a, b) = (a % versions.len(), b % versions.len());
        if a >= b {
            return TestResult::discard();
        }
        let (old, new) = (&versions[a], &versions[b]);
        let mut steps = Delta::between(old, &versions[a + 1]);
        for n in a + 1..b {
            let step = Delta::between(&versions[n], &versions[n + 1]);
            steps.extend(&step).expect("no gap");
        }
        let direct = Delta::between(old, new).apply(old);
        TestResult::from_bool(direct.as_ref() == Ok(new) && steps.apply(old).as_ref() == Ok(new))
    }
    prove(property as fn(Vec<u8>, usize, usize) -> TestResult);
}

#[test]
fn owners_follow() {
    // A workspace's key is taken away, and requests with it are still let in, because the
    // index of keys did not follow the version.
    fn property(choices: Vec<u8>) -> bool {
        versions(&choices).iter().all(|config| {
            (0..23).all(|n| {
                let key = KeyHash::from_key(&n.to_string());
                let scan = config
                    .workspaces
                    .iter()
                    .find(|(_, w)| w.keys.contains(&key));
                config.workspace_of(&key) == scan.map(|(id, _)| id)
            })
        })
    }
    prove(property as fn(Vec<u8>) -> bool);
}

#[test]
fn gap_refused() {
    let delta = Delta::new(Version::new(3), Version::new(4));
    let have = Version::new(0);
    let from = Version::new(3);
    assert_eq!(
        delta.apply(&Config::default()),
        Err(DeltaError::Gap { have, from })
    );
    let back = Delta::new(Version::new(0), Version::new(0));
    assert_eq!(back.apply(&Config::default()), Err(DeltaError::Backward));
}
