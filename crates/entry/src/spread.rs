//! Serves the configuration to the processes that poll for it, as deltas and snapshots.

use std::collections::VecDeque;
use std::sync::Arc;

use event_listener::{Event as Signal, EventListener};
use futures_lite::FutureExt;
use parking_lot::Mutex;

use snipemast_config::{
    Ask, Census, CensusTracker, Config, Delta, DeltaLog, News, ProcessVersion, Reply, Snapshot,
};
use snipemast_core::prelude::*;

/// The most deltas that are kept, for processes that are a little behind.
const MAX_DELTAS: usize = 1_024;
/// The most snapshots that are kept; more than one, so that a fetch can finish while the next
/// version arrives.
const MAX_SNAPSHOTS: usize = 2;
/// The longest time that a poll is held, whatever it asks for.
const MAX_WAIT: Span = Span::from_secs(30);
/// How long a process that stopped polling is still counted.
const ASKER_TIMEOUT: Span = Span::from_secs(15);

/// Serves the configuration to other processes.
#[derive(Debug)]
pub struct Distributor {
    clock: Clock,
    changed: Signal,
    state: Mutex<DistributorState>,
}

/// The part of a distributor that its lock guards.
#[derive(Debug)]
struct DistributorState {
    config: Arc<Config>,
    log: DeltaLog,
    snapshots: VecDeque<Snapshot>,
    roll: CensusTracker,
    link: Link,
}

/// The state of the process's own source of the configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Link {
    /// Whether a source answers, or the process decides on the configuration itself.
    pub linked: bool,
    /// The time at which the last confirmation by the control leader arrived, and its age then.
    pub confirmed: Option<(Moment, Span)>,
    /// The highest known fencing number.
    pub fence: Fence,
    /// The number of times that the source was lost.
    losses: u64,
    /// Whether the process is stopping.
    closed: bool,
}

impl Distributor {
    /// Creates a distributor that serves this configuration and has no source yet.
    pub fn new(config: Arc<Config>) -> Self {
        let state = DistributorState {
            config,
            log: DeltaLog::new(MAX_DELTAS),
            snapshots: VecDeque::new(),
            roll: CensusTracker::new(ASKER_TIMEOUT),
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
            changed: Signal::new(),
            state: Mutex::new(state),
        }
    }

    /// Returns the clock that ages refer to.
    pub fn clock(&self) -> &Clock {
        &self.clock
    }

    /// Returns the version that is served.
    pub fn version(&self) -> Version {
        self.state.lock().config.version
    }

    /// Serves a later version from now on, or returns false for an earlier one.
    pub fn advance(&self, config: &Arc<Config>, delta: Option<Delta>) -> bool {
        {
            let mut state = self.state.lock();
            if config.version <= state.config.version {
                return false;
            }
            let fits = delta.filter(|d| d.from == state.config.version && d.to == config.version);
            let delta = fits.unwrap_or_else(|| Delta::between(&state.config, config));
            state.log.push(delta);
            state.config = Arc::clone(config);
        }
        self.changed.notify(usize::MAX);
        true
    }

    /// Sets the state of the process's own source.
    ///
    /// If the source is lost, waiting polls are answered at once, so that they can ask elsewhere.
    pub fn set_link(&self, linked: bool, age: Option<Span>, fence: Fence) {
        let now = self.clock.now();
        let lost = {
            let link = &mut self.state.lock().link;
            let lost = link.linked && !linked;
            link.losses += u64::from(lost);
            link.linked = linked;
            link.confirmed = age.map(|age| (now, age));
            link.fence = link.fence.max(fence);
            lost
        };
        if lost {
            self.changed.notify(usize::MAX);
        }
    }

    /// Makes the processes that poll here ask elsewhere, since this process is stopping.
    pub fn close(&self) {
        {
            let link = &mut self.state.lock().link;
            link.closed = true;
            link.losses += 1;
        }
        self.changed.notify(usize::MAX);
    }

    /// Returns the state of the process's own source.
    pub fn link(&self) -> Link {
        self.state.lock().link
    }

    /// Returns the age of the last confirmation of the version in force.
    pub fn age(&self) -> Option<Span> {
        self.state.lock().link.age(self.clock.now())
    }

    /// Records a process that polled, and the census of the processes below it.
    pub fn record_asker(&self, standing: ProcessVersion, below: Census) {
        let now = self.clock.now();
        self.state.lock().roll.record(now, standing, below);
    }

    /// Returns the census of all known processes without this one.
    pub fn census_below(&self, own: &ProcessVersion) -> Census {
        self.state
            .lock()
            .roll
            .census_below(self.clock.now(), own.version)
    }

    /// Returns the census of all known processes with this one.
    pub fn census(&self, own: &ProcessVersion) -> Census {
        self.state.lock().roll.census(self.clock.now(), own)
    }

    /// Waits until a later version is served, or returns false if the wait ended or the source was
    /// lost.
    pub async fn wait_after(&self, after: Version, wait: Span) -> bool {
        let losses = self.link().losses;
        let deadline = self.clock.now() + wait.min(MAX_WAIT);
        loop {
            // The listener is registered before the check, so that no change is missed in between.
            let listener = self.changed.listen();
            if self.version() > after {
                return true;
            }
            let now = self.clock.now();
            if now >= deadline || self.link().losses != losses {
                return false;
            }
            signalled_within(listener, now.until(deadline)).await;
        }
    }

    /// Answers a poll or a request for a piece of a snapshot.
    pub async fn answer(&self, ask: Ask) -> Reply {
        let asked = self.clock.now();
        let news = match ask {
            Ask::Poll { after, wait } => {
                self.wait_after(after, wait).await;
                self.state.lock().since(after)
            }
            Ask::Piece { version, offset } => self.state.lock().piece(version, offset),
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
        let (confirmed_at, age) = self.confirmed?;
        let elapsed = now.since(confirmed_at).as_micros();
        Some(Span::from_micros(age.as_micros() + elapsed))
    }
}

impl DistributorState {
    /// Returns the news for a process that has this version.
    fn since(&mut self, after: Version) -> News {
        if self.config.version <= after {
            return News::Unchanged;
        }
        match self.log.since(after) {
            Some(delta) => News::Delta(Box::new(delta)),
            None => News::Snapshot(self.snapshot().head()),
        }
    }

    /// Returns the snapshot of the version in force, which is made when the first process needs it.
    fn snapshot(&mut self) -> &Snapshot {
        let version = self.config.version;
        if self.snapshots.back().map(|s| s.head().version) != Some(version) {
            self.snapshots.push_back(Snapshot::new(&self.config));
            if self.snapshots.len() > MAX_SNAPSHOTS {
                self.snapshots.pop_front();
            }
        }
        self.snapshots.back().expect("one was just pushed")
    }

    /// Returns a piece of a snapshot, if the snapshot is still kept.
    fn piece(&self, version: Version, offset: u64) -> News {
        let mut held = self.snapshots.iter();
        let snapshot = held.find(|s| s.head().version == version);
        snapshot.map_or(News::Gone, |s| s.piece(offset))
    }
}

/// Waits for a signal, at most for `wait`.
async fn signalled_within(listener: EventListener, wait: Span) {
    let timeout = async {
        smol::Timer::after(wait.as_duration()).await;
    };
    listener.or(timeout).await;
}
