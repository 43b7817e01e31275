//! Metrics that are sent to a statsd address.

use std::net::UdpSocket;
use std::time::Duration;

use snipemast_backing::metrics::Metrics;
use snipemast_core::prelude::*;

fn receive_lines(socket: &UdpSocket) -> Vec<String> {
    let mut buffer = [0; 2_048];
    let length = socket.recv(&mut buffer).expect("a packet");
    let text = String::from_utf8_lossy(&buffer[..length]).into_owned();
    text.lines().map(String::from).collect()
}

/// Guards against events that are counted twice, or not at all because the ring no longer keeps their records.
#[test]
fn events_counted() {
    let sink = UdpSocket::bind("127.0.0.1:0").expect("a port");
    sink.set_read_timeout(Some(Duration::from_secs(10)))
        .expect("a timeout");
    let host: HostId = "entry-0".parse().expect("a valid name");
    let ring = Ring::new(ProcessId::new(host.clone(), Incarnation::new(1)), 1);
    let mut metrics = Metrics::new(sink.local_addr().expect("bound"), &host).expect("a socket");
    // The ring keeps a single record only; the counts must not depend on it.
    for _ in 0..3 {
        ring.record(Event::RequestReceived, "r", "");
    }
    metrics.report(&ring, &[("running", 2)]);
    let first = receive_lines(&sink);
    assert_eq!(
        first,
        [
            "snipemast.RequestReceived:3|c|#host:entry-0",
            "snipemast.running:2|g|#host:entry-0"
        ]
    );
    ring.record(Event::RequestReceived, "r", "");
    metrics.report(&ring, &[]);
    assert_eq!(
        receive_lines(&sink),
        ["snipemast.RequestReceived:1|c|#host:entry-0"]
    );
}

/// Guards against a process that fails because nothing listens for its metrics.
#[test]
fn no_listener() {
    let gone = UdpSocket::bind("127.0.0.1:0")
        .expect("a port")
        .local_addr()
        .expect("bound");
    let host: HostId = "entry-0".parse().expect("a valid name");
    let ring = Ring::new(ProcessId::new(host.clone(), Incarnation::new(1)), 8);
    let mut metrics = Metrics::new(gone, &host).expect("a socket");
    for n in 0..100 {
        ring.record(Event::RequestReceived, n, "");
        metrics.report(&ring, &[("running", n)]);
    }
    assert_eq!(ring.counts(), [(Event::RequestReceived, 100)]);
}
