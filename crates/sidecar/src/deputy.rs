//! On rank 1: lets the group go on that this rank holds for a lead that has fallen silent.

use std::net::SocketAddr;
use std::sync::Arc;

use snipemast_core::prelude::*;
use snipemast_groups::switch::RankState;
use snipemast_groups::takeover::{next_takeover_ballot, StandstillDetector, Takeover, LEAD_RANK};
use snipemast_net::exec::pause;
use snipemast_net::BootClock;

use crate::calls::Calls;
use crate::engine::Engine;
use crate::news::Reader;
use crate::peers::{path, RankReport, StateQuery};
use crate::rank::Rank;
use crate::relay::Clients;

/// How often the own rank is looked at.
const WATCH: Span = Span::from_millis(100);

/// The same while it is held: each moment that is lost here a group may stand.
const WATCH_HELD: Span = Span::from_millis(20);

/// How long the process beside rank 0 may take to answer before it is taken for silent: some times what
/// answers to orders of a switch take.
const ANSWER: Span = Span::from_millis(150);

/// Watches over a group beside its second rank.
pub(crate) struct Deputy {
    reader: Arc<Reader>,
    journal: Journal,
    clock: BootClock,
    rank: Arc<Rank>,
    clients: Arc<Clients>,
    calls: Calls,
    stillness: StandstillDetector,
    group: Option<Known>,
}

/// What is known of a group for as long as it does not form again.
struct Known {
    epoch: GroupIncarnation,
    /// The processes beside the ranks.
    addresses: Vec<SocketAddr>,
}

impl Deputy {
    pub(crate) fn new(reader: Arc<Reader>, rank: Arc<Rank>, journal: Journal) -> Self {
        let clock = BootClock::new();
        let stillness = StandstillDetector::new(clock.now());
        Self {
            reader,
            journal,
            clock,
            rank,
            clients: Arc::default(),
            calls: Calls::new(),
            stillness,
            group: None,
        }
    }

    /// Watches for as long as it is polled.
    pub(crate) async fn run(mut self) {
        let mut held = false;
        loop {
            pause(if held { WATCH_HELD } else { WATCH }).await;
            let Some((state, working)) = self.rank.at_work().await else {
                continue;
            };
            held = state.held.is_some();
            let still = self.stillness.observe(self.clock.now(), &state, working);
            self.learn(&state).await;
            if still && !self.lead_answers().await {
                self.take_over(&state).await;
            }
        }
    }

    /// Learns where the ranks are, whenever the group has formed.
    async fn learn(&mut self, state: &RankState) {
        let known = self.group.as_ref();
        if !state.open || known.is_some_and(|g| g.epoch == state.epoch) {
            return;
        }
        let asked = self.reader.ranks();
        let mut all = self.calls.look_again(asked, &StateQuery::default()).await;
        all.retain(|(_, seen)| seen.group == *self.reader.group());
        all.sort_by_key(|(_, seen)| seen.rank);
        let (addresses, seen): (Vec<SocketAddr>, Vec<RankReport>) = all.into_iter().unzip();
        let same = seen.iter().all(|s| s.state.epoch == state.epoch);
        let whole = seen.first().is_some_and(|first| first.size == seen.len());
        if whole && same {
            let epoch = state.epoch;
            self.group = Some(Known { epoch, addresses });
        }
    }

    /// Whether the process beside rank 0 answers; it settles its holds itself then.
    async fn lead_answers(&self) -> bool {
        let Some(group) = &self.group else {
            return true;
        };
        let client = self.clients.get(group.addresses[LEAD_RANK]);
        let query = StateQuery::default();
        let asked = client.call::<_, RankReport>(path::STATE, &query, ANSWER);
        asked.await.is_ok()
    }

    /// The first rank, where it can be ordered although the process beside it is silent.
    async fn first_rank(&self, process: SocketAddr) -> Option<Rank> {
        let server = self.reader.server_at(process.ip())?;
        let engine = Engine::new(server);
        engine.report().await.ok()?;
        Some(Rank::from_afar(engine, self.journal.clone()))
    }

    /// Takes over, unless the lead is about to end what it is doing, and lets the group go on.
    async fn take_over(&mut self, own: &RankState) {
        let Some(known) = &self.group else {
            return;
        };
        let Some(step) = own.held.filter(|_| known.epoch == own.epoch) else {
            return;
        };
        let pledged = self.rank.is_pledged(own);
        let first = match pledged {
            true => self.first_rank(known.addresses[LEAD_RANK]).await,
            false => None,
        };
        let lead = next_takeover_ballot(self.rank.lead());
        if !self.rank.overtake(lead, own, first.is_some()) {
            return;
        }
        let pledged = first.is_some();
        self.calls.order_first(first);
        let addresses = known.addresses.clone();
        let detail = format!("held at step {step}, {} is silent", addresses[LEAD_RANK]);
        self.journal.record(Event::LeadOvertaken, "group", detail);
        self.calls.give_as(lead);
        let (mut takeover, sends) = Takeover::begin(addresses.len(), lead, own, step, pledged);
        self.calls.execute(sends, &addresses);
        while !takeover.is_over() {
            let Some(told) = self.calls.outcome(WATCH).await else {
                continue;
            };
            let sends = takeover.handle_outcome(told.rank, told.phase, told.outcome);
            self.calls.execute(sends, &addresses);
        }
        self.stillness.back_off(self.clock.now());
        self.journal
            .record(Event::MapAborted, "group", "let go for a silent lead");
    }
}
