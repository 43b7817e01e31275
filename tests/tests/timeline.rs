//! The time line: events of all processes, asked for at one.

use serde_json::json;

use snipemast_core::prelude::*;
use snipemast_entry::timeline::collect;
use snipemast_operators::timeline::{Timeline, TimelineQuery};
use snipemast_tests::{answer, Fleet};

async fn fleet() -> Fleet {
    let mut fleet = Fleet::start().await;
    fleet.patch(json!({
        "models": { "lector-1": { "version": "1" } },
        "services": { "lector": { "kind": "model", "model": "lector-1" } },
    }));
    fleet.add_engine("engine-0", "lector-1").await;
    fleet
}

/// The id of a request that was just answered.
async fn ask(fleet: &Fleet) -> String {
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

fn hosts(timeline: &Timeline) -> Vec<&str> {
    let mut hosts: Vec<&str> = timeline
        .records
        .iter()
        .map(|r| r.process.host.as_str())
        .collect();
    hosts.dedup();
    hosts
}

#[test]
fn request_followed() {
    smol::block_on(async {
        let fleet = fleet().await;
        ask(&fleet).await;
        let id = ask(&fleet).await;
        let asked = TimelineQuery {
            request: Some(id.clone()),
            since: None,
        };
        let timeline = collect(fleet.entry.shared(), &asked).await;
        assert!(timeline.records.iter().all(|r| r.mentions(&id)));
        assert_eq!(hosts(&timeline), ["entry-0", "engine-0", "entry-0"]);
        let events: Vec<Event> = timeline.records.iter().map(|r| r.event).collect();
        assert_eq!(events.first(), Some(&Event::RequestReceived));
        assert_eq!(events.last(), Some(&Event::AnswerDelivered));
    });
}

// An operator reads that nothing happened on a server, where in truth nobody could ask it.
#[test]
fn silence_named() {
    smol::block_on(async {
        let fleet = fleet().await;
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

// A customer reads the requests of all others.
#[test]
fn keys_checked() {
    smol::block_on(async {
        let fleet = fleet().await;
        let address = fleet.entry.operators().expect("an operators' address");
        let url = format!("http://{address}/timeline");
        let conn = snipemast_wire::connect::client().get(url.as_str());
        let answer =
            answer(conn.with_request_header("authorization", "Bearer workspace-key")).await;
        assert_eq!(answer.status, 401);
        assert!(!answer.body.contains("records"));
    });
}
