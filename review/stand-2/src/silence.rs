//! A gateway that is shut down cuts streams whose servers are silent for less time than their clients wait.

use std::thread;
use std::time::Duration;

use crate::client::{self, Ask, Seen};
use crate::fleet::{Fleet, Record, KIBOKO, SIGTERM};
use crate::server::{Server, Work};
use crate::{configuration, Outcome};

/// The gateway that is shut down.
const GATEWAY: u8 = 11;

/// The clients whose streams are under way at the shutdown.
const CLIENTS: usize = 6;

/// The events of a stream, as on the sheet.
const EVENTS: u64 = 23;

/// The route's objective, and the pause that it promises, in ms.
const OBJECTIVE_MS: u64 = 1_000;
const PAUSE_MS: u64 = 120;

/// How long a preempted request waits until its server goes on with it.
const PREEMPTED: Duration = Duration::from_millis(2_500);

pub fn run(record: &Record, trouble: bool) -> Outcome {
    match play(record, trouble) {
        Ok(outcome) => outcome,
        Err(e) => Outcome::Unable(e.to_string()),
    }
}

fn play(record: &Record, trouble: bool) -> std::io::Result<Outcome> {
    let mut fleet = Fleet::new(KIBOKO, record.clone())?;
    fleet.start_all(&[GATEWAY])?;
    let route = format!(
        "{{\"name\":\"r-1\",\"host\":\"ficu95.example\",\"pathPrefix\":\"/lohu930/\",\"kind\":\"streaming\",\"timeoutMs\":8000,\"latencyTargetMs\":{OBJECTIVE_MS},\"priority\":2,\"service\":\"huvo11a\",\"attempts\":2,\"public\":false,\"sticky\":true,\"resumable\":true,\"gapTargetMs\":{PAUSE_MS}}}"
    );
    if !fleet.configure(&configuration(7, &route), Duration::from_secs(20)) {
        return Ok(Outcome::Unable("no configuration was acknowledged".into()));
    }
    let work = Work {
        events: EVENTS,
        interval: Duration::from_millis(60),
        preempted: trouble.then_some((5, PREEMPTED)),
    };
    let ids = ["i-1", "i-2", "i-3"];
    let hosts = [21, 22, 23];
    let servers: Vec<Server> = ids
        .iter()
        .zip(hosts)
        .map(|(id, host)| Server::start(&fleet, host, id, "huvo11a", work))
        .collect();
    if !fleet.await_ready(GATEWAY, Duration::from_secs(20)) {
        return Ok(Outcome::Unable("the gateway didn't become ready".into()));
    }
    // A retry budget holds nothing in the first window of a process.
    thread::sleep(Duration::from_secs(12));
    let front = fleet.at(GATEWAY, fleet.ports.front);
    // The longest of 2 s, four times the objective and eight times the pause.
    let gap = 2_000.max(4 * OBJECTIVE_MS).max(8 * PAUSE_MS);
    let clients: Vec<_> = (0..CLIENTS)
        .map(|n| {
            let ask = Ask {
                path: "/lohu930/2f".into(),
                attempt: format!("a{n:015x}"),
                events: EVENTS,
                deadline: Duration::from_secs(8),
                gap: Duration::from_millis(gap),
            };
            let record = record.clone();
            thread::spawn(move || client::ask(front, &ask, &record))
        })
        .collect();
    thread::sleep(Duration::from_millis(200));
    fleet.signal(GATEWAY, SIGTERM);
    let seen: Vec<Seen> = clients
        .into_iter()
        .map(|c| c.join().unwrap_or(Seen::Unconnected))
        .collect();
    for server in &servers {
        for run in server.runs() {
            record.line(format!(
                "run of {} at {}: {}",
                run.attempt, run.server, run.end
            ));
        }
    }
    let cut = seen.iter().filter(|s| matches!(s, Seen::Cut(_))).count();
    let complete = seen.iter().filter(|s| **s == Seen::Complete).count();
    record.line(format!("{complete} complete, {cut} cut, of {CLIENTS}"));
    if cut > 0 {
        return Ok(Outcome::Broken);
    }
    if complete < CLIENTS {
        return Ok(Outcome::Unable(format!("not served: {seen:?}")));
    }
    Ok(Outcome::Held)
}
