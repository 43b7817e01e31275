//! Differences between two texts, so that a small change of a large text is small on the wire and on disk.
//!
//! - [`Diff`]: what leads from one text to another; it can be applied to the former only.
//! - [`Fingerprint`]: identifies a text.
//! - `matcher`: finds the parts that two texts share.

mod fingerprint;
mod matcher;
mod steps;

pub use fingerprint::Fingerprint;
pub use steps::{Diff, DiffError, Result, MAX_TEXT_BYTES};
