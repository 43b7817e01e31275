//! The path of a plain service's call, checked before it goes anywhere.

use snipemast_core::prelude::*;

use crate::ask::{RequestError, Result};

/// Where plain services stand on an entry host.
const SERVICES: &str = "/services/";
/// The first segment of the paths by which the system itself speaks to a backend server.
const RESERVED: &str = "engine";

/// Splits `/services/{service}/{rest}` and checks the rest.
///
/// Failure guarded against: a caller who reaches the system's own side of a backend server, and
/// reads its load or gives it orders, by a path that looks harmless here and is read as `/engine/…`
/// there. It shows as an order that nobody gave. URL libraries resolve `.` and `..`, read `\` as
/// `/`, drop tabs and fragments, and servers decode `%65` and skip empty segments; so whatever any
/// of them would change is refused, and the first segment is compared as the most lenient would
/// read it.
pub(crate) fn service_path(path: &str) -> Result<(ServiceId, String)> {
    let rest = path
        .strip_prefix(SERVICES)
        .ok_or(RequestError::PathUnknown)?;
    let (name, rest) = rest.split_once('/').unwrap_or((rest, ""));
    let service = name.parse().map_err(|_| RequestError::PathUnknown)?;
    let plain = |b: u8| b.is_ascii_graphic() && !matches!(b, b'\\' | b'#' | b'"' | b'<' | b'>');
    if !rest.bytes().all(plain) {
        return Err(RequestError::PathMalformed);
    }
    let segments: Vec<String> = rest
        .split('/')
        .map(decoded)
        .collect::<Option<_>>()
        .ok_or(RequestError::PathMalformed)?;
    if segments.iter().any(|s| matches!(s.as_str(), "." | "..")) {
        return Err(RequestError::PathMalformed);
    }
    let first = segments.iter().find(|s| !s.is_empty());
    if first.is_some_and(|s| s.eq_ignore_ascii_case(RESERVED)) {
        return Err(RequestError::PathUnknown);
    }
    Ok((service, format!("/{rest}")))
}

/// A segment as a server may decode it; nothing where it would come out as several.
fn decoded(segment: &str) -> Option<String> {
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
