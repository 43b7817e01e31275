//! The follower under each fault at each step, alone and in pairs, on a virtual clock.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde_json::json;

use snipemast_config::follower::{Input, Output};
use snipemast_config::{
    Ask, AskId, Config, Delta, DeltaLog, Follower, KeyHash, News, Patch, Reply, Snapshot,
};
use snipemast_core::prelude::*;

/// A fault that one request meets.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    /// The reply is lost, so that the follower's own deadline has to pass.
    Lost,
    /// The reply arrives after the next one.
    Delayed,
    /// The reply arrives twice, the second time much later.
    Doubled,
    /// The connection breaks at once.
    Cut,
    /// The process restarts with its last version, and the old reply still arrives.
    Restart,
    /// The process restarts without a configuration, and the old reply still arrives.
    Blank,
    /// The source is a relay that has long been cut off from control.
    OldRelay,
    /// The reply's bytes are corrupt, as if they were from another version.
    WrongPiece,
}

const FAULTS: [Fault; 8] = [
    Fault::Lost,
    Fault::Delayed,
    Fault::Doubled,
    Fault::Cut,
    Fault::Restart,
    Fault::Blank,
    Fault::OldRelay,
    Fault::WrongPiece,
];

/// A process that replies to the follower and moves from version to version.
struct Source {
    versions: Vec<Arc<Config>>,
    snapshots: Vec<Snapshot>,
    log: DeltaLog,
    at: usize,
}

impl Source {
    fn new(versions: &[Arc<Config>], snapshots: &[Snapshot], capacity: usize) -> Self {
        Self {
            versions: versions.to_vec(),
            snapshots: snapshots.to_vec(),
            log: DeltaLog::new(capacity),
            at: 0,
        }
    }

    fn advance(&mut self) {
        if self.at + 1 < self.versions.len() {
            let (old, new) = (&self.versions[self.at], &self.versions[self.at + 1]);
            self.log.push(Delta::between(old, new));
            self.at += 1;
        }
    }

    fn answer(&self, ask: Ask, age: Option<Span>) -> Reply {
        let now = &self.versions[self.at];
        let news = match ask {
            Ask::Poll { after, .. } if after >= now.version => News::Unchanged,
            Ask::Poll { after, .. } => match self.log.since(after) {
                Some(delta) => News::Delta(Box::new(delta)),
                None => News::Snapshot(self.snapshots[self.at].head()),
            },
            Ask::Piece { version, offset } => {
                let snapshot = self.snapshots.get(version.get() as usize);
                snapshot.map_or(News::Gone, |s| s.piece(offset))
            }
        };
        Reply {
            news,
            age,
            held: Span::default(),
            linked: true,
            fence: Fence::new(now.version.get()),
        }
    }
}

/// Returns versions 0 to 6, which are large enough that a snapshot has several pieces.
fn versions() -> (Vec<Arc<Config>>, Vec<Snapshot>) {
    let mut versions = vec![Arc::new(Config::default())];
    for n in 1..=6 {
        let names = 0..if n == 1 { 700 } else { 3 };
        let entries: BTreeMap<String, _> = names
            .map(|k| {
                let entry = json!({ "keys": [KeyHash::from_key(&format!("{k}"))], "weight": n });
                (format!("workspace-{k}"), entry)
            })
            .collect();
        let last = &versions[n - 1];
        let patch = Patch {
            id: "p".parse().expect("the name is valid"),
            base: last.version,
            reason: String::new(),
            set: json!({ "workspaces": entries }),
        };
        versions.push(Arc::new(
            patch.apply(last).expect("the patch has no faults"),
        ));
    }
    let snapshots = versions.iter().map(|v| Snapshot::new(v)).collect();
    (versions, snapshots)
}

/// Runs a follower until it has the last version. Each fault occurs at its step.
struct Run<'a> {
    versions: &'a [Arc<Config>],
    snapshots: &'a [Snapshot],
    sources: [Source; 2],
    faults: &'a [(usize, Fault)],
    follower: Follower,
    now: Moment,
    delayed: Vec<(AskId, Reply)>,
    last_applied: Arc<Config>,
}

impl<'a> Run<'a> {
    fn new(
        (versions, snapshots): &'a (Vec<Arc<Config>>, Vec<Snapshot>),
        capacity: usize,
        faults: &'a [(usize, Fault)],
    ) -> Self {
        let source = || Source::new(versions, snapshots, capacity);
        Self {
            versions,
            snapshots,
            sources: [source(), source()],
            faults,
            follower: Follower::new(2, Arc::default(), 7),
            now: Moment::from_millis(1),
            delayed: Vec::new(),
            last_applied: Arc::default(),
        }
    }

    /// Returns the number of requests, or `None` if the last version never arrived.
    fn finish(mut self) -> Option<usize> {
        let mut step = 0;
        for _ in 0..400 {
            self.now = self.now.max(self.follower.wake());
            for output in self.handle(Input::Tick) {
                if let Output::Send {
                    id, source, ask, ..
                } = output
                {
                    self.exchange(step, id, source, ask);
                    step += 1;
                    self.sources[0].advance();
                    self.sources[1].advance();
                }
            }
            let last = self.versions.last().expect("there is a first version");
            if self.follower.config().version == last.version {
                return Some(step);
            }
        }
        None
    }

    fn exchange(&mut self, step: usize, id: AskId, source: usize, ask: Ask) {
        let mut next = Some((id, source, ask));
        // The next piece is requested as soon as the one before has arrived.
        while let Some((id, source, ask)) = next.take() {
            let fault = self.faults.iter().find(|(at, _)| *at == step);
            let reply = self.sources[source].answer(ask, Some(Span::default()));
            let outputs = match fault.map(|(_, fault)| *fault) {
                None => self.handle(Input::Reply { ask: id, reply }),
                Some(Fault::Lost) => Vec::new(),
                Some(Fault::Delayed) => {
                    self.delayed.push((id, reply));
                    Vec::new()
                }
                Some(Fault::Doubled) => {
                    self.delayed.push((id, reply.clone()));
                    self.handle(Input::Reply { ask: id, reply })
                }
                Some(Fault::Cut) => self.handle(Input::Lost { ask: id }),
                Some(Fault::Restart) => self.restart(id, reply, Arc::clone(&self.last_applied)),
                Some(Fault::Blank) => self.restart(id, reply, Arc::default()),
                Some(Fault::OldRelay) => {
                    let old = Source::new(self.versions, self.snapshots, 0);
                    let reply = old.answer(ask, Some(Span::from_secs(3_600)));
                    self.handle(Input::Reply { ask: id, reply })
                }
                Some(Fault::WrongPiece) => {
                    let mut reply = reply;
                    if let News::Piece { bytes, .. } = &mut reply.news {
                        bytes[0] ^= 1;
                    }
                    self.handle(Input::Reply { ask: id, reply })
                }
            };
            let sends = outputs.into_iter().filter_map(|o| match o {
                Output::Send {
                    id, source, ask, ..
                } => Some((id, source, ask)),
                Output::Retire { .. } | Output::Apply { .. } => None,
            });
            next = sends.last();
            if next.is_none() {
                for (ask, reply) in std::mem::take(&mut self.delayed) {
                    if ask != id {
                        self.handle(Input::Reply { ask, reply });
                    } else {
                        self.delayed.push((ask, reply));
                    }
                }
            }
        }
    }

    fn restart(&mut self, ask: AskId, reply: Reply, config: Arc<Config>) -> Vec<Output> {
        self.follower = Follower::new(2, config, 8);
        self.handle(Input::Reply { ask, reply })
    }

    /// Handles an input. Each version that comes into force must be later than the last, and equal
    /// to the one that was accepted under its number.
    fn handle(&mut self, input: Input) -> Vec<Output> {
        let before = self.follower.config().version;
        let outputs = self.follower.handle(self.now, input);
        for output in &outputs {
            if let Output::Apply { config, .. } = output {
                assert!(config.version > before, "the version went back");
                let accepted = &self.versions[config.version.get() as usize];
                assert!(
                    config == accepted,
                    "the version differs from the accepted one"
                );
                self.last_applied = Arc::clone(config);
            }
        }
        outputs
    }
}

/// Replies are lost, late, duplicated, reordered or corrupt, and the process restarts in between.
/// It must reach the last version, never go back, and never have anything in force but an accepted
/// version.
#[test]
fn fault_matrix() {
    let versions = versions();
    let mut cells = 0;
    for capacity in [64, 2] {
        let steps = Run::new(&versions, capacity, &[])
            .finish()
            .expect("a run without faults ends");
        for at in 0..steps {
            for fault in FAULTS {
                let faults = [(at, fault)];
                let run = Run::new(&versions, capacity, &faults);
                assert!(run.finish().is_some(), "the run with {faults:?} never ends");
                cells += 1;
                for second in (at + 1)..(at + 4) {
                    for other in FAULTS {
                        let faults = [(at, fault), (second, other)];
                        let run = Run::new(&versions, capacity, &faults);
                        assert!(run.finish().is_some(), "the run with {faults:?} never ends");
                        cells += 1;
                    }
                }
            }
        }
    }
    println!("cells: {cells}");
}

/// A late reply to an earlier request would make the version jump back and forth.
#[test]
fn late_reply_dropped() {
    let (versions, snapshots) = versions();
    let mut source = Source::new(&versions, &snapshots, 64);
    source.advance();
    source.advance();
    let mut follower = Follower::new(1, Arc::default(), 1);
    let ask = |outputs: &[Output]| match outputs {
        [Output::Send { id, ask, .. }] => (*id, *ask),
        other => panic!("expected one request, found {other:?}"),
    };
    let (first, poll) = ask(&follower.handle(Moment::ZERO, Input::Tick));
    let reply = source.answer(poll, Some(Span::default()));
    let late = follower.wake();
    follower.handle(late, Input::Tick);
    let again = follower.wake();
    let (second, _) = ask(&follower.handle(again, Input::Tick));
    assert_ne!(first, second);
    let input = Input::Reply {
        ask: first,
        reply: reply.clone(),
    };
    assert!(follower.handle(again, input).is_empty());
    let applied = follower.handle(again, Input::Reply { ask: second, reply });
    assert!(matches!(applied[..], [Output::Apply { .. }]));
}

/// A relay that is cut off from control still replies that there is no later version. The processes
/// behind it would keep an old version although the zone's other relay has the new one.
#[test]
fn stale_relay_left() {
    let mut follower = Follower::new(2, Arc::default(), 1);
    let mut now = Moment::ZERO;
    let mut asked = Vec::new();
    for _ in 0..3 {
        now = now.max(follower.wake());
        for output in follower.handle(now, Input::Tick) {
            if let Output::Send { id, source, .. } = output {
                asked.push(source);
                now = now + Span::from_secs(1);
                let age = [Span::from_secs(60), Span::from_millis(1)][source];
                let reply = Reply {
                    news: News::Unchanged,
                    age: Some(age),
                    held: Span::from_secs(1),
                    linked: true,
                    fence: Fence::default(),
                };
                let retired = follower.handle(now, Input::Reply { ask: id, reply });
                let old = Output::Retire { source: 0 };
                assert_eq!(retired.contains(&old), source == 0);
            }
        }
    }
    assert_eq!(asked, [0, 1, 1]);
}

/// All sources are gone. Without a backoff, the follower would flood them with requests; without an
/// upper capacity of the backoff, it would stop asking.
#[test]
fn unreachable_sources() {
    let mut follower = Follower::new(3, Arc::default(), 1);
    let mut now = Moment::ZERO;
    let mut asked = 0;
    while now < Moment::ZERO + Span::from_secs(600) {
        now = now.max(follower.wake());
        for output in follower.handle(now, Input::Tick) {
            if let Output::Send { id, .. } = output {
                asked += 1;
                follower.handle(now, Input::Lost { ask: id });
            }
        }
    }
    assert!((300..700).contains(&asked), "{asked} requests in 600 s");
    assert!(!follower.is_linked());
}

/// A source replies with a piece from another offset of the snapshot. The piece must not be used,
/// and the follower starts over at another source.
#[test]
fn misplaced_piece() {
    let (versions, snapshots) = versions();
    let mut source = Source::new(&versions, &snapshots, 0);
    source.advance();
    let mut follower = Follower::new(1, Arc::default(), 1);
    let asked = |outputs: &[Output]| match outputs {
        [Output::Send { id, ask, .. }] => (*id, *ask),
        other => panic!("expected one request, found {other:?}"),
    };
    let (id, poll) = asked(&follower.handle(Moment::ZERO, Input::Tick));
    let reply = source.answer(poll, Some(Span::default()));
    let (id, ask) = asked(&follower.handle(Moment::ZERO, Input::Reply { ask: id, reply }));
    let Ask::Piece { version, .. } = ask else {
        panic!("expected a request for a piece, found {ask:?}");
    };
    let elsewhere = Ask::Piece { version, offset: 9 };
    let reply = source.answer(elsewhere, Some(Span::default()));
    let outputs = follower.handle(Moment::ZERO, Input::Reply { ask: id, reply });
    assert_eq!(outputs, [Output::Retire { source: 0 }]);
    assert_eq!(follower.config().version, Version::new(0));
}
