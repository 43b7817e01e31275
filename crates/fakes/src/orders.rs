//! How a fake engine carries out orders.

use std::sync::Arc;

use parking_lot::Mutex;

use snipemast_config::wishes::Action;
use snipemast_core::prelude::*;
use snipemast_servers::orders::{EngineOrder, OrderOutcome};

/// The orders that an engine carried out, and what it has offered since.
#[derive(Debug, Clone)]
pub struct Orders {
    inner: Arc<Mutex<Inner>>,
}

#[derive(Debug)]
struct Inner {
    info: ServerInfo,
    /// The highest fencing number seen.
    fence: Fence,
    carried: Vec<EngineOrder>,
}

impl Orders {
    /// Creates the state of an engine with this description. Its capabilities say whether it checks
    /// fencing numbers.
    pub fn new(info: ServerInfo) -> Self {
        let inner = Inner {
            info,
            fence: Fence::default(),
            carried: Vec::new(),
        };
        Self {
            inner: Arc::new(Mutex::new(inner)),
        }
    }

    /// Returns the current description of the engine.
    pub fn info(&self) -> ServerInfo {
        self.inner.lock().info.clone()
    }

    /// Returns the orders that were carried out, oldest first.
    pub fn carried(&self) -> Vec<EngineOrder> {
        self.inner.lock().carried.clone()
    }

    /// Carries out an order.
    pub fn execute(&self, order: EngineOrder) -> OrderOutcome {
        let mut inner = self.inner.lock();
        if inner.info.capabilities.fencing && order.fence < inner.fence {
            return OrderOutcome::Old;
        }
        inner.fence = inner.fence.max(order.fence);
        if let Action::Load {
            model,
            version,
            adapters,
        } = order.action.clone()
        {
            let other =
                |offer: &Offer| !matches!(offer, Offer::Model { model: m, .. } if *m == model);
            inner.info.offers.retain(other);
            inner.info.offers.push(Offer::Model {
                model,
                version,
                adapters,
            });
        }
        inner.carried.push(order);
        OrderOutcome::Done
    }
}
