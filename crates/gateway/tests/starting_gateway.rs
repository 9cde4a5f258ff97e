//! Requests that arrive while a gateway starts.

mod support;

use std::time::Duration;
use std::time::Instant;

use cuminpick_platform::store::CONFIG_KIND;
use cuminpick_standins::site::caller::CallResult;
use cuminpick_standins::site::store::StoreMode;
use hyper::StatusCode;
use support::KEY;
use support::Site;

const PATH: &str = "/look/x";
/// Time within which a gateway accepts connections after its start.
const LISTEN_TIME: Duration = Duration::from_secs(10);
/// Time within which a line of the log is written, on a busy machine too.
const LOG_TIME: Duration = Duration::from_secs(2);
/// Time in which a gateway writes its log several times.
const FLUSH_TIME: Duration = Duration::from_millis(100);

/// Sends a request again until the first gateway accepts the connection.
async fn call_starting(site: &Site, attempt: &str) -> CallResult {
    let started = Instant::now();
    loop {
        let answer = site.call_at(0, PATH, attempt, Some(KEY)).await;
        if answer.status.is_some() {
            return answer;
        }
        assert!(started.elapsed() < LISTEN_TIME, "no connection is accepted: {}", site.all_logs());
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
}

/// Waits until an event is logged: a gateway writes its log every 20 ms. What it logged before is
/// written as well then.
async fn wait_logged(site: &Site, event: &str) {
    let started = Instant::now();
    while site.log_lines(event).is_empty() && started.elapsed() < LOG_TIME {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    tokio::time::sleep(FLUSH_TIME).await;
}

/// Guards against the refusal of requests that arrive in the first moments of a gateway, before
/// the store has told the configuration.
#[tokio::test(flavor = "multi_thread")]
async fn served_after_start() {
    let mut site = Site::start().await;
    site.store.delay_listings(CONFIG_KIND, Duration::from_millis(150));
    site.signal(0, "KILL");
    site.restart_exited(0).await;
    let answer = call_starting(&site, "first").await;
    assert_eq!(answer.status, Some(StatusCode::OK), "{answer:?} {}", site.all_logs());
    assert_eq!(site.runs_of_attempt("first"), 1);
    wait_logged(&site, "start-waited").await;
    assert_eq!(site.log_lines("start-waited").len(), 1, "{}", site.all_logs());
}

/// Without a configuration a request is refused after a tenth of its time, as not run.
#[tokio::test(flavor = "multi_thread")]
async fn refused_without_configuration() {
    let mut site = Site::start().await;
    site.store.set_mode(StoreMode::Unavailable);
    site.signal(0, "KILL");
    site.restart_exited(0).await;
    assert!(!site.ready().await);
    let answer = call_starting(&site, "first").await;
    assert_eq!(answer.status, Some(StatusCode::SERVICE_UNAVAILABLE), "{answer:?}");
    assert!(answer.body.contains("not-ready") && answer.body.contains("\"ran\":\"no\""));
    let tenth = Duration::from_millis(300);
    assert!(answer.took >= tenth && answer.took < tenth * 4, "{answer:?}");
    assert!(!site.ready().await);
    assert_eq!(site.runs_of_attempt("first"), 0);
}
