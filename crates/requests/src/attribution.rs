//! Finds what crashes servers among the requests and parts of prompts that were on servers that ended.
//!
//! Each end of a server implicates all that began there and was not seen to go on. What crashes servers
//! is told from its companions by three signs: it never survives, it is there at end after end, and the
//! ends that it explains need no other cause.

use std::collections::{HashMap, HashSet};

use snipemast_core::prelude::*;

use crate::claim::Fingerprint;
use crate::crash_record::{CrashVerdict, End, Scope};

/// The number of ends in succession that decide about a part that never survived, if nothing else was at all of
/// them and the part was at all ends of that time.
const FEW_ENDS: usize = 2;

/// The number of ends in succession that decide in any case.
const MANY_ENDS: usize = 3;

/// The number of ends at one moment that decide about a part that never survived and was at all ends of that time.
const SIMULTANEOUS_ENDS: usize = 5;

/// How long after its last end a request is quarantined that was decided on at two ends. After that it is suspect, so
/// that one that was there by chance can complete.
const FEW_ENDS_QUARANTINE: Span = Span::from_secs(600);

/// How long after the deciding end a part is quarantined, so that a process that saw it survive can tell.
const SETTLE_TIME: Span = Span::from_secs(1);

/// The ends this long before a part's first one count as of the same time.
const SAME_TIME: Span = Span::from_secs(1);

/// The largest number of places by which a part's place in prompts counts for it.
const MAX_NARROWNESS: usize = 2;

/// What may crash servers, with the ends since it last survived.
#[derive(Debug, Clone)]
pub(crate) struct Candidate<'a> {
    pub(crate) cause: Fingerprint,
    pub(crate) scope: Scope,
    /// Whether it survived at some time, before these ends.
    pub(crate) survived: bool,
    /// The ends, in order.
    pub(crate) ends: Vec<&'a End>,
}

/// All that is known of servers that ended.
#[derive(Debug)]
pub(crate) struct Evidence<'a> {
    /// The parts that were at several ends.
    pub(crate) parts: Vec<Candidate<'a>>,
    /// The requests that were.
    pub(crate) requests: Vec<Candidate<'a>>,
    /// The ends of all servers.
    pub(crate) servers: Vec<&'a End>,
}

/// The verdicts on parts of prompts, and on requests at two ends.
#[derive(Debug, Default)]
pub(crate) struct Attribution {
    verdicts: HashMap<Fingerprint, CrashVerdict>,
    /// When a verdict changes without news.
    pub(crate) next_change: Option<Moment>,
}

/// The identity of an end: a start of a server.
type EndId<'a> = (&'a ServerId, Incarnation);

impl Attribution {
    /// Decides about all parts, and requests at two ends. `explained` are the ends whose cause is known.
    pub(crate) fn new<'a>(
        now: Moment,
        mut evidence: Evidence<'a>,
        mut explained: HashSet<EndId<'a>>,
    ) -> Self {
        let mut attribution = Self::default();
        for request in &evidence.requests {
            let Some(decided) = evidence.request_decided_at(request) else {
                continue;
            };
            let lapses = request
                .ends
                .last()
                .map(|end| end.ended + FEW_ENDS_QUARANTINE);
            if lapses.is_some_and(|at| at <= now) {
                continue;
            }
            explained.extend(request.ends.iter().map(|end| end.id()));
            attribution.quarantine(now, request.cause, decided + SETTLE_TIME);
            attribution.change_at(lapses);
        }
        loop {
            evidence.parts.retain_mut(|part| {
                part.ends.retain(|end| !explained.contains(&end.id()));
                part.ends.len() >= FEW_ENDS
            });
            let servers = &mut evidence.servers;
            servers.retain(|end| !explained.contains(&end.id()));
            let Some((position, decided)) = evidence.find_cause() else {
                break;
            };
            let part = evidence.parts.swap_remove(position);
            explained.extend(part.ends.iter().map(|end| end.id()));
            attribution.quarantine(now, part.cause, decided + SETTLE_TIME);
        }
        let suspects = evidence.parts.iter().filter(|part| part.is_suspect());
        let suspects = suspects.map(|part| (part.cause, CrashVerdict::Suspect));
        attribution.verdicts.extend(suspects);
        attribution
    }

    /// Returns the verdict on a part.
    pub(crate) fn verdict(&self, part: &Fingerprint) -> CrashVerdict {
        let verdict = self.verdicts.get(part);
        verdict.copied().unwrap_or(CrashVerdict::Clear)
    }

    /// Quarantines a request or part, from the moment on at which that is settled.
    fn quarantine(&mut self, now: Moment, cause: Fingerprint, settled: Moment) {
        let verdict = if now < settled {
            self.change_at(Some(settled));
            CrashVerdict::Undecided
        } else {
            CrashVerdict::Quarantined
        };
        self.verdicts.insert(cause, verdict);
    }

    /// Records that a verdict changes at some moment without further records.
    fn change_at(&mut self, moment: Option<Moment>) {
        let changes = self.next_change.into_iter().chain(moment);
        self.next_change = changes.min();
    }
}

impl Evidence<'_> {
    /// Returns the position of the part that most likely crashes servers, if one certainly does, and when that was
    /// decided. Parts that never survived go first.
    fn find_cause(&self) -> Option<(usize, Moment)> {
        let decided = self.parts.iter().enumerate();
        let decided = decided.filter_map(|(at, part)| Some((at, self.decided_at(part)?)));
        decided.max_by_key(|(at, _)| {
            let part = &self.parts[*at];
            (!part.survived, part.weight(), part.scope, part.cause)
        })
    }

    /// Returns when the end came that decides that a part crashes servers, if there are enough.
    fn decided_at(&self, part: &Candidate<'_>) -> Option<Moment> {
        let successive = part.successive_ends();
        if let Some(end) = successive.get(MANY_ENDS - 1) {
            return Some(end.ended);
        }
        let few = successive.get(FEW_ENDS - 1);
        let few = few.filter(|_| !self.has_rival(part));
        let deciding = few.or_else(|| part.ends.get(SIMULTANEOUS_ENDS - 1))?.ended;
        (!part.survived && self.was_at_all(part, deciding)).then_some(deciding)
    }

    /// Returns when the end came that decides that a request crashes servers, if its second one does: it never
    /// completed, several copies of it were under way at an end, it was at all ends of servers since its first one, and
    /// no other such request was at all of its ends.
    fn request_decided_at(&self, request: &Candidate<'_>) -> Option<Moment> {
        let deciding = request.successive_ends().get(FEW_ENDS - 1)?.ended;
        if request.survived || !request.has_copies() || !self.was_at_all(request, deciding) {
            return None;
        }
        let others = self.requests.iter().filter(|o| o.cause != request.cause);
        let mut rivals = others.filter(|other| !other.survived && other.has_copies());
        let has_rival = rivals.any(|rival| request.ends.iter().all(|end| rival.was_at(end)));
        (!has_rival).then_some(deciding)
    }

    /// Whether another cause was at all ends of a part.
    fn has_rival(&self, part: &Candidate<'_>) -> bool {
        let fresh = self.parts.iter().filter(|other| !other.survived);
        let others = fresh.chain(&self.requests);
        let mut others = others.filter(|other| other.cause != part.cause);
        others.any(|other| part.ends.iter().all(|end| other.was_at(end)))
    }

    /// Whether a cause was at all ends of servers from its first one until it was decided on. If it was not, something
    /// else ended servers too. Later ends of servers don't count.
    fn was_at_all(&self, cause: &Candidate<'_>, decided: Moment) -> bool {
        let Some(first) = cause.ends.first() else {
            return false;
        };
        let ends = self.servers.iter();
        let mut ends = ends.filter(|end| {
            end.ended + SAME_TIME >= first.ended && end.ended <= decided + SETTLE_TIME
        });
        ends.all(|end| cause.was_at(end))
    }
}

impl<'a> Candidate<'a> {
    /// Whether requests with the part are sent only once. A part that survived before may have been at several ends
    /// of one moment because many requests have it, and these go on at other servers.
    fn is_suspect(&self) -> bool {
        !self.survived || self.successive_ends().len() >= FEW_ENDS
    }

    /// Whether several attempts at the request were under way at one of its ends.
    fn has_copies(&self) -> bool {
        self.ends.iter().any(|end| end.has_copies())
    }

    fn was_at(&self, end: &End) -> bool {
        self.ends.iter().any(|e| e.id() == end.id())
    }

    /// Returns the ends that followed one another: the cause was sent to each of these servers after the one before
    /// it had ended.
    fn successive_ends(&self) -> Vec<&'a End> {
        let mut successive: Vec<&End> = Vec::new();
        for end in &self.ends {
            if successive.last().is_none_or(|last| end.sent >= last.ended) {
                successive.push(end);
            }
        }
        successive
    }

    /// Returns the number of ends, and more for a part that is narrower: a broad part is in the requests of many
    /// callers, so it needs more ends than a narrow one that was at nearly all of them.
    fn weight(&self) -> usize {
        let place = match self.scope {
            Scope::Part(place) => usize::from(place),
            Scope::Request | Scope::Servers => 0,
        };
        self.ends.len() + place.min(MAX_NARROWNESS)
    }
}
