//! A control host that is lost at the first start keeps the others from ever taking a configuration.

use std::thread;
use std::time::Duration;

use crate::client;
use crate::fleet::{Fleet, Record, CONTROLS, LEUVEN};
use crate::server::{Server, Work};
use crate::{configuration, Outcome};

const GATEWAY: u8 = 11;

/// The host that is lost, and the one that takes its place.
const LOST: u8 = CONTROLS[0];
const SUCCESSOR: u8 = 4;

/// When the first host is lost and the others start: all start within 0.3 s of each other.
const LOST_AFTER: Duration = Duration::from_millis(100);
const OTHERS_AFTER: Duration = Duration::from_millis(250);

/// When an empty host comes in the lost one's place.
const REPLACED_AFTER: Duration = Duration::from_secs(3);

/// How long the operator goes on: many times `ackMs`, which is 4 s.
const PATIENCE: Duration = Duration::from_secs(60);

pub fn run(record: &Record, trouble: bool) -> Outcome {
    match play(record, trouble) {
        Ok(outcome) => outcome,
        Err(e) => Outcome::Unable(e.to_string()),
    }
}

fn play(record: &Record, trouble: bool) -> std::io::Result<Outcome> {
    let mut fleet = Fleet::new(LEUVEN, record.clone())?;
    fleet.start(LOST, "controller")?;
    thread::sleep(LOST_AFTER);
    if trouble {
        fleet.remove(LOST)?;
    }
    thread::sleep(OTHERS_AFTER.saturating_sub(LOST_AFTER));
    for host in &CONTROLS[1..] {
        fleet.start(*host, "controller")?;
    }
    fleet.start(GATEWAY, "gateway")?;
    let work = Work {
        events: 0,
        interval: Duration::from_millis(60),
        preempted: None,
    };
    let _servers: Vec<Server> = [("i-1", 21), ("i-2", 22), ("i-3", 23)]
        .into_iter()
        .map(|(id, host)| Server::start(&fleet, host, id, "huvo11a", work))
        .collect();
    thread::sleep(REPLACED_AFTER);
    if trouble {
        (fleet.first, fleet.seeds) = (false, [CONTROLS[1], CONTROLS[2], SUCCESSOR]);
        fleet.start(SUCCESSOR, "controller")?;
    }
    let route = "{\"name\":\"r-1\",\"host\":\"ficu95.example\",\"pathPrefix\":\"/puxa403/\",\"kind\":\"idempotent\",\"timeoutMs\":1500,\"latencyTargetMs\":300,\"priority\":2,\"service\":\"huvo11a\",\"attempts\":2,\"public\":false,\"sticky\":false,\"resumable\":false}";
    let controls = match trouble {
        true => vec![CONTROLS[1], CONTROLS[2], SUCCESSOR],
        false => CONTROLS.to_vec(),
    };
    let acknowledged = fleet.configure_at(&controls, &configuration(7, route), PATIENCE);
    let ready = fleet.await_ready(GATEWAY, Duration::from_secs(2));
    let front = fleet.at(GATEWAY, fleet.ports.front);
    let statuses: Vec<u16> = (0..20)
        .map(|n| {
            let attempt = format!("after{n:011x}");
            client::get(front, "/puxa403/2f", &attempt, Duration::from_millis(1_500))
        })
        .collect();
    let served = statuses.iter().filter(|status| **status == 200).count();
    record.line(format!(
        "acknowledged: {acknowledged}; gateway ready: {ready}; {served} of 20 requests served: {statuses:?}"
    ));
    Ok(match acknowledged || served > 0 {
        true => Outcome::Held,
        false => Outcome::Broken,
    })
}
