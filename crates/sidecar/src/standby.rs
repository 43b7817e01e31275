//! On rank 1: releases the group that this rank holds for a lead which no longer answers.

use std::net::SocketAddr;
use std::sync::Arc;

use snipemast_core::prelude::*;
use snipemast_groups::switch::RankState;
use snipemast_groups::takeover::{next_takeover_ballot, StandstillDetector, Takeover, LEAD_RANK};
use snipemast_net::exec::pause;
use snipemast_net::BootClock;

use crate::calls::Calls;
use crate::engine::Engine;
use crate::peers::{path, RankReport, StateQuery};
use crate::rank::Rank;
use crate::reader::UpdateReader;
use crate::relay::Clients;

/// How often the standby checks its own rank.
const CHECK_INTERVAL: Span = Span::from_millis(100);

/// How often the standby checks its own rank while that is held: the group may stand still for all of this time.
const HELD_CHECK_INTERVAL: Span = Span::from_millis(20);

/// How long the process beside rank 0 may take to answer before it counts as silent: several times as long as
/// answers to the orders of a switch take.
const LEAD_TIMEOUT: Span = Span::from_millis(150);

/// Watches a group from beside its second rank.
pub(crate) struct Standby {
    reader: Arc<UpdateReader>,
    journal: Journal,
    clock: BootClock,
    rank: Arc<Rank>,
    clients: Arc<Clients>,
    calls: Calls,
    standstill: StandstillDetector,
    group: Option<KnownGroup>,
}

/// What the standby knows of a group until that forms again.
struct KnownGroup {
    epoch: GroupIncarnation,
    /// The processes beside the ranks.
    addresses: Vec<SocketAddr>,
}

impl Standby {
    /// Creates the standby beside its rank.
    pub(crate) fn new(reader: Arc<UpdateReader>, rank: Arc<Rank>, journal: Journal) -> Self {
        let clock = BootClock::new();
        let standstill = StandstillDetector::new(clock.now());
        Self {
            reader,
            journal,
            clock,
            rank,
            clients: Arc::default(),
            calls: Calls::new(),
            standstill,
            group: None,
        }
    }

    /// Watches the group for as long as the future is polled.
    pub(crate) async fn run(mut self) {
        let mut held = false;
        loop {
            pause(if held {
                HELD_CHECK_INTERVAL
            } else {
                CHECK_INTERVAL
            })
            .await;
            let Some((state, working)) = self.rank.state_and_work().await else {
                continue;
            };
            held = state.held.is_some();
            let stands_still = self.standstill.observe(self.clock.now(), &state, working);
            self.learn_addresses(&state).await;
            if stands_still && !self.lead_answers().await {
                self.take_over(&state).await;
            }
        }
    }

    /// Learns the addresses of the processes beside the ranks whenever the group has formed.
    async fn learn_addresses(&mut self, state: &RankState) {
        let known = self.group.as_ref();
        if !state.open || known.is_some_and(|g| g.epoch == state.epoch) {
            return;
        }
        let processes = self.reader.rank_processes();
        let mut reports = self
            .calls
            .query_until_complete(processes, &StateQuery::default())
            .await;
        reports.retain(|(_, report)| report.group == *self.reader.group());
        reports.sort_by_key(|(_, report)| report.rank);
        let (addresses, reports): (Vec<SocketAddr>, Vec<RankReport>) = reports.into_iter().unzip();
        let same = reports.iter().all(|r| r.state.epoch == state.epoch);
        let whole = (reports.first()).is_some_and(|first| first.size == reports.len());
        if whole && same {
            let epoch = state.epoch;
            self.group = Some(KnownGroup { epoch, addresses });
        }
    }

    /// Whether the process beside rank 0 answers; it releases its holds itself then.
    async fn lead_answers(&self) -> bool {
        let Some(group) = &self.group else {
            return true;
        };
        let client = self.clients.get(group.addresses[LEAD_RANK]);
        let query = StateQuery::default();
        let answer = client.call::<_, RankReport>(path::STATE, &query, LEAD_TIMEOUT);
        answer.await.is_ok()
    }

    /// Returns the first rank, where it can be ordered although the process beside it is silent.
    async fn first_rank(&self, process: SocketAddr) -> Option<Rank> {
        let server = self.reader.server_at(process.ip())?;
        let engine = Engine::new(server);
        engine.report().await.ok()?;
        Some(Rank::without_process(engine, self.journal.clone()))
    }

    /// Takes over, unless the lead is about to finish its switch, and releases the group.
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
        if !self.rank.take_over(lead, own, first.is_some()) {
            return;
        }
        let pledged = first.is_some();
        self.calls.set_first_rank(first);
        let addresses = known.addresses.clone();
        let detail = format!("held at step {step}, {} is silent", addresses[LEAD_RANK]);
        self.journal.record(Event::LeadOvertaken, "group", detail);
        self.calls.set_lead(lead);
        let (mut takeover, orders) = Takeover::begin(addresses.len(), lead, own, step, pledged);
        self.calls.send_orders(orders, &addresses);
        while !takeover.is_over() {
            let Some(outcome) = self.calls.next_outcome(CHECK_INTERVAL).await else {
                continue;
            };
            let orders = takeover.handle_outcome(outcome.rank, outcome.phase, outcome.outcome);
            self.calls.send_orders(orders, &addresses);
        }
        self.standstill.back_off(self.clock.now());
        self.journal.record(
            Event::MapAborted,
            "group",
            "released in place of a silent lead",
        );
    }
}
