//! Servers with a stated memory, which crash when their requests hold more tokens.

mod support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use cuminpick_platform::call::ClientConnection;
use cuminpick_platform::platform_side::CallerHead;
use cuminpick_platform::platform_side::add_tokens;
use cuminpick_platform::platform_side::encode_caller;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Request;
use hyper::StatusCode;
use support::HOST;
use support::KEY;
use support::Site;

/// Memory of each server, in tokens.
const MEMORY: u32 = 40_000;
/// Tokens of a usual request; servers would take 24 of them by their slots.
const TOKENS: (u32, u32) = (1_800, 200);

/// Sends a stream of 30 events, 300 ms, that needs the given tokens; returns its status.
async fn call(address: SocketAddr, attempt: String, tokens: (u32, u32)) -> Option<StatusCode> {
    let head = CallerHead {
        host: HOST,
        attempt_id: &attempt,
        time_left: Duration::from_secs(3),
        key: Some(KEY),
        prompt_parts: &[],
    };
    let request = Request::builder().method("POST").uri("/draft/stream/30");
    let mut request = request.body(Full::<Bytes>::default()).unwrap();
    *request.headers_mut() = encode_caller(&head);
    add_tokens(request.headers_mut(), tokens.0, tokens.1);
    let mut connection = ClientConnection::open(address).await.ok()?;
    let answer = connection.send(request).await.ok()?;
    let status = answer.status();
    answer.into_body().collect().await.ok()?;
    Some(status)
}

/// Sends a stream every 5 ms for four seconds, in turns to two gateways. Returns the number of
/// streams that were served, and the most that ran at one server.
async fn crowd(site: &Arc<Site>) -> (usize, u32) {
    let mut calls = Vec::new();
    let mut most = 0;
    let started = Instant::now();
    while started.elapsed() < Duration::from_secs(4) {
        let number = calls.len();
        let address = site.caller_address_at(number % 2);
        calls.push(tokio::spawn(call(address, format!("crowd-{number}"), TOKENS)));
        tokio::time::sleep(Duration::from_millis(5)).await;
        let running = site.engines.iter().map(|engine| engine.running_count());
        most = most.max(running.max().unwrap_or_default());
    }
    let mut served = 0;
    for call in calls {
        served += usize::from(call.await.unwrap() == Some(StatusCode::OK));
    }
    (served, most)
}

/// Guards against a server that gets more tokens than its memory from two gateways together, and
/// against requests that are counted although no memory is stated.
#[tokio::test(flavor = "multi_thread")]
async fn memory_kept() {
    let site = Arc::new(Site::with_sizes(2, 2, 1).await);
    let (served, most) = crowd(&site).await;
    assert!(most * (TOKENS.0 + TOKENS.1) > MEMORY, "{most} streams without a stated memory");
    assert!(site.log_lines("memory-lacking").is_empty());
    site.configure_memory(2, MEMORY);
    site.wait_propagated().await;
    let (served_within, most) = crowd(&site).await;
    assert!(most * (TOKENS.0 + TOKENS.1) <= MEMORY, "{most} streams at a server");
    assert!(served_within * 3 >= served, "{served} served, then {served_within}");
    assert!(!site.log_lines("memory-lacking").is_empty());
    assert!(site.metrics().await.contains("cuminpick_memory_claims_total"));
}

/// A request that is larger than the memory of any server is refused at once; one that fills half
/// of it is served.
#[tokio::test(flavor = "multi_thread")]
async fn large_requests() {
    let site = Site::with_sizes(1, 2, 1).await;
    site.configure_memory(2, MEMORY);
    site.wait_propagated().await;
    let started = Instant::now();
    let refused = call(site.caller_address(), "huge".to_string(), (MEMORY, 200)).await;
    assert_eq!(refused, Some(StatusCode::PAYLOAD_TOO_LARGE));
    assert!(started.elapsed() < Duration::from_millis(100), "{:?}", started.elapsed());
    assert_eq!(site.runs_of_attempt("huge"), 0);
    let served = call(site.caller_address(), "half".to_string(), (MEMORY / 2, 200)).await;
    assert_eq!(served, Some(StatusCode::OK));
}
