//! Distinguishes a dead backend server from a broken connection, and counts its deaths.

use std::sync::Arc;

use futures_lite::FutureExt;

use snipemast_core::prelude::*;
use snipemast_servers::{Engine, EngineError};
use snipemast_wire::frame::Failure;
use snipemast_wire::spawn;

use super::Gate;

/// How long a backend server whose connection broke may take to show that it is alive.
const PROBE_TIMEOUT: Span = Span::from_secs(1);
/// The pause between two probes of a dead backend server.
const PROBE_INTERVAL: Span = Span::from_millis(250);

/// The deaths of the backend server.
///
/// All dispatches that one death ends carry the same number, however late each of them learns of it,
/// so that ten copies of an innocent request beside the culprit count as one crash and not as ten.
#[derive(Debug, Default)]
pub(super) struct Crashes {
    deaths: u64,
    is_down: bool,
}

impl Crashes {
    /// Returns the number of deaths so far; a dispatch notes it when it begins.
    pub(super) fn deaths(&self) -> u64 {
        self.deaths
    }

    /// Whether the backend server is thought dead.
    pub(super) fn is_down(&self) -> bool {
        self.is_down
    }

    /// Records that the backend server was seen alive.
    pub(super) fn mark_alive(&mut self) {
        self.is_down = false;
    }

    /// Records that a dispatch which began after this many deaths found the backend server dead; returns
    /// the number of that death.
    fn record_death(&mut self, deaths: u64) -> u64 {
        if self.deaths == deaths {
            self.is_down = true;
            self.deaths += 1;
        }
        deaths + 1
    }
}

impl Gate {
    /// Returns how a dispatch failed whose connection to the backend server broke.
    pub(super) async fn diagnose_break(self: &Arc<Self>, deaths: u64, restarts: u32) -> Failure {
        let probe = async { probe(&self.engine).await };
        let late = async {
            smol::Timer::after(PROBE_TIMEOUT.as_duration()).await;
            None
        };
        let silent = match probe.or(late).await {
            Some(load) if load.is_none_or(|l| l.restarts == restarts) => return Failure::Broken,
            Some(_) => false,
            None => true,
        };
        let number = self.crashes.lock().record_death(deaths);
        if silent {
            self.await_restart();
        } else {
            self.crashes.lock().mark_alive();
        }
        Failure::Died(number)
    }

    /// Probes the backend server in the background until it answers.
    fn await_restart(self: &Arc<Self>) {
        let gate = Arc::downgrade(self);
        spawn(async move {
            while let Some(gate) = gate.upgrade() {
                if probe(&gate.engine).await.is_some() {
                    gate.crashes.lock().mark_alive();
                    return;
                }
                drop(gate);
                smol::Timer::after(PROBE_INTERVAL.as_duration()).await;
            }
        })
        .detach();
    }
}

/// Asks the backend server for its load; one that answers anything at all is alive.
async fn probe(engine: &Engine) -> Option<Option<LoadReport>> {
    match engine.load().await {
        Ok(load) => Some(Some(load)),
        Err(report) => match report.current_context() {
            EngineError::Malformed(_) => Some(None),
            EngineError::Broken(_) | EngineError::Invalid => None,
        },
    }
}
