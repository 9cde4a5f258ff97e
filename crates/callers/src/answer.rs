//! Answers to callers, and refusals as `application/problem+json`.

use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use cuminpick::refusal::RanState;
use cuminpick::refusal::Refusal;
use hyper::Response;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;
use hyper::header::CONTENT_TYPE;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;
use hyper::header::RETRY_AFTER;
use serde_json::json;
use tokio::sync::mpsc;

use crate::request::REQUEST_ID_HEADER;

/// Chunk of a streamed answer, or the mark that the answer is cut.
pub type AnswerChunk = Result<Bytes, AnswerCut>;

/// Error that ends a stream before the answer is complete.
///
/// The connection is closed without the end of the body, by which the caller notices.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AnswerCut;

impl std::fmt::Display for AnswerCut {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("the answer was cut and could not be resumed; send the request again")
    }
}

impl std::error::Error for AnswerCut {}

/// Body of an answer.
pub enum AnswerBody {
    /// Complete body.
    Full(Bytes),
    /// Chunks, sent as they arrive.
    Stream(mpsc::Receiver<AnswerChunk>),
}

/// Answer to a caller.
pub struct CallerAnswer {
    /// Id of the request, sent in [`REQUEST_ID_HEADER`].
    pub request_id: String,
    /// HTTP status code; an invalid one is sent as 502.
    pub status: u16,
    /// Headers, as the backend server sent them; invalid ones are left out.
    pub headers: Vec<(String, Vec<u8>)>,
    /// Complete body or stream.
    pub body: AnswerBody,
}

/// Returns the answer for a refusal, with a problem document that states kind and remedy.
pub fn refusal_answer(request_id: &str, refusal: &Refusal) -> CallerAnswer {
    let ran = match refusal.ran {
        RanState::No => "no",
        RanState::Unknown => "unknown",
    };
    let problem = json!({
        "type": "about:blank",
        "title": refusal.kind.name().replace('-', " "),
        "status": refusal.kind.status(),
        "kind": refusal.kind.name(),
        "ran": ran,
        "remedy": refusal.kind.remedy(),
        "request": request_id,
    });
    let mut headers =
        vec![(CONTENT_TYPE.as_str().to_string(), b"application/problem+json".to_vec())];
    if let Some(retry_after) = refusal.retry_after {
        let seconds = retry_after.as_secs_f64().ceil().max(1.0) as u64;
        headers.push((RETRY_AFTER.as_str().to_string(), seconds.to_string().into_bytes()));
    }
    CallerAnswer {
        request_id: request_id.to_string(),
        status: refusal.kind.status(),
        headers,
        body: AnswerBody::Full(Bytes::from(problem.to_string())),
    }
}

/// Converts an answer into an HTTP response.
pub(crate) fn to_response(answer: CallerAnswer) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::from(answer.body));
    *response.status_mut() =
        hyper::StatusCode::from_u16(answer.status).unwrap_or(hyper::StatusCode::BAD_GATEWAY);
    let headers = response.headers_mut();
    for (name, value) in answer.headers {
        let name = HeaderName::from_bytes(name.as_bytes());
        let value = HeaderValue::from_bytes(&value);
        if let (Ok(name), Ok(value)) = (name, value) {
            headers.append(name, value);
        }
    }
    if let Ok(value) = HeaderValue::from_str(&answer.request_id) {
        headers.insert(REQUEST_ID_HEADER, value);
    }
    response
}

/// Body of a response for hyper; `Full` holds `None` once the bytes are sent.
pub(crate) enum ResponseBody {
    Full(Option<Bytes>),
    Stream(mpsc::Receiver<AnswerChunk>),
}

impl From<AnswerBody> for ResponseBody {
    fn from(body: AnswerBody) -> ResponseBody {
        match body {
            AnswerBody::Full(bytes) => {
                ResponseBody::Full(Some(bytes).filter(|bytes| !bytes.is_empty()))
            }
            AnswerBody::Stream(receiver) => ResponseBody::Stream(receiver),
        }
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = AnswerCut;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, AnswerCut>>> {
        match self.get_mut() {
            ResponseBody::Full(body) => Poll::Ready(body.take().map(|data| Ok(Frame::data(data)))),
            ResponseBody::Stream(receiver) => {
                receiver.poll_recv(context).map(|chunk| chunk.map(|chunk| chunk.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, ResponseBody::Full(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            ResponseBody::Full(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            ResponseBody::Stream(_) => SizeHint::default(),
        }
    }
}
