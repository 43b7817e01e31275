//! Bodies go out right behind their heads, and nothing of a body is mistaken for a head.

use trillium::{async_trait, Conn, Handler};

use snipemast_wire::connect::client;
use snipemast_wire::{listen, ServerHandle};

/// Answers with the body it got, unless the path asks for less.
struct Echo;

#[async_trait]
impl Handler for Echo {
    async fn run(&self, mut conn: Conn) -> Conn {
        match conn.path() {
            "/expects" => {
                let asked = conn.request_headers().has_header("expect");
                conn.ok(asked.to_string())
            }
            "/unread" => conn.ok("unread"),
            _ => {
                let body = conn.request_body().await.read_bytes().await;
                conn.ok(body.unwrap_or_default())
            }
        }
    }
}

async fn echo() -> ServerHandle {
    let any = "127.0.0.1:0".parse().expect("an address");
    listen(any, Echo).await.expect("port 0 binds")
}

fn check(sent: Vec<(&'static str, Vec<u8>, Vec<u8>)>) {
    smol::block_on(async {
        let server = echo().await;
        let client = client();
        for (path, body, expected) in sent {
            let url = format!("http://{}{path}", server.address());
            let mut conn = client
                .post(url.as_str())
                .with_body(body)
                .await
                .expect("an answer");
            let answer = conn
                .response_body()
                .read_bytes()
                .await
                .expect("a whole answer");
            assert_eq!(answer, expected);
        }
    });
}

#[test]
fn no_expectation() {
    check(vec![("/expects", b"body".to_vec(), b"false".to_vec())]);
}

#[test]
fn large_body() {
    let body: Vec<u8> = (0..300_000u32).map(|n| n as u8).collect();
    check(vec![("/", body.clone(), body)]);
}

// A caller sees another request's answer, or an error. A body that looks like a head reaches a
// pooled connection; were it taken for one, a line of it would be lost, and the connection would
// stand in the wrong phase for the next request.
#[test]
fn body_like_head() {
    let body = b"POST / HTTP/1.1\r\nExpect: 100-continue\r\n\r\n".to_vec();
    let large = body.repeat(2_000);
    check(vec![
        ("/", body.clone(), body.clone()),
        ("/", large.clone(), large),
        ("/", body.clone(), body),
    ]);
}

// A caller sees a malformed answer. The server answers without reading the body, which was sent
// all the same and lies in front of the next request on that connection.
#[test]
fn unread_body() {
    let body = b"GET /other HTTP/1.1\r\n\r\n".repeat(3);
    check(vec![
        ("/unread", body.clone(), b"unread".to_vec()),
        ("/", b"next".to_vec(), b"next".to_vec()),
        ("/unread", body, b"unread".to_vec()),
        ("/", b"last".to_vec(), b"last".to_vec()),
    ]);
}
