//! The caller, which reads its answer and sends again if the outcome allows it.

use snipemast_core::prelude::*;
use snipemast_requests::{Claimer, RequestMachine, Verdict};

use super::{Step, World};

/// The most sends of one caller.
const SENDS: usize = 3;

/// A message from an entry to its caller.
#[derive(Debug, Clone)]
pub(crate) enum ToCaller {
    Data(Vec<u8>),
    End,
    Failed(Verdict),
}

/// How a send ended for its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum SendResult {
    Whole,
    Failed(Verdict),
    /// The connection to the entry broke, or the caller gave up.
    Cut,
}

/// One send of the caller's request.
pub(crate) struct CallerSend {
    pub(crate) entry: usize,
    pub(crate) machine: RequestMachine,
    pub(crate) claimer: Option<Claimer>,
    pub(crate) ids: Vec<DispatchId>,
    pub(crate) tried: Vec<usize>,
    pub(crate) conn: Option<usize>,
    pub(crate) agent: usize,
    pub(crate) armed: Option<Moment>,
    pub(crate) bytes: Vec<u8>,
    /// Whether the entry's messages no longer reach the caller.
    pub(crate) gone_silent: bool,
    pub(crate) result: Option<SendResult>,
    pub(crate) began: Moment,
    pub(crate) ended: Moment,
}

impl CallerSend {
    pub(crate) fn new(entry: usize, began: Moment, machine: RequestMachine) -> Self {
        Self {
            entry,
            machine,
            claimer: None,
            ids: Vec::new(),
            tried: Vec::new(),
            conn: None,
            agent: 0,
            armed: None,
            bytes: Vec::new(),
            gone_silent: false,
            result: None,
            began,
            ended: Moment::ZERO,
        }
    }
}

impl World {
    pub(crate) fn caller_receives(&mut self, send: usize, message: ToCaller) {
        let entry_dead = self.dead[self.sends[send].entry];
        let CallerSend {
            bytes,
            gone_silent,
            result,
            ..
        } = &mut self.sends[send];
        if *gone_silent || entry_dead || result.is_some() {
            return;
        }
        match message {
            ToCaller::Data(data) => bytes.extend_from_slice(&data),
            ToCaller::End => self.conclude(send, SendResult::Whole),
            ToCaller::Failed(verdict) => self.conclude(send, SendResult::Failed(verdict)),
        }
    }

    pub(crate) fn end_cut_off(&mut self, send: usize) {
        if self.sends[send].result.is_none() {
            self.conclude(send, SendResult::Cut);
        }
    }

    pub(crate) fn caller_gives_up(&mut self, send: usize) {
        if self.sends[send].gone_silent {
            self.end_cut_off(send);
        }
    }

    fn conclude(&mut self, send: usize, result: SendResult) {
        self.sends[send].result = Some(result);
        self.sends[send].ended = self.now;
        if self.sends.len() < SENDS && self.sends_again(result) {
            self.reach_step(Step::Resent, send);
            // A balancer in front of the entries would choose the other entry after a loss.
            self.send(1);
        }
    }

    /// Whether the caller sends again.
    ///
    /// With a key it sends once more even after a whole answer, to get the same answer. Without a
    /// key it sends again if that is safe.
    fn sends_again(&self, result: SendResult) -> bool {
        let first = self.sends.len() == 1;
        match result {
            SendResult::Whole => first && self.kind.keyed,
            SendResult::Failed(verdict) if verdict.outcome == Outcome::NotRun => true,
            SendResult::Failed(_) | SendResult::Cut => self.kind.idempotent || self.kind.keyed,
        }
    }
}
