//! PassTimes events on, and goes on at another server where a stream breaks.

use std::sync::Arc;

use async_channel::Sender;
use bytes::Bytes;
use http_body_util::BodyExt;

use snipemast_core::prelude::*;
use snipemast_placement::EventSplitter;
use snipemast_platform::response::event_id;
use snipemast_routes::Repeat;

use crate::answer::Broken;
use crate::handle::Tries;
use crate::metrics::Ended;
use crate::send::{Job, Run};
use crate::story::Pace;

/// How many pieces may wait for a caller that reads slowly.
pub(crate) const WAITING: usize = 16;

/// How long a stream may be silent before it is given up: longer than an engine's group stalls on
/// a lost rank (1.5 s), and shorter than the 2 s after which callers give up.
const SILENCE: Span = Span::from_millis(1_750);

/// How a part of a stream ended.
enum End {
    /// In whole.
    Whole,
    /// The caller is gone.
    Unwanted,
    /// The server broke it off, or it went silent.
    Broken(&'static str),
}

/// PassTimes a stream on to its caller, to the end.
pub(crate) async fn pass(
    job: Arc<Job>,
    mut tries: Tries,
    mut run: Run,
    sender: Sender<Result<Bytes, Broken>>,
) {
    let mut events = EventSplitter::new(event_id, job.ask.last);
    let mut pace = None;
    loop {
        let server = run.choice.server.clone();
        let reason = match part(&job, &mut tries, &mut run, &mut events, &mut pace, &sender).await {
            End::Whole => {
                run.finish(&job);
                let pace = pace.unwrap_or_else(|| job.note_begun());
                job.note_delivered(&server, &pace);
                return;
            }
            End::Unwanted => {
                let detail = format!("{server}, after event {:?}", events.last_id());
                let journal = &job.state.journal;
                journal.record(Event::CallerGone, &job.name, detail);
                return;
            }
            End::Broken(reason) => reason,
        };
        // Dropped first: the server stops its work on what it can't deliver.
        drop(run);
        let detail = format!("{server}: {reason}, after event {:?}", events.last_id());
        job.note_trouble(Event::AnswerFailed, detail);
        tries.exclude(&server);
        events.discard_partial();
        let resumable = job.route.repeat == Repeat::ResumableStream;
        let next = if resumable {
            tries.again(&job, events.last_id()).await
        } else {
            None
        };
        let Some(next) = next else {
            job.state.metrics.end(Ended::Broken);
            // A caller that is gone needs no word.
            let _ = sender.send(Err(Broken)).await;
            return;
        };
        let detail = format!("{} after event {:?}", next.choice.server, events.last_id());
        job.note_trouble(Event::StreamResumed, detail);
        run = next;
    }
}

/// PassTimes on what one server sends.
async fn part(
    job: &Job,
    tries: &mut Tries,
    run: &mut Run,
    events: &mut EventSplitter,
    pace: &mut Option<Pace>,
    sender: &Sender<Result<Bytes, Broken>>,
) -> End {
    loop {
        let limit = SILENCE.min(job.left());
        let next = run.response.body_mut().frame();
        let next = job.unless_still(&run.choice, tries, events.last_id(), limit, next);
        let Ok(frame) = next.await else {
            return End::Broken("silent");
        };
        let bytes = match frame {
            None if events.is_complete() => return End::Whole,
            None => return End::Broken("ended inside an event"),
            Some(Err(_)) => return End::Broken("broken off"),
            Some(Ok(frame)) => match frame.into_data() {
                Ok(bytes) => bytes,
                // Trailers concern this connection only.
                Err(_) => continue,
            },
        };
        let Ok(whole) = events.push(&bytes) else {
            return End::Broken("an event without end");
        };
        if !whole.is_empty() {
            let now = job.state.clock.now();
            job.record_piece(&run.choice, now);
            match pace {
                Some(pace) => job.note_pause(&run.choice, pace.piece(now)),
                None => *pace = Some(job.note_begun()),
            }
        }
        if !whole.is_empty() && sender.send(Ok(whole.into())).await.is_err() {
            return End::Unwanted;
        }
    }
}
