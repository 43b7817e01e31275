//! What callers, servers and the operator saw, and which promise it breaks.

use std::collections::HashMap;
use std::fmt;
use std::time::{Duration, Instant};

use super::plan::AFTER;
use snipemast_core::prelude::*;
use snipemast_site::{RejectedRequest, ServedRequest, STREAM_EVENTS};

/// How long a caller may wait: the routes' time, and some for a busy machine.
const TIME: Duration = Duration::from_millis(3_000 + 750);

/// How long after its acknowledgement a change is in force everywhere, and a server that leaves is
/// sent nothing.
const IN_FORCE: Duration = Duration::from_millis(2_000);
const DRAINED: Duration = Duration::from_millis(2_000);

/// From when on a limit holds after it was named, and over which time requests are counted.
const SETTLED: Duration = Duration::from_secs(3);
const WINDOW: Duration = Duration::from_secs(4);

/// How long after it was asked for a rest holds, and how many requests a gateway may send in it.
const RESTS: Duration = Duration::from_millis(500);
const IN_REST: usize = 2;

/// What may be repeated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// It runs at most once.
    Once,
    /// It may run again.
    Safe,
    /// It may go on elsewhere.
    Stream,
}

/// Whom a trouble concerns.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Whom {
    /// The process of a host.
    Host(u8),
    /// A host's process that was told to end: no reason to break an answer off.
    Ending(u8),
    /// The servers of a place, one after another.
    Server(u8),
}

/// A trouble while it lasted.
#[derive(Debug, Clone, Copy)]
pub struct Cause {
    /// Whom it concerns.
    pub whom: Whom,
    /// From when.
    pub from: Instant,
    /// Until when, if it is over.
    pub until: Option<Instant>,
}

/// How a request ended for its caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum End {
    /// No connection could be opened.
    Unconnected,
    /// The connection was closed before an answer began.
    Closed,
    /// It was given up without an answer.
    Silent,
    /// An answer came.
    Answer {
        /// Its status.
        status: u16,
        /// Whether a server made it.
        sealed: bool,
        /// Whether it names another attempt than the one that it answers.
        foreign: bool,
        /// Whether it came in whole.
        whole: bool,
        /// Its body.
        body: String,
    },
}

/// A request.
#[derive(Debug, Clone)]
pub struct Asked {
    /// The id of the attempt.
    pub attempt: String,
    /// What may be repeated.
    pub kind: Kind,
    /// The gateway.
    pub gateway: u8,
    /// When it was sent, and when it ended.
    pub sent: Instant,
    /// When it ended.
    pub ended: Instant,
    /// How.
    pub end: End,
}

/// A read of the configuration that was answered.
#[derive(Debug, Clone, Copy)]
pub struct ReadBack {
    /// The controller.
    pub host: u8,
    /// When it was sent.
    pub sent: Instant,
    /// The version that came.
    pub version: u64,
}

/// A server that said it leaves, once that was acknowledged.
#[derive(Debug, Clone)]
pub struct Drained {
    /// The server.
    pub server: String,
    /// When the acknowledgement came.
    pub at: Instant,
}

/// A server that named a limit for a time.
#[derive(Debug, Clone)]
pub struct Limited {
    /// The server.
    pub server: String,
    /// The requests a second that it takes from all hosts together.
    pub rate: Rate,
    /// From when it named that.
    pub from: Instant,
    /// Until when.
    pub until: Instant,
}

/// A server that turned requests away and asked for rest.
#[derive(Debug, Clone)]
pub struct Rested {
    /// The server.
    pub server: String,
    /// The rest that it asked each host for.
    pub rest: Duration,
    /// What it turned away.
    pub turned: Vec<RejectedRequest>,
}

/// A server that said in its answers that it leaves.
#[derive(Debug, Clone)]
pub struct Left {
    /// The server.
    pub server: String,
    /// From when on.
    pub from: Instant,
}

/// Requests by the ids of their attempts.
type Requests<'a> = HashMap<&'a str, &'a Asked>;

/// A promise that was broken.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Broken(pub String);

impl fmt::Display for Broken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// All that was seen.
#[derive(Debug, Default)]
pub struct Record {
    /// Requests.
    pub asked: Vec<Asked>,
    /// Troubles.
    pub causes: Vec<Cause>,
    /// Acknowledged versions.
    pub acked: Vec<(u64, Instant)>,
    /// Reads.
    pub reads: Vec<ReadBack>,
    /// Drains.
    pub drained: Vec<Drained>,
    /// Limits.
    pub limited: Vec<Limited>,
    /// Rests.
    pub rested: Vec<Rested>,
    /// Servers that said in their answers that they leave.
    pub left: Vec<Left>,
    /// Processes that ended by themselves.
    pub ended: Vec<Broken>,
}

impl Record {
    /// Which promises are broken, given what each server ran.
    pub fn broken(&self, ran: &HashMap<String, Vec<ServedRequest>>) -> Vec<Broken> {
        let asked: Requests = self.asked.iter().map(|a| (a.attempt.as_str(), a)).collect();
        let mut places: HashMap<&str, Vec<u8>> = HashMap::new();
        for (server, runs) in ran {
            for run in runs {
                places.entry(&run.attempt).or_default().push(place(server));
            }
        }
        let mut broken = self.ended.clone();
        for asked in &self.asked {
            let at = places.get(asked.attempt.as_str());
            let at = at.map_or(&[][..], Vec::as_slice);
            let said = self.judge(asked, at);
            broken.extend(said.map(|said| Broken(format!("{said}: {asked:?}, ran at {at:?}"))));
        }
        broken.extend(self.older_reads());
        broken.extend(self.sent_to_drained(ran, &asked));
        broken.extend(
            self.limited
                .iter()
                .filter_map(|l| self.sent_beyond(l, ran, &asked)),
        );
        broken.extend(
            self.rested
                .iter()
                .filter_map(|r| self.sent_in_rest(r, ran, &asked)),
        );
        broken.extend(
            self.left
                .iter()
                .filter_map(|l| self.sent_to_leaving(l, ran, &asked)),
        );
        broken.extend(passed_keys(ran));
        broken
    }

    /// A host's process is found not to run.
    pub fn note_end(&mut self, host: u8) {
        let now = Instant::now();
        if !self.is_disturbed(host, now, now) {
            let said = format!("the process of host {host} ended by itself");
            self.ended.push(Broken(said));
        }
    }

    /// Which promise a request's end breaks, given the places of the servers that ran it.
    fn judge(&self, asked: &Asked, at: &[u8]) -> Option<&'static str> {
        if asked.kind == Kind::Once && at.len() > 1 {
            return Some("ran more than once");
        }
        let late = asked.ended - asked.sent > TIME;
        if late && !self.excused(asked, None) {
            return Some("had no final answer in time");
        }
        match &asked.end {
            // Whoever can't connect goes elsewhere.
            End::Unconnected => None,
            End::Closed | End::Silent => {
                let lost = !at.is_empty() && !self.excused(asked, Some(at));
                lost.then_some("ended without an answer")
            }
            End::Answer { foreign: true, .. } => Some("the answer to another request"),
            End::Answer {
                status,
                sealed,
                whole,
                body,
                ..
            } => self.judge_answer(asked, at, (*status, *sealed, *whole), body),
        }
    }

    fn judge_answer(
        &self,
        asked: &Asked,
        at: &[u8],
        (status, sealed, whole): (u16, bool, bool),
        body: &str,
    ) -> Option<&'static str> {
        let promise = matches!(status, 408 | 421 | 429 | 503);
        match status {
            200 if !sealed => Some("a success that no server made"),
            200 if whole && body != expected(asked) => Some("another answer than the server's"),
            200 if !whole && !self.excused(asked, Some(at)) => Some("was broken off"),
            400..=404 => Some("was refused though it is proper"),
            _ if promise && asked.kind == Kind::Once && !at.is_empty() => {
                Some("was said not to have run")
            }
            _ => None,
        }
    }

    /// Whether a trouble explains why a request went wrong: why it was late, or why it was broken off
    /// at the servers that ran it.
    fn excused(&self, asked: &Asked, broken: Option<&[u8]>) -> bool {
        self.causes.iter().any(|cause| {
            let near = match cause.whom {
                Whom::Host(host) => host == asked.gateway,
                Whom::Ending(host) => host == asked.gateway && broken.is_none(),
                Whom::Server(place) => broken.is_none_or(|at| at.contains(&place)),
            };
            near && cause.overlaps(asked.sent, asked.ended)
        })
    }

    /// Reads that came back older than what had been acknowledged long enough before.
    fn older_reads(&self) -> Vec<Broken> {
        let older = self.reads.iter().filter_map(|read| {
            let due = self
                .acked
                .iter()
                .filter(|(_, at)| *at + IN_FORCE <= read.sent);
            let newest = due.map(|(version, _)| *version).max()?;
            let said = format!("acknowledged version {newest} was read back older: {read:?}");
            (read.version < newest).then_some(Broken(said))
        });
        older.collect()
    }

    fn sent_to_drained(
        &self,
        ran: &HashMap<String, Vec<ServedRequest>>,
        asked: &Requests<'_>,
    ) -> Vec<Broken> {
        let mut broken = Vec::new();
        for drained in &self.drained {
            let due = drained.at + DRAINED;
            let runs = ran.get(&drained.server).into_iter().flatten();
            for run in runs.filter(|r| r.at > due) {
                let asked = asked.get(run.attempt.as_str());
                let excused = asked.is_none_or(|a| {
                    // A gateway that is out of touch may not know yet.
                    let trouble = |c: &&Cause| matches!(c.whom, Whom::Host(_) | Whom::Ending(_));
                    let mut troubles = self.causes.iter().filter(trouble);
                    troubles.any(|c| c.overlaps(drained.at, a.ended))
                });
                if !excused {
                    let said = format!("{} was sent {run:?} after its drain", drained.server);
                    broken.push(Broken(said));
                }
            }
        }
        broken
    }
}

impl Record {
    /// What a server with a limit was sent beyond that.
    fn sent_beyond(
        &self,
        limited: &Limited,
        ran: &HashMap<String, Vec<ServedRequest>>,
        asked: &Requests<'_>,
    ) -> Option<Broken> {
        let allowed = 1.5 * limited.rate.as_per_second() * WINDOW.as_secs_f64() + 5.0;
        let runs = ran.get(&limited.server).into_iter().flatten();
        let settled = limited.from + SETTLED;
        let runs = runs.filter(|r| r.at >= settled && r.at <= limited.until);
        let mut at: Vec<Instant> = runs
            .filter(|r| self.counts(r, asked))
            .map(|r| r.at)
            .collect();
        at.sort_unstable();
        let within = |first: Instant| {
            let same = at.iter().filter(|a| **a >= first && **a < first + WINDOW);
            same.count()
        };
        let most = at.iter().map(|first| within(*first)).max()?;
        let said = format!("{limited:?} was sent {most} in 4 s, allowed {allowed}");
        (most as f64 > allowed).then_some(Broken(said))
    }

    /// What a gateway sent a server in a rest that the server had asked it for.
    fn sent_in_rest(
        &self,
        rested: &Rested,
        ran: &HashMap<String, Vec<ServedRequest>>,
        asked: &Requests<'_>,
    ) -> Option<Broken> {
        let ran = ran.get(&rested.server).into_iter().flatten();
        let ran = ran.map(|r| (r.attempt.as_str(), r.at));
        let turned = rested.turned.iter().map(|t| (t.attempt.as_str(), t.at));
        let by = |(attempt, at)| Some((asked.get(attempt)?.gateway, at));
        let arrived: Vec<(u8, Instant)> = ran.chain(turned.clone()).filter_map(by).collect();
        turned.filter_map(by).find_map(|(gateway, at)| {
            let (from, until) = (at + RESTS, at + rested.rest);
            let own = arrived.iter().filter(|(g, _)| *g == gateway);
            let sent = own.filter(|(_, at)| *at > from && *at < until).count();
            // What the server said may not have come through.
            let server = Whom::Server(place(&rested.server));
            let mut causes = self.causes.iter();
            let unheard = causes.any(|c| c.whom == server && c.overlaps(at, until));
            let excused = unheard || self.is_disturbed(gateway, at, until);
            let said = format!(
                "{} was sent {sent} by {gateway} in a rest of {:?}",
                rested.server, rested.rest
            );
            (sent > IN_REST && !excused).then_some(Broken(said))
        })
    }

    /// What a gateway sent a server long after it had passed on the server's word that it leaves.
    fn sent_to_leaving(
        &self,
        left: &Left,
        ran: &HashMap<String, Vec<ServedRequest>>,
        asked: &Requests<'_>,
    ) -> Option<Broken> {
        let runs = ran.get(&left.server)?.iter();
        let runs: Vec<&Asked> = runs
            .filter(|r| r.at >= left.from)
            .filter_map(|r| asked.get(r.attempt.as_str()).copied())
            .collect();
        runs.iter().find_map(|late| {
            let passed = |a: &&&Asked| {
                a.gateway == late.gateway && matches!(a.end, End::Answer { sealed: true, .. })
            };
            let first = runs.iter().filter(passed).map(|a| a.ended).min()?;
            let restarted = self.is_disturbed(late.gateway, first, late.ended);
            let said = format!(
                "{} was sent {late:?} after it said that it leaves",
                left.server
            );
            (late.sent > first + DRAINED && !restarted).then_some(Broken(said))
        })
    }

    /// Whether a run counts against a limit: its gateway was neither restarted nor stopped nor cut off just before.
    fn counts(&self, run: &ServedRequest, asked: &Requests<'_>) -> bool {
        // One that has not ended is judged once it has.
        let asked = asked.get(run.attempt.as_str());
        asked.is_some_and(|a| !self.is_disturbed(a.gateway, run.at, run.at))
    }

    /// Whether a trouble of a host's process may have had an effect in a time.
    fn is_disturbed(&self, host: u8, from: Instant, until: Instant) -> bool {
        let own = |c: &&Cause| matches!(c.whom, Whom::Host(h) | Whom::Ending(h) if h == host);
        let mut causes = self.causes.iter().filter(own);
        causes.any(|c| c.overlaps(from, until))
    }
}

impl Cause {
    /// Whether it may still have had an effect in a time.
    fn overlaps(&self, from: Instant, until: Instant) -> bool {
        let over = self.until.map(|over| over + AFTER.as_duration());
        self.from <= until && over.is_none_or(|over| over >= from)
    }
}

/// The place of a server, out of its id.
fn place(server: &str) -> u8 {
    let place = server.split('-').nth(1).and_then(|p| p.parse().ok());
    place.expect("the soak's servers are named by their place")
}

/// What a server answers.
fn expected(asked: &Asked) -> String {
    match asked.kind {
        Kind::Once | Kind::Safe => format!("answer to {}", asked.attempt),
        Kind::Stream => {
            let events = (1..=STREAM_EVENTS).map(|id| format!("id: {id}\ndata: word {id}\n\n"));
            events.collect()
        }
    }
}

/// Runs that came with a caller's key, or for no workspace.
fn passed_keys(ran: &HashMap<String, Vec<ServedRequest>>) -> Vec<Broken> {
    let runs = ran.values().flatten();
    let wrong = runs.filter(|r| r.has_key || r.workspace.as_deref() != Some("andes"));
    wrong
        .map(|r| Broken(format!("for whom it runs is wrong: {r:?}")))
        .collect()
}
