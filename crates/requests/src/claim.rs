//! What claimers and keepers of keys say to each other.

use std::fmt;
use std::net::SocketAddr;

use xxhash_rust::xxh3::xxh3_64;

use snipemast_core::data;
use snipemast_core::prelude::*;

use crate::plan::Target;
use crate::suspicion::Crash;

data! {
    /// A hash of what a request asks: workspace, method, path and body.
    #[derive(Copy, PartialOrd, Ord, Hash)]
    #[serde(transparent)]
    pub struct Fingerprint([u8; 16]);

    /// What a claim is for.
    #[derive(PartialOrd, Ord, Hash)]
    pub enum ClaimKey {
        /// A caller's key.
        Key {
            /// The caller's workspace.
            workspace: WorkspaceId,
            /// The key.
            key: RequestKey,
        },
        /// The one run of a suspected request.
        Suspect {
            /// The request.
            fingerprint: Fingerprint,
            /// The crash that it is suspected of.
            crash: Crash,
        },
    }

    /// The attempt that a claim stands for.
    pub struct ClaimValue {
        /// The attempt.
        pub target: Target,
        /// Where its agent listens.
        pub address: SocketAddr,
        /// What it asks.
        pub body: Fingerprint,
    }

    /// A round of one claimer; of two, the larger one goes first.
    #[derive(PartialOrd, Ord, Hash)]
    pub struct Round {
        /// The number, larger than any that the claimer has seen.
        pub number: u64,
        /// The claimer's own attempt, which makes the round unique.
        pub by: DispatchId,
    }

    /// Which attempt of which key.
    #[derive(PartialOrd, Ord, Hash)]
    pub struct Slot {
        /// The key.
        pub key: ClaimKey,
        /// The attempt, from 1; the next follows only when this one surely did not run.
        pub attempt: u64,
    }

    /// A claim that a keeper has accepted.
    pub struct AcceptedClaim {
        /// In which round.
        pub round: Round,
        /// What.
        pub value: ClaimValue,
    }

    /// A short mark of the three keepers of a shard.
    ///
    /// Failure guarded against: a claimer and a keeper that go by different tables while a
    /// shard moves. It shows as two majorities that share no keeper; a keeper has no say in a
    /// claim under another table than its own.
    #[derive(Copy, Hash)]
    #[serde(transparent)]
    pub struct KeepersMark(u64);

    /// What a keeper is asked.
    pub enum KeeperAsk {
        /// Promise to accept no lower round.
        Prepare {
            /// Where.
            slot: Slot,
            /// The round.
            round: Round,
            /// The keepers that the claimer believes in.
            keepers: KeepersMark,
            /// How long the claim must be remembered.
            keep: Span,
        },
        /// Accept this value.
        Accept {
            /// Where.
            slot: Slot,
            /// The round.
            round: Round,
            /// The value.
            value: ClaimValue,
            /// The keepers that the claimer believes in.
            keepers: KeepersMark,
            /// The keepers whose promises carry the round.
            promised: Vec<ProcessId>,
            /// How long the claim must be remembered.
            keep: Span,
        },
        /// Hand over a shard to a keeper that has no memory of it.
        Copy {
            /// The shard.
            shard: u32,
            /// The keeper that asks.
            to: ProcessId,
        },
    }

    /// What a keeper answers.
    pub enum KeeperAnswer {
        /// It accepts no lower round.
        Promised {
            /// The keeper.
            by: ProcessId,
            /// What it has accepted.
            accepted: Option<AcceptedClaim>,
        },
        /// It accepted the value.
        Accepted {
            /// The keeper.
            by: ProcessId,
        },
        /// It has promised a higher round.
        Outrun {
            /// The round.
            round: Round,
        },
        /// The key is at a later attempt.
        Ahead {
            /// The attempt.
            attempt: u64,
        },
        /// It has no say: it still copies, is not a keeper of the shard, or is full.
        Abstains,
        /// The claims of a shard.
        Copied {
            /// Every claim.
            claims: Vec<CopiedClaim>,
        },
    }

    /// A claim that goes from keeper to keeper.
    pub struct CopiedClaim {
        /// Where.
        pub slot: Slot,
        /// What was accepted.
        pub accepted: Option<AcceptedClaim>,
        /// How long it must be remembered still.
        pub left: Span,
    }
}

impl Fingerprint {
    /// The fingerprint of a request.
    pub fn for_request(workspace: &WorkspaceId, method: &str, path: &str, body: &[u8]) -> Self {
        let mut hash = blake3::Hasher::new();
        for part in [
            workspace.as_str().as_bytes(),
            method.as_bytes(),
            path.as_bytes(),
        ] {
            hash.update(&(part.len() as u64).to_be_bytes());
            hash.update(part);
        }
        hash.update(body);
        let mut short = [0; 16];
        short.copy_from_slice(&hash.finalize().as_bytes()[..16]);
        Self(short)
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl std::str::FromStr for Fingerprint {
    type Err = snipemast_core::ids::IdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let number = u128::from_str_radix(text, 16).ok();
        let number = number.filter(|_| text.len() == 32);
        let refused = || Self::Err {
            kind: "Fingerprint",
            text: text.chars().take(32).collect(),
        };
        number.map(|n| Self(n.to_be_bytes())).ok_or_else(refused)
    }
}

impl KeepersMark {
    /// The mark of these keepers.
    pub fn of(hosts: &[HostId; 3]) -> Self {
        Self(xxh3_64(
            hosts.each_ref().map(HostId::as_str).join("/").as_bytes(),
        ))
    }
}

impl ClaimKey {
    /// The shard that the key falls into, of so many.
    pub fn shard(&self, shards: usize) -> usize {
        let hash = match self {
            Self::Key { workspace, key } => xxh3_64(format!("{workspace}/{key}").as_bytes()),
            Self::Suspect { fingerprint, .. } => xxh3_64(&fingerprint.0),
        };
        (hash % shards.max(1) as u64) as usize
    }
}
