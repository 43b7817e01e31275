//! The state machines of a group, its engines and the messages between them, for the fault matrix,
//! the exploration and the property tests. The state machines are those that run in production.

#![allow(
    dead_code,
    unreachable_pub,
    reason = "each test file uses its part of a shared module"
)]

pub mod sim;

use std::collections::BTreeSet;
use std::sync::Arc;

use snipemast_core::prelude::*;
use snipemast_fakes::group::LockStep;
use snipemast_groups::agree::lead::LeadTimer;
use snipemast_groups::agree::message::SharedMap;
use snipemast_groups::agree::{
    EngineStatus, Lead, LeadInput, LeadMessage, LeadOutput, LeadTerm, Margin, PeerMessage, Permit,
    Proposal, RankAgent, RankInput, RankMessage, RankOutput, Timer,
};
use snipemast_groups::map::{ExpertMap, Layer};

/// A message that is under way; `Status`, `Permit` and `Load` stay on one host.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Packet {
    ToRank(u32, LeadMessage),
    ToLead(u32, LeadTerm, RankMessage),
    Peer(u32, u32, PeerMessage),
    Permit(u32, Permit),
    Status(u32, EngineStatus),
    Load(u32, MapVersion, SharedMap),
}

/// A timer of a rank or of the lead on its host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Alarm {
    Rank(Timer),
    Lead(LeadTimer),
}

/// Agents, leads and engines, the messages under way and the timers that are armed.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct World {
    pub agents: Vec<RankAgent>,
    pub leads: Vec<Option<Lead>>,
    pub group: LockStep,
    pub sent: Vec<Packet>,
    pub armed: BTreeSet<(u32, Alarm)>,
    /// How many processes of agents have started.
    pub starts: u64,
    pub margin: Margin,
    /// How often a rank waited at a switch for the verdict.
    pub held: u64,
    /// How many proposals were rejected.
    pub rejected: u64,
    pub ranks: u32,
    pub retries: u32,
}

/// Returns a map that differs from others only by its number.
pub fn map(number: u16) -> SharedMap {
    let mut layer = Layer::new(1, 1);
    layer.set(0, 0, number);
    Arc::new(ExpertMap {
        layers: vec![layer],
    })
}

/// Returns a proposal of the map with this number, computed from the version `base`.
pub fn proposal(fence: u64, base: u64, number: u16) -> Proposal {
    Proposal {
        fence: Fence::new(fence),
        base: MapVersion::new(base),
        map: map(number),
    }
}

impl World {
    /// Creates agents and engines that have just started.
    pub fn new(ranks: u32, margin: Margin) -> Self {
        let agent = |n| RankAgent::new(n, ranks, Incarnation::new(1), margin.window);
        Self {
            agents: (0..ranks)
                .map(|n| agent(n).with_fence(Fence::new(0)))
                .collect(),
            leads: vec![None; ranks as usize],
            group: LockStep::new(ranks),
            sent: Vec::new(),
            armed: BTreeSet::new(),
            starts: 1,
            margin,
            held: 0,
            rejected: 0,
            ranks,
            retries: 4,
        }
    }

    /// Has every engine report its status to its agent.
    pub fn report_all(&mut self) {
        for rank in 0..self.ranks {
            let status = self.group.status(rank);
            self.rank(rank, RankInput::Engine(status));
        }
    }

    /// Delivers messages until none is under way.
    pub fn settle(&mut self) {
        for _ in 0..10_000 {
            if self.sent.is_empty() {
                return;
            }
            let packet = self.sent.remove(0);
            self.deliver(packet);
        }
        panic!("messages never stop");
    }

    /// Forms the group with its first map, led by rank 0.
    pub fn form(&mut self) {
        self.report_all();
        self.rank(0, RankInput::Appointed);
        self.settle();
        self.propose(0, proposal(1, 0, 1));
        self.settle();
        self.report_all();
        self.settle();
        self.armed.clear();
        assert_eq!(
            self.agents[0].active_map().map(|s| s.version),
            Some(MapVersion::new(1))
        );
    }

    pub fn propose(&mut self, rank: u32, proposal: Proposal) {
        self.lead(rank, LeadInput::Propose(proposal));
    }

    pub fn deliver(&mut self, packet: Packet) {
        match packet {
            Packet::ToRank(to, message) => self.rank(to, RankInput::Lead(message)),
            Packet::ToLead(from, term, message) => {
                let current = |l: &Lead| l.term().start == term.start;
                if self.leads[term.rank as usize].as_ref().is_some_and(current) {
                    let input = LeadInput::Rank {
                        from,
                        term,
                        message,
                    };
                    self.lead(term.rank, input);
                }
            }
            Packet::Peer(from, to, message) => self.rank(to, RankInput::Peer { from, message }),
            Packet::Permit(rank, permit) => self.group.permit(rank, permit),
            Packet::Status(rank, status) => self.rank(rank, RankInput::Engine(status)),
            Packet::Load(rank, version, map) => {
                self.group.load(rank, version, map);
                self.rank(rank, RankInput::Loaded(version));
            }
        }
    }

    /// Lets a rank's engine enter a step where it can, and has it report its status.
    pub fn step(&mut self, rank: u32) -> bool {
        let entered = self.group.enter(rank);
        self.sent
            .push(Packet::Status(rank, self.group.status(rank)));
        entered
    }

    pub fn fire(&mut self, rank: u32, alarm: Alarm) {
        match alarm {
            Alarm::Rank(timer) => self.rank(rank, RankInput::Fired(timer)),
            Alarm::Lead(timer) => self.lead(rank, LeadInput::Fired(timer)),
        }
    }

    /// Restarts an agent's process, which also ends a lead in it.
    pub fn restart_agent(&mut self, rank: u32) {
        self.starts += 1;
        let start = Incarnation::new(self.starts);
        let agent = RankAgent::new(rank, self.ranks, start, self.margin.window);
        self.agents[rank as usize] = agent;
        self.leads[rank as usize] = None;
        self.armed.retain(|(r, _)| *r != rank);
        self.rank(rank, RankInput::Begin);
        self.rank(rank, RankInput::FenceLearnt(Fence::new(1)));
    }

    /// Replaces an engine that has died by a new one.
    pub fn replace_engine(&mut self, rank: u32) {
        self.group.replace(rank);
        self.rank(rank, RankInput::EngineLost);
    }

    pub fn rank(&mut self, rank: u32, input: RankInput) {
        for output in self.agents[rank as usize].handle(input) {
            self.apply_output(rank, output);
        }
    }

    pub fn lead(&mut self, rank: u32, input: LeadInput) {
        let Some(lead) = &mut self.leads[rank as usize] else {
            return;
        };
        for output in lead.handle(input) {
            match output {
                LeadOutput::ToRank(to, message) => self.sent.push(Packet::ToRank(to, message)),
                LeadOutput::Arm(timer) => {
                    self.armed.insert((rank, Alarm::Lead(timer)));
                }
                LeadOutput::Rejected(_) => self.rejected += 1,
                LeadOutput::Committed(_) => {}
                LeadOutput::Outranked(_) => self.leads[rank as usize] = None,
            }
            if self.leads[rank as usize].is_none() {
                return;
            }
        }
    }

    fn apply_output(&mut self, rank: u32, output: RankOutput) {
        match output {
            RankOutput::ToLead(term, message) => {
                self.sent.push(Packet::ToLead(rank, term, message));
            }
            RankOutput::ToRank(to, message) => self.sent.push(Packet::Peer(rank, to, message)),
            RankOutput::Permit(permit) => self.sent.push(Packet::Permit(rank, permit)),
            RankOutput::LoadWeights(version, map) => {
                self.sent.push(Packet::Load(rank, version, map));
            }
            RankOutput::Arm(timer) => {
                self.armed.insert((rank, Alarm::Rank(timer)));
            }
            RankOutput::StartLead(term) => {
                self.leads[rank as usize] =
                    Some(Lead::new(term, self.ranks, self.margin).with_retries(self.retries));
                self.lead(rank, LeadInput::Begin);
            }
            RankOutput::Event(Event::GroupHeld, _) => self.held += 1,
            RankOutput::Event(..) | RankOutput::DropWeights(_) | RankOutput::Evict(_) => {}
        }
    }
}
