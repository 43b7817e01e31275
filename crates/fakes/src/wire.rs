//! A TCP proxy that falls silent, breaks connections, delays data and duplicates it.
//!
//! It connects two real processes on loopback and forwards bytes between them. The mode in force
//! decides for each chunk what happens to it.

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;

use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt};
use parking_lot::Mutex;
use smol::net::{TcpListener, TcpStream};
use smol::Task;

use snipemast_core::prelude::*;
use snipemast_wire::spawn;

/// How many bytes are forwarded at once.
const CHUNK_BYTES: usize = 4 << 10;
/// How often a connection checks whether it is broken off.
const CHECK_INTERVAL: Span = Span::from_millis(10);

/// How a proxy treats data.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum ProxyMode {
    /// It forwards everything.
    #[default]
    Forward,
    /// It delays each chunk.
    Delay(Span),
    /// It forwards the data of the near side to the far side twice, on two connections.
    Duplicate,
}

/// A TCP proxy to one address.
#[derive(Debug)]
pub struct FakeProxy {
    address: SocketAddr,
    state: Arc<State>,
    task: Task<()>,
}

#[derive(Debug, Default)]
struct State {
    target: Mutex<Option<SocketAddr>>,
    mode: Mutex<ProxyMode>,
    /// Connections up to this number are silent for good.
    silent: AtomicU64,
    /// Connections up to this number are broken off.
    broken: AtomicU64,
    /// The number of connections that were opened.
    opened: AtomicU64,
    /// The bytes that came back from the far side.
    carried: AtomicU64,
}

impl FakeProxy {
    /// Starts a proxy that listens on loopback and has no target yet.
    pub async fn start() -> io::Result<Self> {
        let listener = TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0))).await?;
        let address = listener.local_addr()?;
        let state = Arc::new(State::default());
        let task = spawn(accept_forever(listener, Arc::clone(&state)));
        Ok(Self {
            address,
            state,
            task,
        })
    }

    /// Returns the address where the proxy listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the address that new connections lead to.
    pub fn set_target(&self, target: SocketAddr) {
        *self.state.target.lock() = Some(target);
    }

    /// Sets the mode.
    pub fn set_mode(&self, mode: ProxyMode) {
        *self.state.mode.lock() = mode;
    }

    /// Stops forwarding on all open connections for good; new connections work.
    pub fn silence(&self) {
        let opened = self.state.opened.load(Ordering::SeqCst);
        self.state.silent.store(opened, Ordering::SeqCst);
    }

    /// Breaks off all open connections; new connections work.
    pub fn reset(&self) {
        let opened = self.state.opened.load(Ordering::SeqCst);
        self.state.broken.store(opened, Ordering::SeqCst);
    }

    /// Returns how many bytes came back from the far side.
    pub fn carried(&self) -> u64 {
        self.state.carried.load(Ordering::SeqCst)
    }

    /// Returns how many connections were opened.
    pub fn opened(&self) -> u64 {
        self.state.opened.load(Ordering::SeqCst)
    }

    /// Breaks off all connections and accepts no new one.
    pub async fn stop(self) {
        self.reset();
        self.task.cancel().await;
    }
}

async fn accept_forever(listener: TcpListener, state: Arc<State>) {
    while let Ok((near, _)) = listener.accept().await {
        let state = Arc::clone(&state);
        spawn(async move {
            // An error only means that the connection has ended.
            let _ = forward_connection(near, &state).await;
        })
        .detach();
    }
}

/// Forwards one connection in both directions until it ends.
async fn forward_connection(near: TcpStream, state: &State) -> io::Result<()> {
    let number = state.opened.fetch_add(1, Ordering::SeqCst) + 1;
    let Some(target) = *state.target.lock() else {
        return Ok(());
    };
    let far = TcpStream::connect(target).await?;
    near.set_nodelay(true)?;
    far.set_nodelay(true)?;
    let double = match *state.mode.lock() {
        ProxyMode::Duplicate => true,
        ProxyMode::Forward | ProxyMode::Delay(_) => false,
    };
    let second = match double {
        true => Some(TcpStream::connect(target).await?),
        false => None,
    };
    let there = forward(
        number,
        near.clone(),
        far.clone(),
        second.clone(),
        state,
        None,
    );
    let back = forward(number, far, near, None, state, Some(&state.carried));
    let drained = async {
        if let Some(second) = second {
            // The answer of the far side to the second copy is discarded.
            futures_lite::io::copy(second, futures_lite::io::sink()).await?;
        }
        futures_lite::future::pending::<io::Result<()>>().await
    };
    there.or(back).or(drained).await
}

/// Forwards the data of one direction until it ends or the connection is broken off.
async fn forward(
    number: u64,
    mut from: TcpStream,
    mut to: TcpStream,
    mut second: Option<TcpStream>,
    state: &State,
    count: Option<&AtomicU64>,
) -> io::Result<()> {
    let mut buffer = vec![0; CHUNK_BYTES];
    loop {
        let read = from.read(&mut buffer);
        let broken = async {
            wait_until(|| number <= state.broken.load(Ordering::SeqCst)).await;
            Err(io::ErrorKind::ConnectionReset.into())
        };
        let length = read.or(broken).await?;
        if length == 0 {
            return Ok(());
        }
        let mode = *state.mode.lock();
        if let ProxyMode::Delay(span) = mode {
            smol::Timer::after(span.as_duration()).await;
        }
        if number <= state.silent.load(Ordering::SeqCst) {
            // A silent connection ends only when it is broken off.
            wait_until(|| number <= state.broken.load(Ordering::SeqCst)).await;
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        to.write_all(&buffer[..length]).await?;
        if let Some(count) = count {
            count.fetch_add(length as u64, Ordering::SeqCst);
        }
        if let Some(second) = &mut second {
            second.write_all(&buffer[..length]).await?;
        }
    }
}

/// Waits until a condition holds.
async fn wait_until(ready: impl Fn() -> bool) {
    while !ready() {
        smol::Timer::after(CHECK_INTERVAL.as_duration()).await;
    }
}
