//! Puts an answer together from its frames, by offset and checksum.

use crate::answer::Header;

/// How a piece of an answer's body relates to the bytes that arrived before it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Piece {
    /// These bytes of the piece continue the body.
    Next(Vec<u8>),
    /// Every byte of the piece has already arrived.
    Repeated,
    /// Bytes before the piece are missing.
    Gap,
}

/// Whether a body is whole, by its length and checksum.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyCheck {
    /// Every byte arrived and is right.
    Whole,
    /// Bytes are missing at the end.
    Short,
    /// The bytes are not the ones that the backend server sent.
    Corrupt,
}

/// Puts one answer together from its frames.
///
/// It guards against pieces that arrive twice, out of order or damaged, after a resume or through
/// a faulty proxy. Only bytes that continue the body exactly are returned, and the answer counts
/// as whole only if its length and checksum match.
#[derive(Debug, Default)]
pub struct Assembler {
    head: Option<(u16, Vec<Header>)>,
    offset: u64,
    checksum: crc32fast::Hasher,
}

impl Assembler {
    /// Sets the head of the answer, unless it is already set.
    pub fn set_head(&mut self, status: u16, headers: Vec<Header>) {
        if self.head.is_none() {
            self.head = Some((status, headers));
        }
    }

    /// Returns the status and headers, if they have arrived.
    pub fn head(&self) -> Option<&(u16, Vec<Header>)> {
        self.head.as_ref()
    }

    /// Returns the length of the body so far, in bytes.
    pub fn offset(&self) -> u64 {
        self.offset
    }

    /// Adds a piece that starts at an offset of the body.
    pub fn add_piece(&mut self, offset: u64, mut bytes: Vec<u8>) -> Piece {
        if offset > self.offset {
            return Piece::Gap;
        }
        let overlap = (self.offset - offset) as usize;
        if overlap >= bytes.len() {
            return Piece::Repeated;
        }
        bytes.drain(..overlap);
        self.checksum.update(&bytes);
        self.offset += bytes.len() as u64;
        Piece::Next(bytes)
    }

    /// Compares the body with its announced length and checksum.
    pub fn finish(&self, total: u64, checksum: u32) -> BodyCheck {
        if self.offset < total {
            BodyCheck::Short
        } else if self.offset > total || self.checksum.clone().finalize() != checksum {
            BodyCheck::Corrupt
        } else {
            BodyCheck::Whole
        }
    }
}
