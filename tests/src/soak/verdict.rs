//! Records what callers, servers and operators observed, and finds the guarantees that it violates.

use std::collections::HashMap;
use std::fmt;
use std::time::{Duration, Instant};

use super::plan::AFTERMATH;
use snipemast_core::prelude::*;
use snipemast_site::{RejectedRequest, ServedRequest, STREAM_EVENTS};

/// The time limit for an answer: the timeout of the routes, and a margin for a busy machine.
const ANSWER_LIMIT: Duration = Duration::from_millis(3_000 + 750);

/// How long after the acknowledgement a change must be in force everywhere, and a leaving server must
/// not be sent requests any more.
const CHANGE_DELAY: Duration = Duration::from_millis(2_000);
const DRAIN_DELAY: Duration = Duration::from_millis(2_000);

/// How long after it was named a limit must hold, and the window in which requests are counted.
const LIMIT_DELAY: Duration = Duration::from_secs(3);
const LIMIT_WINDOW: Duration = Duration::from_secs(4);

/// How long after it was asked for a rest must hold, and how many requests a gateway may still send in it.
const REST_DELAY: Duration = Duration::from_millis(500);
const REST_ALLOWANCE: usize = 2;

/// The kind of a request, by how it may be repeated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// It must run at most once.
    Once,
    /// It may run again.
    Safe,
    /// It may be continued at another server.
    Stream,
}

/// The target of a fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Target {
    /// The process of a host.
    Host(u8),
    /// The process of a host that got SIGTERM. It must not break off an answer.
    Ending(u8),
    /// The servers that run at a place one after another.
    Server(u8),
}

/// A fault and the time that it lasted, which may excuse a failed request.
#[derive(Debug, Clone, Copy)]
pub struct Cause {
    /// The target of the fault.
    pub target: Target,
    /// The start of the fault.
    pub from: Instant,
    /// The end of the fault, if it is over.
    pub until: Option<Instant>,
}

/// How a request ended for its caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum End {
    /// No connection could be opened.
    Unconnected,
    /// The connection was closed before an answer began.
    Closed,
    /// The caller gave up without an answer.
    Silent,
    /// An answer arrived.
    Answer {
        /// The status.
        status: u16,
        /// Whether a server created it.
        sealed: bool,
        /// Whether it names another attempt than the request's.
        foreign: bool,
        /// Whether it arrived completely.
        whole: bool,
        /// The body.
        body: String,
    },
}

/// A request of a caller.
#[derive(Debug, Clone)]
pub struct CallerRequest {
    /// The id of the attempt.
    pub attempt: String,
    /// The kind of the request.
    pub kind: Kind,
    /// The gateway that it was sent to.
    pub gateway: u8,
    /// When it was sent.
    pub sent: Instant,
    /// When it ended.
    pub ended: Instant,
    /// How it ended.
    pub end: End,
}

/// An answered read of the configuration.
#[derive(Debug, Clone, Copy)]
pub struct ReadBack {
    /// The controller.
    pub host: u8,
    /// When it was sent.
    pub sent: Instant,
    /// The version that was returned.
    pub version: u64,
}

/// A server whose announcement that it leaves was acknowledged.
#[derive(Debug, Clone)]
pub struct DrainedServer {
    /// The server.
    pub server: String,
    /// When the acknowledgement arrived.
    pub at: Instant,
}

/// A server that named a limit for a time.
#[derive(Debug, Clone)]
pub struct LimitedServer {
    /// The server.
    pub server: String,
    /// The rate of requests that it accepts from all hosts together.
    pub rate: Rate,
    /// When it began to name the limit.
    pub from: Instant,
    /// When it stopped naming the limit.
    pub until: Instant,
}

/// A server that rejected requests and asked for rest.
#[derive(Debug, Clone)]
pub struct RestedServer {
    /// The server.
    pub server: String,
    /// The rest that it request each host for.
    pub rest: Duration,
    /// The requests that it rejected.
    pub rejected: Vec<RejectedRequest>,
}

/// A server that announced in its answers that it leaves.
#[derive(Debug, Clone)]
pub struct LeavingServer {
    /// The server.
    pub server: String,
    /// When it began to announce it.
    pub from: Instant,
}

/// Requests by the ids of their attempts.
type Requests<'a> = HashMap<&'a str, &'a CallerRequest>;

/// A violated guarantee, described for a person.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Violation(pub String);

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// Everything that was observed in a soak.
#[derive(Debug, Default)]
pub struct Record {
    /// The requests of callers.
    pub requests: Vec<CallerRequest>,
    /// The faults.
    pub causes: Vec<Cause>,
    /// The acknowledged versions, with the time of the acknowledgement.
    pub acked: Vec<(u64, Instant)>,
    /// The reads of the configuration.
    pub reads: Vec<ReadBack>,
    /// The servers that drained.
    pub drained: Vec<DrainedServer>,
    /// The servers that named limits.
    pub limited: Vec<LimitedServer>,
    /// The servers that asked for rest.
    pub rested: Vec<RestedServer>,
    /// The servers that announced in their answers that they leave.
    pub leaving: Vec<LeavingServer>,
    /// The processes that ended by themselves.
    pub ended: Vec<Violation>,
}

impl Record {
    /// Returns the violated guarantees, given the requests that each server served.
    pub fn violations(&self, served: &HashMap<String, Vec<ServedRequest>>) -> Vec<Violation> {
        let by_attempt: Requests = self
            .requests
            .iter()
            .map(|r| (r.attempt.as_str(), r))
            .collect();
        let mut places: HashMap<&str, Vec<u8>> = HashMap::new();
        for (server, runs) in served {
            for run in runs {
                places
                    .entry(&run.attempt)
                    .or_default()
                    .push(parse_place(server));
            }
        }
        let mut violations = self.ended.clone();
        for request in &self.requests {
            let at = places.get(request.attempt.as_str());
            let at = at.map_or(&[][..], Vec::as_slice);
            let violated = self.check_request(request, at);
            violations.extend(
                violated.map(|text| Violation(format!("{text}: {request:?}, ran at {at:?}"))),
            );
        }
        violations.extend(self.check_reads());
        violations.extend(self.check_drained(served, &by_attempt));
        violations.extend(
            self.limited
                .iter()
                .filter_map(|l| self.check_limit(l, served, &by_attempt)),
        );
        violations.extend(
            self.rested
                .iter()
                .filter_map(|r| self.check_rest(r, served, &by_attempt)),
        );
        violations.extend(
            self.leaving
                .iter()
                .filter_map(|l| self.check_leaving(l, served, &by_attempt)),
        );
        violations.extend(check_keys(served));
        violations
    }

    /// Records that a host's process does not run, which violates a guarantee unless a fault excuses it.
    pub fn record_end(&mut self, host: u8) {
        let now = Instant::now();
        if !self.is_disturbed(host, now, now) {
            let text = format!("the process of host {host} ended by itself");
            self.ended.push(Violation(text));
        }
    }

    /// Returns the guarantee that a request's end violates, given the places of the servers that served it.
    fn check_request(&self, request: &CallerRequest, at: &[u8]) -> Option<&'static str> {
        if request.kind == Kind::Once && at.len() > 1 {
            return Some("ran more than once");
        }
        let late = request.ended - request.sent > ANSWER_LIMIT;
        if late && !self.is_excused(request, None) {
            return Some("had no final answer in time");
        }
        match &request.end {
            // A caller that can't connect tries another gateway.
            End::Unconnected => None,
            End::Closed | End::Silent => {
                let lost = !at.is_empty() && !self.is_excused(request, Some(at));
                lost.then_some("ended without an answer")
            }
            End::Answer { foreign: true, .. } => Some("got the answer to another request"),
            End::Answer {
                status,
                sealed,
                whole,
                body,
                ..
            } => self.check_answer(request, at, (*status, *sealed, *whole), body),
        }
    }

    /// Returns the guarantee that an answer violates, given the places of the servers that served the request.
    fn check_answer(
        &self,
        request: &CallerRequest,
        at: &[u8],
        (status, sealed, whole): (u16, bool, bool),
        body: &str,
    ) -> Option<&'static str> {
        let is_unrun = matches!(status, 408 | 421 | 429 | 503);
        match status {
            200 if !sealed => Some("a success that no server created"),
            200 if whole && body != expected_body(request) => {
                Some("the answer differs from the server's")
            }
            200 if !whole && !self.is_excused(request, Some(at)) => Some("was broken off"),
            400..=404 => Some("was refused though it is valid"),
            _ if is_unrun && request.kind == Kind::Once && !at.is_empty() => {
                Some("was reported as not run, but ran")
            }
            _ => None,
        }
    }

    /// Whether a fault excuses a failed request: a late one if `broken_at` is `None`, else one whose answer was
    /// broken off by the servers at these places.
    fn is_excused(&self, request: &CallerRequest, broken_at: Option<&[u8]>) -> bool {
        self.causes.iter().any(|cause| {
            let near = match cause.target {
                Target::Host(host) => host == request.gateway,
                Target::Ending(host) => host == request.gateway && broken_at.is_none(),
                Target::Server(place) => broken_at.is_none_or(|at| at.contains(&place)),
            };
            near && cause.overlaps(request.sent, request.ended)
        })
    }

    /// Returns the reads that were older than a version acknowledged long enough before.
    fn check_reads(&self) -> Vec<Violation> {
        let older = self.reads.iter().filter_map(|read| {
            let due = self
                .acked
                .iter()
                .filter(|(_, at)| *at + CHANGE_DELAY <= read.sent);
            let newest = due.map(|(version, _)| *version).max()?;
            let text = format!("acknowledged version {newest} was read back older: {read:?}");
            (read.version < newest).then_some(Violation(text))
        });
        older.collect()
    }

    /// Returns the requests that a server was sent long after its leave was acknowledged.
    fn check_drained(
        &self,
        served: &HashMap<String, Vec<ServedRequest>>,
        by_attempt: &Requests<'_>,
    ) -> Vec<Violation> {
        let mut violations = Vec::new();
        for drained in &self.drained {
            let due = drained.at + DRAIN_DELAY;
            let runs = served.get(&drained.server).into_iter().flatten();
            for run in runs.filter(|r| r.at > due) {
                let request = by_attempt.get(run.attempt.as_str());
                let excused = request.is_none_or(|a| {
                    // A gateway that can't be reached may not know of the leave yet.
                    let of_host =
                        |c: &&Cause| matches!(c.target, Target::Host(_) | Target::Ending(_));
                    let mut causes = self.causes.iter().filter(of_host);
                    causes.any(|c| c.overlaps(drained.at, a.ended))
                });
                if !excused {
                    let text = format!("{} was sent {run:?} after its drain", drained.server);
                    violations.push(Violation(text));
                }
            }
        }
        violations
    }
}

impl Record {
    /// Returns a violation if a server was sent more requests than its limit allows.
    fn check_limit(
        &self,
        limited: &LimitedServer,
        served: &HashMap<String, Vec<ServedRequest>>,
        by_attempt: &Requests<'_>,
    ) -> Option<Violation> {
        let allowed = 1.5 * limited.rate.as_per_second() * LIMIT_WINDOW.as_secs_f64() + 5.0;
        let runs = served.get(&limited.server).into_iter().flatten();
        let settled = limited.from + LIMIT_DELAY;
        let runs = runs.filter(|r| r.at >= settled && r.at <= limited.until);
        let mut at: Vec<Instant> = runs
            .filter(|r| self.is_counted(r, by_attempt))
            .map(|r| r.at)
            .collect();
        at.sort_unstable();
        let within = |first: Instant| {
            let same = at
                .iter()
                .filter(|a| **a >= first && **a < first + LIMIT_WINDOW);
            same.count()
        };
        let most = at.iter().map(|first| within(*first)).max()?;
        let text = format!("{limited:?} was sent {most} in 4 s, allowed {allowed}");
        (most as f64 > allowed).then_some(Violation(text))
    }

    /// Returns a violation if a gateway sent a server requests in a rest that the server had request it for.
    fn check_rest(
        &self,
        rested: &RestedServer,
        served: &HashMap<String, Vec<ServedRequest>>,
        by_attempt: &Requests<'_>,
    ) -> Option<Violation> {
        let runs = served.get(&rested.server).into_iter().flatten();
        let runs = runs.map(|r| (r.attempt.as_str(), r.at));
        let rejected = rested.rejected.iter().map(|r| (r.attempt.as_str(), r.at));
        let sent_by = |(attempt, at)| Some((by_attempt.get(attempt)?.gateway, at));
        let arrived: Vec<(u8, Instant)> =
            runs.chain(rejected.clone()).filter_map(sent_by).collect();
        rejected.filter_map(sent_by).find_map(|(gateway, at)| {
            let (from, until) = (at + REST_DELAY, at + rested.rest);
            let own = arrived.iter().filter(|(g, _)| *g == gateway);
            let sent = own.filter(|(_, at)| *at > from && *at < until).count();
            // The server's answer may not have reached the gateway.
            let server = Target::Server(parse_place(&rested.server));
            let mut causes = self.causes.iter();
            let unheard = causes.any(|c| c.target == server && c.overlaps(at, until));
            let excused = unheard || self.is_disturbed(gateway, at, until);
            let text = format!(
                "{} was sent {sent} by {gateway} in a rest of {:?}",
                rested.server, rested.rest
            );
            (sent > REST_ALLOWANCE && !excused).then_some(Violation(text))
        })
    }

    /// Returns a violation if a gateway sent a server a request long after it had forwarded an answer in which
    /// the server announced that it leaves.
    fn check_leaving(
        &self,
        leaving: &LeavingServer,
        served: &HashMap<String, Vec<ServedRequest>>,
        by_attempt: &Requests<'_>,
    ) -> Option<Violation> {
        let runs = served.get(&leaving.server)?.iter();
        let runs: Vec<&CallerRequest> = runs
            .filter(|r| r.at >= leaving.from)
            .filter_map(|r| by_attempt.get(r.attempt.as_str()).copied())
            .collect();
        runs.iter().find_map(|late| {
            let passed = |a: &&&CallerRequest| {
                a.gateway == late.gateway && matches!(a.end, End::Answer { sealed: true, .. })
            };
            let first = runs.iter().filter(passed).map(|a| a.ended).min()?;
            let restarted = self.is_disturbed(late.gateway, first, late.ended);
            let text = format!(
                "{} was sent {late:?} after it announced that it leaves",
                leaving.server
            );
            (late.sent > first + DRAIN_DELAY && !restarted).then_some(Violation(text))
        })
    }

    /// Whether a served request counts against a limit. It does not if its gateway was restarted, stopped or
    /// cut off just before.
    fn is_counted(&self, run: &ServedRequest, by_attempt: &Requests<'_>) -> bool {
        // A request that has not ended is checked once it has.
        let request = by_attempt.get(run.attempt.as_str());
        request.is_some_and(|a| !self.is_disturbed(a.gateway, run.at, run.at))
    }

    /// Whether a fault of a host's process may have had an effect between two times.
    fn is_disturbed(&self, host: u8, from: Instant, until: Instant) -> bool {
        let own = |c: &&Cause| matches!(c.target, Target::Host(h) | Target::Ending(h) if h == host);
        let mut causes = self.causes.iter().filter(own);
        causes.any(|c| c.overlaps(from, until))
    }
}

impl Cause {
    /// Whether the fault may have had an effect between two times.
    fn overlaps(&self, from: Instant, until: Instant) -> bool {
        let over = self.until.map(|over| over + AFTERMATH.as_duration());
        self.from <= until && over.is_none_or(|over| over >= from)
    }
}

/// Returns the place of a server, which its id contains.
fn parse_place(server: &str) -> u8 {
    let place = server.split('-').nth(1).and_then(|p| p.parse().ok());
    place.expect("the soak's servers are named after their place")
}

/// Returns the body with which a server answers a request.
fn expected_body(request: &CallerRequest) -> String {
    match request.kind {
        Kind::Once | Kind::Safe => format!("answer to {}", request.attempt),
        Kind::Stream => {
            let events = (1..=STREAM_EVENTS).map(|id| format!("id: {id}\ndata: word {id}\n\n"));
            events.collect()
        }
    }
}

/// Returns the served requests that carried a caller's key, or that were not for the caller's workspace.
fn check_keys(served: &HashMap<String, Vec<ServedRequest>>) -> Vec<Violation> {
    let runs = served.values().flatten();
    let wrong = runs.filter(|r| r.has_key || r.workspace.as_deref() != Some("andes"));
    wrong
        .map(|r| {
            Violation(format!(
                "a server was sent a key or a wrong workspace: {r:?}"
            ))
        })
        .collect()
}
