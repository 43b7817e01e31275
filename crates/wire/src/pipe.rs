//! A bounded pipe of byte pieces, which feeds a streaming HTTP body.
//!
//! The bound is what keeps a slow reader from filling the memory: the writer waits.

use std::io;
use std::pin::Pin;
use std::task::{ready, Context, Poll};

use async_channel::{Receiver, Sender};
use futures_lite::{AsyncRead, Stream};

/// A pipe that holds at most `bound` pieces.
pub fn pipe(bound: usize) -> (PipeWriter, PipeReader) {
    let (sender, receiver) = async_channel::bounded(bound);
    let reader = PipeReader {
        receiver: Box::pin(receiver),
        piece: Vec::new(),
        start: 0,
        cut: None,
    };
    (PipeWriter { sender }, reader)
}

/// The end that pieces go into.
#[derive(Debug, Clone)]
pub struct PipeWriter {
    sender: Sender<io::Result<Vec<u8>>>,
}

/// The reader of a pipe is gone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReaderGone;

impl PipeWriter {
    /// Waits for room and sends a piece; an empty piece is passed over.
    pub async fn send(&self, piece: Vec<u8>) -> Result<(), ReaderGone> {
        if piece.is_empty() {
            return Ok(());
        }
        self.sender.send(Ok(piece)).await.map_err(|_| ReaderGone)
    }

    /// Breaks the body off, so that the receiver sees it was cut.
    pub async fn abort(&self) {
        let cut = io::Error::new(io::ErrorKind::ConnectionAborted, "the answer was cut");
        // A reader that is gone needs no word.
        let _ = self.sender.send(Err(cut)).await;
    }

    /// Whether the reader is gone.
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Ends once the reader is gone.
    pub async fn closed(&self) {
        self.sender.closed().await;
    }
}

/// The end that an HTTP body reads.
#[derive(Debug)]
pub struct PipeReader {
    receiver: Pin<Box<Receiver<io::Result<Vec<u8>>>>>,
    piece: Vec<u8>,
    start: usize,
    cut: Option<io::Error>,
}

impl AsyncRead for PipeReader {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        if let Some(e) = self.cut.take() {
            return Poll::Ready(Err(e));
        }
        if self.start == self.piece.len() {
            match ready!(self.receiver.as_mut().poll_next(cx)) {
                None => return Poll::Ready(Ok(0)),
                Some(Err(e)) => return Poll::Ready(Err(e)),
                Some(Ok(piece)) => self.hold(piece),
            }
        }
        let mut count = self.take(buffer);
        // What already waits goes out in the same write: one packet for many tokens.
        while self.cut.is_none() && count < buffer.len() {
            match self.receiver.try_recv() {
                Ok(Ok(piece)) => self.hold(piece),
                Ok(Err(e)) => self.cut = Some(e),
                Err(_) => break,
            }
            count += self.take(&mut buffer[count..]);
        }
        Poll::Ready(Ok(count))
    }
}

impl PipeReader {
    fn hold(&mut self, piece: Vec<u8>) {
        self.piece = piece;
        self.start = 0;
    }

    /// Moves as much of the present piece as fits.
    fn take(&mut self, buffer: &mut [u8]) -> usize {
        let rest = &self.piece[self.start..];
        let count = rest.len().min(buffer.len());
        buffer[..count].copy_from_slice(&rest[..count]);
        self.start += count;
        count
    }
}
