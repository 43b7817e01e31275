//! A small HTTP/1.1 client, and the parsing that the stand-ins share.

use std::io::{self, Read, Write};
use std::net::{SocketAddrV4, TcpStream};
use std::time::Duration;

/// The first line and the headers of a message.
#[derive(Debug, Clone)]
pub struct Head {
    pub first: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    /// Returns a header's value by its name in lower case.
    pub fn get(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(n, _)| n == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Returns the status of an answer, or 0.
    pub fn status(&self) -> u16 {
        let status = self.first.split(' ').nth(1);
        status.and_then(|s| s.parse().ok()).unwrap_or(0)
    }
}

fn closed() -> io::Error {
    io::ErrorKind::UnexpectedEof.into()
}

/// Reads messages from a connection.
pub struct Reader {
    pub stream: TcpStream,
    pub buffer: Vec<u8>,
    /// The most bytes that one read takes.
    pub chunk: usize,
}

impl Reader {
    pub fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            buffer: Vec::new(),
            chunk: 65_536,
        }
    }

    /// Reads more bytes; an error if the peer has closed the connection.
    pub fn fill(&mut self) -> io::Result<()> {
        let mut bytes = vec![0; self.chunk];
        let read = self.stream.read(&mut bytes)?;
        if read == 0 {
            return Err(closed());
        }
        self.buffer.extend_from_slice(&bytes[..read]);
        Ok(())
    }

    /// Reads a head; `None` if the peer closes the connection before one begins.
    pub fn head(&mut self) -> io::Result<Option<Head>> {
        let end = loop {
            if let Some(at) = self.buffer.windows(4).position(|w| w == b"\r\n\r\n") {
                break at;
            }
            match self.fill() {
                Err(e) if self.buffer.is_empty() && e.kind() == io::ErrorKind::UnexpectedEof => {
                    return Ok(None);
                }
                other => other?,
            }
        };
        let text = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
        self.buffer.drain(..end + 4);
        let mut lines = text.split("\r\n");
        let first = lines.next().unwrap_or("").to_owned();
        let fields = lines.filter_map(|l| l.split_once(':'));
        let headers = fields.map(|(n, v)| (n.to_ascii_lowercase(), v.trim().to_owned()));
        Ok(Some(Head {
            first,
            headers: headers.collect(),
        }))
    }

    fn take(&mut self, length: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < length {
            self.fill()?;
        }
        Ok(self.buffer.drain(..length).collect())
    }

    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(at) = self.buffer.windows(2).position(|w| w == b"\r\n") {
                let line = self.buffer.drain(..at + 2).collect::<Vec<u8>>();
                return Ok(String::from_utf8_lossy(&line[..at]).into_owned());
            }
            self.fill()?;
        }
    }

    /// Reads the body that belongs to a head; an error if it ends early.
    pub fn body(&mut self, head: &Head) -> io::Result<Vec<u8>> {
        let chunked = head.get("transfer-encoding").is_some_and(|v| v.contains("chunked"));
        if !chunked {
            let length = head.get("content-length").and_then(|l| l.parse().ok());
            return self.take(length.unwrap_or(0));
        }
        let mut body = Vec::new();
        loop {
            let size = self.line()?;
            let size = size.split(';').next().unwrap_or("").trim();
            let size = usize::from_str_radix(size, 16).map_err(|_| closed())?;
            body.extend(self.take(size)?);
            self.take(2)?;
            if size == 0 {
                return Ok(body);
            }
        }
    }
}

/// Returns the text of a request.
pub fn request(method: &str, path: &str, headers: &[(&str, &str)], body: &str) -> String {
    let mut text = format!("{method} {path} HTTP/1.1\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("content-length: {}\r\n\r\n{body}", body.len()));
    text
}

/// Makes one call on a new connection; `None` if there is no complete answer in time.
pub fn call(
    to: SocketAddrV4,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    limit: Duration,
) -> Option<(Head, Vec<u8>)> {
    let stream = TcpStream::connect_timeout(&to.into(), limit).ok()?;
    stream.set_read_timeout(Some(limit)).ok()?;
    stream.set_write_timeout(Some(limit)).ok()?;
    stream.set_nodelay(true).ok()?;
    let mut reader = Reader::new(stream);
    let host = to.to_string();
    let mut all = vec![];
    if !headers.iter().any(|(n, _)| n.eq_ignore_ascii_case("host")) {
        all.push(("host", host.as_str()));
    }
    all.extend_from_slice(headers);
    let text = request(method, path, &all, body);
    reader.stream.write_all(text.as_bytes()).ok()?;
    let head = reader.head().ok()??;
    let body = reader.body(&head).ok()?;
    Some((head, body))
}
