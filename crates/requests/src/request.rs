//! One request at its entry: dispatch, settle, resume, retry.

use std::collections::VecDeque;

use snipemast_core::prelude::*;

use crate::answer::{AttemptStatus, Failure, Frame, Part, RefusalReason, Tag};
use crate::assembler::{Assembled, Assembler, Piece};
use crate::plan::{ClaimResult, Input, Link, Loss, Output, Plan, Target};
use crate::suspicion::Crash;
use crate::verdict::{Reason, Verdict};

/// How often a call is tried again without progress before the agent counts as lost.
const TRIES: u32 = 6;
/// How often where the request may simply run elsewhere.
const TRIES_IDEMPOTENT: u32 = 2;
/// The first pause between tries; it doubles.
const PAUSE: Span = Span::from_millis(20);

/// What a request asks for, in order.
pub type Outputs = VecDeque<Output>;

/// What a request waits for.
#[derive(Debug, Clone, PartialEq, Eq)]
enum State {
    /// Its start.
    Idle,
    /// A backend server.
    Choosing,
    /// Its key's keepers.
    Claiming(Target),
    /// Frames.
    Reading(Target),
    /// The agent's word.
    Settling(Target),
    /// The end of a pause, before the agent is asked again.
    Pausing(Target, Then),
    /// Nothing: it has ended.
    Done,
}

/// What follows a pause.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Then {
    Settle,
    Resume,
}

/// One request at its entry.
#[derive(Debug)]
pub struct RequestMachine {
    plan: Plan,
    state: State,
    link: Link,
    tag: Option<Tag>,
    /// Dispatches that were sent.
    attempts: u32,
    /// The number of the key's attempt that is claimed next.
    claim: u64,
    /// Whether the current attempt was dispatched by another send of the same key.
    attached: bool,
    /// Whether the agent said that it took the current attempt.
    accepted: bool,
    /// Calls without progress.
    tries: u32,
    /// The worst that earlier attempts leave open.
    worst: Outcome,
    assembler: Assembler,
    held: Vec<u8>,
    /// Whether something has reached the caller.
    passed: bool,
    /// When the current wait ends.
    wake: Moment,
}

impl RequestMachine {
    /// A request that has not begun.
    pub fn new(plan: Plan) -> Self {
        Self {
            plan,
            state: State::Idle,
            link: 0,
            tag: None,
            attempts: 0,
            claim: 1,
            attached: false,
            accepted: false,
            tries: 0,
            worst: Outcome::NotRun,
            assembler: Assembler::default(),
            held: Vec::new(),
            passed: false,
            wake: Moment::NEVER,
        }
    }

    /// When the machine must be given [`Input::Tick`].
    pub fn next_wake(&self) -> Moment {
        self.wake.min(self.plan.deadline)
    }

    /// Whether the request has ended.
    pub fn is_done(&self) -> bool {
        self.state == State::Done
    }

    /// The connection whose frames are read now.
    pub fn link(&self) -> Link {
        self.link
    }

    /// How many dispatches were sent.
    pub fn attempts(&self) -> u32 {
        self.attempts
    }

    /// The attempt that is under way.
    pub fn target(&self) -> Option<&Target> {
        match &self.state {
            State::Claiming(target)
            | State::Reading(target)
            | State::Settling(target)
            | State::Pausing(target, _) => Some(target),
            State::Idle | State::Choosing | State::Done => None,
        }
    }

    /// Takes an input and says what to do.
    pub fn handle(&mut self, now: Moment, input: Input, out: &mut Outputs) {
        if self.is_done() {
            return;
        }
        match input {
            Input::CallerGone => self.leave(out),
            _ if now >= self.plan.deadline => self.expire(out),
            Input::Start => self.choose(out),
            Input::Chosen(target) => self.chosen(now, target, out),
            Input::NoServer => self.unchosen(Reason::NoServer, out),
            Input::Quarantined => self.unchosen(Reason::Quarantined, out),
            Input::SuspectRuns => self.unchosen(Reason::SuspectRuns, out),
            Input::Claimed(claimed, number) => self.claimed(now, claimed, number, out),
            Input::Frame(link, frame) if link == self.link => self.frame(now, frame, out),
            Input::Lost(link, loss) if link == self.link => self.lost(now, loss, out),
            Input::Settled(link, id, settled) if link == self.link => {
                self.settled(now, &id, settled, out);
            }
            Input::Frame(..) => out.push_back(Output::Dropped),
            Input::Lost(..) | Input::Settled(..) => {}
            Input::Tick => self.tick(now, out),
        }
    }

    fn choose(&mut self, out: &mut Outputs) {
        self.state = State::Choosing;
        self.wake = Moment::NEVER;
        out.push_back(Output::Choose);
    }

    fn chosen(&mut self, now: Moment, target: Target, out: &mut Outputs) {
        if self.state != State::Choosing {
            return;
        }
        if self.plan.keyed {
            out.push_back(Output::Claim(target.clone(), self.claim));
            self.state = State::Claiming(target);
        } else {
            self.dispatch(now, target, out);
        }
    }

    fn unchosen(&mut self, reason: Reason, out: &mut Outputs) {
        if self.state == State::Choosing {
            self.fail(reason, Outcome::NotRun, out);
        }
    }

    fn claimed(&mut self, now: Moment, claimed: ClaimResult, number: u64, out: &mut Outputs) {
        let State::Claiming(target) = &self.state else {
            return;
        };
        self.claim = number;
        match claimed {
            ClaimResult::Won => self.dispatch(now, target.clone(), out),
            ClaimResult::Held(target) => self.attach(now, target, out),
            ClaimResult::Mismatch => self.fail(Reason::KeyReused, Outcome::NotRun, out),
            ClaimResult::Undecided => self.fail(Reason::KeyUnsure, Outcome::NotRun, out),
        }
    }

    fn dispatch(&mut self, now: Moment, target: Target, out: &mut Outputs) {
        self.attempts += 1;
        self.begin(&target);
        self.read(now, target.clone());
        out.push_back(Output::Dispatch(self.link, target));
    }

    /// Reads the answer of an attempt that another send of the same key dispatched.
    fn attach(&mut self, now: Moment, target: Target, out: &mut Outputs) {
        self.begin(&target);
        self.attached = true;
        self.resume(now, target, out);
    }

    fn begin(&mut self, target: &Target) {
        self.tag = Some(Tag::for_dispatch(&target.id));
        self.attached = false;
        self.accepted = false;
        self.tries = 0;
        self.assembler = Assembler::default();
        self.held.clear();
    }

    fn read(&mut self, now: Moment, target: Target) {
        self.link += 1;
        self.state = State::Reading(target);
        self.wake = now + self.plan.max_silence;
    }

    fn resume(&mut self, now: Moment, target: Target, out: &mut Outputs) {
        self.read(now, target.clone());
        out.push_back(Output::Resume(self.link, target, self.assembler.offset()));
    }

    fn settle(&mut self, now: Moment, target: Target, out: &mut Outputs) {
        self.link += 1;
        self.wake = now + self.plan.max_silence;
        out.push_back(Output::Settle(self.link, target.clone()));
        self.state = State::Settling(target);
    }

    fn frame(&mut self, now: Moment, frame: Frame, out: &mut Outputs) {
        if !matches!(self.state, State::Reading(_)) {
            return;
        }
        if Some(frame.tag) != self.tag {
            out.push_back(Output::Dropped);
            return;
        }
        self.wake = now + self.plan.max_silence;
        match frame.part {
            Part::Accepted { .. } => self.accepted = true,
            Part::Beat => {}
            Part::Head { status, headers } => {
                self.accepted = true;
                self.assembler.take_head(status, headers);
            }
            Part::Data { offset, bytes } => self.data(now, offset, bytes, out),
            Part::End {
                total,
                checksum,
                load,
            } => self.end(now, total, checksum, load, out),
            Part::Failed { reason } => self.failed(reason, out),
            Part::Refused { reason } => self.refused(now, reason, out),
        }
    }

    fn data(&mut self, now: Moment, offset: u64, bytes: Vec<u8>, out: &mut Outputs) {
        match self.assembler.take(offset, bytes) {
            Piece::Next(bytes) => {
                self.tries = 0;
                self.pass(bytes, out);
            }
            Piece::Repeated => out.push_back(Output::Dropped),
            // Frames were lost in the middle: the kept answer still has them.
            Piece::Gap => {
                out.push_back(Output::Dropped);
                self.again(now, Then::Resume, out);
            }
        }
    }

    fn pass(&mut self, bytes: Vec<u8>, out: &mut Outputs) {
        if self.plan.stream {
            self.pass_head(out);
            out.push_back(Output::Data(bytes));
        } else if self.held.len() + bytes.len() > self.plan.max_body {
            let target = self.target().cloned();
            out.extend(target.map(Output::Cancel));
            self.fail(Reason::TooLong, Outcome::Ran, out);
        } else {
            self.held.extend_from_slice(&bytes);
        }
    }

    fn pass_head(&mut self, out: &mut Outputs) {
        if self.passed {
            return;
        }
        self.passed = true;
        if let Some((status, headers)) = self.assembler.head() {
            out.push_back(Output::Head(*status, headers.clone()));
        }
    }

    fn end(&mut self, now: Moment, total: u64, checksum: u32, load: LoadReport, out: &mut Outputs) {
        if self.assembler.head().is_none() {
            return self.again(now, Then::Resume, out);
        }
        match self.assembler.finish(total, checksum) {
            Assembled::Whole => {
                self.pass_head(out);
                let held = std::mem::take(&mut self.held);
                if !held.is_empty() {
                    out.push_back(Output::Data(held));
                }
                out.push_back(Output::End(load));
                self.state = State::Done;
            }
            Assembled::Short => self.again(now, Then::Resume, out),
            Assembled::Corrupt if !self.passed => {
                // Nothing has reached the caller, so the kept answer is read again from its start.
                self.assembler = Assembler::default();
                self.held.clear();
                self.again(now, Then::Resume, out);
            }
            Assembled::Corrupt => self.fail(Reason::Corrupt, Outcome::Ran, out),
        }
    }

    fn failed(&mut self, reason: Failure, out: &mut Outputs) {
        if let (Failure::Died(number), Some(target)) = (reason, self.target()) {
            let agent = target.agent.clone();
            out.push_back(Output::Crashed(Crash { agent, number }));
        }
        self.over(Reason::Failed(reason), Outcome::Ran, out);
    }

    fn refused(&mut self, now: Moment, reason: RefusalReason, out: &mut Outputs) {
        match reason {
            // The agent that took the attempt is gone, and its word with it.
            RefusalReason::Incarnation if self.accepted || self.attached || self.tries > 0 => {
                self.over(Reason::Lost, Outcome::Unknown, out);
            }
            // The attempt may still be under way to the agent: ask again, then settle it.
            RefusalReason::Unknown if self.tries < TRIES_IDEMPOTENT => {
                self.again(now, Then::Resume, out);
            }
            RefusalReason::Unknown => self.ask(now, Then::Settle, out),
            _ => self.not_run(Reason::Refused(reason), out),
        }
    }

    fn lost(&mut self, now: Moment, loss: Loss, out: &mut Outputs) {
        match self.state.clone() {
            State::Reading(_) if loss == Loss::Unsent && self.is_first() => {
                self.not_run(Reason::Lost, out);
            }
            State::Reading(_) if self.accepted || self.attached => {
                self.again(now, Then::Resume, out);
            }
            State::Reading(_) | State::Settling(_) => {
                self.again(now, Then::Settle, out);
            }
            State::Idle
            | State::Choosing
            | State::Claiming(_)
            | State::Pausing(..)
            | State::Done => {}
        }
    }

    /// Whether the current link is the one that dispatches.
    fn is_first(&self) -> bool {
        self.tries == 0 && !self.attached && !self.accepted
    }

    fn settled(&mut self, now: Moment, id: &DispatchId, settled: AttemptStatus, out: &mut Outputs) {
        let State::Settling(target) = &self.state else {
            return;
        };
        if *id != target.id {
            out.push_back(Output::Dropped);
            return;
        }
        let target = target.clone();
        match settled {
            AttemptStatus::Running | AttemptStatus::Finished => {
                self.accepted = true;
                self.resume(now, target, out);
            }
            AttemptStatus::Failed(reason) => self.failed(reason, out),
            AttemptStatus::Barred => self.not_run(Reason::Lost, out),
            AttemptStatus::Forgotten | AttemptStatus::Gone => {
                self.over(Reason::Lost, Outcome::Unknown, out);
            }
        }
    }

    /// Asks the agent again after a pause, or gives the attempt up.
    fn again(&mut self, now: Moment, then: Then, out: &mut Outputs) {
        let Some(target) = self.target().cloned() else {
            return;
        };
        self.tries += 1;
        let elsewhere = self.plan.idempotent && !self.passed;
        let bound = if elsewhere { TRIES_IDEMPOTENT } else { TRIES };
        if self.tries > bound {
            let began = self.assembler.head().is_some();
            let outcome = if began {
                Outcome::Ran
            } else {
                Outcome::Unknown
            };
            out.push_back(Output::Cancel(target));
            return self.over(Reason::Lost, outcome, out);
        }
        out.push_back(Output::Retire(target.clone()));
        if self.tries == 1 {
            return self.ask(now, then, out);
        }
        // Nothing of the old connection counts any more.
        self.link += 1;
        self.wake = now + PAUSE.times(1 << self.tries);
        self.state = State::Pausing(target, then);
    }

    fn ask(&mut self, now: Moment, then: Then, out: &mut Outputs) {
        let Some(target) = self.target().cloned() else {
            return;
        };
        match then {
            Then::Settle => self.settle(now, target, out),
            Then::Resume => self.resume(now, target, out),
        }
    }

    fn tick(&mut self, now: Moment, out: &mut Outputs) {
        if now < self.wake {
            return;
        }
        match self.state.clone() {
            State::Pausing(_, then) => self.ask(now, then, out),
            // Silence of a connection over which beats should flow: it counts as dead.
            State::Reading(_) | State::Settling(_) => self.lost(now, Loss::Broken, out),
            State::Idle | State::Choosing | State::Claiming(_) | State::Done => {}
        }
    }

    /// The current attempt surely did not run: another is always safe.
    fn not_run(&mut self, reason: Reason, out: &mut Outputs) {
        self.claim += 1;
        if self.attempts < self.plan.max_attempts && !self.passed {
            self.choose(out);
        } else {
            self.fail(reason, Outcome::NotRun, out);
        }
    }

    /// The current attempt ran or may have run: another is safe only where it may run twice.
    fn over(&mut self, reason: Reason, outcome: Outcome, out: &mut Outputs) {
        let safe = self.plan.idempotent && !self.passed;
        if safe && self.attempts < self.plan.max_attempts {
            self.worst = worse(self.worst, outcome);
            self.choose(out);
        } else {
            self.fail(reason, outcome, out);
        }
    }

    fn expire(&mut self, out: &mut Outputs) {
        let outcome = match &self.state {
            State::Idle | State::Choosing | State::Claiming(_) => Outcome::NotRun,
            _ if self.assembler.head().is_some() => Outcome::Ran,
            _ => Outcome::Unknown,
        };
        self.stop(out);
        self.fail(Reason::Late, outcome, out);
    }

    fn leave(&mut self, out: &mut Outputs) {
        self.stop(out);
        self.fail(Reason::CallerGone, Outcome::Unknown, out);
    }

    /// Stops the current attempt; one that a resend of its key may come for is only barred,
    /// should it never have arrived.
    fn stop(&mut self, out: &mut Outputs) {
        let sent = !matches!(self.state, State::Claiming(_));
        let Some(target) = self.target().cloned().filter(|_| sent) else {
            return;
        };
        out.push_back(match self.plan.keyed {
            true => Output::Bar(target),
            false => Output::Cancel(target),
        });
    }

    fn fail(&mut self, reason: Reason, outcome: Outcome, out: &mut Outputs) {
        let outcome = worse(self.worst, outcome);
        self.state = State::Done;
        self.held = Vec::new();
        out.push_back(Output::Fail(Verdict::new(reason, outcome)));
    }
}

/// The outcome that leaves more open; a run that is certain goes first.
fn worse(a: Outcome, b: Outcome) -> Outcome {
    match (a, b) {
        (Outcome::Ran, _) | (_, Outcome::Ran) => Outcome::Ran,
        (Outcome::Unknown, _) | (_, Outcome::Unknown) => Outcome::Unknown,
        (Outcome::NotRun, Outcome::NotRun) => Outcome::NotRun,
    }
}
