//! A connection whose reads are observed.

use std::io::{IoSlice, Result};
use std::pin::Pin;
use std::task::{Context, Poll};

use futures_lite::{AsyncRead, AsyncWrite};
use smol::net::TcpStream;

/// A connection that calls a function with the number of bytes of each read.
#[derive(Debug)]
pub(crate) struct ObservedStream<F> {
    stream: TcpStream,
    on_read: F,
}

impl<F: Fn(usize) + Unpin> ObservedStream<F> {
    pub(crate) fn new(stream: TcpStream, on_read: F) -> Self {
        Self { stream, on_read }
    }
}

impl<F: Fn(usize) + Unpin> AsyncRead for ObservedStream<F> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<Result<usize>> {
        let read = Pin::new(&mut self.stream).poll_read(context, buffer);
        if let Poll::Ready(Ok(length)) = &read {
            (self.on_read)(*length);
        }
        read
    }
}

impl<F: Unpin> AsyncWrite for ObservedStream<F> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, buffer)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, buffers)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_close(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_close(context)
    }
}
