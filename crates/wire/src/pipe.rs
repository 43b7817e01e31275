//! A bounded pipe of byte chunks for a streaming HTTP body.
//!
//! If the reader is slow, the writer waits, so that the chunks do not fill the memory.

use std::io;
use std::pin::Pin;
use std::task::{ready, Context, Poll};

use async_channel::{Receiver, Sender};
use futures_lite::{AsyncRead, Stream};

/// Creates a pipe that holds at most `capacity` chunks.
pub fn pipe(capacity: usize) -> (PipeWriter, PipeReader) {
    let (sender, receiver) = async_channel::bounded(capacity);
    let reader = PipeReader {
        receiver: Box::pin(receiver),
        chunk: Vec::new(),
        start: 0,
        error: None,
    };
    (PipeWriter { sender }, reader)
}

/// The end of a pipe that chunks are written to.
#[derive(Debug, Clone)]
pub struct PipeWriter {
    sender: Sender<io::Result<Vec<u8>>>,
}

/// The error that the reader of a pipe is gone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReaderGone;

impl PipeWriter {
    /// Waits for room and sends a chunk; an empty chunk is ignored.
    pub async fn send(&self, chunk: Vec<u8>) -> Result<(), ReaderGone> {
        if chunk.is_empty() {
            return Ok(());
        }
        self.sender.send(Ok(chunk)).await.map_err(|_| ReaderGone)
    }

    /// Ends the body with an error, so that its receiver sees that it is incomplete.
    pub async fn abort(&self) {
        let error = io::Error::new(io::ErrorKind::ConnectionAborted, "the answer was cut");
        // A reader that is gone needs no error.
        let _ = self.sender.send(Err(error)).await;
    }

    /// Whether the reader is gone.
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Waits until the reader is gone.
    pub async fn closed(&self) {
        self.sender.closed().await;
    }
}

/// The end of a pipe that an HTTP body reads from.
#[derive(Debug)]
pub struct PipeReader {
    receiver: Pin<Box<Receiver<io::Result<Vec<u8>>>>>,
    chunk: Vec<u8>,
    /// How many bytes of the chunk have been read.
    start: usize,
    /// The error that follows the bytes already returned.
    error: Option<io::Error>,
}

impl AsyncRead for PipeReader {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        if let Some(e) = self.error.take() {
            return Poll::Ready(Err(e));
        }
        if self.start == self.chunk.len() {
            match ready!(self.receiver.as_mut().poll_next(cx)) {
                None => return Poll::Ready(Ok(0)),
                Some(Err(e)) => return Poll::Ready(Err(e)),
                Some(Ok(chunk)) => self.start_chunk(chunk),
            }
        }
        let mut count = self.copy_to(buffer);
        // Chunks that already wait go into the same write, so that one packet carries many tokens.
        while self.error.is_none() && count < buffer.len() {
            match self.receiver.try_recv() {
                Ok(Ok(chunk)) => self.start_chunk(chunk),
                Ok(Err(e)) => self.error = Some(e),
                Err(_) => break,
            }
            count += self.copy_to(&mut buffer[count..]);
        }
        Poll::Ready(Ok(count))
    }
}

impl PipeReader {
    /// Starts to read a chunk.
    fn start_chunk(&mut self, chunk: Vec<u8>) {
        self.chunk = chunk;
        self.start = 0;
    }

    /// Copies as much of the current chunk as fits, and returns the number of bytes.
    fn copy_to(&mut self, buffer: &mut [u8]) -> usize {
        let rest = &self.chunk[self.start..];
        let count = rest.len().min(buffer.len());
        buffer[..count].copy_from_slice(&rest[..count]);
        self.start += count;
        count
    }
}
