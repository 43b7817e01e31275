//! Tests of prompts that are held back while forward passes are long.

use snipemast_core::prelude::*;
use snipemast_placement::{PassTimes, Pool};

const PAUSE_TARGET: Span = Span::from_millis(120);
const OBJECTIVE: Span = Span::from_millis(500);

fn at(millis: u64) -> Moment {
    Moment::from_millis(10_000 + millis)
}

fn pool() -> Pool {
    Pool {
        service: ServiceId::new("lector").unwrap(),
        group: None,
    }
}

fn hold_time(passes: &PassTimes, now: u64, waited: u64) -> Option<Span> {
    let waited = Span::from_millis(waited);
    passes.hold_time(at(now), &[pool()], waited, OBJECTIVE)
}

/// All running streams pause for too long: after a shift of the demand for experts passes take
/// longer, and each new prompt lengthens them further. New prompts wait for at most half of their
/// objective, and no longer than passes are long.
#[test]
fn new_prompts_wait() {
    let mut passes = PassTimes::new();
    let record = |passes: &mut PassTimes, now, pause| {
        passes.record_pause(at(now), &pool(), Span::from_millis(pause), PAUSE_TARGET)
    };
    assert_eq!(hold_time(&passes, 0, 0), None);
    assert!(!record(&mut passes, 0, 60));
    assert_eq!(hold_time(&passes, 10, 0), None);
    assert!(!record(&mut passes, 100, 100));
    assert_eq!(hold_time(&passes, 110, 0), Some(Span::from_millis(250)));
    assert_eq!(hold_time(&passes, 210, 100), Some(Span::from_millis(150)));
    assert_eq!(hold_time(&passes, 360, 250), None);
    assert!(record(&mut passes, 400, 70));
    assert_eq!(hold_time(&passes, 410, 10), None);
}

/// New prompts wait without need, because the demand stays above what passes carry, or no passes
/// are seen any more.
#[test]
fn lasting_load_admitted() {
    let mut passes = PassTimes::new();
    for now in (0..2_000).step_by(140) {
        passes.record_pause(at(now), &pool(), Span::from_millis(140), PAUSE_TARGET);
    }
    assert_eq!(hold_time(&passes, 2_000, 0), None);
    let mut passes = PassTimes::new();
    passes.record_pause(at(0), &pool(), Span::from_millis(140), PAUSE_TARGET);
    assert!(hold_time(&passes, 300, 0).is_some());
    assert_eq!(hold_time(&passes, 500, 0), None);
}
