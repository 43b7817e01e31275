//! The shell around one request's decisions: connections, timers and the choice of a server.

use std::collections::VecDeque;
use std::sync::Arc;

use futures_lite::FutureExt;
use serde::Serialize;

use snipemast_core::prelude::*;
use snipemast_requests::plan::Link;
use snipemast_requests::suspicion::SuspicionState;
use snipemast_requests::{
    ClaimKey, ClaimResult, ClaimValue, Crash, Fingerprint, Header, Input, Loss, Output, Outputs,
    Plan, RequestMachine, Target, Verdict,
};
use snipemast_routing::{Prefix, RequestEnd, Wanted};
use snipemast_wire::message::path;
use snipemast_wire::peer::Result as PeerResult;
use snipemast_wire::{
    spawn, Call, Cancel, Dispatch, FrameReader, Peer, PeerError, PeerErrorKind, ResumeFrom, Settle,
    Settlement, Stream,
};

use crate::choose::{choose, Picked};
use crate::keys::ClaimOutcome;
use crate::shared::Shared;

/// What a request asks for.
#[derive(Debug)]
pub struct Order {
    /// The request.
    pub request: RequestId,
    /// The workspace that pays.
    pub workspace: WorkspaceId,
    /// What a backend server must offer.
    pub wanted: Wanted,
    /// The prefix of its prompt.
    pub prefix: Option<Prefix>,
    /// The caller's key.
    pub key: Option<RequestKey>,
    /// The fingerprint of what the caller asked.
    pub fingerprint: Fingerprint,
    /// What to ask the backend server.
    pub call: Call,
}

/// What a request gives to its caller next.
#[derive(Debug)]
pub enum Step {
    /// The head of the answer.
    Head(u16, Vec<Header>),
    /// The next bytes of the body.
    Data(Vec<u8>),
    /// The answer is whole.
    End,
    /// The answer is not whole.
    Failed(Verdict),
}

/// One request that is under way.
#[derive(Debug)]
pub struct Run {
    shared: Arc<Shared>,
    order: Order,
    plan: Plan,
    machine: RequestMachine,
    queue: Outputs,
    reader: Option<(Link, FrameReader<Stream>)>,
    peer: Option<Arc<Peer>>,
    member: Option<Picked>,
    tried: Vec<ProcessId>,
    /// The crash that the request is suspected of, and how often it was claimed for that.
    suspect: Option<(Crash, u64)>,
    timer: smol::Timer,
    armed: Moment,
}

impl Run {
    /// Begins a request.
    pub fn start(shared: Arc<Shared>, plan: Plan, order: Order) -> Self {
        shared.retries.lock().earn();
        let mut run = Self {
            shared,
            order,
            plan,
            machine: RequestMachine::new(plan),
            queue: VecDeque::new(),
            reader: None,
            peer: None,
            member: None,
            tried: Vec::new(),
            suspect: None,
            timer: smol::Timer::never(),
            armed: Moment::NEVER,
        };
        run.feed(Input::Start);
        run
    }

    /// The request.
    pub fn request(&self) -> &RequestId {
        &self.order.request
    }

    /// What the caller gets next.
    pub async fn next(&mut self) -> Step {
        loop {
            while let Some(output) = self.queue.pop_front() {
                if let Some(step) = self.perform(output).await {
                    return step;
                }
            }
            let input = self.wait().await;
            self.feed(input);
        }
    }

    /// The next bytes of the body, where they have come already.
    pub fn ready(&mut self) -> Option<Vec<u8>> {
        if self.queue.is_empty() {
            let (link, reader) = self.reader.as_mut()?;
            let frame = reader.ready().ok()??;
            let input = Input::Frame(*link, frame);
            self.feed(input);
        }
        match self.queue.pop_front()? {
            Output::Data(bytes) => Some(bytes),
            other => {
                self.queue.push_front(other);
                None
            }
        }
    }

    /// Ends the request because its caller left.
    pub fn leave(mut self) {
        self.abandon();
    }

    fn abandon(&mut self) {
        if self.machine.is_done() {
            return;
        }
        self.record(Event::CallerGone, "");
        self.feed(Input::CallerGone);
        while let Some(output) = self.queue.pop_front() {
            match output {
                Output::Cancel(target) => self.cancel(target),
                Output::Bar(target) => self.bar(target),
                _ => {}
            }
        }
        self.hang_up();
    }

    fn feed(&mut self, input: Input) {
        let now = self.shared.clock.now();
        self.machine.handle(now, input, &mut self.queue);
    }

    async fn wait(&mut self) -> Input {
        self.arm();
        let timer = &mut self.timer;
        let tick = async {
            timer.await;
            Input::Tick
        };
        let input = match &mut self.reader {
            Some((link, reader)) => {
                let read = async {
                    match reader.next().await {
                        Ok(frame) => Input::Frame(*link, frame),
                        Err(_) => Input::Lost(*link, Loss::Broken),
                    }
                };
                read.or(tick).await
            }
            None => tick.await,
        };
        match input {
            Input::Tick => self.armed = Moment::NEVER,
            Input::Lost(..) => self.hang_up(),
            _ => {}
        }
        input
    }

    /// Sets the timer where it would ring too late; one that rings early does no harm, and
    /// setting it anew for each frame would cost more than the frame.
    fn arm(&mut self) {
        let wake = self.machine.next_wake();
        if wake < self.armed {
            let left = self.shared.clock.now().until(wake);
            self.timer.set_after(left.as_duration());
            self.armed = wake;
        }
    }

    async fn perform(&mut self, output: Output) -> Option<Step> {
        match output {
            Output::Choose => self.choose().await,
            Output::Claim(target, number) => self.claim(target, number).await,
            Output::Dispatch(link, target) => self.dispatch(link, target).await,
            Output::Settle(link, target) => self.settle(link, target).await,
            Output::Resume(link, target, offset) => self.resume(link, target, offset).await,
            Output::Cancel(target) => self.cancel(target),
            Output::Bar(target) => self.bar(target),
            Output::Retire(target) => {
                self.ended(RequestEnd::Failed);
                self.retire(&target);
            }
            Output::Crashed(crash) => {
                self.ended(RequestEnd::Failed);
                self.record(Event::RequestSuspected, &crash.agent);
                let shared = Arc::clone(&self.shared);
                let fingerprint = self.order.fingerprint;
                shared.keys.crashed(&shared, fingerprint, crash).await;
            }
            Output::Dropped => self.record(Event::FrameDropped, ""),
            Output::Head(status, headers) => {
                self.record(Event::AnswerBegun, status);
                if let Some(member) = &self.member {
                    member.first();
                }
                return Some(Step::Head(status, headers));
            }
            Output::Data(bytes) => {
                if let Some(member) = &self.member {
                    member.moved();
                }
                return Some(Step::Data(bytes));
            }
            Output::End(load) => {
                self.ended(RequestEnd::Answered);
                if let Some(member) = &self.member {
                    member.report(&load);
                }
                let now = self.shared.clock.now();
                self.shared.keys.finished(now, self.order.fingerprint);
                self.record(Event::AnswerDelivered, "");
                self.let_go();
                return Some(Step::End);
            }
            Output::Fail(verdict) => {
                self.hang_up();
                self.let_go();
                return Some(Step::Failed(verdict));
            }
        }
        None
    }

    async fn choose(&mut self) {
        self.hang_up();
        let again = self.machine.attempts() > 0;
        if again && !self.shared.retries.lock().spend() {
            return self.feed(Input::NoServer);
        }
        let Some(member) = self.pick() else {
            return self.feed(Input::NoServer);
        };
        self.let_go();
        let agent = member.announce.agent.clone();
        let event = match again {
            true => Event::RequestRetried,
            false => Event::RequestRouted,
        };
        self.record(event, &member.announce.info.server);
        self.tried.push(agent.clone());
        self.peer = Some(Arc::clone(&member.peer));
        self.member = Some(member);
        let id = self.shared.next_dispatch();
        let target = Target { id, agent };
        let refused = self.admit(&target).await;
        self.feed(refused.unwrap_or(Input::Chosen(target)));
    }

    /// An agent that was not tried yet, or any where all were.
    fn pick(&self) -> Option<Picked> {
        let wanted = &self.order.wanted;
        let fresh = choose(&self.shared, wanted, self.order.prefix, &self.tried);
        fresh
            .or_else(|_| choose(&self.shared, wanted, self.order.prefix, &[]))
            .ok()
    }

    /// Claims the caller's key for an attempt.
    async fn claim(&mut self, target: Target, number: u64) {
        let Some(key) = self.order.key.clone() else {
            return self.feed(Input::Claimed(ClaimResult::Undecided, number));
        };
        let workspace = self.order.workspace.clone();
        let key = ClaimKey::Key { workspace, key };
        let outcome = self.claim_for(key, number, target).await;
        match (&outcome.claimed, &outcome.value) {
            (ClaimResult::Held(_), Some(value)) => {
                self.record(Event::KeyAttached, &value.target.id);
                self.let_go();
                self.peer = Some(Arc::new(Peer::new(value.address)));
            }
            (ClaimResult::Won, _) => self.record(Event::KeyClaimed, outcome.attempt),
            _ => {}
        }
        self.feed(Input::Claimed(outcome.claimed, outcome.attempt));
    }

    async fn claim_for(&self, key: ClaimKey, number: u64, target: Target) -> ClaimOutcome {
        let Some(peer) = &self.peer else {
            return ClaimOutcome {
                claimed: ClaimResult::Undecided,
                value: None,
                attempt: number,
            };
        };
        let value = ClaimValue {
            target,
            address: peer.address(),
            body: self.order.fingerprint,
        };
        let shared = Arc::clone(&self.shared);
        shared.keys.claim(&shared, key, number, value).await
    }

    /// Whether a request may run, as far as crashes of backend servers are concerned.
    ///
    /// Failure guarded against: a request that kills whatever runs it, sent to many entries.
    /// It shows as one server lost after the other. A suspect runs once at a time over the
    /// whole fleet, under a claim for that crash; after the second crash it runs no more.
    async fn admit(&mut self, target: &Target) -> Option<Input> {
        let shared = Arc::clone(&self.shared);
        let fingerprint = self.order.fingerprint;
        let crash = match shared.keys.standing(shared.clock.now(), fingerprint) {
            SuspicionState::Clear => return None,
            SuspicionState::Quarantined => {
                self.record(Event::RequestQuarantined, fingerprint);
                return Some(Input::Quarantined);
            }
            SuspicionState::Suspect(crash) => crash,
        };
        // Another claim for one crash follows only on an attempt that did not crash a server.
        let number = match &self.suspect {
            Some((known, number)) if *known == crash => number + 1,
            Some(_) | None => 1,
        };
        self.suspect = Some((crash.clone(), number));
        if shared.config().keepers.is_empty() {
            return None;
        }
        let key = ClaimKey::Suspect { fingerprint, crash };
        let outcome = self.claim_for(key, number, target.clone()).await;
        (outcome.claimed != ClaimResult::Won).then_some(Input::SuspectRuns)
    }

    async fn dispatch(&mut self, link: Link, target: Target) {
        self.record(Event::RequestDispatched, &target.id);
        let message = Dispatch {
            id: target.id,
            request: self.order.request.clone(),
            agent: target.agent,
            left: self.left(),
            keep: self.keep(),
            workspace: self.order.workspace.clone(),
            idempotent: self.plan.idempotent,
            keyed: self.plan.keyed,
            suspect: self.suspect.is_some(),
            call: self.order.call.clone(),
        };
        let Some(peer) = self.peer.clone() else {
            return self.feed(Input::Lost(link, Loss::Unsent));
        };
        let opened = peer
            .open(path::DISPATCH, &message, self.plan.max_silence)
            .await;
        self.opened(link, opened);
    }

    async fn resume(&mut self, link: Link, target: Target, offset: u64) {
        let message = ResumeFrom {
            id: target.id,
            agent: target.agent,
            offset,
        };
        let Some(peer) = self.peer.clone() else {
            return self.feed(Input::Lost(link, Loss::Unsent));
        };
        let opened = peer
            .open_fresh(path::RESUME, &message, self.plan.max_silence)
            .await;
        if opened.is_ok() {
            self.record(Event::StreamResumed, offset);
        }
        self.opened(link, opened);
    }

    fn opened(&mut self, link: Link, opened: PeerResult<Stream>) {
        match opened {
            Ok(stream) => self.reader = Some((link, FrameReader::new(stream))),
            Err(report) => self.feed(Input::Lost(link, loss(report.current_context()))),
        }
    }

    async fn settle(&mut self, link: Link, target: Target) {
        let message = Settle {
            id: target.id,
            agent: target.agent,
            keep: self.left(),
        };
        let Some(peer) = self.peer.clone() else {
            return self.feed(Input::Lost(link, Loss::Unsent));
        };
        let settlement = peer
            .call_fresh::<_, Settlement>(path::SETTLE, &message, self.plan.max_silence)
            .await;
        match settlement {
            Ok(Settlement { id, settled }) => {
                self.record(Event::AttemptSettled, format_args!("{id} {settled:?}"));
                self.feed(Input::Settled(link, id, settled));
            }
            Err(report) => self.feed(Input::Lost(link, loss(report.current_context()))),
        }
    }

    /// Tells the agent in the background that nobody waits; a word that is lost costs only work.
    fn cancel(&self, target: Target) {
        let message = Cancel {
            id: target.id,
            agent: target.agent,
            keep: self.shared.settings.limits.deadline,
        };
        self.tell(path::CANCEL, message);
    }

    /// Bars an attempt in the background, should it never have arrived.
    fn bar(&self, target: Target) {
        let message = Settle {
            id: target.id,
            agent: target.agent,
            keep: self.shared.settings.limits.deadline,
        };
        self.tell(path::SETTLE, message);
    }

    fn tell<M: Serialize + Send + Sync + 'static>(&self, path: &'static str, message: M) {
        let Some(peer) = self.peer.clone() else {
            return;
        };
        let timeout = self.plan.max_silence;
        spawn(async move {
            // An agent that can't be told finds out by itself that nobody reads.
            let _ = peer
                .call_fresh::<_, Settlement>(path, &message, timeout)
                .await;
        })
        .detach();
    }

    fn retire(&mut self, target: &Target) {
        self.hang_up();
        self.record(Event::ConnectionRetired, &target.agent);
        if let Some(peer) = &self.peer {
            peer.retire();
        }
    }

    /// Closes the connection under the current stream.
    fn hang_up(&mut self) {
        if let Some((_, reader)) = self.reader.take() {
            reader.into_inner().abort();
        }
    }

    /// Tells the choice of servers how the present attempt went.
    fn ended(&mut self, how: RequestEnd) {
        if let Some(member) = &mut self.member {
            member.done(how);
        }
    }

    /// No longer counts the request at its agent.
    fn let_go(&mut self) {
        self.member = None;
    }

    /// How long an agent must remember the request: as long as its key's claim stands.
    fn keep(&self) -> Span {
        match self.plan.keyed {
            true => self.shared.settings.limits.hold,
            false => Span::default(),
        }
    }

    fn left(&self) -> Span {
        self.shared.clock.now().until(self.plan.deadline)
    }

    fn record(&self, event: Event, detail: impl std::fmt::Display) {
        self.shared
            .journal
            .record(event, &self.order.request, detail);
    }
}

impl Drop for Run {
    fn drop(&mut self) {
        self.abandon();
        self.let_go();
    }
}

/// Whether a call surely never reached the other process.
fn loss(error: &PeerError) -> Loss {
    match error.kind {
        PeerErrorKind::Unreachable => Loss::Unsent,
        PeerErrorKind::Broken
        | PeerErrorKind::Timeout
        | PeerErrorKind::Status(_)
        | PeerErrorKind::Malformed => Loss::Broken,
    }
}
