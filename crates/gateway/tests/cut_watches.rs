//! The store cuts off waiting watches, or is away while records of servers expire.

mod support;

use std::time::Duration;
use std::time::Instant;

use cuminpick_platform::platform_side::encode_server;
use cuminpick_platform::store::SERVER_KIND;
use cuminpick_standins::site::store::StoreMode;
use hyper::StatusCode;
use support::KEY;
use support::Site;

/// Time after the removal of its record from which a server must get no requests; the platform's
/// bound.
const DRAIN_TIME: Duration = Duration::from_secs(2);
/// Time between two requests.
const CALL_INTERVAL: Duration = Duration::from_millis(20);

/// Sends look-ups for a time, runs `step` after each, and returns how many of them failed.
async fn call_for(
    site: &Site,
    time: Duration,
    name: &str,
    mut step: impl FnMut(Duration),
) -> usize {
    let started = Instant::now();
    let mut failed = 0;
    let mut number = 0;
    while started.elapsed() < time {
        let answer = site.call_at(0, "/look/x", &format!("{name}-{number}"), Some(KEY)).await;
        failed += usize::from(answer.status != Some(StatusCode::OK));
        number += 1;
        step(started.elapsed());
        tokio::time::sleep(CALL_INTERVAL).await;
    }
    failed
}

/// Cuts off the watches of the store each time that `interval` has passed.
fn cut_each(site: &Site, interval: Duration) -> impl FnMut(Duration) + use<> {
    let store = site.store.clone();
    let mut cuts = 0;
    move |elapsed| {
        let due = (elapsed.as_millis() / interval.as_millis()) as u64;
        if due > cuts {
            cuts = due;
            store.cut_watches();
        }
    }
}

/// Guards against requests to a server that is gone, because watches that were cut off count as
/// an outage of the store in which its record expired.
#[tokio::test(flavor = "multi_thread")]
async fn departed_server() {
    for interval in [300, 700, 1_500].map(Duration::from_millis) {
        let site = Site::with_sizes(1, 1, 3).await;
        assert_eq!(call_for(&site, interval, "first", cut_each(&site, interval / 2)).await, 0);
        // The only booking server in the gateway's zone, which is preferred.
        let served = site.bookings[1].ledger().len();
        assert!(served > 0);
        site.store.remove(SERVER_KIND, "booking-2");
        assert_eq!(call_for(&site, DRAIN_TIME, "gone", cut_each(&site, interval)).await, 0);
        let before = site.bookings[1].ledger().len();
        let after = call_for(&site, DRAIN_TIME, "late", cut_each(&site, interval)).await;
        assert_eq!(after, 0, "{}", site.all_logs());
        let late = site.bookings[1].ledger().len() - before;
        assert_eq!(late, 0, "cuts each {interval:?}: {}", site.all_logs());
    }
}

/// Guards against the loss of all servers whose records expired while the store was away, also
/// when watches are cut off after its return.
#[tokio::test(flavor = "multi_thread")]
async fn lapsed_servers() {
    let site = Site::with_sizes(1, 1, 2).await;
    let ids = ["booking-1", "booking-2"];
    let outage = Duration::from_secs(1);
    site.store.set_mode(StoreMode::Reset);
    assert_eq!(call_for(&site, outage, "away", |_| {}).await, 0);
    ids.iter().for_each(|id| site.store.remove(SERVER_KIND, id));
    site.store.set_mode(StoreMode::Normal);
    let cuts = cut_each(&site, Duration::from_millis(400));
    assert_eq!(call_for(&site, Duration::from_millis(1_600), "back", cuts).await, 0);
    for id in ids {
        site.store.put(SERVER_KIND, id, encode_server(&site.record(id)));
    }
    let cuts = cut_each(&site, Duration::from_millis(400));
    assert_eq!(call_for(&site, DRAIN_TIME, "again", cuts).await, 0, "{}", site.all_logs());
}

/// Guards against a server that is dropped in a second outage, before it could register again.
#[tokio::test(flavor = "multi_thread")]
async fn second_outage() {
    let site = Site::with_sizes(1, 1, 2).await;
    let outage = Duration::from_secs(1);
    site.store.set_mode(StoreMode::Unavailable);
    assert_eq!(call_for(&site, outage, "away", |_| {}).await, 0);
    site.store.remove(SERVER_KIND, "booking-1");
    site.store.remove(SERVER_KIND, "booking-2");
    site.store.set_mode(StoreMode::Normal);
    assert_eq!(call_for(&site, outage, "back", |_| {}).await, 0);
    site.store.set_mode(StoreMode::Reset);
    assert_eq!(call_for(&site, outage * 3, "away-again", |_| {}).await, 0, "{}", site.all_logs());
    site.store.set_mode(StoreMode::Normal);
    assert_eq!(call_for(&site, Duration::from_millis(800), "return", |_| {}).await, 0);
    for id in ["booking-1", "booking-2"] {
        site.store.put(SERVER_KIND, id, encode_server(&site.record(id)));
    }
    assert_eq!(call_for(&site, DRAIN_TIME, "again", |_| {}).await, 0, "{}", site.all_logs());
}

/// Guards against a server that is kept after an outage although its record did not expire: it
/// was replaced by one that cannot be decoded.
#[tokio::test(flavor = "multi_thread")]
async fn replaced_record() {
    let site = Site::with_sizes(1, 1, 3).await;
    assert_eq!(call_for(&site, CALL_INTERVAL * 5, "first", |_| {}).await, 0);
    assert!(!site.bookings[1].ledger().is_empty());
    site.store.set_mode(StoreMode::Reset);
    assert_eq!(call_for(&site, Duration::from_secs(1), "away", |_| {}).await, 0);
    site.store.set_mode(StoreMode::Normal);
    site.store.put(SERVER_KIND, "booking-2", serde_json::json!({ "service": "booking" }));
    // The next listing follows within the longest delay after a failed call.
    assert_eq!(call_for(&site, Duration::from_secs(1), "back", |_| {}).await, 0);
    let before = site.bookings[1].ledger().len();
    assert_eq!(call_for(&site, Duration::from_millis(500), "replaced", |_| {}).await, 0);
    assert_eq!(site.bookings[1].ledger().len(), before, "{}", site.all_logs());
}

/// Guards against the loss of servers that have registered again in time, because the gateway did
/// not read their records: its watches had been cut off one after the other.
#[tokio::test(flavor = "multi_thread")]
async fn unread_records() {
    let ids = ["booking-1", "booking-2"];
    for interval in [60, 300, 700].map(Duration::from_millis) {
        let site = Site::with_sizes(1, 1, 2).await;
        site.store.set_mode(StoreMode::Reset);
        assert_eq!(call_for(&site, Duration::from_secs(1), "away", |_| {}).await, 0);
        ids.iter().for_each(|id| site.store.remove(SERVER_KIND, id));
        site.store.set_mode(StoreMode::Normal);
        let cuts = cut_each(&site, interval);
        assert_eq!(call_for(&site, Duration::from_millis(1_750), "back", cuts).await, 0);
        site.store.cut_watches();
        for id in ids {
            site.store.put(SERVER_KIND, id, encode_server(&site.record(id)));
        }
        let failed = call_for(&site, DRAIN_TIME, "again", cut_each(&site, interval)).await;
        assert_eq!(failed, 0, "cuts each {interval:?}: {}", site.all_logs());
    }
}

/// Guards against a server that is kept for good without a record, because no watch lasts until
/// its time has passed.
#[tokio::test(flavor = "multi_thread")]
async fn unreturned_server() {
    for interval in [60, 300, 700].map(Duration::from_millis) {
        let site = Site::with_sizes(1, 1, 3).await;
        assert_eq!(call_for(&site, CALL_INTERVAL * 5, "first", |_| {}).await, 0);
        assert!(!site.bookings[1].ledger().is_empty());
        site.store.set_mode(StoreMode::Reset);
        assert_eq!(call_for(&site, Duration::from_secs(1), "away", |_| {}).await, 0);
        site.store.remove(SERVER_KIND, "booking-2");
        site.store.set_mode(StoreMode::Normal);
        // The gateway notices the return within the longest delay after a failed call, and reads
        // the records within the shortest delay after a cut.
        let grace = Duration::from_millis(800) + DRAIN_TIME + Duration::from_millis(100);
        assert_eq!(call_for(&site, grace, "back", cut_each(&site, interval)).await, 0);
        let before = site.bookings[1].ledger().len();
        let late = call_for(&site, Duration::from_secs(1), "late", cut_each(&site, interval)).await;
        assert_eq!(late, 0, "{}", site.all_logs());
        let reached = site.bookings[1].ledger().len() - before;
        assert_eq!(reached, 0, "cuts each {interval:?}: {}", site.all_logs());
    }
}
