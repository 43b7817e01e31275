//! Passes a stream on, and resumes it at another server if it breaks.

use std::sync::Arc;

use async_channel::Sender;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Frame;
use hyper::Response;

use snipemast_core::prelude::*;
use snipemast_net::exec::within;
use snipemast_net::ResponseBody;
use snipemast_placement::outage::longest_wait;
use snipemast_placement::{AnswerResult, EventSplitter};
use snipemast_platform::response::event_id;
use snipemast_routes::Repeat;

use crate::answer::IncompleteAnswer;
use crate::body;
use crate::crashes::Beginning;
use crate::handle::Attempt;
use crate::metrics::Ended;
use crate::request_log::AnswerTimes;
use crate::send::{Failure, Job, Run};

/// How many pieces are buffered for a caller that reads slowly.
pub(crate) const MAX_WAITING_PIECES: usize = 16;

/// How long a stream may be silent at least before it moves to another server: longer than an engine's group stalls on a
/// lost rank (1.5 s), and shorter than the 2 s after which the first callers give up.
const MIN_SILENCE: Span = Span::from_millis(1_750);

/// How one server's part of a stream ended.
enum PartEnd {
    /// The stream is complete.
    Complete,
    /// The caller is gone.
    CallerGone,
    /// The server fell silent, and another one takes the stream.
    Silent,
    /// The caller's time is over.
    Late,
    /// The server broke the stream off.
    Broken(&'static str),
}

/// Passes a stream on to its caller until it ends.
pub(crate) async fn pass_on(
    job: Arc<Job>,
    mut attempt: Attempt,
    mut run: Run,
    sender: Sender<Result<Bytes, IncompleteAnswer>>,
) {
    let mut events = EventSplitter::new(event_id, job.ask.last_event);
    let mut times = None;
    loop {
        let server = run.choice.server.clone();
        let reason = match pass_part(
            &job,
            &mut attempt,
            &mut run,
            &mut events,
            &mut times,
            &sender,
        )
        .await
        {
            PartEnd::Complete => {
                run.finish(&job);
                let times = times.unwrap_or_else(|| job.record_begun());
                job.record_delivered(&server, &times);
                return;
            }
            PartEnd::CallerGone => {
                let detail = format!("{server}, after event {:?}", events.last_id());
                let journal = &job.state.journal;
                journal.record(Event::CallerGone, &job.name, detail);
                return;
            }
            PartEnd::Silent => "silent",
            PartEnd::Late => "the time is over",
            PartEnd::Broken(reason) => {
                run.record_broken(&job);
                job.record_outcome(&run.choice, AnswerResult::Failed);
                reason
            }
        };
        // Dropped first, so that the server stops work that it can't deliver.
        drop(run);
        let detail = format!("{server}: {reason}, after event {:?}", events.last_id());
        job.log_problem(Event::AnswerFailed, detail);
        attempt.exclude(&server);
        events.discard_partial();
        let resumable = job.route.repeat == Repeat::ResumableStream;
        let next = if resumable {
            attempt.resume(&job, events.last_id()).await
        } else {
            None
        };
        let Some(next) = next else {
            job.state.metrics.count_end(Ended::Broken);
            // A caller that is gone needs no message.
            let _ = sender.send(Err(IncompleteAnswer)).await;
            return;
        };
        let detail = format!("{} after event {:?}", next.choice.server, events.last_id());
        job.log_problem(Event::StreamResumed, detail);
        run = next;
    }
}

/// Waits for the next frame of an answer, and records meanwhile that the server goes on.
async fn next_frame(
    job: &Job,
    response: &mut Response<ResponseBody>,
    beginning: &mut Beginning,
) -> Option<hyper::Result<Frame<Bytes>>> {
    if let Some(due) = beginning.survival_due() {
        let now = job.state.clock.now();
        if now < due {
            let early = within(now.until(due), response.body_mut().frame());
            if let Some(frame) = early.await {
                return frame;
            }
        }
        beginning.record_survival(job);
    }
    response.body_mut().frame().await
}

/// Waits for the next frame of an answer for as long as its caller waits, unless another server can take the stream.
///
/// A silent server may still go on, for example with a request that it has preempted. So a stream leaves it only if another
/// server takes the stream now, and otherwise stays until its caller's time is over. From `move_at` on the stream may leave;
/// bytes that complete no event don't put that off.
async fn await_frame(
    job: &Job,
    attempt: &mut Attempt,
    run: &mut Run,
    last: Option<u64>,
    move_at: &mut Moment,
) -> Result<Option<hyper::Result<Frame<Bytes>>>, PartEnd> {
    loop {
        let limit = job.state.clock.now().until(*move_at).min(job.left());
        let next = next_frame(job, &mut run.response, &mut run.beginning);
        let next = job.wait_unless_frozen(&run.choice, attempt, last, limit, next);
        match next.await {
            Ok(frame) => return Ok(frame),
            Err(Failure::Late) if job.left() == Span::default() => return Err(PartEnd::Late),
            Err(Failure::Late) => {
                let resumable = job.route.repeat == Repeat::ResumableStream;
                if resumable && attempt.try_move(job, &run.choice.server, last) {
                    return Err(PartEnd::Silent);
                }
                *move_at = job.state.clock.now() + MIN_SILENCE;
            }
            Err(_) => return Err(PartEnd::Silent),
        }
    }
}

/// Passes on what one server sends.
async fn pass_part(
    job: &Job,
    attempt: &mut Attempt,
    run: &mut Run,
    events: &mut EventSplitter,
    times: &mut Option<AnswerTimes>,
    sender: &Sender<Result<Bytes, IncompleteAnswer>>,
) -> PartEnd {
    let silence = longest_wait(job.route.objective, job.route.gap).max(MIN_SILENCE);
    let mut move_at = job.state.clock.now() + silence;
    loop {
        let frame = match await_frame(job, attempt, run, events.last_id(), &mut move_at).await {
            Ok(frame) => frame,
            Err(end) => return end,
        };
        let bytes = match frame {
            None if run.has_excess() => return PartEnd::Broken("more bytes than its length"),
            None if events.is_complete() => return PartEnd::Complete,
            None => return PartEnd::Broken("ended inside an event"),
            Some(Err(_)) => return PartEnd::Broken("broken off"),
            Some(Ok(frame)) => match frame.into_data() {
                Ok(bytes) => bytes,
                // Trailers concern this connection only.
                Err(_) => continue,
            },
        };
        let Ok(complete) = events.push(&bytes) else {
            return PartEnd::Broken("an event is too long");
        };
        if !complete.is_empty() {
            let now = job.state.clock.now();
            job.record_piece(&run.choice, now);
            run.record_shown(job);
            match times {
                Some(times) => job.record_pause(&run.choice, times.record_piece(now)),
                None => *times = Some(job.record_begun()),
            }
        }
        if !complete.is_empty() {
            let piece = body::count(&job.state.memory, complete);
            if sender.send(Ok(piece)).await.is_err() {
                return PartEnd::CallerGone;
            }
            // A caller that reads slowly is no silence of the server.
            move_at = job.state.clock.now() + silence;
        }
    }
}
