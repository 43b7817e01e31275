//! A configuration in which two routes have the same host and prefix, written in different case, is acknowledged, and one
//! route's requests go to the other one's service.

use std::thread;
use std::time::Duration;

use crate::client;
use crate::fleet::{Fleet, Record, KIBOKO};
use crate::server::{Server, Work};
use crate::Outcome;

const GATEWAY: u8 = 11;

/// The requests before and after the change.
const REQUESTS: usize = 20;

/// The bound `configApplyMs`, and half a second more.
const APPLIED: Duration = Duration::from_millis(3_000);

pub fn run(record: &Record, trouble: bool) -> Outcome {
    match play(record, trouble) {
        Ok(outcome) => outcome,
        Err(e) => Outcome::Unable(e.to_string()),
    }
}

fn route(name: &str, host: &str, prefix: &str, service: &str) -> String {
    format!(
        "{{\"name\":\"{name}\",\"host\":\"{host}\",\"pathPrefix\":\"{prefix}\",\"kind\":\"idempotent\",\"timeoutMs\":1500,\"latencyTargetMs\":300,\"priority\":2,\"service\":\"{service}\",\"attempts\":2,\"public\":false,\"sticky\":false,\"resumable\":false}}"
    )
}

fn configuration(version: u64, routes: &[String]) -> String {
    let service = |name: &str| {
        format!("{{\"name\":\"{name}\",\"healthPath\":\"/health\",\"maxConns\":49,\"protocol\":\"h1\",\"tls\":false}}")
    };
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{},{}],\"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}},\"tenants\":[{{\"name\":\"hule930\",\"apiKeys\":[\"{}\"],\"priority\":1}}]}}",
        routes.join(","),
        service("huvo11a"),
        service("wuno96b"),
        client::KEY
    )
}

/// Sends requests to the first route; returns how many are served.
fn ask(fleet: &Fleet, name: &str) -> usize {
    let front = fleet.at(GATEWAY, fleet.ports.front);
    let statuses: Vec<u16> = (0..REQUESTS)
        .map(|n| {
            let attempt = format!("{name}{n:012x}");
            client::get(front, "/lohu930/2f", &attempt, Duration::from_millis(1_500))
        })
        .collect();
    let line = format!("{REQUESTS} requests {name} to ficu95.example/lohu930/: {statuses:?}");
    fleet.record.line(line);
    statuses.iter().filter(|status| **status == 200).count()
}

fn play(record: &Record, trouble: bool) -> std::io::Result<Outcome> {
    let mut fleet = Fleet::new(KIBOKO, record.clone())?;
    fleet.start_all(&[GATEWAY])?;
    let first = route("r-1", "ficu95.example", "/lohu930/", "huvo11a");
    let before = configuration(7, &[first.clone()]);
    if !fleet.configure(&before, Duration::from_secs(20)) {
        return Ok(Outcome::Unable("no configuration was acknowledged".into()));
    }
    let work = Work {
        events: 0,
        interval: Duration::from_millis(20),
        preempted: None,
    };
    let own = Server::start(&fleet, 21, "i-1", "huvo11a", work);
    let other = Server::start(&fleet, 22, "i-2", "wuno96b", work);
    if !fleet.await_ready(GATEWAY, Duration::from_secs(20)) {
        return Ok(Outcome::Unable("the gateway didn't become ready".into()));
    }
    thread::sleep(Duration::from_secs(2));
    if ask(&fleet, "before") < REQUESTS || !other.runs().is_empty() {
        return Ok(Outcome::Unable("the first route isn't served".into()));
    }
    let (host, prefix) = match trouble {
        true => ("FICU95.EXAMPLE", "/lohu930/"),
        false => ("ficu95.example", "/pufi791/"),
    };
    let second = route("r-2", host, prefix, "wuno96b");
    let after = configuration(9, &[first, second]);
    // A refusal ends the call; an acknowledgement comes within the bound.
    let acknowledged = fleet.configure(&after, Duration::from_secs(5));
    thread::sleep(APPLIED);
    let served = ask(&fleet, "after");
    let foreign = other.runs().len();
    let own = own.runs().len() - REQUESTS;
    record.line(format!(
        "acknowledged: {acknowledged}; after it {served} served, {own} run by huvo11a, {foreign} by wuno96b"
    ));
    Ok(match acknowledged && foreign > 0 {
        true => Outcome::Broken,
        false => Outcome::Held,
    })
}
