//! The state machine of one request at its entry: dispatch, settle, resume and retry.

use std::collections::VecDeque;

use snipemast_core::prelude::*;

use crate::answer::{AttemptStatus, Failure, Frame, Part, RefusalReason, Tag};
use crate::assembler::{Assembler, BodyCheck, Piece};
use crate::plan::{ClaimResult, Input, Link, Loss, Output, Plan, Target};
use crate::suspicion::Crash;
use crate::verdict::{Reason, Verdict};

/// The most repeated calls without progress, after which the agent counts as lost.
const MAX_TRIES: u32 = 6;
/// The most repeated calls if the request may simply run on another server.
const MAX_TRIES_IDEMPOTENT: u32 = 2;
/// The base of the pause between calls, which doubles with each call.
const RETRY_PAUSE: Span = Span::from_millis(20);

/// The actions that a request asks for, in order.
pub type Outputs = VecDeque<Output>;

/// What a request waits for.
#[derive(Debug, Clone, PartialEq, Eq)]
enum State {
    /// The start of the request.
    Idle,
    /// The choice of a backend server.
    Choosing,
    /// The keepers of its key.
    Claiming(Target),
    /// Frames of the answer.
    Reading(Target),
    /// The status of the attempt from its agent.
    Settling(Target),
    /// The end of a pause, before the agent is called again.
    Pausing(Target, NextCall),
    /// Nothing, as the request has ended.
    Done,
}

/// The call to an agent that follows a pause.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum NextCall {
    Settle,
    Resume,
}

/// The state machine of one request at its entry.
#[derive(Debug)]
pub struct RequestMachine {
    plan: Plan,
    state: State,
    link: Link,
    tag: Option<Tag>,
    /// The number of dispatches that were sent.
    attempts: u32,
    /// The number of the key's attempt that is claimed next.
    claim_number: u64,
    /// Whether the current attempt was dispatched by another send of the same key.
    attached: bool,
    /// Whether the agent reported that it accepted the current attempt.
    accepted: bool,
    /// The number of calls without progress.
    tries: u32,
    /// The worst outcome that earlier attempts may have had.
    worst_outcome: Outcome,
    assembler: Assembler,
    /// The body so far, for a caller that doesn't stream.
    buffer: Vec<u8>,
    /// Whether a part of the answer was sent to the caller.
    has_forwarded: bool,
    /// The moment at which the current wait ends.
    wait_end: Moment,
}

impl RequestMachine {
    /// Creates a request that has not begun.
    pub fn new(plan: Plan) -> Self {
        Self {
            plan,
            state: State::Idle,
            link: 0,
            tag: None,
            attempts: 0,
            claim_number: 1,
            attached: false,
            accepted: false,
            tries: 0,
            worst_outcome: Outcome::NotRun,
            assembler: Assembler::default(),
            buffer: Vec::new(),
            has_forwarded: false,
            wait_end: Moment::NEVER,
        }
    }

    /// Returns the moment at which the machine must handle [`Input::Tick`].
    pub fn next_wake(&self) -> Moment {
        self.wait_end.min(self.plan.deadline)
    }

    /// Returns whether the request has ended.
    pub fn is_done(&self) -> bool {
        self.state == State::Done
    }

    /// Returns the number of the current connection or call.
    pub fn link(&self) -> Link {
        self.link
    }

    /// Returns the number of dispatches that were sent.
    pub fn attempts(&self) -> u32 {
        self.attempts
    }

    /// Returns the attempt that is under way.
    pub fn target(&self) -> Option<&Target> {
        match &self.state {
            State::Claiming(target)
            | State::Reading(target)
            | State::Settling(target)
            | State::Pausing(target, _) => Some(target),
            State::Idle | State::Choosing | State::Done => None,
        }
    }

    /// Handles an input and adds the actions that it asks for to `out`.
    pub fn handle(&mut self, now: Moment, input: Input, out: &mut Outputs) {
        if self.is_done() {
            return;
        }
        match input {
            Input::CallerGone => self.on_caller_gone(out),
            _ if now >= self.plan.deadline => self.on_deadline(out),
            Input::Start => self.choose(out),
            Input::Chosen(target) => self.on_chosen(now, target, out),
            Input::NoServer => self.on_not_chosen(Reason::NoServer, out),
            Input::Quarantined => self.on_not_chosen(Reason::Quarantined, out),
            Input::SuspectRuns => self.on_not_chosen(Reason::SuspectRuns, out),
            Input::Claimed(claimed, number) => self.on_claimed(now, claimed, number, out),
            Input::Frame(link, frame) if link == self.link => self.on_frame(now, frame, out),
            Input::Lost(link, loss) if link == self.link => self.on_lost(now, loss, out),
            Input::Settled(link, id, settled) if link == self.link => {
                self.on_settled(now, &id, settled, out);
            }
            Input::Frame(..) => out.push_back(Output::Dropped),
            Input::Lost(..) | Input::Settled(..) => {}
            Input::Tick => self.on_tick(now, out),
        }
    }

    fn choose(&mut self, out: &mut Outputs) {
        self.state = State::Choosing;
        self.wait_end = Moment::NEVER;
        out.push_back(Output::Choose);
    }

    fn on_chosen(&mut self, now: Moment, target: Target, out: &mut Outputs) {
        if self.state != State::Choosing {
            return;
        }
        if self.plan.keyed {
            out.push_back(Output::Claim(target.clone(), self.claim_number));
            self.state = State::Claiming(target);
        } else {
            self.dispatch(now, target, out);
        }
    }

    fn on_not_chosen(&mut self, reason: Reason, out: &mut Outputs) {
        if self.state == State::Choosing {
            self.fail(reason, Outcome::NotRun, out);
        }
    }

    fn on_claimed(&mut self, now: Moment, claimed: ClaimResult, number: u64, out: &mut Outputs) {
        let State::Claiming(target) = &self.state else {
            return;
        };
        self.claim_number = number;
        match claimed {
            ClaimResult::Won => self.dispatch(now, target.clone(), out),
            ClaimResult::Held(target) => self.attach(now, target, out),
            ClaimResult::Mismatch => self.fail(Reason::KeyReused, Outcome::NotRun, out),
            ClaimResult::Undecided => self.fail(Reason::KeyUnsure, Outcome::NotRun, out),
        }
    }

    fn dispatch(&mut self, now: Moment, target: Target, out: &mut Outputs) {
        self.attempts += 1;
        self.reset_attempt(&target);
        self.start_reading(now, target.clone());
        out.push_back(Output::Dispatch(self.link, target));
    }

    /// Reads the answer of an attempt that another send of the same key dispatched.
    fn attach(&mut self, now: Moment, target: Target, out: &mut Outputs) {
        self.reset_attempt(&target);
        self.attached = true;
        self.resume(now, target, out);
    }

    fn reset_attempt(&mut self, target: &Target) {
        self.tag = Some(Tag::for_dispatch(&target.id));
        self.attached = false;
        self.accepted = false;
        self.tries = 0;
        self.assembler = Assembler::default();
        self.buffer.clear();
    }

    fn start_reading(&mut self, now: Moment, target: Target) {
        self.link += 1;
        self.state = State::Reading(target);
        self.wait_end = now + self.plan.max_silence;
    }

    fn resume(&mut self, now: Moment, target: Target, out: &mut Outputs) {
        self.start_reading(now, target.clone());
        out.push_back(Output::Resume(self.link, target, self.assembler.offset()));
    }

    fn settle(&mut self, now: Moment, target: Target, out: &mut Outputs) {
        self.link += 1;
        self.wait_end = now + self.plan.max_silence;
        out.push_back(Output::Settle(self.link, target.clone()));
        self.state = State::Settling(target);
    }

    fn on_frame(&mut self, now: Moment, frame: Frame, out: &mut Outputs) {
        if !matches!(self.state, State::Reading(_)) {
            return;
        }
        if Some(frame.tag) != self.tag {
            out.push_back(Output::Dropped);
            return;
        }
        self.wait_end = now + self.plan.max_silence;
        match frame.part {
            Part::Accepted { .. } => self.accepted = true,
            Part::Beat => {}
            Part::Head { status, headers } => {
                self.accepted = true;
                self.assembler.set_head(status, headers);
            }
            Part::Data { offset, bytes } => self.on_data(now, offset, bytes, out),
            Part::End {
                total,
                checksum,
                load,
            } => self.on_end(now, total, checksum, load, out),
            Part::Failed { reason } => self.on_failed(reason, out),
            Part::Refused { reason } => self.on_refused(now, reason, out),
        }
    }

    fn on_data(&mut self, now: Moment, offset: u64, bytes: Vec<u8>, out: &mut Outputs) {
        match self.assembler.add_piece(offset, bytes) {
            Piece::Next(bytes) => {
                self.tries = 0;
                self.forward(bytes, out);
            }
            Piece::Repeated => out.push_back(Output::Dropped),
            // Frames were lost on the way, but the agent still keeps them.
            Piece::Gap => {
                out.push_back(Output::Dropped);
                self.retry_call(now, NextCall::Resume, out);
            }
        }
    }

    fn forward(&mut self, bytes: Vec<u8>, out: &mut Outputs) {
        if self.plan.stream {
            self.forward_head(out);
            out.push_back(Output::Data(bytes));
        } else if self.buffer.len() + bytes.len() > self.plan.max_body {
            let target = self.target().cloned();
            out.extend(target.map(Output::Cancel));
            self.fail(Reason::TooLong, Outcome::Ran, out);
        } else {
            self.buffer.extend_from_slice(&bytes);
        }
    }

    fn forward_head(&mut self, out: &mut Outputs) {
        if self.has_forwarded {
            return;
        }
        self.has_forwarded = true;
        if let Some((status, headers)) = self.assembler.head() {
            out.push_back(Output::Head(*status, headers.clone()));
        }
    }

    fn on_end(
        &mut self,
        now: Moment,
        total: u64,
        checksum: u32,
        load: LoadReport,
        out: &mut Outputs,
    ) {
        if self.assembler.head().is_none() {
            return self.retry_call(now, NextCall::Resume, out);
        }
        match self.assembler.finish(total, checksum) {
            BodyCheck::Whole => {
                self.forward_head(out);
                let buffer = std::mem::take(&mut self.buffer);
                if !buffer.is_empty() {
                    out.push_back(Output::Data(buffer));
                }
                out.push_back(Output::End(load));
                self.state = State::Done;
            }
            BodyCheck::Short => self.retry_call(now, NextCall::Resume, out),
            BodyCheck::Corrupt if !self.has_forwarded => {
                // Nothing was sent to the caller yet, so the kept answer is read again from its
                // start.
                self.assembler = Assembler::default();
                self.buffer.clear();
                self.retry_call(now, NextCall::Resume, out);
            }
            BodyCheck::Corrupt => self.fail(Reason::Corrupt, Outcome::Ran, out),
        }
    }

    fn on_failed(&mut self, reason: Failure, out: &mut Outputs) {
        if let (Failure::Died(number), Some(target)) = (reason, self.target()) {
            let agent = target.agent.clone();
            out.push_back(Output::Crashed(Crash { agent, number }));
        }
        self.retry_if_idempotent(Reason::Failed(reason), Outcome::Ran, out);
    }

    fn on_refused(&mut self, now: Moment, reason: RefusalReason, out: &mut Outputs) {
        match reason {
            // The agent process that accepted the attempt is gone, and its ledger with it.
            RefusalReason::Incarnation if self.accepted || self.attached || self.tries > 0 => {
                self.retry_if_idempotent(Reason::Lost, Outcome::Unknown, out);
            }
            // The dispatch may still be under way to the agent, so read again, then settle it.
            RefusalReason::Unknown if self.tries < MAX_TRIES_IDEMPOTENT => {
                self.retry_call(now, NextCall::Resume, out);
            }
            RefusalReason::Unknown => self.call_agent(now, NextCall::Settle, out),
            _ => self.retry_not_run(Reason::Refused(reason), out),
        }
    }

    fn on_lost(&mut self, now: Moment, loss: Loss, out: &mut Outputs) {
        match self.state.clone() {
            State::Reading(_) if loss == Loss::Unsent && self.is_dispatch_link() => {
                self.retry_not_run(Reason::Lost, out);
            }
            State::Reading(_) if self.accepted || self.attached => {
                self.retry_call(now, NextCall::Resume, out);
            }
            State::Reading(_) | State::Settling(_) => {
                self.retry_call(now, NextCall::Settle, out);
            }
            State::Idle
            | State::Choosing
            | State::Claiming(_)
            | State::Pausing(..)
            | State::Done => {}
        }
    }

    /// Whether the current connection is the one that the attempt was dispatched on.
    fn is_dispatch_link(&self) -> bool {
        self.tries == 0 && !self.attached && !self.accepted
    }

    fn on_settled(
        &mut self,
        now: Moment,
        id: &DispatchId,
        settled: AttemptStatus,
        out: &mut Outputs,
    ) {
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
            AttemptStatus::Failed(reason) => self.on_failed(reason, out),
            AttemptStatus::Barred => self.retry_not_run(Reason::Lost, out),
            AttemptStatus::Forgotten | AttemptStatus::Gone => {
                self.retry_if_idempotent(Reason::Lost, Outcome::Unknown, out);
            }
        }
    }

    /// Calls the agent again after a pause, or gives the attempt up.
    fn retry_call(&mut self, now: Moment, next: NextCall, out: &mut Outputs) {
        let Some(target) = self.target().cloned() else {
            return;
        };
        self.tries += 1;
        let elsewhere = self.plan.idempotent && !self.has_forwarded;
        let bound = if elsewhere {
            MAX_TRIES_IDEMPOTENT
        } else {
            MAX_TRIES
        };
        if self.tries > bound {
            let began = self.assembler.head().is_some();
            let outcome = if began {
                Outcome::Ran
            } else {
                Outcome::Unknown
            };
            out.push_back(Output::Cancel(target));
            return self.retry_if_idempotent(Reason::Lost, outcome, out);
        }
        out.push_back(Output::Retire(target.clone()));
        if self.tries == 1 {
            return self.call_agent(now, next, out);
        }
        // Whatever still arrives on the old connection must be ignored.
        self.link += 1;
        self.wait_end = now + RETRY_PAUSE.times(1 << self.tries);
        self.state = State::Pausing(target, next);
    }

    fn call_agent(&mut self, now: Moment, next: NextCall, out: &mut Outputs) {
        let Some(target) = self.target().cloned() else {
            return;
        };
        match next {
            NextCall::Settle => self.settle(now, target, out),
            NextCall::Resume => self.resume(now, target, out),
        }
    }

    fn on_tick(&mut self, now: Moment, out: &mut Outputs) {
        if now < self.wait_end {
            return;
        }
        match self.state.clone() {
            State::Pausing(_, next) => self.call_agent(now, next, out),
            // Beats should have arrived on this connection, so it counts as broken.
            State::Reading(_) | State::Settling(_) => self.on_lost(now, Loss::Broken, out),
            State::Idle | State::Choosing | State::Claiming(_) | State::Done => {}
        }
    }

    /// Handles an attempt that certainly did not run, after which another one is always safe.
    fn retry_not_run(&mut self, reason: Reason, out: &mut Outputs) {
        self.claim_number += 1;
        if self.attempts < self.plan.max_attempts && !self.has_forwarded {
            self.choose(out);
        } else {
            self.fail(reason, Outcome::NotRun, out);
        }
    }

    /// Handles an attempt that ran or may have run, after which another one is safe only for an
    /// idempotent request.
    fn retry_if_idempotent(&mut self, reason: Reason, outcome: Outcome, out: &mut Outputs) {
        let safe = self.plan.idempotent && !self.has_forwarded;
        if safe && self.attempts < self.plan.max_attempts {
            self.worst_outcome = worse(self.worst_outcome, outcome);
            self.choose(out);
        } else {
            self.fail(reason, outcome, out);
        }
    }

    /// Ends the request because its deadline has passed.
    fn on_deadline(&mut self, out: &mut Outputs) {
        let outcome = match &self.state {
            State::Idle | State::Choosing | State::Claiming(_) => Outcome::NotRun,
            _ if self.assembler.head().is_some() => Outcome::Ran,
            _ => Outcome::Unknown,
        };
        self.stop_attempt(out);
        self.fail(Reason::Late, outcome, out);
    }

    fn on_caller_gone(&mut self, out: &mut Outputs) {
        self.stop_attempt(out);
        self.fail(Reason::CallerGone, Outcome::Unknown, out);
    }

    /// Stops the current attempt.
    ///
    /// The caller may send a request with a key again and then wants the answer of this attempt.
    /// Such an attempt goes on, and is barred only if it never arrived.
    fn stop_attempt(&mut self, out: &mut Outputs) {
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
        let outcome = worse(self.worst_outcome, outcome);
        self.state = State::Done;
        self.buffer = Vec::new();
        out.push_back(Output::Fail(Verdict::new(reason, outcome)));
    }
}

/// Returns the worse of two outcomes: a certain run first, then a possible one.
fn worse(a: Outcome, b: Outcome) -> Outcome {
    match (a, b) {
        (Outcome::Ran, _) | (_, Outcome::Ran) => Outcome::Ran,
        (Outcome::Unknown, _) | (_, Outcome::Unknown) => Outcome::Unknown,
        (Outcome::NotRun, Outcome::NotRun) => Outcome::NotRun,
    }
}
