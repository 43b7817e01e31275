//! Connections without a request in progress.

use std::future::pending;
use std::sync::OnceLock;

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, Response};
use smol::io::{AsyncReadExt, AsyncWriteExt};
use snipemast_core::prelude::*;
use snipemast_net::exec::{pause, run, spawn};
use snipemast_net::{
    connect, serve_gated, socket, Connection, CutAnswer, Gate, IdleLimits, OpenConnections,
    SocketTimeouts,
};

/// Reads all connections, and keeps at most this many open.
struct SmallGate {
    most: usize,
    limits: IdleLimits,
}

const PATIENT: IdleLimits = IdleLimits {
    idle: Span::from_secs(600),
    header: Span::from_secs(600),
    stall: Span::from_secs(600),
};

impl Gate for SmallGate {
    fn needs_measure(&self) -> bool {
        false
    }

    fn record_turn(&mut self, _delay: Span) {}

    fn timeouts(&self) -> SocketTimeouts {
        SocketTimeouts::without_ack(9)
    }

    fn cut_handler(&self) -> impl Fn(std::net::SocketAddr, &CutAnswer) + Send + 'static {
        |_, _: &CutAnswer| {}
    }

    fn admits(&mut self, open: usize) -> bool {
        open < self.most
    }

    fn is_full(&self, open: usize) -> bool {
        open >= self.most
    }

    fn checks_idle(&self) -> bool {
        true
    }

    fn idle_limits(&mut self, _busy: usize) -> Option<IdleLimits> {
        Some(self.limits)
    }
}

/// The size of the answers to `/large`: more than the operating system buffers for a peer that doesn't read.
const LARGE: usize = 16 << 20;

/// Starts a server whose answers to `/slow` never come, and returns its address.
fn start(most: usize, limits: IdleLimits) -> std::net::SocketAddr {
    start_observed(most, limits).0
}

/// Does the same, and returns its connections as well.
fn start_observed(most: usize, limits: IdleLimits) -> (std::net::SocketAddr, OpenConnections) {
    static STARTED: OnceLock<()> = OnceLock::new();
    STARTED.get_or_init(|| {
        std::thread::spawn(|| run(pending::<()>()));
    });
    let listener =
        smol::block_on(async { socket::listen("127.0.0.1:0".parse().unwrap()).unwrap() });
    let address = listener.local_addr().unwrap();
    let gate = SmallGate { most, limits };
    let connections = OpenConnections::default();
    let handler = |request: Request<_>, _| async move {
        if request.uri().path() == "/slow" {
            pending::<()>().await;
        }
        let large = request.uri().path() == "/large";
        let body = match large {
            true => Bytes::from(vec![b'x'; LARGE]),
            false => Bytes::from("answer"),
        };
        Response::new(Full::new(body))
    };
    spawn(serve_gated(listener, gate, connections.clone(), handler)).detach();
    (address, connections)
}

/// Asks for a large answer, and reads only the beginning of it.
async fn begin_large(address: std::net::SocketAddr) -> smol::net::TcpStream {
    let mut stream = smol::net::TcpStream::connect(address).await.unwrap();
    let request = b"GET /large HTTP/1.1\r\nhost: test\r\n\r\n";
    stream.write_all(request).await.unwrap();
    let mut status = [0; 12];
    stream.read_exact(&mut status).await.unwrap();
    assert_eq!(&status, b"HTTP/1.1 200");
    stream
}

/// Reads until the connection ends or this many bytes have come; returns their number.
async fn read_on(stream: &mut smol::net::TcpStream, most: usize) -> usize {
    let (mut total, mut buffer) = (0, vec![0; 64 << 10]);
    while total < most {
        match stream.read(&mut buffer).await {
            Ok(0) | Err(_) => break,
            Ok(length) => total += length,
        }
    }
    total
}

async fn open(address: std::net::SocketAddr) -> Connection {
    connect(address, Span::from_secs(5)).await.unwrap()
}

async fn is_answered(connection: &mut Connection) -> bool {
    let request = Request::get("/").header("host", "test");
    let sent = connection
        .send(request.body(Full::default()).unwrap())
        .await;
    match sent {
        Ok(response) => {
            use http_body_util::BodyExt;
            response.into_body().collect().await.is_ok()
        }
        Err(_) => false,
    }
}

/// Waits until the peer has closed a connection.
async fn closed(connection: &Connection) {
    while connection.is_ready() {
        pause(Span::from_millis(20)).await;
    }
}

/// Guards against a server that takes no new connection, as idle ones fill it: the one that has been idle for longest goes.
#[test]
fn longest_idle_goes() {
    let address = start(3, PATIENT);
    smol::block_on(async {
        let (mut first, mut second, mut third) = (
            open(address).await,
            open(address).await,
            open(address).await,
        );
        for connection in [&mut second, &mut first, &mut third] {
            assert!(is_answered(connection).await);
            pause(Span::from_millis(20)).await;
        }
        let mut fourth = open(address).await;
        assert!(is_answered(&mut fourth).await);
        closed(&second).await;
        assert!(is_answered(&mut first).await);
        assert!(is_answered(&mut third).await);
    });
}

/// Guards against a request that is lost because its connection counts as idle.
#[test]
fn busy_one_stays() {
    let address = start(1, PATIENT);
    smol::block_on(async {
        let mut busy = open(address).await;
        let request = Request::get("/slow").header("host", "test");
        let request = request.body(Full::default()).unwrap();
        let waiting = smol::spawn(async move { busy.send(request).await.is_ok() });
        pause(Span::from_millis(200)).await;
        let mut other = open(address).await;
        assert!(!is_answered(&mut other).await);
        assert!(!waiting.is_finished());
    });
}

/// Guards against idle connections that are never closed.
#[test]
fn idle_one_closed() {
    let limits = IdleLimits {
        idle: Span::from_millis(300),
        ..PATIENT
    };
    let address = start(100, limits);
    smol::block_on(async {
        let mut connection = open(address).await;
        assert!(is_answered(&mut connection).await);
        closed(&connection).await;
    });
}

/// Guards against heads of requests that come byte by byte and hold a connection for ever.
#[test]
fn slow_head_closed() {
    let limits = IdleLimits {
        header: Span::from_millis(300),
        ..PATIENT
    };
    let address = start(100, limits);
    smol::block_on(async {
        let mut idle = open(address).await;
        assert!(is_answered(&mut idle).await);
        let mut slow = smol::net::TcpStream::connect(address).await.unwrap();
        let writing = slow.clone();
        let trickle = smol::spawn(async move {
            let mut writing = writing;
            for byte in b"GET / HTTP/1.1\r\nx-long: "
                .iter()
                .chain([b'a'; 10_000].iter())
            {
                if writing.write_all(&[*byte]).await.is_err() {
                    return;
                }
                pause(Span::from_millis(10)).await;
            }
        });
        let mut answer = Vec::new();
        // A reset ends the read as well.
        let _ = slow.read_to_end(&mut answer).await;
        assert!(answer.is_empty());
        trickle.cancel().await;
        assert!(is_answered(&mut idle).await);
    });
}

/// Guards against an answer that is lost because its connection counts as idle while its caller reads slowly: a place is
/// needed, the limit on idle connections is over, or the process ends once nothing is in progress.
#[test]
fn unread_answer_stays() {
    let limits = IdleLimits {
        idle: Span::from_millis(300),
        ..PATIENT
    };
    let (address, connections) = start_observed(1, limits);
    smol::block_on(async {
        let mut slow = begin_large(address).await;
        pause(Span::from_millis(1_500)).await;
        let mut other = open(address).await;
        assert!(!is_answered(&mut other).await);
        assert_eq!(connections.busy_count(), 1);
        assert!(read_on(&mut slow, LARGE).await >= LARGE);
        while connections.busy_count() > 0 {
            pause(Span::from_millis(20)).await;
        }
    });
}

/// Guards against connections that callers hold for ever by reading nothing, and against an answer that looks complete then.
#[test]
fn stalled_closed() {
    let limits = IdleLimits {
        stall: Span::from_millis(300),
        ..PATIENT
    };
    let (address, connections) = start_observed(100, limits);
    smol::block_on(async {
        let mut slow = begin_large(address).await;
        while connections.busy_count() > 0 {
            pause(Span::from_millis(20)).await;
        }
        assert!(read_on(&mut slow, usize::MAX).await < LARGE);
    });
}
