//! The name of a host, as callers address it.

use std::borrow::{Borrow, Cow};
use std::convert::Infallible;
use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

/// The name of a host in its only spelling: in lower case, without a port and without the dot of the DNS root.
///
/// Names of hosts don't depend on case (RFC 9110, 4.2.3). A route is for all ports of its host.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(from = "String", into = "String")]
pub struct Host(String);

impl Host {
    /// Creates the name from any of its spellings.
    pub fn new(text: &str) -> Self {
        Self(normalize(text).into_owned())
    }

    /// Returns the text of the name.
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// Whether a request can name this host.
    pub fn is_valid(&self) -> bool {
        let literal = self.0.strip_prefix('[').and_then(|h| h.strip_suffix(']'));
        if let Some(address) = literal {
            return address.parse::<std::net::Ipv6Addr>().is_ok();
        }
        let is_name_char = |c: char| c.is_ascii_alphanumeric() || "-._~".contains(c);
        !self.0.is_empty() && self.0.chars().all(is_name_char)
    }
}

/// Returns the only spelling of a host's name; the result is borrowed if the text has it already.
pub(crate) fn normalize(text: &str) -> Cow<'_, str> {
    let mut host = text;
    // Repeated until nothing changes, so that a name that is normalized again stays as it is.
    while let Some(shorter) = strip_port(host).or_else(|| host.strip_suffix('.')) {
        host = shorter;
    }
    match host.bytes().any(|b| b.is_ascii_uppercase()) {
        true => Cow::Owned(host.to_ascii_lowercase()),
        false => Cow::Borrowed(host),
    }
}

/// Returns a host without its port, if it has one. The colons of an IPv6 address, which stands in brackets, separate none.
fn strip_port(host: &str) -> Option<&str> {
    let (name, port) = host.rsplit_once(':')?;
    let is_port = port.bytes().all(|b| b.is_ascii_digit());
    (is_port && (name.ends_with(']') || !name.contains([':', '[']))).then_some(name)
}

impl Borrow<str> for Host {
    fn borrow(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for Host {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl FromStr for Host {
    type Err = Infallible;

    fn from_str(text: &str) -> Result<Self, Infallible> {
        Ok(Self::new(text))
    }
}

impl From<String> for Host {
    fn from(text: String) -> Self {
        Self::new(&text)
    }
}

impl From<Host> for String {
    fn from(host: Host) -> Self {
        host.0
    }
}
