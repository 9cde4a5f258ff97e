//! What servers announce about themselves in their answers.

mod support;

use std::time::Duration;
use std::time::Instant;

use cuminpick_platform::platform_side::encode_server;
use cuminpick_platform::store::SERVER_KIND;
use cuminpick_standins::site::engine::EngineFault;
use cuminpick_standins::site::engine::SiteEngine;
use cuminpick_standins::site::store::StoreMode;
use hyper::StatusCode;
use support::Site;

const PATH: &str = "/look/x";
const STREAM_PATH: &str = "/draft/stream/3";

/// Sends streams until all of the given servers have asked for a pause.
async fn pause_all(site: &Site, servers: &[SiteEngine]) {
    let mut number = 0;
    while servers.iter().any(|server| server.pauses().is_empty()) {
        assert!(number < 20, "a server gets no stream");
        site.call(STREAM_PATH, &format!("first-{number}")).await;
        number += 1;
    }
}

/// Guards against requests to a server that leaves while only its answers say so: the store
/// still lists it as ready, or is away. All gateways stop at the first such answer.
#[tokio::test(flavor = "multi_thread")]
async fn leaving_told() {
    let site = Site::with_sizes(3, 1, 2).await;
    site.store.set_mode(StoreMode::Unavailable);
    site.bookings[0].announce_leaving();
    let mut number = 0;
    while site.bookings[0].ledger().is_empty() {
        assert!(number < 300, "the server gets no request");
        site.call_at(number % 3, PATH, &format!("first-{number}"), Some(support::KEY)).await;
        number += 1;
    }
    site.wait_propagated().await;
    let before = site.bookings[0].ledger().len();
    for number in 0..30 {
        let attempt = format!("later-{number}");
        let answer = site.call_at(number % 3, PATH, &attempt, Some(support::KEY)).await;
        assert_eq!(answer.status, Some(StatusCode::OK), "{answer:?}");
    }
    assert_eq!(site.bookings[0].ledger().len(), before);
    assert_eq!(site.log_lines("leaving-announced").len(), 3);
}

/// A whole service that leaves is used for most of its drain time; then requests are rejected
/// at once, as not run.
#[tokio::test(flavor = "multi_thread")]
async fn service_leaves() {
    let site = Site::with_sizes(1, 1, 2).await;
    site.bookings.iter().for_each(|server| server.announce_leaving());
    for number in 0..4 {
        let answer = site.call(PATH, &format!("first-{number}")).await;
        assert_eq!(answer.status, Some(StatusCode::OK), "{answer:?}");
    }
    tokio::time::sleep(Duration::from_millis(1_200)).await;
    let answer = site.call(PATH, "still").await;
    assert_eq!(answer.status, Some(StatusCode::OK), "{answer:?}");
    tokio::time::sleep(Duration::from_millis(800)).await;
    let answer = site.call(PATH, "later").await;
    assert_eq!(answer.status, Some(StatusCode::SERVICE_UNAVAILABLE), "{answer:?}");
    assert!(answer.body.contains("\"ran\":\"no\"") && answer.headers.contains_key("retry-after"));
    assert_eq!(site.runs_of_attempt("later"), 0);
}

/// Guards against requests to a server within the pause that it asked for: first attempts and
/// retries go to the others, and the server serves again when the pause ends.
#[tokio::test(flavor = "multi_thread")]
async fn pause_kept() {
    let site = Site::with_sizes(1, 1, 2).await;
    // The server in the gateway's zone, which is preferred while nothing is in flight.
    let paused = &site.bookings[1];
    paused.inject_fault(EngineFault::Pause(2));
    let mut number = 0;
    while paused.pauses().is_empty() {
        assert!(number < 100, "the server gets no request");
        let answer = site.call(PATH, &format!("first-{number}")).await;
        assert_eq!(answer.status, Some(StatusCode::OK), "{answer:?}");
        number += 1;
    }
    let asked = paused.pauses()[0];
    let served = |since: Duration, until: Duration| {
        let ledger = paused.ledger();
        ledger.iter().filter(|run| run.at > asked + since && run.at < asked + until).count()
    };
    while asked.elapsed() < Duration::from_secs(4) {
        let answer = site.call(PATH, &format!("later-{number}")).await;
        assert_eq!(answer.status, Some(StatusCode::OK), "{answer:?}");
        number += 1;
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    assert_eq!(served(Duration::ZERO, Duration::from_secs(2)), 0);
    assert!(served(Duration::from_secs(2), Duration::from_secs(4)) > 10);
}

/// When all servers of a service ask for a pause, requests are rejected at once with the time
/// after which the first of them takes requests.
#[tokio::test(flavor = "multi_thread")]
async fn all_paused() {
    let site = Site::with_sizes(1, 1, 2).await;
    site.bookings.iter().for_each(|server| server.inject_fault(EngineFault::Pause(3)));
    for number in 0..4 {
        site.call(PATH, &format!("first-{number}")).await;
    }
    let answer = site.call(PATH, "later").await;
    assert_eq!(answer.status, Some(StatusCode::SERVICE_UNAVAILABLE), "{answer:?}");
    let retry_after: f64 = answer.headers["retry-after"].to_str().unwrap().parse().unwrap();
    assert!((2.0..=3.5).contains(&retry_after), "{answer:?}");
    assert!(answer.took < Duration::from_millis(100) && answer.body.contains("\"ran\":\"no\""));
    assert_eq!(site.runs_of_attempt("later"), 0);
}

/// Guards against callers that are told to return long before any server takes requests: the
/// request that learns of the last pause is refused with the time until the first one ends.
#[tokio::test(flavor = "multi_thread")]
async fn last_pause() {
    let site = Site::with_sizes(1, 2, 2).await;
    let servers = site.bookings.iter().chain(&site.engines);
    servers.for_each(|server| server.inject_fault(EngineFault::Pause(3)));
    for path in [PATH, STREAM_PATH] {
        let answer = site.call(path, path).await;
        assert_eq!(answer.status, Some(StatusCode::SERVICE_UNAVAILABLE), "{answer:?}");
        let retry_after: f64 = answer.headers["retry-after"].to_str().unwrap().parse().unwrap();
        assert!((2.0..=3.5).contains(&retry_after), "{answer:?}");
        assert!(answer.took < Duration::from_millis(100), "{answer:?}");
    }
}

/// Guards against streams that wait although all servers of their service want a pause. They
/// are served when the first pause ends.
#[tokio::test(flavor = "multi_thread")]
async fn streams_paused() {
    let site = Site::with_sizes(1, 4, 1).await;
    site.engines.iter().for_each(|server| server.inject_fault(EngineFault::Pause(2)));
    pause_all(&site, &site.engines).await;
    let asked = site.engines.iter().flat_map(SiteEngine::pauses);
    let (first, last) = (asked.clone().min().unwrap(), asked.max().unwrap());
    for number in 0..5 {
        let answer = site.call(STREAM_PATH, &format!("paused-{number}")).await;
        assert_eq!(answer.status, Some(StatusCode::SERVICE_UNAVAILABLE), "{answer:?}");
        assert!(answer.took < Duration::from_millis(100), "{answer:?}");
        let retry_after: f64 = answer.headers["retry-after"].to_str().unwrap().parse().unwrap();
        assert!(retry_after > 1.0, "{answer:?}");
    }
    tokio::time::sleep((first + Duration::from_millis(2_050)).duration_since(Instant::now())).await;
    let answer = site.call(STREAM_PATH, "after").await;
    assert_eq!(answer.status, Some(StatusCode::OK), "{answer:?}");
    assert!(last.elapsed() < Duration::from_secs(3));
    for server in &site.engines {
        let asked = server.pauses()[0];
        let early = |at: &Instant| *at > asked && *at < asked + Duration::from_secs(2);
        assert_eq!(server.arrivals().iter().filter(|at| early(at)).count(), 0);
    }
}

/// Guards against a pause that is forgotten when the store tells of the incarnation which asked
/// for it only afterwards.
#[tokio::test(flavor = "multi_thread")]
async fn unlisted_incarnation() {
    let site = Site::with_sizes(1, 1, 2).await;
    let paused = &site.bookings[1];
    paused.inject_fault(EngineFault::Pause(3));
    let mut number = 0;
    while paused.pauses().is_empty() {
        assert!(number < 100, "the server gets no request");
        site.call(PATH, &format!("first-{number}")).await;
        number += 1;
    }
    let before = paused.arrivals().len();
    let mut record = site.record("booking-2");
    record.started_ms += 1;
    site.store.put(SERVER_KIND, &record.id, encode_server(&record));
    site.wait_propagated().await;
    for number in 0..30 {
        let answer = site.call(PATH, &format!("later-{number}")).await;
        assert_eq!(answer.status, Some(StatusCode::OK), "{answer:?}");
    }
    assert_eq!(paused.arrivals().len(), before);
}
