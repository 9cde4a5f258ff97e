//! Records of the store that the JSON reader refuses, beside others.

mod support;

use std::time::Duration;
use std::time::Instant;

use cuminpick::routing::ServerState;
use cuminpick_platform::platform_side::encode_server;
use cuminpick_platform::store::CONFIG_KIND;
use cuminpick_platform::store::CRASH_KIND;
use cuminpick_platform::store::EVACUATION_KIND;
use cuminpick_platform::store::GATEWAY_KIND;
use cuminpick_platform::store::SERVER_KIND;
use hyper::StatusCode;
use serde_json::json;
use support::KEY;
use support::Site;

/// Time between two requests.
const CALL_INTERVAL: Duration = Duration::from_millis(20);
/// Time for which requests are sent after a change.
const CALL_TIME: Duration = Duration::from_millis(500);
/// Contents that the JSON reader refuses: half of a surrogate pair, a number out of range and
/// words that are not JSON.
const REFUSED: [&str; 3] =
    [r#"{"service":"booking","note":"\ud83d"}"#, r#"{"slots":1e999}"#, r#"{"slots":many}"#];
/// Names that stand before, between and after those of the servers.
const NAMES: [&str; 3] = ["a-notes", "booking-0x", "x-notes"];

/// Sends look-ups for a time; returns how many of them failed.
async fn call_for(site: &Site, time: Duration, name: &str) -> usize {
    let started = Instant::now();
    let mut failed = 0;
    let mut number = 0;
    while started.elapsed() < time {
        let answer = site.call_at(0, "/look/x", &format!("{name}-{number}"), Some(KEY)).await;
        failed += usize::from(answer.status != Some(StatusCode::OK));
        number += 1;
        tokio::time::sleep(CALL_INTERVAL).await;
    }
    failed
}

/// Sends look-ups and returns how many requests each booking server got by them.
async fn served(site: &Site, name: &str) -> Vec<usize> {
    let before: Vec<usize> = site.bookings.iter().map(|server| server.ledger().len()).collect();
    assert_eq!(call_for(site, CALL_TIME, name).await, 0, "{name}: {}", site.all_logs());
    let after = site.bookings.iter().map(|server| server.ledger().len());
    after.zip(before).map(|(after, before)| after - before).collect()
}

/// Guards against a gateway that learns of no change any more, and after a restart of no server,
/// because one entry of the listing cannot be read.
#[tokio::test(flavor = "multi_thread")]
async fn other_entries() {
    let mut site = Site::with_sizes(1, 0, 2).await;
    for (name, content) in NAMES.iter().zip(REFUSED) {
        site.store.put_text(SERVER_KIND, name, content);
        site.wait_propagated().await;
        site.set_server_state("booking-0", ServerState::Draining);
        site.wait_propagated().await;
        assert_eq!(served(&site, &format!("{name}-draining")).await[0], 0, "{}", site.all_logs());
        site.set_server_state("booking-0", ServerState::Ready);
        site.set_server_state("booking-1", ServerState::Draining);
        site.wait_propagated().await;
        let counts = served(&site, &format!("{name}-back")).await;
        assert!(counts[0] > 0 && counts[1] == 0, "{counts:?} {}", site.all_logs());
        site.set_server_state("booking-1", ServerState::Ready);
        assert!(site.log_lines("store-lost").is_empty(), "{}", site.all_logs());
        let logged = site.log_lines("record-unreadable");
        assert!(logged.iter().any(|line| line.contains(name)), "{logged:?}");
    }
    site.restart(0).await;
    site.wait_propagated().await;
    assert!(served(&site, "restarted").await.iter().sum::<usize>() > 0);
    assert!(site.log_lines("store-lost").is_empty(), "{}", site.all_logs());
    assert!(site.metrics().await.contains("cuminpick_unreadable_values_total{"));
}

/// Guards against requests to a server whose record became unreadable, and against one that stays
/// out of use although its record can be read again.
#[tokio::test(flavor = "multi_thread")]
async fn server_in_use() {
    let mut site = Site::with_sizes(1, 0, 2).await;
    assert!(served(&site, "first").await.iter().sum::<usize>() > 0);
    site.store.put_text(SERVER_KIND, "booking-1", REFUSED[0]);
    site.wait_propagated().await;
    let counts = served(&site, "unreadable").await;
    assert!(counts[0] > 0 && counts[1] == 0, "{counts:?} {}", site.all_logs());
    // The same by a listing.
    site.restart(0).await;
    site.wait_propagated().await;
    let counts = served(&site, "listed").await;
    assert!(counts[0] > 0 && counts[1] == 0, "{counts:?} {}", site.all_logs());
    site.store.put(SERVER_KIND, "booking-1", encode_server(&site.record("booking-1")));
    site.set_server_state("booking-0", ServerState::Draining);
    site.wait_propagated().await;
    let counts = served(&site, "readable").await;
    assert!(counts[1] > 0, "{counts:?} {}", site.all_logs());
    // The removal of an entry that cannot be read takes effect.
    site.store.put_text(SERVER_KIND, "booking-0", REFUSED[1]);
    site.store.remove(SERVER_KIND, "booking-0");
    site.wait_propagated().await;
    assert_eq!(served(&site, "removed").await[0], 0);
}

/// Guards against a gateway that stops to follow one of the other kinds, or does not start,
/// because of an entry of that kind.
#[tokio::test(flavor = "multi_thread")]
async fn other_kinds() {
    let mut site = Site::with_sizes(2, 0, 2).await;
    for kind in [CONFIG_KIND, EVACUATION_KIND, CRASH_KIND, GATEWAY_KIND] {
        for content in REFUSED {
            site.store.put_text(kind, "notes", content);
        }
    }
    site.wait_propagated().await;
    site.configure(2, &support::routes());
    site.store.put(EVACUATION_KIND, "zone-1", json!({}));
    site.wait_propagated().await;
    let adopted = site.log_lines("config-in-force");
    assert!(adopted.iter().any(|line| line.contains("\"version\":2")), "{adopted:?}");
    let counts = served(&site, "zone").await;
    assert!(counts[0] > 0 && counts[1] == 0, "{counts:?} {}", site.all_logs());
    // A zone does not come back because its entry can no longer be read.
    site.store.put_text(EVACUATION_KIND, "zone-1", REFUSED[2]);
    site.wait_propagated().await;
    assert_eq!(served(&site, "unreadable").await[1], 0, "{}", site.all_logs());
    site.store.put_text(GATEWAY_KIND, "edge-1", REFUSED[1]);
    site.store.put_text(CRASH_KIND, "edge-1", REFUSED[0]);
    site.restart(0).await;
    site.wait_propagated().await;
    assert_eq!(served(&site, "restarted").await[1], 0, "{}", site.all_logs());
    // Its own record is written again.
    let record = site.store.get(GATEWAY_KIND, "edge-1").unwrap();
    assert!(record.content.get("address").is_some(), "{record:?}");
    site.store.remove(EVACUATION_KIND, "zone-1");
    site.set_server_state("booking-0", ServerState::Draining);
    site.wait_propagated().await;
    assert!(served(&site, "back").await[1] > 0, "{}", site.all_logs());
    assert!(site.log_lines("store-lost").is_empty(), "{}", site.all_logs());
}

/// Guards against a configuration in force that is lost because the stored one became unreadable.
#[tokio::test(flavor = "multi_thread")]
async fn configuration_in_force() {
    let site = Site::with_sizes(1, 0, 1).await;
    site.store.put_text(CONFIG_KIND, "main", REFUSED[0]);
    site.wait_propagated().await;
    assert_eq!(call_for(&site, CALL_TIME, "unreadable").await, 0, "{}", site.all_logs());
    site.configure(3, &support::routes());
    site.wait_propagated().await;
    let adopted = site.log_lines("config-in-force");
    assert!(adopted.iter().any(|line| line.contains("\"version\":3")), "{adopted:?}");
}

/// Guards against changes that are lost because a change names no object, and against a listing for
/// each such change, of which its writer may make many.
#[tokio::test(flavor = "multi_thread")]
async fn nameless_changes() {
    let site = Site::with_sizes(1, 0, 2).await;
    let listed = site.log_lines("servers-listed").len();
    // The store writes the text of the first object in place of the name of the second one.
    site.store.put_text(SERVER_KIND, "notes", r#""\ud83d""#);
    for number in 0..8 {
        site.store.put(SERVER_KIND, "raw text 0", json!({ "number": number }));
        site.wait_propagated().await;
    }
    let relisted = site.log_lines("servers-listed").len() - listed;
    assert!((1..=2).contains(&relisted), "{relisted} listings: {}", site.all_logs());
    site.set_server_state("booking-0", ServerState::Draining);
    site.wait_propagated().await;
    let counts = served(&site, "draining").await;
    assert!(counts[0] == 0 && counts[1] > 0, "{counts:?} {}", site.all_logs());
    assert!(site.log_lines("store-lost").is_empty(), "{}", site.all_logs());
}
