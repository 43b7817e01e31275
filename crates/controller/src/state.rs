//! The state that the parts of a controller share.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use event_listener::Event as Signal;
use parking_lot::Mutex;

use snipemast_core::prelude::*;
use snipemast_net::exec::{pause, spawn};
use snipemast_net::BootClock;
use snipemast_placement::Suspect;
use snipemast_platform::settings::Settings;
use snipemast_registry::fetch::Transfers;
use snipemast_registry::limit::limit_change_event;
use snipemast_registry::outcomes::Placed;
use snipemast_registry::relays::Coverage;
use snipemast_registry::{
    Cursor, Demand, Grant, Grants, LeavingServer, Pollers, RankUpdate, Standing, Table,
};
use snipemast_requests::CrashTable;

use crate::unknown_senders::UnknownSenders;
use crate::voter::Voter;

/// The state that the parts of a controller share.
#[derive(Debug)]
pub struct State {
    /// The settings with which the process was started.
    pub(crate) settings: Settings,
    /// The clock, which also counts the time while the host is suspended.
    pub(crate) clock: BootClock,
    /// The log of decisions.
    pub(crate) journal: Journal,
    /// A random number that distinguishes this table from the one of an earlier start.
    pub(crate) epoch: u64,
    /// The known servers.
    pub(crate) table: Mutex<Table>,
    /// How much of each other controller's table this one covers.
    pub(crate) covered: Mutex<HashMap<SocketAddr, Cursor>>,
    /// Updates from the processes beside ranks that are not yet merged into the table.
    pub(crate) rank_updates: Mutex<Vec<RankUpdate>>,
    /// The senders of announcements that are refused.
    pub(crate) unknown_senders: UnknownSenders,
    /// The processes that poll this controller.
    pub(crate) pollers: Mutex<Pollers>,
    /// The shares of servers' limits that were granted to gateways.
    pub(crate) grants: Mutex<Grants>,
    /// The requests whose servers ended.
    pub(crate) crashes: Mutex<CrashTable>,
    /// Notifies tasks that wait for a change of servers, of the configuration, or of what pollers
    /// have.
    pub(crate) changed: Signal,
    /// The configurations that other processes fetch.
    pub(crate) transfers: Mutex<Transfers>,
    /// The voter of this host.
    pub(crate) voter: Arc<Voter>,
}

impl State {
    /// Returns the current position of the table.
    pub(crate) fn cursor(&self) -> Cursor {
        Cursor {
            epoch: self.epoch,
            revision: self.table.lock().revision(),
        }
    }

    /// Returns how much of each other controller's table this one includes.
    pub(crate) fn coverage(&self) -> Vec<Coverage> {
        let covered = self.covered.lock();
        let covered = covered.iter().map(|(controller, cursor)| Coverage {
            controller: *controller,
            cursor: *cursor,
        });
        covered.collect()
    }

    /// Notifies all waiting tasks that something changed.
    pub(crate) fn notify_waiters(&self) {
        self.changed.notify(usize::MAX);
    }

    /// Updates the table, and notifies all waiting tasks if `update` returns that something
    /// changed.
    pub(crate) fn update_table(&self, update: impl FnOnce(&mut Table) -> bool) -> bool {
        let changed = update(&mut self.table.lock());
        if changed {
            self.notify_waiters();
        }
        changed
    }

    /// Collects an update from the process beside a rank, to be merged into the table along with
    /// others.
    ///
    /// All ranks of a group report at the same time that it has stalled or formed. Merged one by
    /// one, each update would cause an answer of its own to every gateway.
    pub(crate) fn add_rank_update(self: &Arc<Self>, update: RankUpdate) {
        const GATHER_TIME: Span = Span::from_millis(20);
        let mut rank_updates = self.rank_updates.lock();
        rank_updates.push(update);
        if rank_updates.len() > 1 {
            return;
        }
        let state = Arc::clone(self);
        spawn(async move {
            pause(GATHER_TIME).await;
            state.merge_rank_updates();
        })
        .detach();
    }

    /// Merges the collected updates into the table.
    fn merge_rank_updates(&self) {
        let rank_updates = std::mem::take(&mut *self.rank_updates.lock());
        let now = self.clock.now();
        self.update_table(|table| {
            let mut changed = false;
            for update in rank_updates {
                changed |= table.record_rank(now, update);
            }
            changed
        });
    }

    /// Merges the limits that a gateway knows into the table.
    pub(crate) fn merge_limits(&self, host: &HostId, demands: &[Demand]) {
        if demands.is_empty() {
            return;
        }
        let now = self.clock.now();
        self.update_table(|table| {
            let mut changed = false;
            for Demand { server, limit, .. } in demands {
                let update = limit.to_update(now);
                let before = table.limit(server);
                if table.record_limit(server, update) {
                    changed = true;
                    let source = format_args!("told by {host}");
                    let (event, detail) = limit_change_event(before, update.rate, source);
                    self.journal.record(event, server, detail);
                }
            }
            changed
        });
    }

    /// Merges the servers into the table that told a gateway that they are leaving.
    pub(crate) fn merge_leaving_servers(&self, host: &HostId, leaving: &[LeavingServer]) {
        if leaving.is_empty() {
            return;
        }
        let now = self.clock.now();
        self.update_table(|table| {
            let mut changed = false;
            for entry in leaving {
                if table.merge_leaving(now, entry) {
                    changed = true;
                    let detail = format_args!("told by {host}");
                    self.journal
                        .record(Event::LeavingTold, &entry.server, detail);
                }
            }
            changed
        });
    }

    /// Returns the servers that fail by the reports of several gateways.
    pub(crate) fn suspects(&self, now: Moment) -> Vec<Suspect> {
        let placed = || {
            let table = self.table.lock();
            let ready = table.iter().filter(|k| k.standing == Standing::Ready);
            let placed = ready.map(|known| Placed {
                server: known.announcement.id.clone(),
                start: known.announcement.start,
                service: known.announcement.service.clone(),
                zone: known.announcement.zone.clone(),
                group: table.rank(known).map(|rank| rank.group.clone()),
            });
            placed.collect()
        };
        self.pollers.lock().suspects(now, placed)
    }

    /// Grants shares of limits to a gateway; `None` if this controller may not grant any.
    pub(crate) fn grant(&self, demands: &[Demand]) -> Option<Vec<Grant>> {
        let term = self.voter.leading_term()?;
        let evacuations = self.voter.evacuations();
        let table = self.table.lock();
        let limit = |id: &ServerId| {
            let known = table.get(id)?;
            if evacuations.zones.contains(&known.announcement.zone) {
                return None;
            }
            Some((known.announcement.start, table.limit(id)?))
        };
        let now = self.clock.now();
        Some(self.grants.lock().grant(now, term, demands, limit))
    }

    /// Returns the internal addresses of all controllers.
    pub(crate) fn controllers(&self) -> Vec<SocketAddr> {
        let mut all = self.voter.addresses();
        all.sort_unstable();
        all.dedup();
        all
    }

    /// Waits until a condition holds, at most for `limit`; returns whether it holds.
    pub(crate) async fn wait_until(&self, limit: Span, holds: impl Fn(&Self) -> bool) -> bool {
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
