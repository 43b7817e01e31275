//! Records of the log file, with checksums over header and body.
//!
//! Each record is a header of 12 bytes (length, CRC-32 of the body, CRC-32 of the eight bytes
//! before) followed by the body. [`scan`] distinguishes a torn tail, which a crash leaves, from
//! damage.

use std::fmt;

/// The length of a record's header in bytes.
pub const HEADER_LENGTH: usize = 12;

/// The number of bytes that a disk writes as a whole or not at all.
const SECTOR_SIZE: usize = 512;

/// The records of a log file.
#[derive(Debug, PartialEq, Eq)]
pub struct Scan<'a> {
    /// The bodies of the complete records.
    pub bodies: Vec<&'a [u8]>,
    /// The offset at which the last complete record ends; what follows was torn by a crash.
    pub end: usize,
}

/// A record is damaged in a way that no crash can have caused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Damage {
    /// The offset at which the record begins.
    pub offset: usize,
}

impl fmt::Display for Damage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "the record at byte {} is damaged", self.offset)
    }
}

impl std::error::Error for Damage {}

/// Appends a record to a buffer.
pub fn append_record(buffer: &mut Vec<u8>, body: &[u8]) {
    let length = (body.len() as u32).to_be_bytes();
    let checksum = crc32fast::hash(body).to_be_bytes();
    let mut header = [length, checksum].concat();
    let header_checksum = crc32fast::hash(&header).to_be_bytes();
    header.extend_from_slice(&header_checksum);
    buffer.extend_from_slice(&header);
    buffer.extend_from_slice(body);
}

/// Reads all records.
///
/// A crash leaves the last write short, or with whole sectors that were never written and read as
/// zeros. Anything else is damage and refused: if a damaged record were taken for the end of the
/// log, acknowledged entries would be lost silently.
pub fn scan(bytes: &[u8]) -> Result<Scan<'_>, Damage> {
    let mut bodies = Vec::new();
    let mut offset = 0;
    while offset < bytes.len() {
        match parse_record(&bytes[offset..]) {
            Parsed::Whole(body) => {
                bodies.push(body);
                offset += HEADER_LENGTH + body.len();
            }
            Parsed::Torn => break,
            Parsed::Damaged => return Err(Damage { offset }),
        }
    }
    Ok(Scan {
        bodies,
        end: offset,
    })
}

enum Parsed<'a> {
    Whole(&'a [u8]),
    Torn,
    Damaged,
}

fn parse_record(rest: &[u8]) -> Parsed<'_> {
    if rest.len() < HEADER_LENGTH || rest.iter().all(|b| *b == 0) {
        return Parsed::Torn;
    }
    let (header, after) = rest.split_at(HEADER_LENGTH);
    if read_u32(&header[8..]) != crc32fast::hash(&header[..8]) {
        return Parsed::Damaged;
    }
    let length = read_u32(header) as usize;
    if after.len() < length {
        return Parsed::Torn;
    }
    let body = &after[..length];
    if read_u32(&header[4..]) == crc32fast::hash(body) {
        return Parsed::Whole(body);
    }
    if after.len() == length && has_unwritten_part(body) {
        Parsed::Torn
    } else {
        Parsed::Damaged
    }
}

/// Whether a sector within the body was never written and reads as zeros.
///
/// Any sector covers at least one whole chunk of half its size.
fn has_unwritten_part(body: &[u8]) -> bool {
    body.chunks(SECTOR_SIZE / 2)
        .any(|c| c.len() == SECTOR_SIZE / 2 && c.iter().all(|b| *b == 0))
}

fn read_u32(bytes: &[u8]) -> u32 {
    u32::from_be_bytes([bytes[0], bytes[1], bytes[2], bytes[3]])
}
