//! Requests that no server may take now: they wait, or their callers come back later.

use snipemast_core::prelude::*;
use snipemast_net::exec::{pause, within};
use snipemast_placement::choice::Unplaced;
use snipemast_placement::outage::{
    decline, defer, longest_wait, BlockedRequest, Deferral, DEFAULT_STREAM_TIME,
};
use snipemast_placement::queue::{Ranking, WaitingRequest};
use snipemast_placement::returns::HeldRequest;
use snipemast_placement::Urgency;

use crate::answer::{refusal, Answer};
use crate::metrics::Ended;
use crate::queue::{Call, QueuePlace};
use crate::request_log::Wait;
use crate::send::Job;

/// When a caller may come back after a refusal: after a forward pass of the engine, or after a
/// restart of a process.
pub(crate) const RETRY_AFTER_FULL: Span = Span::from_millis(300);
pub(crate) const RETRY_AFTER_OUT: Span = Span::from_millis(700);

/// The wait of a request for a place at a server.
#[derive(Debug, Default)]
pub(crate) struct Waiting {
    place: Option<QueuePlace>,
    /// The urgency with which the request looks for a place while it has the turn.
    turn: Option<Urgency>,
    /// Whether it was logged that the request waits.
    logged: bool,
    /// The wait in the metrics, while it lasts.
    wait: Option<Wait>,
}

impl Waiting {
    /// Returns the urgency of the request's turn, if it has the turn.
    pub(crate) fn turn_urgency(&self) -> Option<Urgency> {
        self.turn
    }

    /// Ends the wait, because the request found a place. Returns the wait, if there was one. A
    /// `newcomer` was sent to no server before.
    pub(crate) fn end(&mut self, job: &Job, newcomer: bool) -> Option<Wait> {
        self.turn = None;
        if let Some(place) = self.place.take() {
            place.found();
        } else if newcomer {
            let now = job.state.clock.now();
            job.state.waiting.overtake(now, &job.service);
        }
        self.wait.take()
    }

    /// Waits until the request may look for a place. Returns nothing if it may not within this
    /// time.
    async fn next_call(&mut self, job: &Job, unplaced: Unplaced, span: Span) -> Option<Call> {
        if self.place.is_none() {
            let request = job.waiting_request(unplaced);
            let Some(place) = QueuePlace::join(&job.state, &job.service, request) else {
                return Some(Call::Refuse);
            };
            self.place = Some(place);
        } else if let (Some(place), Some(_)) = (&self.place, self.turn.take()) {
            place.put_back(unplaced);
        }
        let call = within(span, self.place.as_ref()?.next_call()).await;
        if let Some(Call::Look(urgency)) = call {
            self.turn = Some(urgency);
        }
        call
    }
}

impl Job {
    fn waiting_request(&self, unplaced: Unplaced) -> WaitingRequest {
        let urgency = self.urgency(self.ask.last_event);
        let ranking = match self.ordered_class() {
            Some(class) if !urgency.is_late() => Ranking::Aging {
                asked: self.started - self.spent,
                class,
            },
            _ => Ranking::Fixed(urgency),
        };
        WaitingRequest {
            workspace: self.workspace.clone(),
            ranking,
            arrival: self.started,
            unplaced,
        }
    }

    fn blocked_request(&self) -> BlockedRequest {
        BlockedRequest {
            left: self.left(),
            waited: self.age(),
            timeout: self.route.timeout,
            answer_time: self
                .stream_length()
                .map_or(DEFAULT_STREAM_TIME, |length| length.expected()),
            longest_wait: longest_wait(self.route.objective, self.route.gap),
        }
    }

    /// Returns why a new stream has to wait before it looks for a server: one that is at least as
    /// urgent waits already. A stream that has no time to wait looks at once.
    pub(crate) fn blocked_at_arrival(&self) -> Option<Unplaced> {
        if !self.route.repeat.is_stream() {
            return None;
        }
        let now = self.state.clock.now();
        let urgency = self.urgency(self.ask.last_event);
        let unplaced = self.state.waiting.blocks(now, &self.service, urgency)?;
        let may_wait = matches!(defer(&self.blocked_request()), Deferral::Queue(_));
        may_wait.then_some(unplaced)
    }
}

/// Waits for a service that is out or full, if the request can still be answered after that.
/// Returns the refusal otherwise.
pub(crate) async fn wait_for_server(
    job: &Job,
    unplaced: Unplaced,
    waiting: &mut Waiting,
) -> Option<Answer> {
    let scheduled = [
        Unplaced::AllLimited,
        Unplaced::AllResting,
        Unplaced::AllCold,
    ];
    if scheduled.contains(&unplaced) {
        (waiting.place, waiting.turn) = (None, None);
        return wait_for_schedule(job, unplaced, waiting).await;
    }
    if unplaced == Unplaced::Quarantined {
        return Some(refuse_quarantined(job));
    }
    if unplaced == Unplaced::Undecided {
        // It is no longer in others' way while it waits.
        (waiting.place, waiting.turn) = (None, None);
        log_queued(job, unplaced, job.left(), waiting);
        // The next round finds whether there is time left.
        let _ = within(job.left(), job.await_decision()).await;
        return None;
    }
    let queued = [
        Unplaced::Out,
        Unplaced::AllFull,
        Unplaced::AllExcluded,
        Unplaced::Spent,
    ];
    if !queued.contains(&unplaced) || !job.route.repeat.is_stream() {
        return Some(refuse(job, unplaced, retry_after(unplaced)));
    }
    loop {
        if job.is_quarantined() {
            return Some(refuse_quarantined(job));
        }
        let span = match defer(&job.blocked_request()) {
            Deferral::Queue(span) => span,
            Deferral::RetryLater(span) => return Some(refuse(job, unplaced, span)),
            Deferral::Refuse => return Some(refuse(job, unplaced, retry_after(unplaced))),
        };
        log_queued(job, unplaced, span, waiting);
        let call = waiting.next_call(job, unplaced, span);
        let quarantined = async {
            job.await_quarantine().await;
            None
        };
        let ending = async {
            job.state.await_ending().await;
            Some(Call::Refuse)
        };
        let stopped = futures_lite::future::or(quarantined, ending);
        match futures_lite::future::or(call, stopped).await {
            Some(Call::Look(_)) => return None,
            Some(Call::Refuse) => {
                let after = match decline(&job.blocked_request()) {
                    Deferral::RetryLater(span) => span,
                    _ => retry_after(unplaced),
                };
                return Some(refuse(job, unplaced, after));
            }
            // The next round refuses the request.
            None => {}
        }
    }
}

/// Waits until the scheduled time of a request whose servers are all limited, resting or cold, if the
/// request can still be on time after that. Returns the refusal otherwise.
async fn wait_for_schedule(job: &Job, unplaced: Unplaced, waiting: &mut Waiting) -> Option<Answer> {
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
            log_queued(job, unplaced, span, waiting);
            pause(span).await;
            None
        }
        Deferral::RetryLater(span) => Some(refuse(job, unplaced, span)),
        Deferral::Refuse => Some(refuse(job, unplaced, RETRY_AFTER_OUT)),
    }
}

/// Counts that a request waits, and logs it once.
fn log_queued(job: &Job, unplaced: Unplaced, span: Span, waiting: &mut Waiting) {
    let wait = waiting.wait.get_or_insert_with(|| job.begin_wait());
    if !std::mem::replace(&mut waiting.logged, true) {
        let order = job.ordered(job.ask.last_event);
        let ahead = wait.ahead();
        let detail = format!("{unplaced:?}, for {span} at most, behind {ahead}, {order}");
        job.log_problem(Event::RequestQueued, detail);
    }
}

/// Returns when a caller may come back.
fn retry_after(unplaced: Unplaced) -> Span {
    match unplaced {
        Unplaced::AllFull | Unplaced::AllExcluded | Unplaced::Spent => RETRY_AFTER_FULL,
        _ => RETRY_AFTER_OUT,
    }
}

/// Refuses a request that crashes servers.
fn refuse_quarantined(job: &Job) -> Answer {
    let (crashes, left) = job.describe_crashes();
    job.log_problem(Event::RequestQuarantined, crashes);
    refuse(job, Unplaced::Quarantined, left)
}

fn refuse(job: &Job, unplaced: Unplaced, after: Span) -> Answer {
    // It was under way until now.
    job.record_copy();
    let (left, age, order) = (job.left(), job.age(), job.ordered(job.ask.last_event));
    let attempt = match decline(&job.blocked_request()) {
        Deferral::Refuse => "a return",
        _ => "a first try",
    };
    let detail = format_args!(
        "{unplaced:?}, {left} left, back after {after}; {age} after its arrival, {attempt}, {order}"
    );
    job.log_problem(Event::RequestRefused, detail);
    job.state.metrics.order.count_refusal(order, unplaced);
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
        Unplaced::AllExcluded => "every server refused the request",
        Unplaced::Out => "the service is out",
        Unplaced::TooLong => "the answer could not end in time",
        Unplaced::Undecided => "servers ended that ran this request or others like it",
        Unplaced::Quarantined => "servers ended whenever they ran this request or a part of it",
    };
    refusal(reason, after)
}
