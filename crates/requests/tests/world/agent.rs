//! The agents with their ledgers, and engines that answer the same bytes on every server.

use std::collections::BTreeMap;

use snipemast_core::prelude::*;
use snipemast_requests::ledger::ReadPosition;
use snipemast_requests::{
    Arrival, ArrivalOutcome, Failure, Frame, Input, Ledger, LedgerLimits, Link, Part,
    RefusalReason, Tag, Target,
};

use super::{Conn, Event, Step, ToAgent, World, BEAT, DEADLINE, HOP, SILENCE};

/// The number of pieces of each answer.
const PIECES: u32 = 6;
/// The time that an engine takes before the first piece, longer than the longest silence.
const FIRST_PIECE_DELAY: Span = Span::from_millis(2_600);
/// The time between two pieces.
const PIECE_DELAY: Span = Span::from_millis(20);

/// The most entries of a ledger, unless a fault lowers the bound.
const MAX_ENTRIES: usize = 64;

/// Returns the body of every right answer.
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
        entries: MAX_ENTRIES,
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
            bound: MAX_ENTRIES,
        }
    }

    /// Refuses new work from now on.
    pub(crate) fn drain(&mut self) {
        self.drained = true;
        self.ledger.drain();
    }

    /// Lowers the bounds of the ledger, so that it has no room for another entry or byte.
    pub(crate) fn exhaust_memory(&mut self) {
        self.bound = self.ledger.len();
        self.ledger.set_limits(LedgerLimits {
            entries: self.ledger.len(),
            bytes: 0,
            answer_bytes: 1 << 20,
        });
    }

    /// Restores the bounds of the ledger.
    pub(crate) fn restore_memory(&mut self) {
        self.bound = MAX_ENTRIES;
        self.ledger.set_limits(limits());
    }
}

impl World {
    /// Opens a connection to an agent.
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

    /// Sends a message on a connection, as far as its faults allow.
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
        // A message that was written before its connection broke may still arrive late.
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
            self.schedule(after, Event::ToAgent(agent, message.clone(), Some(number)));
        }
        if doubled {
            self.conns[number].doubled = false;
            for after in [HOP.times(40), DEADLINE.times(12)] {
                self.schedule(after, Event::ToAgent(agent, message.clone(), None));
            }
        }
    }

    pub(crate) fn agent_receives(&mut self, number: usize, message: ToAgent, conn: Option<usize>) {
        // A connection ends with the process that accepted it.
        let conn =
            conn.filter(|c| self.conns[*c].incarnation == self.agents[number].process.incarnation);
        self.agents[number].ledger.expire(self.now);
        if self.agents[number].ledger.len() > self.agents[number].bound {
            self.violation = Some("a ledger went over its bound");
        }
        match message {
            ToAgent::Dispatch { target, keep, left } => {
                self.arrive(number, target, keep, left, conn);
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
                self.send_ready(number);
            }
        }
    }

    fn arrive(
        &mut self,
        number: usize,
        target: Target,
        keep: Span,
        left: Span,
        conn: Option<usize>,
    ) {
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
                    self.violation = Some("a draining agent took new work");
                }
                let incarnation = self.agents[number].process.incarnation;
                let id = target.id.clone();
                let send = self.send_of(&id);
                self.agents[number].dispatches.insert(id.clone(), send);
                self.schedule(HOP, Event::Engine(number, incarnation, id, 0));
                self.schedule(left, Event::Overdue(number, incarnation, target.id.clone()));
                self.reach_step(Step::Recorded, send);
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
        let progress = ReadPosition {
            head: false,
            offset,
        };
        self.agents[number]
            .readers
            .insert(conn, (id.clone(), progress));
        self.schedule(BEAT, Event::Beat(conn));
        self.send_ready(number);
    }

    /// Sends a message back to the entry on a connection, as far as its faults allow.
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
            self.schedule(HOP.times(30), Event::ToEntry(conn.send, input.clone()));
        }
        self.schedule(after, Event::ToEntry(conn.send, input));
    }

    /// Sends every reader the frames that are ready for it.
    fn send_ready(&mut self, number: usize) {
        let conns: Vec<usize> = self.agents[number].readers.keys().copied().collect();
        for conn in conns {
            self.send_ready_on(number, conn);
        }
    }

    fn send_ready_on(&mut self, number: usize, conn: usize) {
        loop {
            let agent = &mut self.agents[number];
            let Some((id, progress)) = agent.readers.get_mut(&conn) else {
                return;
            };
            let Some(frame) = agent.ledger.next_frame(id, *progress, 16) else {
                return;
            };
            let mut ended = false;
            match &frame.part {
                Part::Head { .. } => progress.head = true,
                Part::Data { bytes, .. } => progress.offset += bytes.len() as u64,
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
        self.schedule(BEAT, Event::Beat(conn));
    }

    /// Advances the engine's work on a dispatch. Stage 0 is its start, the later ones its pieces.
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
            return self.send_ready(number);
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
        let mut after = PIECE_DELAY;
        match stage {
            0 => {
                *self.runs.entry(id.clone()).or_default() += 1;
                after = FIRST_PIECE_DELAY;
                self.reach_step(Step::AtWork, send);
            }
            1 => ledger.set_head(&id, 200, Vec::new()),
            _ if stage <= PIECES + 1 => {
                ledger.append(&id, &piece(stage - 2));
            }
            _ => ledger.finish(&id, LoadReport::default()),
        }
        if stage == 4 {
            self.reach_step(Step::MidStream, send);
        }
        if stage == PIECES + 2 {
            self.reach_step(Step::Finished, send);
        } else {
            self.schedule(after, Event::Engine(number, incarnation, id, stage + 1));
        }
        self.send_ready(number);
    }

    /// Stops a dispatch that runs past its deadline.
    pub(crate) fn overdue(&mut self, number: usize, incarnation: Incarnation, id: &DispatchId) {
        if self.agents[number].process.incarnation == incarnation {
            self.agents[number].ledger.fail(id, Failure::Late);
            self.send_ready(number);
        }
    }

    /// Restarts the agent process. Its engine continues its work, but nobody gets the answers.
    pub(crate) fn restart_agent(&mut self, number: usize) {
        let agent = &mut self.agents[number];
        agent.process.incarnation = agent.process.incarnation.next();
        agent.ledger = ledger(&agent.process);
        agent.readers.clear();
        (agent.drained, agent.bound) = (false, MAX_ENTRIES);
        let incarnation = agent.process.incarnation;
        for conn in 0..self.conns.len() {
            if self.conns[conn].agent == number {
                self.reset(Some(conn));
            }
        }
        self.schedule(BEAT, Event::Seen(number, incarnation));
    }

    /// Ends the backend server and everything that runs on it for good.
    pub(crate) fn kill_server(&mut self, number: usize) {
        let agent = &mut self.agents[number];
        agent.server_dead = true;
        agent.crashes += 1;
        for id in agent.dispatches.keys() {
            if self.runs.contains_key(id) {
                agent.ledger.fail(id, Failure::Died(agent.crashes));
            }
        }
        self.send_ready(number);
    }
}
