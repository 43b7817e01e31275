//! Tests of the whole path of a request over loopback: entry, agent, backend server and back.

use serde_json::json;

use snipemast_tests::{answer, Fleet};

/// Guards against a completion that is changed on its path, or that is not reported as run.
#[test]
fn model_answers() {
    smol::block_on(async {
        let mut fleet = Fleet::start().await;
        fleet.patch(json!({
            "models": { "lector-1": { "version": "1" } },
            "services": { "lector": { "kind": "model", "model": "lector-1" } },
        }));
        fleet.add_engine("engine-0", "lector-1").await;
        let answer = fleet.complete("lector", false).await;
        assert_eq!(answer.status, 200);
        assert_eq!(answer.json()["choices"][0]["text"], "w0 w1 w2 w3 ");
        assert_eq!(answer.outcome.as_deref(), Some("ran"));
    });
}

/// Guards against a stream that loses events or its end.
#[test]
fn stream_ends_whole() {
    smol::block_on(async {
        let mut fleet = Fleet::start().await;
        fleet.patch(json!({
            "models": { "lector-1": { "version": "1" } },
            "services": { "lector": { "kind": "model", "model": "lector-1" } },
        }));
        fleet.add_engine("engine-0", "lector-1").await;
        let answer = fleet.complete("lector", true).await;
        assert_eq!(answer.body.matches("data: {").count(), 4);
        assert!(answer.body.trim_end().ends_with("data: [DONE]"));
    });
}

/// Guards against requests that still reach the old model after a patch sends a service to another one.
#[test]
fn patch_moves_requests() {
    smol::block_on(async {
        let mut fleet = Fleet::start().await;
        fleet.patch(json!({
            "models": { "lector-1": { "version": "1" }, "lector-2": { "version": "1" } },
            "services": { "lector": { "kind": "model", "model": "lector-1" } },
        }));
        fleet.add_engine("engine-0", "lector-1").await;
        fleet.add_engine("engine-1", "lector-2").await;
        assert_eq!(
            fleet.complete("lector", false).await.json()["served_by"],
            "engine-0"
        );
        fleet.patch(json!({ "services": { "lector": { "model": "lector-2" } } }));
        assert_eq!(
            fleet.complete("lector", false).await.json()["served_by"],
            "engine-1"
        );
    });
}

/// Guards against a request to a plain service that reaches its server with a wrong path.
#[test]
fn service_answers() {
    smol::block_on(async {
        let mut fleet = Fleet::start().await;
        fleet.patch(json!({ "services": { "mesa": { "kind": "plain" } } }));
        fleet.add_service("desk-0", "mesa").await;
        let answer = answer(fleet.request("GET", "/services/mesa/treaties/7?full=1")).await;
        assert_eq!(answer.json()["path"], "/treaties/7");
    });
}

/// Guards against a request with an unknown key that runs.
#[test]
fn unknown_key() {
    smol::block_on(async {
        let fleet = Fleet::start().await;
        let request = fleet.request("POST", "/v1/completions");
        let request = request.with_request_header("authorization", "Bearer other");
        let answer = answer(request.with_body("{}")).await;
        assert_eq!(
            (answer.status, answer.outcome.as_deref()),
            (401, Some("not-run"))
        );
    });
}

/// Guards against a request to an unknown service that is not refused as not run.
#[test]
fn unknown_service() {
    smol::block_on(async {
        let fleet = Fleet::start().await;
        let answer = fleet.complete("nothing", false).await;
        assert_eq!(
            (answer.status, answer.outcome.as_deref()),
            (404, Some("not-run"))
        );
    });
}
