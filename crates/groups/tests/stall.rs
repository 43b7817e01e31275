//! Detection of stalled groups.

use snipemast_core::prelude::*;
use snipemast_groups::stall::StallDetector;
use snipemast_groups::switch::RankState;

fn at(millis: u64) -> Moment {
    Moment::from_millis(millis)
}

fn state(step: u64, open: bool, held: Option<u64>) -> RankState {
    RankState {
        epoch: GroupIncarnation(1),
        open,
        step: Step(step),
        map: MapVersion(0),
        prepared: None,
        armed: None,
        held: held.map(Step),
    }
}

/// Failure guarded against: requests are sent to a group whose passes have stopped and refused 1.5
/// s later with little time left, because a rank's host is cut off and the engine waits for it. A
/// rank with requests must detect it sooner, but not where its group is idle or held.
#[test]
fn stall_detected() {
    let mut stall = StallDetector::new(at(0));
    assert!(stall.observe_progress(at(100), &state(7, true, None), true));
    assert!(stall.observe_progress(at(400), &state(7, true, None), true));
    assert!(!stall.observe_progress(at(600), &state(7, true, None), true));
    assert!(stall.observe_progress(at(700), &state(8, true, None), true));
    assert!(stall.observe_progress(at(1_500), &state(8, true, None), false));
    assert!(stall.observe_progress(at(2_500), &state(8, true, Some(9)), true));
    assert!(!stall.observe_progress(at(2_600), &state(9, false, None), false));
}
