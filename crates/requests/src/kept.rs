//! The part of one answer that an agent keeps, so that a stream can be resumed.

use crate::answer::Header;

/// The bytes over the bound that are dropped at once.
///
/// Dropping them one by one would move the rest each time, which takes quadratic time.
const TRIM_BYTES: usize = 64 << 10;

/// The head and the last bytes of one answer, with the length and checksum of all of it.
#[derive(Debug, Clone, Default)]
pub struct KeptAnswer {
    head: Option<(u16, Vec<Header>)>,
    start: u64,
    bytes: Vec<u8>,
    checksum: crc32fast::Hasher,
}

impl KeptAnswer {
    /// Sets the status and headers.
    pub fn set_head(&mut self, status: u16, headers: Vec<Header>) {
        self.head = Some((status, headers));
    }

    /// Returns the status and headers, if they have arrived.
    pub fn head(&self) -> Option<&(u16, Vec<Header>)> {
        self.head.as_ref()
    }

    /// Adds a piece to the end and keeps about `bound` bytes.
    ///
    /// Returns how many bytes were dropped from the front.
    pub fn append(&mut self, piece: &[u8], bound: usize) -> usize {
        self.checksum.update(piece);
        self.bytes.extend_from_slice(piece);
        if self.bytes.len() <= bound + TRIM_BYTES {
            return 0;
        }
        let excess = self.bytes.len() - bound;
        self.bytes.drain(..excess);
        self.start += excess as u64;
        excess
    }

    /// Returns the length of the body so far, in bytes.
    pub fn total(&self) -> u64 {
        self.start + self.bytes.len() as u64
    }

    /// Returns the CRC-32 of the body so far.
    pub fn checksum(&self) -> u32 {
        self.checksum.clone().finalize()
    }

    /// Returns at most `limit` bytes from an offset on, or nothing if they are no longer kept.
    pub fn read(&self, offset: u64, limit: usize) -> Option<&[u8]> {
        let from = offset.checked_sub(self.start)? as usize;
        let rest = self.bytes.get(from..)?;
        Some(&rest[..rest.len().min(limit)])
    }

    /// Returns the number of bytes that are kept.
    pub fn size(&self) -> usize {
        self.bytes.len()
    }

    /// Drops the bytes and keeps the length and checksum. Returns how many bytes were dropped.
    pub fn drop_bytes(&mut self) -> usize {
        let dropped = self.bytes.len();
        self.start = self.total();
        self.bytes = Vec::new();
        dropped
    }
}
