//! Tests of a server that is written from `docs/SERVERS.md` alone, without any of the system's types.

use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::thread;
use std::time::Duration;

use serde_json::{json, Value};

use snipemast_tests::{answer, pause, Answer, Fleet};

/// A request as it was received.
struct Request {
    line: String,
    headers: HashMap<String, String>,
    body: Vec<u8>,
}

/// Reads a request, or returns `None` at the end of the connection.
fn read_request(reader: &mut BufReader<TcpStream>) -> Option<Request> {
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let mut headers = HashMap::new();
    loop {
        let mut header = String::new();
        reader.read_line(&mut header).ok()?;
        let Some((name, value)) = header.trim_end().split_once(':') else {
            break;
        };
        headers.insert(name.to_ascii_lowercase(), value.trim().to_string());
    }
    let length = headers
        .get("content-length")
        .and_then(|n| n.parse().ok())
        .unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    let line = line.trim_end().to_string();
    Some(Request {
        line,
        headers,
        body,
    })
}

/// Writes an answer with a length.
fn write_answer(stream: &mut TcpStream, status: &str, body: &str) -> std::io::Result<()> {
    let length = body.len();
    write!(
        stream,
        "HTTP/1.1 {status}\r\nConnection: keep-alive\r\nContent-Type: application/json\r\nContent-Length: {length}\r\n\r\n{body}"
    )
}

/// Writes one chunk of a stream.
fn write_chunk(stream: &mut TcpStream, text: &str) -> std::io::Result<()> {
    write!(stream, "{:x}\r\n{text}\r\n", text.len())
}

/// Something that the server observed.
enum Observation {
    Dispatch(String),
    Cancelled,
}

fn serve(stream: TcpStream, sender: &Sender<Observation>) -> std::io::Result<()> {
    let mut out = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_request(&mut reader) {
        let line = request.line.as_str();
        if line.starts_with("GET /engine/info ") {
            let info = json!({
                "server": "tiny",
                "offers": [
                    { "kind": "model", "model": "lector-1", "version": "1" },
                    { "kind": "service", "service": "mesa" },
                ],
                "capabilities": {},
                "slots": 4,
            });
            write_answer(&mut out, "200 OK", &info.to_string())?;
        } else if line.starts_with("POST /v1/completions ") {
            let id = request
                .headers
                .get("snipemast-dispatch")
                .cloned()
                .unwrap_or_default();
            let _ = sender.send(Observation::Dispatch(id));
            complete(&mut out, &request.body, sender)?;
        } else if line.starts_with("PUT /accounts/7?full=1 ") {
            let body = String::from_utf8_lossy(&request.body).into_owned();
            write_answer(&mut out, "201 Created", &json!({ "put": body }).to_string())?;
        } else {
            write_answer(&mut out, "404 Not Found", "{}")?;
        }
    }
    Ok(())
}

fn complete(out: &mut TcpStream, body: &[u8], sender: &Sender<Observation>) -> std::io::Result<()> {
    let body: Value = serde_json::from_slice(body)?;
    let answer = json!({ "choices": [{ "text": format!("of {}", body["model"]) }] }).to_string();
    match body["prompt"].as_str() {
        Some("cut") => {
            write!(out, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 500\r\n\r\n{answer}")?;
            Err(std::io::ErrorKind::ConnectionAborted.into())
        }
        Some("endless") => {
            write_stream_head(out)?;
            while write_chunk(out, "data: {\"choices\":[{\"text\":\"x\"}]}\n\n").is_ok() {
                thread::sleep(Duration::from_millis(5));
            }
            let _ = sender.send(Observation::Cancelled);
            Err(std::io::ErrorKind::BrokenPipe.into())
        }
        _ if body["stream"] == true => {
            write_stream_head(out)?;
            write_chunk(out, &format!("data: {answer}\n\n"))?;
            write_chunk(out, "data: [DONE]\n\n")?;
            out.write_all(b"0\r\n\r\n")
        }
        _ => write_answer(out, "200 OK", &answer),
    }
}

fn write_stream_head(out: &mut TcpStream) -> std::io::Result<()> {
    out.write_all(
        b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
    )
}

/// Starts the server, which runs until the test's process ends.
fn start_server() -> (SocketAddr, Receiver<Observation>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("bound");
    let (sender, observations) = channel();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let sender = sender.clone();
            thread::spawn(move || {
                // A broken connection ends its thread. The agent notices it as well.
                let _ = serve(stream, &sender);
            });
        }
    });
    (address, observations)
}

async fn start_fleet() -> (Fleet, Receiver<Observation>) {
    let (address, observations) = start_server();
    let mut fleet = Fleet::start().await;
    fleet.patch(json!({
        "models": { "lector-1": { "version": "1" } },
        "services": {
            "lector": { "kind": "model", "model": "lector-1" },
            "mesa": { "kind": "plain" },
        },
    }));
    fleet.add_beside("tiny", address).await;
    (fleet, observations)
}

async fn complete_with(fleet: &Fleet, prompt: &str, stream: bool) -> Answer {
    let body = json!({ "model": "lector", "prompt": prompt, "stream": stream });
    answer(
        fleet
            .request("POST", "/v1/completions")
            .with_body(body.to_string()),
    )
    .await
}

/// Guards against a page on servers that is incomplete for plain completions, or a dispatch without its id.
#[test]
fn answers_whole() {
    smol::block_on(async {
        let (fleet, observations) = start_fleet().await;
        let answer = complete_with(&fleet, "p", false).await;
        assert_eq!(answer.json()["choices"][0]["text"], "of \"lector-1\"");
        let Ok(Observation::Dispatch(id)) = observations.recv() else {
            panic!("the server saw no completion");
        };
        assert!(id.starts_with("entry-0:1:"), "{id}");
    });
}

/// Guards against a page on servers that is incomplete for streams.
#[test]
fn streams_whole() {
    smol::block_on(async {
        let (fleet, _observations) = start_fleet().await;
        let answer = complete_with(&fleet, "p", true).await;
        assert!(
            answer.body.trim_end().ends_with("data: [DONE]"),
            "{answer:?}"
        );
    });
}

/// Guards against requests to a plain service whose method, path, query, body or status is changed.
#[test]
fn serves_plainly() {
    smol::block_on(async {
        let (fleet, _observations) = start_fleet().await;
        let request = fleet.request("PUT", "/services/mesa/accounts/7?full=1");
        let created = answer(request.with_body("a record")).await;
        assert_eq!(
            (created.status, created.json()["put"].clone()),
            (201, json!("a record"))
        );
        let missing = answer(fleet.request("GET", "/services/mesa/nothing")).await;
        assert_eq!(missing.status, 404);
    });
}

/// Guards against a cut answer that looks complete to its caller. The server dies in the middle, and the
/// connection ends before the announced length.
#[test]
fn cut_is_reported() {
    smol::block_on(async {
        let (fleet, _observations) = start_fleet().await;
        let answer = complete_with(&fleet, "cut", false).await;
        assert!(answer.status >= 500, "{answer:?}");
        assert_ne!(answer.outcome.as_deref(), Some("not-run"));
    });
}

/// Guards against a server that keeps working after the caller has left.
#[test]
fn cancel_arrives() {
    smol::block_on(async {
        let (fleet, observations) = start_fleet().await;
        let body = json!({ "model": "lector", "prompt": "endless", "stream": true });
        let request = fleet
            .request("POST", "/v1/completions")
            .with_body(body.to_string());
        let mut conn = request
            .with_request_header("connection", "close")
            .await
            .expect("a stream");
        let mut bytes = [0; 64];
        let read = futures_lite::AsyncReadExt::read(&mut conn.response_body(), &mut bytes).await;
        assert!(read.is_ok_and(|count| count > 0));
        drop(conn);
        let cancelled = smol::unblock(move || {
            observations
                .iter()
                .any(|s| matches!(s, Observation::Cancelled))
        });
        assert!(cancelled.await);
        while fleet.entry.shared().running() > 0 {
            pause(5).await;
        }
    });
}
