//! Options of the sockets that carry requests.

use std::io;
use std::net::{SocketAddr, TcpListener as StdListener};
use std::time::Duration;

use rustix::net::sockopt;
use smol::net::{TcpListener, TcpStream};

use snipemast_core::prelude::*;

/// How long written bytes may stay unacknowledged: several retransmissions on a link that
/// loses packets, and below the shortest bound after which callers give a silent stream up (2 s).
pub const ACK_TIMEOUT: Span = Span::from_millis(1_500);

/// How long a connection may be silent before it is probed.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(1);

/// The pause between two probes, and how many go unanswered before the connection is dead.
const KEEPALIVE_PAUSE: Duration = Duration::from_secs(1);
const KEEPALIVE_COUNT: u32 = 2;

/// Sets a connection's options; written bytes may stay unacknowledged for so long.
///
/// Failure guarded against: the peer's host loses power or is cut off, or something on the way
/// forgets the connection. Nothing comes any more, not even a reset, and a read waits for good.
/// Probes and the bound on unacknowledged bytes turn the silence into an error within some 3 s.
pub fn set_options(stream: &TcpStream, ack_timeout: Span) -> io::Result<()> {
    stream.set_nodelay(true)?;
    sockopt::set_tcp_user_timeout(stream, ack_timeout.as_millis() as u32)?;
    sockopt::set_socket_keepalive(stream, true)?;
    sockopt::set_tcp_keepidle(stream, KEEPALIVE_IDLE)?;
    sockopt::set_tcp_keepintvl(stream, KEEPALIVE_PAUSE)?;
    sockopt::set_tcp_keepcnt(stream, KEEPALIVE_COUNT)?;
    Ok(())
}

/// Listens at an address.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let listener = StdListener::bind(address)?;
    listener.set_nonblocking(true)?;
    let listener = smol::Async::new(listener)?;
    Ok(listener.into())
}

/// Opens a connection with its options set, on which written bytes may stay unacknowledged for so long.
pub async fn open(address: SocketAddr, limit: Span, ack_timeout: Span) -> io::Result<TcpStream> {
    let stream = crate::within(limit, TcpStream::connect(address))
        .await
        .unwrap_or_else(|| Err(io::ErrorKind::TimedOut.into()))?;
    set_options(&stream, ack_timeout)?;
    // Failure guarded against: a request is given up that its peer's host, which stands still, has not read; on
    // a plain close its bytes stay there and are worked on when the host wakes up. A reset takes them back.
    sockopt::set_socket_linger(&stream, Some(Duration::ZERO))?;
    Ok(stream)
}
