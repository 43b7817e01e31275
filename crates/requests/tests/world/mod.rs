//! A simulation around the state machines: messages, connections, agents, engines and a caller.
//!
//! Time is virtual and every message is an event. Faults act on messages and processes only. The
//! state machines of the crate itself make every decision.

mod agent;
mod caller;
mod entry;
mod keys;

use std::collections::BTreeMap;

use snipemast_core::prelude::*;
use snipemast_requests::claim::Round;
use snipemast_requests::{Input, Keeper, KeeperAnswer, KeeperAsk, Link, Target};

pub(crate) use agent::{body, Agent};
pub(crate) use caller::{CallerSend, SendResult};

/// The time that a message takes.
pub(crate) const HOP: Span = Span::from_millis(1);
/// The deadline of each send.
pub(crate) const DEADLINE: Span = Span::from_secs(30);
/// The longest time that a connection may be silent.
pub(crate) const SILENCE: Span = Span::from_secs(2);
/// The time for which claims are remembered.
pub(crate) const HOLD: Span = Span::from_secs(300);
/// The interval at which agents send beats.
const BEAT: Span = Span::from_millis(500);
/// The time for which a zone stays cut off.
const CUT: Span = Span::from_secs(5);

/// The points of a request at which faults happen, in the order in which it reaches them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Step {
    /// The connection is open, and nothing was written to it.
    Unwritten,
    /// The dispatch was written to the connection.
    Written,
    /// The agent has recorded the dispatch in its ledger.
    Recorded,
    /// The engine has begun to work.
    AtWork,
    /// The engine has produced some pieces of the answer.
    MidStream,
    /// The engine has finished the answer.
    Finished,
    /// The entry has the whole answer and is about to end it for the caller.
    Delivered,
    /// The caller is about to send the request again.
    Resent,
}

/// A fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Fault {
    /// The connection carries nothing more, and neither end notices.
    Silent,
    /// The connection breaks, and both ends notice.
    Reset,
    /// The next message on the connection arrives after the deadline.
    Delayed,
    /// The next message on the connection arrives more than once.
    Duplicated,
    /// Frames of another request arrive on the connection.
    Crossed,
    /// The first entry dies.
    EntryDies,
    /// The agent process restarts without its ledger.
    AgentRestarts,
    /// The backend server dies.
    ServerDies,
    /// The zone of the first entry is cut off for a while.
    ZoneCut,
    /// The agent drains.
    Drain,
    /// The ledger of the agent has no room for a while.
    MemoryBound,
    /// The engine makes no more progress.
    Stall,
}

pub(crate) const STEPS: [Step; 8] = [
    Step::Unwritten,
    Step::Written,
    Step::Recorded,
    Step::AtWork,
    Step::MidStream,
    Step::Finished,
    Step::Delivered,
    Step::Resent,
];

pub(crate) const FAULTS: [Fault; 12] = [
    Fault::Silent,
    Fault::Reset,
    Fault::Delayed,
    Fault::Duplicated,
    Fault::Crossed,
    Fault::EntryDies,
    Fault::AgentRestarts,
    Fault::ServerDies,
    Fault::ZoneCut,
    Fault::Drain,
    Fault::MemoryBound,
    Fault::Stall,
];

/// The kind of request that a cell sends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Kind {
    pub(crate) idempotent: bool,
    pub(crate) keyed: bool,
    pub(crate) stream: bool,
    /// Whether the caller sends to both entries at the same time.
    pub(crate) eager: bool,
}

/// A message to an agent.
#[derive(Debug, Clone)]
pub(crate) enum ToAgent {
    Dispatch {
        target: Target,
        keep: Span,
        left: Span,
    },
    Settle(Target, Span),
    Resume(Target, u64),
    Cancel(Target),
}

/// One connection from an entry to an agent.
#[derive(Debug, Clone)]
pub(crate) struct Conn {
    pub(crate) send: usize,
    pub(crate) link: Link,
    pub(crate) agent: usize,
    pub(crate) incarnation: Incarnation,
    pub(crate) open: bool,
    pub(crate) silent: bool,
    pub(crate) delayed: bool,
    pub(crate) doubled: bool,
}

/// An event at a moment.
#[derive(Debug, Clone)]
pub(crate) enum Event {
    ToAgent(usize, ToAgent, Option<usize>),
    ToEntry(usize, Input),
    Wake(usize),
    ToKeeper(usize, usize, Round, KeeperAsk),
    FromKeeper(usize, Round, usize, Option<KeeperAnswer>),
    ClaimAgain(usize),
    CopyShards(usize),
    Engine(usize, Incarnation, DispatchId, u32),
    Beat(usize),
    Seen(usize, Incarnation),
    Heal,
    Relieve(usize),
    Overdue(usize, Incarnation, DispatchId),
    ToCaller(usize, caller::ToCaller),
    Impatient(usize),
}

/// The state of one cell: one kind of request under some faults.
pub(crate) struct World {
    pub(crate) now: Moment,
    pub(crate) kind: Kind,
    pub(crate) agents: Vec<Agent>,
    pub(crate) keepers: Vec<Keeper>,
    pub(crate) sends: Vec<CallerSend>,
    pub(crate) conns: Vec<Conn>,
    /// The number of runs on engines, by dispatch.
    pub(crate) runs: BTreeMap<DispatchId, u32>,
    faults: Vec<(Step, Fault)>,
    queue: BTreeMap<(Moment, u64), Event>,
    sequence: u64,
    pub(crate) dead: [bool; 2],
    pub(crate) cut: bool,
    pub(crate) view: Vec<Incarnation>,
    counter: u64,
    pub(crate) incarnations: Vec<u64>,
    /// A rule that an agent violated.
    pub(crate) violation: Option<&'static str>,
}

impl World {
    pub(crate) fn new(kind: Kind, faults: &[(Step, Fault)]) -> Self {
        Self {
            now: Moment::ZERO + HOLD,
            kind,
            agents: (0..2).map(Agent::new).collect(),
            keepers: keys::keepers(),
            sends: Vec::new(),
            conns: Vec::new(),
            runs: BTreeMap::new(),
            faults: faults.to_vec(),
            queue: BTreeMap::new(),
            sequence: 0,
            dead: [false; 2],
            cut: false,
            view: vec![Incarnation::new(1); 2],
            counter: 0,
            incarnations: vec![1; 3],
            violation: None,
        }
    }

    /// Runs the cell to its end: the first send, the further sends of the caller, and every
    /// message that is still under way.
    pub(crate) fn run(&mut self) {
        self.send(0);
        if self.kind.eager {
            self.send(1);
        }
        while let Some(((at, _), event)) = self.queue.pop_first() {
            self.now = at;
            self.handle(event);
        }
    }

    pub(crate) fn schedule(&mut self, after: Span, event: Event) {
        self.sequence += 1;
        self.queue.insert((self.now + after, self.sequence), event);
    }

    pub(crate) fn next_id(&mut self, entry: usize) -> DispatchId {
        self.counter += 1;
        let host = format!("entry-{entry}").parse().expect("a name");
        let incarnation = Incarnation::new(1);
        DispatchId::new(ProcessId::new(host, incarnation), self.counter)
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::ToAgent(agent, message, conn) => self.agent_receives(agent, message, conn),
            Event::ToEntry(send, input) => self.feed(send, input),
            Event::Wake(send) => self.wake(send),
            Event::ToKeeper(keeper, send, round, ask) => {
                self.keeper_receives(keeper, send, round, ask)
            }
            Event::FromKeeper(send, round, keeper, answer) => {
                self.claimer_receives(send, round, keeper, answer);
            }
            Event::ClaimAgain(send) => self.claim_again(send),
            Event::CopyShards(keeper) => self.copy_shards(keeper),
            Event::Engine(agent, incarnation, id, stage) => {
                self.engine(agent, incarnation, id, stage);
            }
            Event::Beat(conn) => self.beat(conn),
            Event::Seen(agent, incarnation) => self.view[agent] = incarnation,
            Event::Heal => self.cut = false,
            Event::Relieve(agent) => self.agents[agent].restore_memory(),
            Event::Overdue(agent, incarnation, id) => self.overdue(agent, incarnation, &id),
            Event::ToCaller(send, message) => self.caller_receives(send, message),
            Event::Impatient(send) => self.caller_gives_up(send),
        }
    }

    /// Triggers the faults of a step that a send has reached, once.
    pub(crate) fn reach_step(&mut self, step: Step, send: usize) {
        let (due, rest) = self.faults.iter().partition(|(s, _)| *s == step);
        let due: Vec<(Step, Fault)> = due;
        self.faults = rest;
        for (_, fault) in due {
            self.apply_fault(step, fault, send);
        }
    }

    fn apply_fault(&mut self, step: Step, fault: Fault, send: usize) {
        let conn = self.sends[send].conn;
        let agent = self.sends[send].agent;
        match fault {
            Fault::Silent if step == Step::Delivered => self.sends[send].gone_silent = true,
            Fault::Silent => self.with_conn(conn, |c| c.silent = true),
            Fault::Reset if step == Step::Delivered => self.end_cut_off(send),
            Fault::Reset => self.reset(conn),
            Fault::Delayed => self.with_conn(conn, |c| c.delayed = true),
            Fault::Duplicated => self.with_conn(conn, |c| c.doubled = true),
            Fault::Crossed => self.send_foreign_frames(send),
            Fault::EntryDies => self.entry_dies(),
            Fault::AgentRestarts => self.restart_agent(agent),
            Fault::ServerDies => self.kill_server(agent),
            Fault::ZoneCut => {
                self.cut = true;
                self.schedule(CUT, Event::Heal);
            }
            Fault::Drain => self.agents[agent].drain(),
            Fault::MemoryBound => {
                self.agents[agent].exhaust_memory();
                self.schedule(CUT, Event::Relieve(agent));
            }
            Fault::Stall => self.agents[agent].stalled = true,
        }
    }

    fn with_conn(&mut self, conn: Option<usize>, change: impl FnOnce(&mut Conn)) {
        if let Some(conn) = conn {
            change(&mut self.conns[conn]);
        }
    }

    /// Breaks a connection. Both ends see it, and messages under way are lost.
    pub(crate) fn reset(&mut self, conn: Option<usize>) {
        let Some(number) = conn else {
            return;
        };
        let Conn {
            send, link, open, ..
        } = self.conns[number].clone();
        if open {
            self.conns[number].open = false;
            let lost = Input::Lost(link, snipemast_requests::Loss::Broken);
            self.schedule(HOP, Event::ToEntry(send, lost));
        }
    }

    /// Returns whether an entry can't reach the other zones.
    pub(crate) fn is_cut(&self, entry: usize) -> bool {
        self.cut && entry == 0
    }

    fn entry_dies(&mut self) {
        if std::mem::replace(&mut self.dead[0], true) {
            return;
        }
        for send in 0..self.sends.len() {
            if self.sends[send].entry == 0 {
                self.close_conns(send);
                self.end_cut_off(send);
            }
        }
        self.restart_keeper(0);
    }

    pub(crate) fn close_conns(&mut self, send: usize) {
        let own = self.conns.iter_mut().filter(|c| c.send == send);
        own.for_each(|c| c.open = false);
    }
}
