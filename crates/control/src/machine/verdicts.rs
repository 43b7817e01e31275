//! The first verdict of each patch id.

use std::collections::{BTreeMap, VecDeque};

use snipemast_config::{KeyHash, Patch, Refusal, Verdict};
use snipemast_core::prelude::*;

/// The number of verdicts that are kept: several days of patches.
const MAX_VERDICTS: usize = 4_096;

data! {
    /// A digest of a patch and its author; patches with the same digest count as the same.
    #[derive(Copy)]
    pub struct PatchDigest(KeyHash);

    /// The first verdict of each patch id; the oldest are evicted.
    #[derive(Default)]
    pub struct Verdicts {
        known: BTreeMap<PatchId, KnownVerdict>,
        order: VecDeque<PatchId>,
    }

    /// A verdict, and the digest of its patch.
    struct KnownVerdict {
        digest: PatchDigest,
        verdict: Verdict,
    }
}

impl PatchDigest {
    /// Computes the digest of a patch by this author.
    pub fn compute(patch: &Patch, author: Option<&OperatorId>) -> Self {
        let author = author.map_or("", OperatorId::as_str);
        let Patch {
            id,
            base,
            reason,
            set,
        } = patch;
        let text = format!("{id}\n{author}\n{base}\n{}\n{reason}\n{set}", reason.len());
        Self(KeyHash::from_key(&text))
    }
}

impl Verdicts {
    /// Returns the verdict on an id for a patch with this digest, if the id is known.
    ///
    /// Another digest under a known id is refused. Otherwise, when two operators choose the same
    /// id, the second would be told that its patch was accepted when only the first one's was.
    pub fn find(&self, id: &PatchId, digest: &PatchDigest) -> Option<Verdict> {
        let known = self.known.get(id)?;
        if known.digest == *digest {
            return Some(known.verdict.clone());
        }
        Some(Verdict::Refused {
            refusal: Refusal::Reused,
        })
    }

    /// Stores the verdict on an id that had none.
    pub fn remember(&mut self, id: PatchId, digest: PatchDigest, verdict: Verdict) {
        self.order.push_back(id.clone());
        self.known.insert(id, KnownVerdict { digest, verdict });
        if self.order.len() > MAX_VERDICTS {
            if let Some(oldest) = self.order.pop_front() {
                self.known.remove(&oldest);
            }
        }
    }
}
