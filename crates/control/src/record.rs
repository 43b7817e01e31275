//! Records of the log file: a checked header, a checked body.
//!
//! Each record is 12 bytes of header (length, CRC-32 of the body, CRC-32 of the eight bytes
//! before) and the body. [`scan`] tells a torn tail, which a crash leaves, from damage.

use std::fmt;

/// The length of a record's header.
pub const HEADER_LENGTH: usize = 12;

/// The unit in which a disk writes whole or not at all.
const SECTOR_SIZE: usize = 512;

/// What a log file holds.
#[derive(Debug, PartialEq, Eq)]
pub struct Scan<'a> {
    /// The bodies of the whole records.
    pub bodies: Vec<&'a [u8]>,
    /// Where the last whole record ends; what follows was torn by a crash.
    pub end: usize,
}

/// A record that no crash can have left so.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Damage {
    /// Where the record begins.
    pub offset: usize,
}

impl fmt::Display for Damage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "the record at byte {} is damaged", self.offset)
    }
}

impl std::error::Error for Damage {}

/// Adds a record to a buffer.
pub fn append_record(buffer: &mut Vec<u8>, body: &[u8]) {
    let length = (body.len() as u32).to_be_bytes();
    let checksum = crc32fast::hash(body).to_be_bytes();
    let mut header = [length, checksum].concat();
    let header_checksum = crc32fast::hash(&header).to_be_bytes();
    header.extend_from_slice(&header_checksum);
    buffer.extend_from_slice(&header);
    buffer.extend_from_slice(body);
}

/// Reads every record.
///
/// Failure guarded against: a damaged record is taken for the end of the log, so that what
/// was acknowledged is silently forgotten. A crash leaves the last write short, or with whole
/// sectors that were never written and read as zeros; anything else is damage and refused.
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

/// Whether a stretch as long as a sector was never written.
fn has_unwritten_part(body: &[u8]) -> bool {
    body.chunks(SECTOR_SIZE / 2)
        .any(|c| c.len() == SECTOR_SIZE / 2 && c.iter().all(|b| *b == 0))
}

fn read_u32(bytes: &[u8]) -> u32 {
    u32::from_be_bytes([bytes[0], bytes[1], bytes[2], bytes[3]])
}
