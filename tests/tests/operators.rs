//! Tests of the operator interface over HTTP: races, resends, roles, and hosts without the control role.

use serde_json::{json, Value};
use trillium_client::{Client, KnownHeaderName};
use trillium_smol::ClientConfig;

use snipemast_config::KeyHash;
use snipemast_core::prelude::*;
use snipemast_entry::Entry;
use snipemast_settings::EntrySettings;
use snipemast_tests::{answer, entry_settings, journal, pause};

/// Starts a control host whose first key is `first`, and an entry that follows it, with three operators.
async fn start_pair() -> (Entry, Entry) {
    let mut settings = entry_settings("control-0");
    let control = settings.control.as_mut().expect("a control role");
    control.operator = Some(KeyHash::from_key("first"));
    let control = start(settings).await;
    let settings = EntrySettings {
        seeds: vec![control.own()],
        control: None,
        ..entry_settings("edge-0")
    };
    let edge = start(settings).await;
    let set = json!({ "operators": {
        "ana": { "key": KeyHash::from_key("ana"), "role": "write" },
        "bea": { "key": KeyHash::from_key("bea"), "role": "write" },
        "carl": { "key": KeyHash::from_key("carl"), "role": "read" },
    } });
    let body = patch("operators", 0, set);
    let (status, verdict) = send(&control, "first", "POST", "/patches", Some(body)).await;
    assert_eq!((status, &verdict["version"]), (200, &json!(1)));
    while edge.shared().config().version < Version::new(1) {
        pause(5).await;
    }
    (control, edge)
}

async fn start(settings: EntrySettings) -> Entry {
    let journal = journal(&settings.host);
    let entry = Entry::start(settings, Incarnation::new(1), journal).await;
    entry.expect("an entry starts on port 0")
}

fn patch(id: &str, base: u64, set: Value) -> Value {
    json!({ "id": id, "base": base, "reason": "a test", "set": set })
}

/// Returns a change that adds a plain service.
fn add_service(name: &str) -> Value {
    json!({ "services": { name: { "kind": "plain" } } })
}

async fn send(
    entry: &Entry,
    key: &str,
    method: &str,
    path: &str,
    body: Option<Value>,
) -> (u16, Value) {
    let address = entry.operators().expect("an operators' address");
    let method: trillium_client::Method = method.parse().expect("a method");
    let conn = Client::new(ClientConfig::default())
        .build_conn(method, format!("http://{address}{path}").as_str())
        .with_request_header(KnownHeaderName::Authorization, format!("Bearer {key}"));
    let conn = match body {
        Some(body) => conn.with_body(body.to_string()),
        None => conn,
    };
    let answer = answer(conn).await;
    (answer.status, answer.json())
}

/// Guards against two operators who both win a race on one version, one of them at a host without the control
/// role, and against a resend that gets another verdict or applies the change twice.
#[test]
fn race_and_resend() {
    smol::block_on(async {
        let (control, edge) = start_pair().await;
        let (a, b) = (
            patch("a", 1, add_service("a")),
            patch("b", 1, add_service("b")),
        );
        let first = send(&control, "ana", "POST", "/patches", Some(a.clone()));
        let second = send(&edge, "bea", "POST", "/patches", Some(b.clone()));
        let (first, second) = futures_lite::future::zip(first, second).await;
        let (won, lost, body, key) = if first.0 == 200 {
            (first, second, a, "ana")
        } else {
            (second, first, b, "bea")
        };
        assert_eq!(won, (200, json!({ "outcome": "accepted", "version": 2 })));
        assert_eq!(lost, (409, json!({ "outcome": "conflict", "current": 2 })));
        for host in [&edge, &control] {
            let again = send(host, key, "POST", "/patches", Some(body.clone())).await;
            assert_eq!(again, won);
        }
        assert_eq!(control.shared().config().version, Version::new(2));
    });
}

/// Guards against accepted patches that share a version or have a wrong author in the history, when two
/// operators patch without pause and resend every patch once.
#[test]
fn stream_of_races() {
    smol::block_on(async {
        let (control, edge) = start_pair().await;
        let submit_all = |host, key: &'static str| {
            let control = &control;
            async move {
                let mut accepted = Vec::new();
                for n in 0..30 {
                    let base = control.shared().config().version.get();
                    let body = patch(
                        &format!("{key}-{n}"),
                        base,
                        add_service(&format!("{key}{n}")),
                    );
                    let first = send(host, key, "POST", "/patches", Some(body.clone())).await;
                    let again = send(host, key, "POST", "/patches", Some(body)).await;
                    assert_eq!(first, again);
                    accepted.extend(first.1["version"].as_u64().map(|v| (v, key, n)));
                }
                accepted
            }
        };
        let (a, b) =
            futures_lite::future::zip(submit_all(&control, "ana"), submit_all(&edge, "bea")).await;
        let mut accepted: Vec<_> = a.into_iter().chain(b).collect();
        accepted.sort_unstable();
        let (_, history) = send(&control, "carl", "GET", "/history?last=1000", None).await;
        let mut lines = history.as_array().cloned().expect("lines");
        lines.reverse();
        assert_eq!(lines.len(), accepted.len() + 1);
        for ((version, author, n), line) in accepted.iter().zip(&lines[1..]) {
            assert_eq!(line["version"], *version);
            assert_eq!(line["author"], *author);
            assert_eq!(line["touched"], json!([format!("services.{author}{n}")]));
        }
    });
}

/// Guards against patches with a key that may only read, that is unknown, or that only serves the first setup.
#[test]
fn roles_and_keys() {
    smol::block_on(async {
        let (control, edge) = start_pair().await;
        let body = Some(patch("x", 1, add_service("x")));
        for key in ["carl", "eve", "first"] {
            let (status, _) = send(&edge, key, "POST", "/patches", body.clone()).await;
            assert_eq!(status, 401, "{key} must not write");
        }
        assert_eq!(send(&control, "carl", "GET", "/config", None).await.0, 200);
        assert_eq!(control.shared().config().version, Version::new(1));
    });
}

/// Guards against old versions, differences, restores or dry runs that show a wrong configuration, and against
/// a dry run that changes it.
#[test]
fn versions_shown() {
    smol::block_on(async {
        let (control, _edge) = start_pair().await;
        let post = |path: &'static str, body| send(&control, "ana", "POST", path, Some(body));
        let get = |path: &'static str| send(&control, "carl", "GET", path, None);
        post("/patches", patch("a", 1, add_service("a"))).await;
        post(
            "/patches",
            patch("b", 2, json!({ "services": { "a": null } })),
        )
        .await;
        let (_, old) = get("/config?at=2").await;
        assert_eq!(old["services"]["a"]["kind"], "plain");
        let (_, diff) = get("/config/diff?from=2&to=3").await;
        assert_eq!(diff["services"]["removed"], json!(["a"]));
        let (_, back) = get("/config/back?to=2").await;
        let (_, dry) = post("/patches?dry-run=true", back.clone()).await;
        assert_eq!(dry["verdict"]["version"], 4);
        assert_eq!(control.shared().config().version, Version::new(3));
        let (_, verdict) = post("/patches", back).await;
        assert_eq!(verdict["version"], 4);
        let (_, now) = get("/config").await;
        assert_eq!(now["services"], old["services"]);
        assert_eq!(get("/config?at=99").await.0, 404);
    });
}

/// Guards against a refused patch whose faults are not all listed.
#[test]
fn faults_listed() {
    smol::block_on(async {
        let (_control, edge) = start_pair().await;
        let set = json!({ "modles": {}, "workspaces": { "w": { "weight": 0 } } });
        let body = Some(patch("f", 1, set));
        let (status, verdict) = send(&edge, "ana", "POST", "/patches", body).await;
        assert_eq!((status, &verdict["outcome"]), (422, &json!("faulty")));
        assert_eq!(verdict["faults"].as_array().map(Vec::len), Some(2));
    });
}

/// Guards against a patch that is accepted, or left without an answer, while no control host can be reached.
#[test]
fn control_unreachable() {
    smol::block_on(async {
        let (control, edge) = start_pair().await;
        control.stop().await;
        let body = Some(patch("late", 1, add_service("late")));
        let (status, problem) = send(&edge, "ana", "POST", "/patches", body).await;
        assert_eq!(status, 503);
        assert!(problem["detail"].is_string());
        assert_eq!(edge.shared().config().version, Version::new(1));
    });
}
