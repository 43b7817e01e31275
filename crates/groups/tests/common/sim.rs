//! The group under a virtual clock, with faults that are injected at chosen messages.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use snipemast_core::prelude::*;
use snipemast_groups::agree::lead::LeadTimer;
use snipemast_groups::agree::{Margin, RankInput};

use super::{proposal, Alarm, Packet, World};

/// How long an outage lasts, in microseconds.
pub const OUTAGE: u64 = 80_000;
/// How long a step takes, in microseconds.
const STEP: u64 = 5_000;
/// How long weights take to load, in microseconds.
const LOAD: u64 = 2_000;

/// The faults of the fault matrix.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    RankStalls,
    EngineDies,
    AgentDies,
    LeadDies,
    HostDies,
    MessageLate,
    MessageDuplicated,
    MessageReordered,
    MessageLost,
    RankCutOff,
    LeadCutOff,
    OldControl,
    OtherLead,
    LoadFails,
    LoadSlow,
    SecondMap,
    LaterMap,
}

impl Fault {
    pub const ALL: [Self; 17] = [
        Self::RankStalls,
        Self::EngineDies,
        Self::AgentDies,
        Self::LeadDies,
        Self::HostDies,
        Self::MessageLate,
        Self::MessageDuplicated,
        Self::MessageReordered,
        Self::MessageLost,
        Self::RankCutOff,
        Self::LeadCutOff,
        Self::OldControl,
        Self::OtherLead,
        Self::LoadFails,
        Self::LoadSlow,
        Self::SecondMap,
        Self::LaterMap,
    ];
}

/// A fault and the number of the message between agents at which it is injected.
#[derive(Debug, Clone, Copy)]
pub struct Strike {
    pub at: u64,
    pub fault: Fault,
}

#[derive(Debug, Clone)]
enum SimEvent {
    Packet(Packet),
    Fire(u32, Alarm, u64),
    Step(u32),
    Unstall(u32),
    Unload(u32, MapVersion),
}

/// The world under a virtual clock.
#[derive(Debug)]
pub struct Sim {
    pub world: World,
    pub now: u64,
    pub messages: u64,
    strikes: Vec<Strike>,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: BTreeMap<u64, SimEvent>,
    alarms: BTreeMap<(u32, Alarm), u64>,
    down: Vec<u64>,
    failing_loads: u32,
    slow_loads: u32,
    seed: u64,
    count: u64,
}

impl Sim {
    /// Creates a group that steps with its first map, and proposes the second one at once. With an
    /// odd seed its engines do not check the incarnations of permits.
    pub fn new(ranks: u32, seed: u64, strikes: &[Strike]) -> Self {
        let mut world = World::new(ranks, margin());
        if seed % 2 == 1 {
            world.group = world.group.with_unchecked();
        }
        world.form();
        let mut sim = Self {
            world,
            now: 0,
            messages: 0,
            strikes: strikes.to_vec(),
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            alarms: BTreeMap::new(),
            down: vec![0; ranks as usize],
            failing_loads: 0,
            slow_loads: 0,
            seed: seed.wrapping_mul(2).wrapping_add(1),
            count: 0,
        };
        for rank in 0..ranks {
            let jitter = sim.random(1_000);
            sim.at(jitter, SimEvent::Step(rank));
        }
        sim.world.propose(0, proposal(1, 1, 2));
        sim.flush();
        sim
    }

    /// Runs until this virtual time.
    pub fn run_until(&mut self, end: u64) {
        while let Some(Reverse((time, id))) = self.queue.peek().copied() {
            if time > end {
                break;
            }
            self.queue.pop();
            self.now = time;
            let event = self.events.remove(&id).expect("queued events are kept");
            self.handle(event);
            self.flush();
        }
        self.now = end;
    }

    /// Proposes a map to the current lead, as the control role does, or appoints a lead where there
    /// is none.
    pub fn propose_again(&mut self, fence: u64, number: u16) {
        let leads = self.world.leads.iter().flatten();
        let best = leads.filter(|l| l.is_idle()).max_by_key(|l| l.term());
        match best.map(|l| (l.term().rank, l.version().unwrap_or_default())) {
            Some((rank, base)) => self
                .world
                .propose(rank, proposal(fence, base.get(), number)),
            None => self.world.rank(0, RankInput::Appointed),
        }
        self.flush();
    }

    fn handle(&mut self, event: SimEvent) {
        match event {
            SimEvent::Packet(packet) => self.arrive(packet),
            SimEvent::Fire(rank, alarm, id) => {
                if self.alarms.get(&(rank, alarm)) == Some(&id) {
                    self.alarms.remove(&(rank, alarm));
                    self.world.fire(rank, alarm);
                }
            }
            SimEvent::Step(rank) => {
                let entered = self.world.step(rank);
                let wait = if entered { STEP } else { 1_000 };
                let jitter = self.random(100);
                self.at(wait + jitter, SimEvent::Step(rank));
            }
            SimEvent::Unstall(rank) => self.world.group.stall(rank, false),
            SimEvent::Unload(rank, version) => {
                self.world.rank(rank, RankInput::LoadFailed(version));
            }
        }
    }

    fn arrive(&mut self, packet: Packet) {
        let Some(hosts) = endpoints(&packet) else {
            return self.world.deliver(packet);
        };
        self.messages += 1;
        let number = self.messages;
        let due: Vec<Strike> = self
            .strikes
            .iter()
            .filter(|s| s.at == number)
            .copied()
            .collect();
        let mut packet = Some(packet);
        for strike in due {
            self.strike(strike.fault, &mut packet);
        }
        let (from, to) = hosts;
        let cut = |r: u32| self.down[r as usize] > self.now;
        if from != to && (cut(from) || cut(to)) {
            return;
        }
        if let Some(packet) = packet {
            self.world.deliver(packet);
        }
    }

    fn strike(&mut self, fault: Fault, packet: &mut Option<Packet>) {
        match fault {
            Fault::RankStalls => {
                self.world.group.stall(1, true);
                self.at(OUTAGE, SimEvent::Unstall(1));
            }
            Fault::EngineDies => self.world.replace_engine(1),
            Fault::AgentDies => self.restart(2),
            Fault::LeadDies => self.restart(0),
            Fault::HostDies => {
                self.world.group.replace(1);
                self.restart(1);
                self.down[1] = self.now + OUTAGE;
            }
            Fault::MessageLate => self.postpone(packet.take(), OUTAGE),
            Fault::MessageDuplicated => self.postpone(packet.clone(), OUTAGE / 4),
            Fault::MessageReordered => self.postpone(packet.take(), 4_000),
            Fault::MessageLost => *packet = None,
            Fault::RankCutOff => self.down[2] = self.now + OUTAGE,
            Fault::LeadCutOff => self.down[0] = self.now + OUTAGE,
            Fault::OldControl => {
                for rank in 0..self.world.ranks {
                    self.world.propose(rank, proposal(0, 1, 9));
                }
            }
            Fault::OtherLead => self.world.rank(1, RankInput::Appointed),
            Fault::LoadFails => self.failing_loads += 1,
            Fault::LoadSlow => self.slow_loads += 1,
            Fault::SecondMap => self.world.propose(0, proposal(1, 1, 3)),
            Fault::LaterMap => self.world.propose(0, proposal(2, 1, 4)),
        }
    }

    fn restart(&mut self, rank: u32) {
        self.alarms.retain(|(r, _), _| *r != rank);
        self.world.restart_agent(rank);
    }

    fn postpone(&mut self, packet: Option<Packet>, by: u64) {
        if let Some(packet) = packet {
            self.at(by, SimEvent::Packet(packet));
        }
    }

    /// Schedules the messages that were sent and the timers that were armed.
    fn flush(&mut self) {
        for packet in std::mem::take(&mut self.world.sent) {
            self.schedule(packet);
        }
        for (rank, alarm) in std::mem::take(&mut self.world.armed) {
            let wait = timeout(rank, alarm);
            let id = self.count;
            self.alarms.insert((rank, alarm), id);
            self.at(wait, SimEvent::Fire(rank, alarm, id));
        }
    }

    fn schedule(&mut self, packet: Packet) {
        match &packet {
            Packet::Load(rank, version, _) if self.failing_loads > 0 => {
                self.failing_loads -= 1;
                let failed = SimEvent::Unload(*rank, *version);
                self.at(LOAD, failed);
            }
            Packet::Load(..) if self.slow_loads > 0 => {
                self.slow_loads -= 1;
                self.at(LOAD * 100, SimEvent::Packet(packet));
            }
            Packet::Load(..) => self.at(LOAD, SimEvent::Packet(packet)),
            Packet::Permit(..) | Packet::Status(..) => {
                let delay = 20 + self.random(60);
                self.at(delay, SimEvent::Packet(packet));
            }
            _ => {
                let delay = 200 + self.random(1_200);
                self.at(delay, SimEvent::Packet(packet));
            }
        }
    }

    fn at(&mut self, after: u64, event: SimEvent) {
        let id = self.count;
        self.count += 1;
        self.events.insert(id, event);
        self.queue.push(Reverse((self.now + after, id)));
    }

    fn random(&mut self, below: u64) -> u64 {
        self.seed ^= self.seed << 13;
        self.seed ^= self.seed >> 7;
        self.seed ^= self.seed << 17;
        self.seed % below
    }
}

/// Returns the margin of the tests, which states delays of up to 1.4 ms as 3 ms.
pub fn margin() -> Margin {
    Margin {
        delay: Span::from_millis(3),
        step: Span::from_millis(5),
        window: 2,
    }
}

/// Returns the sending and the receiving host of a message that leaves its host.
fn endpoints(packet: &Packet) -> Option<(u32, u32)> {
    match packet {
        Packet::ToLead(from, term, _) => Some((*from, term.rank)),
        Packet::Peer(from, to, _) => Some((*from, *to)),
        Packet::ToRank(to, message) => Some((message.term().rank, *to)),
        Packet::Permit(..) | Packet::Status(..) | Packet::Load(..) => None,
    }
}

fn timeout(rank: u32, alarm: Alarm) -> u64 {
    let margin = margin();
    let span = match alarm {
        Alarm::Rank(_) => margin.verdict_timeout(rank),
        Alarm::Lead(LeadTimer::Resend) => margin.delay.times(3),
        Alarm::Lead(LeadTimer::LoadTimeout(_)) => Span::from_millis(150),
        Alarm::Lead(LeadTimer::PromiseTimeout(_)) => margin.promise_timeout(),
    };
    span.as_micros()
}

/// How a run violates the agreement.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Violation {
    /// Two ranks entered a step with different maps.
    MixedMaps(String),
    /// A map that a rank has stepped with is no longer in force.
    LostMap {
        stepped: MapVersion,
        now: Option<MapVersion>,
    },
    /// The group no longer steps.
    Held { completed: Step },
    /// The group accepts no further map.
    NoNewMap { version: Option<MapVersion> },
}

/// Runs a group with the strikes, lets all faults end and checks that the group has recovered.
pub fn run_checked(ranks: u32, seed: u64, strikes: &[Strike]) -> Result<Sim, Violation> {
    let mut sim = Sim::new(ranks, seed, strikes);
    sim.run_until(500_000);
    check_maps(&sim)?;
    let before = sim.world.group.completed();
    sim.run_until(600_000);
    let completed = sim.world.group.completed();
    if completed.get() < before.get() + 10 {
        return Err(Violation::Held { completed });
    }
    for number in 0..6 {
        sim.propose_again(10 + number, 20);
        sim.run_until(sim.now + 100_000);
        check_maps(&sim)?;
        let active = sim.world.agents[0].active_map().map(|s| s.map.clone());
        if active == Some(super::map(20)) {
            return Ok(sim);
        }
    }
    let version = sim.world.agents[0].active_map().map(|s| s.version);
    Err(Violation::NoNewMap { version })
}

fn check_maps(sim: &Sim) -> Result<(), Violation> {
    let group = &sim.world.group;
    if let Some(torn) = group.map_conflict() {
        return Err(Violation::MixedMaps(format!("{torn:?}")));
    }
    let active = sim.world.agents.iter().filter_map(|a| a.active_map());
    let now = active.map(|s| s.version).max();
    let stepped = group.highest();
    if group.last().map(|l| l.1) != Some(stepped) || now < Some(stepped) {
        return Err(Violation::LostMap { stepped, now });
    }
    Ok(())
}
