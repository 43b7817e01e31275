//! Polls every controller that is known for news, each in a task of its own.
//!
//! The controllers are those that the settings name as seeds and those that the last news named.
//! What a poll says and what becomes of news is up to the [`FeedHandler`].

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;

use parking_lot::Mutex;
use smol::Task;

use snipemast_core::prelude::*;
use snipemast_net::exec::{pause, spawn};
use snipemast_net::RpcClient;
use snipemast_registry::{news, News, Poll};

/// How much longer than its own wait a poll may take: a few round trips and one lost packet.
const SLACK: Span = Span::from_millis(900);

/// The pauses after polls that failed.
const PAUSE: Span = Span::from_millis(150);
const LONGEST_PAUSE: Span = Span::from_millis(1_000);

/// Makes polls and takes news.
pub trait FeedHandler: Send + Sync + 'static {
    /// The next poll to a controller.
    fn next_poll(&self, controller: SocketAddr) -> Poll;

    /// Takes a controller's news.
    fn handle_news(&self, controller: SocketAddr, news: News);

    /// What must be waited for before the controller is polled again.
    fn wait_after_news(
        &self,
        controller: SocketAddr,
    ) -> impl std::future::Future<Output = ()> + Send;

    /// A controller answers no more.
    fn handle_loss(&self, _controller: SocketAddr) {}
}

/// Polls every controller that is known.
#[derive(Debug)]
pub struct Feed<S> {
    sink: Arc<S>,
    journal: Journal,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    own: Option<SocketAddr>,
    seeds: BTreeSet<SocketAddr>,
    named: BTreeSet<SocketAddr>,
    tasks: HashMap<SocketAddr, Task<()>>,
}

impl<S: FeedHandler> Feed<S> {
    /// A feed that polls nobody yet; a controller never polls its own address.
    pub fn new(sink: Arc<S>, journal: Journal, own: Option<SocketAddr>) -> Arc<Self> {
        let state = State {
            own,
            ..State::default()
        };
        Arc::new(Self {
            sink,
            journal,
            state: Mutex::new(state),
        })
    }

    /// Sets the controllers that the settings name.
    pub fn set_seeds(self: &Arc<Self>, seeds: impl IntoIterator<Item = SocketAddr>) {
        self.state.lock().seeds = seeds.into_iter().collect();
        self.rearrange();
    }

    /// Sets the controllers that the news named.
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
            self.rearrange();
        }
    }

    /// Every controller that is polled.
    pub fn controllers(&self) -> Vec<SocketAddr> {
        self.state.lock().tasks.keys().copied().collect()
    }

    /// Starts and ends tasks so that each known controller has one.
    fn rearrange(self: &Arc<Self>) {
        let mut state = self.state.lock();
        let own = state.own;
        let wanted: BTreeSet<SocketAddr> = state.seeds.union(&state.named).copied().collect();
        state.tasks.retain(|address, _| wanted.contains(address));
        for address in wanted {
            if Some(address) == own || state.tasks.contains_key(&address) {
                continue;
            }
            let feed = Arc::clone(self);
            let task = spawn(async move { feed.follow(address).await });
            state.tasks.insert(address, task);
        }
    }

    async fn follow(self: Arc<Self>, address: SocketAddr) {
        let client = RpcClient::new(address);
        let mut delay = PAUSE;
        let mut answers = None;
        loop {
            let poll = self.sink.next_poll(address);
            let limit = Span::from_micros(poll.wait.as_micros() + SLACK.as_micros());
            let news = client.call::<_, News>(news::PATH, &poll, limit).await;
            if answers != Some(news.is_ok()) {
                answers = Some(news.is_ok());
                self.note_contact(address, news.is_ok());
            }
            match news {
                Ok(news) => {
                    delay = PAUSE;
                    let named = news.controllers.clone();
                    self.sink.handle_news(address, news);
                    self.set_named_later(named);
                    self.sink.wait_after_news(address).await;
                }
                Err(_) => {
                    pause(delay).await;
                    delay = delay.times(2).min(LONGEST_PAUSE);
                }
            }
        }
    }

    fn note_contact(&self, address: SocketAddr, answers: bool) {
        let event = if answers {
            Event::MemberJoined
        } else {
            self.sink.handle_loss(address);
            Event::MemberUnreachable
        };
        self.journal.record(event, address, "controller");
    }

    /// A task must not end itself in the middle, so another one rearranges.
    fn set_named_later(self: &Arc<Self>, named: Vec<SocketAddr>) {
        let known = self
            .state
            .lock()
            .named
            .iter()
            .copied()
            .eq(named.iter().copied());
        if known || named.is_empty() {
            return;
        }
        let feed = Arc::clone(self);
        spawn(async move { feed.set_named(named) }).detach();
    }
}
