//! Backend servers whose answers have a spoilt head.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};

use futures_lite::AsyncReadExt;
use snipemast_config::document::ServerRole;
use snipemast_config::wishes::Action;
use snipemast_core::prelude::*;
use snipemast_servers::orders::{EngineOrder, OrderClient};
use snipemast_servers::Engine;
use snipemast_wire::Call;

const BODY: &str = "hello";
const CHUNKS: &str = "5\r\nhello\r\n0\r\n\r\n";

/// Starts a server that answers a request with these bytes and closes the connection.
fn start(answer: String) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut request = [0; 4_096];
        // A client that closes the connection first is no fault.
        let _ = stream
            .read(&mut request)
            .and_then(|_| stream.write_all(answer.as_bytes()));
    });
    address
}

/// Returns the status and the body of an answer, if it is complete.
fn receive(answer: String) -> Option<(u16, String)> {
    let engine = Engine::new(start(answer));
    let call = Call {
        method: "GET".into(),
        path: "/".into(),
        headers: Vec::new(),
        body: Vec::new(),
    };
    let process = ProcessId::new(HostId::new("host-1").unwrap(), Incarnation(1));
    let id = DispatchId::new(process, 1);
    smol::block_on(async {
        let mut answer = engine.call(&id, call).await.ok()?;
        let status = answer.status();
        let mut body = String::new();
        answer.read_to_string(&mut body).await.ok()?;
        Some((status, body))
    })
}

/// Checks that no answer is taken for a complete one.
fn assert_refused(answers: impl IntoIterator<Item = String>) {
    let taken: Vec<_> = answers
        .into_iter()
        .filter_map(|answer| receive(answer.clone()).map(|got| (answer, got)))
        .collect();
    assert!(taken.is_empty(), "{taken:#?}");
}

/// Guards against clients that refuse what sound servers send.
#[test]
fn sound_heads() {
    let answers = [
        format!("HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\n{BODY}"),
        format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{CHUNKS}"),
    ];
    for answer in answers {
        let got = receive(answer.clone());
        assert_eq!(got, Some((200, BODY.to_owned())), "{answer:?}");
    }
}

/// Guards against an answer with a spoilt length or line, whose body would look whole and be another one than the server's.
#[test]
fn spoilt_body() {
    let lines = [
        "content-length: 5x",
        "content-length: ",
        "content-length: -5",
        "content-length: 3",
        "content-length: 8",
        "content-length: 5\r\ncontent-length: 3",
        "content-lenght: 5",
        "content-length 5",
        "content-length : 5",
        "no field\r\ncontent-length: 5",
        "x\u{1}y: z\r\ncontent-length: 5",
        "x: y\n\ncontent-length: 5",
    ];
    assert_refused(lines.map(|line| format!("HTTP/1.1 200 OK\r\n{line}\r\n\r\n{BODY}")));
    let lines = [
        "transfer-encoding: chunkex",
        "transfer-encoding: gzip, chunked",
        "transfer-encoding: chunked\r\ncontent-length: 5",
    ];
    assert_refused(lines.map(|line| format!("HTTP/1.1 200 OK\r\n{line}\r\n\r\n{CHUNKS}")));
}

/// Guards against a process that ends because a server's answer has a status that the HTTP library doesn't know.
#[test]
fn spoilt_status() {
    let statuses = [
        "000", "099", "101", "299", "600", "999", "2x0", "20", "2000",
    ];
    assert_refused(
        statuses.map(|status| format!("HTTP/1.1 {status} OK\r\ncontent-length: 5\r\n\r\n{BODY}")),
    );
}

/// Guards against an agent that ends because the answer to an order has a status that the HTTP library doesn't know.
#[test]
fn spoilt_order_status() {
    for status in ["000", "299", "999"] {
        let address = start(format!("HTTP/1.1 {status} OK\r\ncontent-length: 0\r\n\r\n"));
        let order = EngineOrder {
            id: "order-1".parse().unwrap(),
            fence: Fence(1),
            action: Action::Role {
                role: ServerRole::Whole,
            },
        };
        let client = OrderClient::new(address);
        let outcome = smol::block_on(client.forward(&order, Span::from_secs(5)));
        assert!(outcome.is_err(), "{status}: {outcome:?}");
    }
}

/// Guards against an answer that ends inside its head and is taken for one with an empty or a short body.
#[test]
fn cut_head() {
    let whole = format!("HTTP/1.1 200 OK\r\nx: y\r\ncontent-length: 5\r\n\r\n{BODY}");
    assert_refused((0..whole.len()).map(|end| whole[..end].to_owned()));
}
