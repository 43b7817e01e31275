//! The steps that lead from one text to another.

use std::fmt;

use snipemast_core::data;

use crate::fingerprint::Fingerprint;
use crate::matcher::shared_parts;

/// The result of applying a diff.
pub type Result<T> = std::result::Result<T, DiffError>;

/// The longest text in bytes; a diff that claims to lead to a longer one is refused.
pub const MAX_TEXT_BYTES: u64 = 64 << 20;

/// Why a diff was not applied.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DiffError {
    /// The diff starts from another text.
    OtherBase,
    /// The diff doesn't lead to the text that it names.
    Damaged,
}

impl fmt::Display for DiffError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::OtherBase => "the diff starts from another text",
            Self::Damaged => "the diff doesn't lead to the text that it names",
        })
    }
}

impl std::error::Error for DiffError {}

data! {
    /// What leads from one text to another.
    #[derive(Hash)]
    pub struct Diff {
        /// The text that the diff starts from.
        base: Fingerprint,
        /// The text that the diff leads to.
        result: Fingerprint,
        /// The parts of the new text, in order.
        steps: Vec<Step>,
        /// The bytes that the old text doesn't have, one after another, compressed.
        #[serde(with = "serde_bytes")]
        inserted: Vec<u8>,
    }

    /// One part of the new text: bytes of its own, and then bytes of the old text.
    #[derive(Copy, Hash)]
    struct Step {
        /// The number of bytes that the old text doesn't have.
        insert: u64,
        /// The offset in the old text of the bytes that follow.
        from: u64,
        /// The number of those bytes.
        copy: u64,
    }
}

impl Diff {
    /// Returns what leads from one text to another.
    pub fn between(old: &[u8], new: &[u8]) -> Self {
        let mut steps = Vec::new();
        let mut inserted = Vec::new();
        let mut end = 0;
        for part in shared_parts(old, new) {
            inserted.extend_from_slice(&new[end..part.new]);
            steps.push(Step {
                insert: (part.new - end) as u64,
                from: part.old as u64,
                copy: part.length as u64,
            });
            end = part.new + part.length;
        }
        if end < new.len() {
            inserted.extend_from_slice(&new[end..]);
            steps.push(Step {
                insert: (new.len() - end) as u64,
                from: 0,
                copy: 0,
            });
        }
        Self {
            base: Fingerprint::new(old),
            result: Fingerprint::new(new),
            steps,
            inserted: lz4_flex::compress_prepend_size(&inserted),
        }
    }

    /// Returns the diff that leads from no text to a whole one.
    pub fn whole(text: &[u8]) -> Self {
        Self::between(&[], text)
    }

    /// Returns the text that the diff starts from.
    pub fn base(&self) -> Fingerprint {
        self.base
    }

    /// Returns the text that the diff leads to.
    pub fn result(&self) -> Fingerprint {
        self.result
    }

    /// Returns roughly how many bytes the diff takes.
    pub fn approx_size(&self) -> usize {
        /// A step with its field names.
        const STEP: usize = 40;
        self.inserted.len() + self.steps.len() * STEP
    }

    /// Returns the text that the diff leads to from its base.
    ///
    /// # Errors
    ///
    /// Fails for any other base, and for a diff that was damaged.
    pub fn apply(&self, old: &[u8]) -> Result<Vec<u8>> {
        if Fingerprint::new(old) != self.base {
            return Err(DiffError::OtherBase);
        }
        let new = self.build(old).ok_or(DiffError::Damaged)?;
        if Fingerprint::new(&new) != self.result {
            return Err(DiffError::Damaged);
        }
        Ok(new)
    }

    /// Builds the new text; returns nothing if a length doesn't fit.
    fn build(&self, old: &[u8]) -> Option<Vec<u8>> {
        if self.result.length > MAX_TEXT_BYTES {
            return None;
        }
        let size = *self.inserted.first_chunk::<4>()?;
        if u64::from(u32::from_le_bytes(size)) > self.result.length {
            return None;
        }
        let inserted = lz4_flex::decompress_size_prepended(&self.inserted).ok()?;
        let mut rest = inserted.as_slice();
        let mut new = Vec::with_capacity(self.result.length as usize);
        for step in &self.steps {
            let (own, others) = rest.split_at_checked(usize::try_from(step.insert).ok()?)?;
            rest = others;
            new.extend_from_slice(own);
            let from = usize::try_from(step.from).ok()?;
            let end = from.checked_add(usize::try_from(step.copy).ok()?)?;
            new.extend_from_slice(old.get(from..end)?);
            if new.len() as u64 > self.result.length {
                return None;
            }
        }
        Some(new)
    }
}
