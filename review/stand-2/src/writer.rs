//! A heartbeat of another writer under a server's id, which names a service that doesn't exist, takes the server out.

use std::thread;
use std::time::Duration;

use crate::client;
use crate::fleet::{Fleet, Record, CONTROLS, KIBOKO};
use crate::http;
use crate::server::{Server, Work};
use crate::{configuration, Outcome};

const GATEWAYS: [u8; 2] = [11, 12];
const SERVERS: [(&str, u8); 3] = [("i-1", 21), ("i-2", 22), ("i-3", 23)];

/// How long after the machines traffic starts.
const TRAFFIC: Duration = Duration::from_secs(10);

/// The requests, and their interval.
const REQUESTS: u32 = 200;
const INTERVAL: Duration = Duration::from_millis(200);

pub fn run(record: &Record, trouble: bool) -> Outcome {
    match play(record, trouble) {
        Ok(outcome) => outcome,
        Err(e) => Outcome::Unable(e.to_string()),
    }
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
    let servers: Vec<Server> = SERVERS
        .iter()
        .map(|(id, host)| Server::start(&fleet, *host, id, "huvo11a", work))
        .collect();
    for gateway in GATEWAYS {
        if !fleet.await_ready(gateway, Duration::from_secs(20)) {
            return Ok(Outcome::Unable("a gateway didn't become ready".into()));
        }
    }
    thread::sleep(TRAFFIC / 2);
    if trouble {
        for (n, ((id, server), host)) in SERVERS.iter().zip(CONTROLS).enumerate() {
            let body = format!(
                "{{\"service\":\"xeno77\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":12,\"state\":\"ready\",\"coldLeftMs\":0,\"born\":{},\"seq\":900}}",
                fleet.at(*server + 60, 9), fleet.site.zone(*server), servers[n].born()
            );
            let path = format!("/-/instances/{id}");
            let control = fleet.at(host, fleet.ports.control);
            let answer = http::call(control, "PUT", &path, &body, Duration::from_secs(1));
            let status = answer.map_or(0, |(status, _)| status);
            record.line(format!(
                "another writer's heartbeat for {id} at {control}: {status}"
            ));
        }
    }
    thread::sleep(TRAFFIC / 2);
    let mut served = 0;
    for n in 0..REQUESTS {
        let front = fleet.at(GATEWAYS[n as usize % GATEWAYS.len()], fleet.ports.front);
        let attempt = format!("day{n:013x}");
        let status = client::get(front, "/puxa403/2f", &attempt, Duration::from_millis(1_500));
        if n % 20 == 0 {
            record.line(format!("request {n}: {status}"));
        }
        served += u32::from(status == 200);
        thread::sleep(INTERVAL);
    }
    record.line(format!("{served} of {REQUESTS} requests served"));
    Ok(match served {
        0 => Outcome::Broken,
        _ => Outcome::Held,
    })
}
