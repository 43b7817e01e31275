//! Orders to a model engine: load models, adapters and versions, or change role.

use std::net::SocketAddr;

use error_stack::{Report, ResultExt};
use futures_lite::FutureExt;
use trillium_client::{Client, Status};
use trillium_smol::ClientConfig;

use snipemast_config::wishes::Action;
use snipemast_core::prelude::*;
use snipemast_wire::order::OrderId;

use crate::engine::{EngineError, Result};
use crate::protocol;

data! {
    /// An order as a model engine reads it.
    pub struct EngineOrder {
        /// The order's id.
        pub id: OrderId,
        /// The fencing number; an engine that checks refuses a lower one than it has seen.
        pub fence: Fence,
        /// What to do.
        pub action: Action,
    }

    /// What an engine made of an order.
    #[derive(Copy)]
    pub enum OrderOutcome {
        /// It has done it.
        Done,
        /// It refused the fencing number.
        Old,
        /// It failed.
        Failed,
    }
}

/// The way orders take to one model engine.
#[derive(Debug, Clone)]
pub struct OrderClient {
    address: SocketAddr,
    client: Client,
}

impl OrderClient {
    /// Orders to the engine that listens at this address.
    pub fn new(address: SocketAddr) -> Self {
        let client = Client::new(ClientConfig::default().with_nodelay(true));
        Self { address, client }
    }

    /// Passes an order on and waits until it is carried out.
    pub async fn forward(&self, order: &EngineOrder, timeout: Span) -> Result<OrderOutcome> {
        let late = async {
            smol::Timer::after(timeout.as_duration()).await;
            Err(Report::new(EngineError::Broken(self.address)))
        };
        self.send(order).or(late).await
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
