//! Reports the agent's metrics at a fixed interval.

use std::sync::Arc;

use snipemast_backing::metrics::{Metrics, REPORT_INTERVAL};

use crate::gate::Gate;

/// Reports once per [`REPORT_INTERVAL`] for as long as the future is polled.
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
