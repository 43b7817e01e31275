//! The HTTP interface for the system's own processes.

use std::sync::Arc;

use trillium::{async_trait, Conn, Handler, Status};

use snipemast_core::prelude::*;
use snipemast_membership::timeline::{Page, PageRequest};
use snipemast_membership::{AgentMessage, Packet};
use snipemast_requests::KeeperAsk;
use snipemast_wire::config::PatchAsk;
use snipemast_wire::message::path;
use snipemast_wire::order::{self, FenceAsk};
use snipemast_wire::serve::{read_message, reply, reply_malformed};
use snipemast_wire::{gossip, ConfigPoll, Packed, Suspected};

use crate::shared::Shared;
use crate::{control, orders};

/// The path prefix of the messages between control hosts.
const CONTROL_PREFIX: &str = "/own/control/";

/// Handles messages of the system's own processes.
#[derive(Debug)]
pub struct InternalApi {
    shared: Arc<Shared>,
}

impl InternalApi {
    /// Creates the handler over the shared state.
    pub fn new(shared: Arc<Shared>) -> Self {
        Self { shared }
    }

    /// Answers an agent's message about its lease.
    async fn lease(&self, mut conn: Conn) -> Conn {
        let Some(asked) = read_packed::<AgentMessage>(&mut conn).await else {
            return reply_malformed(conn);
        };
        match self.shared.gossip.answer_agent(&self.shared, asked) {
            Some(answer) => reply(conn, &Packed::new(&answer)),
            None => conn.with_status(Status::ServiceUnavailable).halt(),
        }
    }

    /// Answers another entry's exchange.
    async fn exchange(&self, mut conn: Conn) -> Conn {
        let Some(asked) = read_packed::<Packet>(&mut conn).await else {
            return reply_malformed(conn);
        };
        match self.shared.gossip.answer_exchange(&self.shared, asked) {
            Some(answer) => reply(conn, &Packed::new(&answer)),
            None => conn.with_status(Status::ServiceUnavailable).halt(),
        }
    }

    async fn config(&self, mut conn: Conn) -> Conn {
        let Some(poll) = read_message::<ConfigPoll>(&mut conn).await else {
            return reply_malformed(conn);
        };
        let ConfigPoll {
            ask,
            standing,
            below,
        } = poll;
        self.shared.distributor.record_asker(standing, below);
        let answer = self.shared.distributor.answer(ask).await;
        reply(conn, &answer)
    }

    async fn patch(&self, mut conn: Conn) -> Conn {
        let Some(ask) = read_message::<PatchAsk>(&mut conn).await else {
            return reply_malformed(conn);
        };
        reply(conn, &control::handle_patch(&self.shared, ask).await)
    }

    async fn fences(&self, mut conn: Conn) -> Conn {
        let Some(ask) = read_message::<FenceAsk>(&mut conn).await else {
            return reply_malformed(conn);
        };
        reply(conn, &orders::collect_fences(&self.shared, ask).await)
    }

    async fn control(&self, conn: Conn) -> Conn {
        match self.shared.control() {
            Some(control) => control.voter().answer(conn).await,
            None => conn.with_status(Status::NotFound).halt(),
        }
    }

    async fn page(&self, mut conn: Conn) -> Conn {
        let Some(ask) = read_packed::<PageRequest>(&mut conn).await else {
            return reply_malformed(conn);
        };
        let page = Page::answer(self.shared.journal.ring(), &ask);
        reply(conn, &Packed::new(&page))
    }

    /// Answers an ask from a claimer or another keeper.
    async fn keeper(&self, mut conn: Conn) -> Conn {
        let Some(ask) = read_message::<KeeperAsk>(&mut conn).await else {
            return reply_malformed(conn);
        };
        let answer = self.shared.keys.answer_ask(&self.shared, ask);
        reply(conn, &answer)
    }

    /// Exchanges suspicions with another entry.
    async fn suspected(&self, mut conn: Conn) -> Conn {
        let Some(suspected) = read_message::<Suspected>(&mut conn).await else {
            return reply_malformed(conn);
        };
        let answer = self
            .shared
            .keys
            .exchange_suspicions(&self.shared, suspected);
        reply(conn, &answer)
    }

    async fn events(&self, mut conn: Conn) -> Conn {
        let Some(since) = read_message::<Stamp>(&mut conn).await else {
            return reply_malformed(conn);
        };
        reply(conn, &self.shared.journal.ring().since(since))
    }
}

#[async_trait]
impl Handler for InternalApi {
    async fn run(&self, conn: Conn) -> Conn {
        match conn.path() {
            gossip::path::LEASE => self.lease(conn).await,
            gossip::path::EXCHANGE => self.exchange(conn).await,
            path::CONFIG => self.config(conn).await,
            gossip::path::PAGE => self.page(conn).await,
            order::path::FENCES => self.fences(conn).await,
            path::PATCH => self.patch(conn).await,
            path::KEEPER => self.keeper(conn).await,
            path::SUSPECTED => self.suspected(conn).await,
            path::EVENTS => self.events(conn).await,
            path if path.starts_with(CONTROL_PREFIX) => self.control(conn).await,
            _ => conn.with_status(Status::NotFound).halt(),
        }
    }
}

/// Reads a message whose fields are encoded by position.
async fn read_packed<T: serde::de::DeserializeOwned>(conn: &mut Conn) -> Option<T> {
    read_message::<Packed>(conn).await?.unpack().ok()
}
