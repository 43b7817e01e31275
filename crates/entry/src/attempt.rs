//! Drives the state machine of one request.
//!
//! The [`RequestDriver`] opens connections, sets timers, chooses servers and claims keys as the
//! [`RequestMachine`] asks, and feeds the results back to it.

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

/// The content of a request.
#[derive(Debug)]
pub struct RequestSpec {
    /// The id of the request.
    pub request: RequestId,
    /// The workspace that the request is charged to.
    pub workspace: WorkspaceId,
    /// The offer that a backend server must have.
    pub wanted: Wanted,
    /// The prefix of the prompt.
    pub prefix: Option<Prefix>,
    /// The caller's idempotency key.
    pub key: Option<RequestKey>,
    /// The fingerprint of the caller's request.
    pub fingerprint: Fingerprint,
    /// The call to the backend server.
    pub call: Call,
}

/// The next part of a request's answer to its caller.
#[derive(Debug)]
pub enum Step {
    /// The head of the answer.
    Head(u16, Vec<Header>),
    /// The next bytes of the body.
    Data(Vec<u8>),
    /// The answer is complete.
    End,
    /// The answer is incomplete, for the given reason.
    Failed(Verdict),
}

/// Performs one request from its start to the end of its answer.
#[derive(Debug)]
pub struct RequestDriver {
    shared: Arc<Shared>,
    spec: RequestSpec,
    plan: Plan,
    machine: RequestMachine,
    outputs: Outputs,
    reader: Option<(Link, FrameReader<Stream>)>,
    peer: Option<Arc<Peer>>,
    picked: Option<Picked>,
    tried: Vec<ProcessId>,
    /// The crash that the request is suspected of, and the number of its last claim for it.
    suspect: Option<(Crash, u64)>,
    timer: smol::Timer,
    /// The time at which `timer` is set to fire.
    timer_due: Moment,
}

impl RequestDriver {
    /// Starts a request.
    pub fn start(shared: Arc<Shared>, plan: Plan, spec: RequestSpec) -> Self {
        shared.retries.lock().earn();
        let mut driver = Self {
            shared,
            spec,
            plan,
            machine: RequestMachine::new(plan),
            outputs: VecDeque::new(),
            reader: None,
            peer: None,
            picked: None,
            tried: Vec::new(),
            suspect: None,
            timer: smol::Timer::never(),
            timer_due: Moment::NEVER,
        };
        driver.feed(Input::Start);
        driver
    }

    /// Returns the id of the request.
    pub fn request(&self) -> &RequestId {
        &self.spec.request
    }

    /// Waits for the next part of the answer.
    pub async fn next(&mut self) -> Step {
        loop {
            while let Some(output) = self.outputs.pop_front() {
                if let Some(step) = self.perform(output).await {
                    return step;
                }
            }
            let input = self.wait().await;
            self.feed(input);
        }
    }

    /// Returns the next bytes of the body, if they have already arrived.
    pub fn next_ready(&mut self) -> Option<Vec<u8>> {
        if self.outputs.is_empty() {
            let (link, reader) = self.reader.as_mut()?;
            let frame = reader.try_next().ok()??;
            let input = Input::Frame(*link, frame);
            self.feed(input);
        }
        match self.outputs.pop_front()? {
            Output::Data(bytes) => Some(bytes),
            other => {
                self.outputs.push_front(other);
                None
            }
        }
    }

    /// Ends the request because its caller disconnected, and cancels its attempts.
    pub fn abort(mut self) {
        self.abandon();
    }

    /// Cancels or bars all attempts, unless the request has ended.
    fn abandon(&mut self) {
        if self.machine.is_done() {
            return;
        }
        self.record(Event::CallerGone, "");
        self.feed(Input::CallerGone);
        while let Some(output) = self.outputs.pop_front() {
            match output {
                Output::Cancel(target) => self.cancel(target),
                Output::Bar(target) => self.bar(target),
                _ => {}
            }
        }
        self.close_stream();
    }

    /// Passes an input to the state machine, and collects its outputs.
    fn feed(&mut self, input: Input) {
        let now = self.shared.clock.now();
        self.machine.handle(now, input, &mut self.outputs);
    }

    /// Waits for the next frame of the current stream, or for the timer.
    async fn wait(&mut self) -> Input {
        self.arm_timer();
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
            Input::Tick => self.timer_due = Moment::NEVER,
            Input::Lost(..) => self.close_stream(),
            _ => {}
        }
        input
    }

    /// Sets the timer if it would otherwise fire too late.
    ///
    /// A timer that fires early is harmless, and setting it again for each frame would cost more
    /// than the frame.
    fn arm_timer(&mut self) {
        let wake = self.machine.next_wake();
        if wake < self.timer_due {
            let left = self.shared.clock.now().until(wake);
            self.timer.set_after(left.as_duration());
            self.timer_due = wake;
        }
    }

    /// Performs one output, and returns the part of the answer that it has for the caller.
    async fn perform(&mut self, output: Output) -> Option<Step> {
        match output {
            Output::Choose => self.choose_server().await,
            Output::Claim(target, number) => self.claim_key(target, number).await,
            Output::Dispatch(link, target) => self.dispatch(link, target).await,
            Output::Settle(link, target) => self.settle(link, target).await,
            Output::Resume(link, target, offset) => self.resume(link, target, offset).await,
            Output::Cancel(target) => self.cancel(target),
            Output::Bar(target) => self.bar(target),
            Output::Retire(target) => {
                self.record_end(RequestEnd::Failed);
                self.retire(&target);
            }
            Output::Crashed(crash) => {
                self.record_end(RequestEnd::Failed);
                self.record(Event::RequestSuspected, &crash.agent);
                let shared = Arc::clone(&self.shared);
                let fingerprint = self.spec.fingerprint;
                shared.keys.record_crash(&shared, fingerprint, crash).await;
            }
            Output::Dropped => self.record(Event::FrameDropped, ""),
            Output::Head(status, headers) => {
                self.record(Event::AnswerBegun, status);
                if let Some(picked) = &self.picked {
                    picked.record_first();
                }
                return Some(Step::Head(status, headers));
            }
            Output::Data(bytes) => {
                if let Some(picked) = &self.picked {
                    picked.record_progress();
                }
                return Some(Step::Data(bytes));
            }
            Output::End(load) => {
                self.record_end(RequestEnd::Answered);
                if let Some(picked) = &self.picked {
                    picked.report(&load);
                }
                let now = self.shared.clock.now();
                self.shared
                    .keys
                    .record_completion(now, self.spec.fingerprint);
                self.record(Event::AnswerDelivered, "");
                self.release_server();
                return Some(Step::End);
            }
            Output::Fail(verdict) => {
                self.close_stream();
                self.release_server();
                return Some(Step::Failed(verdict));
            }
        }
        None
    }

    /// Chooses a server for the next attempt, if the retry budget allows one.
    async fn choose_server(&mut self) {
        self.close_stream();
        let is_retry = self.machine.attempts() > 0;
        if is_retry && !self.shared.retries.lock().spend() {
            return self.feed(Input::NoServer);
        }
        let Some(picked) = self.pick_server() else {
            return self.feed(Input::NoServer);
        };
        self.release_server();
        let agent = picked.announce.agent.clone();
        let event = match is_retry {
            true => Event::RequestRetried,
            false => Event::RequestRouted,
        };
        self.record(event, &picked.announce.info.server);
        self.tried.push(agent.clone());
        self.peer = Some(Arc::clone(&picked.peer));
        self.picked = Some(picked);
        let id = self.shared.next_dispatch();
        let target = Target { id, agent };
        let obstacle = self.check_suspicion(&target).await;
        self.feed(obstacle.unwrap_or(Input::Chosen(target)));
    }

    /// Picks an agent that was not tried yet, or any agent once all were tried.
    fn pick_server(&self) -> Option<Picked> {
        let wanted = &self.spec.wanted;
        let untried = choose(&self.shared, wanted, self.spec.prefix, &self.tried);
        untried
            .or_else(|_| choose(&self.shared, wanted, self.spec.prefix, &[]))
            .ok()
    }

    /// Claims the caller's key for an attempt and feeds the result back.
    async fn claim_key(&mut self, target: Target, number: u64) {
        let Some(key) = self.spec.key.clone() else {
            return self.feed(Input::Claimed(ClaimResult::Undecided, number));
        };
        let workspace = self.spec.workspace.clone();
        let key = ClaimKey::Key { workspace, key };
        let outcome = self.send_claim(key, number, target).await;
        match (&outcome.claimed, &outcome.value) {
            (ClaimResult::Held(_), Some(value)) => {
                self.record(Event::KeyAttached, &value.target.id);
                self.release_server();
                self.peer = Some(Arc::new(Peer::new(value.address)));
            }
            (ClaimResult::Won, _) => self.record(Event::KeyClaimed, outcome.attempt),
            _ => {}
        }
        self.feed(Input::Claimed(outcome.claimed, outcome.attempt));
    }

    /// Claims a key for an attempt at its keepers.
    async fn send_claim(&self, key: ClaimKey, number: u64, target: Target) -> ClaimOutcome {
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
            body: self.spec.fingerprint,
        };
        let shared = Arc::clone(&self.shared);
        shared.keys.claim(&shared, key, number, value).await
    }

    /// Returns the input that stops a request suspected of crashing backend servers, if it may
    /// not run now.
    ///
    /// Failure guarded against: a request that crashes every server that runs it is sent to many
    /// entries, and one server is lost after the other. A suspected request runs once at a time
    /// in the whole fleet, under a claim for that crash. After the second crash it no longer runs.
    async fn check_suspicion(&mut self, target: &Target) -> Option<Input> {
        let shared = Arc::clone(&self.shared);
        let fingerprint = self.spec.fingerprint;
        let crash = match shared.keys.suspicion_state(shared.clock.now(), fingerprint) {
            SuspicionState::Clear => return None,
            SuspicionState::Quarantined => {
                self.record(Event::RequestQuarantined, fingerprint);
                return Some(Input::Quarantined);
            }
            SuspicionState::Suspect(crash) => crash,
        };
        // A second claim for the same crash follows only an attempt that crashed no server.
        let number = match &self.suspect {
            Some((known, number)) if *known == crash => number + 1,
            Some(_) | None => 1,
        };
        self.suspect = Some((crash.clone(), number));
        if shared.config().keepers.is_empty() {
            return None;
        }
        let key = ClaimKey::Suspect { fingerprint, crash };
        let outcome = self.send_claim(key, number, target.clone()).await;
        (outcome.claimed != ClaimResult::Won).then_some(Input::SuspectRuns)
    }

    /// Opens the stream of a new attempt.
    async fn dispatch(&mut self, link: Link, target: Target) {
        self.record(Event::RequestDispatched, &target.id);
        let message = Dispatch {
            id: target.id,
            request: self.spec.request.clone(),
            agent: target.agent,
            left: self.time_left(),
            keep: self.retention(),
            workspace: self.spec.workspace.clone(),
            idempotent: self.plan.idempotent,
            keyed: self.plan.keyed,
            suspect: self.suspect.is_some(),
            call: self.spec.call.clone(),
        };
        let Some(peer) = self.peer.clone() else {
            return self.feed(Input::Lost(link, Loss::Unsent));
        };
        let opened = peer
            .open(path::DISPATCH, &message, self.plan.max_silence)
            .await;
        self.handle_opened(link, opened);
    }

    /// Reopens the stream of an attempt from an offset of its answer.
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
        self.handle_opened(link, opened);
    }

    fn handle_opened(&mut self, link: Link, opened: PeerResult<Stream>) {
        match opened {
            Ok(stream) => self.reader = Some((link, FrameReader::new(stream))),
            Err(report) => self.feed(Input::Lost(link, classify_loss(report.current_context()))),
        }
    }

    /// Asks the agent how an attempt ended, and bars it if it has not arrived.
    async fn settle(&mut self, link: Link, target: Target) {
        let message = Settle {
            id: target.id,
            agent: target.agent,
            keep: self.time_left(),
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
            Err(report) => self.feed(Input::Lost(link, classify_loss(report.current_context()))),
        }
    }

    /// Tells the agent in the background that nobody waits for the answer.
    ///
    /// If the message is lost, the only cost is unneeded work.
    fn cancel(&self, target: Target) {
        let message = Cancel {
            id: target.id,
            agent: target.agent,
            keep: self.shared.settings.limits.deadline,
        };
        self.notify_agent(path::CANCEL, message);
    }

    /// Bars an attempt in the background, in case it has not arrived yet.
    fn bar(&self, target: Target) {
        let message = Settle {
            id: target.id,
            agent: target.agent,
            keep: self.shared.settings.limits.deadline,
        };
        self.notify_agent(path::SETTLE, message);
    }

    /// Sends a message to the current agent in the background.
    fn notify_agent<M: Serialize + Send + Sync + 'static>(&self, path: &'static str, message: M) {
        let Some(peer) = self.peer.clone() else {
            return;
        };
        let timeout = self.plan.max_silence;
        spawn(async move {
            // An agent that the message doesn't reach notices by itself that nobody reads.
            let _ = peer
                .call_fresh::<_, Settlement>(path, &message, timeout)
                .await;
        })
        .detach();
    }

    /// Closes the current stream, and drops all pooled connections to the agent.
    fn retire(&mut self, target: &Target) {
        self.close_stream();
        self.record(Event::ConnectionRetired, &target.agent);
        if let Some(peer) = &self.peer {
            peer.retire();
        }
    }

    /// Closes the connection of the current stream.
    fn close_stream(&mut self) {
        if let Some((_, reader)) = self.reader.take() {
            reader.into_inner().abort();
        }
    }

    /// Reports to the chooser how the current attempt ended.
    fn record_end(&mut self, end: RequestEnd) {
        if let Some(picked) = &mut self.picked {
            picked.set_end(end);
        }
    }

    /// Stops counting the request as in flight at its agent.
    fn release_server(&mut self) {
        self.picked = None;
    }

    /// Returns how long an agent must remember the request, which is as long as its key's claim is held.
    fn retention(&self) -> Span {
        match self.plan.keyed {
            true => self.shared.settings.limits.hold,
            false => Span::default(),
        }
    }

    fn time_left(&self) -> Span {
        self.shared.clock.now().until(self.plan.deadline)
    }

    fn record(&self, event: Event, detail: impl std::fmt::Display) {
        self.shared
            .journal
            .record(event, &self.spec.request, detail);
    }
}

impl Drop for RequestDriver {
    fn drop(&mut self) {
        self.abandon();
        self.release_server();
    }
}

/// Classifies a failed call by whether it certainly did not reach the other process.
fn classify_loss(error: &PeerError) -> Loss {
    match error.kind {
        PeerErrorKind::Unreachable => Loss::Unsent,
        PeerErrorKind::Broken
        | PeerErrorKind::Timeout
        | PeerErrorKind::Status(_)
        | PeerErrorKind::Malformed => Loss::Broken,
    }
}
