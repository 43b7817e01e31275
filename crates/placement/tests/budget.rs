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
        let mut now = Moment::from_millis(1_000);
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
