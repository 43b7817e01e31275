//! How a process gets the newest configuration from controllers.
//!
//! A process names the version that it has, and gets what changed since, or the whole configuration where a controller
//! doesn't know that. Either comes in pieces of a bounded size, so that a time limit on a piece ends no transfer for its size,
//! and a transfer goes on where it broke off, also at another controller.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use snipemast_core::data;
use snipemast_core::hash::mix;
use snipemast_core::prelude::*;
use snipemast_diff::{Diff, Fingerprint, MAX_TEXT_BYTES};

/// The path of a request for a piece.
pub const PATH: &str = "/configuration";

/// How long a controller may send nothing before another one is asked: several round-trips and a lost packet, and a fifth
/// of the shortest time within which a configuration must be in force.
pub const FETCH_TIMEOUT: Span = Span::from_millis(400);

/// How long a controller that failed is asked only if all others failed since.
const FAILURE_MEMORY: Span = Span::from_secs(2);

/// The size of a piece in bytes: large enough to need few round-trips, and a small part of what a slow link carries in
/// [`FETCH_TIMEOUT`].
const PIECE_BYTES: usize = 128 << 10;

/// How long after its last use a transfer's content is kept.
const TRANSFER_TIMEOUT: Span = Span::from_secs(3);

/// The most transfers whose content a controller keeps.
const MAX_TRANSFERS: usize = 8;

data! {
    /// Identifies what is transferred. It is the same at all controllers.
    #[derive(Copy)]
    pub struct Transfer {
        /// The version that the changes start from, or 0 if the configuration is sent whole.
        pub from: Version,
        /// The version that they lead to.
        pub to: Version,
        /// The encoded changes.
        pub content: Fingerprint,
    }

    /// A request for a piece.
    #[derive(Copy)]
    pub struct FetchRequest {
        /// The version that the sender has, or 0 if it has none.
        pub have: Version,
        /// The transfer that the sender has a part of.
        pub transfer: Option<Transfer>,
        /// The number of bytes that it has.
        pub offset: u64,
    }

    /// A piece of a transfer.
    pub struct Piece {
        /// The transfer. It may be another one than requested, of which this is the first piece.
        pub transfer: Transfer,
        /// The offset of the piece in bytes.
        pub offset: u64,
        /// The bytes.
        #[serde(with = "serde_bytes")]
        pub bytes: Vec<u8>,
    }

    /// The answer to a request for a piece.
    pub enum FetchAnswer {
        /// The piece.
        Piece(Piece),
        /// The controller knows no later version.
        Current,
    }
}

/// The configuration that a controller has, for those that fetch it.
pub trait Original {
    /// Returns its version.
    fn version(&self) -> Version;

    /// Whether it is known what changed since a version.
    fn has_changes_since(&self, version: Version) -> bool;

    /// Returns what changed since a version, or since no configuration for 0.
    fn changes_since(&self, version: Version) -> Vec<Diff>;
}

/// The content of a controller's transfers.
///
/// Content is kept while it is used, so that a slow transfer ends although the configuration has changed meanwhile.
#[derive(Debug, Default)]
pub struct Transfers {
    kept: Vec<Content>,
}

#[derive(Debug)]
struct Content {
    transfer: Transfer,
    bytes: Vec<u8>,
    used: Moment,
}

impl Transfers {
    /// Answers a request for a piece.
    pub fn answer(
        &mut self,
        now: Moment,
        request: &FetchRequest,
        original: &impl Original,
    ) -> FetchAnswer {
        self.expire(now);
        let requested = request.transfer;
        let underway = requested.and_then(|t| self.kept.iter().position(|c| c.transfer == t));
        if let Some(at) = underway {
            return self.piece(now, at, request.offset);
        }
        let to = original.version();
        if to <= request.have {
            return FetchAnswer::Current;
        }
        let from = if original.has_changes_since(request.have) {
            request.have
        } else {
            Version(0)
        };
        let at = self.position(now, from, to, original);
        let same = requested == Some(self.kept[at].transfer);
        self.piece(now, at, if same { request.offset } else { 0 })
    }

    /// Forgets what was not used for a while.
    pub fn expire(&mut self, now: Moment) {
        self.kept.retain(|c| now < c.used + TRANSFER_TIMEOUT);
    }

    /// Returns the position of the content that leads from one version to another, which is created if need be.
    fn position(
        &mut self,
        now: Moment,
        from: Version,
        to: Version,
        original: &impl Original,
    ) -> usize {
        let leads = |c: &Content| (c.transfer.from, c.transfer.to) == (from, to);
        if let Some(at) = self.kept.iter().position(leads) {
            return at;
        }
        if self.kept.len() >= MAX_TRANSFERS {
            let oldest = (0..self.kept.len()).min_by_key(|at| self.kept[*at].used);
            if let Some(oldest) = oldest {
                self.kept.swap_remove(oldest);
            }
        }
        let bytes = encode(&original.changes_since(from));
        let content = Fingerprint::new(&bytes);
        let transfer = Transfer { from, to, content };
        self.kept.push(Content {
            transfer,
            bytes,
            used: now,
        });
        self.kept.len() - 1
    }

    fn piece(&mut self, now: Moment, at: usize, offset: u64) -> FetchAnswer {
        let content = &mut self.kept[at];
        content.used = now;
        let from = (offset as usize).min(content.bytes.len());
        let end = (from + PIECE_BYTES).min(content.bytes.len());
        FetchAnswer::Piece(Piece {
            transfer: content.transfer,
            offset,
            bytes: content.bytes[from..end].to_vec(),
        })
    }
}

fn encode(changes: &[Diff]) -> Vec<u8> {
    rmp_serde::to_vec_named(changes).expect("MessagePack can encode every diff")
}

/// Fetches the newest configuration that controllers have reported: one piece at a time, from one controller at a time.
///
/// With several at once, links between availability zones would carry each configuration once for each controller.
#[derive(Debug)]
pub struct Fetcher {
    /// Differs between processes, which spreads them over the controllers of their availability zone.
    seed: u64,
    sources: BTreeMap<SocketAddr, Source>,
    incomplete: Option<(Transfer, Vec<u8>)>,
}

/// A controller that may be asked.
#[derive(Debug)]
struct Source {
    version: Version,
    same_zone: bool,
    failed: Option<Moment>,
}

/// The next request, and whom to send it to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NextRequest {
    /// The controller.
    pub controller: SocketAddr,
    /// The request.
    pub request: FetchRequest,
}

/// What a complete transfer holds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fetched {
    /// The transfer.
    pub transfer: Transfer,
    /// The changes, in order.
    pub changes: Vec<Diff>,
}

impl Fetcher {
    /// Creates a fetcher that knows no controller.
    pub fn new(seed: u64) -> Self {
        Self {
            seed,
            sources: BTreeMap::new(),
            incomplete: None,
        }
    }

    /// Records the version that a controller reports, and whether it is in the own availability zone.
    pub fn record_version(&mut self, controller: SocketAddr, version: Version, same_zone: bool) {
        let source = self.sources.entry(controller).or_insert(Source {
            version,
            same_zone,
            failed: None,
        });
        (source.version, source.same_zone) = (version, same_zone);
    }

    /// Forgets the controllers for which `keep` doesn't hold.
    pub fn retain_sources(&mut self, keep: impl Fn(SocketAddr) -> bool) {
        self.sources.retain(|controller, _| keep(*controller));
    }

    /// Whether some controller has reported a later version.
    pub fn lags(&self, have: Version) -> bool {
        self.sources.values().any(|s| s.version > have)
    }

    /// Returns the next request, if a controller has reported a later version.
    pub fn next_request(&mut self, now: Moment, have: Version) -> Option<NextRequest> {
        let later = self.sources.iter().filter(|(_, s)| s.version > have);
        let (controller, _) = later.min_by_key(|(controller, source)| {
            let failed = source.failed.filter(|at| now < *at + FAILURE_MEMORY);
            let spread = mix(self.seed ^ u64::from(controller.port()) ^ mix_ip(controller));
            (failed, !source.same_zone, spread)
        })?;
        let fits = |t: &Transfer| t.to > have && (t.from == have || t.from == Version(0));
        let incomplete = self.incomplete.as_ref().filter(|(t, _)| fits(t));
        Some(NextRequest {
            controller: *controller,
            request: FetchRequest {
                have,
                transfer: incomplete.map(|(transfer, _)| *transfer),
                offset: incomplete.map_or(0, |(_, bytes)| bytes.len() as u64),
            },
        })
    }

    /// Records a controller's answer. Returns the changes once all pieces have arrived.
    pub fn receive(
        &mut self,
        now: Moment,
        controller: SocketAddr,
        answer: FetchAnswer,
        have: Version,
    ) -> Option<Fetched> {
        let FetchAnswer::Piece(piece) = answer else {
            // It has lost what it reported, and reports again once it knows a later version.
            if let Some(source) = self.sources.get_mut(&controller) {
                source.version = have;
            }
            return None;
        };
        if !self.add(piece) {
            self.record_failure(now, controller);
            return None;
        }
        let (transfer, bytes) = self.incomplete.take()?;
        if (bytes.len() as u64) < transfer.content.length {
            self.incomplete = Some((transfer, bytes));
            return None;
        }
        if Fingerprint::new(&bytes) != transfer.content {
            self.record_failure(now, controller);
            return None;
        }
        let Ok(changes) = rmp_serde::from_slice(&bytes) else {
            self.record_failure(now, controller);
            return None;
        };
        Some(Fetched { transfer, changes })
    }

    /// Adds a piece to its transfer; returns false for one that doesn't continue it.
    fn add(&mut self, piece: Piece) -> bool {
        let Piece {
            transfer,
            offset,
            bytes,
        } = piece;
        let same = self
            .incomplete
            .as_ref()
            .is_some_and(|(t, _)| *t == transfer);
        if !same {
            self.incomplete = Some((transfer, Vec::new()));
        }
        let Some((_, received)) = &mut self.incomplete else {
            return false;
        };
        let left = transfer.content.length.checked_sub(offset);
        let fits = transfer.content.length <= MAX_TEXT_BYTES
            && offset == received.len() as u64
            && left.is_some_and(|left| bytes.len() as u64 <= left)
            && !bytes.is_empty();
        if fits {
            received.extend_from_slice(&bytes);
        } else {
            self.incomplete = None;
        }
        fits
    }

    /// Records that a controller didn't answer, or sent something that is of no use.
    pub fn record_failure(&mut self, now: Moment, controller: SocketAddr) {
        if let Some(source) = self.sources.get_mut(&controller) {
            source.failed = Some(now);
        }
    }
}

fn mix_ip(address: &SocketAddr) -> u64 {
    match address.ip() {
        std::net::IpAddr::V4(ip) => mix(u64::from(ip.to_bits())),
        std::net::IpAddr::V6(ip) => mix(ip.to_bits() as u64),
    }
}
