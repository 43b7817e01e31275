//! Deltas lead between any two versions, can be combined, and are refused over a gap.

use quickcheck::{Gen, QuickCheck, TestResult};
use serde_json::{json, Value};

use snipemast_config::check::check;
use snipemast_config::{Config, Delta, DeltaError, KeyHash, Patch, Refusal};
use snipemast_core::prelude::*;

/// Returns the patch that a byte selects. It sets or removes one entry.
fn patch(config: &Config, choice: u8) -> Patch {
    let (kind, n, unset) = (choice % 5, choice / 5 % 4, choice > 200);
    let value = |value: Value| if unset { Value::Null } else { value };
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
        id: "p".parse().expect("the name is valid"),
        base: config.version,
        reason: String::new(),
        set,
    }
}

/// Returns all versions that the selected patches lead to, without those that are refused.
fn versions(choices: &[u8]) -> Vec<Config> {
    let mut versions = vec![Config::default()];
    for choice in choices {
        let last = versions.last().expect("there is a first version");
        // Builds the index of keys, as a process that serves requests does.
        let _ = last.workspace_of(&KeyHash::from_key("0"));
        if let Ok(next) = patch(last, *choice).apply(last) {
            versions.push(next);
        }
    }
    versions
}

/// Tests a property with random arguments.
fn verify<A: quickcheck::Testable>(property: A) {
    let mut tests = QuickCheck::new()
        .rng(Gen::from_size_and_seed(60, 6))
        .tests(200);
    tests.quickcheck(property);
}

/// The check of a patch looks only at what the patch changes, and could miss a fault that the check
/// of the whole document finds.
#[test]
fn incremental_check() {
    fn property(choices: Vec<u8>) -> bool {
        versions(&choices).iter().all(|v| check(v).is_empty())
    }
    verify(property as fn(Vec<u8>) -> bool);
}

/// The check of a patch could refuse what the check of the whole document accepts.
#[test]
fn refusals_agree() {
    fn property(choices: Vec<u8>, last: u8) -> TestResult {
        let versions = versions(&choices);
        let config = versions.last().expect("there is a first version");
        let patch = patch(config, last);
        let Err(Refusal::Faulty { faults }) = patch.apply(config) else {
            return TestResult::discard();
        };
        let mut document = serde_json::to_value(config).expect("a configuration can be serialized");
        snipemast_config::merge::merge(&mut document, &patch.set);
        let whole: Config =
            serde_json::from_value(document).expect("the merged document is well-formed");
        TestResult::from_bool(check(&whole).len() >= faults.len())
    }
    verify(property as fn(Vec<u8>, u8) -> TestResult);
}

/// A process that missed several versions could end up with a mix of them, either by a direct delta
/// or by a combination of the deltas in between.
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
            steps.extend(&step).expect("there is no gap");
        }
        let direct = Delta::between(old, new).apply(old);
        TestResult::from_bool(direct.as_ref() == Ok(new) && steps.apply(old).as_ref() == Ok(new))
    }
    verify(property as fn(Vec<u8>, usize, usize) -> TestResult);
}

/// If the index of keys were not updated with the version, requests with a removed key would still
/// be accepted.
#[test]
fn key_index_updated() {
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
    verify(property as fn(Vec<u8>) -> bool);
}

/// A delta that starts from another version, or leads to no later one, would mix two versions.
#[test]
fn gap_refused() {
    let delta = Delta::new(Version::new(3), Version::new(4));
    let have = Version::new(0);
    let from = Version::new(3);
    assert_eq!(
        delta.apply(&Config::default()),
        Err(DeltaError::Gap { have, from })
    );
    let backward = Delta::new(Version::new(0), Version::new(0));
    assert_eq!(
        backward.apply(&Config::default()),
        Err(DeltaError::Backward)
    );
}
