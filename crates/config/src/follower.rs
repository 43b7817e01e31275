//! Keeps one process at the newest version of the configuration that it can get.
//!
//! The follower sends long polls to one source at a time. It moves to the next source when one
//! fails or is itself out of date. It does no I/O: the caller carries out each [`Output`], and
//! passes in replies, failures and the passing of time as [`Input`].

use std::sync::Arc;

use snipemast_core::prelude::*;

use crate::delta::Delta;
use crate::document::Config;
use crate::news::{Ask, News, Reply, SnapshotHead, MAX_SNAPSHOT_BYTES};

data! {
    /// The id of a request of a follower; replies to any but the last request are dropped.
    #[derive(Copy, PartialOrd, Ord, Hash)]
    pub struct AskId(u64);
}

/// The timeouts of a follower.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FollowerTimeouts {
    /// How long a source may hold a poll until there is a later version.
    pub wait: Span,
    /// How long a source may hold a poll while the follower is out of date. This is shorter, so
    /// that the other sources are soon asked too.
    pub stale_wait: Span,
    /// How much longer than the hold time a reply may take before it counts as lost.
    pub grace: Span,
    /// The age of its last confirmation from which on a version counts as out of date.
    pub stale_age: Span,
    /// The shortest time between two polls without a later version.
    pub min_pause: Span,
    /// The longest pause after consecutive failures.
    pub max_pause: Span,
    /// How long a follower stays with another source before it returns to the preferred one.
    pub fallback_time: Span,
}

impl Default for FollowerTimeouts {
    fn default() -> Self {
        Self {
            wait: Span::from_secs(5),
            stale_wait: Span::from_secs(1),
            grace: Span::from_secs(2),
            stale_age: Span::from_secs(15),
            min_pause: Span::from_millis(200),
            max_pause: Span::from_secs(2),
            fallback_time: Span::from_secs(60),
        }
    }
}

/// An event that a follower handles.
#[derive(Debug, Clone)]
pub enum Input {
    /// Time has passed.
    Tick,
    /// A reply has arrived.
    Reply {
        /// The request that it answers.
        ask: AskId,
        /// The reply.
        reply: Reply,
    },
    /// A request got no reply: it was refused or timed out, or its connection broke.
    Lost {
        /// The request.
        ask: AskId,
    },
}

/// An action that a follower asks its caller to take.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Output {
    /// Send a request to a source.
    Send {
        /// The request's id.
        id: AskId,
        /// The index of the source.
        source: usize,
        /// The request.
        ask: Ask,
        /// How long the reply may take.
        timeout: Span,
    },
    /// Close the connections to a source.
    Retire {
        /// The index of the source.
        source: usize,
    },
    /// Bring a later version into force, which is complete.
    Apply {
        /// The version.
        config: Arc<Config>,
        /// The delta from the version before, or `None` if the version came as a snapshot.
        delta: Option<Box<Delta>>,
    },
}

/// Keeps one process at the newest version of the configuration that it can get.
#[derive(Debug)]
pub struct Follower {
    timeouts: FollowerTimeouts,
    sources: usize,
    source: usize,
    moved_at: Moment,
    failures: u32,
    seed: u64,
    last_ask: u64,
    confirmed: Option<Confirmation>,
    linked: bool,
    fence: Fence,
    config: Arc<Config>,
    state: State,
}

#[derive(Debug)]
enum State {
    Idle {
        until: Moment,
    },
    Waiting {
        id: AskId,
        sent: Moment,
        deadline: Moment,
        partial: Option<Partial>,
    },
}

/// When a source replied, and how long before that the control leader had confirmed its version.
///
/// The two are kept apart because a confirmation can be older than this process. As a [`Moment`],
/// it would be cut off at the start of the clock, and the version of a source that was cut off for
/// an hour would seem to be only as old as the process.
#[derive(Debug, Clone, Copy)]
struct Confirmation {
    /// The earliest moment at which the source can have replied.
    replied: Moment,
    /// The age of the confirmation at that moment.
    age: Span,
}

impl Confirmation {
    fn age(&self, now: Moment) -> Span {
        Span::from_micros(self.age.as_micros() + now.since(self.replied).as_micros())
    }
}

/// A snapshot of which some pieces have arrived.
#[derive(Debug)]
struct Partial {
    head: SnapshotHead,
    bytes: Vec<u8>,
}

impl Follower {
    /// Creates a follower that has a configuration and can ask a number of sources, of which the
    /// first is the preferred one.
    ///
    /// The seed spreads the pauses of many followers.
    pub fn new(sources: usize, config: Arc<Config>, seed: u64) -> Self {
        Self {
            timeouts: FollowerTimeouts::default(),
            sources,
            source: 0,
            moved_at: Moment::ZERO,
            failures: 0,
            seed,
            last_ask: 0,
            confirmed: None,
            linked: false,
            fence: Fence::default(),
            config,
            state: State::Idle {
                until: Moment::ZERO,
            },
        }
    }

    /// Sets the timeouts.
    #[must_use]
    pub fn with_timeouts(mut self, timeouts: FollowerTimeouts) -> Self {
        self.timeouts = timeouts;
        self
    }

    /// Returns the newest configuration that the follower has.
    pub fn config(&self) -> &Arc<Config> {
        &self.config
    }

    /// Returns how long ago the control leader confirmed the follower's version, or `None` if that
    /// is not known.
    pub fn age(&self, now: Moment) -> Option<Span> {
        self.confirmed.map(|c| c.age(now))
    }

    /// Whether the last request succeeded.
    pub fn is_linked(&self) -> bool {
        self.linked
    }

    /// Returns the highest fencing number of all replies.
    pub fn fence(&self) -> Fence {
        self.fence
    }

    /// Returns when the follower next needs an [`Input::Tick`].
    pub fn wake(&self) -> Moment {
        match &self.state {
            State::Idle { .. } if self.sources == 0 => Moment::NEVER,
            State::Idle { until } => *until,
            State::Waiting { deadline, .. } => *deadline,
        }
    }

    /// Handles one input and returns the actions to take.
    pub fn handle(&mut self, now: Moment, input: Input) -> Vec<Output> {
        let mut out = Vec::new();
        match input {
            Input::Tick => self.tick(now, &mut out),
            Input::Lost { ask } if self.is_current(ask) => self.fail(now, &mut out),
            // A delayed or duplicated reply can arrive after a later request was sent, and would
            // make the version jump back and forth. Only a reply to the last request counts.
            Input::Reply { ask, reply } if self.is_current(ask) => {
                self.handle_reply(now, reply, &mut out)
            }
            Input::Lost { .. } | Input::Reply { .. } => {}
        }
        out
    }

    fn is_current(&self, ask: AskId) -> bool {
        matches!(&self.state, State::Waiting { id, .. } if *id == ask)
    }

    fn tick(&mut self, now: Moment, out: &mut Vec<Output>) {
        if now < self.wake() {
            return;
        }
        match &self.state {
            State::Idle { .. } => self.poll(now, out),
            State::Waiting { .. } => self.fail(now, out),
        }
    }

    fn poll(&mut self, now: Moment, out: &mut Vec<Output>) {
        if self.source != 0 && now.since(self.moved_at) >= self.timeouts.fallback_time {
            self.move_to(0, now);
        }
        let wait = if self.is_stale(now, self.confirmed) {
            self.timeouts.stale_wait
        } else {
            self.timeouts.wait
        };
        let after = self.config.version;
        self.send(now, Ask::Poll { after, wait }, wait, None, out);
    }

    fn send(
        &mut self,
        now: Moment,
        ask: Ask,
        wait: Span,
        partial: Option<Partial>,
        out: &mut Vec<Output>,
    ) {
        self.last_ask += 1;
        let id = AskId(self.last_ask);
        let timeout = Span::from_micros(wait.as_micros() + self.timeouts.grace.as_micros());
        self.state = State::Waiting {
            id,
            sent: now,
            deadline: now + timeout,
            partial,
        };
        out.push(Output::Send {
            id,
            source: self.source,
            ask,
            timeout,
        });
    }

    fn handle_reply(&mut self, now: Moment, reply: Reply, out: &mut Vec<Output>) {
        let idle = State::Idle { until: now };
        let State::Waiting { sent, partial, .. } = std::mem::replace(&mut self.state, idle) else {
            return;
        };
        self.fence = self.fence.max(reply.fence);
        let updated = match (reply.news, partial) {
            (News::Unchanged, None) => Some(false),
            (News::Delta(delta), None) => self.apply_delta(delta, out).then_some(true),
            (News::Snapshot(head), None) => return self.begin_snapshot(now, head, out),
            (
                News::Piece {
                    version,
                    offset,
                    bytes,
                },
                Some(partial),
            ) if version == partial.head.version && offset == partial.bytes.len() as u64 => {
                return self.add_piece(now, partial, &bytes, out);
            }
            _ => None,
        };
        let Some(updated) = updated else {
            return self.fail(now, out);
        };
        let replied = sent + reply.held;
        let confirmed = reply.age.map(|age| Confirmation { replied, age });
        self.update_confirmation(now, confirmed);
        let early = !updated && now.since(sent) < self.timeouts.min_pause;
        self.schedule_poll(now, early);
        if !reply.linked || self.is_stale(now, confirmed) {
            // A source can reply normally and yet be cut off from control itself. The zone would
            // keep an old version although another source of the zone has the new one. If a
            // source says that it is cut off, or if it is out of date, the follower asks the next
            // one. It also closes the connections: one may lead to a stopped process, while a
            // new connection would reach its successor.
            let source = self.source;
            out.push(Output::Retire { source });
            self.move_to(self.source + 1, now);
        }
    }

    /// Applies a delta, and returns whether it was accepted.
    ///
    /// [`Delta::apply`] refuses a delta that starts from another version; the follower then asks
    /// another source.
    fn apply_delta(&mut self, delta: Box<Delta>, out: &mut Vec<Output>) -> bool {
        let Ok(next) = delta.apply(&self.config) else {
            return false;
        };
        self.config = Arc::new(next);
        out.push(Output::Apply {
            config: Arc::clone(&self.config),
            delta: Some(delta),
        });
        true
    }

    fn begin_snapshot(&mut self, now: Moment, head: SnapshotHead, out: &mut Vec<Output>) {
        if head.version <= self.config.version || head.length > MAX_SNAPSHOT_BYTES {
            return self.fail(now, out);
        }
        let bytes = Vec::new();
        self.request_piece(now, Partial { head, bytes }, out);
    }

    /// Requests the next piece of a snapshot.
    fn request_piece(&mut self, now: Moment, partial: Partial, out: &mut Vec<Output>) {
        let ask = Ask::Piece {
            version: partial.head.version,
            offset: partial.bytes.len() as u64,
        };
        self.send(now, ask, Span::default(), Some(partial), out);
    }

    /// Adds a piece to a snapshot, and brings the snapshot into force once it is complete.
    ///
    /// Pieces of two versions could get into one snapshot when a source moves on or another source
    /// replies. Each piece therefore names its version and offset, and the complete snapshot is
    /// verified before anyone sees it.
    fn add_piece(
        &mut self,
        now: Moment,
        mut partial: Partial,
        bytes: &[u8],
        out: &mut Vec<Output>,
    ) {
        partial.bytes.extend_from_slice(bytes);
        let left = partial.head.length.checked_sub(partial.bytes.len() as u64);
        match left {
            Some(0) => {}
            Some(_) if !bytes.is_empty() => return self.request_piece(now, partial, out),
            _ => return self.fail(now, out),
        }
        let received = partial.head.read(&partial.bytes);
        let Some(config) = received.filter(|c| c.version > self.config.version) else {
            return self.fail(now, out);
        };
        self.config = Arc::new(config);
        out.push(Output::Apply {
            config: Arc::clone(&self.config),
            delta: None,
        });
        // The reply to the next poll tells how long ago the version was confirmed.
        self.schedule_poll(now, false);
    }

    /// Schedules the next poll after a success: after a pause if the last one returned early
    /// without a later version, and at once otherwise.
    fn schedule_poll(&mut self, now: Moment, early: bool) {
        self.failures = 0;
        self.linked = true;
        let pause = if early {
            self.jittered(self.timeouts.min_pause)
        } else {
            Span::default()
        };
        self.state = State::Idle { until: now + pause };
    }

    /// Moves to the next source, and schedules its poll after an exponential backoff.
    fn fail(&mut self, now: Moment, out: &mut Vec<Output>) {
        out.push(Output::Retire {
            source: self.source,
        });
        self.linked = false;
        self.failures = (self.failures + 1).min(16);
        self.move_to(self.source + 1, now);
        let backoff = self.timeouts.min_pause.times(1 << self.failures.min(6));
        let pause = self.jittered(backoff.min(self.timeouts.max_pause));
        self.state = State::Idle { until: now + pause };
    }

    fn move_to(&mut self, source: usize, now: Moment) {
        self.source = source % self.sources.max(1);
        self.moved_at = now;
    }

    /// Whether a confirmation is too old, or there is none.
    fn is_stale(&self, now: Moment, confirmed: Option<Confirmation>) -> bool {
        confirmed.is_none_or(|c| c.age(now) >= self.timeouts.stale_age)
    }

    /// Keeps the most recent of the known and the new confirmation.
    fn update_confirmation(&mut self, now: Moment, confirmed: Option<Confirmation>) {
        let known = self.confirmed.into_iter().chain(confirmed);
        self.confirmed = known.min_by_key(|c| c.age(now));
    }

    /// Returns a random span between half and all of `span`, by the SplitMix64 generator.
    fn jittered(&mut self, span: Span) -> Span {
        self.seed = self.seed.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.seed;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        let half = span.as_micros() / 2;
        Span::from_micros(half + (z ^ (z >> 31)) % (half + 1))
    }
}
