//! Entries of other writers that are large, many or written often.

mod support;

use std::time::Duration;
use std::time::Instant;

use cuminpick::routing::ServerState;
use cuminpick_platform::store::CONFIG_KIND;
use cuminpick_platform::store::CRASH_KIND;
use cuminpick_platform::store::EVACUATION_KIND;
use cuminpick_platform::store::SERVER_KIND;
use hyper::StatusCode;
use serde_json::Value;
use serde_json::json;
use support::KEY;
use support::Site;
use tokio::task::JoinHandle;

/// Size of a large entry, in bytes; the store takes no larger ones.
const ENTRY_BYTES: usize = 1_000_000;
/// Memory that a gateway may take for a page of the store's answers and what is decoded of it, in MB:
/// a few times the page.
const READ_MEMORY_MB: f64 = 24.0;
/// Interval between two requests.
const CALL_INTERVAL: Duration = Duration::from_millis(20);

/// Sends look-ups for a time; returns how many of them failed, and at least one was sent.
async fn failed_calls(site: &Site, time: Duration, name: &str) -> usize {
    let started = Instant::now();
    let (mut failed, mut number) = (0, 0);
    while started.elapsed() < time || number == 0 {
        let answer = site.call_at(0, "/look/x", &format!("{name}-{number}"), Some(KEY)).await;
        failed += usize::from(answer.status != Some(StatusCode::OK));
        number += 1;
        tokio::time::sleep(CALL_INTERVAL).await;
    }
    failed
}

/// Guards against memory of many times the size of an entry, which ends a process at its limit.
#[tokio::test(flavor = "multi_thread")]
async fn memory_of_entries() {
    let mut site = Site::with_sizes(1, 0, 2).await;
    let before = site.peak_memory_mb();
    for (name, unit) in [("a-lists", "[],"), ("booking-0x", "{},"), ("x-lists", "1,")] {
        let content = format!("[{}0]", unit.repeat(ENTRY_BYTES / unit.len()));
        site.store.put_text(SERVER_KIND, name, &content);
        site.wait_propagated().await;
    }
    assert_eq!(failed_calls(&site, Duration::from_millis(300), "read").await, 0);
    let added = site.peak_memory_mb() - before;
    assert!(added < READ_MEMORY_MB, "{added:.1} MB for a watch");
    site.restart(0).await;
    assert_eq!(failed_calls(&site, Duration::from_millis(300), "restarted").await, 0);
    let added = site.peak_memory_mb() - before;
    assert!(added < READ_MEMORY_MB, "{added:.1} MB for a listing");
    site.set_server_state("booking-0", ServerState::Draining);
    site.wait_propagated().await;
    let served = site.bookings[0].ledger().len();
    assert_eq!(failed_calls(&site, Duration::from_millis(300), "draining").await, 0);
    assert_eq!(site.bookings[0].ledger().len(), served, "{}", site.all_logs());
}

/// Time for which entries are written often.
const WRITE_TIME: Duration = Duration::from_secs(3);
/// Least time between two reads of a kind that changes all the time.
const READ_INTERVAL: Duration = Duration::from_millis(200);

/// Writes two contents in turn to an entry, at an interval, until the task is aborted.
fn write_often(
    site: &Site,
    kind: &'static str,
    contents: [Value; 2],
    interval: Duration,
) -> JoinHandle<()> {
    let store = site.store.clone();
    tokio::spawn(async move {
        for content in contents.iter().cycle() {
            store.put(kind, "x-notes", content.clone());
            tokio::time::sleep(interval).await;
        }
    })
}

/// Guards against changes that are lost or late while another writer writes large entries so often
/// that the changes of an interval exceed the size of an answer that is read.
#[tokio::test(flavor = "multi_thread")]
async fn large_changes() {
    let site = Site::with_sizes(1, 0, 2).await;
    for text in ["[", "{\"service\":"] {
        let content = format!("{text}{}", " ".repeat(ENTRY_BYTES));
        site.store.put_text(SERVER_KIND, "x-notes", &content);
    }
    let contents = [json!("raw text 0"), json!("raw text 1")];
    let writer = write_often(&site, SERVER_KIND, contents, Duration::from_millis(40));
    assert_eq!(failed_calls(&site, WRITE_TIME, "written").await, 0, "{}", site.all_logs());
    site.set_server_state("booking-0", ServerState::Draining);
    assert_eq!(failed_calls(&site, Duration::from_secs(1), "change").await, 0);
    let served = site.bookings[0].ledger().len();
    assert_eq!(failed_calls(&site, Duration::from_secs(1), "draining").await, 0);
    writer.abort();
    assert_eq!(site.bookings[0].ledger().len(), served, "{}", site.all_logs());
    assert!(site.log_lines("store-lost").is_empty(), "{}", site.all_logs());
}

/// Guards against a call to the store for each change of other writers: the gateways together exceed
/// the store's rates, and are refused.
#[tokio::test(flavor = "multi_thread")]
async fn frequent_changes() {
    let site = Site::with_sizes(1, 0, 2).await;
    for kind in [CONFIG_KIND, EVACUATION_KIND, SERVER_KIND, CRASH_KIND] {
        let contents = [json!({ "note": 1 }), json!({ "note": 2 })];
        let writer = write_often(&site, kind, contents, Duration::from_millis(8));
        let (started, before) = (Instant::now(), site.store.kind_calls(kind));
        assert_eq!(failed_calls(&site, WRITE_TIME, kind).await, 0, "{}", site.all_logs());
        let calls = site.store.kind_calls(kind) - before;
        // The first change ends a watch that waits, and the last read has begun.
        let intervals = started.elapsed().as_millis() / READ_INTERVAL.as_millis();
        writer.abort();
        assert!(u128::from(calls) <= intervals + 2, "{calls} calls for {kind}");
    }
    site.configure(2, &support::routes());
    site.wait_propagated().await;
    let adopted = site.log_lines("config-in-force");
    assert!(adopted.iter().any(|line| line.contains("\"version\":2")), "{adopted:?}");
}

/// Entries that stand among the servers at a time.
const ENTRY_COUNT: usize = 400;

/// Guards against log lines for each of many entries, which displace those of other events, and against
/// lines as long as an entry.
#[tokio::test(flavor = "multi_thread")]
async fn log_of_entries() {
    let mut site = Site::with_sizes(1, 0, 2).await;
    let long = "x".repeat(100_000);
    for number in 0..ENTRY_COUNT {
        site.store.put(SERVER_KIND, &format!("x-{number}"), json!({ "state": 7 }));
    }
    site.store.put(
        SERVER_KIND,
        "x-long",
        json!({ "slots": long.clone(), "service": long.clone() }),
    );
    site.store.put(SERVER_KIND, &format!("x-{long}"), json!({}));
    site.wait_propagated().await;
    site.restart(0).await;
    assert_eq!(failed_calls(&site, Duration::from_millis(300), "listed").await, 0);
    let lines = site.log_lines("record-ignored");
    assert!(lines.len() < ENTRY_COUNT, "{} lines", lines.len());
    assert!(
        lines.iter().all(|line| line.len() < 2_000),
        "{:?}",
        lines.iter().map(String::len).max()
    );
    assert!(!site.log_lines("records-unusable").is_empty());
}
