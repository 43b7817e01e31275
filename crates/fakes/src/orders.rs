//! What a fake engine makes of orders.

use std::sync::Arc;

use parking_lot::Mutex;

use snipemast_config::wishes::Action;
use snipemast_core::prelude::*;
use snipemast_servers::orders::{EngineOrder, OrderOutcome};

/// The orders that an engine carried out, and what it offers since.
#[derive(Debug, Clone)]
pub struct Orders {
    inner: Arc<Mutex<Inner>>,
}

#[derive(Debug)]
struct Inner {
    info: ServerInfo,
    seen: Fence,
    carried: Vec<EngineOrder>,
}

impl Orders {
    /// The orders of an engine that begins so; its capabilities say whether it checks.
    pub fn new(info: ServerInfo) -> Self {
        let inner = Inner {
            info,
            seen: Fence::default(),
            carried: Vec::new(),
        };
        Self {
            inner: Arc::new(Mutex::new(inner)),
        }
    }

    /// What the engine offers now.
    pub fn info(&self) -> ServerInfo {
        self.inner.lock().info.clone()
    }

    /// The orders that were carried out, in order.
    pub fn carried(&self) -> Vec<EngineOrder> {
        self.inner.lock().carried.clone()
    }

    /// Carries an order out.
    pub fn take(&self, order: EngineOrder) -> OrderOutcome {
        let mut inner = self.inner.lock();
        if inner.info.capabilities.fencing && order.fence < inner.seen {
            return OrderOutcome::Old;
        }
        inner.seen = inner.seen.max(order.fence);
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
