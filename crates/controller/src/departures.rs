//! Deregistrations that outlast all processes.
//!
//! A server gets the acknowledgement of its deregistration once the replicated log has it. So a heartbeat that it sent before
//! and that arrives after all controllers have restarted doesn't make it ready again.

use std::sync::Arc;

use async_channel::{Receiver, Sender};
use parking_lot::Mutex;

use snipemast_control::documents::{Command, Verdict};
use snipemast_core::departures::Departure;
use snipemast_core::prelude::*;
use snipemast_net::exec::{pause, spawn};

use crate::api::Api;
use crate::state::State;

/// How long deregistrations are gathered for one entry of the log: thousands of servers may leave within a minute.
const GATHER_TIME: Span = Span::from_millis(20);

/// The deregistrations that wait for the next entry.
#[derive(Debug, Default)]
pub(crate) struct PendingDepartures(Mutex<Vec<(Departure, Sender<bool>)>>);

impl Api {
    /// Makes a departure durable; returns whether that succeeded.
    pub(crate) async fn store_departure(self: &Arc<Self>, departure: Departure) -> bool {
        let stored = self.add_departure(departure);
        stored.recv().await.unwrap_or(false)
    }

    fn add_departure(self: &Arc<Self>, departure: Departure) -> Receiver<bool> {
        let (sender, receiver) = async_channel::bounded(1);
        let mut pending = self.departures.0.lock();
        pending.push((departure, sender));
        if pending.len() == 1 {
            let api = Arc::clone(self);
            spawn(async move {
                pause(GATHER_TIME).await;
                api.store_pending().await;
            })
            .detach();
        }
        receiver
    }

    async fn store_pending(&self) {
        let pending = std::mem::take(&mut *self.departures.0.lock());
        let departures = pending.iter().map(|(d, _)| d.clone()).collect();
        let verdict = self.submit_to_leader(Command::Depart { departures }).await;
        for (_, sender) in pending {
            // The server may have given up.
            let _ = sender.try_send(verdict == Some(Verdict::Accepted));
        }
    }
}

/// Enters the departures that the log has into the table, those of other controllers and of earlier processes.
pub(crate) async fn follow_departures(state: Arc<State>) {
    let mut count = 0;
    loop {
        let changed = state.voter.listen();
        let (departures, all) = state.voter.departures(count);
        // A voter that starts again has applied none of the log yet.
        count = all;
        if !departures.is_empty() {
            let now = state.clock.now();
            state.update_table(|table| {
                let entered = departures.iter().map(|d| table.record_departure(now, d));
                entered.fold(false, |any, changed| any | changed)
            });
        }
        changed.await;
    }
}
