//! What the parts of a controller share.

use std::net::SocketAddr;
use std::sync::Arc;

use event_listener::Event as Signal;
use parking_lot::Mutex;

use snipemast_core::prelude::*;
use snipemast_net::exec::pause;
use snipemast_net::BootClock;
use snipemast_platform::settings::Settings;
use snipemast_registry::{Cursor, Pollers, Table};

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
    /// Who sent announcements that are ignored.
    pub(crate) strangers: Strangers,
    /// Who polls.
    pub(crate) pollers: Mutex<Pollers>,
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
            place: self.table.lock().place(),
        }
    }

    /// Tells everyone who waits that something changed.
    pub(crate) fn announce(&self) {
        self.changed.notify(usize::MAX);
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
