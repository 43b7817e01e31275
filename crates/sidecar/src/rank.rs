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

/// How many reports are requested before an order's outcome counts as unsure: one before each attempt, and two
/// more.
const MAX_REPORTS: u32 = 10;

/// The pause before an order is sent again.
const RETRY_PAUSE: Span = Span::from_millis(10);

/// How often the rank is asked whether a copy is complete: a fifth of the time that one expert takes.
const COPY_CHECK_INTERVAL: Span = Span::from_millis(20);

/// How long the process beside another rank may take to report that rank's state.
const STATE_TIMEOUT: Span = Span::from_millis(150);

/// The rank beside this process, or another one that this process orders over the network.
#[derive(Debug)]
pub(crate) struct Rank {
    engine: Engine,
    /// The process beside another rank, which reports its state: the rank's own reports to other hosts are some
    /// steps old.
    process_client: Option<Arc<RpcClient>>,
    journal: Journal,
    /// Held while an order is carried out, so that they run one at a time.
    turn: Mutex<()>,
    executor: StateLock<Executor>,
    tally: StateLock<Tally>,
    /// The start of the rank that was seen last.
    start: StateLock<Incarnation>,
}

impl Rank {
    /// Creates the rank beside this process.
    pub(crate) fn new(engine: Engine, journal: Journal) -> Self {
        Self {
            engine,
            process_client: None,
            journal,
            turn: Mutex::new(()),
            executor: StateLock::new(Executor::new()),
            tally: StateLock::new(Tally::new(rand::random())),
            start: StateLock::default(),
        }
    }

    /// Creates another rank, whose state the process beside it reports.
    pub(crate) fn with_peer(
        engine: Engine,
        process_client: Arc<RpcClient>,
        journal: Journal,
    ) -> Self {
        Self {
            process_client: Some(process_client),
            ..Self::new(engine, journal)
        }
    }

    /// Creates another rank, whose process is gone.
    pub(crate) fn without_process(engine: Engine, journal: Journal) -> Self {
        Self {
            executor: StateLock::new(Executor::remote()),
            ..Self::new(engine, journal)
        }
    }

    /// Returns the address at which the rank takes requests.
    pub(crate) fn address(&self) -> SocketAddr {
        self.engine.address()
    }

    /// Takes over from the group's lead, unless the lead is about to finish its switch and its rank can't be
    /// ordered without it (`reaches`). Returns whether it did; no order of that lead is accepted after that.
    pub(crate) fn take_over(&self, ballot: Ballot, state: &RankState, reaches: bool) -> bool {
        self.executor.lock().take_over(ballot, state, reaches)
    }

    /// Whether this process has pledged to leave the step that the rank is held at to the lead.
    pub(crate) fn is_pledged(&self, state: &RankState) -> bool {
        self.executor.lock().is_pledged(state)
    }

    /// Returns the ballot of the highest lead that gave orders.
    pub(crate) fn lead(&self) -> Ballot {
        self.executor.lock().lead()
    }

    /// Returns the rank's state, and whether it has requests.
    pub(crate) async fn state_and_work(&self) -> Option<(RankState, bool)> {
        let report = self.report().await?;
        Some((report.rank?.state, report.requests > 0))
    }

    /// Returns the rank's state; nothing where it doesn't answer or belongs to no group.
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

    /// Asks for the rank's report, and forgets what was known of an earlier start of the rank.
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

    /// Returns the rank's group and its place there.
    pub(crate) async fn place(&self) -> Option<(GroupId, usize)> {
        let rank = self.report().await?.rank?;
        Some((rank.group, rank.rank))
    }

    /// Carries out a lead's order; an order to prepare a map also waits for its copies.
    pub(crate) async fn execute(&self, request: Execute) -> Executed {
        let prepared = match &request.order {
            Order::Prepare { version, .. } => Some(*version),
            _ => None,
        };
        let executed = self.carry_out(request).await;
        match prepared {
            Some(version) if executed.outcome == Outcome::Done => self.await_copy(version).await,
            _ => executed,
        }
    }

    /// Waits until a map is copied completely or a newer one is being prepared, at most [`COPY_TIMEOUT`].
    async fn await_copy(&self, version: MapVersion) -> Executed {
        let outcome = within(COPY_TIMEOUT, async {
            loop {
                let state = self.report().await.and_then(|r| r.rank).map(|r| r.state);
                match state.and_then(|s| s.prepared) {
                    Some(prepared) if prepared == version => return Outcome::Prepared,
                    Some(prepared) if prepared > version => return Outcome::Done,
                    _ => pause(COPY_CHECK_INTERVAL).await,
                }
            }
        });
        Executed {
            outcome: outcome.await.unwrap_or(Outcome::Done),
        }
    }

    /// Carries out an order once the earlier ones have ended, and logs its outcome.
    async fn carry_out(&self, request: Execute) -> Executed {
        let _turn = self.turn.lock().await;
        let seq = OrderSeq {
            lead: request.lead,
            number: request.number,
        };
        let description = describe_order(&request.order);
        let (task, refusal) = {
            let mut executor = self.executor.lock();
            let refusal = executor.refusal(seq);
            (executor.accept(seq, request.order, request.epoch), refusal)
        };
        let outcome = match task {
            Some(task) => self.run_task(task, request.epoch, request.lead).await,
            None => refusal,
        };
        let subject = format_args!("epoch {}", request.epoch);
        let detail = format_args!("{description}: {outcome:?}");
        self.journal.record(Event::OrderPassed, subject, detail);
        Executed { outcome }
    }

    /// Sends the rank what an order needs until the outcome is settled or too many reports were requested.
    async fn run_task(
        &self,
        mut task: Task,
        epoch: GroupIncarnation,
        request_lead: Ballot,
    ) -> Outcome {
        let mut reports = 0;
        while reports < MAX_REPORTS {
            reports += 1;
            let Some((accepted, state, lead)) = self.observe_state().await else {
                pause(RETRY_PAUSE).await;
                continue;
            };
            if lead > request_lead {
                return Outcome::Overtaken;
            }
            let next = self.executor.lock().next_action(&mut task, &state);
            let command = match next {
                Action::Settled(outcome) => return outcome,
                Action::Give(command) => command,
                Action::PrepareHeld(version) => match self.map_as_held().await {
                    Some(map) => EngineOrder::Prepare(version, Arc::new(map)),
                    None => {
                        pause(RETRY_PAUSE).await;
                        continue;
                    }
                },
            };
            let before = self.executor.lock().before_send(&command);
            let answer = self.send(&command, accepted, epoch).await;
            self.record_answer(&mut task, &command, before, answer);
            if answer != Answer::Accepted {
                pause(RETRY_PAUSE).await;
            }
        }
        Outcome::Unsure
    }

    /// Records the answer to an order.
    fn record_answer(&self, task: &mut Task, command: &EngineOrder, before: bool, answer: Answer) {
        let mut executor = self.executor.lock();
        executor.after_send(task, command, before, answer);
    }

    /// Sends the rank an order.
    async fn send(&self, command: &EngineOrder, accepted: u64, epoch: GroupIncarnation) -> Answer {
        match self
            .engine
            .order(encode_order(command, accepted, epoch))
            .await
        {
            Ok(status) if is_accepted(status) => Answer::Accepted,
            Ok(_) => Answer::Refused,
            Err(_) => Answer::None,
        }
    }

    /// Returns a map in which the rank keeps the experts that it holds, and the other ranks' experts are
    /// arbitrary; nothing where the rank doesn't answer, or names numbers that don't fit together.
    async fn map_as_held(&self) -> Option<ExpertMap> {
        let rank = self.report().await?.rank?;
        let held = self.engine.experts().await.ok()?;
        let counted = self.engine.counts().await.ok()?;
        let experts = u16::try_from(counted.len() / held.len().max(1)).ok()?;
        let own = u16::try_from(rank.rank).ok()?;
        ExpertMap::from_rank(own, &held, u16::try_from(rank.size).ok()?, experts)
    }

    /// Returns how many orders the rank has accepted, its state, and the highest lead that gave it orders.
    async fn observe_state(&self) -> Option<(u64, RankState, Ballot)> {
        let Some(process_client) = &self.process_client else {
            let report = self.report().await?;
            return Some((report.accepted, report.rank?.state, self.lead()));
        };
        let query = StateQuery::default();
        let report = process_client.call::<_, RankReport>(path::STATE, &query, STATE_TIMEOUT);
        let report = report.await.ok()?;
        let mut executor = self.executor.lock();
        executor.observe_remote(report.start, &report.state, report.floor);
        Some((report.accepted, report.state, report.lead))
    }
}

/// Describes an order in a few words for the log.
fn describe_order(order: &Order) -> String {
    match order {
        Order::Prepare { version, .. } => format!("prepare map {version}"),
        Order::Hold { ahead } => format!("hold {ahead} steps ahead"),
        Order::Pledge { step } => format!("pledge to leave step {step} to the lead"),
        Order::Settle { step } => format!("settle whether step {step} was released"),
        Order::Arm { version, step } => format!("arm map {version} for step {step}"),
        Order::Disarm { .. } => "disarm".into(),
        Order::Go { step } => format!("go on with step {step}"),
    }
}
