//! The check of the path of a call to a plain service, before the call is forwarded.

use snipemast_core::prelude::*;

use crate::ask::{RequestError, Result};

/// The prefix of the paths of plain services on an entry host.
const SERVICES_PREFIX: &str = "/services/";
/// The first segment of the paths at which the system itself calls a backend server.
const RESERVED_SEGMENT: &str = "engine";

/// Splits `/services/{service}/{rest}` and checks the rest.
///
/// Failure guarded against: a caller reads a backend server's load or gives it orders, by a path
/// that looks harmless here but that the server reads as `/engine/…`. It shows as an order that the
/// system did not give. URL libraries resolve `.` and `..`, read `\` as `/`, and drop tabs and
/// fragments; servers decode `%65` and skip empty segments. Every path that one of them would change
/// is therefore refused, and the first segment is compared in the form that the most lenient server
/// reads.
pub(crate) fn service_path(path: &str) -> Result<(ServiceId, String)> {
    let rest = path
        .strip_prefix(SERVICES_PREFIX)
        .ok_or(RequestError::PathUnknown)?;
    let (name, rest) = rest.split_once('/').unwrap_or((rest, ""));
    let service = name.parse().map_err(|_| RequestError::PathUnknown)?;
    let is_plain = |b: u8| b.is_ascii_graphic() && !matches!(b, b'\\' | b'#' | b'"' | b'<' | b'>');
    if !rest.bytes().all(is_plain) {
        return Err(RequestError::PathMalformed);
    }
    let segments: Vec<String> = rest
        .split('/')
        .map(decode_segment)
        .collect::<Option<_>>()
        .ok_or(RequestError::PathMalformed)?;
    if segments.iter().any(|s| matches!(s.as_str(), "." | "..")) {
        return Err(RequestError::PathMalformed);
    }
    let first = segments.iter().find(|s| !s.is_empty());
    if first.is_some_and(|s| s.eq_ignore_ascii_case(RESERVED_SEGMENT)) {
        return Err(RequestError::PathUnknown);
    }
    Ok((service, format!("/{rest}")))
}

/// Returns a segment as a server may decode it, unless it is malformed or would become several segments.
fn decode_segment(segment: &str) -> Option<String> {
    let bytes = segment.as_bytes();
    let mut text = Vec::with_capacity(bytes.len());
    let mut next = 0;
    while next < bytes.len() {
        let byte = match bytes[next] {
            b'%' => {
                let digits = segment.get(next + 1..next + 3)?;
                next += 2;
                u8::from_str_radix(digits, 16).ok()?
            }
            byte => byte,
        };
        next += 1;
        if matches!(byte, b'/' | b'\\' | b'%') || byte.is_ascii_control() {
            return None;
        }
        text.push(byte);
    }
    String::from_utf8(text).ok()
}
