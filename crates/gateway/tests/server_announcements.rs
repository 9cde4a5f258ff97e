//! What servers announce about themselves in their answers.

mod support;

use std::time::Duration;

use cuminpick_standins::site::store::StoreMode;
use hyper::StatusCode;
use support::Site;

const PATH: &str = "/look/x";

/// Guards against requests to a server that leaves while only its answers say so: the store
/// still lists it as ready, or is away. All gateways stop at the first such answer.
#[tokio::test(flavor = "multi_thread")]
async fn leaving_told() {
    let site = Site::with_sizes(3, 1, 2).await;
    site.store.set_mode(StoreMode::Unavailable);
    site.bookings[0].announce_leaving();
    let mut number = 0;
    while site.bookings[0].ledger().is_empty() {
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
    assert_eq!(site.log_lines("server-leaving").len(), 3);
}

/// A whole service that leaves is used for a moment longer; then requests are rejected at
/// once, as not run. A server that starts again under the same id gets requests.
#[tokio::test(flavor = "multi_thread")]
async fn service_leaves() {
    let site = Site::with_sizes(1, 1, 2).await;
    site.bookings.iter().for_each(|server| server.announce_leaving());
    for number in 0..4 {
        let answer = site.call(PATH, &format!("first-{number}")).await;
        assert_eq!(answer.status, Some(StatusCode::OK), "{answer:?}");
    }
    tokio::time::sleep(Duration::from_millis(1_200)).await;
    let answer = site.call(PATH, "later").await;
    assert_eq!(answer.status, Some(StatusCode::SERVICE_UNAVAILABLE), "{answer:?}");
    assert!(answer.body.contains("\"ran\":\"no\"") && answer.headers.contains_key("retry-after"));
    assert_eq!(site.runs_of_attempt("later"), 0);
}
