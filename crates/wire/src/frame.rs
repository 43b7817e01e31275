//! The answer stream from agent to entry: frames that name their dispatch and offset.
//!
//! Each frame is a four-byte big-endian length and one MessagePack [`Frame`]. A stream that
//! ends without [`Frame::End`], [`Frame::Failed`] or [`Frame::Refused`] was cut.

use std::fmt;

use futures_lite::io::BufReader;
use futures_lite::{AsyncRead, AsyncReadExt, FutureExt};

use snipemast_core::data;
use snipemast_core::prelude::*;

use crate::codec::{decode, encode, CodecError};
use crate::message::Header;

/// The result of reading a frame.
pub type Result<T> = std::result::Result<T, FrameError>;

/// The largest frame that a reader accepts, in bytes.
pub const MAX_FRAME: usize = 1 << 20;

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

data! {
    /// One frame of an answer.
    pub enum Frame {
        /// The dispatch stands in the ledger.
        Accepted {
            /// The attempt that the stream answers.
            id: DispatchId,
            /// Filler; see [`PADDING`].
            #[serde(with = "serde_bytes")]
            padding: Vec<u8>,
        },
        /// The backend server began to answer.
        Head {
            /// The HTTP status.
            status: u16,
            /// The headers to pass on.
            headers: Vec<Header>,
        },
        /// A piece of the answer's body.
        Data {
            /// The bytes of the body that came before.
            offset: u64,
            /// The piece.
            #[serde(with = "serde_bytes")]
            bytes: Vec<u8>,
        },
        /// The backend server is at work; nothing new.
        Beat,
        /// The body is whole.
        End {
            /// The length of the whole body.
            total: u64,
            /// The CRC-32 of the whole body.
            checksum: u32,
            /// The backend server's load, fresh.
            load: LoadReport,
        },
        /// The backend server failed in the middle.
        Failed {
            /// How.
            reason: Failure,
        },
        /// The agent refused: it did not run.
        Refused {
            /// Why.
            reason: Refused,
        },
    }

    /// How a dispatch failed on the backend server.
    #[derive(Copy)]
    #[serde(rename_all = "kebab-case")]
    pub enum Failure {
        /// The connection to the backend server broke.
        Broken,
        /// The backend server sent nothing for too long.
        Silent,
        /// The answer's time ran out.
        Late,
        /// The attempt was cancelled.
        Cancelled,
    }

    /// Why an agent refused a dispatch as not run.
    #[derive(Copy)]
    #[serde(rename_all = "kebab-case")]
    pub enum Refused {
        /// It was addressed to another incarnation.
        Incarnation,
        /// The agent drains.
        Draining,
        /// Its deadline had passed.
        Late,
        /// Its id was barred by a settle.
        Barred,
        /// The ledger is full.
        Full,
        /// The backend server does not answer.
        Unreachable,
        /// The id is not known, and nothing of it is kept.
        Unknown,
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Broken => "the connection to the backend server broke",
            Self::Silent => "the backend server went silent",
            Self::Late => "the deadline passed",
            Self::Cancelled => "the attempt was cancelled",
        })
    }
}

impl fmt::Display for Refused {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Incarnation => "addressed to another incarnation of the agent",
            Self::Draining => "the backend server is leaving",
            Self::Late => "the deadline had passed",
            Self::Barred => "the attempt was settled as not run",
            Self::Full => "the agent's ledger is full",
            Self::Unreachable => "the backend server does not answer",
            Self::Unknown => "the agent does not know the attempt",
        })
    }
}

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
        let body = encode(frame);
        let mut bytes = Vec::with_capacity(body.len() + 4);
        bytes.extend_from_slice(&(body.len() as u32).to_be_bytes());
        bytes.extend_from_slice(&body);
        bytes
    }

    /// The bytes of a stream's first frame.
    pub fn accepted(id: DispatchId) -> Vec<u8> {
        Self::encode(&Frame::Accepted {
            id,
            padding: vec![0; PADDING],
        })
    }
}

/// Reads frames off a byte stream.
#[derive(Debug)]
pub struct FrameReader<R> {
    input: BufReader<R>,
    buffer: Vec<u8>,
}

impl<R: AsyncRead + Unpin> FrameReader<R> {
    /// Reads frames from this stream.
    pub fn new(input: R) -> Self {
        Self {
            input: BufReader::with_capacity(READ_BUFFER, input),
            buffer: Vec::new(),
        }
    }

    /// The next frame.
    pub async fn next(&mut self) -> Result<Frame> {
        let mut prefix = [0; 4];
        self.input
            .read_exact(&mut prefix)
            .await
            .map_err(FrameError::Cut)?;
        let length = u32::from_be_bytes(prefix) as usize;
        if length > MAX_FRAME {
            return Err(FrameError::Oversized(length));
        }
        self.buffer.resize(length, 0);
        self.input
            .read_exact(&mut self.buffer)
            .await
            .map_err(FrameError::Cut)?;
        let frame = decode(&self.buffer).map_err(FrameError::Malformed)?;
        if matches!(
            frame,
            Frame::End { .. } | Frame::Failed { .. } | Frame::Refused { .. }
        ) {
            self.read_out().await;
        }
        Ok(frame)
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
        self.input.into_inner()
    }
}
