//! A stand-in for the clients of streams.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::fleet::Record;
use crate::http::{BodyEnd, Conn};

/// The key of the tenant.
pub const KEY: &str = "n2ctnfzs989anu6wsjnb";

/// What a client saw of a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Seen {
    /// All events in order, and the end.
    Complete,
    /// The connection ended without a complete answer, after this many events.
    Cut(u64),
    /// The client gave up, after this many events.
    GaveUp(u64),
    /// Another status.
    Status(u16),
    /// No connection.
    Unconnected,
}

/// A stream that a client asks for.
#[derive(Debug, Clone)]
pub struct Ask {
    /// The path.
    pub path: String,
    /// The id of the attempt.
    pub attempt: String,
    /// The number of events of a whole answer.
    pub events: u64,
    /// How long the client waits in all.
    pub deadline: Duration,
    /// The longest pause between two events before it gives up.
    pub gap: Duration,
}

/// Asks for a stream on a new connection and reads it to its end.
pub fn ask(front: SocketAddr, ask: &Ask, record: &Record) -> Seen {
    let conn = match Conn::open(front) {
        Ok(conn) => conn,
        Err(_) => return Seen::Unconnected,
    };
    ask_on(conn, ask, record)
}

/// Asks for a stream on an open connection and reads it to its end.
pub fn ask_on(mut conn: Conn, ask: &Ask, record: &Record) -> Seen {
    let body = "{\"prompt\":\"summarise\"}";
    let text = format!(
        "POST {} HTTP/1.1\r\nHost: ficu95.example\r\nX-Attempt-Id: {}\r\nX-Model: m\r\nX-Token-Count: 835,158\r\nX-Prompt-Prefix: 5c1e07a2:40,{}:795\r\nX-Deadline-Ms: {}\r\nAuthorization: Bearer {KEY}\r\nContent-Length: {}\r\n\r\n{body}",
        ask.path, ask.attempt, ask.attempt, ask.deadline.as_millis(), body.len()
    );
    let end = Instant::now() + ask.deadline;
    record.line(format!("client sends {} {}", ask.attempt, ask.path));
    if conn.send(text.as_bytes()).is_err() {
        return Seen::Cut(0);
    }
    let seen = read(&mut conn, ask, end);
    record.line(format!("client of {} sees {seen:?}", ask.attempt));
    seen
}

fn read(conn: &mut Conn, ask: &Ask, end: Instant) -> Seen {
    let head = match conn.read_head(end.min(Instant::now() + ask.gap)) {
        Ok(head) => head,
        Err(BodyEnd::TimedOut) => return Seen::GaveUp(0),
        Err(_) => return Seen::Cut(0),
    };
    if head.status() != 200 {
        conn.read_body(&head, end, |_| {});
        return Seen::Status(head.status());
    }
    // The body is read part by part, each within the gap that the client bears.
    let mut events = 0;
    let mut text = Vec::new();
    let result = conn.read_body_within(&head, end, ask.gap, |part| text.extend_from_slice(part));
    let text = String::from_utf8_lossy(&text).into_owned();
    for line in text.lines() {
        if let Some(id) = line.strip_prefix("id:") {
            let id: u64 = id.trim().parse().unwrap_or(0);
            if id == events + 1 {
                events = id;
            }
        }
    }
    match result {
        BodyEnd::Whole if events == ask.events => Seen::Complete,
        BodyEnd::TimedOut => Seen::GaveUp(events),
        _ => Seen::Cut(events),
    }
}

/// Asks for a plain answer on a new connection; returns its status, or 0 if there is none.
pub fn get(front: SocketAddr, path: &str, attempt: &str, deadline: Duration) -> u16 {
    let end = Instant::now() + deadline;
    let Ok(mut conn) = Conn::open(front) else {
        return 0;
    };
    let text = format!(
        "GET {path} HTTP/1.1\r\nHost: ficu95.example\r\nX-Attempt-Id: {attempt}\r\nX-Deadline-Ms: {}\r\nAuthorization: Bearer {KEY}\r\nConnection: close\r\n\r\n",
        deadline.as_millis()
    );
    if conn.send(text.as_bytes()).is_err() {
        return 0;
    }
    let Ok(head) = conn.read_head(end) else {
        return 0;
    };
    match conn.read_body(&head, end, |_| {}) {
        BodyEnd::Whole => head.status(),
        _ => 0,
    }
}
