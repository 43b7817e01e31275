//! On rank 1: lets the group go on where it is held and the process beside rank 0 is silent.

use std::net::SocketAddr;
use std::sync::Arc;

use async_channel::{unbounded, Receiver, Sender};
use smol::Task;

use snipemast_core::prelude::*;
use snipemast_groups::map::ExpertMap;
use snipemast_groups::switch::{Outcome, RankState};
use snipemast_groups::takeover::{Takeover, TakeoverOrder, DEPUTY, LEAD, SILENT};
use snipemast_net::exec::{pause, spawn};
use snipemast_net::BootClock;

use crate::calls::{deputy_above, Calls};
use crate::engine::Engine;
use crate::group::map_in_force;
use crate::news::Reader;
use crate::peers::{path, Execute, RankReport, StateQuery};
use crate::rank::Rank;
use crate::relay::{give, Clients};

/// How often the own rank is looked at.
const WATCH: Span = Span::from_millis(100);

/// How often the own rank is looked at during a takeover, and the pause after an order that reached nobody.
const QUICK: Span = Span::from_millis(40);

/// How long the process beside rank 0 may take to answer before it is taken for silent. Measured with all of a
/// small group's looks under way: 2 to 20 ms.
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
    /// The group's incarnation, and the process beside its first rank.
    lead: Option<(GroupIncarnation, SocketAddr)>,
}

/// What one takeover needs besides its decisions.
struct Work {
    takeover: Takeover,
    lead: Ballot,
    number: u64,
    epoch: GroupIncarnation,
    addresses: Vec<SocketAddr>,
    /// Carries out orders on rank 0 from here.
    afar: Arc<Rank>,
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
            lead: None,
        }
    }

    /// Watches for as long as it is polled.
    pub(crate) async fn run(mut self) {
        loop {
            pause(WATCH).await;
            if !self.stands_still().await || self.lead_answers().await {
                continue;
            }
            if let Some(work) = self.prepare().await {
                self.take_over(work).await;
            }
        }
    }

    /// Whether the group has not begun a step for long, although the own rank has work.
    async fn stands_still(&mut self) -> bool {
        let now = self.clock.now();
        let Some((state, working)) = self.rank.at_work().await else {
            return false;
        };
        if self.lead.is_none_or(|(epoch, _)| epoch != state.epoch) {
            self.lead = self.find_lead(state.epoch).await;
        }
        if state.step != self.step.0 || !working || !state.open {
            self.step = (state.step, now);
        }
        now >= self.step.1 + SILENT
    }

    /// The process beside the group's first rank.
    async fn find_lead(
        &mut self,
        epoch: GroupIncarnation,
    ) -> Option<(GroupIncarnation, SocketAddr)> {
        let ranks = self.reader.ranks().into_iter();
        let asked = ranks.map(|address| (address, StateQuery::default()));
        let all = self.calls.look(asked.collect()).await;
        let is_lead = |seen: &RankReport| seen.rank == LEAD && seen.state.epoch == epoch;
        let lead = all.into_iter().find(|(_, seen)| is_lead(seen));
        lead.map(|(address, _)| (epoch, address))
    }

    /// Whether the process beside rank 0 answers; it settles its holds itself then.
    async fn lead_answers(&mut self) -> bool {
        let Some((_, lead)) = self.lead else {
            return true;
        };
        let client = self.clients.get(lead);
        let query = StateQuery::default();
        let asked = client.call::<_, RankReport>(path::STATE, &query, ANSWER);
        asked.await.is_ok()
    }

    /// Gathers what a takeover needs; nothing where the group is not held, or a rank does not answer.
    async fn prepare(&mut self) -> Option<Work> {
        let (_, lead) = self.lead?;
        let engine = self.reader.server_at(lead.ip())?;
        let afar = Rank::new(Engine::new(engine), self.journal.clone());
        let query = StateQuery {
            experts: true,
            counted: None,
        };
        let first = afar.state(&query).await?;
        let others = self.reader.ranks().into_iter().filter(|a| *a != lead);
        let asked = others.map(|address| (address, query.clone()));
        let mut all = self.calls.look(asked.collect()).await;
        all.push((lead, first));
        all.sort_by_key(|(_, seen)| seen.rank);
        let (addresses, seen): (Vec<SocketAddr>, Vec<RankReport>) = all.into_iter().unzip();
        let states: Vec<RankState> = seen.iter().map(|s| s.state).collect();
        let own = states.get(DEPUTY)?;
        let alike = |s: &RankReport| s.state.open && s.state.epoch == own.epoch;
        if seen.len() != seen[LEAD].size || !seen.iter().all(alike) {
            return None;
        }
        let step = own.step.next();
        let held = [LEAD, DEPUTY].map(|rank| states[rank].held);
        if !held.contains(&Some(step)) {
            return None;
        }
        let experts = self.reader.engine()?.experts?;
        let old: Arc<ExpertMap> = Arc::new(map_in_force(&experts, &seen)?);
        let (takeover, orders) = Takeover::begin(&states, step, old);
        let leads = seen.iter().map(|s| s.lead);
        let mut work = Work {
            lead: deputy_above(leads.max().unwrap_or_default()),
            number: 0,
            epoch: own.epoch,
            addresses,
            afar: Arc::new(afar.bounded(takeover.bound())),
            takeover,
            told: unbounded(),
            orders: Vec::new(),
        };
        let detail = format!("held at step {step}, {lead} is silent");
        self.journal
            .record(Event::LeadOvertaken, &seen[LEAD].group, detail);
        work.execute(orders, &self.clients);
        Some(work)
    }

    async fn take_over(&mut self, mut work: Work) {
        while !work.takeover.is_over() {
            if let Some(told) = work.next_told().await {
                let orders = work.takeover.take(told.rank, told.phase, told.outcome);
                work.execute(orders, &self.clients);
                continue;
            }
            let Some((own, _)) = self.rank.at_work().await else {
                continue;
            };
            if own.epoch != work.epoch {
                break;
            }
            let orders = work.takeover.observe(&own);
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
            let afar = Arc::clone(&self.afar);
            let client = clients.get(self.addresses[rank]);
            let sender = self.told.0.clone();
            self.orders.push(spawn(async move {
                let outcome = match rank {
                    LEAD => Some(afar.execute(order).await.outcome),
                    _ => give(&client, &order).await,
                };
                if !matches!(outcome, Some(Outcome::Done)) {
                    pause(QUICK).await;
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

    /// What became of the next order that is settled soon.
    async fn next_told(&self) -> Option<Told> {
        let receiver = self.told.1.clone();
        let told = async { receiver.recv().await.ok() };
        let late = async {
            pause(QUICK).await;
            None
        };
        futures_lite::future::or(told, late).await
    }
}
