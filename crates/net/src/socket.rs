//! Options of the sockets that carry requests.

use std::io;
use std::net::{SocketAddr, TcpListener as StdListener};
use std::time::Duration;

use rustix::net::sockopt;
use smol::net::{TcpListener, TcpStream};

use snipemast_core::prelude::*;

/// How long written bytes may stay unacknowledged: enough for several retransmissions on a link that
/// loses packets, and below the shortest time after which callers give up a silent stream (2 s).
pub const ACK_TIMEOUT: Span = Span::from_millis(1_500);

/// How long a connection may be silent before the peer is probed.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(1);

/// The interval between two probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// The number of unanswered probes after which the connection fails.
const KEEPALIVE_PROBES: u32 = 2;

/// When the operating system takes the peer of a connection for gone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SocketTimeouts {
    /// How long written bytes may stay unacknowledged. A peer that reads nothing for so long counts as gone as well, even
    /// if it acknowledges every probe.
    ack: Option<Span>,
    /// The number of unanswered probes, one a second, after which a silent peer is gone.
    probes: u32,
}

impl SocketTimeouts {
    /// Creates the timeouts of a connection whose peer reads what it gets at once.
    pub const fn new(ack: Span) -> Self {
        Self {
            ack: Some(ack),
            probes: KEEPALIVE_PROBES,
        }
    }

    /// Creates the timeouts of a connection whose peer may pause reading for any time. They end it only if the peer answers
    /// no probe while nothing is to be sent.
    pub const fn without_ack(probes: u32) -> Self {
        Self { ack: None, probes }
    }
}

/// Sets a connection's options.
///
/// Failure guarded against: the peer's host loses power or is cut off, or a device on the path drops
/// the state of the connection. No packet arrives any more, not even a reset, and a read waits
/// forever. Probes and the limit on unacknowledged bytes turn the silence into an error.
pub fn set_options(stream: &TcpStream, timeouts: SocketTimeouts) -> io::Result<()> {
    stream.set_nodelay(true)?;
    if let Some(ack) = timeouts.ack {
        sockopt::set_tcp_user_timeout(stream, ack.as_millis() as u32)?;
    }
    sockopt::set_socket_keepalive(stream, true)?;
    sockopt::set_tcp_keepidle(stream, KEEPALIVE_IDLE)?;
    sockopt::set_tcp_keepintvl(stream, KEEPALIVE_INTERVAL)?;
    sockopt::set_tcp_keepcnt(stream, timeouts.probes)?;
    Ok(())
}

/// Opens a listener at an address.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let listener = StdListener::bind(address)?;
    listener.set_nonblocking(true)?;
    let listener = smol::Async::new(listener)?;
    Ok(listener.into())
}

/// Opens a connection within a time limit, with the options of [`set_options`]; closing it resets it.
pub async fn open(
    address: SocketAddr,
    limit: Span,
    timeouts: SocketTimeouts,
) -> io::Result<TcpStream> {
    let stream = crate::within(limit, TcpStream::connect(address))
        .await
        .unwrap_or_else(|| Err(io::ErrorKind::TimedOut.into()))?;
    set_options(&stream, timeouts)?;
    // Failure guarded against: a caller gives up a request that the peer's frozen host has not read. After a
    // normal close the peer would read and run it when its host resumes; a reset discards it.
    sockopt::set_socket_linger(&stream, Some(Duration::ZERO))?;
    Ok(stream)
}
