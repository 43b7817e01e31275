//! Tests that a body is sent directly after its head, and that no part of it is taken for a head.

use trillium::{async_trait, Conn, Handler};

use snipemast_wire::connect::client;
use snipemast_wire::{listen, ServerHandle};

/// Answers with the body that it received, except at `/expects` and `/unread`.
struct Echo;

#[async_trait]
impl Handler for Echo {
    async fn run(&self, mut conn: Conn) -> Conn {
        match conn.path() {
            "/expects" => {
                let expects = conn.request_headers().has_header("expect");
                conn.ok(expects.to_string())
            }
            "/unread" => conn.ok("unread"),
            _ => {
                let body = conn.request_body().await.read_bytes().await;
                conn.ok(body.unwrap_or_default())
            }
        }
    }
}

async fn serve_echo() -> ServerHandle {
    let any = "127.0.0.1:0".parse().expect("an address");
    listen(any, Echo).await.expect("port 0 binds")
}

/// Sends bodies to paths, one after another, and compares the answers with the expected ones.
fn check_answers(sent: Vec<(&'static str, Vec<u8>, Vec<u8>)>) {
    smol::block_on(async {
        let server = serve_echo().await;
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

/// Guards against a client that still asks for `100-continue` and waits for it.
#[test]
fn no_expectation() {
    check_answers(vec![("/expects", b"body".to_vec(), b"false".to_vec())]);
}

/// Guards against a body that arrives damaged because it does not fit into one write with its head.
#[test]
fn large_body() {
    let body: Vec<u8> = (0..300_000u32).map(|n| n as u8).collect();
    check_answers(vec![("/", body.clone(), body)]);
}

/// Guards against a caller that receives an error or the answer of another request. If a body that
/// looks like a head were taken for one, a line of it would be lost, and its pooled connection would
/// be in the wrong phase for the next request.
#[test]
fn body_like_head() {
    let body = b"POST / HTTP/1.1\r\nExpect: 100-continue\r\n\r\n".to_vec();
    let large = body.repeat(2_000);
    check_answers(vec![
        ("/", body.clone(), body.clone()),
        ("/", large.clone(), large),
        ("/", body.clone(), body),
    ]);
}

/// Guards against a caller that receives a malformed answer. The server answers without reading a
/// body that was sent nevertheless and precedes the next request on that connection.
#[test]
fn unread_body() {
    let body = b"GET /other HTTP/1.1\r\n\r\n".repeat(3);
    check_answers(vec![
        ("/unread", body.clone(), b"unread".to_vec()),
        ("/", b"next".to_vec(), b"next".to_vec()),
        ("/unread", body, b"unread".to_vec()),
        ("/", b"last".to_vec(), b"last".to_vec()),
    ]);
}
