//! Reports the agent's metrics, again and again.

use std::sync::Arc;

use snipemast_backing::metrics::{Metrics, REPORT_INTERVAL};

use crate::gate::Gate;

/// Reports once an interval.
pub async fn report_forever(gate: Arc<Gate>, mut metrics: Metrics) {
    loop {
        smol::Timer::after(REPORT_INTERVAL.as_duration()).await;
        let gauges = [
            ("running", u64::from(gate.running())),
            ("draining", u64::from(gate.is_draining())),
        ];
        metrics.report(gate.journal().ring(), &gauges);
    }
}
