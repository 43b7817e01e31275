//! A model server that announces itself.

use std::io;
use std::net::{Shutdown, SocketAddrV4, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

use crate::http::{call, Head, Reader};

/// How often a server announces itself.
pub const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// How long a server waits for the acknowledgement of a call.
const ACK_LIMIT: Duration = Duration::from_secs(1);

/// A request that a server ran.
#[derive(Debug, Clone)]
pub struct Run {
    pub attempt: String,
    pub at: Instant,
}

/// Writes the answer to a request.
pub type Answer = dyn Fn(&Server, &Head, &mut TcpStream) -> io::Result<()> + Send + Sync;

/// A server.
pub struct Server {
    pub id: String,
    pub address: SocketAddrV4,
    pub zone: &'static str,
    service: &'static str,
    slots: u32,
    controls: Vec<SocketAddrV4>,
    sequence: AtomicU64,
    announces: AtomicBool,
    serves: AtomicBool,
    runs: Mutex<Vec<Run>>,
    connections: Mutex<Vec<TcpStream>>,
}

impl Server {
    /// Starts a server that answers requests and announces itself until it is told otherwise.
    pub fn start(
        id: &str,
        (service, slots): (&'static str, u32),
        address: SocketAddrV4,
        zone: &'static str,
        controls: Vec<SocketAddrV4>,
        answer: Arc<Answer>,
    ) -> Arc<Self> {
        let listener = TcpListener::bind(address).expect("the server's address is free");
        let server = Arc::new(Self {
            id: id.to_owned(),
            address: SocketAddrV4::new(*address.ip(), listener.local_addr().unwrap().port()),
            zone,
            service,
            slots,
            controls,
            sequence: AtomicU64::new(0),
            announces: AtomicBool::new(true),
            serves: AtomicBool::new(true),
            runs: Mutex::default(),
            connections: Mutex::default(),
        });
        let accepting = Arc::clone(&server);
        spawn(move || {
            for stream in listener.incoming().flatten() {
                if !accepting.serves.load(Ordering::SeqCst) {
                    return;
                }
                if let Ok(kept) = stream.try_clone() {
                    accepting.connections.lock().unwrap().push(kept);
                }
                let (server, answer) = (Arc::clone(&accepting), Arc::clone(&answer));
                spawn(move || {
                    // A connection that its peer closes is no fault.
                    let _ = server.serve(stream, &answer);
                });
            }
        });
        let announcing = Arc::clone(&server);
        spawn(move || {
            while announcing.announces.load(Ordering::SeqCst) {
                announcing.announce();
                sleep(HEARTBEAT);
            }
        });
        server
    }

    fn serve(&self, stream: TcpStream, answer: &Arc<Answer>) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = Reader::new(stream);
        while let Some(head) = reader.head()? {
            reader.body(&head)?;
            if head.get("x-expect-instance").is_some_and(|id| id != self.id) {
                let text = "HTTP/1.1 421 Misdirected Request\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n";
                io::Write::write_all(&mut reader.stream, text.as_bytes())?;
                continue;
            }
            if head.first.contains(" /-/report ") || head.first.contains(" /health ") {
                let body = "{\"stage\":\"both\",\"models\":[],\"busy\":false,\"seq\":0}";
                let text = format!(
                    "HTTP/1.1 200 OK\r\nx-instance-id: {}\r\ncontent-length: {}\r\n\r\n{body}",
                    self.id,
                    body.len()
                );
                io::Write::write_all(&mut reader.stream, text.as_bytes())?;
                continue;
            }
            let run = Run {
                attempt: head.get("x-attempt-id").unwrap_or("").to_owned(),
                at: Instant::now(),
            };
            self.runs.lock().unwrap().push(run);
            answer(self, &head, &mut reader.stream)?;
        }
        Ok(())
    }

    /// Returns the body of the next heartbeat.
    pub fn next_heartbeat(&self) -> String {
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":{},\
             \"state\":\"ready\",\"coldLeftMs\":0,\"stage\":\"both\",\"models\":[],\"seq\":{sequence}}}",
            self.service, self.address, self.zone, self.slots
        )
    }

    /// Sends a heartbeat to one controller after another until one acknowledges it.
    fn announce(&self) {
        let body = self.next_heartbeat();
        for to in &self.controls {
            if self.put_heartbeat(*to, &body) {
                return;
            }
        }
    }

    /// Sends a heartbeat to an address; returns whether it was acknowledged.
    pub fn put_heartbeat(&self, to: SocketAddrV4, body: &str) -> bool {
        let path = format!("/-/instances/{}", self.id);
        let answer = call(to, "PUT", &path, &[], body, ACK_LIMIT);
        answer.is_some_and(|(head, _)| head.status() / 100 == 2)
    }

    /// Ends the heartbeats, and deregisters at one controller after another until one acknowledges it; returns when.
    pub fn deregister(&self) -> Option<Instant> {
        self.announces.store(false, Ordering::SeqCst);
        let path = format!("/-/instances/{}", self.id);
        for _ in 0..3 {
            for to in &self.controls {
                let answer = call(*to, "DELETE", &path, &[], "", ACK_LIMIT);
                if answer.is_some_and(|(head, _)| head.status() / 100 == 2) {
                    return Some(Instant::now());
                }
            }
        }
        None
    }

    /// Ends the server as the end of its process does: its connections close, and new ones are refused.
    pub fn exit(&self) {
        self.announces.store(false, Ordering::SeqCst);
        self.serves.store(false, Ordering::SeqCst);
        for stream in self.connections.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        // Wakes the task that accepts connections, which then closes the listener.
        let _ = TcpStream::connect(self.address);
    }

    /// Returns the requests that it ran.
    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().unwrap().clone()
    }

    /// Returns how often it ran an attempt.
    pub fn count(&self, attempt: &str) -> usize {
        let runs = self.runs.lock().unwrap();
        runs.iter().filter(|r| r.attempt == attempt).count()
    }
}
