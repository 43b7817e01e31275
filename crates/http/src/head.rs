//! The lines of a response's head.

use std::fmt;

use crate::spelling::is_misspelling;

/// The name of the header that gives the length of a body.
const LENGTH: &[u8] = b"content-length";

/// The name of the header that gives the transfer coding of a body.
const CODING: &[u8] = b"transfer-encoding";

/// Where the status code stands in a status line.
const STATUS_DIGITS: std::ops::Range<usize> = "HTTP/1.1 ".len().."HTTP/1.1 200".len();

/// The status of a response that has no body.
const NO_CONTENT: u16 = 204;

/// The status of a change of protocols, which no request of ours asks for.
const SWITCHING_PROTOCOLS: u16 = 101;

/// The result of a check.
pub type Result<T> = std::result::Result<T, HeadError>;

/// Why the head of a response is not valid.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeadError {
    /// A line ends with a line feed or a carriage return alone.
    LineEnd,
    /// The status is none that a response has.
    Status,
    /// A line is no header field.
    Field,
    /// The length of the body is not a single number, or the status allows no body.
    Length,
    /// The transfer coding is another one than chunks alone.
    Coding,
}

impl fmt::Display for HeadError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::LineEnd => "a line of the head has no valid end",
            Self::Status => "the head has no valid status",
            Self::Field => "a line of the head is no header field",
            Self::Length => "the head gives no valid length of the body",
            Self::Coding => "the head gives no valid transfer coding",
        })
    }
}

impl std::error::Error for HeadError {}

/// What the lines of a head say about the body.
///
/// Failure guarded against: the head is spoilt where it tells the length of the body. An HTTP library may take such a body
/// to end with its connection, or one of two lengths to be right, so that another body than the server's looks complete.
#[derive(Debug, Default)]
pub(crate) struct Head {
    /// The status, once its line is read.
    status: Option<u16>,
    /// The length of the body.
    length: Option<u64>,
    /// Whether the body comes in chunks.
    chunked: bool,
    /// The names that may be misspelt, each with a line feed behind it.
    names: Vec<u8>,
}

impl Head {
    /// Forgets all lines.
    pub(crate) fn clear(&mut self) {
        let mut names = std::mem::take(&mut self.names);
        names.clear();
        *self = Self {
            names,
            ..Self::default()
        };
    }

    /// Returns the status, if its line was read.
    pub(crate) fn status(&self) -> Option<u16> {
        self.status
    }

    /// Returns the length that the head gives for the body.
    pub(crate) fn length(&self) -> Option<u64> {
        self.length
    }

    /// Whether this is an interim head, which another one follows.
    pub(crate) fn is_interim(&self) -> bool {
        self.status.is_some_and(|s| s < 200)
    }

    /// Reads the status line.
    pub(crate) fn push_status(&mut self, line: &[u8]) -> Result<()> {
        let digits = line.get(STATUS_DIGITS).ok_or(HeadError::Status)?;
        let ended = line
            .get(STATUS_DIGITS.end)
            .is_none_or(|after| *after == b' ');
        let status = parse_number(digits).ok_or(HeadError::Status)?;
        let status = u16::try_from(status).map_err(|_| HeadError::Status)?;
        if !ended || !(100..600).contains(&status) || status == SWITCHING_PROTOCOLS {
            return Err(HeadError::Status);
        }
        self.status = Some(status);
        Ok(())
    }

    /// Reads a header line; `whole` says whether nothing of it is missing.
    pub(crate) fn push_header(&mut self, line: &[u8], whole: bool) -> Result<()> {
        let Some(colon) = line.iter().position(|b| *b == b':') else {
            // The name of a line that isn't whole may be longer.
            return match whole || !line.iter().all(|b| is_token(*b)) {
                true => Err(HeadError::Field),
                false => Ok(()),
            };
        };
        let (name, value) = (&line[..colon], line[colon + 1..].trim_ascii());
        if name.is_empty() || !name.iter().all(|b| is_token(*b)) {
            return Err(HeadError::Field);
        }
        if name.eq_ignore_ascii_case(LENGTH) {
            let length = parse_number(value).filter(|_| whole && self.length.is_none());
            self.length = Some(length.ok_or(HeadError::Length)?);
        } else if name.eq_ignore_ascii_case(CODING) {
            if self.chunked || !whole || !value.eq_ignore_ascii_case(b"chunked") {
                return Err(HeadError::Coding);
            }
            self.chunked = true;
        } else {
            self.names.extend_from_slice(name);
            self.names.push(b'\n');
        }
        Ok(())
    }

    /// Checks the whole head.
    pub(crate) fn check(&self) -> Result<()> {
        if self.is_interim() {
            return Ok(());
        }
        let no_content = self.status == Some(NO_CONTENT);
        match (self.length, self.chunked) {
            (Some(_), true) => Err(HeadError::Coding),
            (None, true) if no_content => Err(HeadError::Coding),
            (Some(length), false) if no_content && length > 0 => Err(HeadError::Length),
            (None, false) => self.check_spelling(),
            _ => Ok(()),
        }
    }

    /// Checks that no name is a misspelt one that would have told the length of the body.
    fn check_spelling(&self) -> Result<()> {
        for name in self.names.split(|b| *b == b'\n') {
            if is_misspelling(name, LENGTH) {
                return Err(HeadError::Length);
            }
            if is_misspelling(name, CODING) {
                return Err(HeadError::Coding);
            }
        }
        Ok(())
    }
}

/// Parses a number that has digits only.
fn parse_number(digits: &[u8]) -> Option<u64> {
    let plain = digits.iter().all(u8::is_ascii_digit);
    let text = std::str::from_utf8(digits).ok().filter(|_| plain)?;
    text.parse().ok()
}

/// Whether a byte may stand in the name of a header.
fn is_token(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&byte)
}
