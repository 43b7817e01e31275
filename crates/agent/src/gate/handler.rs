//! The endpoints for the system's own processes.

use std::sync::Arc;

use trillium::{async_trait, Conn, Handler, Status};

use snipemast_core::prelude::*;
use snipemast_membership::timeline::{Page, PageRequest};
use snipemast_requests::{Arrival, ArrivalOutcome};
use snipemast_wire::frame::{Frame, Part, RefusalReason, Tag};
use snipemast_wire::message::path;
use snipemast_wire::serve::{read_message, reply, reply_malformed, reply_stream};
use snipemast_wire::{
    gossip, pipe, spawn, AttemptStatus, Cancel, Dispatch, FrameWriter, Packed, ResumeFrom, Settle,
    Settlement,
};

use super::relay::Relay;
use super::work::DispatchWork;
use super::Gate;

/// The most batches of frames that wait for a slow entry before no more are made.
const MAX_BATCHES: usize = 4;

/// Serves the gate to the system's own processes.
#[derive(Debug)]
pub struct GateHandler {
    gate: Arc<Gate>,
}

impl GateHandler {
    /// Creates the handler of this gate.
    pub fn new(gate: Arc<Gate>) -> Self {
        Self { gate }
    }

    /// Answers a dispatch with its frames or a refusal.
    async fn dispatch(&self, mut conn: Conn) -> Conn {
        let Some(dispatch) = read_message::<Dispatch>(&mut conn).await else {
            return reply_malformed(conn);
        };
        match self.accept(dispatch) {
            Ok(id) => self.relay_answer(conn, id, 0),
            Err((id, reason)) => refuse(conn, &id, reason),
        }
    }

    /// Enters a dispatch into the ledger and starts its work, unless it runs already.
    fn accept(&self, dispatch: Dispatch) -> Result<DispatchId, (DispatchId, RefusalReason)> {
        let (gate, id) = (&self.gate, dispatch.id.clone());
        if let Some(reason) = gate.refusal(&dispatch) {
            // A refusal is final: a second copy of the dispatch must not run later. A dispatch that
            // runs already is not refused.
            if gate.shards.settle(&id, &dispatch.agent, dispatch.left) == AttemptStatus::Barred {
                gate.journal
                    .record(Event::DispatchRefused, &dispatch.request, reason);
                return Err((id, reason));
            }
        }
        let arrival = Arrival {
            id: id.clone(),
            agent: dispatch.agent.clone(),
            left: dispatch.left,
            keep: dispatch.keep,
            suspect: dispatch.suspect,
        };
        match gate.shards.arrive(&arrival) {
            (ArrivalOutcome::Run, Some(wakeups)) => {
                gate.journal
                    .record(Event::DispatchAccepted, &dispatch.request, &id);
                self.start_work(dispatch, wakeups);
                Ok(id)
            }
            (ArrivalOutcome::Run | ArrivalOutcome::Attach, _) => Ok(id),
            (ArrivalOutcome::Refused(reason), _) => {
                gate.release_suspect(&id);
                gate.journal
                    .record(Event::DispatchRefused, &dispatch.request, reason);
                Err((id, reason))
            }
        }
    }

    /// Starts the work of a dispatch.
    fn start_work(&self, dispatch: Dispatch, wakeups: async_channel::Receiver<()>) {
        let work = DispatchWork::new(Arc::clone(&self.gate), &dispatch, wakeups);
        let guard = self.gate.track_work();
        spawn(async move {
            work.run(dispatch.call).await;
            drop(guard);
        })
        .detach();
    }

    /// Answers a dispatch that runs already from an offset on.
    async fn resume(&self, mut conn: Conn) -> Conn {
        let Some(ResumeFrom { id, agent, offset }) = read_message(&mut conn).await else {
            return reply_malformed(conn);
        };
        if agent != self.gate.process {
            return refuse(conn, &id, RefusalReason::Incarnation);
        }
        if !self.gate.shards.is_known(&id) {
            return refuse(conn, &id, RefusalReason::Unknown);
        }
        self.relay_answer(conn, id, offset)
    }

    /// Streams the frames of an answer from an offset on.
    fn relay_answer(&self, conn: Conn, id: DispatchId, offset: u64) -> Conn {
        let (writer, reader) = pipe(MAX_BATCHES);
        let relay = Relay::new(Arc::clone(&self.gate), id, offset, writer);
        let guard = self.gate.track_work();
        spawn(async move {
            relay.run().await;
            drop(guard);
        })
        .detach();
        reply_stream(conn, reader)
    }

    /// Settles the status of a dispatch.
    async fn settle(&self, mut conn: Conn) -> Conn {
        let Some(Settle { id, agent, keep }) = read_message(&mut conn).await else {
            return reply_malformed(conn);
        };
        let settled = self.gate.shards.settle(&id, &agent, keep);
        if settled == AttemptStatus::Barred {
            self.gate.journal.record(Event::DispatchBarred, &id, "");
        }
        reply(conn, &Settlement { id, settled })
    }

    /// Cancels a dispatch.
    async fn cancel(&self, mut conn: Conn) -> Conn {
        let Some(Cancel { id, agent, keep }) = read_message(&mut conn).await else {
            return reply_malformed(conn);
        };
        let settled = self.gate.shards.cancel(&id, &agent, keep);
        reply(conn, &Settlement { id, settled })
    }

    /// Answers with a page of the timeline.
    async fn page(&self, mut conn: Conn) -> Conn {
        let Some(packed) = read_message::<Packed>(&mut conn).await else {
            return reply_malformed(conn);
        };
        let Ok(ask) = packed.unpack::<PageRequest>() else {
            return reply_malformed(conn);
        };
        let page = Page::answer(self.gate.journal.ring(), &ask);
        reply(conn, &Packed::new(&page))
    }

    /// Answers with the events since a stamp.
    async fn events(&self, mut conn: Conn) -> Conn {
        let Some(since) = read_message::<Stamp>(&mut conn).await else {
            return reply_malformed(conn);
        };
        reply(conn, &self.gate.journal.ring().since(since))
    }
}

/// Answers with the frame of a refusal.
fn refuse(conn: Conn, id: &DispatchId, reason: RefusalReason) -> Conn {
    let frame = Frame::new(Tag::for_dispatch(id), Part::Refused { reason });
    conn.ok(FrameWriter::encode(&frame))
}

#[async_trait]
impl Handler for GateHandler {
    async fn run(&self, conn: Conn) -> Conn {
        match conn.path() {
            path::DISPATCH => self.dispatch(conn).await,
            path::RESUME => self.resume(conn).await,
            path::SETTLE => self.settle(conn).await,
            path::CANCEL => self.cancel(conn).await,
            gossip::path::PAGE => self.page(conn).await,
            path::EVENTS => self.events(conn).await,
            _ => conn.with_status(Status::NotFound).halt(),
        }
    }
}
