//! Answers that go to callers: whole ones, streams and the gateway's refusals.

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

/// Why a stream to a caller is cut.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the stream broke off and cannot be continued")]
pub struct StreamCut;

/// Body of an answer.
pub enum AnswerBody {
    /// All bytes are there.
    Whole(Option<Bytes>),
    /// Events come one by one; an error cuts the connection, so that the
    /// answer cannot be taken for a complete one.
    Events(mpsc::Receiver<Result<Bytes, StreamCut>>),
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = StreamCut;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, StreamCut>>> {
        match &mut *self {
            AnswerBody::Whole(bytes) => Poll::Ready(
                bytes.take().filter(|bytes| !bytes.is_empty()).map(|bytes| Ok(Frame::data(bytes))),
            ),
            AnswerBody::Events(events) => {
                events.poll_recv(context).map(|event| event.map(|event| event.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            AnswerBody::Whole(bytes) => bytes.as_ref().is_none_or(Bytes::is_empty),
            AnswerBody::Events(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            AnswerBody::Whole(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            AnswerBody::Events(_) => SizeHint::default(),
        }
    }
}

/// Makes an answer whose bytes are all there.
pub fn whole_answer(status: StatusCode, headers: HeaderMap, body: Bytes) -> Response<AnswerBody> {
    let mut response = Response::new(AnswerBody::Whole(Some(body)));
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}

/// Makes the answer that tells a refusal.
///
/// 503 promises that the request has not run; one that may have run gets a
/// status that promises nothing.
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
        // Where the next request would begin is not certain.
        headers.insert(CONNECTION, HeaderValue::from_static("close"));
    }
    if let Some(retry) = refusal.retry_after.and_then(retry_header) {
        headers.insert(RETRY_AFTER, retry);
    }
    whole_answer(status, headers, Bytes::from(body.to_string()))
}

/// Returns the status that tells a refusal.
pub fn refusal_status(refusal: &Refusal) -> StatusCode {
    let status = StatusCode::from_u16(refusal.kind.status()).unwrap_or(StatusCode::BAD_GATEWAY);
    match (refusal.ran, status) {
        (RanState::No, StatusCode::GATEWAY_TIMEOUT) => StatusCode::SERVICE_UNAVAILABLE,
        (RanState::Unknown, StatusCode::SERVICE_UNAVAILABLE) => StatusCode::BAD_GATEWAY,
        (_, status) => status,
    }
}

/// Seconds with three places; callers of this platform take fractions.
fn retry_header(retry: Duration) -> Option<HeaderValue> {
    HeaderValue::from_str(&format!("{:.3}", retry.as_secs_f64())).ok()
}
