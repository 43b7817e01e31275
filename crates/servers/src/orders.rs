//! Orders to a model engine, by which it loads models, adapters and versions or changes its role.

use std::net::SocketAddr;

use error_stack::{Report, ResultExt};
use futures_lite::FutureExt;
use trillium_client::{Client, Status};

use snipemast_config::wishes::Action;
use snipemast_core::prelude::*;
use snipemast_wire::connect::EagerConnector;
use snipemast_wire::order::OrderId;

use crate::engine::{EngineError, Result};
use crate::protocol;

data! {
    /// An order in the form that a model engine reads.
    pub struct EngineOrder {
        /// The order's id.
        pub id: OrderId,
        /// The fencing number; an engine that checks it refuses a lower one than it has seen.
        pub fence: Fence,
        /// What the engine has to do.
        pub action: Action,
    }

    /// The outcome of an order at an engine.
    #[derive(Copy)]
    pub enum OrderOutcome {
        /// The engine carried out the order.
        Done,
        /// The engine refused the fencing number as too low.
        Old,
        /// The engine failed to carry out the order.
        Failed,
    }
}

/// A client for orders to one model engine.
#[derive(Debug, Clone)]
pub struct OrderClient {
    address: SocketAddr,
    client: Client,
}

impl OrderClient {
    /// Creates a client for the engine that listens at this address.
    pub fn new(address: SocketAddr) -> Self {
        let client = Client::new(EagerConnector::default());
        Self { address, client }
    }

    /// Sends an order to the engine, and waits until it is carried out or the timeout has passed.
    pub async fn forward(&self, order: &EngineOrder, timeout: Span) -> Result<OrderOutcome> {
        let timed_out = async {
            smol::Timer::after(timeout.as_duration()).await;
            Err(Report::new(EngineError::Broken(self.address)))
        };
        self.send(order).or(timed_out).await
    }

    async fn send(&self, order: &EngineOrder) -> Result<OrderOutcome> {
        let body = serde_json::to_vec(order).change_context(EngineError::Invalid)?;
        let url = format!("http://{}{}", self.address, protocol::ORDERS);
        let conn = self.client.post(url.as_str()).with_body(body).await;
        let conn = conn.change_context(EngineError::Broken(self.address))?;
        Ok(match conn.status() {
            Some(status) if status.is_success() => OrderOutcome::Done,
            Some(Status::Conflict) => OrderOutcome::Old,
            _ => OrderOutcome::Failed,
        })
    }
}
