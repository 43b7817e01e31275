//! A simulation of voters with fake disks, messages in flight and a virtual clock, and its
//! invariants.
//!
//! - [`Simulation`]: steps one voter at a time and checks all invariants after each step.
//! - [`CommandList`]: a state machine that stores each command once, in order.

#![allow(dead_code, unreachable_pub)]

use std::collections::{BTreeMap, BTreeSet};

use snipemast_control::{
    ClusterId, Envelope, Input, Location, LogEntry, Node, NodeEvent, NodeParams, Output, Refusal,
    RestoreError, StateMachine, StoredState, Ticket, Timing, VoterChange, VoterId, Voters, Write,
};
use snipemast_core::prelude::*;

/// Stores each command once; its verdict is the command's position.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct CommandList {
    pub commands: Vec<Vec<u8>>,
    pub replaced: u64,
}

impl StateMachine for CommandList {
    fn apply(&mut self, _: Index, command: &[u8]) -> Vec<u8> {
        let known = self.commands.iter().position(|c| c == command);
        let ordinal = known.unwrap_or_else(|| {
            self.commands.push(command.to_vec());
            self.commands.len() - 1
        });
        (ordinal as u64).to_be_bytes().to_vec()
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

/// A disk: the synced state, and the writes since.
#[derive(Debug, Clone, Default, Hash)]
pub struct Disk {
    pub synced: StoredState,
    pub pending: Vec<(u64, Write)>,
}

/// A host with its disk, and its voter while that runs.
#[derive(Debug, Clone, Hash)]
pub struct Host {
    pub node: Option<Node<CommandList>>,
    pub disk: Disk,
    pub start: u64,
    /// Whether the disk syncs only on an explicit call.
    pub slow_disk: bool,
    first_voters: Voters,
}

/// Voters, their disks, and the messages in flight between them.
#[derive(Debug, Clone, Default)]
pub struct Simulation {
    pub now: Moment,
    pub hosts: BTreeMap<VoterId, Host>,
    pub in_flight: Vec<Envelope>,
    pub cuts: BTreeSet<(VoterId, VoterId)>,
    pub answers: BTreeMap<Ticket, Result<Vec<u8>, Refusal>>,
    pub events: Vec<(VoterId, NodeEvent)>,
    pub timing: Option<Timing>,
    pub submitted: BTreeMap<Ticket, Vec<u8>>,
    /// How far a voter's clock is ahead of the others'.
    pub clock_ahead: BTreeMap<VoterId, Span>,
    /// Whether a clock has stood still; then leases guarantee nothing, and only fencing numbers do.
    pub clock_stopped: bool,
    tickets: u64,
    leaders: BTreeMap<Term, VoterId>,
    pub committed: BTreeMap<Index, LogEntry>,
    written: BTreeMap<(Index, Term), LogEntry>,
    fences: BTreeMap<VoterId, Fence>,
}

/// Returns short timeouts and small limits, so that snapshots in several pieces occur.
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

/// Returns voters 1 to n, each in a zone of its own.
pub fn voters(n: u64) -> Voters {
    let location = |i| (VoterId(i), location(i, &format!("zone-{i}")));
    Voters::new((1..=n).map(location).collect())
}

impl Simulation {
    /// Starts `n` voters.
    pub fn new(n: u64) -> Self {
        Self::with_timing(n, timing())
    }

    pub fn with_timing(n: u64, timing: Timing) -> Self {
        let mut sim = Self {
            timing: Some(timing),
            ..Self::default()
        };
        for i in 1..=n {
            sim.add(VoterId(i), voters(n));
        }
        sim
    }

    /// Adds a host with an empty disk and starts its voter.
    pub fn add(&mut self, id: VoterId, first_voters: Voters) {
        let host = Host {
            node: None,
            disk: Disk::default(),
            start: 0,
            slow_disk: false,
            first_voters,
        };
        self.hosts.insert(id, host);
        self.restart(id);
    }

    pub fn restart(&mut self, id: VoterId) {
        let now = self.now + self.clock_ahead.get(&id).copied().unwrap_or_default();
        let timing = self.timing.unwrap_or_else(timing);
        let host = self.hosts.get_mut(&id).unwrap();
        if host.node.is_some() {
            return;
        }
        host.start += 1;
        host.disk.pending.clear();
        let params = NodeParams {
            id,
            start: host.start,
            cluster: ClusterId(7),
            first_voters: host.first_voters.clone(),
            stored: host.disk.synced.clone(),
            timing,
            seed: id.get() * 1_000 + host.start,
        };
        host.node = Some(Node::new(params, CommandList::default(), now).unwrap());
        self.fences.remove(&id);
    }

    /// Kills the process; of the unsynced writes, the first `kept` reached the disk.
    pub fn crash(&mut self, id: VoterId, kept: usize) {
        let host = self.hosts.get_mut(&id).unwrap();
        host.node = None;
        let pending = std::mem::take(&mut host.disk.pending);
        for (_, write) in pending.iter().take(kept) {
            host.disk.synced.apply(write);
        }
    }

    pub fn node(&self, id: VoterId) -> &Node<CommandList> {
        self.hosts[&id].node.as_ref().expect("the voter runs")
    }

    pub fn is_running(&self, id: VoterId) -> bool {
        self.hosts.get(&id).is_some_and(|p| p.node.is_some())
    }

    pub fn ids(&self) -> Vec<VoterId> {
        self.hosts.keys().copied().collect()
    }

    /// Returns the leader with the latest term.
    pub fn leader(&self) -> Option<VoterId> {
        let nodes = self.hosts.values().filter_map(|p| p.node.as_ref());
        nodes
            .filter(|n| n.is_leader())
            .max_by_key(|n| n.term())
            .map(|n| n.id())
    }

    pub fn step(&mut self, id: VoterId, input: Input) {
        let now = self.now + self.clock_ahead.get(&id).copied().unwrap_or_default();
        let host = self.hosts.get_mut(&id).unwrap();
        let Some(node) = host.node.as_mut() else {
            return;
        };
        let commit = node.commit_index();
        let outputs = node.handle(now, input);
        let idle = outputs.is_empty() && node.commit_index() == commit;
        for output in outputs {
            match output {
                Output::Write { number, write } => host.disk.pending.push((number, write)),
                Output::Send(envelope) => self.in_flight.push(envelope),
                Output::Answer { ticket, answer } => {
                    assert!(
                        self.answers.insert(ticket, answer).is_none(),
                        "a caller gets one answer"
                    );
                }
                Output::Event(event) => self.events.push((id, event)),
            }
        }
        // A step without effect cannot break an invariant.
        if !idle {
            self.check(id);
        }
    }

    /// Syncs all writes.
    pub fn sync(&mut self, id: VoterId) {
        self.sync_some(id, usize::MAX);
    }

    /// Syncs the first `count` writes.
    pub fn sync_some(&mut self, id: VoterId, count: usize) {
        let host = self.hosts.get_mut(&id).unwrap();
        if host.node.is_none() {
            return;
        }
        let count = count.min(host.disk.pending.len());
        let pending: Vec<_> = host.disk.pending.drain(..count).collect();
        let Some((write, _)) = pending.last() else {
            return;
        };
        let write = *write;
        for (_, write) in &pending {
            host.disk.synced.apply(write);
        }
        self.step(id, Input::Synced { write });
    }

    pub fn deliver(&mut self, envelope: Envelope) {
        let (from, to) = (envelope.from, envelope.to);
        let cut = self.cuts.contains(&(from, to));
        if !cut && self.is_running(to) {
            self.step(to, Input::Receive(envelope));
        }
    }

    /// Cuts these voters off from all others, in both directions.
    pub fn cut_off(&mut self, ids: &[VoterId]) {
        for a in self.ids() {
            for b in self.ids() {
                if ids.contains(&a) != ids.contains(&b) {
                    self.cuts.insert((a, b));
                }
            }
        }
    }

    /// Delivers messages and syncs disks, except slow ones, until nothing is left to do.
    pub fn deliver_all(&mut self) {
        loop {
            for id in self.ids() {
                if !self.hosts[&id].slow_disk {
                    self.sync(id);
                }
            }
            if self.in_flight.is_empty() {
                return;
            }
            for envelope in std::mem::take(&mut self.in_flight) {
                self.deliver(envelope);
            }
        }
    }

    /// Lets time pass without a fault.
    pub fn run(&mut self, millis: u64) {
        for _ in 0..millis / 10 {
            self.now = self.now + Span::from_millis(10);
            for id in self.ids() {
                self.step(id, Input::Tick);
            }
            self.deliver_all();
        }
    }

    pub fn submit(&mut self, id: VoterId, command: &str) -> Ticket {
        self.tickets += 1;
        let ticket = Ticket(self.tickets);
        let command = command.as_bytes().to_vec();
        self.submitted.insert(ticket, command.clone());
        self.step(id, Input::Propose { ticket, command });
        ticket
    }

    pub fn change(&mut self, id: VoterId, change: VoterChange) -> Ticket {
        self.tickets += 1;
        let ticket = Ticket(self.tickets);
        self.step(id, Input::Change { ticket, change });
        ticket
    }

    /// Submits a command to the leader, waits, and expects it to be accepted.
    pub fn expect_accepted(&mut self, command: &str) {
        let leader = self.leader().expect("there is a leader");
        let ticket = self.submit(leader, command);
        self.run(100);
        assert!(
            matches!(self.answers.get(&ticket), Some(Ok(_))),
            "{command}"
        );
    }

    /// Ends all faults and restarts all voters; the log must continue and hold what was
    /// acknowledged.
    pub fn heal(&mut self) {
        self.cuts.clear();
        for id in self.ids() {
            self.hosts.get_mut(&id).unwrap().slow_disk = false;
            self.restart(id);
        }
        self.run(3_000);
        self.expect_accepted("after-all");
        self.check_promises();
    }

    fn check(&mut self, id: VoterId) {
        let node = self.node(id).clone();
        if node.is_leader() {
            let first = *self.leaders.entry(node.term()).or_insert(id);
            assert_eq!(first, id, "a term has one leader");
        }
        let fence = self.fences.entry(id).or_insert(node.fence());
        assert!(node.fence() >= *fence, "fencing numbers only rise");
        *fence = node.fence();
        self.check_entries(&node);
        self.check_commit(&node);
        self.check_lease();
    }

    fn check_entries(&mut self, node: &Node<CommandList>) {
        for entry in node.log().entries_after(node.log().base(), usize::MAX) {
            let key = (entry.index, entry.term);
            let first = self.written.entry(key).or_insert_with(|| entry.clone());
            assert_eq!(
                *first, entry,
                "entries with the same index and term are equal"
            );
        }
    }

    /// A committed entry stays, and is synced on a majority of disks when it is committed.
    fn check_commit(&mut self, node: &Node<CommandList>) {
        for number in node.log().base().get() + 1..=node.commit_index().get() {
            let Some(entry) = node.log().get(Index(number)).cloned() else {
                continue;
            };
            if let Some(first) = self.committed.get(&entry.index) {
                assert_eq!(*first, entry, "a committed entry stays");
                continue;
            }
            let holders = self.hosts.iter().filter(|(_, p)| stores(&p.disk, &entry));
            let holders: BTreeSet<VoterId> = holders.map(|(id, _)| *id).collect();
            let voters = node.log().voters_at(entry.index);
            let quorum = voters.is_quorum(&holders) || node.voters().is_quorum(&holders);
            assert!(
                quorum,
                "index {} is committed on {holders:?} only",
                entry.index
            );
            self.committed.insert(entry.index, entry);
        }
    }

    fn check_lease(&self) {
        let nodes = self.hosts.values().filter_map(|p| p.node.as_ref());
        let leased = nodes.filter(|n| n.has_lease(self.now)).count();
        assert!(
            self.clock_stopped || leased <= 1,
            "at most one leader holds a lease"
        );
    }

    /// Every accepted command is in the committed log, and all state machines agree.
    pub fn check_promises(&self) {
        let leader = self.leader().expect("there is a leader");
        let commands = &self.node(leader).machine().commands;
        for (ticket, answer) in &self.answers {
            let Some(command) = self.submitted.get(ticket) else {
                continue;
            };
            if let Ok(verdict) = answer {
                let ordinal = u64::from_be_bytes(verdict.as_slice().try_into().unwrap());
                assert_eq!(
                    commands.get(ordinal as usize),
                    Some(command),
                    "the verdict is the command's position"
                );
            }
        }
        let distinct: BTreeSet<_> = commands.iter().collect();
        assert_eq!(
            distinct.len(),
            commands.len(),
            "each command is stored once"
        );
        for id in self.ids() {
            if self.is_running(id) && self.node(leader).voters().is_member(id) {
                assert_eq!(
                    &self.node(id).machine().commands,
                    commands,
                    "the state machine of {id} agrees"
                );
            }
        }
    }
}

fn stores(disk: &Disk, entry: &LogEntry) -> bool {
    let covered = disk
        .synced
        .snapshot
        .as_ref()
        .is_some_and(|s| s.index >= entry.index);
    covered || disk.synced.entries.contains(entry)
}
