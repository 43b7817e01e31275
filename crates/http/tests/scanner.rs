//! Tests of the scanner of responses.

use quickcheck::quickcheck;
use snipemast_http::{HeadError, ResponseScanner};

/// Scans a response that arrives in pieces of these lengths, and returns the error and whether there is an excess.
fn scan(response: &[u8], lengths: &[u8]) -> (Option<HeadError>, bool) {
    let mut scanner = ResponseScanner::new();
    let (mut rest, mut lengths) = (response, lengths.iter().cycle());
    while !rest.is_empty() {
        let length = lengths.next().map_or(rest.len(), |l| usize::from(*l));
        let (piece, after) = rest.split_at(length.clamp(1, rest.len()));
        // The error stays, and is looked at in the end.
        let _ = scanner.push(piece);
        rest = after;
    }
    (scanner.error(), scanner.has_excess())
}

/// Returns a sound response with these headers and this body.
fn response(names: &[u8], body: &[u8]) -> Vec<u8> {
    let mut bytes = b"HTTP/1.1 200 OK\r\n".to_vec();
    for name in names {
        let long = "v".repeat(usize::from(*name));
        bytes.extend_from_slice(format!("x-header-{name}: {long}\r\n").as_bytes());
    }
    bytes.extend_from_slice(format!("Content-Length: {}\r\n\r\n", body.len()).as_bytes());
    bytes.extend_from_slice(body);
    bytes
}

quickcheck! {
    /// Guards against sound responses that are refused because of where they were cut into pieces.
    fn sound_passes(names: Vec<u8>, body: Vec<u8>, lengths: Vec<u8>) -> bool {
        scan(&response(&names, &body), &lengths) == (None, false)
    }

    /// Guards against a spoilt byte that is found or not by how the bytes arrive.
    fn pieces_alike(names: Vec<u8>, body: Vec<u8>, at: usize, byte: u8, lengths: Vec<u8>) -> bool {
        let mut bytes = response(&names, &body);
        let head = bytes.len() - body.len();
        bytes[at % head] = byte;
        let whole = scan(&bytes, &[]);
        let cut = scan(&bytes, &lengths);
        cut.0 == whole.0
    }

    /// Guards against bytes that are valid or not by how they arrive.
    fn any_bytes(bytes: Vec<u8>, lengths: Vec<u8>) -> bool {
        scan(&bytes, &lengths).0 == scan(&bytes, &[]).0
    }
}

/// Guards against a length that is too small, or an additional response that makes the first one look spoilt.
#[test]
fn excess_told_apart() {
    let of = |rest: &str| format!("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok{rest}");
    for (rest, has_excess) in [
        ("", false),
        ("HTTP/1.1 200 OK\r\n", false),
        ("\r\nHTTP/1.1 200 OK\r\n", false),
        ("HT", false),
        ("ay", true),
        ("HTML", true),
    ] {
        assert_eq!(
            scan(of(rest).as_bytes(), &[]),
            (None, has_excess),
            "{rest:?}"
        );
    }
}

/// Guards against a sound answer that is refused because an additional one behind it arrives in several reads.
#[test]
fn split_response_is_no_excess() {
    let answer = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
    for rest in [answer, "\r\nHTTP/1.1 200 OK\r\n"] {
        let bytes = format!("{answer}{rest}");
        let mut scanner = ResponseScanner::new();
        for piece in [
            &bytes[..answer.len()],
            &bytes[answer.len()..answer.len() + 9],
            &bytes[answer.len() + 9..],
        ] {
            scanner.push(piece.as_bytes()).unwrap();
        }
        assert!(!scanner.has_excess(), "{rest:?}");
    }
    let spoilt = format!("{answer}\r\nHTML");
    for length in 1..6 {
        assert_eq!(scan(spoilt.as_bytes(), &[length]), (None, true));
    }
}

/// Guards against an interim response whose headers are taken for those of the final one.
#[test]
fn interim_forgotten() {
    let interim = "HTTP/1.1 103 Early Hints\r\ncontent-length: 9\r\n\r\n";
    let last = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n";
    assert_eq!(
        scan(format!("{interim}{interim}{last}").as_bytes(), &[3]),
        (None, false)
    );
    let spoilt = format!("{interim}HTTP/1.1 000 OK\r\n");
    assert_eq!(scan(spoilt.as_bytes(), &[]).0, Some(HeadError::Status));
}
