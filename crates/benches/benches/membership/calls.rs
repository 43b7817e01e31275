//! Measures what one HTTP call of membership costs besides its messages, on loopback.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;

use trillium::{async_trait, Conn, Handler};

use snipemast_core::prelude::*;
use snipemast_wire::serve::{read_message, reply};
use snipemast_wire::{listen, Packed, Peer};

/// Length of the text in a message of usual size.
const BODY: usize = 120;

/// The costs of one call.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Calls {
    /// Bytes of the HTTP heads, in both directions.
    pub(crate) heads: f64,
    /// CPU time of one side, in microseconds.
    pub(crate) cpu_us: f64,
}

struct Echo;

#[async_trait]
impl Handler for Echo {
    async fn run(&self, mut conn: Conn) -> Conn {
        let asked = read_message::<Packed>(&mut conn).await;
        reply(conn, &asked)
    }
}

/// Measures the CPU time over `count` calls, and the heads over 20.
pub(crate) fn measure(count: u64) -> Calls {
    smol::block_on(async {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let server = listen(any, Echo).await.expect("a port is free");
        let bytes = Packed::new(&vec!["x".repeat(BODY)]);
        let counted = Arc::new(AtomicU64::new(0));
        let relay = Peer::new(relay(server.address(), Arc::clone(&counted)));
        run(&relay, &bytes, 1).await;
        counted.store(0, Ordering::SeqCst);
        run(&relay, &bytes, 20).await;
        let body = 2.0 * bytes.size() as f64;
        let heads = counted.load(Ordering::SeqCst) as f64 / 20.0 - body;
        let direct = Peer::new(server.address());
        run(&direct, &bytes, 50).await;
        let before = cpu_us();
        run(&direct, &bytes, count).await;
        let cpu_us = (cpu_us() - before) / count as f64 / 2.0;
        Calls { heads, cpu_us }
    })
}

async fn run(peer: &Peer, bytes: &Packed, count: u64) {
    for _ in 0..count {
        let answer = peer.call::<_, Packed>("/echo", bytes, Span::from_secs(5));
        answer.await.expect("the echo answers");
    }
}

/// Starts a relay that forwards connections to the server and counts their bytes; returns its address.
fn relay(server: SocketAddr, counted: Arc<AtomicU64>) -> SocketAddr {
    let listener = TcpListener::bind(("127.0.0.1", 0)).expect("a port is free");
    let address = listener.local_addr().expect("the listener is bound");
    std::thread::spawn(move || {
        for client in listener.incoming().flatten() {
            let Ok(server) = TcpStream::connect(server) else {
                return;
            };
            let ends = (client.try_clone(), server.try_clone());
            let (Ok(client2), Ok(server2)) = ends else {
                return;
            };
            for (from, to) in [(client, server), (server2, client2)] {
                let counted = Arc::clone(&counted);
                std::thread::spawn(move || copy(from, to, &counted));
            }
        }
    });
    address
}

fn copy(mut from: TcpStream, mut to: TcpStream, counted: &AtomicU64) {
    let mut buffer = [0; 4_096];
    while let Ok(count) = from.read(&mut buffer) {
        if count == 0 || to.write_all(&buffer[..count]).is_err() {
            return;
        }
        counted.fetch_add(count as u64, Ordering::SeqCst);
    }
}

/// Returns the CPU time of this process, in microseconds.
fn cpu_us() -> f64 {
    let text = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let fields = text.rsplit(')').next().unwrap_or_default();
    let ticks = fields.split_whitespace().skip(11).take(2);
    let ticks: f64 = ticks.filter_map(|n| n.parse::<f64>().ok()).sum();
    // Assumes ticks of a hundredth of a second, as on all our Linux hosts.
    ticks * 10_000.0
}
