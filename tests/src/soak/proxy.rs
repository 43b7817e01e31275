//! A loopback proxy in front of one listener, which delays, silences and resets connections.

use std::net::SocketAddr;
use std::sync::Arc;

use event_listener::Event as Signal;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use parking_lot::Mutex;
use rustix::net::sockopt;
use smol::net::TcpStream;
use smol::Task;

use snipemast_net::exec::{pause, spawn};
use snipemast_net::socket;

use super::plan::Disturbance;

/// The size of the buffer for each direction of a connection, in bytes.
const BUFFER_SIZE: usize = 16 << 10;

/// A running proxy. Dropping it closes its listener and all connections.
#[derive(Debug)]
pub struct Proxy {
    shared: Arc<Shared>,
    _task: Task<()>,
}

#[derive(Debug)]
struct Shared {
    target: SocketAddr,
    state: Mutex<State>,
    changed: Signal,
}

#[derive(Debug, Default)]
struct State {
    disturbance: Option<Disturbance>,
    /// The number of resets so far. A connection ends once this number changes.
    resets: u64,
}

/// The direction of bytes, as seen from the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Direction {
    Inward,
    Outward,
}

impl Proxy {
    /// Starts a proxy that forwards everything.
    pub fn start(listen: SocketAddr, target: SocketAddr) -> std::io::Result<Self> {
        let listener = socket::listen(listen)?;
        let shared = Arc::new(Shared {
            target,
            state: Mutex::default(),
            changed: Signal::new(),
        });
        let task_shared = Arc::clone(&shared);
        let task = spawn(async move {
            let mut open: Vec<Task<()>> = Vec::new();
            while let Ok((caller, _)) = listener.accept().await {
                open.retain(|t| !t.is_finished());
                open.push(spawn(forward(Arc::clone(&task_shared), caller)));
            }
        });
        Ok(Self {
            shared,
            _task: task,
        })
    }

    /// Starts a disturbance of the connections, or ends it with `None`.
    pub fn disturb(&self, disturbance: Option<Disturbance>) {
        let mut state = self.shared.state.lock();
        if disturbance == Some(Disturbance::Reset) {
            state.resets += 1;
        }
        state.disturbance = disturbance;
        drop(state);
        self.shared.changed.notify(usize::MAX);
    }
}

impl Shared {
    /// Waits until bytes of a direction may be forwarded.
    async fn wait_passable(&self, direction: Direction) {
        loop {
            let changed = self.changed.listen();
            let disturbance = self.state.lock().disturbance;
            let held = match disturbance {
                Some(Disturbance::Silence) => true,
                Some(Disturbance::Inward) => direction == Direction::Inward,
                Some(Disturbance::Outward) => direction == Direction::Outward,
                Some(Disturbance::Delay(span)) => {
                    pause(span).await;
                    false
                }
                Some(Disturbance::Reset) | None => false,
            };
            if !held {
                return;
            }
            changed.await;
        }
    }

    /// Waits until connections are reset again after the reset number `since`.
    async fn wait_reset(&self, since: u64) {
        loop {
            let changed = self.changed.listen();
            if self.state.lock().resets != since {
                return;
            }
            changed.await;
        }
    }
}

/// Forwards one connection until either end closes it or it is reset.
async fn forward(shared: Arc<Shared>, caller: TcpStream) {
    let since = shared.state.lock().resets;
    shared.wait_passable(Direction::Inward).await;
    let Ok(target) = TcpStream::connect(shared.target).await else {
        reset(&caller);
        return;
    };
    // Small writes are forwarded without delay.
    let _ = (caller.set_nodelay(true), target.set_nodelay(true));
    let inward = copy_bytes(&shared, caller.clone(), target.clone(), Direction::Inward);
    let outward = copy_bytes(&shared, target.clone(), caller.clone(), Direction::Outward);
    let ended = futures_lite::future::or(inward, outward);
    let cut = async {
        shared.wait_reset(since).await;
        true
    };
    if futures_lite::future::or(ended, cut).await {
        reset(&caller);
        reset(&target);
    }
}

/// Copies bytes in one direction. Returns true if the connection broke, and false if it was closed.
async fn copy_bytes(
    shared: &Shared,
    mut from: TcpStream,
    mut to: TcpStream,
    direction: Direction,
) -> bool {
    let mut buffer = vec![0; BUFFER_SIZE];
    loop {
        let Ok(length) = from.read(&mut buffer).await else {
            return true;
        };
        shared.wait_passable(direction).await;
        if length == 0 {
            return false;
        }
        if to.write_all(&buffer[..length]).await.is_err() {
            return true;
        }
    }
}

/// Makes the close of a connection send a reset.
fn reset(stream: &TcpStream) {
    // A connection that is already closed needs no reset.
    let _ = sockopt::set_socket_linger(stream, Some(std::time::Duration::ZERO));
}
