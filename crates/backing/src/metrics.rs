//! Metrics that are sent to a statsd address by `cadence`.

use std::collections::BTreeMap;
use std::fmt;
use std::net::{SocketAddr, UdpSocket};

use cadence::{BufferedUdpMetricSink, Counted, Gauged, StatsdClient};
use error_stack::{Report, ResultExt};

use snipemast_core::prelude::*;

/// The result of opening a socket to the metrics sink.
pub type Result<T> = std::result::Result<T, Report<MetricsError>>;

/// The interval between two reports of a process.
pub const REPORT_INTERVAL: Span = Span::from_secs(1);

/// The error for a socket to the metrics sink that can't be opened.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MetricsError {
    /// The address of the sink.
    pub address: SocketAddr,
}

impl fmt::Display for MetricsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "metrics can't be sent to {}", self.address)
    }
}

impl std::error::Error for MetricsError {}

/// The metrics of a process: a counter for each numbered event, and gauges.
///
/// Events are counted when they are recorded and the counts are sent once per interval, so that a
/// request costs an addition but no packet.
#[derive(Debug)]
pub struct Metrics {
    client: StatsdClient,
    sent: BTreeMap<Event, u64>,
}

impl Metrics {
    /// Creates the metrics of a host, which are sent to this address whether or not anything listens
    /// there.
    pub fn new(address: SocketAddr, host: &HostId) -> Result<Self> {
        let failed = MetricsError { address };
        let any: SocketAddr = match address {
            SocketAddr::V4(_) => ([0, 0, 0, 0], 0).into(),
            SocketAddr::V6(_) => ([0u16; 8], 0).into(),
        };
        let socket = UdpSocket::bind(any).change_context(failed)?;
        socket.set_nonblocking(true).change_context(failed)?;
        let sink = BufferedUdpMetricSink::from(address, socket).change_context(failed)?;
        let client = StatsdClient::builder("snipemast", sink)
            .with_tag("host", host.as_str())
            .build();
        Ok(Self {
            client,
            sent: BTreeMap::new(),
        })
    }

    /// Sends the counts of events since the last report, and the gauges.
    pub fn report(&mut self, ring: &Ring, gauges: &[(&str, u64)]) {
        for (event, count) in ring.counts() {
            let sent = self.sent.entry(event).or_default();
            let new = count - *sent;
            *sent = count;
            if new > 0 {
                // The socket never blocks: what it can't send is lost, which is acceptable for metrics.
                let _ = self.client.count(event.name(), new);
            }
        }
        for (name, value) in gauges {
            let _ = self.client.gauge(name, *value);
        }
        let _ = self.client.flush();
    }
}
