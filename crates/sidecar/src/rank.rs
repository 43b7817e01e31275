//! Carries out orders on the rank beside this process, one after another.

use std::net::SocketAddr;
use std::sync::Arc;

use parking_lot::Mutex as StateLock;
use smol::lock::Mutex;

use snipemast_core::prelude::*;
use snipemast_groups::demand::Tally;
use snipemast_groups::executor::{Action, Answer, EngineOrder, Executor, OrderSeq, Task};
use snipemast_groups::map::ExpertMap;
use snipemast_groups::switch::{Order, Outcome, RankState, COPY_TIMEOUT};
use snipemast_net::exec::{pause, within};
use snipemast_net::RpcClient;
use snipemast_platform::server::{encode_order, is_accepted, ServerReport};

use crate::engine::Engine;
use crate::peers::{path, Execute, Executed, RankReport, StateQuery};

/// How often a report is asked for before an order's outcome is called unsure: before each of its tries, and
/// twice besides.
const REPORTS: u32 = 10;

/// The pause before an order is given again.
const PAUSE: Span = Span::from_millis(10);

/// How often it is looked whether a copy is complete: a fifth of the time that one expert takes.
const COPYING: Span = Span::from_millis(20);

/// How long the process beside another rank may take to say how that is.
const TOLD: Span = Span::from_millis(150);

/// The rank beside this process, or another one that it holds from afar.
#[derive(Debug)]
pub(crate) struct Rank {
    engine: Engine,
    /// Who tells how another rank is: its own reports to other hosts are some steps old.
    teller: Option<Arc<RpcClient>>,
    journal: Journal,
    /// One order at a time.
    turn: Mutex<()>,
    executor: StateLock<Executor>,
    tally: StateLock<Tally>,
    /// Which start of the rank was seen last.
    start: StateLock<Incarnation>,
}

impl Rank {
    pub(crate) fn new(engine: Engine, journal: Journal) -> Self {
        Self {
            engine,
            teller: None,
            journal,
            turn: Mutex::new(()),
            executor: StateLock::new(Executor::new()),
            tally: StateLock::new(Tally::new(rand::random())),
            start: StateLock::default(),
        }
    }

    /// Another rank, of which the process beside it tells.
    pub(crate) fn told_by(engine: Engine, teller: Arc<RpcClient>, journal: Journal) -> Self {
        Self {
            teller: Some(teller),
            ..Self::new(engine, journal)
        }
    }

    /// Another rank, whose process is gone.
    pub(crate) fn from_afar(engine: Engine, journal: Journal) -> Self {
        Self {
            executor: StateLock::new(Executor::remote()),
            ..Self::new(engine, journal)
        }
    }

    /// Where the rank takes requests.
    pub(crate) fn address(&self) -> SocketAddr {
        self.engine.address()
    }

    /// Takes over from the group's lead, if that is not about to end what it is doing or its rank can be ordered
    /// without it; no order of it is taken after that.
    pub(crate) fn overtake(&self, ballot: Ballot, state: &RankState, reaches: bool) -> bool {
        self.executor.lock().overtake(ballot, state, reaches)
    }

    /// Whether it has promised to leave the step that it is held at to the lead.
    pub(crate) fn is_pledged(&self, state: &RankState) -> bool {
        self.executor.lock().is_pledged(state)
    }

    /// The highest lead that gave orders.
    pub(crate) fn lead(&self) -> Ballot {
        self.executor.lock().lead()
    }

    /// The rank's state, and whether it has requests.
    pub(crate) async fn at_work(&self) -> Option<(RankState, bool)> {
        let report = self.report().await?;
        Some((report.rank?.state, report.requests > 0))
    }

    /// How the rank is; nothing where it does not answer or belongs to no group.
    pub(crate) async fn state(&self, query: &StateQuery) -> Option<RankReport> {
        let report = self.report().await?;
        let start = report.start;
        let rank = report.rank?;
        let counted = match query.counted {
            Some(since) => {
                let counts = self.engine.counts().await.ok()?;
                Some(self.tally.lock().report(since, counts))
            }
            None => None,
        };
        let experts = if query.experts {
            self.engine.experts().await.ok()?
        } else {
            Vec::new()
        };
        Some(RankReport {
            group: rank.group,
            rank: rank.rank,
            size: rank.size,
            start,
            accepted: report.accepted,
            state: rank.state,
            pace: rank.pace,
            counted,
            experts,
            lead: self.lead(),
            floor: self.executor.lock().floor(),
        })
    }

    /// The rank's report; what was believed of an earlier start of it is forgotten.
    pub(crate) async fn report(&self) -> Option<ServerReport> {
        let report = self.engine.report().await.ok()?;
        if let Some(rank) = &report.rank {
            let mut executor = self.executor.lock();
            executor.observe(report.start, &rank.state);
        }
        let before = std::mem::replace(&mut *self.start.lock(), report.start);
        if before != report.start {
            self.tally.lock().reset();
        }
        Some(report)
    }

    /// Its group, and its place there.
    pub(crate) async fn place(&self) -> Option<(GroupId, usize)> {
        let rank = self.report().await?.rank?;
        Some((rank.group, rank.rank))
    }

    /// Carries out a lead's order.
    pub(crate) async fn execute(&self, request: Execute) -> Executed {
        let copied = match &request.order {
            Order::Prepare { version, .. } => Some(*version),
            _ => None,
        };
        let executed = self.carry_out(request).await;
        match copied {
            Some(version) if executed.outcome == Outcome::Done => self.await_copy(version).await,
            _ => executed,
        }
    }

    /// Waits until a map is copied in whole, or another one is wanted, for a bounded time.
    async fn await_copy(&self, version: MapVersion) -> Executed {
        let outcome = within(COPY_TIMEOUT, async {
            loop {
                let state = self.report().await.and_then(|r| r.rank).map(|r| r.state);
                match state.and_then(|s| s.prepared) {
                    Some(prepared) if prepared == version => return Outcome::Prepared,
                    Some(prepared) if prepared > version => return Outcome::Done,
                    _ => pause(COPYING).await,
                }
            }
        });
        Executed {
            outcome: outcome.await.unwrap_or(Outcome::Done),
        }
    }

    async fn carry_out(&self, request: Execute) -> Executed {
        let _turn = self.turn.lock().await;
        let seq = OrderSeq {
            lead: request.lead,
            number: request.number,
        };
        let name = name(&request.order);
        let (task, refusal) = {
            let mut executor = self.executor.lock();
            let refusal = executor.refusal(seq);
            (executor.accept(seq, request.order, request.epoch), refusal)
        };
        let outcome = match task {
            Some(task) => self.run(task, request.epoch, request.lead).await,
            None => refusal,
        };
        let subject = format_args!("epoch {}", request.epoch);
        let detail = format_args!("{name}: {outcome:?}");
        self.journal.record(Event::OrderPassed, subject, detail);
        Executed { outcome }
    }

    async fn run(&self, mut task: Task, epoch: GroupIncarnation, request_lead: Ballot) -> Outcome {
        let mut reports = 0;
        while reports < REPORTS {
            reports += 1;
            let Some((accepted, state, lead)) = self.told().await else {
                pause(PAUSE).await;
                continue;
            };
            if lead > request_lead {
                return Outcome::Overtaken;
            }
            let next = self.executor.lock().next_action(&mut task, &state);
            let given = match next {
                Action::Settled(outcome) => return outcome,
                Action::Give(given) => given,
                Action::PrepareHeld(version) => match self.kept().await {
                    Some(map) => EngineOrder::Prepare(version, Arc::new(map)),
                    None => {
                        pause(PAUSE).await;
                        continue;
                    }
                },
            };
            let before = self.executor.lock().before_send(&given);
            let answer = self.give(&given, accepted, epoch).await;
            self.note(&mut task, &given, before, answer);
            if answer != Answer::Accepted {
                pause(PAUSE).await;
            }
        }
        Outcome::Unsure
    }

    fn note(&self, task: &mut Task, given: &EngineOrder, before: bool, answer: Answer) {
        let mut executor = self.executor.lock();
        executor.after_send(task, given, before, answer);
    }

    async fn give(&self, given: &EngineOrder, accepted: u64, epoch: GroupIncarnation) -> Answer {
        match self
            .engine
            .order(encode_order(given, accepted, epoch))
            .await
        {
            Ok(status) if is_accepted(status) => Answer::Accepted,
            Ok(_) => Answer::Refused,
            Err(_) => Answer::None,
        }
    }

    /// A map in which the rank holds what it holds already, and the others hold anything; nothing where it does
    /// not answer.
    async fn kept(&self) -> Option<ExpertMap> {
        let rank = self.report().await?.rank?;
        let held = self.engine.experts().await.ok()?;
        let counted = self.engine.counts().await.ok()?;
        let experts = counted.len() / held.len().max(1);
        let (own, ranks) = (rank.rank as u16, rank.size as u16);
        Some(ExpertMap::from_rank(own, &held, ranks, experts as u16))
    }

    /// How many orders the rank has accepted, its state, and the highest lead that gave it orders.
    async fn told(&self) -> Option<(u64, RankState, Ballot)> {
        let Some(teller) = &self.teller else {
            let report = self.report().await?;
            return Some((report.accepted, report.rank?.state, self.lead()));
        };
        let query = StateQuery::default();
        let told = teller.call::<_, RankReport>(path::STATE, &query, TOLD);
        let told = told.await.ok()?;
        let mut executor = self.executor.lock();
        executor.observe_remote(told.start, &told.state, told.floor);
        Some((told.accepted, told.state, told.lead))
    }
}

/// An order, short, for the log.
fn name(order: &Order) -> String {
    match order {
        Order::Prepare { version, .. } => format!("prepare map {version}"),
        Order::Hold { ahead } => format!("hold {ahead} steps ahead"),
        Order::Pledge { step } => format!("leave step {step} to the lead"),
        Order::Settle { step } => format!("was step {step} let go"),
        Order::Arm { version, step } => format!("arm map {version} for step {step}"),
        Order::Disarm { .. } => "disarm".into(),
        Order::Go { step } => format!("go on with step {step}"),
    }
}
