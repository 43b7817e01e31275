//! A rank's part: loads, promises, permits steps; stands for lead where no verdict comes.

use snipemast_core::data;
use snipemast_core::prelude::*;

use super::evidence::{Evidence, Open};
use super::message::{
    ActiveMap, Attempt, Decided, LeadMessage, LeadTerm, Origin, PeerMessage, Permit, RankMessage,
    Refusal, Report, SharedMap, Verdict,
};

data! {
    /// What a rank's engine shows of itself.
    #[derive(Hash)]
    pub struct EngineStatus {
        /// The incarnation of the group that it steps in.
        pub incarnation: GroupIncarnation,
        /// The step that it is in or waits to enter.
        pub step: Step,
        /// The step after the last that it has a permit for without a gap.
        pub end: Step,
        /// The map of the last step that it entered.
        #[serde(rename = "shown")]
        pub last_map: Option<ActiveMap>,
    }

    /// A timer of a rank.
    #[derive(Copy, Hash, PartialOrd, Ord)]
    pub enum Timer {
        /// No verdict has come for long.
        #[serde(rename = "Patience")]
        VerdictTimeout,
    }
}

/// What a rank's machine is told.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum RankInput {
    /// The agent has started, or the group got a lead from outside.
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
    /// What the engine shows.
    Engine(EngineStatus),
    /// The engine died: its permits and weights are gone.
    EngineLost,
    /// The weights of a map are loaded.
    Loaded(MapVersion),
    /// The weights of a map can't be loaded.
    LoadFailed(MapVersion),
    /// The fencing number that a majority of the control role knows, or that no longer lease
    /// than has been waited out can contradict.
    FenceLearnt(Fence),
    /// A timer has fired.
    Fired(Timer),
}

/// What a rank's machine wants done.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum RankOutput {
    /// Answer the lead of a term.
    ToLead(LeadTerm, RankMessage),
    /// Tell another rank.
    ToRank(u32, PeerMessage),
    /// Pass a permit to the engine.
    Permit(Permit),
    /// Load the weights of a map, ahead of any switch.
    LoadWeights(MapVersion, SharedMap),
    /// The weights of a map are not needed: cancel the load, or keep them for the next one.
    DropWeights(MapVersion),
    /// The engine has passed the switch: what the map evicts may go.
    Evict(MapVersion),
    /// Start a timer, in place of one of the same kind that runs.
    Arm(Timer),
    /// Start a lead with this term.
    StartLead(LeadTerm),
    /// Something for the time line.
    Event(Event, MapVersion),
}

/// Steps from the first on use a map.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Segment {
    from: Step,
    standing: ActiveMap,
}

/// Weights that are being loaded or are loaded.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Loading {
    version: MapVersion,
    map: SharedMap,
    ready: bool,
}

/// The machine of one rank's agent.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct RankAgent {
    number: u32,
    ranks: u32,
    start: Incarnation,
    window: u64,
    fence: Option<Fence>,
    term: LeadTerm,
    segments: Vec<Segment>,
    open: Option<Open>,
    forming: Option<Open>,
    last: Option<Decided>,
    loading: Option<Loading>,
    heard: MapVersion,
    permitted: Step,
    bound: Step,
    engine: Option<EngineStatus>,
    lost: bool,
    asked: bool,
}

impl RankAgent {
    /// The machine of an agent that has just started and remembers nothing.
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
            bound: Step::new(0),
            engine: None,
            lost: false,
            asked: false,
        }
    }

    /// With a fencing number that is known from the start.
    #[must_use]
    pub fn with_fence(mut self, fence: Fence) -> Self {
        self.fence = Some(fence);
        self
    }

    /// Takes an input and says what is to be done.
    pub fn handle(&mut self, input: RankInput) -> Vec<RankOutput> {
        let mut out = Vec::new();
        match input {
            RankInput::Begin => out.push(RankOutput::Arm(Timer::VerdictTimeout)),
            RankInput::Appointed => self.stand(&mut out),
            RankInput::Lead(message) => self.lead_says(message, &mut out),
            RankInput::Peer { from, message } => self.peer_says(from, message, &mut out),
            RankInput::Engine(status) => self.engine_shows(status, &mut out),
            RankInput::EngineLost => self.engine_lost(&mut out),
            RankInput::Loaded(version) => self.loaded(version, &mut out),
            RankInput::LoadFailed(version) => self.load_failed(version, &mut out),
            RankInput::FenceLearnt(fence) => self.fence = self.fence.max(Some(fence)),
            RankInput::Fired(Timer::VerdictTimeout) => self.impatient(&mut out),
        }
        out
    }

    /// The last term that this rank obeys.
    pub fn term(&self) -> LeadTerm {
        self.term
    }

    /// The map that was committed last.
    pub fn active_map(&self) -> Option<&ActiveMap> {
        self.segments.last().map(|s| &s.standing)
    }

    /// The attempt that waits for its verdict.
    pub fn pending(&self) -> Option<Attempt> {
        let waits = self.forming.as_ref().or(self.open.as_ref());
        waits.map(|o| o.attempt)
    }

    /// Whether a verdict or a new incarnation is waited for.
    pub fn is_waiting(&self) -> bool {
        !self.is_stepping() || self.open.is_some()
    }

    /// Whether permits are issued: the group's incarnation that this rank obeys has started.
    pub fn is_stepping(&self) -> bool {
        let joined = self.active_map().map(|s| s.incarnation);
        !self.lost && joined == Some(self.term.incarnation)
    }

    fn lead_says(&mut self, message: LeadMessage, out: &mut Vec<RankOutput>) {
        let term = message.term();
        if let Err(refusal) = self.admit(&message) {
            out.push(RankOutput::ToLead(term, RankMessage::Refused { refusal }));
            return;
        }
        match message {
            LeadMessage::Ask { term } => self.report(term, out),
            LeadMessage::Load { version, map, .. } => self.load(version, map, out),
            LeadMessage::Prepare { attempt } => self.prepare(attempt, out),
            LeadMessage::Decide { term, decided } => {
                self.settle(decided, out);
                let attempt = decided.attempt;
                out.push(RankOutput::ToLead(term, RankMessage::Settled { attempt }));
            }
        }
    }

    /// Whether a lead's message is to be obeyed.
    ///
    /// Failures guarded against: a lead that was cut off comes back and decides what a later
    /// lead has decided otherwise (ranks step with two maps), so lower terms are refused; an
    /// agent that forgot its promises is led on as if it kept them, so only a term that has
    /// asked it may order anything; a control host comes back with an old number and undoes
    /// later orders, so lower fencing numbers are refused before any engine sees them, also
    /// where the engine would not check.
    fn admit(&mut self, message: &LeadMessage) -> Result<(), Refusal> {
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

    /// Obeys a term from now on, and reports. A later incarnation stops all permits.
    fn report(&mut self, term: LeadTerm, out: &mut Vec<RankOutput>) {
        // The bound of an agent that forgot comes from its engine, so it can't speak before it
        // has heard of it.
        let Some(engine) = &self.engine else { return };
        if term > self.term {
            self.term = term;
            self.asked = false;
        }
        let evidence = Evidence {
            remembers: !self.segments.is_empty(),
            standing: self
                .active_map()
                .cloned()
                .or_else(|| engine.last_map.clone()),
            open: self.open.clone(),
            last: self.last,
        };
        let shown = evidence.standing.as_ref().map(|s| s.version);
        let report = Report {
            term,
            permitted: self.furthest(engine.step),
            heard: self.heard.max(shown.unwrap_or_default()),
            evidence,
        };
        let report = RankMessage::Report(Box::new(report));
        out.push(RankOutput::ToLead(term, report));
        if self.is_waiting() {
            out.push(RankOutput::Arm(Timer::VerdictTimeout));
        }
    }

    /// The step after the last that the engine may ever have been permitted.
    ///
    /// Failure guarded against: an agent restarts while a permit of its earlier life is still on
    /// its way to the engine, and the new incarnation of the group starts below it: one step, two
    /// maps. A permit never reaches further than a window past the engine's step.
    fn furthest(&self, step: Step) -> Step {
        let ahead = Step::new(step.get() + 1 + self.window);
        ahead.max(self.bound).max(self.permitted)
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
            out.push(self.ready(version));
        } else {
            out.push(RankOutput::LoadWeights(version, map.clone()));
        }
        self.loading = Some(Loading {
            version,
            map,
            ready,
        });
    }

    /// Whether the engine holds the weights of a map already: loaded for an attempt that was
    /// aborted, or in force before the group was formed anew.
    fn has_weights(&self, map: &SharedMap) -> bool {
        let loaded = self.loading.iter().any(|l| l.ready && l.map == *map);
        let standing = self.active_map().is_some_and(|s| s.map == *map);
        let shown = self.engine.as_ref().and_then(|e| e.last_map.as_ref());
        loaded || (!self.lost && (standing || shown.is_some_and(|s| s.map == *map)))
    }

    fn loaded(&mut self, version: MapVersion, out: &mut Vec<RankOutput>) {
        let Some(loading) = self.loading.as_mut().filter(|l| l.version == version) else {
            return;
        };
        loading.ready = true;
        out.push(self.ready(version));
    }

    fn ready(&self, version: MapVersion) -> RankOutput {
        let permitted = self.permitted.max(self.bound);
        RankOutput::ToLead(self.term, RankMessage::Loaded { version, permitted })
    }

    fn load_failed(&mut self, version: MapVersion, out: &mut Vec<RankOutput>) {
        if self.loading.as_ref().is_some_and(|l| l.version == version) {
            self.loading = None;
            let refusal = Refusal::Unloaded(version);
            out.push(RankOutput::ToLead(
                self.term,
                RankMessage::Refused { refusal },
            ));
        }
    }

    /// Promises to permit no step from the switch on without a verdict.
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
        let open = Open { attempt, map };
        if !self.is_stepping() {
            return self.promise_start(open);
        }
        if let Some(open) = &self.open {
            return Err(Refusal::Busy(open.attempt));
        }
        // Failure guarded against: the order to prepare was late and the engine is already
        // permitted to enter the switch with the old map, while others enter it with the new.
        if attempt.switch < self.permitted {
            return Err(Refusal::Late(attempt));
        }
        self.open = Some(open);
        Ok(())
    }

    /// Promises to start a new incarnation only by verdict. What was known of the last one is
    /// kept until then: should this start fail too, the next lead needs it.
    fn promise_start(&mut self, open: Open) -> Result<(), Refusal> {
        let step = self.engine.as_ref().map_or(Step::new(0), |e| e.step);
        let own = open.attempt.term == self.term;
        if !own || open.attempt.switch < self.furthest(step) {
            return Err(Refusal::Late(open.attempt));
        }
        self.bound = Step::new(open.attempt.switch.get() + self.window);
        self.forming = Some(open);
        Ok(())
    }

    /// Takes a verdict; a second time does nothing.
    fn settle(&mut self, decided: Decided, out: &mut Vec<RankOutput>) {
        let Decided { attempt, verdict } = decided;
        if self.is_settled(attempt) {
            return;
        }
        let open = self.open.take_if(|o| o.attempt == attempt);
        let forming = self.forming.take_if(|o| o.attempt == attempt);
        self.last = Some(decided);
        self.asked = false;
        match (verdict, open, forming) {
            (Verdict::Commit, Some(open), _) => self.switch(open, out),
            (Verdict::Commit, None, Some(forming)) => self.form(forming, out),
            (Verdict::Commit, None, None) => {}
            (Verdict::Abort, ..) => self.abort(attempt, out),
        }
        self.permit(out);
    }

    fn switch(&mut self, open: Open, out: &mut Vec<RankOutput>) {
        let Open { attempt, map } = open;
        let standing = ActiveMap {
            incarnation: self.term.incarnation,
            version: attempt.version,
            map,
        };
        let from = attempt.switch;
        self.segments.push(Segment { from, standing });
        out.push(RankOutput::Event(Event::MapCommitted, attempt.version));
    }

    fn form(&mut self, forming: Open, out: &mut Vec<RankOutput>) {
        self.segments.clear();
        self.open = None;
        self.lost = false;
        self.permitted = forming.attempt.switch;
        out.push(RankOutput::Event(
            Event::GroupRestarted,
            forming.attempt.version,
        ));
        self.switch(forming, out);
    }

    fn abort(&mut self, attempt: Attempt, out: &mut Vec<RankOutput>) {
        out.push(RankOutput::Event(Event::MapAborted, attempt.version));
        // Loaded weights stay until another map is loaded: the next attempt often wants the same.
        let unready = self.loading.take_if(|l| !l.ready);
        out.extend(unready.map(|l| RankOutput::DropWeights(l.version)));
    }

    /// Issues the permits that the engine lacks, as far as window and promise allow.
    fn permit(&mut self, out: &mut Vec<RankOutput>) {
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
                    version: segment.standing.version,
                }));
                from = end;
            }
        }
        self.permitted = limit;
    }

    fn engine_shows(&mut self, status: EngineStatus, out: &mut Vec<RankOutput>) {
        // Reports may cross on their way: a step never runs back.
        let late = self.engine.as_ref().is_some_and(|e| {
            (status.incarnation, status.step, status.end) < (e.incarnation, e.step, e.end)
        });
        if late && !self.lost {
            return;
        }
        if self.is_held_at(status.step) {
            let version = self.pending().map(|a| a.version).unwrap_or_default();
            out.push(RankOutput::Event(Event::GroupHeld, version));
        }
        let step = status.step;
        self.engine = Some(status);
        self.forget_before(step, out);
        self.permit(out);
    }

    /// Whether the engine waits at the switch of an attempt that has no verdict.
    fn is_held_at(&self, step: Step) -> bool {
        let before = self.engine.as_ref().map(|e| e.step);
        let switch = self.open.as_ref().map(|o| o.attempt.switch);
        switch.is_some_and(|s| s <= step) && before < switch
    }

    /// Forgets maps of steps that the engine has passed.
    fn forget_before(&mut self, step: Step, out: &mut Vec<RankOutput>) {
        let passed = |next: Option<&Segment>| next.is_some_and(|s| s.from < step);
        while self.is_stepping() && passed(self.segments.get(1)) {
            self.segments.remove(0);
            out.push(RankOutput::Evict(self.segments[0].standing.version));
        }
    }

    fn engine_lost(&mut self, out: &mut Vec<RankOutput>) {
        self.lost = true;
        self.loading = None;
        self.engine = None;
        self.stand(out);
    }

    fn peer_says(&mut self, from: u32, message: PeerMessage, out: &mut Vec<RankOutput>) {
        match message {
            PeerMessage::Query(attempt) => {
                let known = self.last.filter(|d| d.attempt == attempt);
                out.extend(known.map(|d| RankOutput::ToRank(from, PeerMessage::Answer(d))));
            }
            PeerMessage::Answer(decided) => {
                // Failure guarded against: a rank that has reported to the lead of a later
                // incarnation takes a verdict after all, which that lead's choice ignores.
                let same = decided.attempt.term.incarnation == self.term.incarnation;
                if same && self.pending() == Some(decided.attempt) {
                    self.settle(decided, out);
                }
            }
        }
    }

    /// Asks the other ranks first, then stands for lead: so no lead that died, and no message
    /// that was lost, holds a group without end.
    fn impatient(&mut self, out: &mut Vec<RankOutput>) {
        if !self.is_waiting() {
            return;
        }
        let pending = self.pending().filter(|_| !self.asked);
        if let Some(attempt) = pending {
            let others = (0..self.ranks).filter(|r| *r != self.number);
            out.extend(others.map(|r| RankOutput::ToRank(r, PeerMessage::Query(attempt))));
            self.asked = true;
            out.push(RankOutput::Arm(Timer::VerdictTimeout));
        } else {
            self.stand(out);
        }
    }

    fn stand(&mut self, out: &mut Vec<RankOutput>) {
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
    /// The term that sends it.
    pub fn term(&self) -> LeadTerm {
        match self {
            Self::Ask { term } | Self::Load { term, .. } | Self::Decide { term, .. } => *term,
            Self::Prepare { attempt } => attempt.term,
        }
    }
}
