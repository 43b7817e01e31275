//! How gateways and controllers exchange records of requests whose servers ended.
//!
//! A gateway sends all of its records to each controller that it polls, and a controller sends gateways
//! the requests under which several servers ended. No leader is needed, and a restarted process
//! receives everything from the others. Polls and answers carry nothing while there are no
//! records: each gateway polls each controller, so the size of every poll counts twice.

use snipemast_core::data;
use snipemast_core::prelude::*;
use snipemast_requests::{CrashRecord, CrashTable};

use crate::updates::Cursor;

data! {
    /// The records that one side of a poll sends the other.
    pub struct CrashUpdate {
        /// The position in the sender's table that the records reach.
        pub reached: Cursor,
        /// The position in the receiver's table that the sender has got.
        pub received: Cursor,
        /// The records.
        pub records: Vec<CrashRecord>,
    }
}

/// A gateway's exchange of records with one controller.
#[derive(Debug, Clone, Copy, Default)]
pub struct CrashExchange {
    /// How much of the controller's table this gateway has; the epoch is 0 before the first answer.
    received: Cursor,
    /// How much of this gateway's table the controller has.
    sent: u64,
}

impl CrashExchange {
    /// Returns the records for the next poll, if there are any.
    pub fn next_poll(&self, now: Moment, table: &CrashTable) -> Option<CrashUpdate> {
        let (records, revision) = table.since(now, self.sent);
        if records.is_empty() && self.received.revision == 0 {
            return None;
        }
        Some(CrashUpdate {
            reached: Cursor {
                revision,
                ..Cursor::default()
            },
            received: self.received,
            records,
        })
    }

    /// Merges the controller's records, and returns those that changed the table. `epoch` is that of
    /// the controller's table, which every answer names.
    ///
    /// A restarted controller has another epoch and is sent everything again.
    pub fn handle_answer(
        &mut self,
        now: Moment,
        epoch: u64,
        table: &mut CrashTable,
        update: Option<CrashUpdate>,
    ) -> Vec<CrashRecord> {
        let restarted = ![0, epoch].contains(&self.received.epoch);
        if self.received.epoch != epoch {
            (self.sent, self.received) = (0, Cursor { epoch, revision: 0 });
        }
        let Some(update) = update else {
            return Vec::new();
        };
        // The poll that this answers carried only a part of the records for a restarted controller.
        if !restarted {
            self.sent = update.received.revision;
        }
        self.received = update.reached;
        let mut merged = Vec::new();
        for record in update.records {
            if table.merge(now, record.clone()) {
                merged.push(record);
            }
        }
        merged
    }
}

/// Whether a controller has records that a gateway lacks. `epoch` is that of the controller's table.
pub fn has_crash_update(epoch: u64, table: &CrashTable, poll: Option<&CrashUpdate>) -> bool {
    table.shared_revision() > received_revision(epoch, poll)
}

/// Returns what a controller answers to a gateway's poll, if there is anything. It has merged the
/// poll's records before.
pub fn answer_crash_poll(
    now: Moment,
    epoch: u64,
    table: &CrashTable,
    poll: Option<&CrashUpdate>,
) -> Option<CrashUpdate> {
    let sent = poll.is_some_and(|update| !update.records.is_empty());
    if !sent && !has_crash_update(epoch, table, poll) {
        return None;
    }
    let (records, revision) = table.shared_since(now, received_revision(epoch, poll));
    Some(CrashUpdate {
        reached: Cursor { epoch, revision },
        received: poll.map(|update| update.reached).unwrap_or_default(),
        records,
    })
}

/// Returns how much of a controller's table a gateway has.
fn received_revision(epoch: u64, poll: Option<&CrashUpdate>) -> u64 {
    let received = poll.map(|update| update.received);
    let received = received.filter(|cursor| cursor.epoch == epoch);
    received.map_or(0, |cursor| cursor.revision)
}
