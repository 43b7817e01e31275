//! Voters on fake disks with a bag of messages and a virtual clock, and the invariants.
//!
//! - [`World`]: steps one voter at a time and checks every invariant after each step.
//! - [`Ledger`]: a state machine that keeps each command once, in order.

#![allow(dead_code, unreachable_pub)]

use std::collections::{BTreeMap, BTreeSet};

use snipemast_control::{
    ClusterId, Envelope, Input, Location, LogEntry, Node, NodeEvent, NodeParams, Output, Refusal,
    RestoreError, StateMachine, StoredState, Ticket, Timing, VoterChange, VoterId, Voters, Write,
};
use snipemast_core::prelude::*;

/// Keeps each command once; its verdict is the command's place.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct Ledger {
    pub commands: Vec<Vec<u8>>,
    pub replaced: u64,
}

impl StateMachine for Ledger {
    fn apply(&mut self, _: Index, command: &[u8]) -> Vec<u8> {
        let known = self.commands.iter().position(|c| c == command);
        let place = known.unwrap_or_else(|| {
            self.commands.push(command.to_vec());
            self.commands.len() - 1
        });
        (place as u64).to_be_bytes().to_vec()
    }

    fn snapshot(&self) -> Vec<u8> {
        rmp_serde::to_vec(&(&self.commands, self.replaced)).unwrap()
    }

    fn restore(&mut self, bytes: &[u8]) -> Result<(), RestoreError> {
        let malformed = |e: rmp_serde::decode::Error| RestoreError {
            reason: e.to_string(),
        };
        (self.commands, self.replaced) = rmp_serde::from_slice(bytes).map_err(malformed)?;
        Ok(())
    }

    fn majority_replaced(&mut self, _: Index) {
        self.replaced += 1;
    }
}

/// A disk: what is synced, and what was written since.
#[derive(Debug, Clone, Default, Hash)]
pub struct Disk {
    pub synced: StoredState,
    pub pending: Vec<(u64, Write)>,
}

/// One voter, running or not, on its disk.
#[derive(Debug, Clone, Hash)]
pub struct Place {
    pub node: Option<Node<Ledger>>,
    pub disk: Disk,
    pub start: u64,
    /// Whether the disk syncs only when it is told to.
    pub slow: bool,
    first_voters: Voters,
}

/// Voters, their disks, and the messages between them.
#[derive(Debug, Clone, Default)]
pub struct World {
    pub now: Moment,
    pub places: BTreeMap<VoterId, Place>,
    pub bag: Vec<Envelope>,
    pub cuts: BTreeSet<(VoterId, VoterId)>,
    pub answers: BTreeMap<Ticket, Result<Vec<u8>, Refusal>>,
    pub notes: Vec<(VoterId, NodeEvent)>,
    pub timing: Option<Timing>,
    pub asked: BTreeMap<Ticket, Vec<u8>>,
    /// How far a voter's own clock is ahead of the others'.
    pub ahead: BTreeMap<VoterId, Span>,
    /// A clock stood still: a lease is then no promise, and only fencing numbers hold.
    pub stopped: bool,
    tickets: u64,
    leaders: BTreeMap<Term, VoterId>,
    pub committed: BTreeMap<Index, LogEntry>,
    written: BTreeMap<(Index, Term), LogEntry>,
    fences: BTreeMap<VoterId, Fence>,
}

/// Short timeouts and small bounds, so that snapshots and pieces occur.
pub fn timing() -> Timing {
    Timing {
        heartbeat: Span::from_millis(50),
        election_timeout: Span::from_millis(200),
        election_jitter: Span::from_millis(100),
        lease: Span::from_millis(170),
        snapshot_entries: 5,
        retained_entries: 2,
        chunk_size: Size::from_bytes(16),
        max_waiting: 16,
    }
}

pub fn location(number: u64, zone: &str) -> Location {
    Location {
        host: format!("host-{number}").parse().unwrap(),
        zone: zone.parse().unwrap(),
        address: ([127, 0, 0, 1], number as u16).into(),
    }
}

/// Voters 1 to n, each in a zone of its own.
pub fn voters(n: u64) -> Voters {
    let location = |i| (VoterId(i), location(i, &format!("zone-{i}")));
    Voters::new((1..=n).map(location).collect())
}

impl World {
    /// So many voters that start now.
    pub fn new(n: u64) -> Self {
        Self::with_timing(n, timing())
    }

    pub fn with_timing(n: u64, timing: Timing) -> Self {
        let mut world = Self {
            timing: Some(timing),
            ..Self::default()
        };
        for i in 1..=n {
            world.add(VoterId(i), voters(n));
        }
        world
    }

    /// Adds a process with an empty disk.
    pub fn add(&mut self, id: VoterId, first_voters: Voters) {
        let place = Place {
            node: None,
            disk: Disk::default(),
            start: 0,
            slow: false,
            first_voters,
        };
        self.places.insert(id, place);
        self.restart(id);
    }

    pub fn restart(&mut self, id: VoterId) {
        let now = self.now + self.ahead.get(&id).copied().unwrap_or_default();
        let timing = self.timing.unwrap_or_else(timing);
        let place = self.places.get_mut(&id).unwrap();
        if place.node.is_some() {
            return;
        }
        place.start += 1;
        place.disk.pending.clear();
        let boot = NodeParams {
            id,
            start: place.start,
            cluster: ClusterId(7),
            first_voters: place.first_voters.clone(),
            stored: place.disk.synced.clone(),
            timing,
            seed: id.get() * 1_000 + place.start,
        };
        place.node = Some(Node::new(boot, Ledger::default(), now).unwrap());
        self.fences.remove(&id);
    }

    /// The process dies; of what was not synced, the first `kept` writes reached the disk.
    pub fn crash(&mut self, id: VoterId, kept: usize) {
        let place = self.places.get_mut(&id).unwrap();
        place.node = None;
        let pending = std::mem::take(&mut place.disk.pending);
        for (_, write) in pending.iter().take(kept) {
            place.disk.synced.apply(write);
        }
    }

    pub fn node(&self, id: VoterId) -> &Node<Ledger> {
        self.places[&id].node.as_ref().expect("it runs")
    }

    pub fn runs(&self, id: VoterId) -> bool {
        self.places.get(&id).is_some_and(|p| p.node.is_some())
    }

    pub fn ids(&self) -> Vec<VoterId> {
        self.places.keys().copied().collect()
    }

    /// The leader with the latest term.
    pub fn leader(&self) -> Option<VoterId> {
        let nodes = self.places.values().filter_map(|p| p.node.as_ref());
        nodes
            .filter(|n| n.is_leader())
            .max_by_key(|n| n.term())
            .map(|n| n.id())
    }

    pub fn step(&mut self, id: VoterId, input: Input) {
        let now = self.now + self.ahead.get(&id).copied().unwrap_or_default();
        let place = self.places.get_mut(&id).unwrap();
        let Some(node) = place.node.as_mut() else {
            return;
        };
        let commit = node.commit_index();
        let outputs = node.handle(now, input);
        let still = outputs.is_empty() && node.commit_index() == commit;
        for output in outputs {
            match output {
                Output::Write { number, write } => place.disk.pending.push((number, write)),
                Output::Send(envelope) => self.bag.push(envelope),
                Output::Answer { ticket, answer } => {
                    assert!(self.answers.insert(ticket, answer).is_none(), "one answer");
                }
                Output::Event(note) => self.notes.push((id, note)),
            }
        }
        // A step that did nothing can break nothing.
        if !still {
            self.check(id);
        }
    }

    /// Syncs everything that is written.
    pub fn sync(&mut self, id: VoterId) {
        self.sync_some(id, usize::MAX);
    }

    /// Syncs the first so many writes.
    pub fn sync_some(&mut self, id: VoterId, count: usize) {
        let place = self.places.get_mut(&id).unwrap();
        if place.node.is_none() {
            return;
        }
        let count = count.min(place.disk.pending.len());
        let pending: Vec<_> = place.disk.pending.drain(..count).collect();
        let Some((write, _)) = pending.last() else {
            return;
        };
        let write = *write;
        for (_, write) in &pending {
            place.disk.synced.apply(write);
        }
        self.step(id, Input::Synced { write });
    }

    pub fn deliver(&mut self, envelope: Envelope) {
        let (from, to) = (envelope.from, envelope.to);
        let cut = self.cuts.contains(&(from, to));
        if !cut && self.runs(to) {
            self.step(to, Input::Receive(envelope));
        }
    }

    /// Cuts the ids off from all others, both ways.
    pub fn cut_off(&mut self, ids: &[VoterId]) {
        for a in self.ids() {
            for b in self.ids() {
                if ids.contains(&a) != ids.contains(&b) {
                    self.cuts.insert((a, b));
                }
            }
        }
    }

    /// Delivers and syncs until nothing moves; slow disks stay as they are.
    pub fn settle(&mut self) {
        loop {
            for id in self.ids() {
                if !self.places[&id].slow {
                    self.sync(id);
                }
            }
            if self.bag.is_empty() {
                return;
            }
            for envelope in std::mem::take(&mut self.bag) {
                self.deliver(envelope);
            }
        }
    }

    /// Lets so many milliseconds pass without a fault.
    pub fn run(&mut self, millis: u64) {
        for _ in 0..millis / 10 {
            self.now = self.now + Span::from_millis(10);
            for id in self.ids() {
                self.step(id, Input::Tick);
            }
            self.settle();
        }
    }

    pub fn ask(&mut self, id: VoterId, command: &str) -> Ticket {
        self.tickets += 1;
        let ticket = Ticket(self.tickets);
        let command = command.as_bytes().to_vec();
        self.asked.insert(ticket, command.clone());
        self.step(id, Input::Propose { ticket, command });
        ticket
    }

    pub fn change(&mut self, id: VoterId, change: VoterChange) -> Ticket {
        self.tickets += 1;
        let ticket = Ticket(self.tickets);
        self.step(id, Input::Change { ticket, change });
        ticket
    }

    /// Asks the leader, waits, and expects the command to be accepted.
    pub fn accept(&mut self, command: &str) {
        let leader = self.leader().expect("somebody leads");
        let ticket = self.ask(leader, command);
        self.run(100);
        assert!(
            matches!(self.answers.get(&ticket), Some(Ok(_))),
            "{command}"
        );
    }

    /// Every fault ends, everybody comes back: the log must go on and hold what was promised.
    pub fn heal(&mut self) {
        self.cuts.clear();
        for id in self.ids() {
            self.places.get_mut(&id).unwrap().slow = false;
            self.restart(id);
        }
        self.run(3_000);
        self.accept("after-all");
        self.check_promises();
    }

    fn check(&mut self, id: VoterId) {
        let node = self.node(id).clone();
        if node.is_leader() {
            let first = *self.leaders.entry(node.term()).or_insert(id);
            assert_eq!(first, id, "one leader a term");
        }
        let fence = self.fences.entry(id).or_insert(node.fence());
        assert!(node.fence() >= *fence, "fencing numbers only rise");
        *fence = node.fence();
        self.check_entries(&node);
        self.check_commit(&node);
        self.check_lease();
    }

    fn check_entries(&mut self, node: &Node<Ledger>) {
        for entry in node.log().after(node.log().base(), usize::MAX) {
            let key = (entry.index, entry.term);
            let first = self.written.entry(key).or_insert_with(|| entry.clone());
            assert_eq!(*first, entry, "logs match");
        }
    }

    /// What is committed stays, and stands on a majority of synced disks when it is committed.
    fn check_commit(&mut self, node: &Node<Ledger>) {
        for number in node.log().base().get() + 1..=node.commit_index().get() {
            let Some(entry) = node.log().get(Index(number)).cloned() else {
                continue;
            };
            if let Some(first) = self.committed.get(&entry.index) {
                assert_eq!(*first, entry, "committed stays");
                continue;
            }
            let holders = self.places.iter().filter(|(_, p)| holds(&p.disk, &entry));
            let holders: BTreeSet<VoterId> = holders.map(|(id, _)| *id).collect();
            let voters = node.log().voters_at(entry.index);
            let quorum = voters.is_quorum(&holders) || node.voters().is_quorum(&holders);
            assert!(quorum, "{} is committed on {holders:?}", entry.index);
            self.committed.insert(entry.index, entry);
        }
    }

    fn check_lease(&self) {
        let nodes = self.places.values().filter_map(|p| p.node.as_ref());
        let leased = nodes.filter(|n| n.has_lease(self.now)).count();
        assert!(self.stopped || leased <= 1, "one leader speaks at a time");
    }

    /// Every accepted command stands in the committed log, and every machine agrees.
    pub fn check_promises(&self) {
        let leader = self.leader().expect("somebody leads");
        let commands = &self.node(leader).machine().commands;
        for (ticket, answer) in &self.answers {
            let Some(command) = self.asked.get(ticket) else {
                continue;
            };
            if let Ok(verdict) = answer {
                let place = u64::from_be_bytes(verdict.as_slice().try_into().unwrap());
                assert_eq!(commands.get(place as usize), Some(command), "one verdict");
            }
        }
        let distinct: BTreeSet<_> = commands.iter().collect();
        assert_eq!(distinct.len(), commands.len(), "once each");
        for id in self.ids() {
            if self.runs(id) && self.node(leader).voters().knows(id) {
                assert_eq!(&self.node(id).machine().commands, commands, "{id} agrees");
            }
        }
    }
}

fn holds(disk: &Disk, entry: &LogEntry) -> bool {
    let covered = disk
        .synced
        .snapshot
        .as_ref()
        .is_some_and(|s| s.index >= entry.index);
    covered || disk.synced.entries.contains(entry)
}
