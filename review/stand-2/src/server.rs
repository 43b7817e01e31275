//! A stand-in for the servers of a service: sound, as the users' pages describe them.

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::fleet::{Fleet, Record, CONTROLS};
use crate::http::{self, BodyEnd, Conn, Head};

/// How requests are answered.
#[derive(Debug, Clone, Copy)]
pub struct Work {
    /// The number of events of a stream; 0 for a plain answer after one interval.
    pub events: u64,
    /// The interval between two events.
    pub interval: Duration,
    /// After which event of a run it is preempted, and for how long until it goes on.
    pub preempted: Option<(u64, Duration)>,
}

/// A run of a request at a server.
#[derive(Debug, Clone)]
pub struct Run {
    /// The client's id of the attempt.
    pub attempt: String,
    /// The server.
    pub server: String,
    /// How it ended.
    pub end: String,
}

/// A server.
pub struct Server {
    shared: Arc<Shared>,
}

struct Shared {
    id: String,
    service: String,
    zone: String,
    address: SocketAddr,
    controls: Vec<SocketAddr>,
    work: Work,
    /// The time of this start, in milliseconds since 1970.
    born: u64,
    sequence: AtomicU64,
    /// Whether it sends heartbeats.
    announcing: AtomicBool,
    /// Whether it takes requests.
    serving: AtomicBool,
    running: AtomicU64,
    runs: Mutex<Vec<Run>>,
    record: Record,
}

impl Server {
    /// Starts a server on a host, which announces itself until the process ends.
    pub fn start(fleet: &Fleet, host: u8, id: &str, service: &str, work: Work) -> Self {
        let listener = TcpListener::bind((fleet.ip(host), 0)).expect("a port is free");
        let address = listener.local_addr().expect("it has an address");
        let shared = Arc::new(Shared {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: fleet.site.zone(host).to_owned(),
            address,
            controls: CONTROLS
                .iter()
                .map(|h| fleet.at(*h, fleet.ports.control))
                .collect(),
            work,
            born: SystemTime::now()
                .duration_since(UNIX_EPOCH)
                .map_or(0, |d| d.as_millis() as u64),
            sequence: AtomicU64::new(0),
            announcing: AtomicBool::new(true),
            serving: AtomicBool::new(true),
            running: AtomicU64::new(0),
            runs: Mutex::default(),
            record: fleet.record.clone(),
        });
        let beats = Arc::clone(&shared);
        thread::spawn(move || {
            while beats.announcing.load(Ordering::Relaxed) {
                beats.announce();
                thread::sleep(Duration::from_millis(1_200));
            }
        });
        let accepting = Arc::clone(&shared);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if !accepting.serving.load(Ordering::Relaxed) {
                    return;
                }
                let shared = Arc::clone(&accepting);
                thread::spawn(move || shared.serve(stream));
            }
        });
        Self { shared }
    }

    /// Leaves as a server does that never reports that it drains: deregisters, serves on for a while, and exits.
    pub fn leave(&self, drain: Duration) {
        let shared = &self.shared;
        shared.announcing.store(false, Ordering::Relaxed);
        let path = format!("/-/instances/{}", shared.id);
        let until = Instant::now() + Duration::from_secs(8);
        let mut turn = 0;
        while Instant::now() < until {
            let control = shared.controls[turn % shared.controls.len()];
            turn += 1;
            let answer = http::call(control, "DELETE", &path, "", Duration::from_secs(1));
            let status = answer.map_or(0, |(status, _)| status);
            let line = format!("{} deregisters at {control}: {status}", shared.id);
            shared.record.line(line);
            if status == 200 {
                break;
            }
            thread::sleep(Duration::from_millis(200));
        }
        thread::sleep(drain);
        shared.serving.store(false, Ordering::Relaxed);
        // Wakes the thread that accepts, which then closes the listener.
        let _ = TcpStream::connect(shared.address);
        shared.record.line(format!("{} exits", shared.id));
    }

    /// Returns the time of its start.
    pub fn born(&self) -> u64 {
        self.shared.born
    }

    /// Returns the runs so far.
    pub fn runs(&self) -> Vec<Run> {
        self.shared.runs.lock().expect("not poisoned").clone()
    }
}

impl Shared {
    /// Sends one heartbeat, to the next controller if one doesn't answer.
    fn announce(&self) {
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed) + 1;
        let body = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":12,\"state\":\"ready\",\"coldLeftMs\":0,\"born\":{},\"seq\":{sequence}}}",
            self.service, self.address, self.zone, self.born
        );
        let path = format!("/-/instances/{}", self.id);
        for control in &self.controls {
            let answer = http::call(*control, "PUT", &path, &body, Duration::from_secs(1));
            let status = answer.map_or(0, |(status, _)| status);
            if sequence == 1 || status != 200 {
                self.record.line(format!(
                    "{} born {} says ready to {control}: {status}",
                    self.id, self.born
                ));
            }
            if status == 200 {
                return;
            }
        }
    }

    fn serve(&self, stream: TcpStream) {
        let mut conn = Conn::new(stream);
        loop {
            let deadline = Instant::now() + Duration::from_secs(10);
            let Ok(head) = conn.read_head(deadline) else {
                return;
            };
            if !self.serving.load(Ordering::Relaxed) {
                return;
            }
            let (_, path) = head.target();
            let path = path.to_owned();
            let body = conn.read_body(&head, deadline, |_| {});
            if body != BodyEnd::Whole {
                return;
            }
            let whole = match path.as_str() {
                "/-/report" => self.report(&mut conn),
                "/health" => self.answer(&mut conn, "200 OK", &[("X-Instance-Id", &self.id)], "ok"),
                _ => self.work(&mut conn, &head),
            };
            if !whole {
                return;
            }
        }
    }

    fn report(&self, conn: &mut Conn) -> bool {
        let running = self.running.load(Ordering::Relaxed);
        let body = format!(
            "{{\"stage\":\"both\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\"busy\":false,\"seq\":0,\"waiting\":0,\"running\":{running},\"kvUsed\":0,\"kvTotal\":494000,\"handles\":0}}"
        );
        self.answer(
            conn,
            "200 OK",
            &[("Content-Type", "application/json")],
            &body,
        )
    }

    fn answer(&self, conn: &mut Conn, status: &str, headers: &[(&str, &str)], body: &str) -> bool {
        let headers: String = headers
            .iter()
            .map(|(name, value)| format!("{name}: {value}\r\n"))
            .collect();
        let length = body.len();
        let text = format!("HTTP/1.1 {status}\r\n{headers}Keep-Alive: timeout=5\r\nContent-Length: {length}\r\n\r\n{body}");
        conn.send(text.as_bytes()).is_ok()
    }

    fn work(&self, conn: &mut Conn, head: &Head) -> bool {
        let attempt = head.header("x-attempt-id").unwrap_or("").to_owned();
        if head
            .header("x-expect-instance")
            .is_some_and(|id| id != self.id)
        {
            let headers = [("X-Attempt-Id", attempt.as_str()), ("X-Not-Run", "1")];
            return self.answer(conn, "421 Misdirected Request", &headers, "");
        }
        if self.work.events == 0 {
            return self.answer_plain(conn, &attempt);
        }
        let last = head.header("last-event-id").and_then(|v| v.parse().ok());
        let last: u64 = last.unwrap_or(0);
        self.record
            .line(format!("{} runs {attempt}, after event {last}", self.id));
        self.running.fetch_add(1, Ordering::Relaxed);
        let (whole, end) = self.stream(conn, &attempt, last);
        self.running.fetch_sub(1, Ordering::Relaxed);
        self.record
            .line(format!("{} ends its run of {attempt}: {end}", self.id));
        let run = Run {
            attempt,
            server: self.id.clone(),
            end,
        };
        self.runs.lock().expect("not poisoned").push(run);
        whole
    }

    /// Answers a request that is no stream.
    fn answer_plain(&self, conn: &mut Conn, attempt: &str) -> bool {
        self.running.fetch_add(1, Ordering::Relaxed);
        thread::sleep(self.work.interval);
        self.running.fetch_sub(1, Ordering::Relaxed);
        let run = Run {
            attempt: attempt.to_owned(),
            server: self.id.clone(),
            end: "complete".to_owned(),
        };
        self.runs.lock().expect("not poisoned").push(run);
        let seal = format!("seal-{}-{attempt}", self.id);
        let headers = [("X-Attempt-Id", attempt), ("X-Server-Seal", seal.as_str())];
        let body = "x".repeat(800);
        self.answer(conn, "200 OK", &headers, &body)
    }

    /// Writes the events after one; stops when the caller has closed its connection.
    fn stream(&self, conn: &mut Conn, attempt: &str, last: u64) -> (bool, String) {
        let head = format!(
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\nX-Server-Seal: seal-{}-{attempt}\r\nContent-Type: text/event-stream\r\nKeep-Alive: timeout=5\r\nTransfer-Encoding: chunked\r\n\r\n",
            self.id
        );
        if conn.send(head.as_bytes()).is_err() {
            return (false, "caller gone before its head".to_owned());
        }
        let mut written = 0;
        for id in last + 1..=self.work.events {
            if !self.pass(conn, self.work.interval) {
                return (false, format!("caller gone after event {}", id - 1));
            }
            let event = format!("id: {id}\ndata: piece {id} of {attempt}\n\n");
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            if conn.send(chunk.as_bytes()).is_err() {
                return (false, format!("caller gone at event {id}"));
            }
            written += 1;
            let Some((after, span)) = self.work.preempted else {
                continue;
            };
            if written == after {
                self.record
                    .line(format!("{} preempts {attempt} after event {id}", self.id));
                if !self.pass(conn, span) {
                    return (
                        false,
                        format!("caller gone while preempted after event {id}"),
                    );
                }
                self.record
                    .line(format!("{} goes on with {attempt}", self.id));
            }
        }
        let whole = conn.send(b"0\r\n\r\n").is_ok();
        (whole, "complete".to_owned())
    }

    /// Lets time pass; returns false as soon as the caller has closed its connection.
    fn pass(&self, conn: &mut Conn, span: Duration) -> bool {
        let until = Instant::now() + span;
        loop {
            if conn.is_closed() {
                return false;
            }
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return true;
            }
            thread::sleep(left.min(Duration::from_millis(20)));
        }
    }
}
