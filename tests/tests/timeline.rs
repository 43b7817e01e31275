//! Tests of the time line, which collects the events of all processes at one of them.

use serde_json::json;

use snipemast_core::prelude::*;
use snipemast_entry::timeline::collect;
use snipemast_operators::timeline::{Timeline, TimelineQuery};
use snipemast_tests::{answer, Fleet};

async fn start_fleet() -> Fleet {
    let mut fleet = Fleet::start().await;
    fleet.patch(json!({
        "models": { "lector-1": { "version": "1" } },
        "services": { "lector": { "kind": "model", "model": "lector-1" } },
    }));
    fleet.add_engine("engine-0", "lector-1").await;
    fleet
}

/// Sends a request and returns its id.
async fn send_request(fleet: &Fleet) -> String {
    let body = json!({ "model": "lector", "prompt": "p" });
    let request = fleet.request("POST", "/v1/completions");
    let mut conn = request
        .with_body(body.to_string())
        .await
        .expect("an answer");
    let body = conn.response_body().read_string().await;
    assert!(body.is_ok());
    let id = conn.response_headers().get_str("snipemast-request");
    id.expect("answers name their request").to_string()
}

/// Returns the hosts of a time line's events, without repetitions in a row.
fn hosts(timeline: &Timeline) -> Vec<&str> {
    let mut hosts: Vec<&str> = timeline
        .records
        .iter()
        .map(|r| r.process.host.as_str())
        .collect();
    hosts.dedup();
    hosts
}

/// Guards against a time line of one request that contains other requests or lacks a host on its path.
#[test]
fn request_followed() {
    smol::block_on(async {
        let fleet = start_fleet().await;
        send_request(&fleet).await;
        let id = send_request(&fleet).await;
        let query = TimelineQuery {
            request: Some(id.clone()),
            since: None,
        };
        let timeline = collect(fleet.entry.shared(), &query).await;
        assert!(timeline.records.iter().all(|r| r.mentions(&id)));
        assert_eq!(hosts(&timeline), ["entry-0", "engine-0", "entry-0"]);
        let events: Vec<Event> = timeline.records.iter().map(|r| r.event).collect();
        assert_eq!(events.first(), Some(&Event::RequestReceived));
        assert_eq!(events.last(), Some(&Event::AnswerDelivered));
    });
}

/// Guards against a time line that shows no events of a server which could not be reached, without saying so.
#[test]
fn silence_named() {
    smol::block_on(async {
        let fleet = start_fleet().await;
        let gone = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = gone.local_addr().expect("bound");
        drop(gone);
        let mut settings = snipemast_tests::entry_settings("entry-1");
        settings.control = None;
        settings.seeds = vec![address, fleet.entry.own()];
        let journal = snipemast_tests::journal(&settings.host);
        let entry = snipemast_entry::Entry::start(settings, Incarnation::new(1), journal).await;
        let entry = entry.expect("an entry starts on port 0");
        let timeline = collect(entry.shared(), &TimelineQuery::default()).await;
        assert!(
            timeline.unreachable.contains(&address.to_string()),
            "{timeline:?}"
        );
        let reached: Vec<&str> = timeline.reached.iter().map(|p| p.host.as_str()).collect();
        assert!(
            reached.contains(&"entry-0") && reached.contains(&"entry-1"),
            "{reached:?}"
        );
    });
}

/// Guards against callers who read the requests of others with a key that is not an operator's.
#[test]
fn keys_checked() {
    smol::block_on(async {
        let fleet = start_fleet().await;
        let address = fleet.entry.operators().expect("an operators' address");
        let url = format!("http://{address}/timeline");
        let conn = snipemast_wire::connect::client().get(url.as_str());
        let answer =
            answer(conn.with_request_header("authorization", "Bearer workspace-key")).await;
        assert_eq!(answer.status, 401);
        assert!(!answer.body.contains("records"));
    });
}
