//! Case 1: clients that read their answers slowly.
//!
//! Each client keeps a connection open. It reads the answer to its first request at once. Of the answer to its second
//! one it reads the beginning, pauses, and reads the rest. Without trouble there is no pause. Between the two requests
//! one of the gateways is told to end, which is planned work, with and without trouble.

use std::io::{self, Write};
use std::net::{SocketAddrV4, TcpStream};
use std::sync::{Arc, Barrier};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

use review_stand::fleet::{Bounds, Fleet};
use review_stand::http::{call, request, Head, Reader};
use review_stand::record::Record;
use review_stand::server::Server;
use review_stand::sys::{connect_with_buffer, SIGTERM};
use review_stand::{has_trouble, Verdict};

/// The bounds of the deployment `bwh-rounds-grown`.
const BOUNDS: Bounds = Bounds {
    stable_window_ms: 4_000,
    drain_ms: 2_500,
    config_apply_ms: 2_500,
    retry_slack: 402,
};

/// The gateway that runs on, and the one that is told to end.
const STAYING: u8 = 11;
const ENDING: u8 = 12;
const GATEWAYS: [u8; 2] = [STAYING, ENDING];

/// How many clients use each gateway for streams, and for plain requests. The verdict is on the streams alone, because
/// the deployment's plain requests have less time than the pause.
const STREAM_CLIENTS: usize = 5;
const PLAIN_CLIENTS: usize = 3;

/// How long a client does not read, out of the 8 s that it waits for its stream.
const PAUSE: Duration = Duration::from_millis(2_500);

/// The rule is broken if more requests on kept connections than this are lost at the gateway that runs on, or if any is
/// lost at the one that is told to end.
const ALLOWED: usize = 3;

/// How long after the signal the second requests are sent.
const AFTER_SIGNAL: Duration = Duration::from_millis(200);

/// The answer to a plain request: the largest of the sheet.
const PLAIN_BYTES: usize = 4_800;

/// The events of a stream and the bytes of each: the largest of the sheet.
const EVENTS: usize = 57;
const EVENT_BYTES: usize = 510;
const EVENT_PAUSE: Duration = Duration::from_millis(30);

/// A kind of request.
#[derive(Debug, Clone, Copy)]
struct Kind {
    name: &'static str,
    path: &'static str,
    /// How long the client waits, in ms.
    deadline: &'static str,
    /// The size of the client's receive buffer, which bounds its window.
    buffer: i32,
}

const STREAM: Kind = Kind {
    name: "stream",
    path: "/rounds/1",
    deadline: "8000",
    buffer: 4_096,
};

const PLAIN: Kind = Kind {
    name: "once",
    path: "/pickups/1",
    deadline: "4000",
    buffer: 2_304,
};

/// What became of a request.
struct Outcome {
    attempt: String,
    gateway: u8,
    kind: Kind,
    kept: bool,
    /// Whether the whole answer came.
    complete: bool,
    text: String,
}

fn configuration() -> String {
    let stream = "{\"name\":\"r-1\",\"host\":\"rounds.example\",\"pathPrefix\":\"/rounds/\",\"kind\":\"streaming\",\
        \"timeoutMs\":8000,\"latencyTargetMs\":400,\"priority\":1,\"service\":\"assistant\",\"attempts\":2,\
        \"public\":true,\"sticky\":true,\"resumable\":true,\"gapTargetMs\":120}";
    let once = "{\"name\":\"r-2\",\"host\":\"rounds.example\",\"pathPrefix\":\"/pickups/\",\"kind\":\"non_idempotent\",\
        \"timeoutMs\":4000,\"latencyTargetMs\":300,\"priority\":2,\"service\":\"assistant\",\"attempts\":1,\
        \"public\":true,\"sticky\":false,\"resumable\":false}";
    format!(
        "{{\"version\":1,\"routes\":[{stream},{once}],\"services\":[{{\"name\":\"assistant\",\
         \"healthPath\":\"/health\",\"maxConns\":328,\"protocol\":\"h1\",\"tls\":false}}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\
         \"idleTimeoutMs\":15000}},\"tenants\":[]}}"
    )
}

/// Answers as a sound server: the whole answer at once, or events one after another.
fn answer(server: &Server, head: &Head, stream: &mut TcpStream) -> io::Result<()> {
    let attempt = head.get("x-attempt-id").unwrap_or("");
    let seal = format!("x-attempt-id: {attempt}\r\nx-server-seal: seal.{}\r\n", server.id);
    if head.first.contains(PLAIN.path) {
        let body = "x".repeat(PLAIN_BYTES);
        let text = format!(
            "HTTP/1.1 200 OK\r\n{seal}content-type: text/plain\r\ncontent-length: {PLAIN_BYTES}\r\n\r\n{body}"
        );
        return stream.write_all(text.as_bytes());
    }
    let text = format!(
        "HTTP/1.1 200 OK\r\n{seal}content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n"
    );
    stream.write_all(text.as_bytes())?;
    for id in 1..=EVENTS {
        let start = format!("id: {id}\ndata: ");
        let fill = "w".repeat(EVENT_BYTES - start.len() - 2);
        let event = format!("{start}{fill}\n\n");
        stream.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
        sleep(EVENT_PAUSE);
    }
    stream.write_all(b"0\r\n\r\n")
}

/// Sends one request on a connection, and reads its answer with a pause after its beginning.
fn exchange(reader: &mut Reader, kind: Kind, attempt: &str, pause: Duration) -> (bool, String) {
    let headers = [
        ("host", "rounds.example"),
        ("x-attempt-id", attempt),
        ("x-deadline-ms", kind.deadline),
    ];
    let text = request("POST", kind.path, &headers, "a round of a driver");
    if let Err(e) = reader.stream.write_all(text.as_bytes()) {
        return (false, format!("not sent: {e}"));
    }
    let begun = Instant::now();
    let read = (|| {
        let head = reader.head()?.ok_or(io::ErrorKind::UnexpectedEof)?;
        sleep(pause);
        let body = reader.body(&head)?;
        Ok::<_, io::Error>((head.status(), body.len()))
    })();
    let took = begun.elapsed().as_millis();
    match read {
        Ok((status, length)) => {
            let expected = match kind.name {
                "once" => PLAIN_BYTES,
                _ => EVENTS * EVENT_BYTES,
            };
            let whole = status == 200 && length == expected;
            (whole, format!("status {status}, {length} bytes, complete, {took} ms"))
        }
        Err(e) => (false, format!("connection ended without a complete answer after {took} ms: {e}")),
    }
}

/// A client: the gateway that it uses, what it asks for, and its name.
#[derive(Clone)]
struct Client {
    gateway: u8,
    to: SocketAddrV4,
    kind: Kind,
    name: String,
}

/// Plays one client. It waits at the barrier before its second request until the signal has been sent.
fn play(record: &Record, client: &Client, signal: &Barrier, trouble: bool) -> Vec<Outcome> {
    let Client { kind, name, .. } = client;
    let mut outcomes = Vec::new();
    let mut connected = connect_with_buffer(client.to, kind.buffer).ok().map(|stream| {
        let _ = stream.set_nodelay(true);
        let _ = stream.set_read_timeout(Some(Duration::from_secs(8)));
        let mut reader = Reader::new(stream);
        reader.chunk = 1_024;
        reader
    });
    for kept in [false, true] {
        if kept {
            signal.wait();
            signal.wait();
        }
        let Some(reader) = connected.as_mut() else {
            continue;
        };
        let attempt = format!("{name}-{}", u8::from(kept));
        let pause = if kept && trouble { PAUSE } else { Duration::ZERO };
        let place = if kept { "on the kept connection" } else { "on a new connection" };
        record.add(format!("{attempt}: sent {place}"));
        let (complete, text) = exchange(reader, *kind, &attempt, pause);
        record.add(format!("{attempt}: {text}"));
        if !complete {
            connected = None;
        }
        outcomes.push(Outcome {
            attempt,
            gateway: client.gateway,
            kind: *kind,
            kept,
            complete,
            text,
        });
    }
    outcomes
}

fn run(record: &Arc<Record>, trouble: bool) -> Verdict {
    let mut fleet = Fleet::new("case1", BOUNDS);
    if !fleet.bring_up(&GATEWAYS, &configuration()) {
        record.say("the fleet did not come up");
        return Verdict::Failed;
    }
    let servers: Vec<Arc<Server>> = [(21, "i-1", "zone-a"), (22, "i-2", "zone-b")]
        .into_iter()
        .map(|(host, id, zone)| {
            let address = SocketAddrV4::new(fleet.ip(host), 0);
            Server::start(id, ("assistant", 10), address, zone, fleet.controls(), Arc::new(answer))
        })
        .collect();
    let begun = Instant::now();
    for gateway in GATEWAYS {
        let headers = [("host", "rounds.example"), ("x-attempt-id", "warm"), ("x-deadline-ms", "4000")];
        let served = || {
            let to = fleet.front(gateway);
            call(to, "POST", PLAIN.path, &headers, "warm", Duration::from_secs(4))
        };
        while !served().is_some_and(|(head, _)| head.status() == 200) {
            if begun.elapsed() > Duration::from_secs(15) {
                record.say("the servers are not used");
                return Verdict::Failed;
            }
            sleep(Duration::from_millis(100));
        }
    }
    // All machines are in touch from here on.
    sleep(Duration::from_millis(BOUNDS.stable_window_ms));
    let mut clients = Vec::new();
    for gateway in GATEWAYS {
        for (kind, count) in [(STREAM, STREAM_CLIENTS), (PLAIN, PLAIN_CLIENTS)] {
            clients.extend((0..count).map(|number| Client {
                gateway,
                to: fleet.front(gateway),
                kind,
                name: format!("{}-{gateway}-{number}", kind.name),
            }));
        }
    }
    let expected = clients.len();
    let signal = Arc::new(Barrier::new(expected + 1));
    let tasks: Vec<_> = clients
        .into_iter()
        .map(|client| {
            let (record, signal) = (Arc::clone(record), Arc::clone(&signal));
            spawn(move || play(&record, &client, &signal, trouble))
        })
        .collect();
    signal.wait();
    record.say(format!("SIGTERM to gateway {ENDING}"));
    fleet.signal(ENDING, SIGTERM);
    sleep(AFTER_SIGNAL);
    signal.wait();
    let outcomes = tasks.into_iter().flat_map(|t| t.join().unwrap_or_default());
    let outcomes: Vec<Outcome> = outcomes.collect();
    let second = outcomes.iter().filter(|o| o.kept).count();
    if second < expected || !fleet.is_running(STAYING) {
        record.say(format!("only {second} of {expected} clients came to their second request"));
        return Verdict::Failed;
    }
    let (mut lost, mut plain_lost) = ([0, 0], 0);
    for outcome in &outcomes {
        let runs: usize = servers.iter().map(|s| s.count(&outcome.attempt)).sum();
        record.add(format!("{}: run {runs} times", outcome.attempt));
        if outcome.kept && !outcome.complete && runs > 0 {
            match outcome.kind.name {
                "stream" => lost[usize::from(outcome.gateway == ENDING)] += 1,
                _ => plain_lost += 1,
            }
            let Outcome { attempt, kind, text, .. } = outcome;
            record.say(format!("LOST {attempt} ({}), run {runs} times: {text}", kind.name));
        }
    }
    let each = STREAM_CLIENTS;
    record.say(format!("gateway {STAYING}: {} of {each} streams lost, {ALLOWED} are allowed", lost[0]));
    record.say(format!("gateway {ENDING}, told to end: {} of {each} streams lost, none is allowed", lost[1]));
    let plain = GATEWAYS.len() * PLAIN_CLIENTS;
    record.say(format!("beside them {plain_lost} of {plain} plain answers lost, which the verdict does not count"));
    if lost[0] > ALLOWED || lost[1] > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}

fn main() {
    let record = Arc::new(Record::new("review/1"));
    let trouble = has_trouble();
    record.say(format!("trouble: {trouble}"));
    let verdict = run(&record, trouble);
    record.say(format!("{verdict:?}"));
    record.write();
    verdict.exit();
}
