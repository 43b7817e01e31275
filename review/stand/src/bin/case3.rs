//! Case 3: one gateway gets most of the new connections for some seconds, and their clients stay idle afterwards.
//!
//! Each client opens a connection, sends one request, reads the answer and leaves the connection open. Without trouble
//! the platform shares the same connections out among both gateways. Long after `idleTimeoutMs`, usual clients try to
//! connect to the gateway that got most of them.

use std::io::{self, Read, Write};
use std::net::{SocketAddrV4, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

use review_stand::fleet::{Bounds, Fleet};
use review_stand::http::{request, Head, Reader};
use review_stand::record::Record;
use review_stand::server::Server;
use review_stand::{has_trouble, Verdict};

/// The bounds of the deployment `cordillera-re-grown`.
const BOUNDS: Bounds = Bounds {
    stable_window_ms: 4_000,
    drain_ms: 2_500,
    config_apply_ms: 2_500,
    retry_slack: 224,
};

/// The gateway that gets most of the connections, and the other one.
const CROWDED: u8 = 11;
const OTHER: u8 = 12;
const GATEWAYS: [u8; 2] = [CROWDED, OTHER];

/// For how long the platform hands out the connections, and how many a second: the requests of the sheet, each on a new
/// connection.
const CROWD_TIME: Duration = Duration::from_secs(8);
const PER_SECOND: u32 = 334;
const OPENERS: u32 = 16;

/// How long a connection may be idle, by the configuration, and how much longer the clients stay.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);
const STAY: Duration = Duration::from_secs(3);

/// The usual clients that try afterwards, how often each of them does, and for how long.
const CLIENTS: usize = 10;
const TRY_PAUSE: Duration = Duration::from_millis(500);
const TRY_TIME: Duration = Duration::from_secs(9);

/// How often the platform asks whether a gateway is ready.
const READY_PAUSE: Duration = Duration::from_secs(1);

const WORK: Duration = Duration::from_millis(5);
const PATH: &str = "/status/1";

fn configuration() -> String {
    let route = "{\"name\":\"r-1\",\"host\":\"desk.example\",\"pathPrefix\":\"/status/\",\"kind\":\"idempotent\",\
        \"timeoutMs\":4000,\"latencyTargetMs\":300,\"priority\":2,\"service\":\"desk\",\"attempts\":2,\
        \"public\":true,\"sticky\":false,\"resumable\":false}";
    format!(
        "{{\"version\":1,\"routes\":[{route}],\"services\":[{{\"name\":\"desk\",\"healthPath\":\"/health\",\
         \"maxConns\":530,\"protocol\":\"h1\",\"tls\":false}}],\"limits\":{{\"maxHeaderBytes\":16384,\
         \"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":{}}},\"tenants\":[]}}",
        IDLE_TIMEOUT.as_millis()
    )
}

/// Answers as a sound server.
fn answer(server: &Server, head: &Head, stream: &mut TcpStream) -> io::Result<()> {
    sleep(WORK);
    let attempt = head.get("x-attempt-id").unwrap_or("");
    let body = "x".repeat(800);
    let text = format!(
        "HTTP/1.1 200 OK\r\nx-attempt-id: {attempt}\r\nx-server-seal: seal.{}\r\nkeep-alive: timeout=5\r\n\
         content-type: text/plain\r\ncontent-length: {}\r\n\r\n{body}",
        server.id,
        body.len()
    );
    stream.write_all(text.as_bytes())
}

/// Sends one request on a new connection; returns the connection and the answer's status if the gateway answers.
fn ask(to: SocketAddrV4, attempt: &str) -> Option<(TcpStream, u16)> {
    let stream = TcpStream::connect_timeout(&to.into(), Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(4))).ok()?;
    let mut reader = Reader::new(stream);
    let headers = [
        ("host", "desk.example"),
        ("x-attempt-id", attempt),
        ("x-deadline-ms", "4000"),
    ];
    let text = request("GET", PATH, &headers, "");
    reader.stream.write_all(text.as_bytes()).ok()?;
    let head = reader.head().ok()??;
    reader.body(&head).ok()?;
    Some((reader.stream, head.status()))
}

/// Whether the peer has closed an idle connection.
fn is_closed(stream: &mut TcpStream) -> bool {
    let _ = stream.set_nonblocking(true);
    match stream.read(&mut [0; 1]) {
        Ok(read) => read == 0,
        Err(e) => e.kind() != io::ErrorKind::WouldBlock,
    }
}

/// A try of a usual client: when it began, and whether the gateway took the connection.
struct Try {
    client: usize,
    at: Instant,
    taken: bool,
}

fn run(record: &Arc<Record>, trouble: bool) -> Verdict {
    let mut fleet = Fleet::new("case3", BOUNDS);
    if !fleet.bring_up(&GATEWAYS, &configuration()) {
        record.say("the fleet did not come up");
        return Verdict::Failed;
    }
    let _servers: Vec<Arc<Server>> = [(21, "i-1", "zone-a"), (22, "i-2", "zone-b"), (23, "i-3", "zone-c")]
        .into_iter()
        .map(|(host, id, zone)| {
            let address = SocketAddrV4::new(fleet.ip(host), 0);
            Server::start(id, ("desk", 6), address, zone, fleet.controls(), Arc::new(answer))
        })
        .collect();
    let begun = Instant::now();
    for gateway in GATEWAYS {
        while ask(fleet.front(gateway), "warm").is_none_or(|(_, status)| status != 200) {
            if begun.elapsed() > Duration::from_secs(15) {
                record.say("the servers are not used");
                return Verdict::Failed;
            }
            sleep(Duration::from_millis(100));
        }
    }
    // All machines are in touch from here on.
    sleep(Duration::from_millis(BOUNDS.stable_window_ms));

    record.say(format!("{PER_SECOND} new connections a second for {CROWD_TIME:?}"));
    let kept: Arc<Mutex<Vec<(u8, TcpStream)>>> = Arc::default();
    let moved = Arc::new(AtomicUsize::new(0));
    let (crowded, other) = (fleet.front(CROWDED), fleet.front(OTHER));
    let openers: Vec<_> = (0..OPENERS)
        .map(|opener| {
            let (kept, moved) = (Arc::clone(&kept), Arc::clone(&moved));
            spawn(move || {
                let (begun, pause) = (Instant::now(), Duration::from_secs(1) * OPENERS / PER_SECOND);
                let mut number = 0;
                while begun.elapsed() < CROWD_TIME {
                    let first = if trouble || number % 2 == 0 { CROWDED } else { OTHER };
                    let to = |gateway| if gateway == CROWDED { crowded } else { other };
                    let attempt = format!("o{opener}-{number}");
                    match ask(to(first), &attempt) {
                        Some((stream, _)) => kept.lock().unwrap().push((first, stream)),
                        // A retry meets another gateway.
                        None => {
                            moved.fetch_add(1, Ordering::SeqCst);
                            let again = ask(other, &format!("{attempt}-again"));
                            kept.lock().unwrap().extend(again.map(|(stream, _)| (OTHER, stream)));
                        }
                    }
                    number += 1;
                    sleep((begun + pause * number).saturating_duration_since(Instant::now()));
                }
            })
        })
        .collect();
    for opener in openers {
        let _ = opener.join();
    }
    let count = |gateway: u8| kept.lock().unwrap().iter().filter(|(g, _)| *g == gateway).count();
    let (at_crowded, at_other) = (count(CROWDED), count(OTHER));
    record.say(format!(
        "idle connections with an answer: {at_crowded} at gateway {CROWDED}, {at_other} at gateway {OTHER}; {} retries",
        moved.load(Ordering::SeqCst)
    ));
    sleep(IDLE_TIMEOUT + STAY);
    let closed = kept.lock().unwrap().iter_mut().filter_map(|(g, s)| (*g == CROWDED && is_closed(s)).then_some(())).count();
    record.say(format!("gateway {CROWDED} has closed {closed} of {at_crowded}, all idle for longer than idleTimeoutMs"));

    let tries: Arc<Mutex<Vec<Try>>> = Arc::default();
    let begun = Instant::now();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (record, tries) = (Arc::clone(record), Arc::clone(&tries));
            spawn(move || {
                let mut number = 0;
                while begun.elapsed() < TRY_TIME {
                    let at = Instant::now();
                    let asked = ask(crowded, &format!("u{client}-{number}"));
                    let status = asked.as_ref().map(|(_, status)| *status);
                    record.add(format!("u{client}-{number}: status {status:?}"));
                    let taken = asked.is_some();
                    tries.lock().unwrap().push(Try { client, at, taken });
                    number += 1;
                    sleep(TRY_PAUSE);
                }
            })
        })
        .collect();
    let mut unready = 0;
    while begun.elapsed() < TRY_TIME {
        let ready = fleet.is_ready(CROWDED);
        record.add(format!("gateway {CROWDED} ready: {ready}"));
        unready += usize::from(!ready);
        sleep(READY_PAUSE);
    }
    for client in clients {
        let _ = client.join();
    }
    let served_elsewhere = ask(other, "elsewhere").is_some();
    let tries = tries.lock().unwrap();
    let taken = tries.iter().filter(|t| t.taken).count();
    let mut trying: Vec<usize> = tries.iter().map(|t| t.client).collect();
    trying.sort_unstable();
    trying.dedup();
    let (first, last) = (tries.iter().map(|t| t.at).min(), tries.iter().map(|t| t.at).max());
    let span = first.zip(last).map_or(Duration::ZERO, |(first, last)| last - first);
    record.say(format!(
        "{} clients tried {} times within {span:?}: gateway {CROWDED} took {taken} connections, and was not ready at \
         {unready} checks; gateway {OTHER} answers: {served_elsewhere}",
        trying.len(),
        tries.len()
    ));
    if !fleet.is_running(CROWDED) || trying.len() < 7 {
        return Verdict::Failed;
    }
    let window = Duration::from_millis(BOUNDS.stable_window_ms);
    if taken == 0 && unready == 0 && span >= window {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}

fn main() {
    let record = Arc::new(Record::new("review/3"));
    let trouble = has_trouble();
    record.say(format!("trouble: {trouble}"));
    let verdict = run(&record, trouble);
    record.say(format!("{verdict:?}"));
    record.write();
    verdict.exit();
}
