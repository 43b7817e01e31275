//! What the parts of a controller share.

use std::net::SocketAddr;
use std::sync::Arc;

use event_listener::Event as Signal;
use parking_lot::Mutex;

use snipemast_core::prelude::*;
use snipemast_net::exec::{pause, spawn};
use snipemast_net::BootClock;
use snipemast_platform::settings::Settings;
use snipemast_registry::limit::limit_change_event;
use snipemast_registry::{
    Cursor, Demand, Grant, Grants, LeavingServer, Pollers, RankUpdate, Table,
};

use crate::strangers::Strangers;
use crate::voter::Voter;

/// What the parts of a controller share.
#[derive(Debug)]
pub struct State {
    /// The settings that it was started with.
    pub(crate) settings: Settings,
    /// Counts suspended time too.
    pub(crate) clock: BootClock,
    /// Where decisions are logged.
    pub(crate) journal: Journal,
    /// Told apart from the table of an earlier start.
    pub(crate) epoch: u64,
    /// The servers that are known.
    pub(crate) table: Mutex<Table>,
    /// What processes beside ranks told, until it is entered into the table.
    pub(crate) words: Mutex<Vec<RankUpdate>>,
    /// Who sent announcements that are ignored.
    pub(crate) strangers: Strangers,
    /// Who polls.
    pub(crate) pollers: Mutex<Pollers>,
    /// What was granted of servers' limits.
    pub(crate) grants: Mutex<Grants>,
    /// Wakes who waits for news: of servers, of the configuration, or of what pollers have.
    pub(crate) changed: Signal,
    /// The voter.
    pub(crate) voter: Arc<Voter>,
}

impl State {
    /// Where the table stands.
    pub(crate) fn cursor(&self) -> Cursor {
        Cursor {
            epoch: self.epoch,
            revision: self.table.lock().revision(),
        }
    }

    /// Tells everyone who waits that something changed.
    pub(crate) fn announce(&self) {
        self.changed.notify(usize::MAX);
    }

    /// Changes the table, and tells everyone who waits where that is news.
    pub(crate) fn change(&self, change: impl FnOnce(&mut Table) -> bool) -> bool {
        let news = change(&mut self.table.lock());
        if news {
            self.announce();
        }
        news
    }

    /// Takes what the process beside a rank tells, and enters it into the table with what others tell then.
    ///
    /// Load answered: all ranks of a group tell at once that it has stalled or formed. Entered one by one, each
    /// of them would be an answer of its own to every gateway.
    pub(crate) fn take_word(self: &Arc<Self>, word: RankUpdate) {
        const GATHERED: Span = Span::from_millis(20);
        let mut words = self.words.lock();
        words.push(word);
        if words.len() > 1 {
            return;
        }
        let state = Arc::clone(self);
        spawn(async move {
            pause(GATHERED).await;
            state.enter_words();
        })
        .detach();
    }

    fn enter_words(&self) {
        let words = std::mem::take(&mut *self.words.lock());
        let now = self.clock.now();
        self.change(|table| {
            let mut changed = false;
            for word in words {
                changed |= table.record_rank(now, word);
            }
            changed
        });
    }

    /// Takes note of the limits that a gateway knows.
    pub(crate) fn take_limits(&self, host: &HostId, demands: &[Demand]) {
        if demands.is_empty() {
            return;
        }
        let now = self.clock.now();
        self.change(|table| {
            let mut changed = false;
            for Demand { server, limit, .. } in demands {
                let word = limit.to_update(now);
                let before = table.limit(server);
                if table.record_limit(server, word) {
                    changed = true;
                    let source = format_args!("told by {host}");
                    let (event, detail) = limit_change_event(before, word.rate, source);
                    self.journal.record(event, server, detail);
                }
            }
            changed
        });
    }

    /// Takes note of servers that told a gateway that they leave.
    pub(crate) fn take_leaving(&self, host: &HostId, leaving: &[LeavingServer]) {
        if leaving.is_empty() {
            return;
        }
        let now = self.clock.now();
        self.change(|table| {
            let mut changed = false;
            for told in leaving {
                if table.merge_leaving(now, told) {
                    changed = true;
                    let detail = format_args!("told by {host}");
                    self.journal
                        .record(Event::LeavingTold, &told.server, detail);
                }
            }
            changed
        });
    }

    /// Grants what a gateway would send; nothing where this controller may not.
    pub(crate) fn grant(&self, demands: &[Demand]) -> Option<Vec<Grant>> {
        let term = self.voter.leading_term()?;
        let table = self.table.lock();
        let limit = |id: &ServerId| {
            let known = table.get(id)?;
            Some((known.announcement.start, table.limit(id)?))
        };
        let now = self.clock.now();
        Some(self.grants.lock().grant(now, term, demands, limit))
    }

    /// Where all controllers take calls of our own processes.
    pub(crate) fn controllers(&self) -> Vec<SocketAddr> {
        let mut all = self.voter.addresses();
        all.sort_unstable();
        all.dedup();
        all
    }

    /// Waits until a condition holds, at most for the limit; whether it holds.
    pub(crate) async fn wait(&self, limit: Span, holds: impl Fn(&Self) -> bool) -> bool {
        let end = self.clock.now() + limit;
        loop {
            let changed = self.changed.listen();
            if holds(self) {
                return true;
            }
            let left = self.clock.now().until(end);
            if left == Span::default() {
                return false;
            }
            futures_lite::future::or(changed, pause(left)).await;
        }
    }
}
