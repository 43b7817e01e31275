//! The numbered events of all processes, and the bounded ring buffer that keeps them.
//!
//! Every log line and every entry of the timeline has one [`Event`]. A test compares the catalogue
//! in `docs/EVENTS.md` with [`Event::ALL`].

use std::collections::VecDeque;
use std::fmt;
use std::sync::atomic::{AtomicU64, Ordering};

use parking_lot::Mutex;

use crate as snipemast_core;
use crate::data;
use crate::hlc::{HybridClock, Stamp};
use crate::ids::ProcessId;

macro_rules! events {
    ($($(#[doc = $doc:literal])+ $name:ident = $number:literal;)+) => {
        data! {
            /// A kind of event, identified by its number.
            #[derive(Copy, PartialOrd, Ord, Hash)]
            #[serde(into = "u16", try_from = "u16")]
            pub enum Event {
                $($(#[doc = $doc])+ $name = $number,)+
            }
        }

        impl Event {
            /// All events, ordered by number.
            pub const ALL: &'static [Event] = &[$(Event::$name,)+];

            /// Returns the name of the event in logs and in the catalogue.
            pub const fn name(self) -> &'static str {
                match self {
                    $(Event::$name => stringify!($name),)+
                }
            }

            /// Returns the description of the event in the catalogue.
            pub const fn meaning(self) -> &'static str {
                match self {
                    $(Event::$name => concat!($($doc),+),)+
                }
            }
        }
    };
}

events! {
    /// A process started.
    ProcessStarted = 100;
    /// A process began its graceful shutdown.
    DrainBegun = 101;
    /// A process ended with nothing in flight.
    ProcessEnded = 102;
    /// A process ended with requests still in flight, at the bound of its shutdown.
    DrainExpired = 103;
    /// Settings were refused.
    SettingsRefused = 104;
    /// Log lines were left out, by kind, because there were too many in a second.
    LinesLeftOut = 105;
    /// A request arrived from a caller.
    RequestReceived = 200;
    /// A request was refused before it ran.
    RequestRefused = 201;
    /// A backend server was chosen for a request.
    RequestRouted = 202;
    /// A request was sent to an agent.
    RequestDispatched = 203;
    /// The first bytes of an answer reached the entry.
    AnswerBegun = 204;
    /// An answer was delivered in whole.
    AnswerDelivered = 205;
    /// An answer ended in a typed error.
    AnswerFailed = 206;
    /// An attempt failed and the request was tried again.
    RequestRetried = 207;
    /// A connection went silent and was retired.
    ConnectionRetired = 208;
    /// A stream was resumed from an offset on a new connection.
    StreamResumed = 209;
    /// A lost attempt was settled with its agent.
    AttemptSettled = 210;
    /// A frame for another dispatch or offset was dropped.
    FrameDropped = 211;
    /// A caller went away before its answer was whole.
    CallerGone = 212;
    /// An answer began, paused or ended later than its route aims at.
    AnswerLate = 213;
    /// An agent took a dispatch into its ledger.
    DispatchAccepted = 300;
    /// An agent refused a dispatch as not run.
    DispatchRefused = 301;
    /// A dispatch finished on the backend server.
    DispatchFinished = 302;
    /// A dispatch failed on the backend server.
    DispatchFailed = 303;
    /// A dispatch id was barred before it arrived.
    DispatchBarred = 304;
    /// A dispatch was cancelled on the backend server.
    DispatchCancelled = 305;
    /// A backend server died.
    ServerDied = 306;
    /// A request fingerprint gained suspicion.
    RequestSuspected = 307;
    /// A request fingerprint was quarantined.
    RequestQuarantined = 308;
    /// A key was claimed for a non-idempotent request.
    KeyClaimed = 309;
    /// A resend with a known key was attached to its first run.
    KeyAttached = 310;
    /// A request fingerprint is no longer suspected or quarantined, because the request completed.
    RequestCleared = 311;
    /// A patch was accepted and got its version.
    PatchAccepted = 400;
    /// A patch was refused.
    PatchRefused = 401;
    /// A version of the configuration came into force in a process.
    VersionApplied = 402;
    /// A process was elected control leader.
    LeaderElected = 403;
    /// A control leader stepped down.
    LeaderEnded = 404;
    /// A voter was added, promoted or removed.
    VoterChanged = 405;
    /// A snapshot of the control state was written.
    SnapshotWritten = 406;
    /// A damaged data folder was refused.
    StorageRefused = 407;
    /// An order with an old fencing number was refused.
    OrderRefused = 408;
    /// An order was passed to a backend server.
    OrderPassed = 409;
    /// An operator's order to evacuate an availability zone, or to take it back, was accepted, or came into force in a process.
    ZoneEvacuated = 410;
    /// An operator's order to evacuate an availability zone, or to take it back, was refused.
    EvacuationRefused = 411;
    /// A piece of a configuration did not arrive, or the changes did not fit.
    DocumentFetchFailed = 412;
    /// A version of the configuration came into force although it has a fault, which an older release had acknowledged.
    FaultyInForce = 413;
    /// A member joined the view.
    MemberJoined = 500;
    /// A member began to drain.
    MemberDraining = 501;
    /// A member left or was removed from the view.
    MemberRemoved = 502;
    /// A member or zone can't be reached, and is remembered.
    MemberUnreachable = 503;
    /// Two processes with one identity were found.
    IdentityClash = 504;
    /// A peer's clock is too far ahead to be followed.
    ClockIgnored = 505;
    /// A server's words can't be read or name nothing that is known, and are ignored.
    AnnouncementIgnored = 506;
    /// A value that processes exchange was dropped, because it is too long or too many processes publish one.
    ValueDropped = 507;
    /// A new expert map was proposed.
    MapProposed = 600;
    /// A rank promised to enter no step without a verdict.
    MapPromised = 601;
    /// A new expert map was committed.
    MapCommitted = 602;
    /// A new expert map was aborted.
    MapAborted = 603;
    /// A group was held at a step for want of a verdict.
    GroupHeld = 604;
    /// A group started again on another set of ranks.
    GroupRestarted = 605;
    /// A rebalancing move was planned.
    MovePlanned = 606;
    /// A rebalancing move was considered and not made.
    MoveDeclined = 607;
    /// A group was held by a lead that fell silent, and another process lets it go on.
    LeadOvertaken = 608;
    /// A rank's place in its group, or whether its group goes on, was told to controllers.
    RankTold = 609;
    /// A workspace went over a limit.
    LimitReached = 700;
    /// A backend server was ejected as an outlier.
    ServerEjected = 701;
    /// A backend server came back from ejection.
    ServerReturned = 702;
    /// Requests spill into another zone.
    ZoneSpilled = 703;
    /// None of a service's servers can run anything.
    ServiceOut = 704;
    /// A service that was out answers again.
    ServiceReopened = 705;
    /// A request waits for a service that is out or full.
    RequestQueued = 706;
    /// A backend server names a limit on the requests that all hosts send it, or another one than before.
    LimitNamed = 707;
    /// A backend server names no limit any more.
    LimitEnded = 708;
    /// A backend server turned a request away and wants nothing from this host for a time.
    RestAsked = 709;
    /// A backend server takes requests again after its rest.
    RestEnded = 710;
    /// A backend server's answer says that it leaves.
    LeavingTold = 711;
    /// A backend server's answer has a header that this process does not know.
    HeaderUnknown = 712;
    /// A backend server is left out, because several hosts saw it fail far more than others.
    ServerLeftOut = 713;
    /// A backend server that was left out takes requests again.
    ServerTakenBack = 714;
    /// Why connections to a backend server broke is known, and it had not died.
    BreakExplained = 715;
    /// This process is overloaded and closes new connections unread, or has too many.
    IntakeClosed = 716;
    /// This process reads all new connections again.
    IntakeOpened = 717;
    /// The connection of a caller failed, or was closed here, before its answer was written.
    AnswerCut = 718;
}

impl Event {
    /// Returns the number of the event.
    pub const fn number(self) -> u16 {
        self as u16
    }

    /// Whether the event occurs for every request that goes well.
    pub const fn is_routine(self) -> bool {
        matches!(
            self,
            Self::RequestReceived
                | Self::RequestRouted
                | Self::RequestDispatched
                | Self::AnswerBegun
                | Self::AnswerDelivered
                | Self::DispatchAccepted
                | Self::DispatchFinished
        )
    }
}

impl From<Event> for u16 {
    fn from(event: Event) -> Self {
        event.number()
    }
}

impl TryFrom<u16> for Event {
    type Error = UnknownEvent;

    fn try_from(number: u16) -> Result<Self, UnknownEvent> {
        let found = Self::ALL.iter().find(|e| e.number() == number);
        found.copied().ok_or(UnknownEvent { number })
    }
}

/// A number that belongs to no event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UnknownEvent {
    /// The number.
    pub number: u16,
}

impl fmt::Display for UnknownEvent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "no event has the number {}", self.number)
    }
}

impl std::error::Error for UnknownEvent {}

data! {
    /// One event that occurred in a process.
    pub struct Record {
        /// The time of the event, in hybrid logical time.
        pub stamp: Stamp,
        /// The process.
        pub process: ProcessId,
        /// The kind of event.
        pub event: Event,
        /// The request, patch, group or member that the event is about.
        pub subject: String,
        /// Further facts as text.
        pub detail: String,
    }
}

impl Record {
    /// Whether the record is about this request, patch, group or process, or mentions it.
    pub fn mentions(&self, about: &str) -> bool {
        let words = |text: &str| {
            text.split([' ', ',', ';', '(', ')'])
                .any(|word| word == about)
        };
        words(&self.subject) || words(&self.detail)
    }
}

impl fmt::Display for Record {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            stamp,
            process,
            event,
            subject,
            detail,
        } = self;
        write!(
            f,
            "{stamp} {process} {} {} {subject} {detail}",
            event.number(),
            event.name()
        )
    }
}

/// A ring buffer of a process's latest events; the oldest is removed when it is full.
#[derive(Debug)]
pub struct Ring {
    process: ProcessId,
    clock: HybridClock,
    capacity: usize,
    /// The minute of the last [`Event::ClockIgnored`].
    ignored_minute: AtomicU64,
    records: Mutex<VecDeque<Record>>,
    /// How often each event occurred, in the order of [`Event::ALL`].
    counts: Vec<AtomicU64>,
}

impl Ring {
    /// Creates an empty ring for this process that keeps at most `capacity` records.
    pub fn new(process: ProcessId, capacity: usize) -> Self {
        let records = Mutex::new(VecDeque::with_capacity(capacity.min(1_024)));
        Self {
            process,
            clock: HybridClock::new(),
            capacity: capacity.max(1),
            ignored_minute: AtomicU64::new(0),
            records,
            counts: Event::ALL.iter().map(|_| AtomicU64::new(0)).collect(),
        }
    }

    /// Returns the process whose events the ring keeps.
    pub fn process(&self) -> &ProcessId {
        &self.process
    }

    /// Returns the clock that stamps the records.
    pub fn clock(&self) -> &HybridClock {
        &self.clock
    }

    /// Moves the clock past a peer's stamp, or records that the stamp is too far ahead.
    pub fn observe(&self, peer: Stamp) {
        if self.clock.observe(peer) {
            return;
        }
        let ahead = peer.micros.saturating_sub(self.clock.tick().micros) / 1_000_000;
        // At most one event per minute, because the peer continues to send stamps.
        let minute = self.clock.tick().micros / 60_000_000;
        if self.ignored_minute.swap(minute, Ordering::Relaxed) != minute {
            self.record(
                Event::ClockIgnored,
                "",
                format_args!("it is {ahead} s ahead"),
            );
        }
    }

    /// Records an event with the current stamp.
    pub fn record(&self, event: Event, subject: impl fmt::Display, detail: impl fmt::Display) {
        if let Ok(place) = Event::ALL.binary_search(&event) {
            self.counts[place].fetch_add(1, Ordering::Relaxed);
        }
        let (subject, detail) = (subject.to_string(), detail.to_string());
        let mut records = self.records.lock();
        // The stamp is taken under the lock, so that the ring is ordered by stamps and its pages
        // omit nothing.
        let record = Record {
            stamp: self.clock.tick(),
            process: self.process.clone(),
            event,
            subject,
            detail,
        };
        if records.len() == self.capacity {
            records.pop_front();
        }
        records.push_back(record);
    }

    /// Returns at most `limit` records after a stamp, oldest first, and whether more follow. With
    /// `about`, only records that mention it are returned.
    pub fn page(&self, after: Stamp, limit: usize, about: Option<&str>) -> (Vec<Record>, bool) {
        let records = self.records.lock();
        let start = records.partition_point(|r| r.stamp <= after);
        let mut wanted = records
            .range(start..)
            .filter(|r| about.is_none_or(|about| r.mentions(about)));
        let page: Vec<_> = wanted.by_ref().take(limit).cloned().collect();
        let more = wanted.next().is_some();
        (page, more)
    }

    /// Returns the stamp of the oldest record in the ring.
    pub fn oldest(&self) -> Stamp {
        self.records
            .lock()
            .front()
            .map_or_else(Stamp::default, |r| r.stamp)
    }

    /// Returns how often each event occurred, including records that were removed.
    pub fn counts(&self) -> Vec<(Event, u64)> {
        let counts = self
            .counts
            .iter()
            .map(|count| count.load(Ordering::Relaxed));
        let all = Event::ALL.iter().copied().zip(counts);
        all.filter(|(_, count)| *count > 0).collect()
    }

    /// Returns the counts as lines in the Prometheus text format.
    pub fn exposition(&self) -> String {
        let counts = self.counts().into_iter();
        let line = |(event, count): (Event, u64)| {
            let name = event.name();
            format!("snipemast_events_total{{event=\"{name}\"}} {count}\n")
        };
        counts.map(line).collect()
    }

    /// Returns the records since a stamp, oldest first.
    pub fn since(&self, stamp: Stamp) -> Vec<Record> {
        self.records
            .lock()
            .iter()
            .filter(|r| r.stamp >= stamp)
            .cloned()
            .collect()
    }
}
