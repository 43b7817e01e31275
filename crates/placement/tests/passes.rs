//! Whether new prompts stay out of an engine's passes for a moment.

use snipemast_core::prelude::*;
use snipemast_placement::{Passes, Pool};

const PROMISED: Span = Span::from_millis(120);
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

fn wait(passes: &Passes, now: u64, waited: u64) -> Option<Span> {
    let waited = Span::from_millis(waited);
    passes.wait(at(now), &[pool()], waited, OBJECTIVE)
}

/// A user's answers stutter, each by little: after a shift of the demand for experts passes take longer, and
/// every prompt that comes in makes them longer still, until all running streams pause for too long. New
/// prompts wait for half of their objective at most, and no longer than passes are long.
#[test]
fn new_prompts_wait() {
    let mut passes = Passes::new();
    let note = |passes: &mut Passes, now, pause| {
        passes.note(at(now), &pool(), Span::from_millis(pause), PROMISED)
    };
    assert_eq!(wait(&passes, 0, 0), None);
    assert!(!note(&mut passes, 0, 60));
    assert_eq!(wait(&passes, 10, 0), None);
    assert!(!note(&mut passes, 100, 100));
    assert_eq!(wait(&passes, 110, 0), Some(Span::from_millis(250)));
    assert_eq!(wait(&passes, 210, 100), Some(Span::from_millis(150)));
    assert_eq!(wait(&passes, 360, 250), None);
    assert!(note(&mut passes, 400, 70));
    assert_eq!(wait(&passes, 410, 10), None);
}

/// Users wait for nothing where the demand stays above what passes carry, or where none are seen any more.
#[test]
fn lasting_load_let_in() {
    let mut passes = Passes::new();
    for now in (0..2_000).step_by(140) {
        passes.note(at(now), &pool(), Span::from_millis(140), PROMISED);
    }
    assert_eq!(wait(&passes, 2_000, 0), None);
    let mut passes = Passes::new();
    passes.note(at(0), &pool(), Span::from_millis(140), PROMISED);
    assert!(wait(&passes, 300, 0).is_some());
    assert_eq!(wait(&passes, 500, 0), None);
}
