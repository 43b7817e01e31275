//! A small blocking HTTP/1.1 client and the parts of a server that the stand-ins need.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// A parsed message head.
#[derive(Debug, Clone, Default)]
pub struct Head {
    /// The request or status line.
    pub line: String,
    /// The headers, with names in lower case.
    pub headers: Vec<(String, String)>,
}

impl Head {
    /// Returns the first value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(n, _)| n == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Returns the status code of a response; 0 if there is none.
    pub fn status(&self) -> u16 {
        let code = self.line.split(' ').nth(1);
        code.and_then(|c| c.parse().ok()).unwrap_or(0)
    }

    /// Returns the method and path of a request.
    pub fn target(&self) -> (&str, &str) {
        let mut words = self.line.split(' ');
        (words.next().unwrap_or(""), words.next().unwrap_or(""))
    }
}

/// A connection with a buffer for what was read ahead.
pub struct Conn {
    /// The socket.
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

/// How reading a body ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyEnd {
    /// The whole body arrived.
    Whole,
    /// The connection ended or failed before the body was whole.
    Broken,
    /// The reader's deadline passed.
    TimedOut,
}

fn is_timeout(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
    )
}

impl Conn {
    /// Wraps a socket.
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    /// Opens a connection within a second, as clients do.
    pub fn open(address: SocketAddr) -> io::Result<Self> {
        TcpStream::connect_timeout(&address, Duration::from_secs(1)).map(Self::new)
    }

    /// Writes bytes.
    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Reads more bytes before a deadline; 0 at the end of the connection.
    fn fill(&mut self, deadline: Instant) -> io::Result<usize> {
        let left = deadline.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(io::ErrorKind::TimedOut.into());
        }
        self.stream.set_read_timeout(Some(left))?;
        let mut bytes = [0; 16_384];
        let length = self.stream.read(&mut bytes)?;
        self.buffer.extend_from_slice(&bytes[..length]);
        Ok(length)
    }

    /// Reads a message head; nothing if the connection ends or the deadline passes first.
    pub fn read_head(&mut self, deadline: Instant) -> Result<Head, BodyEnd> {
        loop {
            if let Some(end) = self.buffer.windows(4).position(|w| w == b"\r\n\r\n") {
                let text: Vec<u8> = self.buffer.drain(..end + 4).collect();
                return Ok(parse_head(&String::from_utf8_lossy(&text)));
            }
            match self.fill(deadline) {
                Ok(0) => return Err(BodyEnd::Broken),
                Ok(_) => {}
                Err(e) if is_timeout(&e) => return Err(BodyEnd::TimedOut),
                Err(_) => return Err(BodyEnd::Broken),
            }
        }
    }

    fn take(&mut self, length: usize, deadline: Instant) -> Result<Vec<u8>, BodyEnd> {
        while self.buffer.len() < length {
            match self.fill(deadline) {
                Ok(0) => return Err(BodyEnd::Broken),
                Ok(_) => {}
                Err(e) if is_timeout(&e) => return Err(BodyEnd::TimedOut),
                Err(_) => return Err(BodyEnd::Broken),
            }
        }
        Ok(self.buffer.drain(..length).collect())
    }

    fn take_line(&mut self, deadline: Instant) -> Result<String, BodyEnd> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|w| w == b"\r\n") {
                let line: Vec<u8> = self.buffer.drain(..end + 2).collect();
                return Ok(String::from_utf8_lossy(&line[..end]).into_owned());
            }
            match self.fill(deadline) {
                Ok(0) => return Err(BodyEnd::Broken),
                Ok(_) => {}
                Err(e) if is_timeout(&e) => return Err(BodyEnd::TimedOut),
                Err(_) => return Err(BodyEnd::Broken),
            }
        }
    }

    /// Reads the body that follows a head, and passes each part on as it comes.
    pub fn read_body(
        &mut self,
        head: &Head,
        deadline: Instant,
        mut on_part: impl FnMut(&[u8]),
    ) -> BodyEnd {
        let chunked = head
            .header("transfer-encoding")
            .is_some_and(|v| v.to_ascii_lowercase().contains("chunked"));
        if !chunked {
            let length = head.header("content-length").and_then(|v| v.parse().ok());
            return match self.take(length.unwrap_or(0), deadline) {
                Ok(bytes) => {
                    on_part(&bytes);
                    BodyEnd::Whole
                }
                Err(end) => end,
            };
        }
        loop {
            let size = match self.take_line(deadline) {
                Ok(line) => usize::from_str_radix(line.trim(), 16).unwrap_or(0),
                Err(end) => return end,
            };
            match self.take(size + 2, deadline) {
                Ok(_) if size == 0 => return BodyEnd::Whole,
                Ok(bytes) => on_part(&bytes[..size]),
                Err(end) => return end,
            }
        }
    }

    /// Reads a chunked body before a deadline, and no longer than the gap without a part of it.
    pub fn read_body_within(
        &mut self,
        head: &Head,
        end: Instant,
        gap: Duration,
        mut on_part: impl FnMut(&[u8]),
    ) -> BodyEnd {
        if head.header("transfer-encoding").is_none() {
            return self.read_body(head, end, on_part);
        }
        loop {
            let deadline = end.min(Instant::now() + gap);
            let size = match self.take_line(deadline) {
                Ok(line) => usize::from_str_radix(line.trim(), 16).unwrap_or(0),
                Err(end) => return end,
            };
            match self.take(size + 2, deadline) {
                Ok(_) if size == 0 => return BodyEnd::Whole,
                Ok(bytes) => on_part(&bytes[..size]),
                Err(end) => return end,
            }
        }
    }

    /// Whether the peer has closed the connection, as far as is known now.
    pub fn is_closed(&mut self) -> bool {
        if self.stream.set_nonblocking(true).is_err() {
            return true;
        }
        let mut byte = [0; 1];
        let closed = match self.stream.peek(&mut byte) {
            Ok(0) => true,
            Ok(_) => false,
            Err(e) => !is_timeout(&e),
        };
        let _ = self.stream.set_nonblocking(false);
        closed
    }
}

fn parse_head(text: &str) -> Head {
    let mut lines = text.split("\r\n");
    let line = lines.next().unwrap_or("").to_owned();
    let headers = lines.filter_map(|l| {
        let (name, value) = l.split_once(':')?;
        Some((name.trim().to_ascii_lowercase(), value.trim().to_owned()))
    });
    Head {
        line,
        headers: headers.collect(),
    }
}

/// Sends one call with a JSON body on a connection of its own; returns status and body.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
    limit: Duration,
) -> Option<(u16, String)> {
    let deadline = Instant::now() + limit;
    let mut conn = Conn::open(address).ok()?;
    let length = body.len();
    let text = format!(
        "{method} {path} HTTP/1.1\r\nHost: {address}\r\nContent-Type: application/json\r\nContent-Length: {length}\r\nConnection: close\r\n\r\n{body}"
    );
    conn.send(text.as_bytes()).ok()?;
    let head = conn.read_head(deadline).ok()?;
    let mut answer = Vec::new();
    let end = conn.read_body(&head, deadline, |part| answer.extend_from_slice(part));
    (end == BodyEnd::Whole).then(|| (head.status(), String::from_utf8_lossy(&answer).into_owned()))
}
