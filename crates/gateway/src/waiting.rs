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

/// When a caller may come back after a refusal: after a forward pass of the engine, or after a
/// restart of a process.
const RETRY_AFTER_FULL: Span = Span::from_millis(300);
pub(crate) const RETRY_AFTER_OUT: Span = Span::from_millis(700);

/// Waits for a service that is out or full, if the request can still be answered after that.
/// Returns the refusal otherwise.
pub(crate) async fn wait_for_server(
    job: &Job,
    unplaced: Unplaced,
    queued: &mut bool,
) -> Option<Answer> {
    /// How often a waiting request looks for a slot.
    const SLOT_CHECK_INTERVAL: Span = Span::from_millis(60);
    let scheduled = [
        Unplaced::AllLimited,
        Unplaced::AllResting,
        Unplaced::AllCold,
    ];
    if scheduled.contains(&unplaced) {
        return wait_for_schedule(job, unplaced, queued).await;
    }
    let is_out = unplaced == Unplaced::Out;
    let may_queue = is_out || [Unplaced::AllFull, Unplaced::Spent].contains(&unplaced);
    if !may_queue || !job.route.repeat.is_stream() {
        return Some(refuse(job, unplaced, retry_after(unplaced)));
    }
    let now = job.state.clock.now();
    let blocked = BlockedRequest {
        left: job.left(),
        waited: now.since(job.started),
        timeout: job.route.timeout,
        answer_time: job
            .stream_length()
            .map_or(DEFAULT_STREAM_TIME, |length| length.expected()),
    };
    let span = match defer(&blocked) {
        Deferral::Queue(span) => span,
        Deferral::RetryLater(span) => return Some(refuse(job, unplaced, span)),
        Deferral::Refuse => return Some(refuse(job, unplaced, retry_after(unplaced))),
    };
    log_queued(job, unplaced, span, queued);
    let reopened = job.state.reopened.listen();
    let wait = if is_out {
        PROBE_INTERVAL
    } else {
        SLOT_CHECK_INTERVAL
    }
    .min(span);
    futures_lite::future::or(reopened, pause(wait)).await;
    None
}

/// Waits until the scheduled time of a request whose servers are all limited, resting or cold, if the
/// request can still be on time after that. Returns the refusal otherwise.
async fn wait_for_schedule(job: &Job, unplaced: Unplaced, queued: &mut bool) -> Option<Answer> {
    let now = job.state.clock.now();
    let (opens_at, limit) = {
        let servers = job.state.servers.lock();
        match unplaced {
            Unplaced::AllResting => (
                servers.next_send(now, &job.service).unwrap_or(now),
                servers.capacity(&job.service),
            ),
            Unplaced::AllCold => (
                servers.next_cold_send(now, &job.service).unwrap_or(now),
                servers.cold_capacity(&job.service),
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
            log_queued(job, unplaced, span, queued);
            pause(span).await;
            None
        }
        Deferral::RetryLater(span) => Some(refuse(job, unplaced, span)),
        Deferral::Refuse => Some(refuse(job, unplaced, RETRY_AFTER_OUT)),
    }
}

/// Logs once that a request waits.
fn log_queued(job: &Job, unplaced: Unplaced, span: Span, queued: &mut bool) {
    if !std::mem::replace(queued, true) {
        let detail = format!("{unplaced:?}, for {span} at most");
        job.log_problem(Event::RequestQueued, detail);
    }
}

/// Returns when a caller may come back.
fn retry_after(unplaced: Unplaced) -> Span {
    match unplaced {
        Unplaced::AllFull | Unplaced::Spent => RETRY_AFTER_FULL,
        _ => RETRY_AFTER_OUT,
    }
}

fn refuse(job: &Job, unplaced: Unplaced, after: Span) -> Answer {
    let detail = format_args!("{unplaced:?}, {} left, back after {after}", job.left());
    job.log_problem(Event::RequestRefused, detail);
    job.state.metrics.count_end(Ended::Refused);
    let reason = match unplaced {
        Unplaced::AllFull => "every server is full",
        Unplaced::Spent => "no repeat is left",
        Unplaced::AllLimited => "every server has what it takes for now",
        Unplaced::AllResting => "every server asked for rest",
        Unplaced::AllCold => "every server is cold and has what it takes for now",
        Unplaced::Evacuated => "every server is in an evacuated zone",
        Unplaced::AllOut => "no server can be reached",
        Unplaced::Nobody => "the service has no server",
        Unplaced::Out => "the service is out",
        Unplaced::TooLong => "the answer could not end in time",
    };
    refusal(reason, after)
}
