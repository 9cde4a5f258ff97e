//! Records that name servers which are gone, while others answer at their addresses: all servers
//! have started again, and their new records are not written yet.

mod support;

use std::time::Duration;

use cuminpick::routing::ServerRecord;
use cuminpick_platform::platform_side::encode_server;
use cuminpick_platform::store::SERVER_KIND;
use hyper::StatusCode;
use support::Site;

const STREAM_PATH: &str = "/draft/stream/3";

/// Replaces the record of a server by that of one which is gone.
fn outdate(site: &Site, id: &str) {
    site.store.remove(SERVER_KIND, id);
    site.register_server("model", &format!("gone-{id}"), site.record(id).address);
}

/// Guards against requests that are given up after two outdated records: each of these costs one
/// try of one request.
#[tokio::test(flavor = "multi_thread")]
async fn attempts_left() {
    let site = Site::with_sizes(1, 4, 1).await;
    for id in ["model-0", "model-1", "model-2"] {
        outdate(&site, id);
    }
    site.wait_propagated().await;
    for number in 0..20 {
        let attempt = format!("a{number}");
        let answer = site.call(STREAM_PATH, &attempt).await;
        assert_eq!(answer.status, Some(StatusCode::OK), "{answer:?} {}", site.all_logs());
        assert_eq!(site.runs_of_attempt(&attempt), 1);
    }
    let replaced = site.log_lines("attempt-failed");
    assert!(replaced.iter().all(|line| line.contains("\"failure\":\"replaced\"")));
    assert!((1..=3).contains(&replaced.len()), "{replaced:?}");
}

/// While all records are outdated, a stream waits for a new one.
#[tokio::test(flavor = "multi_thread")]
async fn new_record_awaited() {
    let site = Site::with_sizes(1, 1, 1).await;
    outdate(&site, "model-0");
    site.wait_propagated().await;
    let record = site.record("model-0");
    let renewed = ServerRecord { started_ms: record.started_ms + 1, ..record };
    let renew = async {
        tokio::time::sleep(Duration::from_millis(500)).await;
        site.store.put(SERVER_KIND, &renewed.id, encode_server(&renewed));
    };
    let (answer, ()) = tokio::join!(site.call(STREAM_PATH, "a"), renew);
    assert_eq!(answer.status, Some(StatusCode::OK), "{answer:?} {}", site.all_logs());
    assert!(answer.took >= Duration::from_millis(450), "{answer:?}");
    assert_eq!(site.runs_of_attempt("a"), 1);
}

/// If none comes, the request is refused as not run before its caller leaves.
#[tokio::test(flavor = "multi_thread")]
async fn refused_as_not_run() {
    let site = Site::with_sizes(1, 1, 1).await;
    outdate(&site, "model-0");
    site.wait_propagated().await;
    let answer = site.call(STREAM_PATH, "a").await;
    assert_eq!(answer.status, Some(StatusCode::SERVICE_UNAVAILABLE), "{answer:?}");
    assert!(answer.body.contains("no-server") && answer.body.contains("\"ran\":\"no\""));
    assert!(answer.took < Duration::from_millis(1_800), "{answer:?}");
    assert_eq!(site.runs_of_attempt("a"), 0);
}
