//! Reads a stored answer and sends it to an entry in frames.

use std::sync::Arc;

use futures_lite::{FutureExt, StreamExt};

use snipemast_core::prelude::*;
use snipemast_requests::ledger::ReadPosition;
use snipemast_requests::{Frame, Part, Tag};
use snipemast_wire::{FrameWriter, PipeWriter};

use super::Gate;

/// The most bytes of an answer in one frame.
const MAX_FRAME_BYTES: usize = 32 << 10;
/// How long an entry may read no byte before its connection counts as dead.
const STALL_TIMEOUT: Span = Span::from_secs(20);

/// One reader of an answer.
#[derive(Debug)]
pub(super) struct Relay {
    gate: Arc<Gate>,
    id: DispatchId,
    frames: PipeWriter,
    cursor: ReadPosition,
}

/// Whether a relay waits for more of the answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RelayState {
    Wait,
    Ended,
}

/// The error of an entry that is gone or reads nothing more.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct EntryGone;

impl Relay {
    /// Creates the relay of a dispatch's answer from an offset on.
    pub(super) fn new(gate: Arc<Gate>, id: DispatchId, offset: u64, frames: PipeWriter) -> Self {
        let cursor = ReadPosition {
            head: false,
            offset,
        };
        Self {
            gate,
            id,
            frames,
            cursor,
        }
    }

    /// Relays the answer until it or the connection ends.
    pub(super) async fn run(mut self) {
        let (number, wakeups) = self.gate.shards.attach_reader(&self.id);
        let ended = self.relay_frames(&wakeups).await.is_ok();
        self.gate.shards.detach_reader(&self.id, number, ended);
    }

    /// Sends frames as the answer grows, and a beat where none is sent for a while.
    async fn relay_frames(
        &mut self,
        wakeups: &async_channel::Receiver<()>,
    ) -> Result<(), EntryGone> {
        self.send(FrameWriter::accepted(&self.id)).await?;
        let mut beats = smol::Timer::interval(self.gate.limits.beat.as_duration());
        loop {
            if self.send_available().await? == RelayState::Ended {
                return Ok(());
            }
            let woken = async { wakeups.recv().await.is_ok() };
            let beat = async {
                beats.next().await;
                false
            };
            if !woken.or(beat).await {
                let beat = Frame::new(Tag::for_dispatch(&self.id), Part::Beat);
                self.send(FrameWriter::encode(&beat)).await?;
            }
        }
    }

    /// Sends all that the ledger holds so far, many frames at once.
    async fn send_available(&mut self) -> Result<RelayState, EntryGone> {
        loop {
            let mut bytes = Vec::new();
            let mut state = RelayState::Wait;
            while bytes.len() < MAX_FRAME_BYTES {
                let Some(frame) =
                    self.gate
                        .shards
                        .next_frame(&self.id, self.cursor, MAX_FRAME_BYTES)
                else {
                    break;
                };
                FrameWriter::append(&frame, &mut bytes);
                if self.advance(&frame.part) == RelayState::Ended {
                    state = RelayState::Ended;
                    break;
                }
            }
            if bytes.is_empty() {
                return Ok(RelayState::Wait);
            }
            self.send(bytes).await?;
            if state == RelayState::Ended {
                return Ok(state);
            }
        }
    }

    /// Moves the cursor past a frame.
    fn advance(&mut self, part: &Part) -> RelayState {
        match part {
            Part::Head { .. } => self.cursor.head = true,
            Part::Data { bytes, .. } => self.cursor.offset += bytes.len() as u64,
            Part::End { .. } | Part::Failed { .. } | Part::Refused { .. } => {
                return RelayState::Ended
            }
            Part::Accepted { .. } | Part::Beat => {}
        }
        RelayState::Wait
    }

    /// Sends bytes to the entry.
    async fn send(&self, bytes: Vec<u8>) -> Result<(), EntryGone> {
        let sent = async { self.frames.send(bytes).await.map_err(|_| EntryGone) };
        let stalled = async {
            smol::Timer::after(STALL_TIMEOUT.as_duration()).await;
            Err(EntryGone)
        };
        sent.or(stalled).await
    }
}
