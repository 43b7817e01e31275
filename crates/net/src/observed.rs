//! A connection whose transfers are observed.

use std::io::{self, IoSlice, Result};
use std::pin::Pin;
use std::task::{Context, Poll};

use futures_lite::{AsyncRead, AsyncWrite};
use smol::net::TcpStream;

/// Is told of what a connection transfers.
pub(crate) trait TransferObserver: Unpin {
    /// Records the bytes that arrived; an error ends the connection.
    fn record_read(&mut self, bytes: &[u8]) -> Result<()>;

    /// Records that the socket took bytes.
    fn record_write(&mut self, _length: usize) {}

    /// Records that the socket takes no bytes for now.
    fn record_stall(&mut self) {}

    /// Records that the socket has taken all bytes that were handed over.
    fn record_flush(&mut self) {}

    /// Records that the connection failed.
    fn record_error(&mut self, _kind: io::ErrorKind) {}
}

/// The number of reads in a row after which other tasks get a turn.
///
/// Failure guarded against: a peer sends bytes without end, as fast as the link bears, and the HTTP library skips them all
/// within one turn. No other task of the process would run meanwhile.
const READS_PER_TURN: u32 = 16;

/// A connection that tells an observer of its transfers.
#[derive(Debug)]
pub(crate) struct ObservedStream<O> {
    stream: TcpStream,
    observer: O,
    /// The number of reads since the connection last gave other tasks a turn.
    reads: u32,
}

impl<O: TransferObserver> ObservedStream<O> {
    pub(crate) fn new(stream: TcpStream, observer: O) -> Self {
        Self {
            stream,
            observer,
            reads: 0,
        }
    }

    fn observe_write(&mut self, written: &Poll<Result<usize>>) {
        match written {
            Poll::Ready(Ok(length)) => self.observer.record_write(*length),
            Poll::Ready(Err(e)) => self.observer.record_error(e.kind()),
            Poll::Pending => self.observer.record_stall(),
        }
    }
}

impl<O: TransferObserver> AsyncRead for ObservedStream<O> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<Result<usize>> {
        if self.reads >= READS_PER_TURN {
            self.reads = 0;
            context.waker().wake_by_ref();
            return Poll::Pending;
        }
        let read = Pin::new(&mut self.stream).poll_read(context, buffer);
        match &read {
            Poll::Ready(Ok(length)) => {
                self.reads += 1;
                self.observer.record_read(&buffer[..*length])?;
            }
            Poll::Ready(Err(e)) => self.observer.record_error(e.kind()),
            Poll::Pending => self.reads = 0,
        }
        read
    }
}

impl<O: TransferObserver> AsyncWrite for ObservedStream<O> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, buffer);
        self.observe_write(&written);
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, buffers);
        self.observe_write(&written);
        written
    }

    // The HTTP library flushes a connection only once it has handed over all bytes.
    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        let flushed = Pin::new(&mut self.stream).poll_flush(context);
        if matches!(flushed, Poll::Ready(Ok(()))) {
            self.observer.record_flush();
        }
        flushed
    }

    fn poll_close(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_close(context)
    }
}
