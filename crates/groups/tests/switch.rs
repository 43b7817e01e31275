//! A group's switch to another map, on engines that lose answers and carry orders out late.

mod ordered;

use std::sync::Arc;

use quickcheck::{quickcheck, TestResult};

use ordered::{Engine, Event, World, EPOCH, PASS};
use snipemast_core::prelude::*;
use snipemast_groups::draft::Draft;
use snipemast_groups::executor::{Action, EngineOrder, Executor, OrderSeq};
use snipemast_groups::switch::{Order, Outcome, RankOrder, Switch};

/// A user sees wrong words in an answer: one pass ran on two maps. An engine answers nothing to some
/// orders and carries them out seconds later; the lead gives a switch up and lets the group go on
/// while an arming is still on its way to one rank.
fn late_orders(seed: u64, mute: u64) -> TestResult {
    let mut world = World::new(seed, mute);
    world.run(60_000);
    if world.mixed {
        return TestResult::error(format!("seed {seed}: a pass ran on two maps"));
    }
    // Orders stop getting lost: whatever is under way ends, and the group goes on.
    world.mute = u64::MAX;
    world.run(75_000);
    let step = world.step;
    world.run(80_000);
    if world.step == step || world.mixed {
        let (held, states) = (world.is_held(), world.states());
        let switch = &world.switch;
        return TestResult::error(format!(
            "seed {seed}: step {step}, held: {held}, {switch:?}, {states:?}"
        ));
    }
    TestResult::from_bool(world.switched > 0)
}

quickcheck! {
    /// A few orders are lost.
    fn some_late_orders(seed: u64) -> TestResult {
        late_orders(seed, 10)
    }

    /// Every third order is lost.
    fn many_late_orders(seed: u64) -> TestResult {
        late_orders(seed, 3)
    }

    /// A user sees every stream stand still: the lead's process dies while the group is held. Its
    /// successor finds the hold, settles what was under way, and lets the group go on.
    fn lead_dies(seed: u64, at: u16) -> TestResult {
        let mut world = World::new(seed, 10);
        world.after(u64::from(at), Event::Restart);
        world.after(u64::from(at) + 7_000, Event::Restart);
        world.run(90_000);
        world.mute = u64::MAX;
        world.run(105_000);
        let step = world.step;
        world.run(110_000);
        TestResult::from_bool(!world.mixed && world.step > step)
    }
}

/// A user sees wrong words in an answer: one pass ran on two maps. A group without requests makes no
/// passes. A go gets no answer and is given again; the next switch holds the group at the same step,
/// and the first go is carried out while its ranks are being armed.
#[test]
fn late_go_of_idle_group() {
    for seed in 0..3_000 {
        let mut world = World::new(seed, 3);
        world.idles = true;
        world.run(30_000);
        assert!(!world.mixed, "seed {seed}");
    }
}

/// A user sees every stream stand still for good. A hold gets no answer and is given again; the group
/// is let go on; the first copy of the hold is carried out before the step has begun.
#[test]
fn late_hold_released() {
    for seed in [14_974_706_913_388_125_604, 1_911_398_002_110_836_890] {
        assert!(!late_orders(seed, 3).is_failure(), "seed {seed}");
    }
}

/// A user sees every stream stand still for good. A hold gets no answer and the switch is given up;
/// the next switch holds the group at a later step, arms it and lets it go on; then the first hold is
/// carried out, at a step before the one that the ranks are armed for.
#[test]
fn earlier_hold_released() {
    for seed in [3_101_179_205_235_581_143, 3_868_169_542_650_551_705] {
        assert!(!late_orders(seed, 3).is_failure(), "seed {seed}");
    }
}

/// Without lost orders each switch ends, and the group is never held up for a whole pass.
#[test]
fn calm_group_switches() {
    let mut world = World::new(7, u64::MAX);
    world.run(20_000);
    assert!(world.switched > 20, "{}", world.switched);
    assert!(!world.mixed);
    assert!(world.step >= 20_000 / PASS - 20, "{}", world.step);
}

/// A user sees every answer come late: the group never gets another map. In a group of many ranks a
/// look at all of them takes longer than a step, so the step that the lead wants to hold the group
/// at has begun when the hold arrives, every time.
#[test]
fn slow_looks_switch() {
    let mut world = World::new(7, u64::MAX);
    world.lag = 400;
    world.run(30_000);
    assert!(world.switched > 5, "{}", world.switched);
    assert!(!world.mixed);
}

/// A user sees streams pause at each new map: arming many ranks takes longer than the two steps that
/// the hold lies ahead, and the group stands still meanwhile. The lead learns how long it takes.
#[test]
fn slow_arming_stands_little() {
    let mut world = World::new(7, u64::MAX);
    (world.lag, world.reach) = (100, 300);
    world.run(30_000);
    assert!(world.switched > 10, "{}", world.switched);
    assert!(world.stood <= 400, "{} ms", world.stood);
}

/// An order that is overtaken by a later one on its way is refused.
#[test]
fn overtaken_order_refused() {
    let mut executor = Executor::new();
    let seq = |number| OrderSeq {
        lead: Ballot(1),
        number,
    };
    let go = || Order::Go { step: Step(1) };
    assert!(executor.accept(seq(2), go(), EPOCH).is_some());
    assert!(executor.accept(seq(1), go(), EPOCH).is_none());
}

/// A user sees every answer come late: a rank crashed and started again, its group counts steps from 0, and
/// each new map is held thousands of steps ahead, past one that the rank was held at before.
#[test]
fn restart_forgets_holds() {
    let mut executor = Executor::new();
    let state = Engine::default().state(0);
    executor.observe(Incarnation(5), &state);
    executor.before_send(&EngineOrder::Hold(Step(9_000)));
    executor.observe(Incarnation(5), &state);
    assert_eq!(hold(&mut executor, 1), EngineOrder::Hold(Step(9_001)));
    executor.observe(Incarnation(6), &state);
    assert_eq!(hold(&mut executor, 2), EngineOrder::Hold(Step(2)));
}

/// What a rank at step 0 is given for a hold 2 steps ahead.
fn hold(executor: &mut Executor, number: u64) -> EngineOrder {
    let lead = Ballot(1);
    let taken = executor.accept(OrderSeq { lead, number }, Order::Hold { ahead: 2 }, EPOCH);
    let mut task = taken.expect("it is the latest");
    match executor.next_action(&mut task, &Engine::default().state(0)) {
        Action::Give(order) => order,
        other => panic!("{other:?}"),
    }
}

fn whole() -> Draft {
    Draft::Whole(Arc::default())
}

/// A user sees wrong words in an answer: one pass ran on two maps. A group is lost and taken up again;
/// a rank's word on an order of the time before comes late, and is taken for the one under way.
#[test]
fn earlier_leads_outcomes_ignored() {
    let begin = |lead| {
        let mut switch = Switch::new(1, Ballot(lead));
        let now = Moment::from_millis(0);
        let sends = switch.begin(now, EPOCH, MapVersion(1), whole(), Arc::default());
        (switch, sends[0].phase)
    };
    let ((mut switch, own), (_, earlier)) = (begin(2), begin(1));
    let now = Moment::from_millis(5);
    switch.handle_outcome(now, 0, earlier, Outcome::Refused);
    assert!(!switch.is_idle());
    switch.handle_outcome(now, 0, own, Outcome::Refused);
    assert!(switch.is_idle());
}

/// A user's answers come late for two seconds more: one of 192 processes was away as a new map was told, the switch was
/// given up, and the group was looked at anew. That rank is told again; the others go on copying.
#[test]
fn absent_rank_told_again() {
    let mut switch = Switch::new(3, Ballot(1));
    let now = Moment::from_millis(0);
    let sends = switch.begin(now, EPOCH, MapVersion(1), whole(), Arc::default());
    let phase = sends[0].phase;
    for rank in [0, 2] {
        assert!(switch
            .handle_outcome(now, rank, phase, Outcome::Prepared)
            .is_empty());
    }
    let again = switch.handle_outcome(now, 1, phase, Outcome::Unsure);
    assert_eq!((again.len(), again[0].rank), (1, 1));
    assert!(matches!(again[0].order, Order::Prepare { .. }));
    let next = switch.handle_outcome(now, 1, phase, Outcome::Prepared);
    assert!(matches!(next[0].order, Order::Hold { .. }));
}

/// A user sees every stream stand still for 2.3 s: one of 192 ranks leaves its orders unanswered for a while, and all
/// others are disarmed while the group is held. That rank is armed again, for a bounded time.
#[test]
fn unsure_rank_armed_again() {
    let mut switch = Switch::new(3, Ballot(1));
    let at = Moment::from_millis;
    let sends = switch.begin(at(0), EPOCH, MapVersion(1), whole(), Arc::default());
    let mut holds = Vec::new();
    for send in sends {
        holds = switch.handle_outcome(at(10), send.rank, send.phase, Outcome::Prepared);
    }
    let held = Outcome::Held(Step(9));
    let arms = switch.handle_outcome(at(20), 1, holds[0].phase, held);
    assert_eq!(arms.len(), 2);
    let again = switch.handle_outcome(at(300), 2, arms[0].phase, Outcome::Unsure);
    assert_eq!(again, [arms[1].clone()]);
    assert!(switch.tick(at(600)).is_empty());
    let aborts = switch.tick(at(800));
    let disarms = |s: &RankOrder| matches!(s.order, Order::Disarm { .. });
    assert!(aborts.len() == 3 && aborts.iter().all(disarms));
}
