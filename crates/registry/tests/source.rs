//! Of whom a gateway asks a configuration.

use snipemast_core::prelude::*;
use snipemast_registry::source::{Source, FETCH_TIMEOUT};

/// Links between availability zones carry each configuration five times to each gateway: while the controller of its own
/// zone hands it out, a gateway asks all others that told of it. It asks one of them at a time.
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
