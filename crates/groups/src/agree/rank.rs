//! The state machine of a rank's agent: it loads weights, promises, permits steps, and starts a
//! lead where no verdict comes.

use snipemast_core::data;
use snipemast_core::prelude::*;

use super::evidence::{Evidence, OpenAttempt};
use super::message::{
    ActiveMap, Attempt, Decided, LeadMessage, LeadTerm, Origin, PeerMessage, Permit, RankMessage,
    Refusal, Report, SharedMap, Verdict,
};

data! {
    /// The status that a rank's engine reports.
    #[derive(Hash)]
    pub struct EngineStatus {
        /// The incarnation of the group that it steps in.
        pub incarnation: GroupIncarnation,
        /// The step that it is in or is waiting to enter.
        pub step: Step,
        /// The step after the last one that it has a permit for, without a gap before it.
        pub end: Step,
        /// The map of the last step that it entered.
        #[serde(rename = "shown")]
        pub last_map: Option<ActiveMap>,
    }

    /// A timer of a rank.
    #[derive(Copy, Hash, PartialOrd, Ord)]
    pub enum Timer {
        /// No verdict has come in time.
        #[serde(rename = "Patience")]
        VerdictTimeout,
    }
}

/// An input of a rank's state machine.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum RankInput {
    /// The agent has started.
    Begin,
    /// The control role asks this agent to lead.
    Appointed,
    /// A lead's message.
    Lead(LeadMessage),
    /// Another rank's message.
    Peer {
        /// The rank.
        from: u32,
        /// Its message.
        message: PeerMessage,
    },
    /// The engine has reported its status.
    Engine(EngineStatus),
    /// The engine has died, and its permits and weights are gone.
    EngineLost,
    /// The weights of a map are loaded.
    Loaded(MapVersion),
    /// The weights of a map could not be loaded.
    LoadFailed(MapVersion),
    /// The agent has learnt a fencing number: either a majority of the control role knows it, or
    /// every lease that could contradict it has run out.
    FenceLearnt(Fence),
    /// A timer has fired.
    Fired(Timer),
}

/// An action that a rank's state machine asks for.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum RankOutput {
    /// Send a message to the lead of a term.
    ToLead(LeadTerm, RankMessage),
    /// Send a message to another rank.
    ToRank(u32, PeerMessage),
    /// Pass a permit to the engine.
    Permit(Permit),
    /// Load the weights of a map, ahead of any switch.
    LoadWeights(MapVersion, SharedMap),
    /// The weights of a map are not needed now: cancel the load, or keep them for the next one.
    DropWeights(MapVersion),
    /// The engine has passed the switch to this map: free the weights that the map evicts.
    Evict(MapVersion),
    /// Start a timer, replacing a running one of the same kind.
    Arm(Timer),
    /// Start a lead for this term.
    StartLead(LeadTerm),
    /// Record an event for the timeline.
    Event(Event, MapVersion),
}

/// A map and the first step that uses it.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Segment {
    from: Step,
    active: ActiveMap,
}

/// The map whose weights are being loaded or are loaded.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Loading {
    version: MapVersion,
    map: SharedMap,
    ready: bool,
}

/// The state machine of one rank's agent.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct RankAgent {
    number: u32,
    ranks: u32,
    start: Incarnation,
    window: u64,
    fence: Option<Fence>,
    term: LeadTerm,
    /// The maps in use, the oldest first; empty until the agent joins an incarnation.
    segments: Vec<Segment>,
    /// The promised attempt that has no verdict yet.
    open: Option<OpenAttempt>,
    /// The promised start of an incarnation that has no verdict yet.
    forming: Option<OpenAttempt>,
    last: Option<Decided>,
    loading: Option<Loading>,
    /// The highest map version that the agent has seen.
    heard: MapVersion,
    /// The step after the last permitted one.
    permitted: Step,
    /// The step after the last one that a promised start may have permitted.
    start_limit: Step,
    engine: Option<EngineStatus>,
    engine_lost: bool,
    /// Whether the other ranks were asked for the pending verdict.
    peers_asked: bool,
}

impl RankAgent {
    /// Creates the state of an agent that has just started and remembers nothing.
    pub fn new(number: u32, ranks: u32, start: Incarnation, window: u64) -> Self {
        Self {
            number,
            ranks,
            start,
            window,
            fence: None,
            term: LeadTerm::default(),
            segments: Vec::new(),
            open: None,
            forming: None,
            last: None,
            loading: None,
            heard: MapVersion::new(0),
            permitted: Step::new(0),
            start_limit: Step::new(0),
            engine: None,
            engine_lost: false,
            peers_asked: false,
        }
    }

    /// Sets the fencing number that is known from the start.
    #[must_use]
    pub fn with_fence(mut self, fence: Fence) -> Self {
        self.fence = Some(fence);
        self
    }

    /// Handles an input and returns the actions that follow from it.
    pub fn handle(&mut self, input: RankInput) -> Vec<RankOutput> {
        let mut out = Vec::new();
        match input {
            RankInput::Begin => out.push(RankOutput::Arm(Timer::VerdictTimeout)),
            RankInput::Appointed => self.start_lead(&mut out),
            RankInput::Lead(message) => self.handle_lead_message(message, &mut out),
            RankInput::Peer { from, message } => self.handle_peer_message(from, message, &mut out),
            RankInput::Engine(status) => self.handle_status(status, &mut out),
            RankInput::EngineLost => self.handle_engine_loss(&mut out),
            RankInput::Loaded(version) => self.handle_loaded(version, &mut out),
            RankInput::LoadFailed(version) => self.handle_load_failure(version, &mut out),
            RankInput::FenceLearnt(fence) => self.fence = self.fence.max(Some(fence)),
            RankInput::Fired(Timer::VerdictTimeout) => self.handle_verdict_timeout(&mut out),
        }
        out
    }

    /// Returns the term that this rank obeys.
    pub fn term(&self) -> LeadTerm {
        self.term
    }

    /// Returns the map that was committed last.
    pub fn active_map(&self) -> Option<&ActiveMap> {
        self.segments.last().map(|s| &s.active)
    }

    /// Returns the promised attempt that has no verdict yet.
    pub fn pending(&self) -> Option<Attempt> {
        let waits = self.forming.as_ref().or(self.open.as_ref());
        waits.map(|o| o.attempt)
    }

    /// Whether the rank waits for a verdict or for a new incarnation.
    pub fn is_waiting(&self) -> bool {
        !self.is_stepping() || self.open.is_some()
    }

    /// Whether permits are issued, because the incarnation that this rank obeys has started.
    pub fn is_stepping(&self) -> bool {
        let joined = self.active_map().map(|s| s.incarnation);
        !self.engine_lost && joined == Some(self.term.incarnation)
    }

    fn handle_lead_message(&mut self, message: LeadMessage, out: &mut Vec<RankOutput>) {
        let term = message.term();
        if let Err(refusal) = self.check_message(&message) {
            out.push(RankOutput::ToLead(term, RankMessage::Refused { refusal }));
            return;
        }
        match message {
            LeadMessage::Ask { term } => self.report(term, out),
            LeadMessage::Load { version, map, .. } => self.load(version, map, out),
            LeadMessage::Prepare { attempt } => self.prepare(attempt, out),
            LeadMessage::Decide { term, decided } => {
                self.apply_verdict(decided, out);
                let attempt = decided.attempt;
                out.push(RankOutput::ToLead(term, RankMessage::Settled { attempt }));
            }
        }
    }

    /// Checks whether a message of a lead is to be obeyed.
    ///
    /// Failures guarded against:
    ///
    /// - A lead that was cut off comes back and decides differently from a later lead, and ranks
    ///   step with two maps. Lower terms are refused.
    /// - An agent that has lost its promises is treated as if it kept them. Only a term that has
    ///   asked it for a report may order anything.
    /// - A control host comes back with an old fencing number and undoes later orders. Lower
    ///   numbers are refused before any engine sees them, even where the engine would not check.
    fn check_message(&mut self, message: &LeadMessage) -> Result<(), Refusal> {
        let term = message.term();
        if term < self.term {
            return Err(Refusal::Outranked(self.term));
        }
        if matches!(message, LeadMessage::Ask { .. }) {
            return Ok(());
        }
        if term > self.term {
            return Err(Refusal::Unasked(term));
        }
        if let LeadMessage::Load {
            origin: Origin::Control(fence),
            ..
        } = message
        {
            self.check_fence(*fence)?;
        }
        Ok(())
    }

    fn check_fence(&mut self, fence: Fence) -> Result<(), Refusal> {
        match self.fence {
            None => Err(Refusal::Unfenced),
            Some(seen) if fence < seen => Err(Refusal::Stale(seen)),
            Some(_) => {
                self.fence = Some(fence);
                Ok(())
            }
        }
    }

    /// Obeys a term from now on and sends a report. A term of a later incarnation stops all
    /// permits.
    fn report(&mut self, term: LeadTerm, out: &mut Vec<RankOutput>) {
        // An agent that has restarted knows only from its engine which steps may be permitted, so
        // it can't report before it has the engine's status.
        let Some(engine) = &self.engine else { return };
        if term > self.term {
            self.term = term;
            self.peers_asked = false;
        }
        let evidence = Evidence {
            remembers: !self.segments.is_empty(),
            active: self
                .active_map()
                .cloned()
                .or_else(|| engine.last_map.clone()),
            open: self.open.clone(),
            last: self.last,
        };
        let reported = evidence.active.as_ref().map(|a| a.version);
        let report = Report {
            term,
            permitted: self.permit_limit(engine.step),
            heard: self.heard.max(reported.unwrap_or_default()),
            evidence,
        };
        let report = RankMessage::Report(Box::new(report));
        out.push(RankOutput::ToLead(term, report));
        if self.is_waiting() {
            out.push(RankOutput::Arm(Timer::VerdictTimeout));
        }
    }

    /// Returns the step after the last one that the engine may ever have been permitted.
    ///
    /// Failure guarded against: an agent restarts while a permit that it issued before is still on
    /// its way to the engine, and the new incarnation of the group starts below that permit, so a
    /// step runs with two maps. A permit never reaches further than a window past the engine's
    /// step.
    fn permit_limit(&self, step: Step) -> Step {
        let ahead = Step::new(step.get() + 1 + self.window);
        ahead.max(self.start_limit).max(self.permitted)
    }

    fn load(&mut self, version: MapVersion, map: SharedMap, out: &mut Vec<RankOutput>) {
        if self.is_decided(version) {
            return;
        }
        self.heard = self.heard.max(version);
        let ready = self.has_weights(&map);
        let known = self.loading.as_ref().is_some_and(|l| l.map == map);
        if let Some(old) = self.loading.take().filter(|_| !known) {
            out.push(RankOutput::DropWeights(old.version));
        }
        if ready {
            out.push(self.loaded_message(version));
        } else {
            out.push(RankOutput::LoadWeights(version, map.clone()));
        }
        self.loading = Some(Loading {
            version,
            map,
            ready,
        });
    }

    /// Whether the engine already holds the weights of a map, either from an aborted attempt or
    /// because the map was in force before the group formed again.
    fn has_weights(&self, map: &SharedMap) -> bool {
        let loaded = self.loading.iter().any(|l| l.ready && l.map == *map);
        let active = self.active_map().is_some_and(|a| a.map == *map);
        let stepped = self.engine.as_ref().and_then(|e| e.last_map.as_ref());
        loaded || (!self.engine_lost && (active || stepped.is_some_and(|s| s.map == *map)))
    }

    fn handle_loaded(&mut self, version: MapVersion, out: &mut Vec<RankOutput>) {
        let Some(loading) = self.loading.as_mut().filter(|l| l.version == version) else {
            return;
        };
        loading.ready = true;
        out.push(self.loaded_message(version));
    }

    /// Returns the message that the weights of a map are loaded.
    fn loaded_message(&self, version: MapVersion) -> RankOutput {
        let permitted = self.permitted.max(self.start_limit);
        RankOutput::ToLead(self.term, RankMessage::Loaded { version, permitted })
    }

    fn handle_load_failure(&mut self, version: MapVersion, out: &mut Vec<RankOutput>) {
        if self.loading.as_ref().is_some_and(|l| l.version == version) {
            self.loading = None;
            let refusal = Refusal::Unloaded(version);
            out.push(RankOutput::ToLead(
                self.term,
                RankMessage::Refused { refusal },
            ));
        }
    }

    /// Answers a request to permit no step from the switch on without a verdict.
    fn prepare(&mut self, attempt: Attempt, out: &mut Vec<RankOutput>) {
        if self.is_settled(attempt) {
            return;
        }
        let answer = match self.promise(attempt) {
            Ok(()) => RankMessage::Promised { attempt },
            Err(refusal) => RankMessage::Refused { refusal },
        };
        if matches!(answer, RankMessage::Promised { .. }) {
            out.push(RankOutput::Event(Event::MapPromised, attempt.version));
            out.push(RankOutput::Arm(Timer::VerdictTimeout));
        }
        out.push(RankOutput::ToLead(attempt.term, answer));
    }

    fn promise(&mut self, attempt: Attempt) -> Result<(), Refusal> {
        if self.pending() == Some(attempt) {
            return Ok(());
        }
        let map = self
            .loading
            .as_ref()
            .filter(|l| l.ready && l.version == attempt.version)
            .map(|l| l.map.clone())
            .ok_or(Refusal::Unloaded(attempt.version))?;
        let open = OpenAttempt { attempt, map };
        if !self.is_stepping() {
            return self.promise_start(open);
        }
        if let Some(open) = &self.open {
            return Err(Refusal::Busy(open.attempt));
        }
        // Failure guarded against: the request arrives late, and this engine may already enter the
        // switch with the old map while others enter it with the new one.
        if attempt.switch < self.permitted {
            return Err(Refusal::Late(attempt));
        }
        self.open = Some(open);
        Ok(())
    }

    /// Promises to start a new incarnation only by verdict. What is known of the last one is kept
    /// until then, because the next lead needs it if this start fails too.
    fn promise_start(&mut self, open: OpenAttempt) -> Result<(), Refusal> {
        let step = self.engine.as_ref().map_or(Step::new(0), |e| e.step);
        let own = open.attempt.term == self.term;
        if !own || open.attempt.switch < self.permit_limit(step) {
            return Err(Refusal::Late(open.attempt));
        }
        self.start_limit = Step::new(open.attempt.switch.get() + self.window);
        self.forming = Some(open);
        Ok(())
    }

    /// Applies a verdict; a repeated one has no effect.
    fn apply_verdict(&mut self, decided: Decided, out: &mut Vec<RankOutput>) {
        let Decided { attempt, verdict } = decided;
        if self.is_settled(attempt) {
            return;
        }
        let open = self.open.take_if(|o| o.attempt == attempt);
        let forming = self.forming.take_if(|o| o.attempt == attempt);
        self.last = Some(decided);
        self.peers_asked = false;
        match (verdict, open, forming) {
            (Verdict::Commit, Some(open), _) => self.commit(open, out),
            (Verdict::Commit, None, Some(forming)) => self.start_incarnation(forming, out),
            (Verdict::Commit, None, None) => {}
            (Verdict::Abort, ..) => self.abort(attempt, out),
        }
        self.issue_permits(out);
    }

    /// Commits an attempt: steps from its switch on use its map.
    fn commit(&mut self, open: OpenAttempt, out: &mut Vec<RankOutput>) {
        let OpenAttempt { attempt, map } = open;
        let active = ActiveMap {
            incarnation: self.term.incarnation,
            version: attempt.version,
            map,
        };
        let from = attempt.switch;
        self.segments.push(Segment { from, active });
        out.push(RankOutput::Event(Event::MapCommitted, attempt.version));
    }

    /// Starts a new incarnation of the group with the map of a committed attempt.
    fn start_incarnation(&mut self, forming: OpenAttempt, out: &mut Vec<RankOutput>) {
        self.segments.clear();
        self.open = None;
        self.engine_lost = false;
        self.permitted = forming.attempt.switch;
        out.push(RankOutput::Event(
            Event::GroupRestarted,
            forming.attempt.version,
        ));
        self.commit(forming, out);
    }

    fn abort(&mut self, attempt: Attempt, out: &mut Vec<RankOutput>) {
        out.push(RankOutput::Event(Event::MapAborted, attempt.version));
        // Loaded weights are kept until another map is loaded, because the next attempt often
        // needs the same ones.
        let unready = self.loading.take_if(|l| !l.ready);
        out.extend(unready.map(|l| RankOutput::DropWeights(l.version)));
    }

    /// Issues the permits that the engine lacks, as far as the window and the promise allow.
    fn issue_permits(&mut self, out: &mut Vec<RankOutput>) {
        let Some(engine) = self.engine.as_ref().filter(|_| self.is_stepping()) else {
            return;
        };
        let incarnation = self.term.incarnation;
        let joined = engine.incarnation == incarnation;
        let first = self.segments[0].from;
        let (step, known) = if joined {
            (engine.step, engine.end)
        } else {
            (first, first)
        };
        let ahead = Step::new(step.get() + 1 + self.window);
        let switch = self.open.as_ref().map(|o| o.attempt.switch);
        let limit = switch.map_or(ahead, |s| ahead.min(s)).max(self.permitted);
        let mut from = known;
        for (n, segment) in self.segments.iter().enumerate() {
            let end = self
                .segments
                .get(n + 1)
                .map_or(limit, |s| s.from.min(limit));
            if from < end {
                out.push(RankOutput::Permit(Permit {
                    incarnation,
                    from,
                    to: end,
                    version: segment.active.version,
                }));
                from = end;
            }
        }
        self.permitted = limit;
    }

    fn handle_status(&mut self, status: EngineStatus, out: &mut Vec<RankOutput>) {
        // Status messages may arrive out of order; a step never decreases.
        let late = self.engine.as_ref().is_some_and(|e| {
            (status.incarnation, status.step, status.end) < (e.incarnation, e.step, e.end)
        });
        if late && !self.engine_lost {
            return;
        }
        if self.is_held_at(status.step) {
            let version = self.pending().map(|a| a.version).unwrap_or_default();
            out.push(RankOutput::Event(Event::GroupHeld, version));
        }
        let step = status.step;
        self.engine = Some(status);
        self.drop_passed(step, out);
        self.issue_permits(out);
    }

    /// Whether the engine has reached the switch of an attempt that has no verdict.
    fn is_held_at(&self, step: Step) -> bool {
        let before = self.engine.as_ref().map(|e| e.step);
        let switch = self.open.as_ref().map(|o| o.attempt.switch);
        switch.is_some_and(|s| s <= step) && before < switch
    }

    /// Drops the maps of steps that the engine has passed.
    fn drop_passed(&mut self, step: Step, out: &mut Vec<RankOutput>) {
        let passed = |next: Option<&Segment>| next.is_some_and(|s| s.from < step);
        while self.is_stepping() && passed(self.segments.get(1)) {
            self.segments.remove(0);
            out.push(RankOutput::Evict(self.segments[0].active.version));
        }
    }

    fn handle_engine_loss(&mut self, out: &mut Vec<RankOutput>) {
        self.engine_lost = true;
        self.loading = None;
        self.engine = None;
        self.start_lead(out);
    }

    fn handle_peer_message(&mut self, from: u32, message: PeerMessage, out: &mut Vec<RankOutput>) {
        match message {
            PeerMessage::Query(attempt) => {
                let known = self.last.filter(|d| d.attempt == attempt);
                out.extend(known.map(|d| RankOutput::ToRank(from, PeerMessage::Answer(d))));
            }
            PeerMessage::Answer(decided) => {
                // Failure guarded against: a rank that has reported to the lead of a later
                // incarnation applies a verdict that this lead does not know of.
                let same = decided.attempt.term.incarnation == self.term.incarnation;
                if same && self.pending() == Some(decided.attempt) {
                    self.apply_verdict(decided, out);
                }
            }
        }
    }

    /// Asks the other ranks for the verdict first and starts a lead the second time. A dead lead
    /// or a lost message therefore can't hold the group forever.
    fn handle_verdict_timeout(&mut self, out: &mut Vec<RankOutput>) {
        if !self.is_waiting() {
            return;
        }
        let pending = self.pending().filter(|_| !self.peers_asked);
        if let Some(attempt) = pending {
            let others = (0..self.ranks).filter(|r| *r != self.number);
            out.extend(others.map(|r| RankOutput::ToRank(r, PeerMessage::Query(attempt))));
            self.peers_asked = true;
            out.push(RankOutput::Arm(Timer::VerdictTimeout));
        } else {
            self.start_lead(out);
        }
    }

    fn start_lead(&mut self, out: &mut Vec<RankOutput>) {
        let term = if self.is_stepping() {
            self.term.next_ballot(self.number, self.start)
        } else {
            self.term.next_incarnation(self.number, self.start)
        };
        out.push(RankOutput::StartLead(term));
        out.push(RankOutput::Arm(Timer::VerdictTimeout));
    }

    fn is_settled(&self, attempt: Attempt) -> bool {
        self.last.is_some_and(|d| attempt <= d.attempt)
    }

    fn is_decided(&self, version: MapVersion) -> bool {
        let last = self.last.filter(|d| d.attempt.term == self.term);
        last.is_some_and(|d| version <= d.attempt.version)
    }
}

impl LeadMessage {
    /// Returns the term of the lead that sends it.
    pub fn term(&self) -> LeadTerm {
        match self {
            Self::Ask { term } | Self::Load { term, .. } | Self::Decide { term, .. } => *term,
            Self::Prepare { attempt } => attempt.term,
        }
    }
}
