//! Patches: whole or refused whole, with every fault named.

use serde_json::{json, Value};

use snipemast_config::check::check;
use snipemast_config::{Config, Fault, KeyHash, Patch, Refusal};
use snipemast_core::prelude::*;

fn patch(base: u64, set: Value) -> Patch {
    Patch {
        id: "p".parse().expect("a name"),
        base: Version::new(base),
        reason: String::new(),
        set,
    }
}

fn base() -> Config {
    let set = json!({
        "operators": { "ana": { "key": KeyHash::from_key("ana"), "role": "write" } },
        "workspaces": { "cordillera": { "keys": [KeyHash::from_key("c")] } },
        "models": { "lector-1": { "version": "1", "adapters": ["es"] } },
        "services": { "lector": { "kind": "model", "model": "lector-1", "adapter": "es" } },
        "keepers": [["a", "b", "c"], ["b", "c", "d"]],
    });
    patch(0, set).apply(&Config::default()).expect("no faults")
}

fn faults(set: Value) -> Vec<String> {
    match patch(1, set).apply(&base()) {
        Err(Refusal::Faulty { faults }) => faults.iter().map(Fault::to_string).collect(),
        other => panic!("the patch should be refused: {other:?}"),
    }
}

#[test]
fn all_faults_listed() {
    // An operator repairs a patch fault by fault, and the next one shows only after each
    // attempt, because the parser stops at the first. All of them have to be told at once.
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

#[test]
fn doubled_keys() {
    // Two customers are given one key; whoever calls with it would be billed to, and read the
    // answers of, whichever comes first by name.
    let key = KeyHash::from_key("c");
    assert_eq!(
        faults(json!({ "workspaces": { "a": { "keys": [key] } } })),
        ["workspaces.a.keys.0: also stands at workspaces.cordillera.keys.0"]
    );
    let moved = json!({ "workspaces": { "a": { "keys": [key] }, "cordillera": null } });
    assert!(patch(1, moved).apply(&base()).is_ok());
}

#[test]
fn doubled_fields() {
    // A patch names one workspace twice; a lenient parser keeps the second half in silence.
    let text = br#"{"id":"p","base":1,"set":{"workspaces":{"a":{"weight":1},"a":{"weight":2}}}}"#;
    let faults = Patch::parse(text).expect_err("a doubled field");
    assert_eq!(faults[0].path, "set.workspaces.a");
}

#[test]
fn impossible_limits() {
    let zero = json!({ "workspaces": { "cordillera": {
        "weight": 0, "limits": { "concurrency": 0, "requests": "0/s" } } } });
    assert_eq!(faults(zero).len(), 3);
}

#[test]
fn last_writer_stays() {
    // The only operator who may write takes that role from itself, and nobody can ever patch
    // again.
    let demoted = json!({ "operators": { "ana": { "role": "read" } } });
    assert_eq!(
        faults(demoted),
        ["operators: impossible: no operator could write any more"]
    );
}

#[test]
fn keepers_move_singly() {
    // Two of a shard's three hosts are replaced at once; the third alone knows its claims and
    // is no majority, so a resend runs a second time.
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

#[test]
fn old_base_conflicts() {
    let refused = patch(0, json!({})).apply(&base());
    let current = Version::new(1);
    assert_eq!(refused, Err(Refusal::Conflict { current }));
}

#[test]
fn untouched_is_shared() {
    let old = base();
    let set = json!({ "workspaces": { "new": { "keys": [] } } });
    let new = patch(1, set).apply(&old).expect("no faults");
    assert!(new.services.is_same(&old.services));
    let name = "cordillera".parse().expect("a name");
    let shared = old
        .workspaces
        .get_shared(&name)
        .zip(new.workspaces.get_shared(&name));
    assert!(shared.is_some_and(|(a, b)| std::sync::Arc::ptr_eq(a, b)));
}

#[test]
fn null_removes() {
    let set = json!({ "services": null, "models": { "lector-1": null } });
    let new = patch(1, set).apply(&base()).expect("no faults");
    assert!(new.services.is_empty() && new.models.is_empty());
    assert!(check(&new).is_empty());
}

#[test]
fn going_back() {
    let old = base();
    let set = json!({ "services": { "lector": { "adapter": null }, "m": { "kind": "plain" } } });
    let new = patch(1, set).apply(&old).expect("no faults");
    let back = Patch::between(patch(0, json!({})).id, String::new(), &new, &old);
    let again = back.apply(&new).expect("no faults");
    assert_eq!(again.version, Version::new(3));
    assert_eq!(again.services, old.services);
}
