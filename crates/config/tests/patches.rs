//! Patches are accepted or refused as a whole, with every fault named.

use quickcheck::quickcheck;
use serde_json::{json, Value};

use snipemast_config::check::check;
use snipemast_config::{Config, Fault, KeyHash, Patch, Refusal};
use snipemast_core::prelude::*;

/// Creates a patch to a version.
fn patch(base: u64, set: Value) -> Patch {
    Patch {
        id: "p".parse().expect("the name is valid"),
        base: Version::new(base),
        reason: String::new(),
        set,
    }
}

/// Returns version 1, on which most patches are based.
fn base() -> Config {
    let set = json!({
        "operators": { "ana": { "key": KeyHash::from_key("ana"), "role": "write" } },
        "workspaces": { "cordillera": { "keys": [KeyHash::from_key("c")] } },
        "models": { "lector-1": { "version": "1", "adapters": ["es"] } },
        "services": { "lector": { "kind": "model", "model": "lector-1", "adapter": "es" } },
        "keepers": [["a", "b", "c"], ["b", "c", "d"]],
    });
    patch(0, set)
        .apply(&Config::default())
        .expect("the patch has no faults")
}

/// Returns the faults of a patch to version 1.
fn faults(set: Value) -> Vec<String> {
    match patch(1, set).apply(&base()) {
        Err(Refusal::Faulty { faults }) => faults.iter().map(Fault::to_string).collect(),
        other => panic!("the patch should be refused: {other:?}"),
    }
}

/// A parser that stops at the first fault would make an operator fix a patch fault by fault, with
/// one attempt each. All faults are listed at once.
#[test]
fn all_faults_listed() {
    let found = faults(json!({
        "workspaces": {
            "bad name": {},
            "w": { "keys": ["zz", KeyHash::from_key("c")], "wight": 3, "limits": { "tokens": -1 } },
            "x": {},
        },
        "services": { "lector": { "adapter": "fr" }, "mesa": { "kind": "plane" } },
        "groups": { "g": { "model": "gone", "ranks": [] } },
        "modles": {},
        "version": 9,
    }));
    let paths: Vec<_> = found
        .iter()
        .map(|f| f.split(": ").next().unwrap_or(""))
        .collect();
    for path in [
        "workspaces.bad name",
        "workspaces.w.keys.0",
        "workspaces.w.wight",
        "workspaces.w.limits.tokens",
        "workspaces.x.keys",
        "services.lector.adapter",
        "services.mesa.kind",
        "modles",
        "version",
    ] {
        assert!(paths.contains(&path), "{path} is not in {found:#?}");
    }
}

/// A patch that removes a definition, or names one that doesn't exist, would leave a reference to
/// nothing.
#[test]
fn dangling_names() {
    assert_eq!(
        faults(json!({ "models": { "lector-1": null } })),
        ["services.lector.model: nothing defines \"lector-1\""]
    );
    assert_eq!(
        faults(json!({ "servers": { "s": { "models": ["gone"] } } })),
        ["servers.s.models.0: nothing defines \"gone\""]
    );
}

/// If two workspaces had the same key, its callers would be billed to, and read the answers of,
/// whichever workspace comes first by name.
#[test]
fn duplicate_keys() {
    let key = KeyHash::from_key("c");
    assert_eq!(
        faults(json!({ "workspaces": { "a": { "keys": [key] } } })),
        ["workspaces.a.keys.0: also stands at workspaces.cordillera.keys.0"]
    );
    let moved = json!({ "workspaces": { "a": { "keys": [key] }, "cordillera": null } });
    assert!(patch(1, moved).apply(&base()).is_ok());
}

/// A patch names one workspace twice. A lenient parser would silently keep only the second.
#[test]
fn duplicate_fields() {
    let text = br#"{"id":"p","base":1,"set":{"workspaces":{"a":{"weight":1},"a":{"weight":2}}}}"#;
    let faults = Patch::parse(text).expect_err("a duplicate field is a fault");
    assert_eq!(faults[0].path, "set.workspaces.a");
}

/// A workspace with a weight or limit of 0 could never send a request.
#[test]
fn impossible_limits() {
    let zero = json!({ "workspaces": { "cordillera": {
        "weight": 0, "limits": { "concurrency": 0, "requests": "0/s" } } } });
    assert_eq!(faults(zero).len(), 3);
}

/// If the only operator with write access lost it, nobody could ever patch again.
#[test]
fn last_writer_kept() {
    let demoted = json!({ "operators": { "ana": { "role": "read" } } });
    assert_eq!(
        faults(demoted),
        ["operators: impossible: no operator could write any more"]
    );
}

/// If two of a shard's three hosts were replaced at once, only the third would know its claims. It
/// is no majority, so that a resent request would run a second time.
#[test]
fn single_keeper_moves() {
    assert_eq!(
        faults(json!({ "keepers": [["a", "x", "y"], ["b", "c", "d"]] })),
        ["keepers.0: impossible: a shard moves one host at a time"]
    );
    assert_eq!(
        faults(json!({ "keepers": [["a", "b", "c"]] })),
        ["keepers: impossible: the number of shards stays as it was first set"]
    );
    let one = json!({ "keepers": [["a", "x", "c"], ["b", "c", "x"]] });
    assert!(patch(1, one).apply(&base()).is_ok());
}

quickcheck! {
    /// A patch that replaces two keepers of a shard at once would leave a majority that knows nothing of the earlier claims,
    /// and a request that must not run twice could. It is refused, whichever two they are; one alone may be replaced.
    fn two_keepers_stay(first: u8, second: u8) -> bool {
        let (a, b) = (usize::from(first % 3), usize::from(second % 3));
        let mut shard = ["a", "b", "c"];
        (shard[a], shard[b]) = ("x", "y");
        let set = json!({ "keepers": [shard, ["b", "c", "d"]] });
        patch(1, set).apply(&base()).is_ok() == (a == b)
    }
}

/// A patch to an older version would overwrite a change that its author has not seen.
#[test]
fn old_base_conflicts() {
    let refused = patch(0, json!({})).apply(&base());
    let current = Version::new(1);
    assert_eq!(refused, Err(Refusal::Conflict { current }));
}

/// A new version that copied every entry would cost as much as the whole configuration.
#[test]
fn unchanged_entries_shared() {
    let old = base();
    let set = json!({ "workspaces": { "new": { "keys": [] } } });
    let new = patch(1, set).apply(&old).expect("the patch has no faults");
    assert!(new.services.is_same(&old.services));
    let name = "cordillera".parse().expect("the name is valid");
    let shared = old
        .workspaces
        .get_shared(&name)
        .zip(new.workspaces.get_shared(&name));
    assert!(shared.is_some_and(|(a, b)| std::sync::Arc::ptr_eq(a, b)));
}

/// `null` removes a whole section as well as a single entry.
#[test]
fn null_removes() {
    let set = json!({ "services": null, "models": { "lector-1": null } });
    let new = patch(1, set)
        .apply(&base())
        .expect("the patch has no faults");
    assert!(new.services.is_empty() && new.models.is_empty());
    assert!(check(&new).is_empty());
}

/// An operator reverts a patch: the earlier content comes back under a new version.
#[test]
fn patch_reverted() {
    let old = base();
    let set = json!({ "services": { "lector": { "adapter": null }, "m": { "kind": "plain" } } });
    let new = patch(1, set).apply(&old).expect("the patch has no faults");
    let revert = Patch::between(patch(0, json!({})).id, String::new(), &new, &old);
    let restored = revert.apply(&new).expect("the patch has no faults");
    assert_eq!(restored.version, Version::new(3));
    assert_eq!(restored.services, old.services);
}
