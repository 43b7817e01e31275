//! A loopback proxy before one listener, which delays, silences and resets connections.

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

/// How much is passed on at a time.
const PIECE: usize = 16 << 10;

/// A proxy; dropping it closes its listener and all connections.
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
    now: Option<Disturbance>,
    /// Counts resets; connections of an earlier one are gone.
    resets: u64,
}

/// Which way bytes go.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Way {
    Inward,
    Outward,
}

impl Proxy {
    /// A proxy that passes everything on.
    pub fn start(listen: SocketAddr, target: SocketAddr) -> std::io::Result<Self> {
        let listener = socket::listen(listen)?;
        let shared = Arc::new(Shared {
            target,
            state: Mutex::default(),
            changed: Signal::new(),
        });
        let of_task = Arc::clone(&shared);
        let task = spawn(async move {
            let mut open: Vec<Task<()>> = Vec::new();
            while let Ok((caller, _)) = listener.accept().await {
                open.retain(|t| !t.is_finished());
                open.push(spawn(carry(Arc::clone(&of_task), caller)));
            }
        });
        Ok(Self {
            shared,
            _task: task,
        })
    }

    /// Disturbs connections from now on, or no more.
    pub fn disturb(&self, disturbance: Option<Disturbance>) {
        let mut state = self.shared.state.lock();
        if disturbance == Some(Disturbance::Reset) {
            state.resets += 1;
        }
        state.now = disturbance;
        drop(state);
        self.shared.changed.notify(usize::MAX);
    }
}

impl Shared {
    /// Waits until bytes that go one way may be passed on.
    async fn pass(&self, way: Way) {
        loop {
            let changed = self.changed.listen();
            let now = self.state.lock().now;
            let held = match now {
                Some(Disturbance::Silence) => true,
                Some(Disturbance::Inward) => way == Way::Inward,
                Some(Disturbance::Outward) => way == Way::Outward,
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

    async fn is_reset(&self, since: u64) {
        loop {
            let changed = self.changed.listen();
            if self.state.lock().resets != since {
                return;
            }
            changed.await;
        }
    }
}

/// Carries one connection until either end closes it or it is reset.
async fn carry(shared: Arc<Shared>, caller: TcpStream) {
    let since = shared.state.lock().resets;
    shared.pass(Way::Inward).await;
    let Ok(target) = TcpStream::connect(shared.target).await else {
        reset(&caller);
        return;
    };
    // Small pieces are passed on as they come.
    let _ = (caller.set_nodelay(true), target.set_nodelay(true));
    let inward = pump(&shared, caller.clone(), target.clone(), Way::Inward);
    let outward = pump(&shared, target.clone(), caller.clone(), Way::Outward);
    let ended = futures_lite::future::or(inward, outward);
    let cut = async {
        shared.is_reset(since).await;
        true
    };
    if futures_lite::future::or(ended, cut).await {
        reset(&caller);
        reset(&target);
    }
}

/// Passes bytes on one way; whether the connection broke, rather than ended.
async fn pump(shared: &Shared, mut from: TcpStream, mut to: TcpStream, way: Way) -> bool {
    let mut piece = vec![0; PIECE];
    loop {
        let Ok(length) = from.read(&mut piece).await else {
            return true;
        };
        shared.pass(way).await;
        if length == 0 {
            return false;
        }
        if to.write_all(&piece[..length]).await.is_err() {
            return true;
        }
    }
}

/// Makes the close of a connection a reset.
fn reset(stream: &TcpStream) {
    // One that is closed already needs none.
    let _ = sockopt::set_socket_linger(stream, Some(std::time::Duration::ZERO));
}
