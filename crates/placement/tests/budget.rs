//! Tests of one gateway's share of the retry budget.

use quickcheck::quickcheck;

use snipemast_core::prelude::*;
use snipemast_placement::budget::{RetryBounds, RetryBudget};

const BOUNDS: RetryBounds = RetryBounds {
    ratio: 0.2,
    slack: 94,
    window: Span::from_secs(10),
};

quickcheck! {
    /// Nine gateways that don't know of each other's requests send more retries in a window than
    /// the bound over all of them, whichever requests come to each.
    fn retry_bound_holds(arrivals: Vec<(u8, u8)>) -> bool {
        let service = ServiceId::new("lector").unwrap();
        let mut budgets: Vec<RetryBudget> = (0..9).map(|_| RetryBudget::new(BOUNDS)).collect();
        budgets.iter_mut().for_each(|b| b.observe_gateways(9));
        let mut now = Moment::from_millis(11_000);
        let mut retries = 0;
        for (gateway, pause) in &arrivals {
            now = now + Span::from_millis(u64::from(*pause) / 32);
            let budget = &mut budgets[usize::from(*gateway) % 9];
            budget.record_request(now, &service);
            retries += u32::from(budget.try_spend(now, &service));
            retries += u32::from(budget.try_spend(now, &service));
        }
        // All arrivals lie within one window.
        f64::from(retries) <= 0.2 * arrivals.len() as f64 + 94.0
    }
}

/// The number of requests that come to all gateways together in each step, to each in turn.
const REQUESTS: u64 = 4;
/// The length of a step of the model.
const STEP: Span = Span::from_millis(50);
/// The steps of the model, and those of one window.
const STEPS: u64 = 800;
const WINDOW_STEPS: u64 = 200;

/// Gateways that get requests for one service in all steps and send as many retries as they may.
struct Fleet {
    service: ServiceId,
    gateways: Vec<Gateway>,
    arrivals: Arrivals,
    /// The step from which on requests need repeats.
    failing_from: u64,
    /// The requests and the retries of all gateways by step.
    requests: Vec<u32>,
    retries: Vec<u32>,
}

/// To which gateways requests come.
#[derive(Clone, Copy)]
enum Arrivals {
    /// To each in turn.
    Even,
    /// To those of one half; they move to the other half after so many steps.
    Half(u64),
    /// Nine of ten to one gateway; they move to the next one after so many steps.
    One(u64),
}

impl Arrivals {
    /// Returns the gateway that one of a step's requests comes to.
    fn gateway(self, step: u64, request: u64, size: u64) -> u64 {
        let number = step * REQUESTS + request;
        match self {
            Self::One(period) if !number.is_multiple_of(10) => step / period % size,
            Self::Even | Self::One(_) => number % size,
            Self::Half(period) => number % (size / 2) + step / period % 2 * (size / 2),
        }
    }
}

/// A gateway whose process starts at some steps.
struct Gateway {
    budget: RetryBudget,
    started: Moment,
}

impl Gateway {
    fn new(started: Moment) -> Self {
        let budget = RetryBudget::new(BOUNDS);
        Self { budget, started }
    }
}

impl Fleet {
    fn new(size: usize) -> Self {
        let service = ServiceId::new("lector").unwrap();
        let gateways = (0..size).map(|_| Gateway::new(Moment::ZERO)).collect();
        Self {
            service,
            gateways,
            arrivals: Arrivals::Even,
            failing_from: 0,
            requests: Vec::new(),
            retries: Vec::new(),
        }
    }

    fn with_arrivals(self, arrivals: Arrivals) -> Self {
        Self { arrivals, ..self }
    }

    fn with_failing_from(self, failing_from: u64) -> Self {
        Self {
            failing_from,
            ..self
        }
    }

    /// Plays all steps. `starts` returns whether a gateway's process starts at a step, and `known` how many gateways
    /// it hears of.
    fn play(&mut self, starts: impl Fn(u64, u64) -> bool, known: impl Fn(u64, u64) -> u32) {
        let size = self.gateways.len() as u64;
        for step in 0..STEPS {
            let now = Moment::ZERO + STEP.times(step + 1);
            let (mut requests, mut retries) = (0, 0);
            for (number, gateway) in (0..).zip(&mut self.gateways) {
                if starts(step, number) {
                    *gateway = Gateway::new(now);
                }
                // Each process counts its time from its own start.
                let now = Moment::ZERO + now.since(gateway.started);
                gateway.budget.observe_gateways(known(step, number));
                let arrivals =
                    (0..REQUESTS).filter(|k| self.arrivals.gateway(step, *k, size) == number);
                for _ in arrivals {
                    gateway.budget.record_request(now, &self.service);
                    requests += 1;
                }
                while step >= self.failing_from && gateway.budget.try_spend(now, &self.service) {
                    retries += 1;
                }
            }
            self.requests.push(requests);
            self.retries.push(retries);
        }
    }

    /// Returns the largest number of retries beyond what is allowed in some window: by the requests in it, in the
    /// window before it or in the one half a window before it.
    fn excess(&self) -> f64 {
        let sum = |counts: &[u32], from: u64| {
            let part = counts.iter().skip(from as usize);
            part.take(WINDOW_STEPS as usize).sum::<u32>()
        };
        let excess = |from: u64| {
            let windows = [
                from,
                from.saturating_sub(WINDOW_STEPS),
                from.saturating_sub(WINDOW_STEPS / 2),
            ];
            let requests = windows.map(|w| sum(&self.requests, w)).into_iter().max();
            let allowed = BOUNDS.ratio * f64::from(requests.unwrap_or(0)) + f64::from(BOUNDS.slack);
            f64::from(sum(&self.retries, from)) - allowed
        };
        (0..STEPS - WINDOW_STEPS)
            .map(excess)
            .fold(f64::MIN, f64::max)
    }
}

/// Guards against repeats that pile up beyond what all gateways together may send, because each process that starts
/// spends its share of the slack anew.
#[test]
fn restarts_add_nothing() {
    for size in [3, 9, 40, 431] {
        for gap in [20, 45, 90, 150] {
            let mut fleet = Fleet::new(size);
            fleet.play(
                |step, number| step % gap == number % gap,
                |_, _| size as u32,
            );
            let excess = fleet.excess();
            assert!(
                excess <= 0.0,
                "{size} gateways, a start each {gap} steps: {excess}"
            );
        }
    }
}

/// Guards against repeats that pile up because gateways that have just started hear of too few others, from a
/// controller that has just started itself or is cut off from most.
#[test]
fn few_known_add_nothing() {
    for size in [3, 9, 40, 431] {
        let mut fleet = Fleet::new(size);
        let known = |step: u64, _| 1 + (step % 200 / 2).min(size as u64 - 1) as u32;
        fleet.play(|step, _| step % 200 == 0, known);
        let excess = fleet.excess();
        assert!(excess <= 0.0, "{size} gateways: {excess}");
    }
}

/// Guards against repeats that pile up because callers move from one half of the gateways to the other, and both
/// halves count their requests.
#[test]
fn moved_callers_add_little() {
    for size in [4, 40, 432] {
        for period in [WINDOW_STEPS / 2, WINDOW_STEPS, 2 * WINDOW_STEPS] {
            let mut fleet = Fleet::new(size).with_arrivals(Arrivals::Half(period));
            fleet.play(|_, _| false, |_, _| size as u32);
            let excess = fleet.excess();
            assert!(
                excess <= 0.0,
                "{size} gateways, moved each {period} steps: {excess}"
            );
        }
    }
}

/// Guards against repeats that pile up because nine tenths of all requests come to one gateway, then to another, and each
/// counts them.
#[test]
fn moving_skew_adds_nothing() {
    for size in [3, 9, 40, 431] {
        for period in [40, 100, WINDOW_STEPS, 2 * WINDOW_STEPS] {
            for gap in [None, Some(90)] {
                let mut fleet = Fleet::new(size).with_arrivals(Arrivals::One(period));
                let starts =
                    |step: u64, number: u64| gap.is_some_and(|gap| step % gap == number % gap);
                fleet.play(starts, |_, _| size as u32);
                let excess = fleet.excess();
                assert!(
                    excess <= 0.0,
                    "{size} gateways, moved each {period} steps: {excess}"
                );
            }
        }
    }
}

/// Guards against repeats that pile up because all processes end just after most streams broke, and those that start count
/// on their own requests what others have spent.
#[test]
fn restart_after_burst() {
    for size in [3, 9, 40, 431] {
        for delay in [1, 20, 100, 190] {
            let broken = 2 * WINDOW_STEPS;
            let mut fleet = Fleet::new(size).with_failing_from(broken);
            fleet.play(|step, _| step == broken + delay, |_, _| size as u32);
            let excess = fleet.excess();
            assert!(
                excess <= 0.0,
                "{size} gateways, started {delay} steps after: {excess}"
            );
        }
    }
}

/// Guards against repeats that pile up because callers move to other gateways just after most streams broke: those that
/// they left have spent what their requests allow, and the others get requests to spend for.
#[test]
fn move_after_burst() {
    for size in [4, 40, 432] {
        for delay in [1, 20, 100] {
            let moved = 2 * WINDOW_STEPS + delay;
            let arrivals = [Arrivals::Half(moved), Arrivals::One(moved)];
            for arrivals in arrivals {
                let fleet = Fleet::new(size).with_arrivals(arrivals);
                let mut fleet = fleet.with_failing_from(2 * WINDOW_STEPS);
                fleet.play(|_, _| false, |_, _| size as u32);
                let excess = fleet.excess();
                assert!(
                    excess <= 0.0,
                    "{size} gateways, moved {delay} steps after: {excess}"
                );
            }
        }
    }
}

/// Guards against a gateway with nine tenths of all requests that may not repeat them because the others' shares stay
/// unused: a tenth of the requests needs a repeat, half of what all together may send.
#[test]
fn skewed_gateway_repeats() {
    for size in [3, 9, 40, 431] {
        let service = ServiceId::new("lector").unwrap();
        let mut budgets: Vec<RetryBudget> = (0..size).map(|_| RetryBudget::new(BOUNDS)).collect();
        let arrivals = Arrivals::One(2 * WINDOW_STEPS);
        let (mut wanted, mut granted) = (0, 0);
        for step in 0..STEPS {
            let now = Moment::ZERO + STEP.times(step + 1);
            for request in 0..REQUESTS {
                let number = arrivals.gateway(step, request, size) as usize;
                let budget = &mut budgets[number];
                budget.observe_gateways(size as u32);
                budget.record_request(now, &service);
                // A process spends no slack in its first window.
                if step > WINDOW_STEPS && (step * REQUESTS + request) % 10 == 1 {
                    wanted += 1;
                    granted += u32::from(budget.try_spend(now, &service));
                }
            }
        }
        assert!(
            granted * 10 >= wanted * 9,
            "{size} gateways: {granted} of {wanted}"
        );
    }
}
