//! A request from its caller to a backend server and back.

mod support;

use std::time::Duration;

use cuminpick::routing::RepeatRule;
use cuminpick::routing::ServerState;
use cuminpick_platform::platform_side::seal_of;
use cuminpick_platform::store::EVACUATION_KIND;
use cuminpick_platform::store::SERVER_KIND;
use cuminpick_standins::site::caller::stream_text;
use cuminpick_standins::site::store::StoreMode;
use hyper::StatusCode;
use support::Site;
use support::route;
use support::routes;

#[tokio::test(flavor = "multi_thread")]
async fn plain_and_stream() {
    let site = Site::start().await;
    let plain = site.call("/look/x?q=1", "a1").await;
    assert_eq!(plain.status, Some(StatusCode::OK));
    assert_eq!(plain.body, "answer to a1");
    assert!(seal_of(&plain.headers).is_some());
    let ledger: Vec<_> = site.bookings.iter().flat_map(|server| server.ledger()).collect();
    assert_eq!(ledger.len(), 1);
    assert_eq!(ledger[0].path, "/look/x?q=1");
    assert_eq!(&ledger[0].body[..], b"the body");
    assert_eq!(ledger[0].head.organisation.as_deref(), Some("org"));
    assert_eq!(ledger[0].head.priority, Some(1));
    assert!(!ledger[0].head.carries_key);
    assert!(ledger[0].head.time_left.unwrap() <= Duration::from_secs(3));
    let stream = site.call("/draft/stream/6", "a2").await;
    assert!(stream.complete);
    assert_eq!(stream.body, stream_text(6));
    assert!(site.metrics().await.contains("cuminpick_latency_seconds"));
}

#[tokio::test(flavor = "multi_thread")]
async fn refusals_reported() {
    let site = Site::start().await;
    let unknown = site.call("/nowhere/x", "a1").await;
    assert_eq!(unknown.status, Some(StatusCode::NOT_FOUND));
    let keyless = site.call_with("/look/x", "a2", None, Duration::from_secs(1)).await;
    assert_eq!(keyless.status, Some(StatusCode::UNAUTHORIZED));
    let wrong = site.call_with("/look/x", "a3", Some("other"), Duration::from_secs(1)).await;
    assert_eq!(wrong.status, Some(StatusCode::UNAUTHORIZED));
    for attempt in ["a1", "a2", "a3"] {
        assert_eq!(site.runs_of_attempt(attempt), 0);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn configuration_updated() {
    let site = Site::start().await;
    let mut changed = routes();
    changed.push(route("added", "booking", RepeatRule::Idempotent));
    site.configure(5, &changed);
    site.wait_propagated().await;
    assert_eq!(site.call("/added/x", "a1").await.status, Some(StatusCode::OK));
    // An older version is ignored.
    site.configure(3, &routes());
    site.wait_propagated().await;
    assert_eq!(site.call("/added/x", "a2").await.status, Some(StatusCode::OK));
    assert_eq!(site.log_lines("config-older").len(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn invalid_configuration_ignored() {
    let site = Site::start().await;
    let broken = serde_json::json!({"version": 9, "routes": 7});
    site.store.put(cuminpick_platform::store::CONFIG_KIND, "main", broken);
    site.wait_propagated().await;
    assert_eq!(site.call("/look/x", "a1").await.status, Some(StatusCode::OK));
    assert_eq!(site.log_lines("config-ignored").len(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn draining_servers_avoided() {
    let site = Site::start().await;
    site.set_server_state("booking-3", ServerState::Draining);
    site.wait_propagated().await;
    for index in 0..6 {
        assert_eq!(site.call("/look/x", &format!("a{index}")).await.status, Some(StatusCode::OK));
    }
    assert!(site.bookings[0].ledger().is_empty());
    site.set_server_state("booking-3", ServerState::Ready);
    site.store.put(EVACUATION_KIND, "zone-0", serde_json::json!({}));
    site.wait_propagated().await;
    let before = site.bookings[1].ledger().len();
    for index in 0..6 {
        site.call("/look/x", &format!("b{index}")).await;
    }
    assert_eq!(site.bookings[1].ledger().len(), before, "a zone that was taken out got requests");
}

#[tokio::test(flavor = "multi_thread")]
async fn store_outage() {
    let site = Site::start().await;
    site.store.set_mode(StoreMode::Reset);
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    assert_eq!(site.call("/look/x", "a1").await.status, Some(StatusCode::OK));
    // Servers whose records lapse during the outage stay in use for a while after it.
    for index in 3..5 {
        site.store.remove(SERVER_KIND, &format!("booking-{index}"));
    }
    site.store.drop_history();
    site.store.set_mode(StoreMode::Normal);
    tokio::time::sleep(Duration::from_millis(1_200)).await;
    assert_eq!(site.call("/look/x", "a2").await.status, Some(StatusCode::OK));
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    let gone = site.call("/look/x", "a3").await;
    assert_eq!(gone.status, Some(StatusCode::SERVICE_UNAVAILABLE));
    assert!(!site.log_lines("store-lost").is_empty() && !site.log_lines("store-back").is_empty());
}

/// The store drops its history but accepts a watch from before without an error; the changes
/// in between must not be missed.
#[tokio::test(flavor = "multi_thread")]
async fn history_lost() {
    let site = Site::start().await;
    site.store.set_mode(StoreMode::Unavailable);
    let mut changed = routes();
    changed.push(route("added", "booking", RepeatRule::Idempotent));
    site.configure(5, &changed);
    site.store.drop_history();
    site.store.set_mode(StoreMode::Normal);
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    assert_eq!(site.call("/added/x", "a1").await.status, Some(StatusCode::OK));
}
