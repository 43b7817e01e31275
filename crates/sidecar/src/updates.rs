//! Sends controllers the place of the rank beside this process, and whether its group makes progress.
//!
//! From these updates controllers build one table of all ranks and include it in their updates: gateways see which
//! servers run and stall together, and the lead of a group sees its members. Each process reports one rank
//! only, so the work of a process doesn't grow with the service.

use std::net::SocketAddr;
use std::sync::Arc;

use snipemast_core::prelude::*;
use snipemast_groups::stall::StallDetector;
use snipemast_net::exec::pause;
use snipemast_net::{BootClock, RpcClient};
use snipemast_platform::settings::Settings;
use snipemast_registry::rank::{RankAck, PATH, REFRESH_INTERVAL};
use snipemast_registry::{GroupRank, RankUpdate};

use crate::rank::Rank;

/// How often the rank is checked: gateways learn of a change in a group this much later.
const CHECK_INTERVAL: Span = Span::from_millis(100);

/// How long a controller may take to answer before the update goes to another one.
const UPDATE_TIMEOUT: Span = Span::from_millis(300);

/// Sends controllers updates on the rank beside this process.
pub(crate) struct UpdateSender {
    settings: Settings,
    journal: Journal,
    clock: BootClock,
    rank: Arc<Rank>,
    stall: StallDetector,
    /// The controller that gets the updates.
    client: Option<RpcClient>,
    /// The number of controllers tried so far, from a random start; it selects the next seed.
    tried: usize,
    /// The last update that a controller acknowledged.
    last_sent: Option<RankUpdate>,
    /// Drawn at random, so that updates of an earlier start of this process can be distinguished.
    sender: u64,
    /// The number of the last update.
    number: u64,
    /// When the last update was sent.
    sent_at: Moment,
}

impl UpdateSender {
    /// Creates a sender that has sent no update yet.
    pub(crate) fn new(settings: Settings, rank: Arc<Rank>, journal: Journal) -> Self {
        let clock = BootClock::new();
        Self {
            settings,
            journal,
            clock,
            rank,
            stall: StallDetector::new(clock.now()),
            client: None,
            tried: rand::random_range(0..64),
            last_sent: None,
            sender: rand::random(),
            number: 0,
            sent_at: Moment::ZERO,
        }
    }

    /// Sends updates for as long as the future is polled.
    pub(crate) async fn run(mut self) {
        loop {
            if let Some(update) = self.next_update().await {
                let now = self.clock.now();
                let due = !self.is_sent(&update) || now >= self.sent_at + REFRESH_INTERVAL;
                if due && self.send_update(&update).await {
                    self.log_update(&update);
                    (self.last_sent, self.sent_at) = (Some(update), now);
                }
            }
            pause(CHECK_INTERVAL).await;
        }
    }

    /// Builds the next update; nothing where the rank doesn't answer.
    async fn next_update(&mut self) -> Option<RankUpdate> {
        self.number += 1;
        let report = self.rank.report().await?;
        let (now, working) = (self.clock.now(), report.requests > 0);
        let rank = report.rank.map(|rank| GroupRank {
            open: self.stall.observe_progress(now, &rank.state, working),
            group: rank.group,
            epoch: rank.state.epoch,
            place: rank.rank as u32,
            size: rank.size as u32,
        });
        Some(RankUpdate {
            address: self.rank.address(),
            start: report.start,
            rank,
            sender: self.sender,
            number: self.number,
        })
    }

    /// Sends an update, and returns whether the controller acknowledged it; if not, another one is tried next.
    async fn send_update(&mut self, update: &RankUpdate) -> bool {
        if self.client.is_none() {
            self.settings.refresh(&self.journal);
            let seeds: Vec<SocketAddr> = self.settings.internal_seeds().into_iter().collect();
            let seed = seeds.get(self.tried % seeds.len().max(1));
            self.client = seed.map(|seed| RpcClient::new(*seed));
        }
        let Some(client) = &self.client else {
            return false;
        };
        let acknowledged = client
            .call::<_, RankAck>(PATH, update, UPDATE_TIMEOUT)
            .await
            .is_ok();
        if !acknowledged {
            self.client = None;
            self.tried += 1;
        }
        acknowledged
    }

    /// Whether the last acknowledged update says the same.
    fn is_sent(&self, update: &RankUpdate) -> bool {
        self.last_sent
            .as_ref()
            .is_some_and(|last| last.has_same_rank(update))
    }

    /// Logs an update that says something new.
    fn log_update(&self, update: &RankUpdate) {
        if self.is_sent(update) {
            return;
        }
        let Some(rank) = &update.rank else {
            let journal = &self.journal;
            journal.record(Event::RankTold, update.address, "a rank of no group");
            return;
        };
        let detail = format_args!(
            "rank {} of {}, epoch {}, goes on: {}",
            rank.place, rank.size, rank.epoch, rank.open
        );
        self.journal.record(Event::RankTold, &rank.group, detail);
    }
}
