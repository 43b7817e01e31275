//! Reports the entry's metrics at a fixed interval.

use std::sync::Arc;

use snipemast_backing::metrics::{Metrics, REPORT_INTERVAL};

use crate::shared::Shared;

/// Reports the metrics once per interval.
pub async fn report_forever(shared: Arc<Shared>, mut metrics: Metrics) {
    loop {
        smol::Timer::after(REPORT_INTERVAL.as_duration()).await;
        let gauges = [
            ("running", shared.running()),
            ("members", shared.registry.members().len() as u64),
            ("version", shared.config().version.get()),
            ("draining", u64::from(shared.is_draining())),
        ];
        metrics.report(shared.journal.ring(), &gauges);
    }
}
