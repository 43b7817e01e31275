//! The answer stream from an agent to an entry, in frames that name their dispatch and offset.
//!
//! A frame is a four-byte big-endian length, followed by one MessagePack [`Frame`]. A stream that
//! ends without [`Part::End`], [`Part::Failed`] or [`Part::Refused`] was cut off.

use std::fmt;

use futures_lite::{AsyncRead, AsyncReadExt, FutureExt};

use snipemast_core::prelude::*;

use crate::codec::{decode, encode_into, CodecError};

pub use snipemast_requests::{Failure, Frame, Part, RefusalReason, Tag};

/// The result of reading a frame.
pub type Result<T> = std::result::Result<T, FrameError>;

/// The largest frame that a reader accepts, in bytes.
pub const MAX_FRAME: usize = 1 << 20;

/// The size of the length before each frame, in bytes.
const LENGTH_BYTES: usize = 4;

/// The capacity reserved for a frame in addition to its data, in bytes.
const FRAME_OVERHEAD: usize = 96;

/// How many bytes are read from a stream at once.
///
/// The HTTP library can't read a chunked body into buffers of a few bytes.
const READ_BYTES: usize = 8 << 10;

/// How long a reader waits for the end of the body after the last frame.
const BODY_END_TIMEOUT: Span = Span::from_millis(20);

/// The length of the padding in the first frame of a stream, in bytes.
///
/// The HTTP library buffers the first bytes of a response until it has about this many. Without the
/// padding, an entry would not learn that its dispatch was accepted.
pub const PADDING: usize = 1_024;

/// The reason why a frame could not be read.
#[derive(Debug)]
pub enum FrameError {
    /// The stream was cut off between or within frames.
    Cut(std::io::Error),
    /// The length exceeds [`MAX_FRAME`].
    Oversized(usize),
    /// The bytes are not a frame.
    Malformed(CodecError),
}

impl fmt::Display for FrameError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Cut(e) => write!(f, "the answer stream was cut: {e}"),
            Self::Oversized(length) => write!(f, "a frame of {length} bytes is over {MAX_FRAME}"),
            Self::Malformed(e) => write!(f, "{e}"),
        }
    }
}

impl std::error::Error for FrameError {}

/// Encodes frames.
#[derive(Debug, Default)]
pub struct FrameWriter;

impl FrameWriter {
    /// Returns the bytes of a frame.
    pub fn encode(frame: &Frame) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(capacity(&frame.part));
        Self::append(frame, &mut bytes);
        bytes
    }

    /// Appends the bytes of a frame to `bytes`.
    pub fn append(frame: &Frame, bytes: &mut Vec<u8>) {
        let start = bytes.len();
        bytes.extend_from_slice(&[0; LENGTH_BYTES]);
        encode_into(frame, bytes);
        let length = (bytes.len() - start - LENGTH_BYTES) as u32;
        bytes[start..start + LENGTH_BYTES].copy_from_slice(&length.to_be_bytes());
    }

    /// Returns the bytes of the first frame of a stream, which says that the dispatch was accepted.
    pub fn accepted(id: &DispatchId) -> Vec<u8> {
        let padding = vec![0; PADDING];
        Self::encode(&Frame::new(
            Tag::for_dispatch(id),
            Part::Accepted { padding },
        ))
    }
}

/// Returns about how many bytes a frame takes.
fn capacity(part: &Part) -> usize {
    match part {
        Part::Data { bytes, .. } => bytes.len() + FRAME_OVERHEAD,
        Part::Accepted { padding } => padding.len() + FRAME_OVERHEAD,
        _ => FRAME_OVERHEAD,
    }
}

/// Whether a frame with this part is the last one of its stream.
fn is_last(part: &Part) -> bool {
    matches!(
        part,
        Part::End { .. } | Part::Failed { .. } | Part::Refused { .. }
    )
}

/// Reads frames from a byte stream.
///
/// [`FrameReader::next`] is cancel-safe: received bytes stay in the buffer of the reader, so the
/// future can be raced with a timer and dropped without losing a byte.
#[derive(Debug)]
pub struct FrameReader<R> {
    input: R,
    buffer: Vec<u8>,
    /// The start of the unread bytes in the buffer.
    start: usize,
    /// The end of the unread bytes in the buffer.
    end: usize,
    /// The last frame, while the end of the body is read.
    last: Option<Frame>,
}

impl<R: AsyncRead + Unpin> FrameReader<R> {
    /// Creates a reader of this stream.
    pub fn new(input: R) -> Self {
        Self {
            input,
            buffer: vec![0; READ_BYTES],
            start: 0,
            end: 0,
            last: None,
        }
    }

    /// Waits for the next frame and returns it.
    pub async fn next(&mut self) -> Result<Frame> {
        loop {
            if let Some(last) = self.last.take() {
                return Ok(last);
            }
            if let Some(frame) = self.try_next()? {
                if !is_last(&frame.part) {
                    return Ok(frame);
                }
                // Kept while the end is read, so that the frame is not lost if this future is dropped.
                self.last = Some(frame);
                self.read_body_end().await;
                continue;
            }
            self.make_room();
            let room = &mut self.buffer[self.end..];
            let count = self.input.read(room).await.map_err(FrameError::Cut)?;
            if count == 0 {
                return Err(FrameError::Cut(std::io::ErrorKind::UnexpectedEof.into()));
            }
            self.end += count;
        }
    }

    /// Returns the next frame if it has already been received.
    pub fn try_next(&mut self) -> Result<Option<Frame>> {
        let Some(length) = self.length() else {
            return Ok(None);
        };
        if length > MAX_FRAME {
            return Err(FrameError::Oversized(length));
        }
        let from = self.start + LENGTH_BYTES;
        let to = from + length;
        if self.end < to {
            return Ok(None);
        }
        let frame = decode(&self.buffer[from..to]).map_err(FrameError::Malformed)?;
        self.start = to;
        Ok(Some(frame))
    }

    /// Reads the end of the body after the last frame, so that the connection can be used again.
    ///
    /// Without this, every answer would leave its connection to a task that drains it later.
    /// Meanwhile the next request would open a new connection, so that a busy peer would open and
    /// close hundreds of them. After a timeout the end is not awaited any longer, because the answer
    /// is complete without it.
    async fn read_body_end(&mut self) {
        let end = async {
            let mut rest = [0; 64];
            while matches!(self.input.read(&mut rest).await, Ok(count) if count > 0) {}
        };
        let mut end = std::pin::pin!(end);
        if futures_lite::future::poll_once(&mut end).await.is_none() {
            let late = async {
                smol::Timer::after(BODY_END_TIMEOUT.as_duration()).await;
            };
            end.or(late).await;
        }
    }

    /// Returns the underlying stream; frames in the buffer are lost.
    pub fn into_inner(self) -> R {
        self.input
    }

    /// Returns the length of the next frame, once it has been received.
    fn length(&self) -> Option<usize> {
        let prefix = self.buffer[self.start..self.end].first_chunk()?;
        Some(u32::from_be_bytes(*prefix) as usize)
    }

    /// Moves the unread bytes to the front and makes room for the rest of their frame.
    fn make_room(&mut self) {
        self.buffer.copy_within(self.start..self.end, 0);
        self.end -= self.start;
        self.start = 0;
        let wanted = self.length().map_or(0, |length| length + LENGTH_BYTES);
        let room = wanted.max(self.end) + READ_BYTES;
        if self.buffer.len() < room {
            self.buffer.resize(room, 0);
        }
    }
}
