//! The bytes of a response as they arrive.

use crate::head::{Head, HeadError, Result};

/// The most bytes of a line that are kept: enough for a status code, a length, or a name.
const MAX_LINE: usize = 64;

/// How a further response begins.
const RESPONSE_START: &[u8] = b"HTTP/";

/// The part of a response that the next byte belongs to.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum Part {
    /// The status line, or an empty line before it.
    #[default]
    StatusLine,
    /// The headers.
    Headers,
    /// The body, of which this many bytes have arrived.
    Body(u64),
}

/// Reads the head of a response beside the HTTP library, and counts the bytes of its body.
///
/// Failures guarded against: a line feed alone ends a head early for HTTP libraries, and the rest of the head becomes the
/// body; a length that is too small makes the beginning of a body look complete.
#[derive(Debug, Default)]
pub struct ResponseScanner {
    part: Part,
    /// The beginning of the line that arrives.
    line: Vec<u8>,
    /// Whether bytes of the line were not kept.
    shortened: bool,
    /// Whether the last byte was a carriage return.
    returned: bool,
    head: Head,
    error: Option<HeadError>,
    /// How many bytes behind the body agree with [`RESPONSE_START`] so far.
    matched: usize,
    has_excess: bool,
}

impl ResponseScanner {
    /// Creates the scanner of a connection that has had no response yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Begins the response to a further request.
    pub fn restart(&mut self) {
        self.line.clear();
        self.head.clear();
        (self.part, self.error) = (Part::StatusLine, None);
        (self.shortened, self.returned) = (false, false);
        (self.matched, self.has_excess) = (0, false);
    }

    /// Returns the status of the response, if its line has arrived.
    pub fn status(&self) -> Option<u16> {
        self.head.status()
    }

    /// Returns why the head is not valid, if it isn't.
    pub fn error(&self) -> Option<HeadError> {
        self.error
    }

    /// Whether bytes that begin no further response have arrived behind a body of a known length. The length may be too
    /// small, so that they belong to the body.
    pub fn has_excess(&self) -> bool {
        self.has_excess
    }

    /// Reads the next bytes. Once a head was not valid, no later byte is read.
    pub fn push(&mut self, bytes: &[u8]) -> Result<()> {
        for (at, byte) in bytes.iter().enumerate() {
            if let Some(error) = self.error {
                return Err(error);
            }
            if let Part::Body(received) = self.part {
                self.push_body(received, &bytes[at..]);
                return Ok(());
            }
            self.error = self.push_head(*byte).err();
        }
        self.error.map_or(Ok(()), Err)
    }

    fn push_head(&mut self, byte: u8) -> Result<()> {
        let returned = std::mem::replace(&mut self.returned, byte == b'\r');
        match byte {
            b'\n' if returned => self.end_line()?,
            b'\n' => return Err(HeadError::LineEnd),
            _ if returned => return Err(HeadError::LineEnd),
            b'\r' => {}
            _ if self.line.len() < MAX_LINE => self.line.push(byte),
            _ => self.shortened = true,
        }
        Ok(())
    }

    fn end_line(&mut self) -> Result<()> {
        let whole = !std::mem::take(&mut self.shortened);
        match self.part {
            Part::StatusLine if self.line.is_empty() => {}
            Part::StatusLine => {
                self.head.push_status(&self.line)?;
                self.part = Part::Headers;
            }
            Part::Headers if self.line.is_empty() => self.end_head()?,
            Part::Headers => self.head.push_header(&self.line, whole)?,
            Part::Body(_) => {}
        }
        self.line.clear();
        Ok(())
    }

    fn end_head(&mut self) -> Result<()> {
        self.head.check()?;
        self.part = Part::Body(0);
        if self.head.is_interim() {
            self.head.clear();
            self.part = Part::StatusLine;
        }
        Ok(())
    }

    fn push_body(&mut self, received: u64, bytes: &[u8]) {
        let total = received + bytes.len() as u64;
        self.part = Part::Body(total);
        let Some(length) = self.head.length().filter(|l| *l < total) else {
            return;
        };
        let end = length.saturating_sub(received) as usize;
        self.push_rest(&bytes[end..]);
    }

    /// Reads what follows a whole body, up to the beginning of a further response.
    fn push_rest(&mut self, bytes: &[u8]) {
        for byte in bytes {
            match RESPONSE_START.get(self.matched) {
                Some(expected) if byte == expected => self.matched += 1,
                Some(_) if self.matched == 0 && byte.is_ascii_whitespace() => {}
                Some(_) => self.has_excess = true,
                None => return,
            }
        }
    }
}
