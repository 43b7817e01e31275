//! Passes the configuration on to the processes that ask: deltas, snapshots, long polls.

use std::collections::VecDeque;
use std::sync::Arc;

use event_listener::{Event as Bell, EventListener};
use futures_lite::FutureExt;
use parking_lot::Mutex;

use snipemast_config::{
    Ask, Census, CensusTracker, Config, Delta, DeltaLog, News, ProcessVersion, Reply, Snapshot,
};
use snipemast_core::prelude::*;

/// How many deltas are kept for those that are a little behind.
const DELTAS: usize = 1_024;
/// How many snapshots are kept, so that a fetch can end while the next version comes.
const SNAPSHOTS: usize = 2;
/// The longest that a poll is held back, whatever it asks for.
const MAX_WAIT: Span = Span::from_secs(30);
/// How long a process that stopped asking is counted.
const KEEP: Span = Span::from_secs(15);

/// Passes the configuration on.
#[derive(Debug)]
pub struct Distributor {
    clock: Clock,
    bell: Bell,
    inner: Mutex<Inner>,
}

#[derive(Debug)]
struct Inner {
    config: Arc<Config>,
    log: DeltaLog,
    snapshots: VecDeque<Snapshot>,
    roll: CensusTracker,
    link: Link,
}

/// What the process knows of its own source.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Link {
    /// Whether a source answers, or the process is one.
    pub linked: bool,
    /// When the control leader last confirmed the version in force, and how long before that.
    pub confirmed: Option<(Moment, Span)>,
    /// The highest fencing number that was heard of.
    pub fence: Fence,
    /// How often the source was lost.
    losses: u64,
    /// Whether the process is on its way out.
    closed: bool,
}

impl Distributor {
    /// Passes on this configuration, before anything was heard of another.
    pub fn new(config: Arc<Config>) -> Self {
        let inner = Inner {
            config,
            log: DeltaLog::new(DELTAS),
            snapshots: VecDeque::new(),
            roll: CensusTracker::new(KEEP),
            link: Link {
                linked: false,
                confirmed: None,
                fence: Fence::default(),
                losses: 0,
                closed: false,
            },
        };
        Self {
            clock: Clock::new(),
            bell: Bell::new(),
            inner: Mutex::new(inner),
        }
    }

    /// The clock that ages are counted on.
    pub fn clock(&self) -> &Clock {
        &self.clock
    }

    /// The version that is passed on.
    pub fn version(&self) -> Version {
        self.inner.lock().config.version
    }

    /// Passes a later version on; an earlier one is passed over, and this returns false.
    pub fn advance(&self, config: &Arc<Config>, delta: Option<Delta>) -> bool {
        {
            let mut inner = self.inner.lock();
            if config.version <= inner.config.version {
                return false;
            }
            let fits = delta.filter(|d| d.from == inner.config.version && d.to == config.version);
            let delta = fits.unwrap_or_else(|| Delta::between(&inner.config, config));
            inner.log.push(delta);
            inner.config = Arc::clone(config);
        }
        self.bell.notify(usize::MAX);
        true
    }

    /// Notes what the process knows of its own source.
    ///
    /// Whoever waits here is told at once that the source is lost, so that it can ask elsewhere.
    pub fn note(&self, linked: bool, age: Option<Span>, fence: Fence) {
        let now = self.clock.now();
        let lost = {
            let link = &mut self.inner.lock().link;
            let lost = link.linked && !linked;
            link.losses += u64::from(lost);
            link.linked = linked;
            link.confirmed = age.map(|age| (now, age));
            link.fence = link.fence.max(fence);
            lost
        };
        if lost {
            self.bell.notify(usize::MAX);
        }
    }

    /// Sends those that ask elsewhere, since the process is on its way out.
    pub fn close(&self) {
        {
            let link = &mut self.inner.lock().link;
            link.closed = true;
            link.losses += 1;
        }
        self.bell.notify(usize::MAX);
    }

    /// What the process knows of its own source.
    pub fn link(&self) -> Link {
        self.inner.lock().link
    }

    /// How old the news of the version in force is.
    pub fn age(&self) -> Option<Span> {
        self.inner.lock().link.age(self.clock.now())
    }

    /// Notes who asked.
    pub fn note_asker(&self, standing: ProcessVersion, below: Census) {
        let now = self.clock.now();
        self.inner.lock().roll.record(now, standing, below);
    }

    /// Everyone that is known of beside the process itself.
    pub fn census_below(&self, own: &ProcessVersion) -> Census {
        self.inner
            .lock()
            .roll
            .census_below(self.clock.now(), own.version)
    }

    /// Everyone that is known of, with the process itself.
    pub fn census(&self, own: &ProcessVersion) -> Census {
        self.inner.lock().roll.census(self.clock.now(), own)
    }

    /// Waits until a later version is passed on; false where the wait ran out or the source was
    /// lost.
    pub async fn wait_after(&self, after: Version, wait: Span) -> bool {
        let losses = self.link().losses;
        let bound = self.clock.now() + wait.min(MAX_WAIT);
        loop {
            // Listen first and look then, so that no change slips in between.
            let listener = self.bell.listen();
            if self.version() > after {
                return true;
            }
            let now = self.clock.now();
            if now >= bound || self.link().losses != losses {
                return false;
            }
            rung_within(listener, now.until(bound)).await;
        }
    }

    /// Answers a question.
    pub async fn answer(&self, ask: Ask) -> Reply {
        let asked = self.clock.now();
        let news = match ask {
            Ask::Poll { after, wait } => {
                self.wait_after(after, wait).await;
                self.inner.lock().since(after)
            }
            Ask::Piece { version, offset } => self.inner.lock().piece(version, offset),
        };
        let now = self.clock.now();
        let link = self.link();
        Reply {
            news,
            age: link.age(now),
            held: now.since(asked),
            linked: link.linked && !link.closed,
            fence: link.fence,
        }
    }
}

impl Link {
    fn age(&self, now: Moment) -> Option<Span> {
        let (then, age) = self.confirmed?;
        let later = now.since(then).as_micros();
        Some(Span::from_micros(age.as_micros() + later))
    }
}

impl Inner {
    fn since(&mut self, after: Version) -> News {
        if self.config.version <= after {
            return News::Unchanged;
        }
        match self.log.since(after) {
            Some(delta) => News::Delta(Box::new(delta)),
            None => News::Snapshot(self.snapshot().head()),
        }
    }

    /// The snapshot of the version in force, made when the first process asks for it.
    fn snapshot(&mut self) -> &Snapshot {
        let version = self.config.version;
        if self.snapshots.back().map(|s| s.head().version) != Some(version) {
            self.snapshots.push_back(Snapshot::new(&self.config));
            if self.snapshots.len() > SNAPSHOTS {
                self.snapshots.pop_front();
            }
        }
        self.snapshots.back().expect("one was just pushed")
    }

    fn piece(&self, version: Version, offset: u64) -> News {
        let mut held = self.snapshots.iter();
        let snapshot = held.find(|s| s.head().version == version);
        snapshot.map_or(News::Gone, |s| s.piece(offset))
    }
}

async fn rung_within(listener: EventListener, bound: Span) {
    let late = async {
        smol::Timer::after(bound.as_duration()).await;
    };
    listener.or(late).await;
}
