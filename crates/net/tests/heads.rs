//! Peers whose responses have a spoilt head.

use std::future::pending;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::OnceLock;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::Request;
use snipemast_core::prelude::*;
use snipemast_net::connect;
use snipemast_net::exec::run;

/// How long a response may take.
const LIMIT: Span = Span::from_secs(5);

const BODY: &str = "hello";
const CHUNKS: &str = "5\r\nhello\r\n0\r\n\r\n";

/// Starts a peer that answers a request with these bytes and closes the connection.
fn start(response: String) -> SocketAddr {
    static STARTED: OnceLock<()> = OnceLock::new();
    STARTED.get_or_init(|| {
        std::thread::spawn(|| run(pending::<()>()));
    });
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut request = [0; 1_024];
        // A peer that the client resets is no fault.
        let _ = stream
            .read(&mut request)
            .and_then(|_| stream.write_all(response.as_bytes()));
    });
    address
}

/// Returns the status and the body of a response, if it is complete.
fn receive(response: String) -> Option<(u16, Bytes)> {
    let address = start(response);
    smol::block_on(async {
        let mut connection = connect(address, LIMIT).await.unwrap();
        let request = Request::get("/").header("host", "test");
        let request = request.body(Full::default()).unwrap();
        let response = connection.send(request).await.ok()?;
        let status = response.status().as_u16();
        let body = response.into_body().collect().await.ok()?.to_bytes();
        Some((status, body))
    })
}

/// Checks that no response is taken for a complete one.
fn assert_refused(responses: impl IntoIterator<Item = String>) {
    let taken: Vec<_> = responses
        .into_iter()
        .filter_map(|response| receive(response.clone()).map(|got| (response, got)))
        .collect();
    assert!(taken.is_empty(), "{taken:#?}");
}

/// Guards against clients that refuse what sound peers send.
#[test]
fn sound_heads() {
    let responses = [
        "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhello".to_owned(),
        "HTTP/1.1 200 OK\r\nContent-Length:5 \r\n\r\nhello".to_owned(),
        "HTTP/1.0 200 OK\r\ncontent-length: 5\r\n\r\nhello".to_owned(),
        "HTTP/1.1 200\r\n\r\nhello".to_owned(),
        "\r\nHTTP/1.1 200 OK\r\nx: caf\u{e9}\tb\r\nconnection: close\r\n\r\nhello".to_owned(),
        format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\n\r\n{CHUNKS}"),
        format!("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n{CHUNKS}"),
        "HTTP/1.1 103 Early Hints\r\ncontent-length: 9\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhello".to_owned(),
        "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhello\n\nHTTP".to_owned(),
    ];
    for response in responses {
        let got = receive(response.clone());
        assert_eq!(got, Some((200, BODY.into())), "{response:?}");
    }
}

/// Guards against a response with a spoilt length or encoding that is taken for whole, with another body than the peer's.
#[test]
fn spoilt_length() {
    let lengths = [
        "",
        "1x",
        "x5",
        "-5",
        "+5",
        "0x5",
        "5.0",
        "5 5",
        "5, 6",
        "5,",
        "5;",
        "\"5\"",
        "5\r\ncontent-length: 3",
        "3\r\ncontent-length: 5",
        "99999999999999999999",
        "18446744073709551615",
        "5\r\ntransfer-encoding: chunked",
    ];
    let encodings = [
        "",
        "chunke",
        "chunkedx",
        "xchunked",
        "chunked;",
        "chunked, chunked",
        "gzip, chunked",
        "chunked, gzip",
        "identity",
        "chunked\r\ntransfer-encoding: gzip",
        "gzip\r\ntransfer-encoding: chunked",
        "chunked\r\ncontent-length: 5",
        "chunked\r\ncontent-length: 15",
    ];
    let of = |name: &str, value: &str, body: &str| {
        format!("HTTP/1.1 200 OK\r\n{name}: {value}\r\n\r\n{body}")
    };
    assert_refused(lengths.iter().flat_map(|l| {
        [
            of("content-length", l, BODY),
            of("Content-Length", l, CHUNKS),
        ]
    }));
    assert_refused(encodings.iter().flat_map(|e| {
        [
            of("transfer-encoding", e, BODY),
            of("Transfer-Encoding", e, CHUNKS),
        ]
    }));
    let misspelt = [
        "content-lenght: 5",
        "ontent-length: 5",
        "kontent-length: 5",
        "content-length-: 5",
    ];
    assert_refused(misspelt.map(|line| format!("HTTP/1.1 200 OK\r\n{line}\r\n\r\n{BODY}")));
    let misspelt = [
        "transfer-encodinq: chunked",
        "tranfer-encoding: chunked",
        "transfer_encoding: chunked",
    ];
    assert_refused(misspelt.map(|line| format!("HTTP/1.1 200 OK\r\n{line}\r\n\r\n{CHUNKS}")));
}

/// Guards against a response with a line that is no header field, which is passed on or hides the length of the body.
#[test]
fn spoilt_line() {
    let lines = [
        "no field",
        "content-length 5",
        "content-length=5",
        ": 5",
        " : 5",
        "content length: 5",
        "content-length : 5",
        " content-length: 5",
        "\tcontent-length: 5",
        "content-length\t: 5",
        "content-\u{1}length: 5",
        "x\0y: z",
        "x\u{7f}: z",
        "x: a\u{1}b",
        "x: a\0b",
        "x: a\rb",
        "x(y): z",
        "x: y\n",
        "x: y\n\ncontent-length: 5",
        "\ncontent-length: 5",
        "x: y\ncontent-length: 5",
    ];
    assert_refused(lines.iter().flat_map(|line| {
        [
            format!("HTTP/1.1 200 OK\r\nx-a: b\r\n{line}\r\n\r\n{BODY}"),
            format!("HTTP/1.1 200 OK\r\ncontent-length: 5\r\n{line}\r\n\r\n{BODY}"),
            format!("HTTP/1.1 200 OK\r\n{line}\r\ntransfer-encoding: chunked\r\n\r\n{CHUNKS}"),
        ]
    }));
    assert_refused(
        ["\n", "\r", "\n\r", " \n"]
            .map(|end| format!("HTTP/1.1 200 OK{end}content-length: 5\r\n\r\n{BODY}")),
    );
    assert_refused(
        ["\n\n", "\r\n\n", "\n\r\n"]
            .map(|end| format!("HTTP/1.1 200 OK\r\ncontent-length: 5{end}{BODY}")),
    );
}

/// Guards against a response with a spoilt status line that is passed on as an answer.
#[test]
fn spoilt_status() {
    let lines = [
        "HTTP/1.1 000 OK",
        "HTTP/1.1 099 OK",
        "HTTP/1.1 20 OK",
        "HTTP/1.1 2000 OK",
        "HTTP/1.1 2x0 OK",
        "HTTP/1.1 -20 OK",
        "HTTP/1.1 600 OK",
        "HTTP/1.1 999 OK",
        "HTTP/1.1 101 Switching Protocols",
        "HTTP/1.1  200 OK",
        "HTTP/1.1 200OK",
        "HTTP/1.2 200 OK",
        "HTTP/2.0 200 OK",
        "HTTP/0.9 200 OK",
        "HTTQ/1.1 200 OK",
        "http/1.1 200 OK",
        " HTTP/1.1 200 OK",
        "HTTP/1.1\t200 OK",
        "HTTP/1.1200 OK",
        "200 OK",
        "HTTP/1.1 200 O\u{1}K",
        "HTTP/1.1 204 No Content",
    ];
    assert_refused(lines.iter().flat_map(|line| {
        [
            format!("{line}\r\ncontent-length: 5\r\n\r\n{BODY}"),
            format!("{line}\r\ntransfer-encoding: chunked\r\n\r\n{CHUNKS}"),
        ]
    }));
}

/// Guards against a response that ends inside its head and is taken for one with an empty or a short body.
#[test]
fn cut_head() {
    for whole in [
        format!("HTTP/1.1 200 OK\r\nx-a: b\r\ncontent-length: 5\r\n\r\n{BODY}"),
        format!("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n{CHUNKS}"),
        "HTTP/1.1 200 OK\r\nx-a: b\r\n\r\n".to_owned(),
    ] {
        assert_refused((0..whole.len()).map(|end| whole[..end].to_owned()));
    }
}
