//! Tells a dead backend server from a broken connection, and counts its deaths.

use std::sync::Arc;

use futures_lite::FutureExt;

use snipemast_core::prelude::*;
use snipemast_servers::{Engine, EngineError};
use snipemast_wire::frame::Failure;
use snipemast_wire::spawn;

use super::Gate;

/// How long a backend server whose connection broke gets to show that it lives.
const PROBE: Span = Span::from_secs(1);
/// How often a dead one is asked again.
const AGAIN: Span = Span::from_millis(250);

/// The deaths of the backend server.
///
/// All dispatches that one death takes with it carry the same number, however late each finds
/// out, so that ten copies of an innocent request beside a culprit count one crash and not ten.
#[derive(Debug, Default)]
pub(super) struct Crashes {
    number: u64,
    is_down: bool,
}

impl Crashes {
    /// The number of deaths so far: the life that a dispatch begins in.
    pub(super) fn life(&self) -> u64 {
        self.number
    }

    /// Whether the backend server is thought dead.
    pub(super) fn is_down(&self) -> bool {
        self.is_down
    }

    /// The backend server was seen alive.
    pub(super) fn up(&mut self) {
        self.is_down = false;
    }

    /// A dispatch of this life found the backend server dead; returns the number of the death.
    fn down(&mut self, life: u64) -> u64 {
        if self.number == life {
            self.is_down = true;
            self.number += 1;
        }
        life + 1
    }
}

impl Gate {
    /// How a dispatch failed whose connection to the backend server broke.
    pub(super) async fn broken(self: &Arc<Self>, life: u64, restarts: u32) -> Failure {
        let probe = async { probe(&self.engine).await };
        let late = async {
            smol::Timer::after(PROBE.as_duration()).await;
            None
        };
        let again = match probe.or(late).await {
            Some(load) if load.is_none_or(|l| l.restarts == restarts) => return Failure::Broken,
            Some(_) => false,
            None => true,
        };
        let number = self.crashes.lock().down(life);
        if again {
            self.await_life();
        } else {
            self.crashes.lock().up();
        }
        Failure::Died(number)
    }

    /// Asks the backend server in the background until it answers.
    fn await_life(self: &Arc<Self>) {
        let gate = Arc::downgrade(self);
        spawn(async move {
            while let Some(gate) = gate.upgrade() {
                if probe(&gate.engine).await.is_some() {
                    gate.crashes.lock().up();
                    return;
                }
                drop(gate);
                smol::Timer::after(AGAIN.as_duration()).await;
            }
        })
        .detach();
    }
}

/// The load of a backend server that answers; one that answers anything at all is alive.
async fn probe(engine: &Engine) -> Option<Option<LoadReport>> {
    match engine.load().await {
        Ok(load) => Some(Some(load)),
        Err(report) => match report.current_context() {
            EngineError::Malformed(_) => Some(None),
            EngineError::Broken(_) | EngineError::Invalid => None,
        },
    }
}
