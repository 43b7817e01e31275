//! Peers that send without end what is no response, or a response without end.

use std::future::pending;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::OnceLock;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use snipemast_core::prelude::*;
use snipemast_net::exec::run;
use snipemast_net::{connect, PersistentConnection};

/// Starts a peer that sends a text once and another one again and again, until the connection is closed.
fn start(first: &'static str, repeated: &'static str) -> SocketAddr {
    static STARTED: OnceLock<()> = OnceLock::new();
    STARTED.get_or_init(|| {
        std::thread::spawn(|| run(pending::<()>()));
    });
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let mut request = [0; 1_024];
            let block = repeated.repeat(4_096);
            let mut sent = stream
                .read(&mut request)
                .and_then(|_| stream.write_all(first.as_bytes()));
            while sent.is_ok() {
                sent = stream.write_all(block.as_bytes());
            }
        }
    });
    address
}

fn get() -> Request<Full<Bytes>> {
    let request = Request::get("/").header("host", "test");
    request.body(Full::default()).unwrap()
}

/// Guards against a process that no other task of which runs while a peer sends heads that the HTTP library skips.
#[test]
fn head_bounded() {
    for repeated in ["HTTP/1.1 100 Continue\r\n\r\n", "\r\n", "x"] {
        let address = start("", repeated);
        smol::block_on(async {
            let mut connection = connect(address, Span::from_secs(5)).await.unwrap();
            assert!(connection.send(get()).await.is_err(), "{repeated:?}");
        });
    }
}

/// Guards against the memory of a process beside a model server that is filled by one response.
#[test]
fn body_bounded() {
    let head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
    for repeated in ["1\r\nx\r\n", "0"] {
        let address = start(head, repeated);
        let peer = PersistentConnection::new(address, Span::from_secs(5))
            .with_max_response(Size::from_mib(1));
        smol::block_on(async {
            assert!(peer.exchange(get()).await.is_err(), "{repeated:?}");
        });
    }
}

/// Guards against a connection on which bytes without end follow a complete response, and that is used again.
#[test]
fn rest_not_used() {
    let address = start("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok", "x");
    let peer = PersistentConnection::new(address, Span::from_secs(5));
    smol::block_on(async {
        for _ in 0..3 {
            let (_, body) = peer.exchange(get()).await.unwrap();
            assert_eq!(&body[..], b"ok");
        }
    });
}

/// Guards against an exchange that fails because its peer has just spoilt the kept connection, where a new one would do.
#[test]
fn spoilt_connection_replaced() {
    const ROUNDS: u32 = 2_000;
    let address = start("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok", "x");
    let peer = PersistentConnection::new(address, Span::from_secs(5));
    smol::block_on(async {
        let mut failed = 0;
        for _ in 0..ROUNDS {
            let exchanged = peer.exchange(get()).await;
            failed += u32::from(exchanged.is_err());
        }
        assert_eq!(failed, 0, "of {ROUNDS}");
    });
}
