//! Case 2: a server leaves, and all processes of the system are killed at the same moment.
//!
//! The server deregisters and gets its acknowledgement. A heartbeat that it sent before that arrives some seconds late.
//! With trouble all processes are killed and started again in between. Clients send requests all the while.

use std::io::{self, Write};
use std::net::{SocketAddrV4, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

use review_stand::fleet::{Bounds, Fleet, CONTROLLERS};
use review_stand::http::{call, request, Head, Reader};
use review_stand::record::Record;
use review_stand::server::Server;
use review_stand::{has_trouble, Verdict};

/// The bounds of the deployment `cordillera-re`.
const BOUNDS: Bounds = Bounds {
    stable_window_ms: 3_000,
    drain_ms: 2_000,
    config_apply_ms: 2_000,
    retry_slack: 94,
};

const GATEWAYS: [u8; 2] = [11, 12];

/// How late the heartbeat arrives.
const LATE: Duration = Duration::from_millis(4_000);

/// How long after the acknowledgement the processes are killed, and how long they are down.
const KILL_AFTER: Duration = Duration::from_millis(300);
const DOWN: Duration = Duration::from_millis(700);

/// How long the server serves on after its deregistration.
const LINGER: Duration = Duration::from_secs(10);

/// How long a request takes: no longer than the longest of the sheet.
const WORK: Duration = Duration::from_millis(400);

/// How many clients there are, and how long each waits between two requests.
const CLIENTS: usize = 8;
const CALL_PAUSE: Duration = Duration::from_millis(150);

const PATH: &str = "/lookups/1";

fn configuration() -> String {
    let once = "{\"name\":\"r-1\",\"host\":\"desk.example\",\"pathPrefix\":\"/lookups/\",\"kind\":\"non_idempotent\",\
        \"timeoutMs\":4000,\"latencyTargetMs\":300,\"priority\":2,\"service\":\"desk\",\"attempts\":1,\
        \"public\":true,\"sticky\":false,\"resumable\":false}";
    format!(
        "{{\"version\":1,\"routes\":[{once}],\"services\":[{{\"name\":\"desk\",\"healthPath\":\"/health\",\
         \"maxConns\":110,\"protocol\":\"h1\",\"tls\":false}}],\"limits\":{{\"maxHeaderBytes\":16384,\
         \"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}},\"tenants\":[]}}"
    )
}

/// Answers as a sound server, after some work.
fn answer(server: &Server, head: &Head, stream: &mut TcpStream) -> io::Result<()> {
    sleep(WORK);
    let attempt = head.get("x-attempt-id").unwrap_or("");
    let body = "x".repeat(800);
    let text = format!(
        "HTTP/1.1 200 OK\r\nx-attempt-id: {attempt}\r\nx-server-seal: seal.{}\r\ncontent-type: text/plain\r\n\
         content-length: {}\r\n\r\n{body}",
        server.id,
        body.len()
    );
    stream.write_all(text.as_bytes())
}

/// A proxy between a server and a controller that holds back what it gets for a while.
struct SlowLink {
    address: SocketAddrV4,
}

impl SlowLink {
    fn start(at: SocketAddrV4, to: SocketAddrV4, delay: Duration) -> Self {
        let listener = TcpListener::bind(at).expect("the proxy's address is free");
        let port = listener.local_addr().unwrap().port();
        spawn(move || {
            for stream in listener.incoming().flatten() {
                spawn(move || forward(stream, to, delay));
            }
        });
        Self {
            address: SocketAddrV4::new(*at.ip(), port),
        }
    }
}

/// Forwards one request after the delay, and its answer at once.
fn forward(stream: TcpStream, to: SocketAddrV4, delay: Duration) -> Option<()> {
    let mut from = Reader::new(stream);
    let head = from.head().ok()??;
    let body = from.body(&head).ok()?;
    sleep(delay);
    let mut words = head.first.split(' ');
    let (method, path) = (words.next()?, words.next()?);
    let body = String::from_utf8(body).ok()?;
    let (answer, _) = call(to, method, path, &[], &body, Duration::from_secs(2))?;
    let text = format!("{}\r\ncontent-length: 0\r\n\r\n", answer.first);
    from.stream.write_all(text.as_bytes()).ok()
}

/// A request of a client.
struct Asked {
    attempt: String,
    sent: Instant,
    status: u16,
}

/// Sends requests to one gateway until it is told to stop, each on a new connection.
fn ask(to: SocketAddrV4, name: &str, stop: &AtomicBool, asked: &Mutex<Vec<Asked>>) {
    static NUMBER: AtomicU64 = AtomicU64::new(0);
    while !stop.load(Ordering::SeqCst) {
        let attempt = format!("{name}-{}", NUMBER.fetch_add(1, Ordering::SeqCst));
        let sent = Instant::now();
        let status = ask_once(to, &attempt).unwrap_or(0);
        asked.lock().unwrap().push(Asked {
            attempt,
            sent,
            status,
        });
        sleep(CALL_PAUSE);
    }
}

fn ask_once(to: SocketAddrV4, attempt: &str) -> Option<u16> {
    let limit = Duration::from_secs(4);
    let stream = TcpStream::connect_timeout(&to.into(), Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(limit)).ok()?;
    let mut reader = Reader::new(stream);
    let headers = [
        ("host", "desk.example"),
        ("x-attempt-id", attempt),
        ("x-deadline-ms", "4000"),
    ];
    let text = request("POST", PATH, &headers, "an account");
    reader.stream.write_all(text.as_bytes()).ok()?;
    let head = reader.head().ok()??;
    reader.body(&head).ok()?;
    Some(head.status())
}

fn run(record: &Arc<Record>, trouble: bool) -> Verdict {
    let mut fleet = Fleet::new("case2", BOUNDS);
    if !fleet.bring_up(&GATEWAYS, &configuration()) {
        record.say("the fleet did not come up");
        return Verdict::Failed;
    }
    let start = |host: u8, id: &str, zone| {
        let address = SocketAddrV4::new(fleet.ip(host), 0);
        Server::start(id, ("desk", 6), address, zone, fleet.controls(), Arc::new(answer))
    };
    let staying = [start(21, "i-1", "zone-a"), start(22, "i-2", "zone-b")];
    let leaving = start(23, "i-3", "zone-c");
    let (stop, asked) = (Arc::new(AtomicBool::new(false)), Arc::new(Mutex::new(Vec::new())));
    let mut clients = Vec::new();
    for number in 0..CLIENTS {
        let gateway = GATEWAYS[number % GATEWAYS.len()];
        let (to, stop, asked) = (fleet.front(gateway), Arc::clone(&stop), Arc::clone(&asked));
        clients.push(spawn(move || ask(to, &format!("c{number}"), &stop, &asked)));
    }
    let begun = Instant::now();
    while leaving.runs().len() < 5 {
        if begun.elapsed() > Duration::from_secs(15) {
            record.say("the leaving server got no requests before it left");
            return Verdict::Failed;
        }
        sleep(Duration::from_millis(50));
    }
    // All machines are in touch.
    sleep(Duration::from_millis(BOUNDS.stable_window_ms));

    let slow = SlowLink::start(SocketAddrV4::new(fleet.ip(31), 0), fleet.control(1), LATE);
    let (late, heartbeat) = (Arc::clone(&leaving), leaving.next_heartbeat());
    record.say(format!("{} sends a heartbeat, which arrives {LATE:?} later", leaving.id));
    let link = slow.address;
    let begun = Instant::now();
    let arrival = spawn(move || {
        late.put_heartbeat(link, &heartbeat);
    });
    sleep(Duration::from_millis(50));
    let Some(acknowledged) = leaving.deregister() else {
        record.say("the deregistration was not acknowledged");
        return Verdict::Failed;
    };
    record.say(format!("{}: DELETE acknowledged", leaving.id));
    sleep(KILL_AFTER);
    if trouble {
        let all: Vec<u8> = CONTROLLERS.into_iter().chain(GATEWAYS).collect();
        fleet.kill(&all);
        record.say("all processes killed");
        sleep(DOWN);
        for host in CONTROLLERS {
            fleet.start(host, "controller", false);
        }
        for host in GATEWAYS {
            fleet.start(host, "gateway", false);
        }
        record.say("all processes started again");
    }
    let in_touch = Instant::now() + Duration::from_millis(BOUNDS.stable_window_ms);
    if !GATEWAYS.iter().all(|g| fleet.await_ready(*g, Duration::from_secs(8))) {
        record.say("a gateway did not become ready again");
        return Verdict::Failed;
    }
    let _ = arrival.join();
    sleep((begun + LATE).saturating_duration_since(Instant::now()));
    record.say("the late heartbeat has arrived");
    sleep((acknowledged + LINGER).saturating_duration_since(Instant::now()));
    leaving.exit();
    record.say(format!("{} exits", leaving.id));
    sleep(Duration::from_secs(2));
    stop.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }

    let drained = acknowledged + Duration::from_millis(BOUNDS.drain_ms);
    let asked = asked.lock().unwrap();
    let (mut late, mut lost, mut served) = (0, 0, 0);
    for Asked { attempt, sent, status } in asked.iter() {
        let at = leaving.runs().into_iter().find(|r| r.attempt == *attempt).map(|r| r.at);
        let others: usize = staying.iter().map(|s| s.count(attempt)).sum();
        let place = match at {
            Some(_) => leaving.id.as_str(),
            None if others > 0 => "a server that stays",
            None => "no server",
        };
        record.add(format!("{attempt}: status {status}, run by {place}"));
        if *sent >= in_touch && *status == 200 {
            served += 1;
        }
        let counts = at.is_some_and(|at| at > drained) && *sent >= in_touch;
        if counts {
            late += 1;
            if *status != 200 {
                lost += 1;
                record.say(format!("lost when {} exited: {attempt}, status {status}", leaving.id));
            }
        }
    }
    if served == 0 {
        record.say("nothing was served after the start");
        return Verdict::Failed;
    }
    record.say(format!(
        "{late} requests reached {} later than drainMs after its acknowledgement, from machines in touch; {lost} of \
         them were lost; {served} were served in that time",
        leaving.id
    ));
    if late > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}

fn main() {
    let record = Arc::new(Record::new("review/2"));
    let trouble = has_trouble();
    record.say(format!("trouble: {trouble}"));
    let verdict = run(&record, trouble);
    record.say(format!("{verdict:?}"));
    record.write();
    verdict.exit();
}
