//! Sizes, durations and rates, and how settings write them.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// The result of parsing a quantity.
pub type Result<T> = std::result::Result<T, UnitError>;

/// A text that is not a valid quantity.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UnitError {
    /// The rejected text.
    pub text: String,
    /// A description of the expected text.
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
    /// Creates a span from microseconds.
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// Creates a span from milliseconds.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis * 1_000)
    }

    /// Creates a span from seconds.
    pub const fn from_secs(secs: u64) -> Self {
        Self(secs * 1_000_000)
    }

    /// Returns the span in microseconds.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Returns the span in milliseconds, rounded down.
    pub const fn as_millis(self) -> u64 {
        self.0 / 1_000
    }

    /// Returns the span in seconds.
    pub fn as_secs_f64(self) -> f64 {
        self.0 as f64 / 1e6
    }

    /// Converts the span to the standard library's type.
    pub const fn as_duration(self) -> Duration {
        Duration::from_micros(self.0)
    }

    /// Multiplies the span by a whole number, up to the longest span.
    #[must_use]
    pub const fn times(self, factor: u64) -> Self {
        Self(self.0.saturating_mul(factor))
    }

    /// Returns the moving average after a new sample, which gets a weight of `1 / parts`.
    #[must_use]
    pub const fn smoothed(self, sample: Self, parts: u64) -> Self {
        Self((self.0 * (parts - 1) + sample.0) / parts)
    }
}

impl From<Duration> for Span {
    fn from(d: Duration) -> Self {
        Self(d.as_micros() as u64)
    }
}

/// The units of a span, largest first, so that a span is written in its largest unit.
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
    /// Creates a size from bytes.
    pub const fn from_bytes(bytes: u64) -> Self {
        Self(bytes)
    }

    /// Creates a size from MiB.
    pub const fn from_mib(mib: u64) -> Self {
        Self(mib << 20)
    }

    /// Returns the size in bytes.
    pub const fn as_bytes(self) -> u64 {
        self.0
    }
}

/// The units of a size, largest first.
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

/// A number of events per second, written like `100/s` or `60/m`.
///
/// It is stored in thousandths of an event per second.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(try_from = "String", into = "String")]
pub struct Rate(u64);

impl Rate {
    /// Creates a rate from whole events per second.
    pub const fn per_second(count: u64) -> Self {
        Self(count * 1_000)
    }

    /// Creates a rate from thousandths of an event per second.
    pub const fn from_millis(thousandths: u64) -> Self {
        Self(thousandths)
    }

    /// Creates a rate from events per second, rounded to thousandths. Returns none if the number is
    /// negative, too large or not a number.
    pub fn from_per_second(rate: f64) -> Option<Self> {
        let scaled = (rate * 1e3).round();
        let fits = scaled >= 0.0 && scaled <= u32::MAX.into();
        fits.then_some(Self(scaled as u64))
    }

    /// Returns the rate in thousandths of an event per second.
    pub const fn as_millis(self) -> u64 {
        self.0
    }

    /// Returns the rate in events per second.
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
            // Rounded up, because parsing rounds down and must return the same rate.
            write!(f, "{}/h", (self.0 * 3_600).div_ceil(1_000))
        }
    }
}

impl FromStr for Rate {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self> {
        let expected = "a rate like \"100/s\", \"60/m\" or \"10/h\"";
        let invalid = || UnitError {
            text: text.into(),
            expected,
        };
        let (count, unit) = text.trim().split_once('/').ok_or_else(invalid)?;
        let count: u64 = count.trim().parse().map_err(|_| invalid())?;
        let seconds = match unit.trim() {
            "s" => 1,
            "m" => 60,
            "h" => 3_600,
            _ => return Err(invalid()),
        };
        let scaled = count.checked_mul(1_000).ok_or_else(invalid)?;
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

/// Writes a value in the largest unit that divides it.
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

/// Parses a whole number with one of the units.
fn parse_scaled(text: &str, units: &[(&str, u64)], expected: &'static str) -> Result<u64> {
    let invalid = || UnitError {
        text: text.into(),
        expected,
    };
    let text = text.trim();
    let end = text
        .find(|c: char| !c.is_ascii_digit())
        .ok_or_else(invalid)?;
    let (number, unit) = text.split_at(end);
    let (_, scale) = units
        .iter()
        .find(|(u, _)| *u == unit.trim())
        .ok_or_else(invalid)?;
    let number: u64 = number.parse().map_err(|_| invalid())?;
    number.checked_mul(*scale).ok_or_else(invalid)
}
