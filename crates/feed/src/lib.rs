//! Polls every known controller for updates, each in a task of its own.
//!
//! The known controllers are the seeds in the settings and those that the last update named.
//! A [`FeedHandler`] makes the polls and handles the updates; a [`Feed`] runs the tasks. A [`ConfigurationFeed`] fetches the
//! configurations that updates report.

mod configuration;

pub use configuration::{ConfigurationFeed, Source, Text};

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Weak};

use parking_lot::Mutex;
use smol::Task;

use snipemast_core::prelude::*;
use snipemast_net::exec::{pause, spawn};
use snipemast_net::RpcClient;
use snipemast_registry::{updates, Poll, Update};

/// How much longer a poll may take than the wait that it asks for: a few round-trips and one lost packet.
const POLL_SLACK: Span = Span::from_millis(900);

/// The pause after the first failed poll; it doubles with each further failure.
const FIRST_BACKOFF: Span = Span::from_millis(150);
/// The longest pause after a failed poll.
const MAX_BACKOFF: Span = Span::from_millis(1_000);

/// Makes the polls of a [`Feed`] and handles the updates.
pub trait FeedHandler: Send + Sync + 'static {
    /// Returns the next poll to a controller.
    fn next_poll(&self, controller: SocketAddr) -> Poll;

    /// Handles a controller's update.
    fn handle_update(&self, controller: SocketAddr, update: Update);

    /// Waits until the controller may be polled again after its update was handled.
    fn wait_after_update(
        &self,
        controller: SocketAddr,
    ) -> impl std::future::Future<Output = ()> + Send;

    /// Handles that a controller no longer answers.
    fn handle_loss(&self, _controller: SocketAddr) {}
}

/// Polls every known controller, each in a task of its own.
#[derive(Debug)]
pub struct Feed<S> {
    handler: Arc<S>,
    journal: Journal,
    state: Mutex<State>,
}

/// The known controllers and the tasks that poll them.
#[derive(Debug, Default)]
struct State {
    /// The address of this process where it is a controller itself.
    own: Option<SocketAddr>,
    seeds: BTreeSet<SocketAddr>,
    /// The controllers that the last update named.
    named: BTreeSet<SocketAddr>,
    tasks: HashMap<SocketAddr, Task<()>>,
}

impl<S: FeedHandler> Feed<S> {
    /// Creates a feed that polls no controller yet; a controller gives its `own` address, which is never polled.
    pub fn new(handler: Arc<S>, journal: Journal, own: Option<SocketAddr>) -> Arc<Self> {
        let state = State {
            own,
            ..State::default()
        };
        Arc::new(Self {
            handler,
            journal,
            state: Mutex::new(state),
        })
    }

    /// Sets the controllers that the settings name as seeds.
    pub fn set_seeds(self: &Arc<Self>, seeds: impl IntoIterator<Item = SocketAddr>) {
        self.state.lock().seeds = seeds.into_iter().collect();
        self.update_tasks();
    }

    /// Sets the controllers that the last update named; an empty list is ignored.
    pub fn set_named(self: &Arc<Self>, named: impl IntoIterator<Item = SocketAddr>) {
        let named: BTreeSet<SocketAddr> = named.into_iter().collect();
        let changed = {
            let mut state = self.state.lock();
            let changed = state.named != named && !named.is_empty();
            if changed {
                state.named = named;
            }
            changed
        };
        if changed {
            self.update_tasks();
        }
    }

    /// Returns every controller that is polled.
    pub fn controllers(&self) -> Vec<SocketAddr> {
        self.state.lock().tasks.keys().copied().collect()
    }

    /// Starts and stops tasks so that each known controller has one.
    fn update_tasks(self: &Arc<Self>) {
        let mut state = self.state.lock();
        let own = state.own;
        let wanted: BTreeSet<SocketAddr> = state.seeds.union(&state.named).copied().collect();
        state.tasks.retain(|address, _| wanted.contains(address));
        for address in wanted {
            if Some(address) == own || state.tasks.contains_key(&address) {
                continue;
            }
            let task = spawn(Self::poll_controller(Arc::downgrade(self), address));
            state.tasks.insert(address, task);
        }
    }

    /// Polls a controller until the feed is dropped. It holds the feed only between two waits, so that
    /// the tasks of a feed don't keep it.
    async fn poll_controller(feed: Weak<Self>, address: SocketAddr) {
        let client = RpcClient::new(address);
        let mut backoff = FIRST_BACKOFF;
        let mut answers = None;
        while let Some((handler, poll)) = feed.upgrade().map(|feed| feed.next_poll(address)) {
            let limit = Span::from_micros(poll.wait.as_micros() + POLL_SLACK.as_micros());
            let update = client.call::<_, Update>(updates::PATH, &poll, limit).await;
            let Some(feed) = feed.upgrade() else {
                return;
            };
            if answers != Some(update.is_ok()) {
                answers = Some(update.is_ok());
                feed.log_contact(address, update.is_ok());
            }
            match update {
                Ok(update) => {
                    backoff = FIRST_BACKOFF;
                    let named = update.controllers.clone();
                    handler.handle_update(address, update);
                    feed.spawn_set_named(named);
                    drop(feed);
                    handler.wait_after_update(address).await;
                }
                Err(_) => {
                    drop(feed);
                    pause(backoff).await;
                    backoff = backoff.times(2).min(MAX_BACKOFF);
                }
            }
        }
    }

    /// Returns the handler and its next poll to a controller.
    fn next_poll(&self, address: SocketAddr) -> (Arc<S>, Poll) {
        let named = updates::controllers_digest(self.state.lock().named.iter().copied());
        let poll = Poll {
            controllers_digest: named,
            ..self.handler.next_poll(address)
        };
        (Arc::clone(&self.handler), poll)
    }

    /// Logs that a controller answers or no longer does, and passes the latter to the handler.
    fn log_contact(&self, address: SocketAddr, answers: bool) {
        let event = if answers {
            Event::MemberJoined
        } else {
            self.handler.handle_loss(address);
            Event::MemberUnreachable
        };
        self.journal.record(event, address, "controller");
    }

    /// Sets the named controllers from another task: [`update_tasks`](Self::update_tasks) may stop the task that
    /// polls, which must not stop itself halfway.
    fn spawn_set_named(self: &Arc<Self>, named: Vec<SocketAddr>) {
        let unchanged = self
            .state
            .lock()
            .named
            .iter()
            .copied()
            .eq(named.iter().copied());
        if unchanged || named.is_empty() {
            return;
        }
        let feed = Arc::clone(self);
        spawn(async move { feed.set_named(named) }).detach();
    }
}
