//! On rank 1: lets the group go on that this rank holds for a lead that has fallen silent.

use std::net::SocketAddr;
use std::sync::Arc;

use async_channel::{unbounded, Receiver, Sender};
use smol::Task;

use snipemast_core::prelude::*;
use snipemast_groups::map::ExpertMap;
use snipemast_groups::switch::{Outcome, RankState};
use snipemast_groups::takeover::{Takeover, TakeoverOrder, LEAD, SILENT};
use snipemast_net::exec::{pause, spawn};
use snipemast_net::BootClock;

use crate::calls::{deputy_above, Calls};
use crate::group::map_in_force;
use crate::news::Reader;
use crate::peers::{path, Execute, RankReport, StateQuery};
use crate::rank::Rank;
use crate::relay::{give, Clients};

/// How often the own rank is looked at.
const WATCH: Span = Span::from_millis(100);

/// The pause after an order that was not carried out.
const AGAIN: Span = Span::from_millis(40);

/// How long the process beside rank 0 may take to answer before it is taken for silent: some times what answers to
/// orders of a switch took in a trace of a heavy day, 5 to 60 ms.
const ANSWER: Span = Span::from_millis(150);

/// Watches over a group beside its second rank.
pub(crate) struct Deputy {
    reader: Arc<Reader>,
    journal: Journal,
    clock: BootClock,
    rank: Arc<Rank>,
    clients: Arc<Clients>,
    calls: Calls,
    /// The step that the group is in, and since when.
    step: (Step, Moment),
    /// The group as it was when its map last changed.
    group: Option<Known>,
}

/// What is known of a group between two changes of its map.
struct Known {
    epoch: GroupIncarnation,
    version: MapVersion,
    map: Arc<ExpertMap>,
    /// The processes beside the ranks.
    addresses: Vec<SocketAddr>,
}

/// What one takeover needs besides its decisions.
struct Work {
    takeover: Takeover,
    lead: Ballot,
    number: u64,
    epoch: GroupIncarnation,
    addresses: Vec<SocketAddr>,
    told: (Sender<Told>, Receiver<Told>),
    orders: Vec<Task<()>>,
}

/// What became of an order.
struct Told {
    rank: usize,
    phase: u32,
    outcome: Outcome,
}

impl Deputy {
    pub(crate) fn new(reader: Arc<Reader>, rank: Arc<Rank>, journal: Journal) -> Self {
        let clock = BootClock::new();
        let step = (Step(0), clock.now());
        Self {
            reader,
            journal,
            clock,
            rank,
            clients: Arc::default(),
            calls: Calls::new(),
            step,
            group: None,
        }
    }

    /// Watches for as long as it is polled.
    pub(crate) async fn run(mut self) {
        loop {
            pause(WATCH).await;
            let Some((state, working)) = self.rank.at_work().await else {
                continue;
            };
            let still = self.stands_still(&state, working);
            self.learn(&state).await;
            if !still || self.lead_answers().await {
                continue;
            }
            if let Some(work) = self.prepare(&state) {
                self.take_over(work).await;
            }
        }
    }

    /// Whether the group has been held by the own rank for long, although that has work.
    fn stands_still(&mut self, state: &RankState, working: bool) -> bool {
        let now = self.clock.now();
        let held = state.held == Some(state.step.next());
        if state.step != self.step.0 || !working || !held || !state.open {
            self.step = (state.step, now);
        }
        now >= self.step.1 + SILENT
    }

    /// Learns where the ranks are and what they hold, whenever the group has another map in force.
    async fn learn(&mut self, state: &RankState) {
        let group = self.group.as_ref();
        let same = |g: &Known| (g.epoch, g.version) == (state.epoch, state.map);
        if !state.open || state.held.is_some() || group.is_some_and(same) {
            return;
        }
        let Some(experts) = self.reader.engine().and_then(|e| e.experts) else {
            return;
        };
        let query = StateQuery {
            experts: true,
            counted: None,
        };
        let asked = self.reader.ranks().into_iter();
        let asked = asked.map(|address| (address, query.clone()));
        let mut all = self.calls.look(asked.collect()).await;
        all.sort_by_key(|(_, seen)| seen.rank);
        let (addresses, seen): (Vec<SocketAddr>, Vec<RankReport>) = all.into_iter().unzip();
        let alike = |s: &RankReport| (s.state.epoch, s.state.map) == (state.epoch, state.map);
        let whole = seen.first().is_some_and(|first| first.size == seen.len());
        if !whole || !seen.iter().all(alike) {
            return;
        }
        self.group = map_in_force(&experts, &seen).map(|map| Known {
            epoch: state.epoch,
            version: state.map,
            map: Arc::new(map),
            addresses,
        });
    }

    /// Whether the process beside rank 0 answers; it settles its holds itself then.
    async fn lead_answers(&self) -> bool {
        let Some(group) = &self.group else {
            return true;
        };
        let client = self.clients.get(group.addresses[LEAD]);
        let query = StateQuery::default();
        let asked = client.call::<_, RankReport>(path::STATE, &query, ANSWER);
        asked.await.is_ok()
    }

    /// Takes over, unless the lead is about to end what it is doing.
    fn prepare(&self, own: &RankState) -> Option<Work> {
        let known = self.group.as_ref()?;
        let same = (known.epoch, known.version) == (own.epoch, own.map);
        let step = own.held.filter(|_| same)?;
        let lead = deputy_above(self.rank.lead());
        if !self.rank.overtake(lead, own) {
            return None;
        }
        let ranks = known.addresses.len();
        let (takeover, orders) = Takeover::begin(ranks, &[*own], step, Arc::clone(&known.map));
        let mut work = Work {
            takeover,
            lead,
            number: 0,
            epoch: own.epoch,
            addresses: known.addresses.clone(),
            told: unbounded(),
            orders: Vec::new(),
        };
        let silent = known.addresses[LEAD];
        let detail = format!("held at step {step}, {silent} is silent");
        self.journal.record(Event::LeadOvertaken, "group", detail);
        work.execute(orders, &self.clients);
        Some(work)
    }

    async fn take_over(&mut self, mut work: Work) {
        while !work.takeover.is_over() {
            // The sender is kept here.
            let Ok(told) = work.told.1.recv().await else {
                break;
            };
            let orders = work.takeover.take(told.rank, told.phase, told.outcome);
            work.execute(orders, &self.clients);
        }
        self.step.1 = self.clock.now();
        self.journal
            .record(Event::MapAborted, "group", "let go for a silent lead");
    }
}

impl Work {
    fn execute(&mut self, orders: Vec<TakeoverOrder>, clients: &Clients) {
        self.orders.retain(|t| !t.is_finished());
        for TakeoverOrder { rank, phase, order } in orders {
            self.number += 1;
            let order = Execute {
                lead: self.lead,
                number: self.number,
                epoch: self.epoch,
                order,
            };
            let client = clients.get(self.addresses[rank]);
            let sender = self.told.0.clone();
            self.orders.push(spawn(async move {
                let outcome = give(&client, &order).await;
                if !matches!(outcome, Some(Outcome::Done)) {
                    pause(AGAIN).await;
                }
                let outcome = outcome.unwrap_or(Outcome::Unsure);
                // The takeover is over where nobody receives.
                let _ = sender
                    .send(Told {
                        rank,
                        phase,
                        outcome,
                    })
                    .await;
            }));
        }
    }
}
