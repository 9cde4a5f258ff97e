//! Builds the answers that callers get: complete ones, streams and the gateway's refusals.

use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use cuminpick::refusal::RanState;
use cuminpick::refusal::Refusal;
use cuminpick::refusal::RefusalKind;
use http_body::Body;
use http_body::Frame;
use http_body::SizeHint;
use hyper::HeaderMap;
use hyper::Response;
use hyper::StatusCode;
use hyper::header::CONNECTION;
use hyper::header::CONTENT_TYPE;
use hyper::header::HeaderValue;
use hyper::header::RETRY_AFTER;
use tokio::sync::mpsc;

/// Error that aborts a stream to a caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the stream was interrupted and cannot be resumed")]
pub struct StreamAborted;

/// Body of an answer to a caller.
pub enum AnswerBody {
    /// All bytes of the body; `None` once they have been sent.
    Complete(Option<Bytes>),
    /// Events as they arrive. An error closes the connection, so that the answer cannot
    /// be taken for a complete one.
    Events(mpsc::Receiver<Result<Bytes, StreamAborted>>),
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = StreamAborted;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, StreamAborted>>> {
        match &mut *self {
            AnswerBody::Complete(bytes) => Poll::Ready(
                bytes.take().filter(|bytes| !bytes.is_empty()).map(|bytes| Ok(Frame::data(bytes))),
            ),
            AnswerBody::Events(events) => {
                events.poll_recv(context).map(|event| event.map(|event| event.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            AnswerBody::Complete(bytes) => bytes.as_ref().is_none_or(Bytes::is_empty),
            AnswerBody::Events(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            AnswerBody::Complete(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            AnswerBody::Events(_) => SizeHint::default(),
        }
    }
}

/// Builds an answer with a complete body.
pub fn complete_answer(
    status: StatusCode,
    headers: HeaderMap,
    body: Bytes,
) -> Response<AnswerBody> {
    let mut response = Response::new(AnswerBody::Complete(Some(body)));
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}

/// Builds the answer for a refusal.
///
/// Status 503 states that the request did not run; a request that may have run gets a
/// status that does not say so.
pub fn refusal_answer(refusal: &Refusal) -> Response<AnswerBody> {
    let status = refusal_status(refusal);
    let ran = match refusal.ran {
        RanState::No => "no",
        RanState::Unknown => "unknown",
    };
    let body = serde_json::json!({
        "kind": refusal.kind.name(),
        "ran": ran,
        "remedy": refusal.kind.remedy(),
    });
    let mut headers = HeaderMap::new();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/problem+json"));
    if refusal.kind == RefusalKind::Malformed {
        // It is not certain where the next request on the connection would start.
        headers.insert(CONNECTION, HeaderValue::from_static("close"));
    }
    if let Some(retry) = refusal.retry_after.and_then(retry_after_header) {
        headers.insert(RETRY_AFTER, retry);
    }
    complete_answer(status, headers, Bytes::from(body.to_string()))
}

/// Returns the HTTP status for a refusal.
pub fn refusal_status(refusal: &Refusal) -> StatusCode {
    let status = StatusCode::from_u16(refusal.kind.status()).unwrap_or(StatusCode::BAD_GATEWAY);
    match (refusal.ran, status) {
        (RanState::No, StatusCode::GATEWAY_TIMEOUT) => StatusCode::SERVICE_UNAVAILABLE,
        (RanState::Unknown, StatusCode::SERVICE_UNAVAILABLE) => StatusCode::BAD_GATEWAY,
        (_, status) => status,
    }
}

/// Returns the seconds with three decimal places; callers of this platform accept fractions.
fn retry_after_header(retry: Duration) -> Option<HeaderValue> {
    HeaderValue::from_str(&format!("{:.3}", retry.as_secs_f64())).ok()
}
