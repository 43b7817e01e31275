//! A group's switch to another map, with engines that lose answers and carry out orders late.

mod ordered;

use std::sync::Arc;

use quickcheck::{quickcheck, TestResult};

use ordered::{Engine, Event, World, EPOCH, PASS};
use snipemast_core::prelude::*;
use snipemast_groups::draft::Draft;
use snipemast_groups::executor::{Action, EngineOrder, Executor, OrderSeq};
use snipemast_groups::switch::{Order, Outcome, RankOrder, Switch};

/// Failure guarded against: a pass runs on two maps and corrupts an answer. An engine does not
/// answer some orders and carries them out seconds later, and the lead gives up a switch and
/// releases the group while an arming is still on its way to one rank.
fn late_orders(seed: u64, mute: u64) -> TestResult {
    let mut world = World::new(seed, mute);
    world.run(60_000);
    if world.mixed {
        return TestResult::error(format!("seed {seed}: a pass ran on two maps"));
    }
    // No more answers are lost: whatever is under way ends, and the group continues.
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
    /// One in ten orders gets no answer.
    fn some_late_orders(seed: u64) -> TestResult {
        late_orders(seed, 10)
    }

    /// One in three orders gets no answer.
    fn many_late_orders(seed: u64) -> TestResult {
        late_orders(seed, 3)
    }

    /// Failure guarded against: every stream stands still, because the lead's process dies while
    /// the group is held. Its successor must find the hold, settle what was under way, and release
    /// the group.
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

/// Failure guarded against: a pass runs on two maps in a group that makes no passes for lack of
/// requests. A go gets no answer and is given again, the next switch holds the group at the same
/// step, and the first go is carried out while ranks are being armed.
#[test]
fn late_go_ignored() {
    for seed in 0..3_000 {
        let mut world = World::new(seed, 3);
        world.idles = true;
        world.run(30_000);
        assert!(!world.mixed, "seed {seed}");
    }
}

/// Failure guarded against: every stream stands still forever. A hold gets no answer and is given
/// again, the group is released, and the first copy of the hold is carried out before the step has
/// begun.
#[test]
fn late_hold_released() {
    for seed in [14_974_706_913_388_125_604, 1_911_398_002_110_836_890] {
        assert!(!late_orders(seed, 3).is_failure(), "seed {seed}");
    }
}

/// Failure guarded against: every stream stands still forever. A hold gets no answer and its switch
/// is given up, the next switch holds the group at a later step, arms and releases it, and then the
/// first hold is carried out at a step before the armed one.
#[test]
fn earlier_hold_released() {
    for seed in [3_101_179_205_235_581_143, 3_868_169_542_650_551_705] {
        assert!(!late_orders(seed, 3).is_failure(), "seed {seed}");
    }
}

/// With all answers, each switch ends, and the group is never delayed by a whole pass.
#[test]
fn switches_without_faults() {
    let mut world = World::new(7, u64::MAX);
    world.run(20_000);
    assert!(world.switched > 20, "{}", world.switched);
    assert!(!world.mixed);
    assert!(world.step >= 20_000 / PASS - 20, "{}", world.step);
}

/// Failure guarded against: the group never gets another map, and answers are late. Polling many
/// ranks takes longer than a step, so the step at which the lead wants to hold the group has always
/// begun when the hold arrives.
#[test]
fn slow_polls_switch() {
    let mut world = World::new(7, u64::MAX);
    world.lag = 400;
    world.run(30_000);
    assert!(world.switched > 5, "{}", world.switched);
    assert!(!world.mixed);
}

/// Failure guarded against: streams pause at each new map, because arming many ranks takes longer
/// than the two steps that the hold lies ahead. The lead must learn how long arming takes.
#[test]
fn slow_arming_learnt() {
    let mut world = World::new(7, u64::MAX);
    (world.lag, world.reach) = (100, 300);
    world.run(30_000);
    assert!(world.switched > 10, "{}", world.switched);
    assert!(world.stood <= 400, "{} ms", world.stood);
}

/// Failure guarded against: an order that arrives after a later one is carried out.
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

/// Failure guarded against: each new map is held thousands of steps ahead, and answers are late: a
/// rank has crashed and restarted, its group counts steps from 0, and the hold lies past a step
/// that the rank was held at before.
#[test]
fn restart_resets_holds() {
    let mut executor = Executor::new();
    let state = Engine::default().state(0);
    executor.observe(Incarnation(5), &state);
    executor.before_send(&EngineOrder::Hold(Step(9_000)));
    executor.observe(Incarnation(5), &state);
    assert_eq!(hold(&mut executor, 1), EngineOrder::Hold(Step(9_001)));
    executor.observe(Incarnation(6), &state);
    assert_eq!(hold(&mut executor, 2), EngineOrder::Hold(Step(2)));
}

/// Returns the engine order for a hold 2 steps ahead of a rank at step 0.
fn hold(executor: &mut Executor, number: u64) -> EngineOrder {
    let lead = Ballot(1);
    let taken = executor.accept(OrderSeq { lead, number }, Order::Hold { ahead: 2 }, EPOCH);
    let mut task = taken.expect("the order is the latest");
    match executor.next_action(&mut task, &Engine::default().state(0)) {
        Action::Give(order) => order,
        other => panic!("{other:?}"),
    }
}

fn full_draft() -> Draft {
    Draft::Whole(Arc::default())
}

/// Failure guarded against: a pass runs on two maps. A lead loses its group and adopts it again,
/// and a rank's late outcome of an earlier order is counted for the current one.
#[test]
fn earlier_outcome_ignored() {
    let begin = |lead| {
        let mut switch = Switch::new(1, Ballot(lead));
        let now = Moment::from_millis(0);
        let sends = switch.begin(now, EPOCH, MapVersion(1), full_draft(), Arc::default());
        (switch, sends[0].phase)
    };
    let ((mut switch, own), (_, earlier)) = (begin(2), begin(1));
    let now = Moment::from_millis(5);
    switch.handle_outcome(now, 0, earlier, Outcome::Refused);
    assert!(!switch.is_idle());
    switch.handle_outcome(now, 0, own, Outcome::Refused);
    assert!(switch.is_idle());
}

/// Failure guarded against: a new map is delayed by two seconds, because one of 192 sidecars was
/// restarting when the map was sent and the switch was given up. The map must be sent to that rank
/// again while the others continue to copy.
#[test]
fn absent_rank_retried() {
    let mut switch = Switch::new(3, Ballot(1));
    let now = Moment::from_millis(0);
    let sends = switch.begin(now, EPOCH, MapVersion(1), full_draft(), Arc::default());
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

/// Failure guarded against: every stream stands still for 2.3 s, because one of 192 ranks leaves
/// its orders unanswered for a while and all others are disarmed while the group is held. That rank
/// must be armed again, for a bounded time.
#[test]
fn arming_retried() {
    let mut switch = Switch::new(3, Ballot(1));
    let at = Moment::from_millis;
    let sends = switch.begin(at(0), EPOCH, MapVersion(1), full_draft(), Arc::default());
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
