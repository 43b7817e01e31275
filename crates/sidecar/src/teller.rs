//! Tells controllers where the rank beside this process belongs, and whether its group goes on.
//!
//! One table of all ranks comes out of it, which controllers pass on with their news: gateways learn which servers
//! run and stall together, and the lead of a group who its members are. Each process tells of one rank only,
//! so nobody's work grows with the service.

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

/// How often the rank is looked at: what gateways learn late of a group is that late.
const LOOK: Span = Span::from_millis(100);

/// How long a controller may take to answer before another one is told.
const ANSWER: Span = Span::from_millis(300);

/// Tells of the rank beside this process.
pub(crate) struct Teller {
    settings: Settings,
    journal: Journal,
    clock: BootClock,
    rank: Arc<Rank>,
    stall: StallDetector,
    /// The controller that is told.
    client: Option<RpcClient>,
    /// How many controllers were tried.
    tried: usize,
    told: Option<RankUpdate>,
    /// Told apart from the words of an earlier start of this process.
    teller: u64,
    /// Counts the words.
    number: u64,
    /// When the last word was told.
    at: Moment,
}

impl Teller {
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
            told: None,
            teller: rand::random(),
            number: 0,
            at: Moment::ZERO,
        }
    }

    /// Tells for as long as it is polled.
    pub(crate) async fn run(mut self) {
        loop {
            if let Some(word) = self.word().await {
                let now = self.clock.now();
                let due = !self.is_told(&word) || now >= self.at + REFRESH_INTERVAL;
                if due && self.tell(&word).await {
                    self.note(&word);
                    (self.told, self.at) = (Some(word), now);
                }
            }
            pause(LOOK).await;
        }
    }

    /// What there is to tell; nothing where the rank does not answer.
    async fn word(&mut self) -> Option<RankUpdate> {
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
            sender: self.teller,
            number: self.number,
        })
    }

    /// Whether a controller took a word; another one is tried next where this one did not.
    async fn tell(&mut self, word: &RankUpdate) -> bool {
        if self.client.is_none() {
            self.settings.refresh(&self.journal);
            let seeds: Vec<SocketAddr> = self.settings.internal_seeds().into_iter().collect();
            let seed = seeds.get(self.tried % seeds.len().max(1));
            self.client = seed.map(|seed| RpcClient::new(*seed));
        }
        let Some(client) = &self.client else {
            return false;
        };
        let taken = client.call::<_, RankAck>(PATH, word, ANSWER).await.is_ok();
        if !taken {
            self.client = None;
            self.tried += 1;
        }
        taken
    }

    /// Whether controllers were told the same last.
    fn is_told(&self, word: &RankUpdate) -> bool {
        self.told
            .as_ref()
            .is_some_and(|told| told.has_same_rank(word))
    }

    /// Logs a word that says something new.
    fn note(&self, word: &RankUpdate) {
        if self.is_told(word) {
            return;
        }
        let Some(rank) = &word.rank else {
            let journal = &self.journal;
            journal.record(Event::RankTold, word.address, "a rank of no group");
            return;
        };
        let detail = format_args!(
            "rank {} of {}, epoch {}, goes on: {}",
            rank.place, rank.size, rank.epoch, rank.open
        );
        self.journal.record(Event::RankTold, &rank.group, detail);
    }
}
