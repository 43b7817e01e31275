//! Which controllers a gateway requests a configuration from.

use snipemast_core::prelude::*;
use snipemast_registry::source::{Source, FETCH_TIMEOUT};

/// Guards against links between availability zones that carry each configuration five times to each
/// gateway. This happens if a gateway asks all other controllers that announced it while the one of
/// its own zone still sends it. It may ask only one of them at a time.
#[test]
fn one_asked_at_a_time() {
    let mut source = Source::default();
    let now = Moment::from_millis(5_000);
    assert!(source.try_ask(now));
    for controller in 0..3 {
        let later = now + Span::from_millis(controller * 20);
        assert!(!source.try_ask(later), "controller {controller}");
    }
    assert!(source.try_ask(now + FETCH_TIMEOUT));
}
