//! Servers that deregistered at controllers which didn't know them yet are refused after the final fault, though they
//! have long started again.

use std::collections::BTreeMap;
use std::thread;
use std::time::{Duration, Instant};

use crate::client;
use crate::fleet::{Fleet, Record, CONTROLS, KIBOKO};
use crate::server::{Server, Work};
use crate::{configuration, Outcome};

const GATEWAYS: [u8; 2] = [11, 12];
const SERVERS: [(&str, u8); 3] = [("i-1", 21), ("i-2", 22), ("i-3", 23)];

/// The bounds `drainMs` and `recoveryS`.
const DRAIN: Duration = Duration::from_millis(2_500);
const RECOVERY: Duration = Duration::from_secs(15);

/// How long a server is down between two starts.
const DOWN: Duration = Duration::from_secs(1);

/// The time from one server's restart to the next one's, and from the last one to the final fault.
const NEXT: Duration = Duration::from_secs(10);
const SETTLED: Duration = Duration::from_secs(42);

/// The requests before and after the final fault, and their interval.
const REQUESTS: u32 = 80;
const INTERVAL: Duration = Duration::from_millis(100);

pub fn run(record: &Record, trouble: bool) -> Outcome {
    match play(record, trouble) {
        Ok(outcome) => outcome,
        Err(e) => Outcome::Unable(e.to_string()),
    }
}

/// Sends requests at a steady rate; returns the share that is served.
fn share_served(fleet: &Fleet, name: &str) -> f64 {
    let mut statuses: BTreeMap<u16, u32> = BTreeMap::new();
    for n in 0..REQUESTS {
        let begun = Instant::now();
        let front = fleet.at(GATEWAYS[n as usize % GATEWAYS.len()], fleet.ports.front);
        let attempt = format!("{name}{n:012x}");
        let status = client::get(front, "/puxa403/2f", &attempt, Duration::from_millis(1_500));
        *statuses.entry(status).or_default() += 1;
        thread::sleep(INTERVAL.saturating_sub(begun.elapsed()));
    }
    fleet.record.line(format!(
        "{REQUESTS} requests {name}, by status: {statuses:?}"
    ));
    f64::from(statuses.get(&200).copied().unwrap_or(0)) / f64::from(REQUESTS)
}

fn play(record: &Record, trouble: bool) -> std::io::Result<Outcome> {
    let mut fleet = Fleet::new(KIBOKO, record.clone())?;
    fleet.start_all(&GATEWAYS)?;
    let route = "{\"name\":\"r-1\",\"host\":\"ficu95.example\",\"pathPrefix\":\"/puxa403/\",\"kind\":\"idempotent\",\"timeoutMs\":1500,\"latencyTargetMs\":300,\"priority\":2,\"service\":\"huvo11a\",\"attempts\":2,\"public\":false,\"sticky\":false,\"resumable\":false}";
    if !fleet.configure(&configuration(7, route), Duration::from_secs(20)) {
        return Ok(Outcome::Unable("no configuration was acknowledged".into()));
    }
    let work = Work {
        events: 0,
        interval: Duration::from_millis(60),
        preempted: None,
    };
    let mut servers: Vec<Server> = SERVERS
        .iter()
        .map(|(id, host)| Server::start(&fleet, *host, id, "huvo11a", work))
        .collect();
    for gateway in GATEWAYS {
        if !fleet.await_ready(gateway, Duration::from_secs(20)) {
            return Ok(Outcome::Unable("a gateway didn't become ready".into()));
        }
    }
    thread::sleep(Duration::from_secs(3));
    // One server after another is restarted under its id.
    for (n, (id, host)) in SERVERS.iter().enumerate() {
        let begun = Instant::now();
        if trouble {
            fleet.restart(&CONTROLS)?;
        }
        servers[n].leave(DRAIN);
        thread::sleep(DOWN);
        servers[n] = Server::start(&fleet, *host, id, "huvo11a", work);
        thread::sleep(NEXT.saturating_sub(begun.elapsed()));
    }
    thread::sleep(SETTLED.saturating_sub(NEXT));
    let before = share_served(&fleet, "before");
    if !fleet.configure(&configuration(9, route), Duration::from_secs(5)) {
        return Ok(Outcome::Unable(
            "the last change was not acknowledged".into(),
        ));
    }
    let all: Vec<u8> = CONTROLS.iter().chain(&GATEWAYS).copied().collect();
    record.line("the final fault: all processes are killed");
    fleet.restart(&all)?;
    thread::sleep(RECOVERY);
    let after = share_served(&fleet, "after");
    record.line(format!("served before {before:.2}, after {after:.2}"));
    if before < 0.25 {
        return Ok(Outcome::Unable(
            "too little was served before the final fault".into(),
        ));
    }
    Ok(match after < 0.25 {
        true => Outcome::Broken,
        false => Outcome::Held,
    })
}
