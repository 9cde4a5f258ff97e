//! The store comes back from an older copy: what it lost since must not return or be missed.

mod support;

use std::time::Duration;
use std::time::Instant;

use cuminpick::routing::RepeatRule;
use cuminpick::routing::RouteRule;
use cuminpick::routing::ServerState;
use cuminpick_platform::records::CrashRecord;
use cuminpick_platform::store::CONFIG_KIND;
use cuminpick_platform::store::CRASH_KIND;
use cuminpick_platform::store::EVACUATION_KIND;
use cuminpick_platform::store::GATEWAY_KIND;
use cuminpick_platform::store::SERVER_KIND;
use cuminpick_standins::site::store::StoreReturn;
use hyper::StatusCode;
use support::KEY;
use support::Site;
use support::route;
use support::routes;

/// Time within which all gateways have to handle requests by a change; the platform's bound.
const APPLY_TIME: Duration = Duration::from_secs(2);
/// Time for which operators and servers have not written their objects again.
const LONG_REWRITE: Duration = Duration::from_secs(60);

/// Returns the usual routes and one more per name.
fn routes_with(names: &[&str]) -> Vec<RouteRule> {
    let added = names.iter().map(|name| route(name, "booking", RepeatRule::Idempotent));
    routes().into_iter().chain(added).collect()
}

/// Brings the store back from a copy that was made at `copied`.
fn restore(site: &Site, copied: Instant, rewritten_within: Duration, keeps_watches: bool) {
    let how = StoreReturn { copied_at: copied, rewritten_within, keeps_watches, seed: 1 };
    site.store.restore(how);
}

/// Returns the status of a plain request to a route.
async fn status_at(site: &Site, gateway: usize, route: &str, attempt: &str) -> Option<StatusCode> {
    site.call_at(gateway, &format!("/{route}/x"), attempt, Some(KEY)).await.status
}

/// Sends requests to a booking route for a time; fails if one is not answered.
async fn call_for(site: &Site, time: Duration, name: &str) {
    let started = Instant::now();
    let mut number = 0;
    while started.elapsed() < time {
        let attempt = format!("{name}-{number}");
        let status = status_at(site, 0, "look", &attempt).await;
        assert_eq!(status, Some(StatusCode::OK), "{attempt}: {}", site.all_logs());
        number += 1;
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Guards against a change that is missed because its revision was given out before: a watch
/// from that revision reports neither the change nor the loss of history.
#[tokio::test(flavor = "multi_thread")]
async fn reissued_revision() {
    let site = Site::with_sizes(2, 1, 2).await;
    let copied = Instant::now();
    site.configure(5, &routes_with(&["first"]));
    site.configure(6, &routes_with(&["first"]));
    site.wait_propagated().await;
    let lost = site.store.get(CONFIG_KIND, "main").unwrap().revision;
    restore(&site, copied, Duration::ZERO, true);
    site.wait_propagated().await;
    site.configure(7, &routes_with(&["first", "second"]));
    assert_eq!(site.store.get(CONFIG_KIND, "main").unwrap().revision, lost);
    tokio::time::sleep(APPLY_TIME).await;
    for gateway in 0..2 {
        let attempt = format!("a{gateway}");
        let status = status_at(&site, gateway, "second", &attempt).await;
        assert_eq!(status, Some(StatusCode::OK), "{}", site.all_logs());
    }
}

/// Guards against a gateway that starts with the configuration of the copy while the others
/// know a later one.
#[tokio::test(flavor = "multi_thread")]
async fn older_start() {
    let mut site = Site::with_sizes(2, 1, 2).await;
    let copied = Instant::now();
    site.configure(5, &routes_with(&["added"]));
    site.wait_propagated().await;
    restore(&site, copied, LONG_REWRITE, false);
    site.restart(1).await;
    for number in 0..20 {
        let attempt = format!("a{number}");
        let status = status_at(&site, 1, "added", &attempt).await;
        assert_eq!(status, Some(StatusCode::OK), "{}", site.all_logs());
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    assert_eq!(status_at(&site, 0, "added", "b").await, Some(StatusCode::OK));
}

/// Guards against a configuration that is refused for ever since it has a lower version: its
/// operator went on from what the copy holds.
#[tokio::test(flavor = "multi_thread")]
async fn lower_version() {
    let mut site = Site::with_sizes(2, 1, 2).await;
    let copied = Instant::now();
    site.configure(9, &routes_with(&["lost"]));
    site.wait_propagated().await;
    restore(&site, copied, LONG_REWRITE, true);
    site.wait_propagated().await;
    assert_eq!(status_at(&site, 0, "lost", "a").await, Some(StatusCode::OK));
    site.configure(4, &routes_with(&["chosen"]));
    tokio::time::sleep(APPLY_TIME).await;
    site.restart(1).await;
    for gateway in 0..2 {
        let status = status_at(&site, gateway, "chosen", &format!("b{gateway}")).await;
        assert_eq!(status, Some(StatusCode::OK), "{}", site.all_logs());
    }
}

/// Guards against versions that pass by: an operator who writes all of them again must not
/// bring an older one back in force.
#[tokio::test(flavor = "multi_thread")]
async fn replayed_versions() {
    let site = Site::with_sizes(1, 1, 2).await;
    let copied = Instant::now();
    site.configure(5, &routes_with(&["first"]));
    site.wait_propagated().await;
    site.configure(6, &routes_with(&["first", "second"]));
    site.wait_propagated().await;
    restore(&site, copied, LONG_REWRITE, false);
    let started = Instant::now();
    let mut number = 0;
    while started.elapsed() < Duration::from_millis(1_200) {
        match number {
            10 => site.configure(5, &routes_with(&["first"])),
            20 => site.configure(6, &routes_with(&["first", "second"])),
            _ => {}
        }
        let attempt = format!("a{number}");
        let status = status_at(&site, 0, "second", &attempt).await;
        assert_eq!(status, Some(StatusCode::OK), "{}", site.all_logs());
        number += 1;
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Guards against servers that return through the copy: one that leaves, and one that is gone,
/// are listed there as ready.
#[tokio::test(flavor = "multi_thread")]
async fn departed_servers() {
    let site = Site::with_sizes(2, 1, 4).await;
    let copied = Instant::now();
    site.set_server_state("booking-1", ServerState::Draining);
    site.store.remove(SERVER_KIND, "booking-2");
    site.wait_propagated().await;
    let before = [site.bookings[0].ledger().len(), site.bookings[1].ledger().len()];
    restore(&site, copied, LONG_REWRITE, false);
    call_for(&site, Duration::from_secs(3), "known").await;
    let after = [site.bookings[0].ledger().len(), site.bookings[1].ledger().len()];
    assert_eq!(before, after);
}

/// A server that is alive, and was listed again after it had lapsed, is used again though the
/// copy is the only record of it.
#[tokio::test(flavor = "multi_thread")]
async fn returned_server() {
    let site = Site::with_sizes(1, 1, 2).await;
    let copied = Instant::now();
    site.store.remove(SERVER_KIND, "booking-2");
    site.wait_propagated().await;
    restore(&site, copied, LONG_REWRITE, false);
    tokio::time::sleep(Duration::from_secs(11)).await;
    let before = site.bookings[1].ledger().len();
    call_for(&site, Duration::from_secs(1), "a").await;
    assert!(site.bookings[1].ledger().len() > before, "{}", site.all_logs());
}

/// A server that joined after the copy is used on while its record is missing, and dropped when
/// it is still missing two seconds after the return.
#[tokio::test(flavor = "multi_thread")]
async fn missing_record() {
    let site = Site::with_sizes(1, 1, 2).await;
    site.store.remove(SERVER_KIND, "booking-1");
    site.store.remove(SERVER_KIND, "booking-2");
    site.wait_propagated().await;
    let copied = Instant::now();
    site.set_server_state("booking-1", ServerState::Ready);
    site.wait_propagated().await;
    restore(&site, copied, LONG_REWRITE, true);
    call_for(&site, Duration::from_millis(1_500), "a").await;
    tokio::time::sleep(Duration::from_secs(2)).await;
    assert_eq!(status_at(&site, 0, "look", "b").await, Some(StatusCode::SERVICE_UNAVAILABLE));
}

/// Returns the number of requests that booking servers of a zone ran. Server `booking-N` is in
/// zone N mod 2, and the first booking server is `booking-1`.
fn zone_runs(site: &Site, zone: usize) -> usize {
    let servers = site.bookings.iter().enumerate().filter(|(index, _)| (index + 1) % 2 == zone);
    servers.map(|(_, server)| server.ledger().len()).sum()
}

/// Guards against a gateway that starts with the servers and zones of the copy while the others
/// know later ones.
#[tokio::test(flavor = "multi_thread")]
async fn older_records() {
    let mut site = Site::with_sizes(3, 1, 6).await;
    let copied = Instant::now();
    site.set_server_state("booking-1", ServerState::Draining);
    site.store.remove(SERVER_KIND, "booking-3");
    site.store.put(EVACUATION_KIND, "zone-0", serde_json::json!({}));
    site.wait_propagated().await;
    let departed = |site: &Site| [0, 2].map(|index: usize| site.bookings[index].ledger().len());
    let before = (departed(&site), zone_runs(&site, 0));
    restore(&site, copied, LONG_REWRITE, false);
    site.restart(0).await;
    call_for(&site, Duration::from_secs(2), "restarted").await;
    assert_eq!((departed(&site), zone_runs(&site, 0)), before);
    assert!(zone_runs(&site, 1) > 0);
}

/// Guards against zones that return through the copy: one that was taken out after it, and one
/// that was taken back.
#[tokio::test(flavor = "multi_thread")]
async fn returned_zones() {
    let site = Site::with_sizes(2, 1, 4).await;
    site.store.put(EVACUATION_KIND, "zone-1", serde_json::json!({}));
    site.wait_propagated().await;
    let copied = Instant::now();
    site.store.put(EVACUATION_KIND, "zone-0", serde_json::json!({}));
    site.store.remove(EVACUATION_KIND, "zone-1");
    site.wait_propagated().await;
    let before = zone_runs(&site, 0);
    restore(&site, copied, LONG_REWRITE, false);
    call_for(&site, Duration::from_secs(2), "known").await;
    assert_eq!(zone_runs(&site, 0), before);
    assert!(zone_runs(&site, 1) > 0);
}

/// Guards against records that a gateway takes for stored: its registration, and the crashes
/// that it noticed.
#[tokio::test(flavor = "multi_thread")]
async fn own_records() {
    let site = Site::with_sizes(2, 1, 4).await;
    let copied = Instant::now() - Duration::from_secs(5);
    let path = "/look/ends-servers/x";
    for number in 0..3 {
        site.call_at(number % 2, path, &format!("a{number}"), Some(KEY)).await;
        tokio::time::sleep(Duration::from_millis(1_500)).await;
    }
    let stored = |site: &Site| -> usize {
        let records = ["edge-1", "edge-2"].map(|name| site.store.get(CRASH_KIND, name));
        let records = records.iter().flatten().map(|object| CrashRecord::decode(object).unwrap());
        records.map(|record| record.crashes.len()).sum()
    };
    let before = stored(&site);
    assert!(before >= 3, "{before} crashes are stored");
    restore(&site, copied, Duration::ZERO, false);
    assert_eq!(stored(&site), 0);
    tokio::time::sleep(APPLY_TIME).await;
    assert_eq!(stored(&site), before);
    for name in ["edge-1", "edge-2"] {
        assert!(site.store.get(GATEWAY_KIND, name).is_some(), "{name} is not registered");
    }
    let answer = site.call_at(0, path, "later", Some(KEY)).await;
    assert!(answer.body.contains("crashes-servers"), "{answer:?}");
}

/// Two returns, the second while the first is being recovered from, with a store whose watches
/// survive, lose no change and bring none back.
#[tokio::test(flavor = "multi_thread")]
async fn two_returns() {
    let site = Site::with_sizes(2, 1, 2).await;
    let copied = Instant::now();
    site.configure(5, &routes_with(&["first"]));
    site.wait_propagated().await;
    restore(&site, copied, Duration::from_millis(400), true);
    tokio::time::sleep(Duration::from_millis(200)).await;
    restore(&site, copied, Duration::from_millis(400), true);
    call_for(&site, Duration::from_millis(600), "a").await;
    site.configure(8, &routes_with(&["first", "second"]));
    tokio::time::sleep(APPLY_TIME).await;
    for gateway in 0..2 {
        for route in ["first", "second"] {
            let status = status_at(&site, gateway, route, &format!("{route}{gateway}")).await;
            assert_eq!(status, Some(StatusCode::OK), "{}", site.all_logs());
        }
    }
}

/// A store that states no era, or none that can be read, is served as before eras were stated:
/// a watch that breaks off has its kind listed anew.
#[tokio::test(flavor = "multi_thread")]
async fn unknown_era() {
    for text in ["", "second"] {
        let site = Site::with_sizes(1, 1, 2).await;
        site.store.state_era(text);
        let copied = Instant::now();
        site.configure(5, &routes_with(&["first"]));
        site.configure(6, &routes_with(&["first"]));
        site.wait_propagated().await;
        restore(&site, copied, Duration::ZERO, false);
        site.wait_propagated().await;
        site.configure(7, &routes_with(&["first", "second"]));
        tokio::time::sleep(APPLY_TIME).await;
        assert_eq!(status_at(&site, 0, "second", "a").await, Some(StatusCode::OK));
    }
}
