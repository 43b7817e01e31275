//! The state machine of the lead: it proposes a map, gathers promises and decides, and it recovers
//! what an earlier lead left open.

use std::fmt;

use snipemast_core::data;
use snipemast_core::prelude::*;

use super::evidence::Evidence;
use super::margin::Margin;
use super::message::{
    Attempt, Decided, LeadMessage, LeadTerm, Origin, RankMessage, Refusal, Report, SharedMap,
    Verdict,
};

/// How often a map is retried with a later switch before it is given up.
pub const MAX_RETRIES: u32 = 4;

data! {
    /// A map that the control role wants to bring into force.
    #[derive(Hash)]
    pub struct Proposal {
        /// The fencing number of the control leader's term.
        pub fence: Fence,
        /// The version of the map that it was computed from.
        pub base: MapVersion,
        /// The map.
        pub map: SharedMap,
    }

    /// Why a proposal was rejected.
    #[derive(Copy, Hash)]
    pub enum Rejection {
        /// The lead knows this later fencing number.
        Stale(Fence),
        /// This map is in force, which is not the one that the proposal was computed from.
        Rebased(MapVersion),
        /// Another proposal is under way.
        Busy,
        /// A proposal with a later fencing number took its place.
        Replaced,
        /// A rank could not load the weights, or not in time.
        Unloaded,
        /// A rank did not promise in time.
        Unpromised,
        /// The agents do not know the fencing number yet.
        Unfenced,
    }

    /// A timer of a lead.
    #[derive(Copy, Hash, PartialOrd, Ord)]
    pub enum LeadTimer {
        /// Send the current message again to the ranks that have not answered.
        Resend,
        /// Give up loading the weights of this map.
        #[serde(rename = "LoadOver")]
        LoadTimeout(MapVersion),
        /// Give up waiting for promises for this map.
        #[serde(rename = "PromiseOver")]
        PromiseTimeout(MapVersion),
    }
}

/// An input of the lead's state machine.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum LeadInput {
    /// The lead has started.
    Begin,
    /// The control role proposes a map.
    Propose(Proposal),
    /// A rank's message.
    Rank {
        /// The rank.
        from: u32,
        /// The term of the lead that it answers.
        term: LeadTerm,
        /// Its message.
        message: RankMessage,
    },
    /// A timer has fired.
    Fired(LeadTimer),
}

/// An action that the lead's state machine asks for.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum LeadOutput {
    /// Send a message to a rank.
    ToRank(u32, LeadMessage),
    /// Start a timer, replacing a running one of the same kind.
    Arm(LeadTimer),
    /// A map is committed.
    Committed(MapVersion),
    /// A proposal was rejected.
    Rejected(Rejection),
    /// A later term is known, so this lead has ended.
    Outranked(LeadTerm),
}

/// What the lead is doing.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Phase {
    /// The lead waits for the report of every rank.
    Asking { reports: Vec<Option<Report>> },
    /// The lead waits until every rank has loaded the weights.
    Loading { plan: Plan, loaded: Vec<bool> },
    /// The lead waits for the promise of every rank.
    Promising {
        plan: Plan,
        attempt: Attempt,
        promised: Vec<bool>,
    },
    /// The lead waits until every rank has applied the verdict.
    Settling {
        decided: Decided,
        settled: Vec<bool>,
    },
    /// Nothing is under way.
    Idle,
    /// A lead with a later term is known.
    Ended,
}

/// A map that is being brought into force.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Plan {
    origin: Origin,
    /// The version of the map, or of the map it was computed from until the load has begun.
    version: MapVersion,
    map: SharedMap,
    tries: u32,
}

/// The state machine of a group's lead.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Lead {
    term: LeadTerm,
    ranks: usize,
    margin: Margin,
    fence: Fence,
    phase: Phase,
    /// The map in force, or the one that a new incarnation starts with.
    current: Option<(MapVersion, SharedMap)>,
    /// Whether the incarnation of this term has started.
    formed: bool,
    /// The step after the last one that any rank has reported as permitted.
    permitted: Step,
    /// The highest map version that the lead or any rank has seen.
    heard: MapVersion,
    /// The plan that starts once the current work has ended.
    waiting: Option<Plan>,
    retries: u32,
}

impl Lead {
    /// Creates the lead of a group with this many ranks. It asks every rank for a report before it
    /// does anything else.
    pub fn new(term: LeadTerm, ranks: u32, margin: Margin) -> Self {
        let ranks = ranks as usize;
        Self {
            term,
            ranks,
            margin,
            fence: Fence::new(0),
            phase: Phase::Asking {
                reports: vec![None; ranks],
            },
            current: None,
            formed: false,
            permitted: Step::new(0),
            heard: MapVersion::new(0),
            waiting: None,
            retries: MAX_RETRIES,
        }
    }

    /// Sets how often a map is retried with a later switch.
    #[must_use]
    pub fn with_retries(mut self, retries: u32) -> Self {
        self.retries = retries;
        self
    }

    /// Handles an input and returns the actions that follow from it.
    pub fn handle(&mut self, input: LeadInput) -> Vec<LeadOutput> {
        let mut out = Vec::new();
        match input {
            LeadInput::Begin => self.send_to_missing(&mut out),
            LeadInput::Propose(proposal) => self.propose(proposal, &mut out),
            // Failure guarded against: an answer to an earlier term of this lead is counted for
            // this term, although the rank has restarted in between and knows nothing of it.
            LeadInput::Rank { term, .. } if term != self.term => {}
            LeadInput::Rank { from, message, .. } => self.handle_message(from, message, &mut out),
            LeadInput::Fired(LeadTimer::Resend) => self.send_to_missing(&mut out),
            LeadInput::Fired(LeadTimer::LoadTimeout(version)) => {
                self.handle_load_timeout(version, &mut out)
            }
            LeadInput::Fired(LeadTimer::PromiseTimeout(version)) => {
                self.handle_promise_timeout(version, &mut out);
            }
        }
        out
    }

    /// Returns the term of this lead.
    pub fn term(&self) -> LeadTerm {
        self.term
    }

    /// Returns the version of the map in force, where the group has one.
    pub fn version(&self) -> Option<MapVersion> {
        self.current.as_ref().map(|(v, _)| *v)
    }

    /// Whether a proposal would be started at once.
    pub fn is_idle(&self) -> bool {
        self.phase == Phase::Idle
    }

    /// Whether a later term has ended this lead.
    pub fn is_ended(&self) -> bool {
        self.phase == Phase::Ended
    }

    fn propose(&mut self, proposal: Proposal, out: &mut Vec<LeadOutput>) {
        let Proposal { fence, base, map } = proposal;
        if fence < self.fence {
            out.push(LeadOutput::Rejected(Rejection::Stale(self.fence)));
            return;
        }
        let newer = fence > self.fence;
        self.fence = fence;
        let plan = Plan {
            origin: Origin::Control(fence),
            version: base,
            map,
            tries: 0,
        };
        if self.phase == Phase::Idle {
            self.start_plan(plan, out);
        } else if newer || (self.waiting.is_none() && !self.has_control_plan()) {
            self.replace(plan, out);
        } else {
            out.push(LeadOutput::Rejected(Rejection::Busy));
        }
    }

    /// Whether a map of the control role is being brought into force.
    fn has_control_plan(&self) -> bool {
        match &self.phase {
            Phase::Loading { plan, .. } | Phase::Promising { plan, .. } => {
                plan.origin != Origin::Recovery
            }
            _ => false,
        }
    }

    /// Replaces the plan that waits, and gives up the one under way where that is still possible.
    fn replace(&mut self, plan: Plan, out: &mut Vec<LeadOutput>) {
        let under_way = self.has_control_plan();
        if self.waiting.replace(plan).is_some() || under_way {
            out.push(LeadOutput::Rejected(Rejection::Replaced));
        }
        match &self.phase {
            Phase::Loading { .. } if under_way => self.finish(out),
            Phase::Promising { attempt, .. } if under_way => {
                let attempt = *attempt;
                self.decide(attempt, Verdict::Abort, out);
            }
            _ => {}
        }
    }

    /// Starts a plan whose version still names the map it was computed from.
    fn start_plan(&mut self, plan: Plan, out: &mut Vec<LeadOutput>) {
        let current = self.version().unwrap_or_default();
        if plan.tries == 0 && plan.version != current {
            out.push(LeadOutput::Rejected(Rejection::Rebased(current)));
            return;
        }
        self.load_plan(plan, out);
    }

    /// Has every rank load the weights of a plan, under a new version.
    fn load_plan(&mut self, plan: Plan, out: &mut Vec<LeadOutput>) {
        // A version is used for one attempt only, so it never names two maps.
        let version = match plan.origin {
            Origin::Control(_) => self.heard.next(),
            Origin::Recovery => plan.version,
        };
        self.heard = self.heard.max(version);
        let plan = Plan { version, ..plan };
        let loaded = vec![false; self.ranks];
        self.phase = Phase::Loading { plan, loaded };
        self.send_to_missing(out);
        out.push(LeadOutput::Arm(LeadTimer::LoadTimeout(version)));
    }

    fn handle_message(&mut self, from: u32, message: RankMessage, out: &mut Vec<LeadOutput>) {
        let from = from as usize;
        if from >= self.ranks || self.is_ended() {
            return;
        }
        match message {
            RankMessage::Report(report) => self.handle_report(from, *report, out),
            RankMessage::Loaded { version, permitted } => {
                self.handle_loaded(from, version, permitted, out);
            }
            RankMessage::Promised { attempt } => self.handle_promise(from, attempt, out),
            RankMessage::Settled { attempt } => self.handle_settled(from, attempt, out),
            RankMessage::Refused { refusal } => self.handle_refusal(refusal, out),
        }
    }

    fn handle_report(&mut self, from: usize, report: Report, out: &mut Vec<LeadOutput>) {
        let Phase::Asking { reports } = &mut self.phase else {
            return;
        };
        self.permitted = self.permitted.max(report.permitted);
        self.heard = self.heard.max(report.heard);
        reports[from] = Some(report);
        if reports.iter().all(Option::is_some) {
            let evidence = reports.iter().flatten().map(|r| r.evidence.clone());
            let evidence: Vec<Evidence> = evidence.collect();
            self.recover(&evidence, out);
        }
    }

    /// Continues where earlier leads stopped, now that every rank has reported.
    fn recover(&mut self, evidence: &[Evidence], out: &mut Vec<LeadOutput>) {
        let started = |e: &Evidence| {
            let joined = e.active.as_ref().map(|a| a.incarnation);
            e.remembers && joined == Some(self.term.incarnation)
        };
        if evidence.iter().all(started) {
            self.finish_open_attempt(evidence, out);
        } else if evidence.iter().any(started) {
            self.open_incarnation(out);
        } else {
            self.start_incarnation(evidence, out);
        }
    }

    /// Finishes an attempt that an earlier lead of this incarnation left open.
    ///
    /// Failure guarded against: the old lead told one rank to commit and died, and the other ranks
    /// enter the switch with the old map. Every rank has reported and refuses the old lead from
    /// then on, so an attempt that none of them has committed never will be.
    fn finish_open_attempt(&mut self, evidence: &[Evidence], out: &mut Vec<LeadOutput>) {
        self.formed = true;
        let active = evidence.iter().filter_map(|e| e.active.as_ref());
        let latest = active.max_by_key(|a| a.version);
        self.current = latest.map(|a| (a.version, a.map.clone()));
        let open = evidence.iter().filter_map(|e| e.open.as_ref());
        let Some(open) = open.max_by_key(|o| o.attempt).cloned() else {
            return self.finish(out);
        };
        let known = Evidence::find_verdict(evidence, open.attempt);
        let verdict = known.unwrap_or(Verdict::Abort);
        self.decide(open.attempt, verdict, out);
    }

    /// Starts a new incarnation with the last map that any rank may have stepped with.
    fn start_incarnation(&mut self, evidence: &[Evidence], out: &mut Vec<LeadOutput>) {
        match Evidence::choose_map(evidence) {
            Some((version, map)) => {
                self.current = Some((version, map.clone()));
                self.heard = self.heard.max(version);
                self.load_plan(
                    Plan {
                        origin: Origin::Recovery,
                        version,
                        map,
                        tries: 0,
                    },
                    out,
                );
            }
            None => self.finish(out),
        }
    }

    /// Opens another incarnation of the group and asks every rank for a new report.
    fn open_incarnation(&mut self, out: &mut Vec<LeadOutput>) {
        let LeadTerm { rank, start, .. } = self.term;
        self.term = self.term.next_incarnation(rank, start);
        self.formed = false;
        self.phase = Phase::Asking {
            reports: vec![None; self.ranks],
        };
        self.send_to_missing(out);
    }

    fn handle_loaded(
        &mut self,
        from: usize,
        version: MapVersion,
        permitted: Step,
        out: &mut Vec<LeadOutput>,
    ) {
        self.permitted = self.permitted.max(permitted);
        let Phase::Loading { plan, loaded } = &mut self.phase else {
            return;
        };
        if plan.version != version {
            return;
        }
        loaded[from] = true;
        if loaded.iter().all(|l| *l) {
            let plan = plan.clone();
            self.prepare(plan, out);
        }
    }

    /// Asks for promises, with a switch so far ahead that the verdict arrives before it.
    fn prepare(&mut self, plan: Plan, out: &mut Vec<LeadOutput>) {
        let switch = if self.formed {
            Step::new(self.permitted.get() + self.margin.switch_distance())
        } else {
            // No rank steps, so the new incarnation may start just past every permit of the last
            // one.
            self.permitted.next()
        };
        let version = plan.version;
        let attempt = Attempt {
            term: self.term,
            version,
            switch,
        };
        let promised = vec![false; self.ranks];
        self.phase = Phase::Promising {
            plan,
            attempt,
            promised,
        };
        self.send_to_missing(out);
        out.push(LeadOutput::Arm(LeadTimer::PromiseTimeout(version)));
    }

    fn handle_promise(&mut self, from: usize, attempt: Attempt, out: &mut Vec<LeadOutput>) {
        let Phase::Promising {
            attempt: open,
            promised,
            plan,
        } = &mut self.phase
        else {
            return;
        };
        if *open != attempt {
            return;
        }
        promised[from] = true;
        if promised.iter().all(|p| *p) {
            self.current = Some((attempt.version, plan.map.clone()));
            self.formed = true;
            out.push(LeadOutput::Committed(attempt.version));
            self.decide(attempt, Verdict::Commit, out);
        }
    }

    fn decide(&mut self, attempt: Attempt, verdict: Verdict, out: &mut Vec<LeadOutput>) {
        let decided = Decided { attempt, verdict };
        let settled = vec![false; self.ranks];
        self.phase = Phase::Settling { decided, settled };
        self.send_to_missing(out);
    }

    fn handle_settled(&mut self, from: usize, attempt: Attempt, out: &mut Vec<LeadOutput>) {
        let Phase::Settling { decided, settled } = &mut self.phase else {
            return;
        };
        if decided.attempt != attempt {
            return;
        }
        settled[from] = true;
        // Failure guarded against: a second attempt is opened while a rank still waits for the
        // verdict on the first one, and a lead that recovers finds two open attempts.
        if settled.iter().all(|s| *s) {
            self.finish(out);
        }
    }

    /// Ends what is under way and starts the plan that waits, if there is one.
    fn finish(&mut self, out: &mut Vec<LeadOutput>) {
        self.phase = Phase::Idle;
        if let Some(plan) = self.waiting.take() {
            self.start_plan(plan, out);
        } else if !self.formed && self.current.is_some() {
            // A failed start is retried, because no rank steps until one succeeds.
            self.open_incarnation(out);
        }
    }

    fn handle_refusal(&mut self, refusal: Refusal, out: &mut Vec<LeadOutput>) {
        match refusal {
            Refusal::Outranked(term) if term > self.term => {
                self.phase = Phase::Ended;
                out.push(LeadOutput::Outranked(term));
            }
            // The agent has restarted and does not remember its promises.
            Refusal::Unasked(term) if term == self.term => self.open_incarnation(out),
            Refusal::Stale(fence) if fence > self.fence => {
                self.fence = fence;
                self.give_up_load(Rejection::Stale(fence), out);
            }
            Refusal::Unfenced => self.give_up_load(Rejection::Unfenced, out),
            Refusal::Unloaded(version) => {
                self.handle_lost_weights(version, out);
                self.handle_load_timeout(version, out);
            }
            Refusal::Late(attempt) | Refusal::Busy(attempt) => self.retry(attempt, out),
            Refusal::Outranked(_) | Refusal::Unasked(_) | Refusal::Stale(_) => {}
        }
    }

    /// Aborts an attempt whose switch was too soon, and tries the map again.
    fn retry(&mut self, late: Attempt, out: &mut Vec<LeadOutput>) {
        let Phase::Promising { plan, attempt, .. } = &self.phase else {
            return;
        };
        if *attempt != late {
            return;
        }
        let tries = plan.tries + 1;
        if tries <= self.retries && self.waiting.is_none() && plan.origin != Origin::Recovery {
            self.waiting = Some(Plan {
                tries,
                ..plan.clone()
            });
        }
        self.decide(late, Verdict::Abort, out);
    }

    /// Aborts an attempt for which a rank no longer has the weights.
    fn handle_lost_weights(&mut self, version: MapVersion, out: &mut Vec<LeadOutput>) {
        let Phase::Promising { attempt, .. } = &self.phase else {
            return;
        };
        if attempt.version == version {
            let attempt = *attempt;
            self.retry(attempt, out);
        }
    }

    fn handle_load_timeout(&mut self, version: MapVersion, out: &mut Vec<LeadOutput>) {
        if matches!(&self.phase, Phase::Loading { plan, .. } if plan.version == version) {
            self.give_up_load(Rejection::Unloaded, out);
        }
    }

    /// Gives up a load. Nothing was promised, so no rank needs a verdict.
    fn give_up_load(&mut self, why: Rejection, out: &mut Vec<LeadOutput>) {
        if self.has_control_plan() && matches!(self.phase, Phase::Loading { .. }) {
            out.push(LeadOutput::Rejected(why));
            self.finish(out);
        }
    }

    /// Aborts an attempt that not every rank has promised in time. The verdict still arrives before
    /// the switch, so a stalled rank holds up no other rank.
    fn handle_promise_timeout(&mut self, version: MapVersion, out: &mut Vec<LeadOutput>) {
        let Phase::Promising { attempt, .. } = &self.phase else {
            return;
        };
        if attempt.version == version && self.formed {
            let attempt = *attempt;
            out.push(LeadOutput::Rejected(Rejection::Unpromised));
            self.decide(attempt, Verdict::Abort, out);
        }
    }

    /// Sends the message of the current phase to the ranks that have not answered, and starts the
    /// timer that repeats it.
    fn send_to_missing(&self, out: &mut Vec<LeadOutput>) {
        let term = self.term;
        let (answered, message) = match &self.phase {
            Phase::Asking { reports } => {
                let answered = reports.iter().map(Option::is_some).collect();
                (answered, LeadMessage::Ask { term })
            }
            Phase::Loading { plan, loaded } => (loaded.clone(), plan.load_message(term)),
            Phase::Promising {
                attempt, promised, ..
            } => (promised.clone(), LeadMessage::Prepare { attempt: *attempt }),
            Phase::Settling { decided, settled } => {
                let decided = *decided;
                (settled.clone(), LeadMessage::Decide { term, decided })
            }
            Phase::Idle | Phase::Ended => return,
        };
        let missing = answered.iter().enumerate().filter(|(_, done)| !**done);
        out.extend(missing.map(|(r, _)| LeadOutput::ToRank(r as u32, message.clone())));
        out.push(LeadOutput::Arm(LeadTimer::Resend));
    }
}

impl Plan {
    fn load_message(&self, term: LeadTerm) -> LeadMessage {
        LeadMessage::Load {
            term,
            origin: self.origin,
            version: self.version,
            map: self.map.clone(),
        }
    }
}

impl fmt::Display for Rejection {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Stale(fence) => write!(f, "fencing number {fence} is later"),
            Self::Rebased(version) => write!(f, "map {version} is in force by now"),
            Self::Busy => f.write_str("another map is under way"),
            Self::Replaced => f.write_str("a later control leader's map took its place"),
            Self::Unloaded => f.write_str("a rank could not load the weights in time"),
            Self::Unpromised => f.write_str("a rank did not promise in time"),
            Self::Unfenced => f.write_str("an agent does not know the fencing number yet"),
        }
    }
}
