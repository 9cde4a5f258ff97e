//! Callers of a stand-in site: one request on a connection of its own.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use cuminpick_platform::call::ClientConnection;
use cuminpick_platform::platform_side::CallerHead;
use cuminpick_platform::platform_side::encode_caller;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::HeaderMap;
use hyper::Method;
use hyper::Request;
use hyper::StatusCode;

/// Body of requests, which servers of a stand-in site do not look at.
const BODY: &[u8] = b"the body";

/// Outcome of a call.
#[derive(Debug, Clone)]
pub struct CallResult {
    /// Status; `None` when the connection closed without an answer.
    pub status: Option<StatusCode>,
    /// Headers.
    pub headers: HeaderMap,
    /// Body as far as it came.
    pub body: String,
    /// Whether the answer came to its end.
    pub complete: bool,
    /// Time from the start to the first bytes of the body.
    pub first: Option<Duration>,
    /// Time from the start to the end.
    pub took: Duration,
}

/// Sends a request to `address` and reads its answer to the end.
pub async fn call_site(address: SocketAddr, path: &str, head: &CallerHead<'_>) -> CallResult {
    let started = Instant::now();
    let mut result = CallResult {
        status: None,
        headers: HeaderMap::new(),
        body: String::new(),
        complete: false,
        first: None,
        took: Duration::ZERO,
    };
    exchange(address, path, head, started, &mut result).await;
    result.took = started.elapsed();
    result
}

/// Returns early when the connection ends; the result tells how far it came.
async fn exchange(
    address: SocketAddr,
    path: &str,
    head: &CallerHead<'_>,
    started: Instant,
    result: &mut CallResult,
) -> Option<()> {
    let mut request = Request::builder()
        .method(Method::POST)
        .uri(path)
        .body(Full::new(Bytes::from_static(BODY)))
        .ok()?;
    *request.headers_mut() = encode_caller(head);
    let mut connection = ClientConnection::open(address).await.ok()?;
    let answer = connection.send(request).await.ok()?;
    result.status = Some(answer.status());
    result.headers = answer.headers().clone();
    let mut answer = answer.into_body();
    while let Some(frame) = answer.frame().await {
        let data = frame.ok()?.into_data().unwrap_or_default();
        result.first = result.first.or_else(|| Some(started.elapsed()));
        result.body.push_str(&String::from_utf8_lossy(&data));
    }
    result.complete = true;
    Some(())
}

/// The events of a whole stream, as servers of a stand-in site make them.
pub fn stream_text(events: u64) -> String {
    (1..=events).map(|number| format!("id: {number}\ndata: event {number}\n\n")).collect()
}
