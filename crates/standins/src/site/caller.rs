//! Client of a stand-in site: sends one request per connection and records the answer.

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

/// Request body; the stand-in servers ignore its contents.
const REQUEST_BODY: &[u8] = b"the body";

/// Result of a call, also of one that was cut short.
#[derive(Debug, Clone)]
pub struct CallResult {
    /// HTTP status; `None` if the connection closed before an answer.
    pub status: Option<StatusCode>,
    /// Headers of the answer.
    pub headers: HeaderMap,
    /// Body as far as it was received.
    pub body: String,
    /// Whether the answer was received in full.
    pub complete: bool,
    /// Time from the start of the call to the first bytes of the body.
    pub time_to_first_byte: Option<Duration>,
    /// Time from the start of the call to its end.
    pub took: Duration,
}

/// Sends a POST request to `address` and reads the answer to its end.
pub async fn call_site(address: SocketAddr, path: &str, head: &CallerHead<'_>) -> CallResult {
    let started = Instant::now();
    let mut result = CallResult {
        status: None,
        headers: HeaderMap::new(),
        body: String::new(),
        complete: false,
        time_to_first_byte: None,
        took: Duration::ZERO,
    };
    exchange_request(address, path, head, started, &mut result).await;
    result.took = started.elapsed();
    result
}

/// Sends the request and fills `result` with what is received; returns early when the
/// connection ends.
async fn exchange_request(
    address: SocketAddr,
    path: &str,
    head: &CallerHead<'_>,
    started: Instant,
    result: &mut CallResult,
) -> Option<()> {
    let mut request = Request::builder()
        .method(Method::POST)
        .uri(path)
        .body(Full::new(Bytes::from_static(REQUEST_BODY)))
        .ok()?;
    *request.headers_mut() = encode_caller(head);
    let mut connection = ClientConnection::open(address).await.ok()?;
    let response = connection.send(request).await.ok()?;
    result.status = Some(response.status());
    result.headers = response.headers().clone();
    let mut body = response.into_body();
    while let Some(frame) = body.frame().await {
        let data = frame.ok()?.into_data().unwrap_or_default();
        result.time_to_first_byte = result.time_to_first_byte.or_else(|| Some(started.elapsed()));
        result.body.push_str(&String::from_utf8_lossy(&data));
    }
    result.complete = true;
    Some(())
}

/// Returns the text of a complete stream of `events` events, as the stand-in servers send it.
pub fn stream_text(events: u64) -> String {
    (1..=events).map(|number| format!("id: {number}\ndata: event {number}\n\n")).collect()
}
