//! Reads a kept answer and frames it for an entry.

use std::sync::Arc;

use futures_lite::{FutureExt, StreamExt};

use snipemast_core::prelude::*;
use snipemast_requests::ledger::ReadPosition;
use snipemast_requests::{Frame, Part, Tag};
use snipemast_wire::{FrameWriter, PipeWriter};

use super::Gate;

/// The bytes of an answer that go into one frame at most.
const FRAME: usize = 32 << 10;
/// How long an entry may take no byte before its connection counts as dead.
const STALL: Span = Span::from_secs(20);

/// One reader of an answer.
#[derive(Debug)]
pub(super) struct Relay {
    gate: Arc<Gate>,
    id: DispatchId,
    frames: PipeWriter,
    place: ReadPosition,
}

/// Whether a relay goes on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Next {
    Wait,
    Ended,
}

/// The entry is gone or takes nothing more.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Gone;

impl Relay {
    /// Relays the answer of a dispatch from an offset on.
    pub(super) fn new(gate: Arc<Gate>, id: DispatchId, offset: u64, frames: PipeWriter) -> Self {
        let place = ReadPosition {
            head: false,
            offset,
        };
        Self {
            gate,
            id,
            frames,
            place,
        }
    }

    /// Relays until the end of the answer or of the connection.
    pub(super) async fn run(mut self) {
        let (number, ring) = self.gate.shards.attach(&self.id);
        let ended = self.follow(&ring).await.is_ok();
        self.gate.shards.detach(&self.id, number, ended);
    }

    async fn follow(&mut self, ring: &async_channel::Receiver<()>) -> Result<(), Gone> {
        self.send(FrameWriter::accepted(&self.id)).await?;
        let mut beats = smol::Timer::interval(self.gate.limits.beat.as_duration());
        loop {
            if self.flush().await? == Next::Ended {
                return Ok(());
            }
            let rung = async { ring.recv().await.is_ok() };
            let beat = async {
                beats.next().await;
                false
            };
            if !rung.or(beat).await {
                let beat = Frame::new(Tag::for_dispatch(&self.id), Part::Beat);
                self.send(FrameWriter::encode(&beat)).await?;
            }
        }
    }

    /// Sends everything that is there, many frames at once.
    async fn flush(&mut self) -> Result<Next, Gone> {
        loop {
            let mut bytes = Vec::new();
            let mut next = Next::Wait;
            while bytes.len() < FRAME {
                let Some(frame) = self.gate.shards.frame(&self.id, self.place, FRAME) else {
                    break;
                };
                FrameWriter::append(&frame, &mut bytes);
                if self.advance(&frame.part) == Next::Ended {
                    next = Next::Ended;
                    break;
                }
            }
            if bytes.is_empty() {
                return Ok(Next::Wait);
            }
            self.send(bytes).await?;
            if next == Next::Ended {
                return Ok(next);
            }
        }
    }

    fn advance(&mut self, part: &Part) -> Next {
        match part {
            Part::Head { .. } => self.place.head = true,
            Part::Data { bytes, .. } => self.place.offset += bytes.len() as u64,
            Part::End { .. } | Part::Failed { .. } | Part::Refused { .. } => return Next::Ended,
            Part::Accepted { .. } | Part::Beat => {}
        }
        Next::Wait
    }

    async fn send(&self, bytes: Vec<u8>) -> Result<(), Gone> {
        let sent = async { self.frames.send(bytes).await.map_err(|_| Gone) };
        let stalled = async {
            smol::Timer::after(STALL.as_duration()).await;
            Err(Gone)
        };
        sent.or(stalled).await
    }
}
