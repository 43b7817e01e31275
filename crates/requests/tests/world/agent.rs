//! Agents with their ledgers, and engines that answer the same bytes on every server.

use std::collections::BTreeMap;

use snipemast_core::prelude::*;
use snipemast_requests::ledger::ReadPosition;
use snipemast_requests::{
    Arrival, ArrivalOutcome, Failure, Frame, Input, Ledger, LedgerLimits, Link, Part,
    RefusalReason, Tag, Target,
};

use super::{Conn, Event, Step, ToAgent, World, BEAT, DEADLINE, HOP, SILENCE};

/// The pieces of each answer.
const PIECES: u32 = 6;
/// How long an engine works before the first piece: longer than the silence that kills.
const THINK: Span = Span::from_millis(2_600);
/// How long between pieces.
const PACE: Span = Span::from_millis(20);

/// The entries of a ledger before its bound is brought about.
const ENTRIES: usize = 64;

/// The body of every right answer.
pub(crate) fn body() -> Vec<u8> {
    (0..PIECES).flat_map(piece).collect()
}

fn piece(number: u32) -> Vec<u8> {
    format!("piece {number};").into_bytes()
}

/// An agent, its ledger and the readers of its answers.
pub(crate) struct Agent {
    pub(crate) process: ProcessId,
    pub(crate) ledger: Ledger,
    readers: BTreeMap<usize, (DispatchId, ReadPosition)>,
    dispatches: BTreeMap<DispatchId, usize>,
    server_dead: bool,
    crashes: u64,
    drained: bool,
    pub(crate) stalled: bool,
    bound: usize,
}

fn ledger(process: &ProcessId) -> Ledger {
    Ledger::new(process.clone(), limits())
}

fn limits() -> LedgerLimits {
    LedgerLimits {
        entries: ENTRIES,
        bytes: 1 << 20,
        answer_bytes: 1 << 20,
    }
}

impl Agent {
    pub(crate) fn new(number: usize) -> Self {
        let host = format!("agent-{number}").parse().expect("a name");
        let process = ProcessId::new(host, Incarnation::new(1));
        Self {
            ledger: ledger(&process),
            process,
            readers: BTreeMap::new(),
            dispatches: BTreeMap::new(),
            server_dead: false,
            crashes: 0,
            drained: false,
            stalled: false,
            bound: ENTRIES,
        }
    }

    /// Refuses new work from now on.
    pub(crate) fn drain(&mut self) {
        self.drained = true;
        self.ledger.drain();
    }

    /// Brings the memory bound about: no room for another entry or another byte.
    pub(crate) fn fill(&mut self) {
        self.bound = self.ledger.len();
        self.ledger.set_limits(LedgerLimits {
            entries: self.ledger.len(),
            bytes: 0,
            answer_bytes: 1 << 20,
        });
    }

    /// There is room again.
    pub(crate) fn relieve(&mut self) {
        self.bound = ENTRIES;
        self.ledger.set_limits(limits());
    }
}

impl World {
    /// Opens a connection; every message to an agent goes over one.
    pub(crate) fn connect(&mut self, send: usize, link: Link, agent: usize) -> usize {
        let incarnation = self.agents[agent].process.incarnation;
        self.conns.push(Conn {
            send,
            link,
            agent,
            incarnation,
            open: true,
            silent: false,
            delayed: false,
            doubled: false,
        });
        self.conns.len() - 1
    }

    /// Sends a message on a connection, as the faults on it allow.
    pub(crate) fn post(&mut self, number: usize, message: ToAgent, written: bool) {
        let Conn {
            send,
            agent,
            open,
            silent,
            delayed,
            doubled,
            ..
        } = self.conns[number].clone();
        if self.is_cut(self.sends[send].entry) {
            return;
        }
        // A message that was written before its connection broke may still arrive, late.
        let lost = !written && (silent || !open);
        let late = delayed || (written && (silent || !open));
        let slow = if delayed {
            DEADLINE.times(2)
        } else {
            SILENCE.times(3)
        };
        self.conns[number].delayed = false;
        if !lost {
            let after = if late { slow } else { HOP };
            self.at(after, Event::ToAgent(agent, message.clone(), Some(number)));
        }
        if doubled {
            self.conns[number].doubled = false;
            for after in [HOP.times(40), DEADLINE.times(12)] {
                self.at(after, Event::ToAgent(agent, message.clone(), None));
            }
        }
    }

    pub(crate) fn agent_gets(&mut self, number: usize, message: ToAgent, conn: Option<usize>) {
        // A connection ends with the process that accepted it.
        let conn =
            conn.filter(|c| self.conns[*c].incarnation == self.agents[number].process.incarnation);
        self.agents[number].ledger.expire(self.now);
        if self.agents[number].ledger.len() > self.agents[number].bound {
            self.broken = Some("a ledger went over its bound");
        }
        match message {
            ToAgent::Dispatch { target, keep, left } => {
                self.take(number, target, keep, left, conn);
            }
            ToAgent::Settle(target, keep) => {
                let Target { id, agent } = target;
                let ledger = &mut self.agents[number].ledger;
                let settled = ledger.settle(self.now, &id, &agent, keep);
                self.answer(conn, |link| Input::Settled(link, id, settled));
            }
            ToAgent::Resume(target, offset) => self.resume(number, target, offset, conn),
            ToAgent::Cancel(Target { id, agent }) => {
                let ledger = &mut self.agents[number].ledger;
                ledger.cancel(self.now, &id, &agent, DEADLINE);
                self.pump(number);
            }
        }
    }

    fn take(&mut self, number: usize, target: Target, keep: Span, left: Span, conn: Option<usize>) {
        let arrival = Arrival {
            id: target.id.clone(),
            agent: target.agent,
            left,
            keep,
            suspect: false,
        };
        match self.agents[number].ledger.arrive(self.now, &arrival) {
            ArrivalOutcome::Run => {
                if self.agents[number].drained {
                    self.broken = Some("a draining agent took new work");
                }
                let incarnation = self.agents[number].process.incarnation;
                let id = target.id.clone();
                let send = self.send_of(&id);
                self.agents[number].dispatches.insert(id.clone(), send);
                self.at(HOP, Event::Engine(number, incarnation, id, 0));
                self.at(left, Event::Overdue(number, incarnation, target.id.clone()));
                self.reach(Step::Recorded, send);
                let restarted = self.agents[number].process.incarnation != incarnation;
                self.relay(number, &target.id, 0, conn.filter(|_| !restarted));
            }
            ArrivalOutcome::Attach => self.relay(number, &target.id, 0, conn),
            ArrivalOutcome::Refused(reason) => self.refuse(&target.id, reason, conn),
        }
    }

    fn resume(&mut self, number: usize, target: Target, offset: u64, conn: Option<usize>) {
        if target.agent != self.agents[number].process {
            self.refuse(&target.id, RefusalReason::Incarnation, conn);
        } else if !self.agents[number].ledger.is_known(&target.id) {
            self.refuse(&target.id, RefusalReason::Unknown, conn);
        } else {
            self.relay(number, &target.id, offset, conn);
        }
    }

    fn refuse(&mut self, id: &DispatchId, reason: RefusalReason, conn: Option<usize>) {
        let frame = Frame::new(Tag::for_dispatch(id), Part::Refused { reason });
        self.answer(conn, |link| Input::Frame(link, frame));
    }

    fn relay(&mut self, number: usize, id: &DispatchId, offset: u64, conn: Option<usize>) {
        let Some(conn) = conn else {
            return;
        };
        let padding = Vec::new();
        let accepted = Frame::new(Tag::for_dispatch(id), Part::Accepted { padding });
        self.answer(Some(conn), |link| Input::Frame(link, accepted));
        let place = ReadPosition {
            head: false,
            offset,
        };
        self.agents[number]
            .readers
            .insert(conn, (id.clone(), place));
        self.at(BEAT, Event::Beat(conn));
        self.pump(number);
    }

    /// Sends a word back to the entry over a connection, as the faults on it allow.
    fn answer(&mut self, conn: Option<usize>, input: impl FnOnce(Link) -> Input) {
        let Some(number) = conn else {
            return;
        };
        let conn = self.conns[number].clone();
        let entry = self.sends[conn.send].entry;
        if !conn.open || conn.silent || self.is_cut(entry) {
            return;
        }
        let input = input(conn.link);
        let after = if conn.delayed { DEADLINE.times(2) } else { HOP };
        self.conns[number].delayed = false;
        if conn.doubled {
            self.conns[number].doubled = false;
            self.at(HOP.times(30), Event::ToEntry(conn.send, input.clone()));
        }
        self.at(after, Event::ToEntry(conn.send, input));
    }

    /// Sends every reader what is there for it.
    fn pump(&mut self, number: usize) {
        let conns: Vec<usize> = self.agents[number].readers.keys().copied().collect();
        for conn in conns {
            self.pump_one(number, conn);
        }
    }

    fn pump_one(&mut self, number: usize, conn: usize) {
        loop {
            let agent = &mut self.agents[number];
            let Some((id, place)) = agent.readers.get_mut(&conn) else {
                return;
            };
            let Some(frame) = agent.ledger.next_frame(id, *place, 16) else {
                return;
            };
            let mut ended = false;
            match &frame.part {
                Part::Head { .. } => place.head = true,
                Part::Data { bytes, .. } => place.offset += bytes.len() as u64,
                _ => ended = true,
            }
            if ended {
                agent.readers.remove(&conn);
            }
            self.answer(Some(conn), |link| Input::Frame(link, frame));
        }
    }

    pub(crate) fn beat(&mut self, conn: usize) {
        let Conn {
            agent,
            open,
            incarnation,
            ..
        } = self.conns[conn].clone();
        let current = self.agents[agent].process.incarnation == incarnation;
        let Some((id, _)) = self.agents[agent].readers.get(&conn).cloned() else {
            return;
        };
        if !open || !current {
            self.agents[agent].readers.remove(&conn);
            return;
        }
        let beat = Frame::new(Tag::for_dispatch(&id), Part::Beat);
        self.answer(Some(conn), |link| Input::Frame(link, beat));
        self.at(BEAT, Event::Beat(conn));
    }

    /// The engine's work at a dispatch: stage 0 is its start, the others are its pieces.
    pub(crate) fn engine(
        &mut self,
        number: usize,
        incarnation: Incarnation,
        id: DispatchId,
        stage: u32,
    ) {
        let current = self.agents[number].process.incarnation == incarnation;
        if !current {
            return;
        }
        if !self.agents[number].ledger.is_running(&id) {
            return;
        }
        if self.agents[number].server_dead {
            self.agents[number]
                .ledger
                .refuse(&id, RefusalReason::Unreachable);
            return self.pump(number);
        }
        if self.agents[number].stalled && stage > 0 {
            return;
        }
        let send = self.agents[number]
            .dispatches
            .get(&id)
            .copied()
            .unwrap_or(0);
        let ledger = &mut self.agents[number].ledger;
        let mut after = PACE;
        match stage {
            0 => {
                *self.runs.entry(id.clone()).or_default() += 1;
                after = THINK;
                self.reach(Step::AtWork, send);
            }
            1 => ledger.set_head(&id, 200, Vec::new()),
            _ if stage <= PIECES + 1 => {
                ledger.append(&id, &piece(stage - 2));
            }
            _ => ledger.finish(&id, LoadReport::default()),
        }
        if stage == 4 {
            self.reach(Step::MidStream, send);
        }
        if stage == PIECES + 2 {
            self.reach(Step::Finished, send);
        } else {
            self.at(after, Event::Engine(number, incarnation, id, stage + 1));
        }
        self.pump(number);
    }

    /// A dispatch that outlives its deadline is stopped.
    pub(crate) fn overdue(&mut self, number: usize, incarnation: Incarnation, id: &DispatchId) {
        if self.agents[number].process.incarnation == incarnation {
            self.agents[number].ledger.fail(id, Failure::Late);
            self.pump(number);
        }
    }

    /// The agent process restarts; its engine goes on with what it has, and answers nobody.
    pub(crate) fn restart_agent(&mut self, number: usize) {
        let agent = &mut self.agents[number];
        agent.process.incarnation = agent.process.incarnation.next();
        agent.ledger = ledger(&agent.process);
        agent.readers.clear();
        (agent.drained, agent.bound) = (false, ENTRIES);
        let incarnation = agent.process.incarnation;
        for conn in 0..self.conns.len() {
            if self.conns[conn].agent == number {
                self.reset(Some(conn));
            }
        }
        self.at(BEAT, Event::Seen(number, incarnation));
    }

    /// The backend server dies with everything that runs on it, and stays dead.
    pub(crate) fn kill_server(&mut self, number: usize) {
        let agent = &mut self.agents[number];
        agent.server_dead = true;
        agent.crashes += 1;
        for id in agent.dispatches.keys() {
            if self.runs.contains_key(id) {
                agent.ledger.fail(id, Failure::Died(agent.crashes));
            }
        }
        self.pump(number);
    }
}
