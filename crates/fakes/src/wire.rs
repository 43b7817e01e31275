//! A TCP wire that goes silent, breaks, delays and doubles.
//!
//! It stands between two real processes on loopback and passes bytes on. What it does to a
//! connection is decided by the mode in force, piece by piece.

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

/// The bytes that are passed on at once.
const PIECE: usize = 4 << 10;
/// How often a silent connection looks whether it may go on.
const LOOK: Span = Span::from_millis(10);

/// What a wire does.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum ProxyMode {
    /// It passes everything on.
    #[default]
    Forward,
    /// It delays each piece.
    Delay(Span),
    /// It sends what comes from the near side to the far side twice, on two connections.
    Duplicate,
}

/// A TCP wire to one address.
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
    /// Connections opened up to this number are silent for good.
    silent: AtomicU64,
    /// Connections opened up to this number are broken off.
    broken: AtomicU64,
    opened: AtomicU64,
    carried: AtomicU64,
}

impl FakeProxy {
    /// A wire that listens on loopback and leads nowhere yet.
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

    /// Where the wire listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Leads to this address from now on.
    pub fn set_target(&self, target: SocketAddr) {
        *self.state.target.lock() = Some(target);
    }

    /// Does this from now on.
    pub fn set_mode(&self, mode: ProxyMode) {
        *self.state.mode.lock() = mode;
    }

    /// Passes nothing on over the connections that are open now, for good; new ones work.
    pub fn silence(&self) {
        let opened = self.state.opened.load(Ordering::SeqCst);
        self.state.silent.store(opened, Ordering::SeqCst);
    }

    /// Breaks the connections off that are open now; new ones work.
    pub fn reset(&self) {
        let opened = self.state.opened.load(Ordering::SeqCst);
        self.state.broken.store(opened, Ordering::SeqCst);
    }

    /// How many bytes came back from the far side.
    pub fn carried(&self) -> u64 {
        self.state.carried.load(Ordering::SeqCst)
    }

    /// How many connections were opened.
    pub fn opened(&self) -> u64 {
        self.state.opened.load(Ordering::SeqCst)
    }

    /// Breaks everything off and takes no new connection.
    pub async fn stop(self) {
        self.reset();
        self.task.cancel().await;
    }
}

async fn accept_forever(listener: TcpListener, state: Arc<State>) {
    while let Ok((near, _)) = listener.accept().await {
        let state = Arc::clone(&state);
        spawn(async move {
            // A connection that ends in an error is one that ended.
            let _ = carry(near, &state).await;
        })
        .detach();
    }
}

async fn carry(near: TcpStream, state: &State) -> io::Result<()> {
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
    let there = pass(
        number,
        near.clone(),
        far.clone(),
        second.clone(),
        state,
        None,
    );
    let back = pass(number, far, near, None, state, Some(&state.carried));
    let drained = async {
        if let Some(second) = second {
            // What the far side answers to the second copy reaches nobody.
            futures_lite::io::copy(second, futures_lite::io::sink()).await?;
        }
        futures_lite::future::pending::<io::Result<()>>().await
    };
    there.or(back).or(drained).await
}

async fn pass(
    number: u64,
    mut from: TcpStream,
    mut to: TcpStream,
    mut second: Option<TcpStream>,
    state: &State,
    count: Option<&AtomicU64>,
) -> io::Result<()> {
    let mut buffer = vec![0; PIECE];
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
            // Only a break ends the silence.
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

async fn wait_until(ready: impl Fn() -> bool) {
    while !ready() {
        smol::Timer::after(LOOK.as_duration()).await;
    }
}
