//! Limits and admission over the whole path.

use serde_json::{json, Value};

use snipemast_tests::{answer, Fleet};

/// Sends a completion and returns status, outcome, seconds to come back, and body.
async fn ask(fleet: &Fleet, tokens: u64) -> (u16, Option<String>, Option<u64>, Value) {
    let body = json!({ "model": "lector", "prompt": "p", "max_tokens": tokens });
    let mut conn = fleet
        .request("POST", "/v1/completions")
        .with_body(body.to_string())
        .await
        .expect("the entry answers");
    let header = |name: &str| {
        conn.response_headers()
            .get_str(name.to_string())
            .map(String::from)
    };
    let retry = header("retry-after").and_then(|s| s.parse().ok());
    let outcome = header("snipemast-outcome");
    let status = conn.status().map_or(0, |s| s as u16);
    let body = conn
        .response_body()
        .read_string()
        .await
        .expect("the answer is whole");
    (
        status,
        outcome,
        retry,
        serde_json::from_str(&body).expect("it is JSON"),
    )
}

async fn fleet() -> Fleet {
    let mut fleet = Fleet::start().await;
    fleet.patch(json!({
        "models": { "lector-1": { "version": "1" } },
        "services": { "lector": { "kind": "model", "model": "lector-1" } },
    }));
    fleet
}

#[test]
fn over_rate() {
    // A caller sends more than its workspace may. It must learn at once that the request did not
    // run and when to come back; a late or vague answer makes it send again at a guess.
    smol::block_on(async {
        let mut fleet = fleet().await;
        fleet.add_engine("engine-0", "lector-1").await;
        fleet.patch(json!({ "workspaces": { "cordillera": { "limits": { "requests": "1/m" } } } }));
        assert_eq!(ask(&fleet, 4).await.0, 200);
        let (status, outcome, retry, _) = ask(&fleet, 4).await;
        assert_eq!((status, outcome.as_deref()), (429, Some("not-run")));
        // Rates are kept in thousandths a second: one a minute is one in 62.5 s.
        assert!(retry.is_some_and(|s| (50..=63).contains(&s)), "{retry:?}");
        let held = &fleet.entry.shared().admission.status().held;
        assert_eq!(held.len(), 1);
        assert_eq!(held[0].workspace.as_str(), "cordillera");
    });
}

#[test]
fn nothing_loaded() {
    // A model is asked for that no engine has loaded. A silent wait would look like a lost
    // request; the caller is told, and control gets the wish to load it.
    smol::block_on(async {
        let fleet = fleet().await;
        let (status, outcome, retry, _) = ask(&fleet, 4).await;
        assert_eq!((status, outcome.as_deref()), (503, Some("not-run")));
        assert!(retry.is_some_and(|s| s >= 2), "{retry:?}");
        assert_eq!(fleet.entry.shared().admission.due_loads().len(), 1);
    });
}

#[test]
fn slots_come_free() {
    // More requests come at once than the engine has slots for. All are answered, and nothing
    // stays counted: a slot that leaks would make the entry refuse all in the end.
    smol::block_on(async {
        let mut fleet = fleet().await;
        fleet.add_engine("engine-0", "lector-1").await;
        let many: Vec<_> = (0..40).map(|_| fleet.complete("lector", false)).collect();
        for one in many {
            assert_eq!(one.await.status, 200);
        }
        let status = fleet.entry.shared().admission.status();
        assert_eq!((status.lanes[0].running, status.lanes[0].waiting), (0, 0));
    });
}

#[test]
fn service_limits() {
    smol::block_on(async {
        let mut fleet = Fleet::start().await;
        fleet.patch(json!({ "services": { "spend": { "kind": "plain" } } }));
        fleet.add_service("service-0", "spend").await;
        fleet.patch(json!({ "workspaces": { "cordillera": { "limits": { "requests": "1/m" } } } }));
        assert_eq!(
            answer(fleet.request("GET", "/services/spend/x"))
                .await
                .status,
            200
        );
        assert_eq!(
            answer(fleet.request("GET", "/services/spend/x"))
                .await
                .status,
            429
        );
    });
}
