//! The lead's part: proposes a map, gathers promises, decides; recovers what an earlier lead left.

use std::fmt;

use snipemast_core::data;
use snipemast_core::prelude::*;

use super::evidence::Evidence;
use super::margin::Margin;
use super::message::{
    Attempt, Decided, LeadMessage, LeadTerm, Origin, RankMessage, Refusal, Report, SharedMap,
    Verdict,
};

/// How often a map is tried again with a later switch before it is given up.
pub const TRIES: u32 = 4;

data! {
    /// A map that the control role wants in force.
    #[derive(Hash)]
    pub struct Proposal {
        /// The fencing number of the control leader's term.
        pub fence: Fence,
        /// The version of the map that it was worked out from.
        pub base: MapVersion,
        /// The map.
        pub map: SharedMap,
    }

    /// Why a proposal came to nothing.
    #[derive(Copy, Hash)]
    pub enum Rejection {
        /// A later fencing number is known.
        Stale(Fence),
        /// Another map is in force than the one it was worked out from.
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
        /// Tell again whoever has not answered.
        Resend,
        /// Give up loading the weights of a version.
        #[serde(rename = "LoadOver")]
        LoadTimeout(MapVersion),
        /// Give up waiting for promises for a version.
        #[serde(rename = "PromiseOver")]
        PromiseTimeout(MapVersion),
    }
}

/// What a lead is told.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum LeadInput {
    /// The lead was started.
    Begin,
    /// The control role proposes a map.
    Propose(Proposal),
    /// A rank's message.
    Rank {
        /// The rank.
        from: u32,
        /// The term that it answers.
        term: LeadTerm,
        /// Its message.
        message: RankMessage,
    },
    /// A timer has fired.
    Fired(LeadTimer),
}

/// What a lead wants done.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum LeadOutput {
    /// Tell a rank.
    ToRank(u32, LeadMessage),
    /// Start a timer, in place of one of the same kind that runs.
    Arm(LeadTimer),
    /// A map is committed.
    Committed(MapVersion),
    /// A proposal came to nothing.
    Rejected(Rejection),
    /// A later term is known: this lead has ended.
    Outranked(LeadTerm),
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Phase {
    /// Waits for every rank's report.
    Asking { reports: Vec<Option<Report>> },
    /// Waits until every rank has the weights.
    Loading { plan: Plan, loaded: Vec<bool> },
    /// Waits for every rank's promise.
    Promising {
        plan: Plan,
        attempt: Attempt,
        promised: Vec<bool>,
    },
    /// Waits until every rank has the verdict.
    Settling {
        decided: Decided,
        settled: Vec<bool>,
    },
    /// Nothing is under way.
    Idle,
    /// A later term leads.
    Ended,
}

/// A map on its way into force.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Plan {
    origin: Origin,
    version: MapVersion,
    map: SharedMap,
    tries: u32,
}

/// The machine of a group's lead.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Lead {
    term: LeadTerm,
    ranks: usize,
    margin: Margin,
    fence: Fence,
    phase: Phase,
    current: Option<(MapVersion, SharedMap)>,
    formed: bool,
    permitted: Step,
    heard: MapVersion,
    waiting: Option<Plan>,
    tries: u32,
}

impl Lead {
    /// A lead of a group of this many ranks; it asks every rank before it does anything else.
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
            tries: TRIES,
        }
    }

    /// Tries a map so often again with a later switch.
    #[must_use]
    pub fn with_tries(mut self, tries: u32) -> Self {
        self.tries = tries;
        self
    }

    /// Takes an input and says what is to be done.
    pub fn handle(&mut self, input: LeadInput) -> Vec<LeadOutput> {
        let mut out = Vec::new();
        match input {
            LeadInput::Begin => self.tell_missing(&mut out),
            LeadInput::Propose(proposal) => self.propose(proposal, &mut out),
            // Failure guarded against: an answer to an earlier term of this lead counts for this
            // one, although its rank has restarted in between and knows nothing of it.
            LeadInput::Rank { term, .. } if term != self.term => {}
            LeadInput::Rank { from, message, .. } => self.rank_says(from, message, &mut out),
            LeadInput::Fired(LeadTimer::Resend) => self.tell_missing(&mut out),
            LeadInput::Fired(LeadTimer::LoadTimeout(version)) => self.load_over(version, &mut out),
            LeadInput::Fired(LeadTimer::PromiseTimeout(version)) => {
                self.promise_over(version, &mut out);
            }
        }
        out
    }

    /// The term of this lead.
    pub fn term(&self) -> LeadTerm {
        self.term
    }

    /// The version in force, where the group has one.
    pub fn version(&self) -> Option<MapVersion> {
        self.current.as_ref().map(|(v, _)| *v)
    }

    /// Whether a proposal would be taken up at once.
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
            self.take_up(plan, out);
        } else if newer || (self.waiting.is_none() && !self.is_bringing()) {
            self.replace(plan, out);
        } else {
            out.push(LeadOutput::Rejected(Rejection::Busy));
        }
    }

    /// Whether a map of the control role is under way.
    fn is_bringing(&self) -> bool {
        match &self.phase {
            Phase::Loading { plan, .. } | Phase::Promising { plan, .. } => {
                plan.origin != Origin::Recovery
            }
            _ => false,
        }
    }

    /// Puts a plan in the place of whatever waits or can still be given up.
    fn replace(&mut self, plan: Plan, out: &mut Vec<LeadOutput>) {
        let bringing = self.is_bringing();
        if self.waiting.replace(plan).is_some() || bringing {
            out.push(LeadOutput::Rejected(Rejection::Replaced));
        }
        match &self.phase {
            Phase::Loading { .. } if bringing => self.rest(out),
            Phase::Promising { attempt, .. } if bringing => {
                let attempt = *attempt;
                self.decide(attempt, Verdict::Abort, out);
            }
            _ => {}
        }
    }

    /// Takes up a plan whose version still names its base.
    fn take_up(&mut self, plan: Plan, out: &mut Vec<LeadOutput>) {
        let current = self.version().unwrap_or_default();
        if plan.tries == 0 && plan.version != current {
            out.push(LeadOutput::Rejected(Rejection::Rebased(current)));
            return;
        }
        self.bring(plan, out);
    }

    /// Has every rank load the weights of a plan, under a version of its own.
    fn bring(&mut self, plan: Plan, out: &mut Vec<LeadOutput>) {
        // A version is used for one attempt only, so that it always names one map.
        let version = match plan.origin {
            Origin::Control(_) => self.heard.next(),
            Origin::Recovery => plan.version,
        };
        self.heard = self.heard.max(version);
        let plan = Plan { version, ..plan };
        let loaded = vec![false; self.ranks];
        self.phase = Phase::Loading { plan, loaded };
        self.tell_missing(out);
        out.push(LeadOutput::Arm(LeadTimer::LoadTimeout(version)));
    }

    fn rank_says(&mut self, from: u32, message: RankMessage, out: &mut Vec<LeadOutput>) {
        let from = from as usize;
        if from >= self.ranks || self.is_ended() {
            return;
        }
        match message {
            RankMessage::Report(report) => self.reported(from, *report, out),
            RankMessage::Loaded { version, permitted } => {
                self.loaded(from, version, permitted, out);
            }
            RankMessage::Promised { attempt } => self.promised(from, attempt, out),
            RankMessage::Settled { attempt } => self.settled(from, attempt, out),
            RankMessage::Refused { refusal } => self.refused(refusal, out),
        }
    }

    fn reported(&mut self, from: usize, report: Report, out: &mut Vec<LeadOutput>) {
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

    /// Goes on where earlier leads stopped, now that every rank has reported.
    fn recover(&mut self, evidence: &[Evidence], out: &mut Vec<LeadOutput>) {
        let started = |e: &Evidence| {
            let joined = e.standing.as_ref().map(|s| s.incarnation);
            e.remembers && joined == Some(self.term.incarnation)
        };
        if evidence.iter().all(started) {
            self.resolve(evidence, out);
        } else if evidence.iter().any(started) {
            self.reform(out);
        } else {
            self.form(evidence, out);
        }
    }

    /// Finishes an attempt that an earlier lead of this incarnation left open.
    ///
    /// Failure guarded against: the old lead told one rank to commit and died; the others would
    /// enter the switch with the old map. Every rank was asked, and each refuses the old lead
    /// from then on, so what none of them has committed never will be.
    fn resolve(&mut self, evidence: &[Evidence], out: &mut Vec<LeadOutput>) {
        self.formed = true;
        let standing = evidence.iter().filter_map(|e| e.standing.as_ref());
        let latest = standing.max_by_key(|s| s.version);
        self.current = latest.map(|s| (s.version, s.map.clone()));
        let open = evidence.iter().filter_map(|e| e.open.as_ref());
        let Some(open) = open.max_by_key(|o| o.attempt).cloned() else {
            return self.rest(out);
        };
        let seen = Evidence::verdict_of(evidence, open.attempt);
        let verdict = seen.unwrap_or(Verdict::Abort);
        self.decide(open.attempt, verdict, out);
    }

    /// Starts a new incarnation with the last map that any rank may have stepped with.
    fn form(&mut self, evidence: &[Evidence], out: &mut Vec<LeadOutput>) {
        match Evidence::choose(evidence) {
            Some((version, map)) => {
                self.current = Some((version, map.clone()));
                self.heard = self.heard.max(version);
                self.bring(
                    Plan {
                        origin: Origin::Recovery,
                        version,
                        map,
                        tries: 0,
                    },
                    out,
                );
            }
            None => self.rest(out),
        }
    }

    /// Opens another incarnation of the group and asks every rank anew.
    fn reform(&mut self, out: &mut Vec<LeadOutput>) {
        let LeadTerm { rank, start, .. } = self.term;
        self.term = self.term.next_incarnation(rank, start);
        self.formed = false;
        self.phase = Phase::Asking {
            reports: vec![None; self.ranks],
        };
        self.tell_missing(out);
    }

    fn loaded(
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

    /// Asks for promises, with a switch so far ahead that the verdict comes before it.
    fn prepare(&mut self, plan: Plan, out: &mut Vec<LeadOutput>) {
        let switch = if self.formed {
            Step::new(self.permitted.get() + self.margin.steps())
        } else {
            // Nobody steps: the new incarnation starts past every permit of the last one.
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
        self.tell_missing(out);
        out.push(LeadOutput::Arm(LeadTimer::PromiseTimeout(version)));
    }

    fn promised(&mut self, from: usize, attempt: Attempt, out: &mut Vec<LeadOutput>) {
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
        self.tell_missing(out);
    }

    fn settled(&mut self, from: usize, attempt: Attempt, out: &mut Vec<LeadOutput>) {
        let Phase::Settling { decided, settled } = &mut self.phase else {
            return;
        };
        if decided.attempt != attempt {
            return;
        }
        settled[from] = true;
        // Failure guarded against: a second attempt is opened while a rank still waits for the
        // verdict on the first, and a lead that recovers finds two attempts open.
        if settled.iter().all(|s| *s) {
            self.rest(out);
        }
    }

    /// Nothing is under way any more: takes up what waits.
    fn rest(&mut self, out: &mut Vec<LeadOutput>) {
        self.phase = Phase::Idle;
        if let Some(plan) = self.waiting.take() {
            self.take_up(plan, out);
        } else if !self.formed && self.current.is_some() {
            // A start that failed is tried again: nobody steps until one succeeds.
            self.reform(out);
        }
    }

    fn refused(&mut self, refusal: Refusal, out: &mut Vec<LeadOutput>) {
        match refusal {
            Refusal::Outranked(term) if term > self.term => {
                self.phase = Phase::Ended;
                out.push(LeadOutput::Outranked(term));
            }
            // The agent started anew and forgot what it promised to whom.
            Refusal::Unasked(term) if term == self.term => self.reform(out),
            Refusal::Stale(fence) if fence > self.fence => {
                self.fence = fence;
                self.give_up_load(Rejection::Stale(fence), out);
            }
            Refusal::Unfenced => self.give_up_load(Rejection::Unfenced, out),
            Refusal::Unloaded(version) => {
                self.unloaded(version, out);
                self.load_over(version, out);
            }
            Refusal::Late(attempt) | Refusal::Busy(attempt) => self.again(attempt, out),
            Refusal::Outranked(_) | Refusal::Unasked(_) | Refusal::Stale(_) => {}
        }
    }

    /// Aborts an attempt whose switch was too near, and tries the map again.
    fn again(&mut self, late: Attempt, out: &mut Vec<LeadOutput>) {
        let Phase::Promising { plan, attempt, .. } = &self.phase else {
            return;
        };
        if *attempt != late {
            return;
        }
        let tries = plan.tries + 1;
        if tries <= self.tries && self.waiting.is_none() && plan.origin != Origin::Recovery {
            self.waiting = Some(Plan {
                tries,
                ..plan.clone()
            });
        }
        self.decide(late, Verdict::Abort, out);
    }

    /// Aborts an attempt whose weights a rank has lost since it had them.
    fn unloaded(&mut self, version: MapVersion, out: &mut Vec<LeadOutput>) {
        let Phase::Promising { attempt, .. } = &self.phase else {
            return;
        };
        if attempt.version == version {
            let attempt = *attempt;
            self.again(attempt, out);
        }
    }

    fn load_over(&mut self, version: MapVersion, out: &mut Vec<LeadOutput>) {
        if matches!(&self.phase, Phase::Loading { plan, .. } if plan.version == version) {
            self.give_up_load(Rejection::Unloaded, out);
        }
    }

    /// Gives up a load: nothing was promised, so nobody needs a verdict.
    fn give_up_load(&mut self, why: Rejection, out: &mut Vec<LeadOutput>) {
        if self.is_bringing() && matches!(self.phase, Phase::Loading { .. }) {
            out.push(LeadOutput::Rejected(why));
            self.rest(out);
        }
    }

    /// Aborts an attempt that not every rank promised in time: the verdict still comes before
    /// the switch, so a rank that stalls holds nobody but itself.
    fn promise_over(&mut self, version: MapVersion, out: &mut Vec<LeadOutput>) {
        let Phase::Promising { attempt, .. } = &self.phase else {
            return;
        };
        if attempt.version == version && self.formed {
            let attempt = *attempt;
            out.push(LeadOutput::Rejected(Rejection::Unpromised));
            self.decide(attempt, Verdict::Abort, out);
        }
    }

    /// Tells whoever has not answered yet, and will do so again.
    fn tell_missing(&self, out: &mut Vec<LeadOutput>) {
        let term = self.term;
        let (answered, message) = match &self.phase {
            Phase::Asking { reports } => {
                let answered = reports.iter().map(Option::is_some).collect();
                (answered, LeadMessage::Ask { term })
            }
            Phase::Loading { plan, loaded } => (loaded.clone(), plan.load(term)),
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
    fn load(&self, term: LeadTerm) -> LeadMessage {
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
