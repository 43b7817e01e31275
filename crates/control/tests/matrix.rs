//! The fault matrix: every fault at every step of the log, singly and in pairs.

mod support;

use std::collections::BTreeMap;

use snipemast_control::{Envelope, Message, Payload, VoterChange, VoterId, Voters, Write};
use snipemast_core::prelude::*;

use support::{location, World};

/// How long a fault lasts.
const WHILE: Span = Span::from_millis(150);

/// A step of the protocol, as a fault meets it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Step {
    PreVote,
    Vote,
    Replicate,
    Acknowledge,
    Commit,
    Mismatch,
    Install,
    Installed,
    Change,
    SyncVote,
    SyncEntries,
    SyncSnapshot,
}

/// What goes wrong at a step.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    /// The process dies; nothing that was not synced is left.
    Crash,
    /// The process dies after its writes reached the disk and before it heard so.
    CrashWritten,
    Lost,
    Delayed,
    Duplicated,
    Reordered,
    Cut,
    SlowDisk,
}

const FAULTS: [Fault; 8] = [
    Fault::Crash,
    Fault::CrashWritten,
    Fault::Lost,
    Fault::Delayed,
    Fault::Duplicated,
    Fault::Reordered,
    Fault::Cut,
    Fault::SlowDisk,
];

/// A fault at the nth time that a step is met, from 0.
type Plan = Vec<(Step, usize, Fault)>;

/// What ends a fault.
enum Undo {
    Restart(VoterId),
    Deliver(Envelope),
    Mend,
    Speed(VoterId),
}

struct Run {
    world: World,
    plan: Plan,
    met: BTreeMap<Step, usize>,
    later: Vec<(Moment, Undo)>,
}

fn step_of(message: &Message) -> Step {
    let changes = |e: &snipemast_control::LogEntry| matches!(e.payload, Payload::Voters(_));
    match message {
        Message::PreVote { .. } | Message::PreVoted { .. } => Step::PreVote,
        Message::Vote { .. } | Message::Voted { .. } => Step::Vote,
        Message::Append { entries, .. } if entries.is_empty() => Step::Commit,
        Message::Append { entries, .. } if entries.iter().any(changes) => Step::Change,
        Message::Append { .. } => Step::Replicate,
        Message::Matched { .. } => Step::Acknowledge,
        Message::Mismatched { .. } => Step::Mismatch,
        Message::Install { .. } => Step::Install,
        Message::Installed { .. } => Step::Installed,
    }
}

fn step_of_write(write: &Write) -> Step {
    match write {
        Write::Hard(_) => Step::SyncVote,
        Write::Append(_) => Step::SyncEntries,
        Write::Replace(_) => Step::SyncSnapshot,
    }
}

impl Run {
    /// Plays the whole script with these faults and lets everything heal.
    fn play(plan: Plan) -> Self {
        let mut run = Self {
            world: World::new(3),
            plan,
            met: BTreeMap::new(),
            later: Vec::new(),
        };
        run.pass(500);
        run.ask_some(0..4);
        run.lose_one();
        run.change_voters();
        run.lose_leader();
        run.later.clear();
        run.world.heal();
        run
    }

    fn ask_some(&mut self, numbers: std::ops::Range<u64>) {
        for number in numbers {
            if let Some(leader) = self.world.leader() {
                self.world.ask(leader, &format!("c{number}"));
            }
            self.pass(30);
        }
    }

    /// One follower misses so much that it needs a snapshot.
    fn lose_one(&mut self) {
        let leader = self.world.leader().unwrap_or(VoterId(1));
        let follower = VoterId(leader.get() % 3 + 1);
        self.world.crash(follower, 0);
        self.ask_some(4..12);
        self.world.restart(follower);
        self.pass(400);
    }

    /// A fourth voter learns, is promoted, and one of the first leaves.
    fn change_voters(&mut self) {
        let id = VoterId(4);
        self.world.add(id, Voters::default());
        let leaver = |w: &World| VoterId(w.leader().map_or(1, |l| l.get() % 3 + 1));
        let learn = VoterChange::Learn {
            id,
            location: location(4, "zone-4"),
        };
        self.change(learn);
        self.change(VoterChange::Promote { id });
        let id = leaver(&self.world);
        self.change(VoterChange::Remove { id });
    }

    fn change(&mut self, change: VoterChange) {
        for _ in 0..3 {
            if let Some(leader) = self.world.leader() {
                self.world.change(leader, change.clone());
            }
            self.pass(60);
        }
    }

    fn lose_leader(&mut self) {
        if let Some(leader) = self.world.leader() {
            self.world.crash(leader, 0);
        }
        self.pass(500);
        self.ask_some(12..14);
    }

    fn pass(&mut self, millis: u64) {
        for _ in 0..millis / 10 {
            self.world.now = self.world.now + Span::from_millis(10);
            self.undo();
            for id in self.world.ids() {
                self.world.step(id, snipemast_control::Input::Tick);
            }
            self.settle();
        }
    }

    fn settle(&mut self) {
        // A message meets a fault once; the bound ends a run that only talks.
        for _ in 0..200 {
            for id in self.world.ids() {
                self.sync(id);
            }
            if self.world.bag.is_empty() {
                return;
            }
            let envelope = self.world.bag.remove(0);
            self.deliver(envelope);
        }
    }

    fn sync(&mut self, id: VoterId) {
        let place = &self.world.places[&id];
        let Some((_, write)) = place.disk.pending.first() else {
            return;
        };
        if place.slow {
            return;
        }
        let step = step_of_write(write);
        match self.meet(step) {
            None => self.world.sync(id),
            Some(Fault::Crash) => self.crash(id, 0),
            Some(Fault::CrashWritten) => self.crash(id, 1),
            Some(_) => self.slow(id),
        }
    }

    fn deliver(&mut self, envelope: Envelope) {
        let (from, to) = (envelope.from, envelope.to);
        let Some(fault) = self.meet(step_of(&envelope.message)) else {
            return self.world.deliver(envelope);
        };
        match fault {
            Fault::Crash => self.crash(to, 0),
            Fault::CrashWritten => {
                self.world.deliver(envelope);
                self.crash(to, usize::MAX);
            }
            Fault::Lost => {}
            Fault::Delayed => self.later(Undo::Deliver(envelope)),
            Fault::Duplicated => {
                self.world.deliver(envelope.clone());
                self.later(Undo::Deliver(envelope));
            }
            Fault::Reordered => self.world.bag.push(envelope),
            Fault::Cut => {
                self.world.cuts.extend([(from, to), (to, from)]);
                self.later(Undo::Mend);
            }
            Fault::SlowDisk => {
                self.slow(to);
                self.world.deliver(envelope);
            }
        }
    }

    /// Counts a step and gives the fault that is planned for it.
    fn meet(&mut self, step: Step) -> Option<Fault> {
        let met = self.met.entry(step).or_insert(0);
        let nth = *met;
        *met += 1;
        let planned = self.plan.iter().find(|(s, n, _)| *s == step && *n == nth);
        planned.map(|(_, _, fault)| *fault)
    }

    fn crash(&mut self, id: VoterId, kept: usize) {
        self.world.crash(id, kept);
        self.later(Undo::Restart(id));
    }

    fn slow(&mut self, id: VoterId) {
        self.world.places.get_mut(&id).unwrap().slow = true;
        self.later(Undo::Speed(id));
    }

    fn later(&mut self, undo: Undo) {
        self.later.push((self.world.now + WHILE, undo));
    }

    fn undo(&mut self) {
        let now = self.world.now;
        let (due, later) = std::mem::take(&mut self.later)
            .into_iter()
            .partition(|(at, _)| *at <= now);
        self.later = later;
        for (_, undo) in due {
            match undo {
                Undo::Restart(id) => self.world.restart(id),
                Undo::Deliver(envelope) => self.world.deliver(envelope),
                Undo::Mend => self.world.cuts.clear(),
                Undo::Speed(id) => self.world.places.get_mut(&id).unwrap().slow = false,
            }
        }
    }
}

#[test]
fn every_step_met() {
    let run = Run::play(Vec::new());
    assert_eq!(run.met.len(), 12, "{:?}", run.met);
    assert_eq!(
        run.world
            .node(run.world.leader().unwrap())
            .voters()
            .voters
            .len(),
        3
    );
}

#[test]
fn single_faults() {
    let steps = Run::play(Vec::new()).met;
    let mut cells = 0;
    for (step, count) in steps {
        for nth in 0..count.min(40) {
            for fault in FAULTS {
                Run::play(vec![(step, nth, fault)]);
                cells += 1;
            }
        }
    }
    println!("cells: {cells}");
}

#[test]
fn paired_faults() {
    let steps = Run::play(Vec::new()).met;
    let cell = |(step, count): (&Step, &usize)| {
        let (step, nth) = (*step, count / 2);
        FAULTS.into_iter().map(move |fault| (step, nth, fault))
    };
    let cells: Vec<_> = steps.iter().flat_map(cell).collect();
    let mut count = 0;
    for (i, first) in cells.iter().enumerate() {
        for second in &cells[i + 1..] {
            Run::play(vec![*first, *second]);
            count += 1;
        }
    }
    println!("cells: {count}");
}
