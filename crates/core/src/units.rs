//! Sizes, durations and rates, with the text forms that settings use.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// The result of parsing a quantity.
pub type Result<T> = std::result::Result<T, UnitError>;

/// Why a text is not a quantity.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UnitError {
    /// The text that was refused.
    pub text: String,
    /// What would have been accepted.
    pub expected: &'static str,
}

impl fmt::Display for UnitError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?} is not {}", self.text, self.expected)
    }
}

impl std::error::Error for UnitError {}

/// A length of time, written like `250ms`, `3s`, `5m` or `1h`.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(try_from = "String", into = "String")]
pub struct Span(u64);

impl Span {
    /// A span of whole microseconds.
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// A span of whole milliseconds.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis * 1_000)
    }

    /// A span of whole seconds.
    pub const fn from_secs(secs: u64) -> Self {
        Self(secs * 1_000_000)
    }

    /// The span in microseconds.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// The span in whole milliseconds, rounded down.
    pub const fn as_millis(self) -> u64 {
        self.0 / 1_000
    }

    /// The span in seconds.
    pub fn as_secs_f64(self) -> f64 {
        self.0 as f64 / 1e6
    }

    /// The span as the standard library's type.
    pub const fn as_duration(self) -> Duration {
        Duration::from_micros(self.0)
    }

    /// The span times a whole number, at most the longest span.
    #[must_use]
    pub const fn times(self, factor: u64) -> Self {
        Self(self.0.saturating_mul(factor))
    }

    /// A mean that follows what is seen: one of so many parts of it is replaced.
    #[must_use]
    pub const fn smoothed(self, seen: Self, parts: u64) -> Self {
        Self((self.0 * (parts - 1) + seen.0) / parts)
    }
}

impl From<Duration> for Span {
    fn from(d: Duration) -> Self {
        Self(d.as_micros() as u64)
    }
}

/// Largest unit first, so that the shortest text is found first.
const SPAN_UNITS: [(&str, u64); 5] = [
    ("h", 3_600_000_000),
    ("m", 60_000_000),
    ("s", 1_000_000),
    ("ms", 1_000),
    ("us", 1),
];

impl fmt::Display for Span {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write_scaled(f, self.0, &SPAN_UNITS, "s")
    }
}

impl FromStr for Span {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self> {
        parse_scaled(text, &SPAN_UNITS, "a time like \"250ms\" or \"3s\"").map(Self)
    }
}

/// A number of bytes, written like `64MiB`, `512KiB` or `100B`.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(try_from = "String", into = "String")]
pub struct Size(u64);

impl Size {
    /// A size of this many bytes.
    pub const fn from_bytes(bytes: u64) -> Self {
        Self(bytes)
    }

    /// A size of this many MiB.
    pub const fn from_mib(mib: u64) -> Self {
        Self(mib << 20)
    }

    /// The size in bytes.
    pub const fn as_bytes(self) -> u64 {
        self.0
    }
}

const SIZE_UNITS: [(&str, u64); 4] = [
    ("GiB", 1 << 30),
    ("MiB", 1 << 20),
    ("KiB", 1 << 10),
    ("B", 1),
];

impl fmt::Display for Size {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write_scaled(f, self.0, &SIZE_UNITS, "B")
    }
}

impl FromStr for Size {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self> {
        parse_scaled(text, &SIZE_UNITS, "a size like \"64MiB\" or \"512KiB\"").map(Self)
    }
}

/// A number of events a second, written like `100/s` or `60/m`.
///
/// Kept in thousandths of an event a second.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(try_from = "String", into = "String")]
pub struct Rate(u64);

impl Rate {
    /// A rate of whole events a second.
    pub const fn per_second(count: u64) -> Self {
        Self(count * 1_000)
    }

    /// A rate in thousandths of an event a second.
    pub const fn from_millis(thousandths: u64) -> Self {
        Self(thousandths)
    }

    /// A rate of events a second, rounded to thousandths; nothing where that is no rate.
    pub fn from_per_second(rate: f64) -> Option<Self> {
        let scaled = (rate * 1e3).round();
        let fits = scaled >= 0.0 && scaled <= u32::MAX.into();
        fits.then_some(Self(scaled as u64))
    }

    /// The rate in thousandths of an event a second.
    pub const fn as_millis(self) -> u64 {
        self.0
    }

    /// The rate in events a second.
    pub fn as_per_second(self) -> f64 {
        self.0 as f64 / 1e3
    }
}

impl std::iter::Sum for Rate {
    fn sum<I: Iterator<Item = Self>>(rates: I) -> Self {
        Self(rates.map(|rate| rate.0).sum())
    }
}

impl fmt::Display for Rate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.0.is_multiple_of(1_000) {
            write!(f, "{}/s", self.0 / 1_000)
        } else {
            // Rounded up: a rate that is read rounds down, and must come back as it was.
            write!(f, "{}/h", (self.0 * 3_600).div_ceil(1_000))
        }
    }
}

impl FromStr for Rate {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self> {
        let expected = "a rate like \"100/s\", \"60/m\" or \"10/h\"";
        let refused = || UnitError {
            text: text.into(),
            expected,
        };
        let (count, unit) = text.trim().split_once('/').ok_or_else(refused)?;
        let count: u64 = count.trim().parse().map_err(|_| refused())?;
        let seconds = match unit.trim() {
            "s" => 1,
            "m" => 60,
            "h" => 3_600,
            _ => return Err(refused()),
        };
        let scaled = count.checked_mul(1_000).ok_or_else(refused)?;
        Ok(Self(scaled / seconds))
    }
}

macro_rules! text_form {
    ($($name:ident)+) => {
        $(
            impl TryFrom<String> for $name {
                type Error = UnitError;

                fn try_from(text: String) -> Result<Self> {
                    text.parse()
                }
            }

            impl From<$name> for String {
                fn from(value: $name) -> Self {
                    value.to_string()
                }
            }
        )+
    };
}

text_form!(Span Size Rate);

/// Writes the value in the largest unit that divides it.
fn write_scaled(
    f: &mut fmt::Formatter<'_>,
    value: u64,
    units: &[(&str, u64)],
    zero: &str,
) -> fmt::Result {
    if value == 0 {
        return write!(f, "0{zero}");
    }
    let (unit, scale) = units
        .iter()
        .find(|(_, scale)| value.is_multiple_of(*scale))
        .expect("the smallest unit divides every value");
    write!(f, "{}{unit}", value / scale)
}

/// Reads a whole number with one of the units.
fn parse_scaled(text: &str, units: &[(&str, u64)], expected: &'static str) -> Result<u64> {
    let refused = || UnitError {
        text: text.into(),
        expected,
    };
    let text = text.trim();
    let end = text
        .find(|c: char| !c.is_ascii_digit())
        .ok_or_else(refused)?;
    let (number, unit) = text.split_at(end);
    let (_, scale) = units
        .iter()
        .find(|(u, _)| *u == unit.trim())
        .ok_or_else(refused)?;
    let number: u64 = number.parse().map_err(|_| refused())?;
    number.checked_mul(*scale).ok_or_else(refused)
}
