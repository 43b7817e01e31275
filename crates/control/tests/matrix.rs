//! A fault matrix: every fault at every step of the protocol, alone and in pairs.

mod support;

use std::collections::BTreeMap;

use snipemast_control::{Envelope, Message, Payload, VoterChange, VoterId, Voters, Write};
use snipemast_core::prelude::*;

use support::{location, Simulation};

/// How long a fault lasts.
const FAULT_DURATION: Span = Span::from_millis(150);

/// A step of the protocol at which a fault can occur.
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

/// A fault at a step.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    /// The process dies, and every unsynced write is lost.
    Crash,
    /// The process dies after its writes reached the disk, but before it learned that.
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

/// Faults, each at the nth occurrence of a step, counted from 0.
type Plan = Vec<(Step, usize, Fault)>;

/// The end of a fault.
enum Repair {
    Restart(VoterId),
    Deliver(Envelope),
    Heal,
    Recover(VoterId),
}

struct Run {
    sim: Simulation,
    plan: Plan,
    steps_met: BTreeMap<Step, usize>,
    repairs: Vec<(Moment, Repair)>,
}

fn message_step(message: &Message) -> Step {
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

fn write_step(write: &Write) -> Step {
    match write {
        Write::Hard(_) => Step::SyncVote,
        Write::Append(_) => Step::SyncEntries,
        Write::Replace(_) => Step::SyncSnapshot,
    }
}

impl Run {
    /// Runs the whole scenario with these faults, then ends all faults.
    fn play(plan: Plan) -> Self {
        let mut run = Self {
            sim: Simulation::new(3),
            plan,
            steps_met: BTreeMap::new(),
            repairs: Vec::new(),
        };
        run.pass(500);
        run.submit_some(0..4);
        run.lose_one();
        run.change_voters();
        run.lose_leader();
        run.repairs.clear();
        run.sim.heal();
        run
    }

    fn submit_some(&mut self, numbers: std::ops::Range<u64>) {
        for number in numbers {
            if let Some(leader) = self.sim.leader() {
                self.sim.submit(leader, &format!("c{number}"));
            }
            self.pass(30);
        }
    }

    /// Stops one follower until it has missed so much that it needs a snapshot.
    fn lose_one(&mut self) {
        let leader = self.sim.leader().unwrap_or(VoterId(1));
        let follower = VoterId(leader.get() % 3 + 1);
        self.sim.crash(follower, 0);
        self.submit_some(4..12);
        self.sim.restart(follower);
        self.pass(400);
    }

    /// Adds a fourth voter as a learner, promotes it, and removes one of the first voters.
    fn change_voters(&mut self) {
        let id = VoterId(4);
        self.sim.add(id, Voters::default());
        let leaver = |w: &Simulation| VoterId(w.leader().map_or(1, |l| l.get() % 3 + 1));
        let learn = VoterChange::Learn {
            id,
            location: location(4, "zone-4"),
        };
        self.change(learn);
        self.change(VoterChange::Promote { id });
        let id = leaver(&self.sim);
        self.change(VoterChange::Remove { id });
    }

    fn change(&mut self, change: VoterChange) {
        for _ in 0..3 {
            if let Some(leader) = self.sim.leader() {
                self.sim.change(leader, change.clone());
            }
            self.pass(60);
        }
    }

    fn lose_leader(&mut self) {
        if let Some(leader) = self.sim.leader() {
            self.sim.crash(leader, 0);
        }
        self.pass(500);
        self.submit_some(12..14);
    }

    fn pass(&mut self, millis: u64) {
        for _ in 0..millis / 10 {
            self.sim.now = self.sim.now + Span::from_millis(10);
            self.repair();
            for id in self.sim.ids() {
                self.sim.step(id, snipemast_control::Input::Tick);
            }
            self.deliver_all();
        }
    }

    fn deliver_all(&mut self) {
        // A message meets a fault once; the bound ends a run that only exchanges messages.
        for _ in 0..200 {
            for id in self.sim.ids() {
                self.sync(id);
            }
            if self.sim.in_flight.is_empty() {
                return;
            }
            let envelope = self.sim.in_flight.remove(0);
            self.deliver(envelope);
        }
    }

    fn sync(&mut self, id: VoterId) {
        let host = &self.sim.hosts[&id];
        let Some((_, write)) = host.disk.pending.first() else {
            return;
        };
        if host.slow_disk {
            return;
        }
        let step = write_step(write);
        match self.next_fault(step) {
            None => self.sim.sync(id),
            Some(Fault::Crash) => self.crash(id, 0),
            Some(Fault::CrashWritten) => self.crash(id, 1),
            Some(_) => self.slow_disk(id),
        }
    }

    fn deliver(&mut self, envelope: Envelope) {
        let (from, to) = (envelope.from, envelope.to);
        let Some(fault) = self.next_fault(message_step(&envelope.message)) else {
            return self.sim.deliver(envelope);
        };
        match fault {
            Fault::Crash => self.crash(to, 0),
            Fault::CrashWritten => {
                self.sim.deliver(envelope);
                self.crash(to, usize::MAX);
            }
            Fault::Lost => {}
            Fault::Delayed => self.schedule(Repair::Deliver(envelope)),
            Fault::Duplicated => {
                self.sim.deliver(envelope.clone());
                self.schedule(Repair::Deliver(envelope));
            }
            Fault::Reordered => self.sim.in_flight.push(envelope),
            Fault::Cut => {
                self.sim.cuts.extend([(from, to), (to, from)]);
                self.schedule(Repair::Heal);
            }
            Fault::SlowDisk => {
                self.slow_disk(to);
                self.sim.deliver(envelope);
            }
        }
    }

    /// Counts a step and returns the fault that is planned for it.
    fn next_fault(&mut self, step: Step) -> Option<Fault> {
        let met = self.steps_met.entry(step).or_insert(0);
        let nth = *met;
        *met += 1;
        let planned = self.plan.iter().find(|(s, n, _)| *s == step && *n == nth);
        planned.map(|(_, _, fault)| *fault)
    }

    fn crash(&mut self, id: VoterId, kept: usize) {
        self.sim.crash(id, kept);
        self.schedule(Repair::Restart(id));
    }

    fn slow_disk(&mut self, id: VoterId) {
        self.sim.hosts.get_mut(&id).unwrap().slow_disk = true;
        self.schedule(Repair::Recover(id));
    }

    fn schedule(&mut self, repair: Repair) {
        self.repairs.push((self.sim.now + FAULT_DURATION, repair));
    }

    fn repair(&mut self) {
        let now = self.sim.now;
        let (due, later) = std::mem::take(&mut self.repairs)
            .into_iter()
            .partition(|(at, _)| *at <= now);
        self.repairs = later;
        for (_, repair) in due {
            match repair {
                Repair::Restart(id) => self.sim.restart(id),
                Repair::Deliver(envelope) => self.sim.deliver(envelope),
                Repair::Heal => self.sim.cuts.clear(),
                Repair::Recover(id) => self.sim.hosts.get_mut(&id).unwrap().slow_disk = false,
            }
        }
    }
}

#[test]
fn every_step_met() {
    let run = Run::play(Vec::new());
    assert_eq!(run.steps_met.len(), 12, "{:?}", run.steps_met);
    assert_eq!(
        run.sim
            .node(run.sim.leader().unwrap())
            .voters()
            .voters
            .len(),
        3
    );
}

#[test]
fn single_faults() {
    let steps = Run::play(Vec::new()).steps_met;
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
    let steps = Run::play(Vec::new()).steps_met;
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
