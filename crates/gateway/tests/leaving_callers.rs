//! Callers that disconnect, a gateway that shuts down, and requests with ambiguous framing.

mod support;

use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use cuminpick::routing::RepeatRule;
use cuminpick::routing::RouteRule;
use cuminpick_platform::call::ClientConnection;
use cuminpick_platform::platform_side::CallerHead;
use cuminpick_platform::platform_side::encode_caller;
use cuminpick_standins::site::caller::stream_text;
use cuminpick_standins::site::engine::EngineFault;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Request;
use hyper::StatusCode;
use support::HOST;
use support::KEY;
use support::Site;
use support::route;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

fn request(path: &str, attempt: &str) -> Request<Full<Bytes>> {
    let head = CallerHead {
        host: HOST,
        attempt_id: attempt,
        time_left: Duration::from_secs(7),
        key: Some(KEY),
        prompt_parts: &[],
    };
    let mut request = Request::builder().method("POST").uri(path).body(Full::default()).unwrap();
    *request.headers_mut() = encode_caller(&head);
    request
}

async fn wait_until_idle(site: &Site) -> Duration {
    let started = Instant::now();
    while site.engines.iter().chain(&site.bookings).any(|server| server.running_count() > 0) {
        assert!(started.elapsed() < Duration::from_secs(2), "a server is still running a request");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    started.elapsed()
}

#[tokio::test(flavor = "multi_thread")]
async fn abandoned_stream_cancelled() {
    let site = Site::start().await;
    let mut connection = ClientConnection::open(site.caller_address()).await.unwrap();
    let answer = connection.send(request("/draft/stream/500", "a1")).await.unwrap();
    let mut body = answer.into_body();
    assert!(body.frame().await.unwrap().is_ok());
    drop(body);
    drop(connection);
    assert!(wait_until_idle(&site).await < Duration::from_millis(500));
}

#[tokio::test(flavor = "multi_thread")]
async fn abandoned_wait_cancelled() {
    let site = Site::start().await;
    for server in &site.bookings {
        server.inject_fault(EngineFault::Hang);
    }
    let mut connection = ClientConnection::open(site.caller_address()).await.unwrap();
    let sending = connection.send(request("/book/x", "a1"));
    assert!(tokio::time::timeout(Duration::from_millis(200), sending).await.is_err());
    drop(connection);
    assert!(wait_until_idle(&site).await < Duration::from_millis(500));
}

/// On SIGTERM the gateway is not ready at once, completes what runs, and exits.
#[tokio::test(flavor = "multi_thread")]
async fn graceful_leave() {
    let mut site = Site::start().await;
    let mut connection = ClientConnection::open(site.caller_address()).await.unwrap();
    let answer = connection.send(request("/draft/stream/60", "a1")).await.unwrap();
    site.terminate();
    site.wait_ready(false).await;
    let late = site.call("/look/x", "a2").await;
    assert_eq!(late.status, Some(StatusCode::OK));
    assert_eq!(late.headers["connection"], "close");
    let body = answer.into_body().collect().await.unwrap().to_bytes();
    assert_eq!(String::from_utf8(body.to_vec()).unwrap(), stream_text(60));
    let took = site.wait_exit().await;
    assert!(took < Duration::from_millis(6_000), "{took:?}");
    assert!(site.log_lines("stopped").iter().any(|line| line.contains("\"open\":0")));
}

/// A stream that arrives too late to end before SIGKILL is refused.
#[tokio::test(flavor = "multi_thread")]
async fn late_stream_refused() {
    let site = Site::start().await;
    let long = RouteRule {
        timeout: Duration::from_secs(8),
        ..route("long", "model", RepeatRule::ResumableStream)
    };
    site.configure(2, &[long]);
    site.wait_propagated().await;
    let mut kept = ClientConnection::open(site.caller_address()).await.unwrap();
    let first = kept.send(request("/long/stream/900", "a1")).await.unwrap();
    site.terminate();
    tokio::time::sleep(Duration::from_millis(4_000)).await;
    let late = site.call("/long/stream/4", "a2").await;
    assert_eq!(late.status, Some(StatusCode::SERVICE_UNAVAILABLE));
    assert!(late.headers.contains_key("retry-after"));
    assert_eq!(site.runs_of_attempt("a2"), 0);
    drop(first);
}

/// Requests whose framing parsers may read differently never reach a server.
#[tokio::test(flavor = "multi_thread")]
async fn smuggled_framing() {
    let site = Site::start().await;
    let head = "POST /look/x HTTP/1.1\r\nHost: shop.example\r\nAuthorization: Token key-1\r\n";
    let heads = [
        format!(
            "{head}Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nPOST /book/y"
        ),
        format!("{head}Content-Length: 5\r\nContent-Length: 6\r\n\r\nhello!"),
        format!("{head}Transfer-Encoding: gzip, chunked, identity\r\n\r\n0\r\n\r\n"),
        format!("{head}Content-Length: -1\r\n\r\n"),
        format!("{head}Content Length: 3\r\n\r\nabc"),
        format!("{head}X: {}\r\n\r\n", "y".repeat(40_000)),
    ];
    for text in heads {
        let mut stream = TcpStream::connect(site.caller_address()).await.unwrap();
        stream.write_all(text.as_bytes()).await.unwrap();
        let mut answer = Vec::new();
        let reading = stream.read_to_end(&mut answer);
        let _ = tokio::time::timeout(Duration::from_millis(700), reading).await;
        let answer = String::from_utf8_lossy(&answer);
        let status = answer.split(' ').nth(1).unwrap_or("none").to_string();
        assert!(status.starts_with('4') || status == "none", "{status} to {}", &text[80..110]);
    }
    let ran: usize = site.bookings.iter().map(|server| server.ledger().len()).sum();
    assert_eq!(ran, 0);
}
