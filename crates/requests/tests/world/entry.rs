//! Entries: they do what the request machines ask for.

use snipemast_core::prelude::*;
use snipemast_requests::{
    AttemptStatus, Frame, Input, Loss, Output, Outputs, Part, Plan, RefusalReason, RequestMachine,
    Tag, Target,
};

use super::caller::Word;
use super::{Event, Send, Step, ToAgent, World, DEADLINE, HOLD, HOP, SILENCE};

/// Just after a first silence was noticed and its settle was sent.
const SILENCE_AND_HOP: Span = Span::from_micros(SILENCE.as_micros() + HOP.as_micros());

impl World {
    /// A caller sends its request to an entry.
    pub(crate) fn send(&mut self, entry: usize) {
        let plan = Plan {
            idempotent: self.kind.idempotent,
            stream: self.kind.stream,
            keyed: self.kind.keyed && !self.kind.idempotent,
            deadline: self.now + DEADLINE,
            max_attempts: 3,
            max_silence: SILENCE,
            max_body: 1 << 20,
        };
        self.sends
            .push(Send::new(entry, self.now, RequestMachine::new(plan)));
        let send = self.sends.len() - 1;
        if self.dead[entry] {
            return self.caller_cut(send);
        }
        self.at(DEADLINE.times(2), Event::Impatient(send));
        self.feed(send, Input::Start);
    }

    /// Gives a request machine an input and does what it asks for.
    pub(crate) fn feed(&mut self, send: usize, input: Input) {
        if self.dead[self.sends[send].entry] {
            return;
        }
        let mut outputs = Outputs::new();
        let now = self.now;
        self.sends[send].machine.handle(now, input, &mut outputs);
        for output in outputs {
            self.perform(send, output);
        }
        let machine = &self.sends[send].machine;
        if !machine.is_done() {
            let wake = machine.next_wake();
            if self.sends[send].armed.is_none_or(|armed| wake < armed) {
                self.sends[send].armed = Some(wake);
                self.at(now.until(wake), Event::Wake(send));
            }
        }
    }

    pub(crate) fn wake(&mut self, send: usize) {
        self.sends[send].armed = None;
        self.feed(send, Input::Tick);
    }

    fn perform(&mut self, send: usize, output: Output) {
        match output {
            Output::Choose => self.choose(send),
            Output::Claim(target, number) => self.claim(send, target, number),
            Output::Dispatch(link, target) => self.dispatch(send, link, target),
            Output::Settle(link, target) => {
                let message = ToAgent::Settle(target.clone(), DEADLINE);
                self.open(send, link, &target, message);
            }
            Output::Resume(link, target, offset) => {
                let message = ToAgent::Resume(target.clone(), offset);
                self.open(send, link, &target, message);
            }
            Output::Cancel(target) => self.tell(send, &target, ToAgent::Cancel(target.clone())),
            Output::Bar(target) => {
                self.tell(send, &target, ToAgent::Settle(target.clone(), DEADLINE));
            }
            Output::Retire(_) => self.close_conns(send),
            Output::Head(..) | Output::Crashed(_) | Output::Dropped => {}
            Output::Data(bytes) => self.at(HOP, Event::ToCaller(send, Word::Data(bytes))),
            Output::End(_) => {
                self.reach(Step::Delivered, send);
                if !self.dead[self.sends[send].entry] {
                    self.at(HOP, Event::ToCaller(send, Word::End));
                }
                self.close_conns(send);
            }
            Output::Fail(verdict) => {
                self.at(HOP, Event::ToCaller(send, Word::Failed(verdict)));
                self.close_conns(send);
            }
        }
    }

    fn choose(&mut self, send: usize) {
        self.close_conns(send);
        let tried = &self.sends[send].tried;
        let fresh = (0..self.agents.len()).find(|n| !tried.contains(n));
        let Some(number) = fresh else {
            return self.feed(send, Input::NoServer);
        };
        self.sends[send].tried.push(number);
        let id = self.next_id(self.sends[send].entry);
        self.sends[send].ids.push(id.clone());
        let mut agent = self.agents[number].process.clone();
        agent.incarnation = self.view[number];
        self.feed(send, Input::Chosen(Target { id, agent }));
    }

    fn dispatch(&mut self, send: usize, link: u32, target: Target) {
        let agent = self.agent_of(&target);
        let conn = self.connect(send, link, agent);
        self.sends[send].conn = Some(conn);
        self.sends[send].agent = agent;
        self.reach(Step::Unwritten, send);
        if self.dead[self.sends[send].entry] {
            return;
        }
        let written = self.conns[conn].open && !self.conns[conn].silent;
        self.reach(Step::Written, send);
        let keep = if self.kind.keyed {
            HOLD
        } else {
            Span::default()
        };
        let left = DEADLINE;
        self.post(conn, ToAgent::Dispatch { target, keep, left }, written);
    }

    fn open(&mut self, send: usize, link: u32, target: &Target, message: ToAgent) {
        let agent = self.agent_of(target);
        let conn = self.connect(send, link, agent);
        self.sends[send].conn = Some(conn);
        self.sends[send].agent = agent;
        self.post(conn, message, false);
    }

    /// Sends a word that nobody waits for an answer to.
    fn tell(&mut self, send: usize, target: &Target, message: ToAgent) {
        if !self.is_cut(self.sends[send].entry) {
            let agent = self.agent_of(target);
            self.at(HOP, Event::ToAgent(agent, message, None));
        }
    }

    fn agent_of(&self, target: &Target) -> usize {
        let host = &target.agent.host;
        let found = self.agents.iter().position(|a| a.process.host == *host);
        found.expect("every target names an agent of the cell")
    }

    /// Which send dispatched an id.
    pub(crate) fn send_of(&self, id: &DispatchId) -> usize {
        let found = self.sends.iter().position(|s| s.ids.contains(id));
        found.expect("every id was made by a send")
    }

    /// Another request's frames arrive on the current connection.
    pub(crate) fn cross(&mut self, send: usize) {
        let foreign = self.next_id(1);
        let link = self.sends[send].machine.link();
        let tag = Tag::for_dispatch(&foreign);
        let parts = [
            Part::Head {
                status: 500,
                headers: Vec::new(),
            },
            Part::Data {
                offset: 0,
                bytes: b"another's".to_vec(),
            },
            Part::End {
                total: 9,
                checksum: 0,
                load: LoadReport::default(),
            },
            Part::Refused {
                reason: RefusalReason::Draining,
            },
        ];
        for part in parts {
            let frame = Input::Frame(link, Frame::new(tag, part));
            self.at(HOP, Event::ToEntry(send, frame));
        }
        let barred = Input::Settled(link, foreign.clone(), AttemptStatus::Barred);
        self.at(HOP, Event::ToEntry(send, barred));
        // And once more while the entry settles, should it do so next.
        let barred = Input::Settled(link + 1, foreign, AttemptStatus::Barred);
        self.at(SILENCE_AND_HOP, Event::ToEntry(send, barred));
        // The answer to an earlier call of the same request, on a connection that was given up.
        let stale = Input::Lost(link.wrapping_sub(1), Loss::Unsent);
        self.at(HOP, Event::ToEntry(send, stale));
    }
}
