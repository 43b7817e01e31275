//! The answer stream from agent to entry: frames that name their dispatch and offset.
//!
//! Each frame is a four-byte big-endian length and one MessagePack [`Frame`]. A stream that
//! ends without [`Part::End`], [`Part::Failed`] or [`Part::Refused`] was cut.

use std::fmt;

use futures_lite::{AsyncRead, AsyncReadExt, FutureExt};

use snipemast_core::prelude::*;

use crate::codec::{decode, encode_into, CodecError};

pub use snipemast_requests::{Failure, Frame, Part, RefusalReason, Tag};

/// The result of reading a frame.
pub type Result<T> = std::result::Result<T, FrameError>;

/// The largest frame that a reader accepts, in bytes.
pub const MAX_FRAME: usize = 1 << 20;

/// The bytes of a frame's length.
const PREFIX: usize = 4;

/// Room for a frame without data.
const SMALL_FRAME: usize = 96;

/// How much is read from a stream at once.
///
/// The HTTP library can't read a chunked body into buffers of a few bytes.
const READ_BUFFER: usize = 8 << 10;

/// How long the end of the body is waited for behind the last frame.
const READ_OUT: Span = Span::from_millis(20);

/// The length of the padding in a stream's first frame.
///
/// The HTTP library holds back a response's first bytes until about this many have come;
/// without the padding an entry would not hear that its dispatch was accepted.
pub const PADDING: usize = 1_024;

/// Why a frame could not be read.
#[derive(Debug)]
pub enum FrameError {
    /// The stream was cut between or within frames.
    Cut(std::io::Error),
    /// The length is over [`MAX_FRAME`].
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

/// Turns frames into bytes.
#[derive(Debug, Default)]
pub struct FrameWriter;

impl FrameWriter {
    /// The bytes of a frame.
    pub fn encode(frame: &Frame) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(capacity(&frame.part));
        Self::append(frame, &mut bytes);
        bytes
    }

    /// Adds the bytes of a frame to those of others.
    pub fn append(frame: &Frame, bytes: &mut Vec<u8>) {
        let start = bytes.len();
        bytes.extend_from_slice(&[0; PREFIX]);
        encode_into(frame, bytes);
        let length = (bytes.len() - start - PREFIX) as u32;
        bytes[start..start + PREFIX].copy_from_slice(&length.to_be_bytes());
    }

    /// The bytes of a stream's first frame.
    pub fn accepted(id: &DispatchId) -> Vec<u8> {
        let padding = vec![0; PADDING];
        Self::encode(&Frame::new(
            Tag::for_dispatch(id),
            Part::Accepted { padding },
        ))
    }
}

/// About how many bytes a frame takes.
fn capacity(part: &Part) -> usize {
    match part {
        Part::Data { bytes, .. } => bytes.len() + SMALL_FRAME,
        Part::Accepted { padding } => padding.len() + SMALL_FRAME,
        _ => SMALL_FRAME,
    }
}

/// Whether nothing follows.
fn is_last(part: &Part) -> bool {
    matches!(
        part,
        Part::End { .. } | Part::Failed { .. } | Part::Refused { .. }
    )
}

/// Reads frames off a byte stream.
///
/// [`FrameReader::next`] may be dropped at any moment without losing a byte: what has come
/// stays in the reader's own buffer, so it can be raced with a timer.
#[derive(Debug)]
pub struct FrameReader<R> {
    input: R,
    buffer: Vec<u8>,
    start: usize,
    end: usize,
    last: Option<Frame>,
}

impl<R: AsyncRead + Unpin> FrameReader<R> {
    /// Reads frames from this stream.
    pub fn new(input: R) -> Self {
        Self {
            input,
            buffer: vec![0; READ_BUFFER],
            start: 0,
            end: 0,
            last: None,
        }
    }

    /// The next frame.
    pub async fn next(&mut self) -> Result<Frame> {
        loop {
            if let Some(last) = self.last.take() {
                return Ok(last);
            }
            if let Some(frame) = self.try_next()? {
                if !is_last(&frame.part) {
                    return Ok(frame);
                }
                // Kept until the reading is done, so that no frame is lost where it is dropped.
                self.last = Some(frame);
                self.read_out().await;
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

    /// The next frame, where it has come already.
    pub fn try_next(&mut self) -> Result<Option<Frame>> {
        let Some(length) = self.length() else {
            return Ok(None);
        };
        if length > MAX_FRAME {
            return Err(FrameError::Oversized(length));
        }
        let from = self.start + PREFIX;
        let to = from + length;
        if self.end < to {
            return Ok(None);
        }
        let frame = decode(&self.buffer[from..to]).map_err(FrameError::Malformed)?;
        self.start = to;
        Ok(Some(frame))
    }

    /// Reads the end of the body behind the last frame, so that the connection can be used again.
    ///
    /// Without it every answer left its connection to a task that drains it later; meanwhile the
    /// next request opened a new one, and a busy peer's connections came and went by the hundred.
    /// An end that does not come soon is not waited for: the answer is whole without it.
    async fn read_out(&mut self) {
        let end = async {
            let mut rest = [0; 64];
            while matches!(self.input.read(&mut rest).await, Ok(count) if count > 0) {}
        };
        let mut end = std::pin::pin!(end);
        if futures_lite::future::poll_once(&mut end).await.is_none() {
            let late = async {
                smol::Timer::after(READ_OUT.as_duration()).await;
            };
            end.or(late).await;
        }
    }

    /// The stream below; frames that were read ahead are lost.
    pub fn into_inner(self) -> R {
        self.input
    }

    /// The length of the next frame, once its prefix has come.
    fn length(&self) -> Option<usize> {
        let prefix = self.buffer[self.start..self.end].first_chunk()?;
        Some(u32::from_be_bytes(*prefix) as usize)
    }

    /// Moves the rest to the front and makes room for the frame that it begins.
    fn make_room(&mut self) {
        self.buffer.copy_within(self.start..self.end, 0);
        self.end -= self.start;
        self.start = 0;
        let wanted = self.length().map_or(0, |length| length + PREFIX);
        let room = wanted.max(self.end) + READ_BUFFER;
        if self.buffer.len() < room {
            self.buffer.resize(room, 0);
        }
    }
}
