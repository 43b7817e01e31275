//! Connections without a request in progress.

use std::future::pending;
use std::sync::OnceLock;

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, Response};
use snipemast_core::prelude::*;
use snipemast_net::exec::{pause, run, spawn};
use snipemast_net::{connect, serve_gated, socket, Connection, Gate, IdleLimits};

/// Reads all connections, and keeps at most this many open.
struct SmallGate {
    most: usize,
    limits: IdleLimits,
}

const PATIENT: IdleLimits = IdleLimits {
    idle: Span::from_secs(600),
    header: Span::from_secs(600),
};

impl Gate for SmallGate {
    fn needs_measure(&self) -> bool {
        false
    }

    fn record_turn(&mut self, _delay: Span) {}

    fn ack_timeout(&self) -> Span {
        socket::ACK_TIMEOUT
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

/// Starts a server whose answers to `/slow` never come, and returns its address.
fn start(most: usize, limits: IdleLimits) -> std::net::SocketAddr {
    static STARTED: OnceLock<()> = OnceLock::new();
    STARTED.get_or_init(|| {
        std::thread::spawn(|| run(pending::<()>()));
    });
    let listener =
        smol::block_on(async { socket::listen("127.0.0.1:0".parse().unwrap()).unwrap() });
    let address = listener.local_addr().unwrap();
    let gate = SmallGate { most, limits };
    let serving = serve_gated(listener, gate, |request: Request<_>, _| async move {
        if request.uri().path() == "/slow" {
            pending::<()>().await;
        }
        Response::new(Full::new(Bytes::from("answer")))
    });
    spawn(serving).detach();
    address
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
    use smol::io::{AsyncReadExt, AsyncWriteExt};
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
