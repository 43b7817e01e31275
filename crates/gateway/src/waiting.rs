//! Requests that no server may take now: they wait, or their callers come back later.

use snipemast_core::prelude::*;
use snipemast_net::exec::pause;
use snipemast_placement::choice::Unplaced;
use snipemast_placement::outage::{
    defer, BlockedRequest, Deferral, DEFAULT_STREAM_TIME, PROBE_INTERVAL,
};
use snipemast_placement::returns::HeldRequest;

use crate::answer::{refusal, Answer};
use crate::metrics::Ended;
use crate::send::Job;

/// When a caller may come back after a refusal: a pass of the engine, a restart of a process.
const BACK_FULL: Span = Span::from_millis(300);
pub(crate) const BACK_OUT: Span = Span::from_millis(700);

/// Waits for a service that is out or full, where the request can still be answered after that;
/// else the refusal.
pub(crate) async fn wait(job: &Job, unplaced: Unplaced, queued: &mut bool) -> Option<Answer> {
    /// How often a request that waits looks for a place.
    const LOOK: Span = Span::from_millis(60);
    if [Unplaced::AllLimited, Unplaced::AllResting].contains(&unplaced) {
        return wait_for_turn(job, unplaced, queued).await;
    }
    let out = unplaced == Unplaced::Out;
    let queues = out || [Unplaced::AllFull, Unplaced::Spent].contains(&unplaced);
    if !queues || !job.route.repeat.is_stream() {
        return Some(refuse(job, unplaced, back(unplaced)));
    }
    let now = job.state.clock.now();
    let blocked = BlockedRequest {
        left: job.left(),
        waited: now.since(job.started),
        timeout: job.route.timeout,
        answer_time: job
            .length()
            .map_or(DEFAULT_STREAM_TIME, |length| length.expected()),
    };
    let span = match defer(&blocked) {
        Deferral::Queue(span) => span,
        Deferral::RetryLater(span) => return Some(refuse(job, unplaced, span)),
        Deferral::Refuse => return Some(refuse(job, unplaced, back(unplaced))),
    };
    note_queued(job, unplaced, span, queued);
    let reopened = job.state.reopened.listen();
    let wait = if out { PROBE_INTERVAL } else { LOOK }.min(span);
    futures_lite::future::or(reopened, pause(wait)).await;
    None
}

/// Waits for the turn of a request whose servers all name limits or rest, where it can still be on time after that;
/// else the refusal.
async fn wait_for_turn(job: &Job, unplaced: Unplaced, queued: &mut bool) -> Option<Answer> {
    let now = job.state.clock.now();
    let (opens_at, limit) = {
        let servers = job.state.servers.lock();
        match unplaced {
            Unplaced::AllResting => (
                servers.next_send(now, &job.service).unwrap_or(now),
                servers.capacity(&job.service),
            ),
            _ => (now, servers.total_limit(&job.service)),
        }
    };
    let held = HeldRequest {
        waited: now.since(job.started),
        objective: job.route.objective,
        left: job.left(),
        opens_at,
        limit,
        gateways: job.state.budget.lock().gateway_count(),
    };
    let deferral = job
        .state
        .retry_schedule
        .lock()
        .schedule(now, &job.service, held);
    match deferral {
        Deferral::Queue(span) => {
            note_queued(job, unplaced, span, queued);
            pause(span).await;
            None
        }
        Deferral::RetryLater(span) => Some(refuse(job, unplaced, span)),
        Deferral::Refuse => Some(refuse(job, unplaced, BACK_OUT)),
    }
}

/// Logs that a request waits, once.
fn note_queued(job: &Job, unplaced: Unplaced, span: Span, queued: &mut bool) {
    if !std::mem::replace(queued, true) {
        let detail = format!("{unplaced:?}, for {span} at most");
        job.note_trouble(Event::RequestQueued, detail);
    }
}

/// When a caller may come back.
fn back(unplaced: Unplaced) -> Span {
    match unplaced {
        Unplaced::AllFull | Unplaced::Spent => BACK_FULL,
        _ => BACK_OUT,
    }
}

fn refuse(job: &Job, unplaced: Unplaced, after: Span) -> Answer {
    let detail = format_args!("{unplaced:?}, {} left, back after {after}", job.left());
    job.note_trouble(Event::RequestRefused, detail);
    job.state.metrics.end(Ended::Refused);
    let reason = match unplaced {
        Unplaced::AllFull => "every server is full",
        Unplaced::Spent => "no repeat is left",
        Unplaced::AllLimited => "every server has what it takes for now",
        Unplaced::AllResting => "every server asked for rest",
        Unplaced::AllOut => "no server can be reached",
        Unplaced::Nobody => "the service has no server",
        Unplaced::Out => "the service is out",
        Unplaced::TooLong => "the answer could not end in time",
    };
    refusal(reason, after)
}
