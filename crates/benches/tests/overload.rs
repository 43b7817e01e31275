//! Gateways that let requests in under more demand than a group carries.

use snipemast_benches::placing::admission::{Ceiling, Reach, Way, USUAL_PROMPTS};
use snipemast_benches::placing::callers::CallersOutcome;
use snipemast_benches::placing::demand::Demand;
use snipemast_benches::placing::{simulate_callers, Setup};
use snipemast_core::prelude::*;
use snipemast_placement::pick::PickPolicy;

const LESS_URGENT: Way = Way::new(Ceiling::Fixed(60), Reach::LessUrgent);
const STEPS: Way = Way::new(Ceiling::Fixed(70), Reach::Steps);

fn at(seconds: u64) -> Moment {
    Moment::ZERO + Span::from_secs(seconds)
}

/// Returns nine gateways under shifts that full ranks bear within the promised pause.
fn small(way: Way) -> Setup {
    let near = Setup::small();
    Setup {
        reads: USUAL_PROMPTS,
        demand: Demand::of_three(near.pieces).with_shifts(1.4),
        length: Span::from_secs(20),
        way,
        seed: 3,
        ..near
    }
}

fn play(setup: Setup, load: f64) -> CallersOutcome {
    simulate_callers::<PickPolicy>(&setup.with_load(load))
}

/// Guards against urgent requests that come too late while requests that may wait fill every server and its
/// queue, because servers take whoever comes. They come 2.4 times as often for five seconds.
#[test]
fn burst_below_urgent() {
    let burst = |way| {
        let setup = small(way);
        let demand = setup.demand.clone().with_burst(2.4, at(6), at(11));
        play(Setup { demand, ..setup }, 1.0)
    };
    let (today, less_urgent) = (burst(Way::TODAY), burst(LESS_URGENT));
    assert!(less_urgent.kinds[0].on_time > 0.9, "{less_urgent:?}");
    assert!(
        today.kinds[0].on_time < less_urgent.kinds[0].on_time - 0.2,
        "{today:?}"
    );
}

/// Guards against urgent requests that come too late because demand exceeds the capacity for long.
#[test]
fn overload_below_urgent() {
    let (today, less_urgent) = (play(small(Way::TODAY), 1.5), play(small(LESS_URGENT), 1.5));
    assert!(less_urgent.kinds[0].on_time > 0.9, "{less_urgent:?}");
    assert!(today.kinds[0].on_time < 0.7, "{today:?}");
    assert!(less_urgent.goodput > today.goodput, "{today:?}");
}

/// Guards against the least urgent requests being refused for as long as an overload lasts, because all others
/// go first. One in four is let in as the urgent ones are.
#[test]
fn least_not_starved() {
    let share = |seen: &CallersOutcome| seen.kinds[2].served / (1.0 - seen.refused);
    let (steps, less_urgent) = (play(small(STEPS), 2.4), play(small(LESS_URGENT), 2.4));
    assert!(share(&steps) > 0.25, "{steps:?}");
    assert!(share(&less_urgent) < 0.25, "{less_urgent:?}");
}

/// Guards against requests that still wait at gateways long after a burst, because servers are kept too empty to
/// take them.
#[test]
fn calm_after_burst() {
    let burst = |way| {
        let setup = small(way);
        let demand = setup.demand.clone().with_burst(2.4, at(6), at(11));
        play(Setup { demand, ..setup }, 0.6)
    };
    let seen = burst(LESS_URGENT);
    assert!(seen.calm < 2.0, "{seen:?}");
    let tight = Way::new(Ceiling::Fixed(30), Reach::All);
    let seen = burst(tight);
    assert!(seen.calm > 2.0, "{seen:?}");
}

/// Guards against a level that the controller told before it froze and that gateways keep to without end: the
/// least urgent requests would be kept out long after the overload. A level ends with its age.
#[test]
fn frozen_level() {
    let told = Way::new(Ceiling::Told(60), Reach::LessUrgent);
    let setup = small(told);
    let frozen = Setup {
        demand: setup.demand.clone().with_burst(4.0, at(3), at(6)),
        frozen: Some((at(5), at(20))),
        ..setup
    };
    let seen = play(frozen, 1.0);
    assert!(seen.kinds[2].served > 0.8, "{seen:?}");
}
