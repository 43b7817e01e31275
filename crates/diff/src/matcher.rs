//! Finds the parts that two texts share.
//!
//! Blocks of the old text at fixed offsets are indexed by a hash that can be rolled over the new text byte by byte, as in
//! the rsync algorithm. A match is extended as far as the texts agree, so the work is linear in both lengths.

use std::collections::HashMap;

/// The length of the indexed blocks in bytes; a shorter shared part is not found.
const BLOCK: usize = 48;

/// The most blocks with the same hash that are compared.
const MAX_CANDIDATES: usize = 4;

/// The multiplier of the rolling hash, an odd number without structure.
const MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;

/// A part of the new text that the old text has too.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Match {
    /// Its offset in the old text.
    pub(crate) old: usize,
    /// Its offset in the new text.
    pub(crate) new: usize,
    /// Its length.
    pub(crate) length: usize,
}

/// Returns shared parts in the order of the new text, none of which overlap there.
pub(crate) fn shared_parts(old: &[u8], new: &[u8]) -> Vec<Match> {
    let index = Index::new(old);
    let mut found: Vec<Match> = Vec::new();
    let mut rolling = Rolling::default();
    // The first byte of the new text that no match covers, and the start of the current block.
    let (mut covered, mut at) = (0, 0);
    rolling.restart(new, at);
    while at + BLOCK <= new.len() {
        // The text usually goes on where the last match ended, after a short change.
        let follows = found.last().map(|m| m.old + (at - m.new));
        let matched = index.find(old, new, at, rolling.hash, follows);
        let Some(offset) = matched else {
            rolling.roll(new, at);
            at += 1;
            continue;
        };
        let forward = common_prefix(&old[offset..], &new[at..]);
        let back = common_suffix(&old[..offset], &new[covered..at]);
        found.push(Match {
            old: offset - back,
            new: at - back,
            length: forward + back,
        });
        at += forward;
        covered = at;
        rolling.restart(new, at);
    }
    found
}

/// The blocks of a text by their hashes.
struct Index(HashMap<u64, Vec<u32>>);

impl Index {
    fn new(text: &[u8]) -> Self {
        let mut blocks: HashMap<u64, Vec<u32>> = HashMap::with_capacity(text.len() / BLOCK);
        for (number, block) in text.chunks_exact(BLOCK).enumerate() {
            let offsets = blocks.entry(hash(block)).or_default();
            if offsets.len() < MAX_CANDIDATES {
                offsets.push((number * BLOCK) as u32);
            }
        }
        Self(blocks)
    }

    /// Returns an offset in the old text at which the new text's current block stands, that of the longest match.
    fn find(
        &self,
        old: &[u8],
        new: &[u8],
        at: usize,
        hash: u64,
        follows: Option<usize>,
    ) -> Option<usize> {
        let block = &new[at..at + BLOCK];
        let agrees = |offset: usize| old.get(offset..offset + BLOCK) == Some(block);
        if let Some(offset) = follows.filter(|o| agrees(*o)) {
            return Some(offset);
        }
        let candidates = self.0.get(&hash)?.iter().map(|o| *o as usize);
        candidates
            .filter(|o| agrees(*o))
            .max_by_key(|o| common_prefix(&old[*o..], &new[at..]))
    }
}

/// The hash of the block at the current offset.
#[derive(Default)]
struct Rolling {
    hash: u64,
    /// The weight of a block's first byte.
    first: u64,
}

impl Rolling {
    fn restart(&mut self, text: &[u8], at: usize) {
        self.first = (1..BLOCK).fold(1, |weight: u64, _| weight.wrapping_mul(MULTIPLIER));
        self.hash = text.get(at..at + BLOCK).map_or(0, hash);
    }

    /// Moves on by one byte.
    fn roll(&mut self, text: &[u8], at: usize) {
        let Some(next) = text.get(at + BLOCK) else {
            return;
        };
        let without = self
            .hash
            .wrapping_sub(byte_value(text[at]).wrapping_mul(self.first));
        self.hash = without
            .wrapping_mul(MULTIPLIER)
            .wrapping_add(byte_value(*next));
    }
}

fn byte_value(byte: u8) -> u64 {
    u64::from(byte) + 1
}

fn hash(block: &[u8]) -> u64 {
    block.iter().fold(0, |hash: u64, byte| {
        hash.wrapping_mul(MULTIPLIER)
            .wrapping_add(byte_value(*byte))
    })
}

fn common_prefix(a: &[u8], b: &[u8]) -> usize {
    a.iter().zip(b).take_while(|(a, b)| a == b).count()
}

fn common_suffix(a: &[u8], b: &[u8]) -> usize {
    let pairs = a.iter().rev().zip(b.iter().rev());
    pairs.take_while(|(a, b)| a == b).count()
}
