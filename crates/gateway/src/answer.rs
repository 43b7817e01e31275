//! The gateway's own answers, and the body of every answer.

use std::fmt;
use std::pin::Pin;
use std::task::{Context, Poll};

use async_channel::Receiver;
use bytes::Bytes;
use futures_lite::Stream;
use hyper::body::{Body, Frame, SizeHint};
use hyper::header::{HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use smol::Task;

use snipemast_core::prelude::*;

/// An answer to a caller.
pub(crate) type Answer = Response<AnswerBody>;

/// The body of an answer.
#[derive(Debug)]
pub(crate) enum AnswerBody {
    /// The complete body.
    Whole(Option<Bytes>),
    /// Pieces as they come. Dropping it stops the work on them.
    Pieces(Pieces),
}

impl AnswerBody {
    /// Creates a complete body.
    pub(crate) fn new(bytes: Bytes) -> Self {
        // An answer without a body may give the length that its body would have.
        Self::Whole(Some(bytes).filter(|b| !b.is_empty()))
    }
}

/// Pieces of an answer that another task fetches.
#[derive(Debug)]
pub(crate) struct Pieces {
    /// Pinned on the heap, as the channel's stream requires.
    receiver: Pin<Box<Receiver<Result<Bytes, IncompleteAnswer>>>>,
    /// Fetches the pieces; ends when the caller is gone.
    _task: Task<()>,
}

/// The error for an answer that can't be completed. Its connection is closed, so that the answer
/// never looks complete.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct IncompleteAnswer;

impl fmt::Display for IncompleteAnswer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the answer can't be completed")
    }
}

impl std::error::Error for IncompleteAnswer {}

impl Pieces {
    pub(crate) fn new(receiver: Receiver<Result<Bytes, IncompleteAnswer>>, task: Task<()>) -> Self {
        Self {
            receiver: Box::pin(receiver),
            _task: task,
        }
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = IncompleteAnswer;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, IncompleteAnswer>>> {
        match self.get_mut() {
            Self::Whole(bytes) => Poll::Ready(bytes.take().map(|b| Ok(Frame::data(b)))),
            Self::Pieces(pieces) => {
                let next = pieces.receiver.as_mut().poll_next(cx);
                next.map(|piece| piece.map(|p| p.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Whole(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(Some(bytes)) => SizeHint::with_exact(bytes.len() as u64),
            Self::Whole(None) => SizeHint::with_exact(0),
            Self::Pieces(_) => SizeHint::default(),
        }
    }
}

/// Creates an answer of the gateway itself.
pub(crate) fn local_answer(status: StatusCode, reason: &str) -> Answer {
    let body = Bytes::from(format!("{reason}\n"));
    let mut response = Response::new(AnswerBody::Whole(Some(body)));
    *response.status_mut() = status;
    response
}

/// Creates a refusal: the request has not run and never will, and the caller may come back after
/// the span.
pub(crate) fn refusal(reason: &str, after: Span) -> Answer {
    let mut response = local_answer(StatusCode::SERVICE_UNAVAILABLE, reason);
    let seconds = format!("{:.3}", after.as_secs_f64());
    if let Ok(value) = HeaderValue::from_str(&seconds) {
        response.headers_mut().insert(RETRY_AFTER, value);
    }
    response
}
