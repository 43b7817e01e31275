//! The time line as an operator gets it: the events of many processes in one order.

use snipemast_core::data;
use snipemast_core::prelude::*;
use snipemast_core::units::UnitError;

/// The path of the time line.
pub const TIMELINE_PATH: &str = "/timeline";

data! {
    /// Events of all processes that answered.
    pub struct Timeline {
        /// The events, causes before their effects.
        pub records: Vec<Record>,
        /// The processes that answered.
        pub reached: Vec<ProcessId>,
        /// The processes that did not, whose events are missing, with what others saw of them last.
        pub unreachable: Vec<String>,
        /// Whether there are more events than were brought together.
        pub more: bool,
    }

    /// Which events are asked for.
    #[derive(Default)]
    pub struct TimelineQuery {
        /// Only those of the last span; all that are kept without it.
        pub since: Option<Span>,
        /// Only those about this request.
        pub request: Option<String>,
    }
}

impl TimelineQuery {
    /// Reads the query of a URL; what it does not know is passed over.
    pub fn read(query: &str) -> Result<Self, UnitError> {
        let mut asked = Self::default();
        for (key, value) in query.split('&').filter_map(|pair| pair.split_once('=')) {
            match key {
                "since" => asked.since = Some(value.parse()?),
                "request" => asked.request = Some(value.to_string()),
                _ => {}
            }
        }
        Ok(asked)
    }

    /// The query that says the same.
    pub fn to_query(&self) -> String {
        let since = self.since.map(|since| format!("since={since}"));
        let request = self.request.as_ref().map(|id| format!("request={id}"));
        since
            .into_iter()
            .chain(request)
            .collect::<Vec<_>>()
            .join("&")
    }

    /// The earliest stamp that is asked for.
    pub fn earliest_stamp(&self, now: Stamp) -> Stamp {
        let micros = self
            .since
            .map_or(0, |since| now.micros.saturating_sub(since.as_micros()));
        Stamp { micros, counter: 0 }
    }
}
