//! Operators' orders to evacuate an availability zone, and to take it back.

use hyper::StatusCode;
use serde_json::json;

use snipemast_control::documents::{Command, Verdict};
use snipemast_core::prelude::*;

use crate::api::{json_answer, text_answer, Answer, Api};

impl Api {
    /// Evacuates an availability zone or takes it back, and acknowledges that once it is committed.
    ///
    /// The acknowledgement does not wait for the gateways. They have the order with their next poll,
    /// long before it must be in force.
    ///
    /// An order names no version, so one that is carried out late would undo its reversal. A host that was
    /// frozen reads an order together with the close of its caller, who has given it up; the HTTP library
    /// drops such a call before this is polled.
    pub(crate) async fn evacuate(&self, zone: &str, evacuated: bool) -> Answer {
        let Ok(zone) = ZoneId::new(zone) else {
            return text_answer(StatusCode::BAD_REQUEST, "this is no name of a zone");
        };
        if !self.state.settings.has_zone(&zone) {
            self.refuse_evacuation(&zone, "no such zone");
            return text_answer(StatusCode::NOT_FOUND, "there is no such zone");
        }
        let order = EvacuationOrder { zone, evacuated };
        let verdict = self
            .submit_to_leader(Command::Evacuate(order.clone()))
            .await;
        match verdict {
            Some(Verdict::Accepted | Verdict::Held) => {
                let detail = format_args!("{order}, {verdict:?}");
                let journal = &self.state.journal;
                journal.record(Event::ZoneEvacuated, &order.zone, detail);
                let zone = order.zone.as_str();
                json_answer(
                    StatusCode::OK,
                    &json!({ "zone": zone, "evacuated": evacuated }),
                )
            }
            Some(Verdict::Full | Verdict::Conflict) => {
                self.refuse_evacuation(&order.zone, "too many zones are evacuated");
                text_answer(StatusCode::CONFLICT, "too many zones are evacuated")
            }
            Some(Verdict::OtherBase) | None => {
                self.refuse_evacuation(&order.zone, "no verdict: no leader can be reached");
                text_answer(StatusCode::SERVICE_UNAVAILABLE, "no leader is in reach")
            }
        }
    }

    fn refuse_evacuation(&self, zone: &ZoneId, reason: &str) {
        let journal = &self.state.journal;
        journal.record(Event::EvacuationRefused, zone, reason);
    }
}
