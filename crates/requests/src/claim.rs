//! The messages between claimers and keepers of idempotency keys.

use std::fmt;
use std::net::SocketAddr;

use xxhash_rust::xxh3::xxh3_64;

use snipemast_core::data;
use snipemast_core::prelude::*;

use crate::plan::Target;
use crate::suspicion::Crash;

data! {
    /// A hash of a request's workspace, method, path and body, or of a part of its prompt.
    #[derive(Copy, Default, PartialOrd, Ord, Hash)]
    #[serde(transparent)]
    pub struct Fingerprint([u8; 16]);

    /// What a claim is for.
    #[derive(PartialOrd, Ord, Hash)]
    pub enum ClaimKey {
        /// An idempotency key of a caller.
        Key {
            /// The caller's workspace.
            workspace: WorkspaceId,
            /// The key.
            key: RequestKey,
        },
        /// The permission to run a suspected request, which one attempt at a time has.
        Suspect {
            /// The fingerprint of the request.
            fingerprint: Fingerprint,
            /// The crash that the request is suspected of.
            crash: Crash,
        },
    }

    /// The attempt that a key is claimed for.
    pub struct ClaimValue {
        /// The attempt.
        pub target: Target,
        /// The address that the attempt's agent listens on.
        pub address: SocketAddr,
        /// The fingerprint of the request.
        pub body: Fingerprint,
    }

    /// A round of one claimer. Of two rounds, the larger one has precedence.
    #[derive(PartialOrd, Ord, Hash)]
    pub struct Round {
        /// The number, larger than any that the claimer has seen.
        pub number: u64,
        /// The claimer's own attempt, which makes the round unique.
        pub by: DispatchId,
    }

    /// One attempt of one key, which one value is chosen for.
    #[derive(PartialOrd, Ord, Hash)]
    pub struct ClaimSlot {
        /// The key.
        pub key: ClaimKey,
        /// The number of the attempt, from 1. The next one is claimed only when this one
        /// certainly did not run.
        pub attempt: u64,
    }

    /// A claim that a keeper has accepted.
    pub struct AcceptedClaim {
        /// The round in which the keeper accepted the value.
        pub round: Round,
        /// The value that the keeper accepted.
        pub value: ClaimValue,
    }

    /// A hash of the three keepers of a shard.
    ///
    /// It guards against a claimer and a keeper that use different tables while a shard moves.
    /// Two majorities could then share no keeper, so a keeper abstains from a claim whose
    /// keepers are not those of its own table.
    #[derive(Copy, Hash)]
    #[serde(transparent)]
    pub struct KeepersHash(u64);

    /// A request to a keeper.
    pub enum KeeperAsk {
        /// Asks for a promise to accept no lower round.
        Prepare {
            /// The attempt of the key.
            slot: ClaimSlot,
            /// The round.
            round: Round,
            /// The hash of the keepers in the claimer's table.
            keepers: KeepersHash,
            /// The time for which the claim must be remembered.
            keep: Span,
        },
        /// Asks to accept a value.
        Accept {
            /// The attempt of the key.
            slot: ClaimSlot,
            /// The round.
            round: Round,
            /// The value.
            value: ClaimValue,
            /// The hash of the keepers in the claimer's table.
            keepers: KeepersHash,
            /// The keepers whose promises make up the majority of the round.
            promised: Vec<ProcessId>,
            /// The time for which the claim must be remembered.
            keep: Span,
        },
        /// Asks for the claims of a shard, for a keeper that does not have them.
        Copy {
            /// The shard.
            shard: u32,
            /// The keeper that asks for the copy.
            to: ProcessId,
        },
    }

    /// An answer of a keeper.
    pub enum KeeperAnswer {
        /// The keeper promises to accept no lower round.
        Promised {
            /// The keeper.
            by: ProcessId,
            /// The claim that the keeper has accepted before.
            accepted: Option<AcceptedClaim>,
        },
        /// The keeper accepted the value.
        Accepted {
            /// The keeper.
            by: ProcessId,
        },
        /// The keeper has promised a higher round.
        Outrun {
            /// The round.
            round: Round,
        },
        /// The keeper knows a later attempt of the key.
        Ahead {
            /// The attempt.
            attempt: u64,
        },
        /// The keeper does not vote: it still copies, does not keep the shard, or is full.
        Abstains,
        /// The keeper hands over the claims of a shard.
        Copied {
            /// Every claim of the shard.
            claims: Vec<CopiedClaim>,
        },
    }

    /// A claim that one keeper copies to another.
    pub struct CopiedClaim {
        /// The attempt of the key.
        pub slot: ClaimSlot,
        /// The claim that was accepted.
        pub accepted: Option<AcceptedClaim>,
        /// The time for which the claim must still be remembered.
        pub left: Span,
    }
}

impl Fingerprint {
    /// Returns the fingerprint of a request of a workspace, which is empty for a public route.
    pub fn for_request(workspace: &str, method: &str, path: &str, body: &[u8]) -> Self {
        let mut hash = blake3::Hasher::new();
        for part in [workspace, method, path].map(str::as_bytes) {
            hash.update(&(part.len() as u64).to_be_bytes());
            hash.update(part);
        }
        hash.update(body);
        Self::shorten(&hash)
    }

    /// Returns the fingerprint of a part of the prompts of requests to a service.
    pub fn for_part(service: &ServiceId, part: &PartId) -> Self {
        /// Tells parts from requests, which begin with a length.
        const DOMAIN: &[u8] = b"part of a prompt";
        let mut hash = blake3::Hasher::new();
        hash.update(DOMAIN);
        hash.update(&(service.as_str().len() as u64).to_be_bytes());
        hash.update(service.as_str().as_bytes());
        hash.update(part.as_str().as_bytes());
        Self::shorten(&hash)
    }

    fn shorten(hash: &blake3::Hasher) -> Self {
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
        let invalid = || Self::Err {
            kind: "Fingerprint",
            text: text.chars().take(32).collect(),
        };
        number.map(|n| Self(n.to_be_bytes())).ok_or_else(invalid)
    }
}

impl KeepersHash {
    /// Returns the hash of these keepers.
    pub fn for_hosts(hosts: &[HostId; 3]) -> Self {
        Self(xxh3_64(
            hosts.each_ref().map(HostId::as_str).join("/").as_bytes(),
        ))
    }
}

impl ClaimKey {
    /// Returns the shard that the key belongs to, out of this many shards.
    pub fn shard(&self, shards: usize) -> usize {
        let hash = match self {
            Self::Key { workspace, key } => xxh3_64(format!("{workspace}/{key}").as_bytes()),
            Self::Suspect { fingerprint, .. } => xxh3_64(&fingerprint.0),
        };
        (hash % shards.max(1) as u64) as usize
    }
}
