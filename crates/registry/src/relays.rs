//! Which controllers forward the changes of servers to a gateway.
//!
//! Every controller has every change, and every gateway polls every controller, which sees by that that
//! the gateway is connected and what it has. But only the controllers of the gateway's own availability
//! zone (its relays) send it the changes, so that only controllers send these between zones. A relay
//! reports how much of each other controller's table its own covers, and thus how much of that table the
//! gateway has. If the relays don't deliver in time what another controller has, the gateway asks that
//! one.

use std::collections::HashMap;
use std::net::SocketAddr;

use snipemast_core::data;

use crate::updates::Cursor;

data! {
    /// How much of another controller's table a controller's own covers.
    pub struct Coverage {
        /// The address at which that controller accepts polls.
        pub controller: SocketAddr,
        /// The position in its table.
        pub cursor: Cursor,
    }
}

/// The state of a controller's table in its answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RelayAnswer {
    /// Whether the controller is in the gateway's availability zone.
    pub same_zone: bool,
    /// How much of the table there is.
    pub cursor: Cursor,
    /// Whether the answer carries changes; earlier releases send them unasked.
    pub has_entries: bool,
    /// How much of other tables the controller's covers.
    pub covered: Vec<Coverage>,
}

/// What a gateway has of each controller's table, and from which controllers it gets changes.
#[derive(Debug, Default)]
pub struct Relays {
    known: HashMap<SocketAddr, Known>,
}

#[derive(Debug, Default)]
struct Known {
    /// How much of the table was sent by the controller itself.
    cursor: Cursor,
    /// The position of the table in the controller's last answer.
    reported: Cursor,
    /// How much of other tables its answers covered.
    covered: HashMap<SocketAddr, Cursor>,
    same_zone: bool,
    /// What the relays did not deliver; it is asked for changes until they have.
    missed: Option<Cursor>,
    /// Whether the last poll asked it for changes.
    asked: bool,
}

impl Relays {
    /// Prepares a poll of a controller: returns what the gateway has of its table, and whether the
    /// answer should carry the changes.
    pub fn prepare(&mut self, controller: SocketAddr) -> (Cursor, bool) {
        let has_relay = self.known.values().any(|k| k.same_zone);
        let cursor = self.cursor(controller);
        let passed_on: Vec<Cursor> = self.passed_on(controller).collect();
        let known = self.known.entry(controller).or_default();
        let lacks = |missed: &Cursor| !passed_on.iter().any(|cursor| cursor.reaches(*missed));
        known.missed = known.missed.filter(lacks);
        known.asked = known.same_zone || known.missed.is_some() || !has_relay;
        (cursor, known.asked)
    }

    /// Records an answer of a controller, after its entries were merged.
    pub fn record(&mut self, controller: SocketAddr, answer: RelayAnswer) {
        // It may have been forgotten since the poll began.
        let Some(known) = self.known.get_mut(&controller) else {
            return;
        };
        known.same_zone = answer.same_zone;
        known.reported = answer.cursor;
        if known.asked || answer.has_entries {
            known.cursor = answer.cursor;
            let covered = answer.covered.into_iter();
            known.covered = covered.map(|c| (c.controller, c.cursor)).collect();
        }
    }

    /// Forgets a controller that no longer answers.
    pub fn record_loss(&mut self, controller: SocketAddr) {
        self.known.remove(&controller);
    }

    /// Forgets the controllers that are no longer polled.
    ///
    /// Failure guarded against: the last relay is no longer polled, and the gateway waits in vain for
    /// it to pass on the changes of each other controller.
    pub fn retain_polled(&mut self, is_polled: impl Fn(SocketAddr) -> bool) {
        self.known.retain(|controller, _| is_polled(*controller));
    }

    /// Whether a controller has changes that the gateway has not got yet.
    pub fn lags(&self, controller: SocketAddr) -> bool {
        let reported = self.known.get(&controller).map(|k| k.reported);
        reported.is_some_and(|reported| !self.cursor(controller).reaches(reported))
    }

    /// Asks a controller for changes from the next poll on, until the relays have passed on what it
    /// has now.
    ///
    /// Failure guarded against: the relays are cut off from a controller, and each of its changes would
    /// be waited for in vain.
    pub fn request(&mut self, controller: SocketAddr) {
        if let Some(known) = self.known.get_mut(&controller) {
            known.missed = Some(known.reported);
        }
    }

    /// Returns how much of a controller's table the gateway has, from the controller itself or from
    /// relays.
    fn cursor(&self, controller: SocketAddr) -> Cursor {
        let Some(own) = self.known.get(&controller) else {
            return Cursor::default();
        };
        let all = self.passed_on(controller).chain([own.cursor]);
        let of_start = all.filter(|cursor| cursor.epoch == own.reported.epoch);
        let newest = of_start.max_by_key(|cursor| cursor.revision);
        newest.unwrap_or(own.cursor)
    }

    /// Returns how much of a controller's table each relay has passed on.
    fn passed_on(&self, controller: SocketAddr) -> impl Iterator<Item = Cursor> + '_ {
        let known = self.known.values();
        known.filter_map(move |k| k.covered.get(&controller).copied())
    }
}
