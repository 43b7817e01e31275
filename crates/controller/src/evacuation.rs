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
    pub(crate) async fn evacuate(&self, zone: &str, evacuated: bool) -> Answer {
        let Ok(zone) = ZoneId::new(zone) else {
            return text_answer(StatusCode::BAD_REQUEST, "this is no name of a zone");
        };
        if !self.state.settings.has_zone(&zone) {
            self.refuse_evacuation(&zone, "no such zone");
            return text_answer(StatusCode::NOT_FOUND, "there is no such zone");
        }
        await_hangup().await;
        let order = EvacuationOrder { zone, evacuated };
        let verdict = self
            .submit_to_leader(&Command::Evacuate(order.clone()))
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
            None => {
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

/// Gives the connection the chance to drop the call if its caller has closed it.
///
/// An order names no version. A host that was frozen may read an order long after the operator gave it up,
/// sent it to another host and reversed it. Carried out then, it would undo the reversal. The caller's close is
/// read by then too, but only after the call has begun.
pub(crate) async fn await_hangup() {
    futures_lite::future::yield_now().await;
}
