//! Tests of [`OrderGate`]: deposed leaders, restarts, resends, and random schedules of all of them.

use std::collections::BTreeMap;

use quickcheck::{Gen, QuickCheck};

use snipemast_agent::orders::{Decision, LoadInterval, LoadRate, OrderGate};
use snipemast_config::wishes::Action;
use snipemast_config::ServerRole;
use snipemast_core::prelude::*;
use snipemast_wire::order::{FenceReport, Order, OrderRefusal, VoterFence};

const FENCE_HOLD: Span = Span::from_secs(5);

/// A rate without a limit.
#[derive(Debug)]
struct Unlimited;

impl LoadRate for Unlimited {
    fn try_load(&mut self, _: Moment) -> Result<(), Span> {
        Ok(())
    }
}

fn process(incarnation: u64) -> ProcessId {
    let host = "agent-0".parse().expect("a name");
    ProcessId::new(host, Incarnation::new(incarnation))
}

fn order(name: &str, incarnation: u64, fence: u64) -> Order {
    let role = ServerRole::Whole;
    Order {
        id: name.parse().expect("a name"),
        agent: process(incarnation),
        fence: Fence::new(fence),
        left: Span::from_secs(1),
        action: Action::Role { role },
    }
}

fn load(name: &str) -> Order {
    let action = Action::Load {
        model: "lector-1".parse().expect("a name"),
        version: "1".into(),
        adapters: Vec::new(),
    };
    Order {
        action,
        ..order(name, 1, 1)
    }
}

fn report(voters: u32, told: &[(u64, u64)]) -> FenceReport {
    let told = told.iter().map(|(host, fence)| VoterFence {
        host: format!("control-{host}").parse().expect("a name"),
        fence: Fence::new(*fence),
    });
    FenceReport {
        voters,
        told: told.collect(),
    }
}

fn gate() -> OrderGate<Unlimited> {
    OrderGate::new(process(1), Moment::ZERO, FENCE_HOLD, Unlimited)
}

fn learned_gate(fence: u64) -> OrderGate<Unlimited> {
    let mut gate = gate();
    gate.learn_fences(&report(3, &[(0, fence), (1, fence)]));
    gate
}

#[test]
fn old_leader_refused() {
    // A leader is cut off and deposed, and its successor orders a load. Once the partition has healed,
    // the old leader's order reaches a server that checks nothing, and would undo the load.
    let mut gate = learned_gate(1);
    let now = Moment::from_millis(1);
    let new = order("new", 1, 2);
    assert_eq!(gate.decide(now, &new), Decision::Pass);
    gate.finish(&new, true);
    let current = Fence::new(2);
    let refused = Decision::Refuse(OrderRefusal::Old { current });
    assert_eq!(gate.decide(now, &order("old", 1, 1)), refused);
}

#[test]
fn restart_learns_first() {
    // The agent restarts and forgets the fencing number that it saw, and the first order to arrive is
    // a deposed leader's. The answer of one control host doesn't suffice: it may be cut off together
    // with that leader.
    let mut gate = gate();
    let now = Moment::from_millis(10);
    let learning = |gate: &mut OrderGate<Unlimited>| {
        let decision = gate.decide(now, &order("old", 1, 1));
        matches!(decision, Decision::Refuse(OrderRefusal::Learning { .. }))
    };
    assert!(learning(&mut gate));
    gate.learn_fences(&report(3, &[(0, 1)]));
    gate.learn_fences(&report(3, &[(0, 1)]));
    assert!(learning(&mut gate), "one host counts once");
    gate.learn_fences(&report(0, &[]));
    assert!(learning(&mut gate), "a host without a vote doesn't count");
    gate.learn_fences(&report(3, &[(1, 2)]));
    let current = Fence::new(2);
    let refused = Decision::Refuse(OrderRefusal::Old { current });
    assert_eq!(gate.decide(now, &order("old", 1, 1)), refused);
    assert_eq!(gate.decide(now, &order("new", 1, 2)), Decision::Pass);
}

#[test]
fn lease_waited_out() {
    // No majority of the control hosts can be asked. By the end of the wait, the leader at the time
    // of the restart has lost its lease or renewed it.
    let mut gate = gate();
    let before = Moment::ZERO + Span::from_micros(FENCE_HOLD.as_micros() - 1);
    let left = Span::from_micros(1);
    let refused = Decision::Refuse(OrderRefusal::Learning { left });
    assert_eq!(gate.decide(before, &order("a", 1, 4)), refused);
    assert_eq!(
        gate.decide(Moment::ZERO + FENCE_HOLD, &order("a", 1, 4)),
        Decision::Pass
    );
}

#[test]
fn other_incarnation() {
    // An order is held up on its way while the agent restarts, and the new process doesn't know
    // whether it was carried out.
    let refused = Decision::Refuse(OrderRefusal::Incarnation);
    assert_eq!(
        learned_gate(1).decide(Moment::ZERO, &order("a", 0, 9)),
        refused
    );
}

#[test]
fn resend_runs_once() {
    // A leader or its successor sends an order again: it must not run twice at once, nor again once it
    // was carried out, and another order must not use its id.
    let mut gate = learned_gate(1);
    let now = Moment::from_millis(1);
    let first = order("a", 1, 1);
    assert_eq!(gate.decide(now, &first), Decision::Pass);
    let busy = gate.decide(now, &first);
    assert!(matches!(busy, Decision::Refuse(OrderRefusal::Busy { .. })));
    gate.finish(&first, false);
    assert_eq!(gate.decide(now, &first), Decision::Pass);
    gate.finish(&first, true);
    assert_eq!(gate.decide(now, &first), Decision::Done);
    // The next leader sends the same order.
    assert_eq!(gate.decide(now, &order("a", 1, 2)), Decision::Done);
    let mut other = load("a");
    other.fence = Fence::new(2);
    let reused = Decision::Refuse(OrderRefusal::Reused);
    assert_eq!(gate.decide(now, &other), reused);
}

#[test]
fn loads_at_rate() {
    // Orders to load follow each other too quickly: the weight store would be read without a pause.
    let interval = LoadInterval::new(Span::from_secs(2));
    let mut gate = OrderGate::new(process(1), Moment::ZERO, Span::default(), interval);
    let now = Moment::from_millis(100);
    assert_eq!(gate.decide(now, &load("a")), Decision::Pass);
    gate.finish(&load("a"), true);
    let left = Span::from_secs(2);
    let refused = Decision::Refuse(OrderRefusal::Busy { left });
    assert_eq!(gate.decide(now, &load("b")), refused);
    assert_eq!(gate.decide(now + left, &load("b")), Decision::Pass);
}

/// Three voters with changing leaders, an agent that restarts, and a network that delays orders and
/// delivers them in any sequence.
struct Simulation {
    now: Moment,
    terms: [u64; 3],
    /// The term of each leader elected so far, and when its lease ends.
    leases: BTreeMap<u64, Moment>,
    gate: OrderGate<Unlimited>,
    incarnation: u64,
    /// The orders on their way to the agent.
    in_flight: Vec<Order>,
    sent: u64,
    /// The fencing numbers that reached the server, which checks nothing.
    reached: Vec<u64>,
}

const LEASE: Span = Span::from_millis(1_300);

impl Simulation {
    fn new() -> Self {
        Self {
            now: Moment::ZERO,
            terms: [0; 3],
            leases: BTreeMap::new(),
            gate: gate(),
            incarnation: 1,
            in_flight: Vec::new(),
            sent: 0,
            reached: Vec::new(),
        }
    }

    /// Does what a random number selects.
    fn step(&mut self, choice: u16) {
        let n = usize::from(choice / 8);
        self.now = self.now + Span::from_millis(u64::from(choice % 97));
        match choice % 8 {
            0 => self.elect(n),
            1 => self.now = self.now + Span::from_millis(900),
            2 | 3 => self.order(n),
            4 | 5 => self.deliver(n),
            6 if n.is_multiple_of(3) => self.restart(),
            _ => self.learn(n),
        }
    }

    /// A majority elects a leader once every earlier lease has run out.
    fn elect(&mut self, n: usize) {
        if self.leases.values().any(|end| *end > self.now) {
            return;
        }
        let term = self.terms.iter().max().unwrap_or(&0) + 1;
        for (voter, known) in self.terms.iter_mut().enumerate() {
            if voter != n % 3 {
                *known = term;
            }
        }
        self.leases.insert(term, self.now + LEASE);
    }

    /// The newest leader renews its lease, and some leader with a lease sends an order to the agent.
    fn order(&mut self, n: usize) {
        let Some((&newest, _)) = self.leases.iter().next_back() else {
            return;
        };
        self.leases.insert(newest, self.now + LEASE);
        let terms: Vec<u64> = self.leases.keys().copied().collect();
        let term = terms[n % terms.len()];
        if self.leases[&term] > self.now {
            self.sent += 1;
            let name = format!("order-{}", self.sent);
            self.in_flight.push(order(&name, self.incarnation, term));
        }
    }

    /// Delivers one of the orders on their way.
    fn deliver(&mut self, n: usize) {
        if self.in_flight.is_empty() {
            return;
        }
        let order = self.in_flight.swap_remove(n % self.in_flight.len());
        if self.gate.decide(self.now, &order) == Decision::Pass {
            self.gate.finish(&order, true);
            self.reached.push(order.fence.get());
        }
    }

    /// Restarts the agent, which forgets what it knew.
    fn restart(&mut self) {
        self.incarnation += 1;
        self.gate = OrderGate::new(process(self.incarnation), self.now, FENCE_HOLD, Unlimited);
    }

    /// Tells the agent the fencing number of one voter.
    fn learn(&mut self, n: usize) {
        let voter = n % 3;
        let told = [(voter as u64, self.terms[voter])];
        self.gate.learn_fences(&report(3, &told));
    }
}

#[test]
fn random_schedules() {
    // Leaders change, agents restart and orders are delayed in any sequence. A server that checks
    // nothing must never get an order of an older term after one of a newer term.
    fn property(choices: Vec<u16>) -> bool {
        let mut simulation = Simulation::new();
        for choice in choices {
            simulation.step(choice);
        }
        simulation.reached.is_sorted()
    }
    let gen = Gen::from_size_and_seed(300, 11);
    let mut tests = QuickCheck::new().rng(gen).tests(3_000);
    tests.quickcheck(property as fn(Vec<u16>) -> bool);
}
