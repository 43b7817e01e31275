//! The timeline that operators get: the events of many processes in causal order.

use snipemast_core::data;
use snipemast_core::prelude::*;
use snipemast_core::units::UnitError;

/// The path of the timeline.
pub const TIMELINE_PATH: &str = "/timeline";

data! {
    /// The events of all processes that answered.
    pub struct Timeline {
        /// The events, causes before their effects.
        pub records: Vec<Record>,
        /// The processes that answered.
        pub reached: Vec<ProcessId>,
        /// The processes that did not answer, whose events are missing, with what others last saw of them.
        pub unreachable: Vec<String>,
        /// Whether there are more events than were collected.
        pub more: bool,
    }

    /// The selection of events in a query of the timeline.
    #[derive(Default)]
    pub struct TimelineQuery {
        /// Selects only the events of this last span; without it, all that are kept.
        pub since: Option<Span>,
        /// Selects only the events about this request.
        pub request: Option<String>,
    }
}

impl TimelineQuery {
    /// Parses the query of a URL, ignoring unknown parameters.
    pub fn read(query: &str) -> Result<Self, UnitError> {
        let mut selection = Self::default();
        for (key, value) in query.split('&').filter_map(|pair| pair.split_once('=')) {
            match key {
                "since" => selection.since = Some(value.parse()?),
                "request" => selection.request = Some(value.to_string()),
                _ => {}
            }
        }
        Ok(selection)
    }

    /// Returns the query of a URL for this selection.
    pub fn to_query(&self) -> String {
        let since = self.since.map(|since| format!("since={since}"));
        let request = self.request.as_ref().map(|id| format!("request={id}"));
        since
            .into_iter()
            .chain(request)
            .collect::<Vec<_>>()
            .join("&")
    }

    /// Returns the earliest stamp that is selected.
    pub fn earliest_stamp(&self, now: Stamp) -> Stamp {
        let micros = self
            .since
            .map_or(0, |since| now.micros.saturating_sub(since.as_micros()));
        Stamp { micros, counter: 0 }
    }
}
