//! Tests of limits and admission over the whole path of a request.

use serde_json::{json, Value};

use snipemast_tests::{answer, Fleet};

/// Requests a completion and returns the status, the outcome, the seconds of `retry-after` and the body.
async fn complete(fleet: &Fleet, tokens: u64) -> (u16, Option<String>, Option<u64>, Value) {
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
        serde_json::from_str(&body).expect("the body is JSON"),
    )
}

async fn start_fleet() -> Fleet {
    let mut fleet = Fleet::start().await;
    fleet.patch(json!({
        "models": { "lector-1": { "version": "1" } },
        "services": { "lector": { "kind": "model", "model": "lector-1" } },
    }));
    fleet
}

/// Guards against a caller over its rate limit who does not learn that the request did not run and when to
/// retry. After a late or vague answer the caller retries at an arbitrary time.
#[test]
fn over_rate() {
    smol::block_on(async {
        let mut fleet = start_fleet().await;
        fleet.add_engine("engine-0", "lector-1").await;
        fleet.patch(json!({ "workspaces": { "cordillera": { "limits": { "requests": "1/m" } } } }));
        assert_eq!(complete(&fleet, 4).await.0, 200);
        let (status, outcome, retry, _) = complete(&fleet, 4).await;
        assert_eq!((status, outcome.as_deref()), (429, Some("not-run")));
        // Rates are kept in thousandths per second, so one per minute becomes one in 62.5 s.
        assert!(retry.is_some_and(|s| (50..=63).contains(&s)), "{retry:?}");
        let held = &fleet.entry.shared().admission.status().held;
        assert_eq!(held.len(), 1);
        assert_eq!(held[0].workspace.as_str(), "cordillera");
    });
}

/// Guards against a silent wait for a model that no engine has loaded, which looks like a lost request. The
/// caller must be refused, and control must be asked to load the model.
#[test]
fn nothing_loaded() {
    smol::block_on(async {
        let fleet = start_fleet().await;
        let (status, outcome, retry, _) = complete(&fleet, 4).await;
        assert_eq!((status, outcome.as_deref()), (503, Some("not-run")));
        assert!(retry.is_some_and(|s| s >= 2), "{retry:?}");
        assert_eq!(fleet.entry.shared().admission.due_loads().len(), 1);
    });
}

/// Guards against a leak of slots when more requests arrive than the engine has slots for. Leaked slots would
/// make the entry refuse every request in the end.
#[test]
fn slots_come_free() {
    smol::block_on(async {
        let mut fleet = start_fleet().await;
        fleet.add_engine("engine-0", "lector-1").await;
        let many: Vec<_> = (0..40).map(|_| fleet.complete("lector", false)).collect();
        for one in many {
            assert_eq!(one.await.status, 200);
        }
        let status = fleet.entry.shared().admission.status();
        assert_eq!((status.lanes[0].running, status.lanes[0].waiting), (0, 0));
    });
}

/// Guards against a limit of a workspace that does not apply to plain services.
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
